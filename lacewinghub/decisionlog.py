"""Non-blocking, rate-limited log of routing decisions.

Each decision about a request is one JSON line. Lines above the rate limit, and lines that do not
fit into a full pipe, are dropped and counted; the count is logged with the next line that can be
written.
"""

import json
import os
import time

from loguru import logger

from ._token_bucket import TokenBucket
from .history import Event, EventKind

LINES_PER_S = 400.0
BURST_LINES = 1_000.0
_FINAL_KINDS = {EventKind.FINISHED, EventKind.FAILED, EventKind.CANCELLED, EventKind.SHED}
_UNLOGGED_KINDS = {EventKind.ARRIVED, EventKind.ADMITTED}


class LineWriter:
    """Line writer that drops lines that it cannot write immediately.

    Args:
        fd: File descriptor; it is set to non-blocking mode.
        node: Name of the node, for the line that reports the number of dropped lines.

    Attributes:
        dropped: Number of lines dropped since the start.
    """

    def __init__(self, fd: int, node: str = "") -> None:
        os.set_blocking(fd, False)
        self.dropped = 0
        self._fd = fd
        self._node = node
        self._reported_drops = 0
        self._unwritten = b""
        self._bucket = TokenBucket(LINES_PER_S, BURST_LINES, time.monotonic())

    def write(self, text: str) -> None:
        """Write a line, or drop it."""
        if not self._bucket.try_spend(time.monotonic()) or not self._flush_unwritten():
            self.dropped += 1
            return
        data = text.encode()
        if self.dropped > self._reported_drops:
            report = {"message": "log lines dropped", "node": self._node, "total": self.dropped}
            data = json.dumps(report).encode() + b"\n" + data
            self._reported_drops = self.dropped
        self._unwritten = data
        self._flush_unwritten()

    def flush(self) -> None:
        """Write the unwritten rest of the last line, as far as the pipe has room."""
        self._flush_unwritten()

    def _flush_unwritten(self) -> bool:
        """Write the rest of the last line, as lines must not mix; return True if it is complete."""
        while self._unwritten:
            try:
                written = os.write(self._fd, self._unwritten)
            except OSError:  # The pipe is full or closed; subsequent lines are dropped and counted.
                return False
            self._unwritten = self._unwritten[written:]
        return True


def log_event(event: Event) -> None:
    """Log an event of a request, except for those that are not decisions."""
    if event.kind in _UNLOGGED_KINDS:
        return
    members: dict[str, object] = {
        "request_id": event.request,
        "class": event.request_class,
        "tier": event.tier,
        "pool": event.pool,
    }
    if event.endpoint:
        members["endpoint"] = event.endpoint
    if event.software_version:
        members["version"] = event.software_version
    if event.code:
        members["code"] = event.code
    if event.kind in _FINAL_KINDS:
        members["outcome"] = event.code or str(event.kind)
    if event.kind is EventKind.FINISHED:
        members["endpoints"] = event.tokens
        members["first_s"] = event.first_token_s
        members["seconds"] = event.completion_s
    logger.bind(**members).info("request {}", event.kind)
