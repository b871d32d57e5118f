"""Log output: one JSON object per line on standard error.

Every line has ``time`` (RFC 3339, UTC), ``level``, ``message`` and ``node``. Lines about a request
add ``request_id``, ``class``, ``tier``, ``pool``, ``endpoint`` and ``outcome``.
"""

import json
import sys
from datetime import UTC
from typing import TYPE_CHECKING, Any, Protocol

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

    from .history import Event


class LogStream(Protocol):
    """Where log lines go."""

    def write(self, text: str, /) -> object:
        """Write a line."""

    def flush(self) -> None:
        """Pass on what was written."""


LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def format_line(record: Any) -> str:
    """Return the JSON line of a loguru record, without a line end."""
    line: dict[str, Any] = {
        "time": record["time"].astimezone(UTC).isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "message": record["message"],
        **record["extra"],
    }
    exc = record["exception"]
    if exc is not None:
        line["error"] = f"{getattr(exc.type, '__name__', exc.type)}: {exc.value}"
    return json.dumps(line, default=str)


def setup(level: str = "INFO", node: str = "", out: LogStream | None = None) -> None:
    """Send all log lines to one stream as JSON, replacing the handlers set before.

    Args:
        level: Lowest level to write; one of ``LEVELS``.
        node: Identifier of the node, added to every line.
        out: Receives the lines; standard error if None.

    Raises:
        ValueError: If the level is not one of ``LEVELS``.
    """
    if level.upper() not in LEVELS:
        raise ValueError(f"log level {level!r} is not one of {', '.join(LEVELS)}")
    stream: LogStream = out or sys.stderr

    def write(message: "Message") -> None:
        stream.write(format_line(message.record) + "\n")
        stream.flush()

    logger.remove()
    logger.configure(extra={"node": node} if node else {})
    logger.add(write, level=level.upper(), format="{message}", backtrace=False, diagnose=False)


def log_outcome(event: "Event", outcome: str, endpoint: str = "") -> None:
    """Write the closing line of a request.

    Args:
        event: The event that ended it.
        outcome: ``ok``, ``cancelled`` or an error code.
        endpoint: Name of the last endpoint used, or empty.
    """
    members: dict[str, Any] = {
        "request_id": event.request,
        "class": event.request_class,
        "tier": event.tier,
        "pool": event.pool,
        "endpoint": endpoint,
        "outcome": outcome,
        "tokens": event.tokens,
    }
    if event.completion_s >= 0:
        members["seconds"] = event.completion_s
    logger.bind(**members).info("request done")
