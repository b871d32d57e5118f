"""Recognizes a run that repeats the last events of a stream and ends after the same one."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum

from .eventstream import MAX_ID_DIGITS, EventEnd, EventSplitter, event_ids

# More repeated events leave less room for chance, but take longer to generate.
MAX_REPEATED = 8
# Largest share of broken-off answers for which the doubt is computed.
BROKEN_OFF_SHARE = 0.5


class Repeat(StrEnum):
    """What a run that is asked to repeat the last events of a stream says of the stream's end."""

    ENDS = "ends after the same event"
    GOES_ON = "goes on after it"
    BROKEN_OFF = "is broken off before it"
    REFUSED = "is refused"
    UNREACHED = "no process is reached"


@dataclass(frozen=True, slots=True)
class LastEvents:
    """The last events of a stream, which another run is asked to repeat.

    Attributes:
        after: Id of the event after which it begins; None to begin with the first event.
        ids: Ids of the events that follow, the last ones of the stream.
        is_listed: False if other events may come before them, which the client has from an earlier
            answer.
    """

    after: bytes | None
    ids: tuple[bytes, ...]
    is_listed: bool = True

    def later_half(self) -> "LastEvents":
        """Return the later half of them: a shorter run is less likely to be broken off."""
        number, last = _number(self.after), _number(self.ids[0])
        if not self.is_listed and number is not None and last is not None:
            return replace(self, after=b"%d" % min(last - 1, (number + last) // 2))
        kept = len(self.ids) // 2
        return LastEvents(self.ids[-kept - 1], self.ids[-kept:]) if kept else self


class EventHistory:
    """Ids of the last events that a client has.

    Args:
        after: Id of the last event that the client had before this answer, or None.
    """

    def __init__(self, after: bytes | None) -> None:
        self._before: bytes | None = after
        self._ids: deque[bytes] = deque()

    def record(self, events: bytes) -> None:
        """Add complete events that the client gets."""
        self._ids.extend(event_ids(events))
        while len(self._ids) > MAX_REPEATED:
            self._before = self._ids.popleft()

    def last_events(self) -> LastEvents | None:
        """Return the events that another run can be asked to repeat; None if there are none."""
        ids = tuple(self._ids)
        if self._before is None and not ids:
            return None
        if self._before is None:
            # Not from the first one: what breaks off each new stream may not break off this run.
            return LastEvents(ids[0], ids[1:]) if len(ids) > 1 else LastEvents(None, ids)
        earlier = MAX_REPEATED - len(ids)
        number = _number(self._before)
        if earlier and number is not None and number > 1:
            # Ids increase, so that all events from the one before this answer come after this id.
            known = (self._before, *ids)
            return LastEvents(b"%d" % max(1, number - earlier), known, is_listed=False)
        return LastEvents(self._before, ids) if ids else None


class RepeatedRun:
    """Compares a run with the events that it was asked to repeat.

    Args:
        expected: The events.

    Attributes:
        expected: As given.
        goes_on: True once it has sent an event after the last one.
    """

    def __init__(self, expected: LastEvents) -> None:
        self.expected = expected
        self.goes_on = False
        self._splitter = EventSplitter(expected.after)
        self._tail = EventEnd()
        self._ids: list[bytes] = []

    @property
    def count(self) -> int:
        """Number of events that it has repeated."""
        return len(self._ids)

    def feed(self, data: bytes) -> None:
        """Add bytes of the run."""
        self._tail.feed(data)
        for item in event_ids(self._splitter.feed(data)):
            if self._ids and self._ids[-1] == self.expected.ids[-1]:
                self.goes_on = True
                return
            self._ids.append(item)
        # An event without an id may follow the last one that has one.
        if self._ids[-1:] == [self.expected.ids[-1]] and self._splitter.ends_without_id:
            self.goes_on = True

    def end(self) -> Repeat:
        """Return what the end of the run says, whatever shows that it has ended."""
        if self.goes_on:
            return Repeat.GOES_ON
        ids = self.expected.ids
        is_inside_event = self._tail.has_data and not self._tail.is_complete
        is_same = tuple(self._ids[-len(ids) :]) == ids
        if self.expected.is_listed:
            is_same = is_same and self.count == len(ids)
        return Repeat.ENDS if is_same and not is_inside_event else Repeat.BROKEN_OFF


def _number(event_id: bytes | None) -> int | None:
    if event_id is None or not event_id.isdigit() or len(event_id) > MAX_ID_DIGITS:
        return None
    return int(event_id)


def remaining_doubt(repeats: Iterable[int]) -> float:
    """Return how likely it is that a stream goes on after runs without framing that repeat its end.

    At most half of the answers, that of the stream among them, are taken to be broken off, after
    each of their events alike. A run that repeats some events of a stream that goes on has one
    event more, at least, so that it is broken off just after them in so many cases.

    Args:
        repeats: Numbers of the events that the runs, one after the other, repeated.
    """
    doubt = BROKEN_OFF_SHARE
    for count in repeats:
        doubt *= BROKEN_OFF_SHARE / (count + 1)
    return doubt
