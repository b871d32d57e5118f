"""Metrics in the statsd protocol over UDP, listed in docs/metrics.md."""

import re
from typing import Any

import statsd

from .errors import SettingsInvalid

PREFIX = "lacewinghub"
# statsd separates the parts of a name with dots and the value with a colon.
_UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")

COUNTERS = {
    "requests.CLASS.OUTCOME": "ended requests; OUTCOME is `ok`, `cancelled` or an error code",
    "admitted.POOL.TIER": "requests accepted into the queue",
    "shed.POOL.TIER": "requests refused or displaced for lack of capacity",
    "tokens.POOL": "tokens passed on to callers",
    "retries.POOL": "requests sent to another endpoint before the first token",
    "resumes.POOL": "answers continued at another runner after a part of them was received",
    "crashed.POOL": "requests whose endpoint broke the connection",
    "stalled.POOL": "requests whose endpoint was given up because it sent nothing for too long",
}
TIMERS = {
    "first_token.CLASS": "time from arrival to the first token",
    "between_tokens.CLASS": "mean time between the tokens of an answer",
    "completion.CLASS": "time from arrival to the end of the answer",
    "loop_delay": "longest delay of the event loop in the last 10 s",
}
GAUGES = {
    "config_version": "version of the tables, sent when it changes",
    "live_nodes": "nodes in state live, this one included, every 10 s",
    "in_flight": "requests that the node is serving, every 10 s",
    "memory_bytes": "resident memory of the process, every 10 s",
}


class Metrics:
    """Sends metrics to a statsd server; without an address it does nothing.

    A metric name is ``lacewinghub.NODE.`` followed by its parts, in which characters other than
    letters, digits, ``_`` and ``-`` are replaced by ``_``. Datagrams that cannot be sent are
    dropped without an error.

    Args:
        address: ``IP:port`` of the statsd server, or an empty string.
        node: Identifier of the node.

    Raises:
        SettingsInvalid: If the address is not ``IP:port``.
    """

    def __init__(self, address: str = "", node: str = "") -> None:
        self._client: Any = None
        if not address:
            return
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise SettingsInvalid(f"statsd address {address!r} is not IP:port", key="statsd")
        prefix = f"{PREFIX}.{_escape(node)}" if node else PREFIX
        self._client = statsd.StatsClient(host, int(port), prefix=prefix, ipv6=":" in host)

    def count(self, *parts: object, n: int = 1) -> None:
        """Increment a counter.

        Args:
            parts: Parts of the metric name, for example ``"shed", pool, tier``.
            n: Increment.
        """
        if self._client is not None:
            self._client.incr(_metric_name(parts), n)

    def time(self, *parts: object, seconds: float) -> None:
        """Report a duration.

        Args:
            parts: Parts of the metric name.
            seconds: Duration in seconds; sent in milliseconds.
        """
        if self._client is not None:
            self._client.timing(_metric_name(parts), seconds * 1000)

    def gauge(self, *parts: object, value: float) -> None:
        """Report the current value of a gauge.

        Args:
            parts: Parts of the metric name.
            value: Current value.
        """
        if self._client is not None:
            self._client.gauge(_metric_name(parts), value)

    def close(self) -> None:
        """Close the socket."""
        if self._client is not None:
            self._client.close()


def markdown() -> str:
    """Return the tables of metrics for docs/metrics.md."""
    lines = []
    for title, items in (("Counters", COUNTERS), ("Timers", TIMERS), ("Gauges", GAUGES)):
        lines += [f"## {title}", "", "| Name | Meaning |", "| --- | --- |"]
        lines += [f"| `{name}` | {meaning} |" for name, meaning in items.items()]
        lines.append("")
    return "\n".join(lines).rstrip() + "\n"


def _escape(part: object) -> str:
    return _UNSAFE_CHARACTERS.sub("_", str(part)) or "_"


def _metric_name(parts: tuple[object, ...]) -> str:
    return ".".join(_escape(part) for part in parts)
