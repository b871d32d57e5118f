"""Judges whether an answer is whole: the only place that knows what the end of a run proves.

An answer with a length or chunks is whole if its endpoint has sent all of them, and it does not
end inside an event. The end of a connection proves nothing: the operating system of an endpoint
that dies ends its connections in order, and so does an endpoint, or something before it, that
breaks an answer off and lives on. At the deadline, or before the first event, endpoints that give
up end an answer in the same way, so that it counts as broken off.

If a stream was broken off and a run that goes on adds nothing, the two contradict each other, which
proves nothing either.

What is unproven is settled by ``end_verification`` where the stream may be resumed: runs repeat its
last events. Anything else, such as a process that lives or no longer executes the request, an
accepted connection, a refusal, or a lack of retries, stands beside sound and broken ends alike.
"""

from enum import StrEnum

from loguru import logger

from .eventstream import EventEnd, has_content

# An endpoint's clock and the network may let it reach a deadline this long before this node does.
DEADLINE_MARGIN_S = 0.02


class End(StrEnum):
    """What the end of a run says about the answer."""

    WHOLE = "whole"
    UNPROVEN = "unproven"
    BROKEN_OFF = "broken off"


class Evidence(StrEnum):
    """Why a stream counts as whole."""

    FRAMED_RUN = "a run that repeats its last events ends with its length or the last chunk"
    AGREEING_RUNS = "runs without framing that repeat its last events end after the same one"


def log_whole(request_id: str, endpoint: str, evidence: Evidence | None, found: str = "") -> None:
    """Log why a stream whose form does not show its end counts as whole, or as unproven.

    Args:
        request_id: Id of its request.
        endpoint: Name of the endpoint that wrote its end.
        evidence: What proves it; None if nothing does.
        found: What is known beside it.
    """
    line = logger.bind(
        request_id=request_id, endpoint=endpoint, evidence=str(evidence or "none"), found=found
    )
    line.info("stream is whole" if evidence else "stream is not proven to be whole")


class StreamEnds:
    """Judges the ends of the runs of one streamed answer.

    Args:
        is_take_up: True if its client has the beginning of the stream.

    Attributes:
        is_take_up: As given.
        framed: True if the current run has a length or chunks.
        adds_events: True once the current run has brought an event that the client did not have.
    """

    def __init__(self, is_take_up: bool = False) -> None:
        self.is_take_up = is_take_up
        self.framed = True
        self.adds_events = False
        self._is_event_stream = True
        self._is_line_open = False
        self._tail = EventEnd()
        # What the end of the last run that brought an event says; None before it.
        self._so_far: End | None = None

    def begin(self, framed: bool, is_event_stream: bool) -> None:
        """Begin a run, with the head of its response."""
        self.framed = framed
        # Whatever a run that goes on with events calls its body, nothing but events may follow.
        self._is_event_stream = is_event_stream or self._so_far is not None
        self.adds_events = self._is_line_open = False
        self._tail = EventEnd()

    def receive(self, data: bytes) -> None:
        """Add bytes that the endpoint sent."""
        self._tail.feed(data)

    def pass_on(self, data: bytes) -> None:
        """Add bytes that the client gets, without events that it has."""
        if self.adds_events:
            return
        if self._is_line_open:
            data = data[_first_line_end(data) :]  # The rest of a comment.
        self._is_line_open = not data.endswith((b"\n", b"\r")) and bool(data or self._is_line_open)
        if has_content(data):
            self.adds_events = True

    def judge(self, left_s: float, falls_short: bool = False) -> End:
        """Return what the end of the current run says, if its form does not contradict it.

        Args:
            left_s: Time until the deadline of the request, in seconds.
            falls_short: True if the run repeated events, but not up to the last one.
        """
        found = self._judge(left_s, falls_short)
        if self.adds_events:
            self._so_far = found
        return found

    def break_off(self) -> None:
        """Record that the last run with events ended too early, whatever its form promised."""
        if self.adds_events or self._so_far is not None:
            self._so_far = End.BROKEN_OFF

    @property
    def is_inside_event(self) -> bool:
        """True if the current run has sent a part of an event."""
        return self._tail.has_data and not self._tail.is_complete

    def _judge(self, left_s: float, falls_short: bool) -> End:
        if self.is_inside_event and (self._is_event_stream or not self.framed):
            return End.BROKEN_OFF
        if falls_short or (not self.framed and left_s <= DEADLINE_MARGIN_S):
            return End.BROKEN_OFF
        if self.adds_events:
            return End.WHOLE if self.framed else End.UNPROVEN
        if self._so_far is End.BROKEN_OFF:
            return End.BROKEN_OFF
        if self.framed:
            return End.WHOLE
        # Without framing and events, a run looks like one that died after its head. Only where
        # the client has the beginning of the stream, it may have had nothing to add.
        goes_on = self.is_take_up or self._so_far is End.UNPROVEN
        return End.UNPROVEN if goes_on else End.BROKEN_OFF


def _first_line_end(data: bytes) -> int:
    """Return the position of the first line feed or carriage return, or the length."""
    ends = [at for at in (data.find(b"\n"), data.find(b"\r")) if at >= 0]
    return min(ends, default=len(data))


def plain_end(framed: bool, left_s: float) -> End:
    """Return what the end of an answer that is no stream says.

    Args:
        framed: True if it has a length or chunks.
        left_s: Time until the deadline of the request, in seconds.
    """
    if framed:
        return End.WHOLE
    return End.BROKEN_OFF if left_s <= DEADLINE_MARGIN_S else End.UNPROVEN
