"""Moves runs away from endpoints that leave before the runs end.

A leaving endpoint gets no new requests, but its announcement may leave less time than its streams
need. A stream that will end in time stays. Any other is moved at once, because the time left is
also needed for moves that must be repeated: the endpoint stops the run and copies its state to
another endpoint, to which the same request is then sent.
"""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

from loguru import logger

from .answer_time import AnswerTimes
from .continuation import continuing
from .dependencies import RetryBudgets
from .directory import EndpointDirectory
from .length import LengthEstimator
from .movable_run import MovableRun, Move, RunOwner, RunProgress
from .move_client import MoveAnswer, MoveOutcome, RunMoveClient
from .proxyscheduler import ProxyScheduler
from .request import Grant, Request, RunCopy
from .tables import Endpoint

# A stream must be expected to end this long before its endpoint does.
MARGIN_S = 0.3
# Moves share the network link of the endpoint; more at a time would make each of them slower.
MAX_MOVES = 2
# A run of 12,000 tokens takes about 10 ms on the link; moves of other nodes may come first.
CALL_TIMEOUT_S = 1.0
# Interval of the decisions while a leaving endpoint has streams.
POLL_S = 0.1
# Time after which a run that could not be moved is tried again; doubled with each failure, because
# a failed move may interrupt the run.
RETRY_S = 0.25
MAX_DOUBLINGS = 5
# A source that has stopped a run closes its stream at once; this node does so after this time.
CLOSE_S = 0.2
# Calls that are made to learn the state of a run if the first one had no answer.
MAX_REPEATS = 2
REPEAT_PAUSE_S = 0.1
# An endpoint that leaves sooner than this continues no run that it has stopped.
LEAST_STAY_S = 0.5
# Outcomes that count as failures, after which another target is tried first. A run that has ended,
# has not begun or is being moved by another call is no failure.
FAILURES = frozenset(
    (
        MoveOutcome.NOT_COPIED,
        MoveOutcome.REFUSED,
        MoveOutcome.UNREACHED,
        MoveOutcome.UNANSWERED,
    )
)
# Share of the earlier answers of a class that were at most as long as expected.
QUANTILE = 0.9
# An answer that is longer than expected is assumed to go on for this share of its length.
OVERLONG_SHARE = 0.5


def predicted_end(
    progress: RunProgress, expected_events: float, expected_s: float, now: float
) -> float:
    """Return the loop time at which a run will end, in seconds; infinite if unknown.

    Args:
        progress: Progress of the run.
        expected_events: Expected number of events of the whole answer.
        expected_s: Expected time from the sending of the request to the end of its answer, in
            seconds; used until the rate of its events is known.
        now: Loop time, in seconds.
    """
    gap_s = progress.gap_s
    if gap_s is not None:
        left = expected_events - progress.total
        return now + gap_s * (left if left > 0.0 else OVERLONG_SHARE * progress.total)
    end = progress.started + expected_s
    return end if end > now else float("inf")


@dataclass(frozen=True, slots=True)
class MoveCandidate:
    """A run at a leaving endpoint that could be moved.

    Attributes:
        run: The run.
        tier: Tier of its request.
        resumable: True if another endpoint can resume it without its state.
        end: Loop time at which it will end, in seconds.
    """

    run: MovableRun
    tier: int
    resumable: bool
    end: float


def choose_moves(
    candidates: Sequence[MoveCandidate], leaves_at: float, in_progress: int
) -> list[MoveCandidate]:
    """Return which runs of a leaving endpoint are moved now.

    Args:
        candidates: Its runs that could be moved.
        leaves_at: Loop time at which it ends, in seconds.
        in_progress: Number of runs that are being moved away from it.
    """
    late = [item for item in candidates if item.end > leaves_at - MARGIN_S]
    late.sort(key=lambda item: (item.tier, item.resumable))
    return late[: max(0, MAX_MOVES - in_progress)]


