"""Progress of the response to one proxied request, and what its client is told if it fails."""

import asyncio
from dataclasses import dataclass, field

from loguru import logger

from .end_verification import Verification
from .endpoint import ConnectFailed, EndpointCrashed, EndpointError
from .errors import (
    AnswerIncomplete,
    EndpointFailed,
    ExecutionStatus,
    LacewingError,
    NotRun,
    Overloaded,
)
from .eventstream import EventSplitter
from .movable_run import MovableRun
from .proxyclient import EndpointBusy
from .repeated_events import EventHistory, LastEvents
from .request import ProxyState, Request
from .stream_end import End, StreamEnds
from .tables import Endpoint

RETRY_AFTER_S = 1.0  # Sent to clients when no endpoint accepted the request.


@dataclass(slots=True)
class AnswerProgress:
    """Progress of the response to one request.

    Attributes:
        head_sent: True once the head was passed on to the client.
        splitter: Splits a stream that another endpoint may continue into events; None for other
            responses.
        counted: True once the request counts for the usage of its workspace.
        run: The run of the request if it can be moved, otherwise None.
        ends: Judges the ends of a stream.
        begun: True once an event of a stream was passed on.
        verification: Where the stream goes on after an end that proved nothing.
        history: Ids of the events that were passed on; None if no other run can repeat them.
        started: Loop time at which the current run was sent, in seconds.
        deadline: Deadline that its endpoint was sent, as a loop time in seconds.
    """

    head_sent: bool = False
    counted: bool = False
    splitter: EventSplitter | None = None
    run: MovableRun | None = None
    ends: StreamEnds = field(default_factory=StreamEnds)
    begun: bool = False
    verification: Verification = field(default_factory=Verification)
    history: EventHistory | None = None
    started: float = 0.0
    deadline: float = float("inf")

    def last_events(self) -> LastEvents | None:
        """Return the last events of a stream that may be resumed after them, or None."""
        if self.history is None or self.splitter is None or not self.splitter.can_continue:
            return None
        return self.history.last_events()


def lost_response(state: ProxyState, exc: BaseException) -> bool:
    """Tell whether a plain request was sent and its response, or a part of it, did not arrive."""
    if state.streaming or isinstance(exc, ConnectFailed | EndpointBusy):
        return False
    # A cancelled attempt may still have been connecting.
    return isinstance(exc, EndpointCrashed) or state.abort is not None


def lacks_capacity(exc: LacewingError) -> bool:
    """Tell whether a request failed because no runner had room for it."""
    return isinstance(exc, Overloaded) or isinstance(exc.__cause__, EndpointBusy)


def log_end(req: Request, endpoint: Endpoint, ends: StreamEnds, resumed: bool, end: End) -> None:
    """Log how a stream ended whose form alone does not show that it is whole."""
    state = req.proxy
    if state is None or (ends.framed and not resumed):
        return
    logger.bind(
        request_id=req.id,
        endpoint=endpoint.name,
        framed=ends.framed,
        resumed=resumed,
        adds_events=ends.adds_events,
        inside_event=ends.is_inside_event,
        last_event=(state.last_event or b"").decode("latin-1"),
        outcome=str(end),
    ).info("stream ended")


def answering_s(state: ProxyState) -> float | None:
    """Return for how long the current endpoint has been answering, in seconds."""
    if state.answering_since is None:
        return None
    return round(asyncio.get_running_loop().time() - state.answering_since, 3)


def correct_run(state: ProxyState, exc: LacewingError, progress: AnswerProgress) -> LacewingError:
    """Replace an error that states "not run" if an earlier attempt may have been executed."""
    if exc.run is not ExecutionStatus.NOT_RUN or not state.may_have_run:
        return exc
    if progress.head_sent:
        return AnswerIncomplete(f"the answer was interrupted: {exc.message}")
    return EndpointFailed(f"no endpoint completed the request: {exc.message}")


def client_error(state: ProxyState, exc: EndpointError, progress: AnswerProgress) -> LacewingError:
    """Return what the client is told after a last attempt that failed."""
    if progress.head_sent:
        return AnswerIncomplete(f"the answer was interrupted: {exc.message}")
    if not state.may_have_run:
        return NotRun(
            f"no endpoint accepted the request: {exc.message}", retry_after_s=RETRY_AFTER_S
        )
    return EndpointFailed(f"no endpoint completed the request: {exc.message}")
