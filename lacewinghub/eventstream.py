"""Splits a stream of server-sent events, so that another endpoint can continue it."""

from .endpoint import EndpointCrashed

MAX_EVENT_BYTES = 256 * 1024
_TERMINATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_LONGEST_TERMINATOR = max(map(len, _TERMINATORS))


class EventTooLarge(EndpointCrashed):
    """An endpoint sent an event without end."""


class EventSplitter:
    """Splits the bytes of a stream into events and remembers the id of the last one.

    Args:
        after: Id of the last event that the client received, or None; events up to it are dropped.

    Attributes:
        last_event_id: Id of the last event that was returned, initially ``after``.
    """

    def __init__(self, after: bytes | None = None) -> None:
        self.last_event_id = after
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream.

        Returns:
            The events that they complete and that the client has not received yet.

        Raises:
            EventTooLarge: If an event is larger than ``MAX_EVENT_BYTES``.
        """
        searched = max(0, len(self._buffer) - _LONGEST_TERMINATOR)
        self._buffer += data
        found = []
        while (end := _end_of_event(self._buffer, searched)) > 0:
            searched = 0
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            event_id = _event_id(event)
            if event_id is not None and _is_received(event_id, self.last_event_id):
                continue
            if event_id is not None:
                self.last_event_id = event_id
            found.append(event)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event has more than {MAX_EVENT_BYTES} bytes")
        return b"".join(found)

    def take_remainder(self) -> bytes:
        """Remove and return the incomplete event at the end of the stream."""
        data, self._buffer = self._buffer, b""
        return data


class EventEnd:
    """Tells whether a stream that was passed on so far ends with a complete event."""

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, data: bytes) -> None:
        """Add bytes of the stream."""
        self._tail = (self._tail + data)[-_LONGEST_TERMINATOR:]

    @property
    def has_data(self) -> bool:
        """True if the stream has any bytes."""
        return bool(self._tail)

    @property
    def is_complete(self) -> bool:
        """True if the last event is complete."""
        return self._tail.endswith(_TERMINATORS)


def _end_of_event(data: bytes, start: int) -> int:
    """Return the position after the first event, or 0 if it does not end at or after ``start``."""
    ends = [
        at + len(terminator)
        for terminator in _TERMINATORS
        if (at := data.find(terminator, start)) >= 0
    ]
    return min(ends, default=0)


def _event_id(event: bytes) -> bytes | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None


def _is_received(event_id: bytes, last: bytes | None) -> bool:
    try:
        return last is not None and int(event_id) <= int(last)
    except ValueError:
        return event_id == last
