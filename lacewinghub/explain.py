"""Explains what became of a request, from the log lines of the nodes.

The lines of the request itself come first. Lines about its endpoint and about the node shortly
before its end follow: they tell what the node believed when it decided.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from .errors import BadRequest

# Lines about the endpoint or the node are of interest this long before the request's end.
CONTEXT_S = 10.0
_HIDDEN = frozenset(("time", "level", "node", "message", "request_id"))
# What the last line of a request means; the first message that fits counts.
_CAUSES = (
    ("request refused", "The node refused it before any endpoint was asked; it did not run."),
    ("request shed", "No endpoint took it within the time that it may wait; it did not run."),
    ("request expired", "Its time was over before its answer was complete."),
    ("request cancelled", "The caller left before the answer was complete."),
    ("request finished", "It was answered completely."),
    ("request failed", "No endpoint completed it; see the failed attempts."),
)
_CONTEXT = (
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
class Line:
    """One log line."""

    time: datetime
    node: str
    message: str
    members: dict[str, Any]

    def text(self) -> str:
        """Return the line for a reader."""
        rest = " ".join(f"{key}={value}" for key, value in self.members.items())
        return f"{self.time:%H:%M:%S.%f} {self.node} {self.message} {rest}".rstrip()


@dataclass(slots=True)
class Explanation:
    """What the logs say of a request.

    Attributes:
        lines: Lines of the request, oldest first.
        context: Lines about its endpoints and its node before its end.
        cause: One sentence.
    """

    lines: list[Line] = field(default_factory=list)
    context: list[Line] = field(default_factory=list)
    cause: str = ""

    def text(self) -> str:
        """Return the explanation for a reader."""
        parts = [item.text() for item in self.lines]
        if self.context:
            parts += ["before its end:", *(f"  {item.text()}" for item in self.context)]
        return "\n".join([*parts, self.cause])


def parse(text: Iterable[str]) -> Iterator[tuple[str, Line]]:
    """Read log lines; what is no log line is passed over.

    Args:
        text: Lines of one or several nodes.

    Yields:
        The request id, empty for other lines, and the line.
    """
    for raw in text:
        try:
            found = json.loads(raw[raw.index("{") :])
            time = datetime.fromisoformat(found["time"])
            message = str(found["message"])
        except (ValueError, KeyError, TypeError):
            continue
        members = {key: value for key, value in found.items() if key not in _HIDDEN}
        line = Line(time, str(found.get("node", "")), message, members)
        yield str(found.get("request_id", "")), line


def explain(request_id: str, text: Iterable[str]) -> Explanation:
    """Collect what the logs say of a request.

    Args:
        request_id: Id of the request.
        text: Log lines of the nodes.

    Raises:
        BadRequest: If no line names the request.
    """
    own: list[Line] = []
    others: list[Line] = []
    for found, line in parse(text):
        if found == request_id:
            own.append(line)
        elif not found and line.message.startswith(_CONTEXT):
            others.append(line)
    if not own:
        raise BadRequest(f"no log line names request {request_id!r}")
    own.sort(key=lambda item: item.time)
    return Explanation(own, _context(own, others), _cause(own))


def _context(own: list[Line], others: list[Line]) -> list[Line]:
    nodes = {item.node for item in own}
    endpoints = {item.members["endpoint"] for item in own if "endpoint" in item.members}
    end = own[-1].time
    found = [
        item
        for item in others
        if item.node in nodes
        and 0.0 <= (end - item.time).total_seconds() <= CONTEXT_S
        and item.members.get("endpoint") in (None, *endpoints)
    ]
    return sorted(found, key=lambda item: item.time)


def _cause(own: list[Line]) -> str:
    attempts = [item for item in own if item.message.startswith("attempt failed")]
    for begin, cause in _CAUSES:
        if own[-1].message.startswith(begin):
            failed = f" {len(attempts)} attempts failed before." if attempts else ""
            return cause + failed
    if attempts:
        return f"Its last attempt failed: {attempts[-1].message.partition(': ')[2]}."
    return "The logs do not tell its end: it is under way, or its node was lost."