class RunMover(RunOwner):
    """Watches leaving endpoints, and has their runs moved in time.

    Args:
        directory: Says which endpoints leave, and when.
        scheduler: Chooses the endpoints that continue the runs.
        client: Calls the endpoints.
        budget: Charged once for each run that is moved; None if there is none.
        drain_s: Time for which an endpoint stays that does not say when it leaves, in seconds.

    Attributes:
        moved: Number of runs that were continued at another endpoint.
        failed: Number of moves that failed.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        scheduler: ProxyScheduler,
        client: RunMoveClient,
        budget: RetryBudgets | None,
        drain_s: float,
    ) -> None:
        self.moved = 0
        self.failed = 0
        self._directory = directory
        self._scheduler = scheduler
        self._client = client
        self._budget = budget
        self._drain_s = drain_s
        self._runs: dict[str, set[MovableRun]] = {}
        # Loop times at which leaving endpoints end, in seconds; those without an announced time
        # are counted from when this node first saw that they leave.
        self._leaves_at: dict[str, float] = {}
        self._outgoing: Counter[str] = Counter()
        self._incoming: Counter[str] = Counter()
        self._lengths = LengthEstimator()
        self._known_classes: set[str] = set()
        self._answer_times = AnswerTimes()
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        directory.listen(lambda _: self._changed.set())

    def track(self, req: Request) -> MovableRun | None:
        """Return a new run if the endpoints of the request's pool can move it, otherwise None.

        Runs are moved only in pools whose runners are ordered and reclaimed while they work.
        """
        if req.proxy is None or not req.proxy.streaming:
            return None
        moves = any(
            spec.engine.moves and spec.scaling is not None
            for spec in self._directory.specs()
            if spec.name == req.pool
        )
        return MovableRun(req, self) if moves else None

    def occupy(self, run: MovableRun, endpoint: Endpoint) -> Grant:
        """Take a slot of an endpoint that is asked to continue a run."""
        return self._scheduler.occupy(run.req, endpoint, run.progress.total)

    async def run(self) -> None:
        """Move runs until cancelled."""
        try:
            while True:
                self._changed.clear()
                has_leaving = self._start_moves()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(POLL_S if has_leaving else None):
                        await self._changed.wait()
        finally:
            for task in self._tasks:
                task.cancel()

    def on_attempt_started(self, run: MovableRun) -> None:
        """Watch a run."""
        assert run.endpoint is not None
        name = run.endpoint.name
        self._runs.setdefault(name, set()).add(run)
        if self._directory.is_leaving(name):
            self._changed.set()

    def on_attempt_ended(self, run: MovableRun) -> None:
        """Stop watching a run at its current endpoint."""
        assert run.endpoint is not None
        runs = self._runs[run.endpoint.name]
        runs.discard(run)
        if not runs:
            del self._runs[run.endpoint.name]

    def on_continued(self, run: MovableRun, copy: RunCopy) -> None:
        """Count a run that continues at another endpoint than its source."""
        assert run.endpoint is not None
        if run.endpoint.address != copy.source:
            self.moved += 1

    def on_state_lost(self, run: MovableRun) -> None:
        """Count a run that no endpoint continues."""
        self.failed += 1

    def on_done(self, run: MovableRun, complete: bool) -> None:
        """Record the length of a complete answer."""
        if not complete or not run.progress.total:
            return
        req, progress = run.req, run.progress
        self._lengths.add(req.request_class, req.workspace, progress.total)
        self._known_classes.add(req.request_class)
        self._answer_times.record(req.request_class, _now() - progress.started)

    def continuation_targets(
        self, run: MovableRun, move: Move, answer: MoveAnswer
    ) -> Sequence[Endpoint]:
        """Return the endpoints that are asked to continue a stopped run, in order.

        If only the source has the state, it continues the run unless it leaves too soon. The first
        event may have arrived since the target was chosen, so that only now the origin is known.
        """
        return continuing(run.req, self._state_holders(run, move, answer))

    def _state_holders(self, run: MovableRun, move: Move, answer: MoveAnswer) -> list[Endpoint]:
        """Return the endpoints that have the state of a stopped run or can fetch it, in order."""
        if answer.outcome is MoveOutcome.MOVED:
            return [move.target, move.source]
        other = self._target(run, move.source)
        others = [] if other is None else [other]
        leaves_at = self._leaving_at(move.source.name, _now())
        if leaves_at is not None and leaves_at - _now() < LEAST_STAY_S:
            return [*others, move.source]
        return [move.source, *others]

    def free(self, copy: RunCopy) -> None:
        """Free a copied state that will not be used."""
        self._start_task(self._client.free_copy(copy, CALL_TIMEOUT_S))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start_moves(self) -> bool:
        """Start the moves that are due; return whether a leaving endpoint has streams."""
        now = _now()
        found = False
        for name, runs in list(self._runs.items()):
            leaves_at = self._leaving_at(name, now)
            if leaves_at is None:
                continue
            found = True
            candidates = [
                MoveCandidate(run, run.req.tier, run.state.resumable, self._end(run, now))
                for run in runs
                if run.can_move and now >= run.not_before
            ]
            for item in choose_moves(candidates, leaves_at, self._outgoing[name]):
                self._start_move(item, leaves_at, now)
        for name in list(self._leaves_at):
            if name not in self._runs and not self._directory.is_leaving(name):
                del self._leaves_at[name]
        return found

    def _start_move(self, item: MoveCandidate, leaves_at: float, now: float) -> None:
        run = item.run
        assert run.endpoint is not None
        run.not_before = now + RETRY_S
        target = self._target(run, run.endpoint)
        if target is None or not self._charge_retry(run):
            return
        move = run.begin_move(target)
        self._outgoing[move.source.name] += 1
        self._incoming[target.name] += 1
        self._start_task(self._move(run, move, item.end - now, leaves_at - now))

    async def _move(self, run: MovableRun, move: Move, end_s: float, left_s: float) -> None:
        """Make one call and hand its answer to the run."""
        started = _now()
        answer = MoveAnswer(MoveOutcome.UNANSWERED)
        try:
            answer = await self._ask(run, move)
        finally:
            self._outgoing[move.source.name] -= 1
            self._incoming[move.target.name] -= 1
            move.answer.set_result(answer)
            self._changed.set()
        if answer.outcome in FAILURES:
            self.failed += 1
            run.failures += 1
            run.refused_by.add(move.target.name)
        run.not_before = _now() + RETRY_S * 2 ** min(MAX_DOUBLINGS, max(0, run.failures - 1))
        logger.bind(
            request_id=run.req.id,
            source=move.source.name,
            target=move.target.name,
            events=run.progress.total,
            predicted_end_s=round(end_s, 3) if end_s < float("inf") else None,
            time_left_s=round(left_s, 3),
            outcome=str(answer.outcome),
            duration_s=round(_now() - started, 3),
        ).info("run moved" if answer.outcome is MoveOutcome.MOVED else "run not moved")
        if answer.copy is not None:
            await self._end_stream(run, move, answer.copy)

    async def _ask(self, run: MovableRun, move: Move) -> MoveAnswer:
        """Call the source; if it does not answer, call it again to learn the state of the run."""
        answer = await self._client.move_run(move.source, run.req, move.target, CALL_TIMEOUT_S)
        if answer.outcome is not MoveOutcome.UNANSWERED:
            return answer
        for _ in range(MAX_REPEATS):
            await asyncio.sleep(REPEAT_PAUSE_S)
            again = await self._client.move_run(move.source, run.req, move.target, CALL_TIMEOUT_S)
            if again.copy is not None:
                return again
            if again.outcome not in (MoveOutcome.UNANSWERED, MoveOutcome.BUSY):
                break
        return answer

    async def _end_stream(self, run: MovableRun, move: Move, copy: RunCopy) -> None:
        """End the stream of a run that was stopped, and free its state if it is not used."""
        try:
            async with asyncio.timeout(CLOSE_S):
                await move.stream_ended.wait()
        except TimeoutError:
            if run.endpoint is move.source and run.state.abort is not None:
                run.state.abort()
            await move.stream_ended.wait()
        if not move.claimed:
            await self._client.free_copy(copy, CALL_TIMEOUT_S)

    def _target(self, run: MovableRun, source: Endpoint) -> Endpoint | None:
        """Choose the endpoint that is to continue a run."""
        found = self._scheduler.move_target(run.req, source, run.refused_by, self._incoming)
        if found is None and run.refused_by:
            run.refused_by.clear()
            found = self._scheduler.move_target(run.req, source, (), self._incoming)
        return found

    def _charge_retry(self, run: MovableRun) -> bool:
        """Charge the retry budget once for a run; return False if nothing is left of it."""
        if run.retry_charged:
            return True
        retry_charged = self._budget is None or self._budget.try_spend(run.req.pool)
        if not retry_charged and run.retry_charged is None:
            logger.bind(request_id=run.req.id).info("run not moved: no retry is left")
        run.retry_charged = retry_charged
        return retry_charged

    def _end(self, run: MovableRun, now: float) -> float:
        req = run.req
        # Until an answer of the class has finished: an event has at least one token.
        events = float(req.max_tokens)
        if req.request_class in self._known_classes:
            events = self._lengths.quantile(req.request_class, req.workspace, QUANTILE)
        expected_s = self._answer_times.expected_s(req.request_class)
        return predicted_end(run.progress, events, expected_s, now)

    def _leaving_at(self, name: str, now: float) -> float | None:
        """Return the loop time at which an endpoint leaves, in seconds; None if it stays."""
        if self._directory.is_leaving(name):
            announced = self._directory.ends_at(name)
            if announced is not None:
                self._leaves_at[name] = announced
            return self._leaves_at.setdefault(name, now + self._drain_s)
        if self._directory.address(name) is not None:
            self._leaves_at.pop(name, None)
        # The announcement of an endpoint may expire before it has left.
        return self._leaves_at.get(name)


def _now() -> float:
    return asyncio.get_running_loop().time()
