"""A stream whose run may be moved to another endpoint while it is in progress.

An endpoint that moves a run stops it and closes its stream without its end, perhaps before this
node has the answer to its call. Whenever a stream breaks during such a call, its answer therefore
decides whether the run was stopped or the endpoint failed.
"""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import AsyncGenerator, Sequence
from contextlib import aclosing
from dataclasses import dataclass
from typing import Protocol, TypeVar

from .endpoint import EndpointCrashed, EndpointError
from .move_client import MoveAnswer, MoveOutcome
from .request import ProxyState, Request, RunCopy
from .tables import Endpoint

# The stream of a run that another endpoint can resume waits this long for the answer to the call
# that may have stopped it. Then it is resumed as after a crash, which costs a retry.
RESUME_WAIT_S = 0.3
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class RunMoved(EndpointError):
    """The endpoint stopped the run, and its state is known: another endpoint can continue it."""

    code = "run_moved"
    neutral = True


class RunStopped(EndpointError):
    """The endpoint probably stopped the run because of a call to move it, and none can continue."""

    code = "run_stopped"
    neutral = True


class _Head(Protocol):
    """The parts of a response's head that matter here."""

    @property
    def status(self) -> int: ...

    @property
    def framed(self) -> bool: ...

    @property
    def is_event_stream(self) -> bool: ...


HeadT = TypeVar("HeadT", bound=_Head)


@dataclass(slots=True)
class RunProgress:
    """Progress of a run.

    Attributes:
        started: Loop time at which it was sent to its first endpoint, in seconds.
        total: Number of events from all endpoints.
        events: Number of events from the current endpoint.
        first_events: Number of events that came with the first one from the current endpoint.
        first_at: Loop time of the first event from the current endpoint, in seconds.
        last_at: Loop time of the last event, in seconds.
    """

    started: float = 0.0
    total: int = 0
    events: int = 0
    first_events: int = 0
    first_at: float = 0.0
    last_at: float = 0.0

    def restart(self) -> None:
        """Begin to count the events of another endpoint."""
        self.events = self.first_events = 0

    def record(self, count: int, now: float) -> None:
        """Record the arrival of events."""
        if not count:
            return
        if not self.events:
            self.first_events, self.first_at = count, now
        self.events += count
        self.total += count
        self.last_at = now

    @property
    def gap_s(self) -> float | None:
        """Mean time between two events of the current endpoint, in seconds; None if unknown."""
        later = self.events - self.first_events
        return (self.last_at - self.first_at) / later if later > 0 else None


@dataclass(slots=True, eq=False)
class Move:
    """A call that moves a run.

    Attributes:
        source: Endpoint that executes the run.
        target: Endpoint that is to continue it.
        answer: Set to the answer of the source.
        stream_ended: Set once the stream of the source has ended.
        claimed: True once the stream ended because of this call, and the state will be used.
    """

    source: Endpoint
    target: Endpoint
    answer: asyncio.Future[MoveAnswer]
    stream_ended: asyncio.Event
    claimed: bool = False

    @property
    def has_failed(self) -> bool:
        """True if the source has answered, and no state of the run is known."""
        return self.answer.done() and self.answer.result().copy is None


class RunOwner(ABC):
    """Decides about the runs of a node."""

    @abstractmethod
    def on_attempt_started(self, run: "MovableRun") -> None:
        """Record that an endpoint was sent the request of a run."""

    @abstractmethod
    def on_attempt_ended(self, run: "MovableRun") -> None:
        """Record that the stream of an endpoint has ended."""

    @abstractmethod
    def on_continued(self, run: "MovableRun", copy: RunCopy) -> None:
        """Record that the current endpoint continues a run with a copied state."""

    @abstractmethod
    def on_state_lost(self, run: "MovableRun") -> None:
        """Record that no endpoint continues a run that was stopped."""

    @abstractmethod
    def on_done(self, run: "MovableRun", complete: bool) -> None:
        """Record that the request of a run has ended."""

    @abstractmethod
    def continuation_targets(
        self, run: "MovableRun", move: Move, answer: MoveAnswer
    ) -> Sequence[Endpoint]:
        """Return the endpoints that are asked to continue a stopped run, in order."""

    @abstractmethod
    def free(self, copy: RunCopy) -> None:
        """Free a copied state that will not be used."""


@dataclass(slots=True)
class _Continuation:
    """State of a stopped run.

    Attributes:
        copy: The state.
        continuation_targets: Endpoints that are asked next to continue the run.
        used: True once one of them has continued it.
    """

    copy: RunCopy
    continuation_targets: deque[Endpoint]
    used: bool = False


