"""Runs each request that must not be repeated at most once, with claims on the log."""

import asyncio
import json
import random
import time
import uuid
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

from loguru import logger

from ._backoff import Backoff
from ._outbox import Item, Outbox, Pace
from ._refresh import RefreshTimer
from .claim_index import (
    CLAIM_STREAM,
    KEY_WINDOW_S,
    MAX_ANSWER_BYTES,
    ClaimIndex,
    ClaimRecord,
    Entry,
    ReleaseRecord,
    ResultRecord,
    Status,
    body_hash,
    key_hash,
)
from .claim_index import unpack as unpack_answer
from .dependencies import Claims, Send
from .endpoint import ConnectFailed, EndpointLeaving, Reply
from .errors import (
    ExecutionStatus,
    InProgress,
    KeyMissing,
    KeyReused,
    KeyUnverified,
    LacewingError,
    LogUnavailable,
    NotReady,
    NotRun,
    OutcomeUnknown,
)
from .history import EventKind, History
from .log import Log, Page
from .membership import Members, MemberState
from .permit import Permit
from .request import Request

READ_WAIT_S = 2.0
CLAIM_TIMEOUT_S = 3.0
# Before a request is refused as not run, the stream is read once more for at most this long.
VERIFY_TIMEOUT_S = 1.0
# An answer waits this long for its result record; after that a crash of the node can lose it.
SETTLE_WAIT_S = 1.0
# The log takes several hundred appends per second; claims of all nodes together use this many.
APPENDS_PER_S = 200.0
ALIVE_POLL_S = 0.25
# A shorter pause can be below the resolution of the clock and would not end.
MIN_PAUSE_S = 0.001
# The last records of a claimant can arrive after the news of its end.
DEAD_GRACE_S = 0.5
# A claim may be sent only in this share of the retention after its append began.
SEND_SHARE = 1 / 4


@dataclass(slots=True, eq=False)
class _Attempt:
    """A claim of this node from its creation to its result."""

    key: bytes
    body: bytes
    id: str
    permit: Permit
    decided: asyncio.Future[bool] = field(default_factory=asyncio.Future)
    claimed: float = 0.0


