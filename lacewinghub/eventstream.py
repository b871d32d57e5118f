"""Splits a stream of server-sent events, so that another endpoint can continue it.

Each byte is looked at a fixed number of times, however short the events are and in whatever pieces
they arrive: complete events are passed on as one block, and only a continued stream is searched for
events that the client has received before.
"""

import re

from .endpoint import EndpointCrashed

MAX_EVENT_BYTES = 256 * 1024
_TERMINATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_LONGEST_TERMINATOR = max(map(len, _TERMINATORS))
_TERMINATOR = re.compile(b"|".join(_TERMINATORS))
_ID = re.compile(rb"(?:\A|[\r\n])id:([^\r\n]*)")
# The start of a line that is neither empty nor a comment.
_CONTENT = re.compile(rb"(?:\A|[\r\n])[^:\r\n]")
_LAST_ID = re.compile(rb"(?s:.*)(?:\A|[\r\n])id:([^\r\n]*)")
# Ids with more digits are compared as texts: no stream has so many events.
MAX_ID_DIGITS = 18


def has_content(data: bytes) -> bool:
    """Return whether some bytes of a stream are more than empty lines and comments."""
    return _CONTENT.search(data) is not None


def event_ids(events: bytes) -> list[bytes]:
    """Return the ids of some complete events, in order; events without one have none."""
    return [found[1].strip() for found in _ID.finditer(events)]


class EventTooLarge(EndpointCrashed):
    """An endpoint sent an event without end."""


class EventSplitter:
    """Splits the bytes of a stream into events and remembers the id of the last one.

    Args:
        after: Id of the last event that the client received, or None. Events up to it are dropped,
            until one with a later id arrives.

    Attributes:
        last_event_id: Id of the last event that was returned, initially ``after``.
    """

    def __init__(self, after: bytes | None = None) -> None:
        self.last_event_id = after
        self._dropping = after is not None
        self._last_dropped: bytes | None = None
        self._buffer = bytearray()
        self._padding_bytes = 0
        self._last_events = b""

    @property
    def ends_without_id(self) -> bool:
        """True if an event without an id was returned after the one with the last id.

        No id tells another endpoint to go on after such an event.
        """
        found = _LAST_ID.match(self._last_events)
        if found is None:
            return bool(self._last_events)
        end = _TERMINATOR.search(self._last_events, found.end())
        return end is not None and has_content(self._last_events[end.end() :])

    @property
    def can_continue(self) -> bool:
        """True if an id tells another endpoint to go on after the last event that was returned."""
        return bool(self.last_event_id) and not self.ends_without_id

    @property
    def falls_short(self) -> bool:
        """True if the current endpoint repeats events, but not up to the last one."""
        is_repeat = self._dropping and self._last_dropped is not None
        return is_repeat and self._last_dropped != self.last_event_id

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream.

        Returns:
            The events that they complete and that the client has not received yet.

        Raises:
            EventTooLarge: If an event, with the empty lines and comments before it, is larger than
                ``MAX_EVENT_BYTES``.
        """
        searched = max(0, len(self._buffer) - _LONGEST_TERMINATOR)
        self._buffer += data
        end = _end_of_last_event(self._buffer, searched)
        events = bytes(self._buffer[:end])
        del self._buffer[:end]
        # Empty lines and comments are passed on at once, but are no progress of the answer.
        is_progress = has_content(events)
        self._padding_bytes = 0 if is_progress else self._padding_bytes + len(events)
        if self._padding_bytes + len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event has more than {MAX_EVENT_BYTES} bytes")
        if self._dropping:
            events = self._without_received(events)
        found = _LAST_ID.match(events)
        if found is not None:
            self.last_event_id = found[1].strip()
        if is_progress and events:
            self._last_events = events
        return events

    def restart(self) -> None:
        """Prepare for the stream of another endpoint, which continues after the last event."""
        self._buffer.clear()
        self._padding_bytes = 0
        self._dropping = self.last_event_id is not None
        self._last_dropped = None

    def take_remainder(self) -> bytes:
        """Remove and return the incomplete event at the end of the stream."""
        data = bytes(self._buffer)
        self._buffer.clear()
        return data

    def _without_received(self, events: bytes) -> bytes:
        """Return what follows the last of the complete events that the client has received."""
        last = None
        for found in _ID.finditer(events):
            if not _is_received(found[1].strip(), self.last_event_id):
                self._dropping = False
                break
            last = found
        if last is None:
            return events
        self._last_dropped = last[1].strip()
        terminator = _TERMINATOR.search(events, last.end())
        return events[terminator.end() :] if terminator else b""


class EventEnd:
    """Tells whether a stream that was passed on so far ends with a complete event."""

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, data: bytes) -> None:
        """Add bytes of the stream."""
        self._tail = (self._tail + data[-_LONGEST_TERMINATOR:])[-_LONGEST_TERMINATOR:]

    @property
    def has_data(self) -> bool:
        """True if the stream has any bytes."""
        return bool(self._tail)

    @property
    def is_complete(self) -> bool:
        """True if the last event is complete."""
        return self._tail.endswith(_TERMINATORS)


def _end_of_last_event(data: bytearray, start: int) -> int:
    """Return the position after the last event, or 0 if none ends after ``start``."""
    ends = [
        at + len(terminator)
        for terminator in _TERMINATORS
        if (at := data.rfind(terminator, start)) >= 0
    ]
    return max(ends, default=0)


def _is_received(event_id: bytes, last: bytes | None) -> bool:
    if last is None:
        return False
    if not all(item.isdigit() and len(item) <= MAX_ID_DIGITS for item in (event_id, last)):
        return event_id == last
    return int(event_id) <= int(last)