class MovableRun:
    """A request whose run may be moved, from its first endpoint to its end.

    Args:
        req: The request.
        owner: Decides about the run.

    Attributes:
        req: The request.
        progress: Progress of the run.
        endpoint: Endpoint that has the run, or None between two of them.
        refused_by: Names of endpoints that could not take the run.
        failures: Number of failed calls that were to move it.
        not_before: Loop time before which the run is not moved, in seconds.
        retry_charged: True once the retry budget was charged for moving it, False if nothing was
            left of it; None before.
        stopped: True once an endpoint stopped the run, so that it must not begin anew unless it is
            repeatable.
    """

    def __init__(self, req: Request, owner: RunOwner) -> None:
        self.req = req
        self.progress = RunProgress()
        self.endpoint: Endpoint | None = None
        self.refused_by: set[str] = set()
        self.failures = 0
        self.not_before = float("-inf")
        self.retry_charged: bool | None = None
        self.stopped = False
        self._owner = owner
        self._has_events = True
        self._move: Move | None = None
        # True once the current endpoint has left a call unanswered, and may have stopped the run.
        self._in_doubt = False
        self._stream_ended = asyncio.Event()
        self._continuation: _Continuation | None = None

    @property
    def state(self) -> ProxyState:
        """State of the request."""
        assert self.req.proxy is not None
        return self.req.proxy

    @property
    def can_move(self) -> bool:
        """True if the run can be moved without losing or repeating an event.

        Before its first event, a repeatable request is retried like after any failure. After it,
        only the ids of the events say where another endpoint must go on.
        """
        if not self._has_events or (self._move is not None and not self._move.has_failed):
            return False
        if self.state.unnumbered:
            return False
        if self.state.last_event is None:
            return not self.progress.total and not self.state.repeatable
        return True

    @property
    def has_target(self) -> bool:
        """True if another endpoint can be asked to continue the stopped run."""
        found = self._continuation
        return found is not None and not found.used and bool(found.continuation_targets)

    def next_target(self) -> Endpoint | None:
        """Return the next endpoint that is asked to continue the stopped run, or None."""
        if not self.has_target:
            self.drop_state()
            return None
        assert self._continuation is not None
        self.state.continued = self._continuation.copy
        return self._continuation.continuation_targets.popleft()

    def drop_state(self) -> None:
        """Forget the state of a stopped run, and free it if no endpoint has continued the run."""
        found, self._continuation = self._continuation, None
        self.state.continued = None
        if found is not None and not found.used:
            self._owner.free(found.copy)
            self._owner.on_state_lost(self)

    def close(self, complete: bool) -> None:
        """End the request.

        Args:
            complete: True if its answer is complete.
        """
        self.drop_state()
        self._owner.on_done(self, complete)

    def begin_move(self, target: Endpoint) -> Move:
        """Return a new call that moves the run to an endpoint."""
        assert self.endpoint is not None
        if self._move is not None and self._move.answer.result().outcome is MoveOutcome.UNANSWERED:
            self._in_doubt = True
        answer = asyncio.get_running_loop().create_future()
        self._move = Move(self.endpoint, target, answer, self._stream_ended)
        return self._move

    async def attempt(
        self,
        endpoint: Endpoint,
        pieces: AsyncGenerator[HeadT | bytes, None],
        goes_on: bool = False,
    ) -> AsyncGenerator[HeadT | bytes, None]:
        """Pass on the response of an endpoint.

        Args:
            endpoint: The endpoint.
            pieces: Head and body of its response.
            goes_on: True if the endpoint is asked whether its own run goes on.

        Yields:
            Head and body.

        Raises:
            EndpointError: ``RunMoved`` if the run was stopped and can be continued, ``RunStopped``
                if it was probably stopped and cannot, otherwise the error of ``pieces``.
        """
        self._start_attempt(endpoint, goes_on)
        framed = True
        try:
            async with aclosing(pieces):
                async for piece in pieces:
                    if isinstance(piece, bytes):
                        count = sum(map(piece.count, _EVENT_ENDS))
                        self.progress.record(count, asyncio.get_running_loop().time())
                    else:
                        framed = piece.framed
                        self._on_head(piece)
                    yield piece
            if not framed:
                # A stopped stream without framing ends like one that is whole.
                await self._raise_if_stopped(endpoint, broken=False)
        except EndpointCrashed:
            if not self.state.withdrawn:
                await self._raise_if_stopped(endpoint, broken=True)
            raise
        finally:
            self._stream_ended.set()
            self._owner.on_attempt_ended(self)
            self.endpoint = None

    def _start_attempt(self, endpoint: Endpoint, goes_on: bool) -> None:
        if self.state.continued is None and not goes_on:
            self.progress.started = asyncio.get_running_loop().time()
        self.progress.restart()
        self.endpoint = endpoint
        self._move = None
        self._in_doubt = False
        self._stream_ended = asyncio.Event()
        self._has_events = True
        self._owner.on_attempt_started(self)

    def _on_head(self, head: _Head) -> None:
        self._has_events = head.status == 200 and head.is_event_stream
        if self._continuation is not None and head.status == 200:
            self._continuation.used = True
            self._owner.on_continued(self, self._continuation.copy)

    async def _raise_if_stopped(self, endpoint: Endpoint, broken: bool) -> None:
        """Raise an error if the stream ended because the run was stopped to be moved."""
        move = self._move
        if move is None:
            return
        answer = await self._answer_to(move)
        if answer.copy is not None:
            self.stopped = True
            if self.state.unnumbered:
                # Passed on while the call was in progress. The copy is freed, as it is not claimed.
                self._owner.on_state_lost(self)
                raise RunStopped(
                    f"endpoint {endpoint.name!r} stopped the run after an event without an id",
                    endpoint=endpoint.name,
                )
            move.claimed = True
            continuation_targets = self._owner.continuation_targets(self, move, answer)
            self._continuation = _Continuation(answer.copy, deque(continuation_targets))
            raise RunMoved(f"endpoint {endpoint.name!r} stopped the run", endpoint=endpoint.name)
        # A refused call should not have stopped the run, but that is likelier than a crash.
        in_doubt = self._in_doubt or (broken and answer.outcome is MoveOutcome.REFUSED)
        if in_doubt or answer.outcome is MoveOutcome.UNANSWERED:
            self.stopped = True
            raise RunStopped(
                f"endpoint {endpoint.name!r} stopped the run, whose state is unknown",
                endpoint=endpoint.name,
            )

    async def _answer_to(self, move: Move) -> MoveAnswer:
        limit_s = RESUME_WAIT_S if self.state.repeatable else None
        # Unlike a direct wait, this does not cancel the future if the request is cancelled.
        await asyncio.wait([move.answer], timeout=limit_s)
        return move.answer.result() if move.answer.done() else MoveAnswer(MoveOutcome.UNANSWERED)
