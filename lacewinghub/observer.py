"""Converts the events of a node into metrics, log lines and service-level counts."""

import asyncio
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from .history import Event, EventKind
from .logs import log_outcome
from .metrics import Metrics
from .node_client import OUTCOME_OK
from .service_level import ServiceLevels
from .tables import Target

GAUGE_INTERVAL_S = 10.0
DELAY_PROBE_S = 0.1
# Bound on the requests whose last endpoint is remembered: a call with an idempotency key continues
# after its client disconnected, and then records no further end event.
MAX_TRACKED_REQUESTS = 10_000
_PAGE_BYTES = 4096
_FINAL_KINDS = {EventKind.FINISHED, EventKind.SHED, EventKind.FAILED, EventKind.CANCELLED}


class LatencyTimer:
    """Measures the latencies of one answer and compares them with the targets.

    Args:
        arrived: Loop time at which the request arrived, in seconds.
        target: Latency targets of its route.
        on_first: Called at the first tokens with the time since the arrival, in seconds.
    """

    def __init__(
        self, arrived: float, target: Target, on_first: Callable[[float], None] | None = None
    ) -> None:
        self._arrived = arrived
        self._target = target
        self._on_first = on_first
        self._first: float | None = None
        self._last = 0.0
        self._tokens = 0

    @property
    def has_begun(self) -> bool:
        """True once tokens were sent to the client."""
        return self._first is not None

    def add_tokens(self, tokens: int) -> None:
        """Record that tokens were sent to the client."""
        if tokens == 0:
            return
        self._last = asyncio.get_running_loop().time()
        if self._first is None:
            self._first = self._last
            if self._on_first is not None:
                self._on_first(self._first - self._arrived)
        self._tokens += tokens

    def finish(self) -> dict[str, Any]:
        """Return the members of a ``finished`` event: latencies and whether they met the targets.

        The time between tokens is a mean, also if several tokens are sent at once.
        """
        target = self._target
        completion_s = asyncio.get_running_loop().time() - self._arrived
        first_s = None if self._first is None else self._first - self._arrived
        between_s = None
        if self._first is not None and self._tokens > 1:
            between_s = (self._last - self._first) / (self._tokens - 1)
        measured = (
            (target.first_token_s, first_s),
            (target.between_tokens_s, between_s),
            (target.completion_s, completion_s),
        )
        checked = [
            (limit, value) for limit, value in measured if limit is not None and value is not None
        ]
        return {
            "first_token_s": -1.0 if first_s is None else round(first_s, 6),
            "between_tokens_s": -1.0 if between_s is None else round(between_s, 6),
            "completion_s": round(completion_s, 6),
            "met": all(value <= limit for limit, value in checked) if checked else None,
        }


class Observer:
    """Updates metrics, logs and service-level counts from the events of a node.

    Args:
        metrics: Receives counters, timers and gauges.
        levels: Receives the service-level counts.
        gauges: Functions that return the current value of a gauge, by gauge name.
    """

    def __init__(
        self,
        metrics: Metrics,
        levels: ServiceLevels,
        gauges: Mapping[str, Callable[[], float]] | None = None,
    ) -> None:
        self.levels = levels
        self._metrics = metrics
        self._gauges = dict(gauges or {})
        self._last_endpoints: dict[str, str] = {}

    def handle_event(self, event: Event) -> None:
        """Process one event."""
        self.levels.count_event(event)
        if event.kind in (EventKind.DISPATCHED, EventKind.RESUMED):
            self._on_dispatch(event)
        elif event.kind is EventKind.ADMITTED:
            self._metrics.count("admitted", event.pool, event.tier)
        elif event.kind is EventKind.CRASHED:
            self._metrics.count("crashed", event.pool)
        elif event.kind is EventKind.STALLED:
            self._metrics.count("stalled", event.pool)
        elif event.kind is EventKind.CONFIG:
            self._metrics.gauge("config_version", value=event.version)
        elif event.kind in _FINAL_KINDS:
            self._on_end(event)

    async def run(self) -> None:
        """Report gauges and the delay of the event loop until cancelled."""
        loop = asyncio.get_running_loop()
        reported = loop.time()
        longest_s = 0.0
        while True:
            started = loop.time()
            await asyncio.sleep(DELAY_PROBE_S)
            longest_s = max(longest_s, loop.time() - started - DELAY_PROBE_S)
            if loop.time() - reported < GAUGE_INTERVAL_S:
                continue
            reported = loop.time()
            self._metrics.time("loop_delay", seconds=longest_s)
            longest_s = 0.0
            self._metrics.gauge("memory_bytes", value=resident_bytes())
            for name, read in self._gauges.items():
                self._metrics.gauge(name, value=read())

    def _on_dispatch(self, event: Event) -> None:
        if event.kind is EventKind.RESUMED:
            self._metrics.count("resumes", event.pool)
        elif event.request in self._last_endpoints:
            self._metrics.count("retries", event.pool)
        self._last_endpoints[event.request] = event.endpoint
        if len(self._last_endpoints) > MAX_TRACKED_REQUESTS:
            del self._last_endpoints[next(iter(self._last_endpoints))]

    def _on_end(self, event: Event) -> None:
        outcome = OUTCOME_OK
        if event.kind is EventKind.CANCELLED:
            outcome = "cancelled"
        elif event.kind is not EventKind.FINISHED:
            outcome = event.code or "overloaded"
        name = event.request_class or "default"
        self._metrics.count("requests", name, outcome)
        if event.kind is EventKind.SHED:
            self._metrics.count("shed", event.pool, event.tier)
        if event.tokens:
            self._metrics.count("tokens", event.pool, n=event.tokens)
        for timer in ("first_token", "between_tokens", "completion"):
            seconds = getattr(event, f"{timer}_s")
            if seconds >= 0:
                self._metrics.time(timer, name, seconds=seconds)
        endpoint = self._last_endpoints.pop(event.request, "")
        log_outcome(event, outcome, endpoint)


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes, or 0 if it is not available."""
    try:
        return int(Path("/proc/self/statm").read_text().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
