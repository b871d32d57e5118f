"""Explains the outcome of a request from the logs of the nodes.

The log lines of the request come first. They are followed by the lines about its endpoints and its
node from the seconds before it ended, which show the state that the node based its decision on.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from .errors import BadRequest, StreamOriginUnknown, StreamVersionGone
from .explain_stream import DISPATCH_MESSAGES, stream_course

# Log lines about the endpoint or the node are shown if they precede the end by at most this time.
CONTEXT_S = 10.0
_COMMON_MEMBERS = frozenset(("time", "level", "node", "message", "request_id"))
# Start of the last message of a request and its meaning; the first match is used.
_CAUSE_BY_PREFIX = (
    ("request refused", "The node refused it before contacting an endpoint; it did not run."),
    ("request shed", "No endpoint accepted it within its queueing time limit; it did not run."),
    ("request expired", "Its deadline passed before its answer was complete."),
    ("request cancelled", "The client disconnected before the answer was complete."),
    ("request finished", "It was answered completely."),
    ("request failed", "No endpoint completed it; see the failed attempts."),
)
# Meaning of the error code of the last message, which goes before that of the message.
_CAUSE_BY_CODE = {
    StreamOriginUnknown.code: (
        "It was refused, since it is not known which software version began its stream; it did not "
        "run."
    ),
    StreamVersionGone.code: (
        "It was refused, since no endpoint has the software version that began its stream; it did "
        "not run."
    ),
}
_CONTEXT_PREFIXES = (
    "node",
    "topic",
    "endpoint",
    "configuration",
    "settings",
    "records",
    "the host",
    "log lines",
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line."""

    time: datetime
    node: str
    message: str
    members: dict[str, Any]

    def text(self) -> str:
        """Return the line as readable text."""
        rest = " ".join(f"{key}={value}" for key, value in self.members.items())
        return f"{self.time:%H:%M:%S.%f} {self.node} {self.message} {rest}".rstrip()


@dataclass(slots=True)
class Explanation:
    """Log lines and outcome of one request.

    Attributes:
        lines: Log lines of the request, oldest first.
        context: Log lines about its endpoints and its node from shortly before its end.
        stream: Where its stream began and went on by software version, one sentence each; empty if
            the logs name no version.
        cause: Outcome of the request in one sentence.
    """

    lines: list[LogLine] = field(default_factory=list)
    context: list[LogLine] = field(default_factory=list)
    stream: list[str] = field(default_factory=list)
    cause: str = ""

    def text(self) -> str:
        """Return the explanation as readable text."""
        parts = [item.text() for item in self.lines]
        if self.context:
            parts += ["before its end:", *(f"  {item.text()}" for item in self.context)]
        return "\n".join([*parts, *self.stream, self.cause])


def parse(lines: Iterable[str]) -> Iterator[tuple[str, LogLine]]:
    """Parse log lines; lines that are not in the log format are skipped.

    Args:
        lines: Lines of the logs of one or more nodes.

    Yields:
        The request id, empty for lines that concern no request, and the log line.
    """
    for raw_line in lines:
        try:
            record = json.loads(raw_line[raw_line.index("{") :])
            time = datetime.fromisoformat(record["time"])
            message = str(record["message"])
        except (ValueError, KeyError, TypeError):
            continue
        members = {key: value for key, value in record.items() if key not in _COMMON_MEMBERS}
        log_line = LogLine(time, str(record.get("node", "")), message, members)
        yield str(record.get("request_id", "")), log_line


def explain(request_id: str, lines: Iterable[str]) -> Explanation:
    """Explain the outcome of a request.

    Args:
        request_id: Id of the request.
        lines: Lines of the logs of the nodes.

    Raises:
        BadRequest: If no log line has this request id.
    """
    own_lines: list[LogLine] = []
    other_lines: list[LogLine] = []
    dispatches: list[LogLine] = []
    for line_request_id, line in parse(lines):
        if line_request_id == request_id:
            own_lines.append(line)
        elif not line_request_id and line.message.startswith(_CONTEXT_PREFIXES):
            other_lines.append(line)
        if line.message in DISPATCH_MESSAGES:
            dispatches.append(line)
    if not own_lines:
        raise BadRequest(f"no log line has request id {request_id!r}")
    own_lines.sort(key=lambda item: item.time)
    return Explanation(
        own_lines,
        _context_lines(own_lines, other_lines),
        stream_course(own_lines, dispatches),
        _cause(own_lines),
    )


def _context_lines(own_lines: list[LogLine], other_lines: list[LogLine]) -> list[LogLine]:
    nodes = {item.node for item in own_lines}
    endpoints = {item.members["endpoint"] for item in own_lines if "endpoint" in item.members}
    end = own_lines[-1].time
    selected = [
        item
        for item in other_lines
        if item.node in nodes
        and 0.0 <= (end - item.time).total_seconds() <= CONTEXT_S
        and item.members.get("endpoint") in (None, *endpoints)
    ]
    return sorted(selected, key=lambda item: item.time)


def _cause(own_lines: list[LogLine]) -> str:
    code = own_lines[-1].members.get("code")
    if code in _CAUSE_BY_CODE:
        return _CAUSE_BY_CODE[code]
    attempts = [item for item in own_lines if item.message.startswith("attempt failed")]
    for prefix, cause in _CAUSE_BY_PREFIX:
        if own_lines[-1].message.startswith(prefix):
            suffix = f" {len(attempts)} attempts failed before that." if attempts else ""
            return cause + suffix
    if attempts:
        return f"Its last attempt failed: {attempts[-1].message.partition(': ')[2]}."
    return "The logs do not show its end: it is still running, or its node went down."