class Claimer(Claims):
    """Executes requests under claims, on behalf of one node.

    Args:
        node: Identifier of this node.
        log: The platform's log.
        members: Tells which claimants are alive; without it only this node is.
        incarnation: Incarnation of this node.
        window_s: Key window in seconds; the same at every node.
        claim_timeout_s: How long a claim may take before the request is refused, in seconds.
        clock: Wall clock in seconds.
        history: Receives an event for each claim that was won.
        seed: Seed of the jitter; defaults to the node identifier.
        stream: Name of the stream that holds the claims.
        pace: Spaces the appends of this node, if it makes claims in several streams.

    Attributes:
        index: Owners of the keys.
        ready: True while the index is complete and requests are accepted.
    """

    def __init__(
        self,
        node: str,
        log: Log,
        members: Members | None = None,
        *,
        incarnation: int = 0,
        window_s: float = KEY_WINDOW_S,
        claim_timeout_s: float = CLAIM_TIMEOUT_S,
        clock: Callable[[], float] = time.time,
        history: History | None = None,
        seed: int | str | None = None,
        stream: str = CLAIM_STREAM,
        pace: Pace | None = None,
    ) -> None:
        self.index = ClaimIndex(window_s, self._on_claim, self._wake)
        self.ready = False
        self._node = node
        self._log = log
        self._members = members
        self._incarnation = incarnation
        self._claim_timeout_s = claim_timeout_s
        self._clock = clock
        self._history = history
        self._random = random.Random(node if seed is None else seed)
        self._prefix = uuid.uuid4().hex[:16]
        self._count = 0
        self._attempts: dict[bytes, _Attempt] = {}
        self._undecided: dict[str, _Attempt] = {}
        self._waiters: dict[bytes, list[asyncio.Future[None]]] = {}
        self._stream = stream
        self._pace = pace or Pace(self._append_interval)
        self._outbox = Outbox(log, stream, self._random, self._pace)
        self._refresh_timer = RefreshTimer(self._random)
        self._copying: asyncio.Task[None] | None = None
        self._log_time = 0.0
        self._log_time_at = 0.0
        self._retention_s = 0.0
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run(self) -> None:
        """Follow the stream and append records until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._tail())
            group.create_task(self._outbox.run())

    async def execute(self, req: Request, send: Send) -> Reply:
        """Execute a request unless it was executed before, or return the stored answer.

        A cancelled caller does not stop a request that was sent; its result is still stored.

        Args:
            req: The request; ``req.key`` is its idempotency key.
            send: Sends the request to a service. It must call its argument directly before sending.
                If it fails before that, or with an error that proves that nothing was sent (``run``
                equal to ``not_run``, ``ConnectFailed`` or ``EndpointLeaving``), the claim is
                released.

        Returns:
            The answer of this or of the earlier execution.

        Raises:
            KeyMissing: If the request has no key.
            KeyReused: If the key was used with another body.
            NotReady: If the claims were not replayed yet.
            NotRun: If the claim could not be made or nothing was sent, and no earlier request with
                the key was executed.
            KeyUnverified: If the claim could not be made, and the log could not be read either.
            InProgress: If another execution did not end within the request's patience.
            OutcomeUnknown: If the request may or may not have been executed.
            LacewingError: Any error of ``send`` that proves that nothing was sent.
        """
        if req.key is None:
            raise KeyMissing(f"pool {req.pool!r} requires an idempotency key")
        key, body = key_hash(req.workspace, req.key), body_hash(req.pool, req.body)
        deadline = req.arrived + req.patience_s
        while True:
            if not self.ready:
                raise NotReady(
                    "the node has not replayed the claims yet", run=ExecutionStatus.UNKNOWN
                )
            entry = self.index.get(key, self._log_now())
            if entry is not None:
                if entry.body != body:
                    raise KeyReused("the idempotency key was used with another body")
                if entry.status is not Status.PENDING:
                    return _stored(entry)
                await self._await_change(key, entry, deadline)
                continue
            attempt = self._attempts.get(key)
            if attempt is not None:
                if attempt.body != body:
                    raise KeyReused("the idempotency key is in use with another body")
                await self._await_change(key, None, deadline)
                continue
            reply = await self._attempt(req, key, body, send)
            if reply is not None:
                return reply

    @property
    def idle(self) -> bool:
        """True if no claim is undecided or in progress and no record waits to be appended."""
        return not self._tasks and self._outbox.idle

    async def flush(self, timeout_s: float) -> bool:
        """Wait until the pending records are in the log.

        Args:
            timeout_s: Longest wait in seconds.

        Returns:
            True if nothing is pending.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not self.idle:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            return False
        return True

    async def _attempt(self, req: Request, key: bytes, body: bytes, send: Send) -> Reply | None:
        """Claim and execute; None if another claim owns the key."""
        self._count += 1
        attempt = _Attempt(key, body, f"{self._prefix}-{self._count}", self._permit())
        self._attempts[key] = attempt
        task = asyncio.create_task(self._execute(attempt, req, send))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_retrieve)
            if not attempt.permit.used:
                attempt.permit.revoke()
                task.cancel()
            raise

    def _permit(self) -> Permit:
        loop = asyncio.get_running_loop()
        started, started_wall = loop.time(), self._clock()

        # The loop's clock stands still while the machine sleeps, the wall clock can be set back.
        def elapsed() -> float:
            return max(loop.time() - started, self._clock() - started_wall)

        return Permit(elapsed, lambda: SEND_SHARE * self._retention_s)

    async def _execute(self, attempt: _Attempt, req: Request, send: Send) -> Reply | None:
        try:
            left = req.arrived + req.patience_s - asyncio.get_running_loop().time()
            timeout_s = self._claim_timeout_s + self._pace.longest_s
            if not await self._claim(attempt, min(timeout_s, max(0.0, left))):
                return None
            if self._history is not None:
                self._history.record(
                    EventKind.CLAIMED, request=req.id, key=req.key, workspace=req.workspace
                )
            return await self._dispatch(attempt, send)
        finally:
            self._attempts.pop(attempt.key, None)
            self._wake(attempt.key)

    async def _claim(self, attempt: _Attempt, timeout_s: float) -> bool:
        """Append the claim and read back who owns the key."""
        self._undecided[attempt.id] = attempt
        record = ClaimRecord(
            attempt.key.hex(),
            attempt.body.hex(),
            attempt.id,
            self._node,
            self._incarnation,
            self.index.next,
        )
        item = self._enqueue(record)
        try:
            async with asyncio.timeout(timeout_s):
                owns = await self._decision(attempt, item)
        except (TimeoutError, asyncio.CancelledError) as exc:
            attempt.permit.revoke()
            item.dropped = True
            if item.sends:
                self._release(attempt)
            if isinstance(exc, asyncio.CancelledError):
                raise
            return await self._refuse(attempt)
        finally:
            item.dropped = True
            del self._undecided[attempt.id]
        if not owns:
            attempt.permit.revoke()
            if item.sends > 1:
                # A late duplicate of the claim would own the key after the winner's release.
                self._release(attempt)
            return False
        return True

    async def _refuse(self, attempt: _Attempt) -> bool:
        """Refuse a request whose claim was given up; False if another claim owns the key."""
        if not await self._verify():
            raise KeyUnverified(
                "the log did not answer; this request was not sent, but an earlier request with "
                "this key may have been executed"
            )
        entry = self.index.get(attempt.key, self._log_now())
        if entry is not None and entry.id != attempt.id:
            return False
        raise NotRun("the log did not confirm the claim in time; nothing was sent")

    async def _verify(self) -> bool:
        """Read to the tail, so that the index holds every claim made before this call."""
        try:
            async with asyncio.timeout(VERIFY_TIMEOUT_S):
                page = await self._log.read(self._stream, self.index.next, limit=1)
                while self.index.next < page.next:
                    await asyncio.sleep(0.02)
        except (TimeoutError, LogUnavailable):
            return False
        return self.ready

    async def _decision(self, attempt: _Attempt, _item: Item) -> bool:
        return await asyncio.shield(attempt.decided)

    async def _dispatch(self, attempt: _Attempt, send: Send) -> Reply:
        try:
            reply = await send(attempt.permit.use)
        except BaseException as exc:
            error = _as_not_sent(exc, attempt.permit.used)
            attempt.permit.revoke()
            if error is None:
                await self._finish(attempt, None)
                raise OutcomeUnknown(f"the outcome of the request is unknown: {exc!r}") from exc
            await self._settled(self._release(attempt))
            raise error from exc
        await self._finish(attempt, reply)
        return reply

    async def _finish(self, attempt: _Attempt, reply: Reply | None) -> None:
        attempt.permit.revoke()
        size = len(json.dumps(reply.body)) if reply is not None else 0
        kept = reply is not None and size <= MAX_ANSWER_BYTES
        result = ResultRecord(
            attempt.key.hex(),
            attempt.id,
            attempt.body.hex(),
            self._node,
            self._incarnation,
            attempt.claimed,
            reply is not None,
            reply.status if reply is not None else 0,
            kept,
            reply.body if reply is not None and kept else None,
        )
        self.index.record_result(result)
        await self._settled(self._enqueue(result, 256 + size))

    def _release(self, attempt: _Attempt) -> Item:
        return self._enqueue(ReleaseRecord(attempt.key.hex(), attempt.id))

    async def _settled(self, item: Item) -> None:
        timeout_s = SETTLE_WAIT_S + self._pace.longest_s
        await asyncio.wait([item.confirmed], timeout=timeout_s)

    async def _await_change(self, key: bytes, entry: Entry | None, deadline: float) -> None:
        """Wait until the state of a key changes."""
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[None] = loop.create_future()
        self._waiters.setdefault(key, []).append(fut)
        try:
            while not fut.done():
                alive = entry is None or self._is_alive(entry)
                if not alive:
                    deadline = min(deadline, loop.time() + DEAD_GRACE_S)
                if loop.time() >= deadline:
                    raise _unfinished(alive)
                pause = max(MIN_PAUSE_S, min(ALIVE_POLL_S, deadline - loop.time()))
                await asyncio.wait([fut], timeout=pause)
        finally:
            waiting = self._waiters.get(key)
            if waiting is not None and fut in waiting:
                waiting.remove(fut)
                if not waiting:
                    del self._waiters[key]

    def _is_alive(self, entry: Entry) -> bool:
        if entry.id.startswith(self._prefix):
            return True
        if self._members is None or entry.node == self._node or entry.blocked:
            return False
        if self._members.state(entry.node) is MemberState.DEAD:
            return False
        return all(
            member.incarnation == entry.incarnation
            for member in self._members.live()
            if member.node == entry.node
        )

    def _wake(self, key: bytes) -> None:
        for fut in self._waiters.pop(key, ()):
            if not fut.done():
                fut.set_result(None)

    def _on_claim(self, claim_id: str, owns: bool) -> None:
        attempt = self._undecided.get(claim_id)
        if attempt is None or attempt.decided.done():
            return
        entry = self.index.entries.get(attempt.key)
        attempt.claimed = entry.time if entry is not None else self._log_now()
        attempt.decided.set_result(owns)

    def _log_now(self) -> float:
        return self._log_time + asyncio.get_running_loop().time() - self._log_time_at

    def _append_interval(self) -> float:
        nodes = len(self._members.live()) if self._members is not None else 1
        return nodes / APPENDS_PER_S

    def _enqueue(self, record: ClaimRecord | ReleaseRecord | ResultRecord, size: int = 256) -> Item:
        return self._outbox.add(asdict(record), size)

    async def _tail(self) -> None:
        backoff = Backoff(self._random)
        wait_s = 0.0
        while True:
            try:
                page = await self._log.read(self._stream, self.index.next, wait_s=wait_s)
            except LogUnavailable:
                await backoff.pause()
                continue
            backoff.reset()
            self._take(page)
            wait_s = READ_WAIT_S if self.index.next >= page.next else 0.0

    def _take(self, page: Page) -> None:
        self._log_time = page.time
        self._log_time_at = asyncio.get_running_loop().time()
        self._retention_s = page.retention_s
        self.index.feed(page)
        if not self.index.synced:
            self.ready = False
        elif self.index.next >= page.next:
            self.ready = True
            self._start_copy(page)

    def _start_copy(self, page: Page) -> None:
        """Re-append the index before the records that hold it expire."""
        if page.retention_s >= self.index.window_s or self.index.next == 0:
            return
        if self._copying is not None and not self._copying.done():
            return
        if self._refresh_timer.due(page, self.index.refreshed):
            self._copying = asyncio.create_task(self._copy())

    async def _copy(self) -> None:
        for part in self.index.copy(uuid.uuid4().hex[:16], self._node):
            if not await self._outbox.append_now(asdict(part)):
                logger.warning("copy of the claims was given up: the log did not confirm it")
                return


def _stored(entry: Entry) -> Reply:
    if entry.status is Status.UNKNOWN:
        raise OutcomeUnknown("the outcome of the earlier request with this key is unknown")
    if entry.answer is None:
        raise OutcomeUnknown(
            "the earlier request with this key was executed, but its answer was too large to keep",
            executed=True,
            status=entry.code,
        )
    return Reply(entry.code, unpack_answer(entry.answer))


def _as_not_sent(exc: BaseException, used: bool) -> LacewingError | None:
    """Return the error for the caller if nothing was sent, otherwise None."""
    if isinstance(exc, LacewingError) and exc.run is ExecutionStatus.NOT_RUN:
        return exc
    if not used or isinstance(exc, ConnectFailed | EndpointLeaving):
        return NotRun(f"nothing was sent: {exc!r}")
    return None


def _unfinished(alive: bool) -> LacewingError:
    if alive:
        return InProgress("another request with this key is executing")
    return OutcomeUnknown("the node that executed this key is gone; its outcome is unknown")


def _retrieve(task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.info("request of a caller that went away ended with {!r}", task.exception())
