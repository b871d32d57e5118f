"""At-most-once execution of requests with idempotency keys, with claims in the log."""

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
from ._outbox import AppendPacer, AppendQueue, PendingRecord
from ._refresh import RefreshTimer
from .claim_index import (
    CLAIM_STREAM,
    KEY_WINDOW_S,
    MAX_ANSWER_BYTES,
    ClaimEntry,
    ClaimIndex,
    ClaimRecord,
    ClaimStatus,
    ReleaseRecord,
    ResultRecord,
    body_hash,
    key_hash,
    unpack_answer,
)
from .dependencies import Claims, SendCall
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
from .permit import SendPermit
from .request import Request

READ_WAIT_S = 2.0
CLAIM_TIMEOUT_S = 3.0
# Before an error states "not run", the stream is read to its tail, for at most this long.
VERIFY_TIMEOUT_S = 1.0
# A reply waits this long until its result record is confirmed; later a crash of the node loses it.
CONFIRM_WAIT_S = 1.0
# The log accepts several hundred appends per second; the claims of all nodes may use this many.
APPENDS_PER_S = 200.0
ALIVE_POLL_S = 0.25
# A shorter pause may be below the resolution of the clock, so that the wait would not end.
MIN_PAUSE_S = 0.001
# The last records of a claimant may arrive after its failure is known.
DEAD_GRACE_S = 0.5
# A request may be sent only within this share of the retention after the append of its claim.
SEND_SHARE = 1 / 4


@dataclass(slots=True, eq=False)
class _ClaimAttempt:
    """A claim of this node, from its creation to its result.

    Attributes:
        key: Hash of workspace and idempotency key.
        body: Hash of pool and body.
        id: Identifier of the claim.
        permit: Permission to send the request.
        decided: Whether the claim owns the key, once its record was read.
        claimed: Wall time of the claim record, in seconds since the epoch.
    """

    key: bytes
    body: bytes
    id: str
    permit: SendPermit
    decided: asyncio.Future[bool] = field(default_factory=asyncio.Future)
    claimed: float = 0.0


class Claimer(Claims):
    """Executes requests under claims, on behalf of one node.

    Args:
        node: Identifier of this node.
        log: The platform's log.
        members: Tells which claimants are alive; without it only this node counts as alive.
        incarnation: Incarnation of this node.
        window_s: Time for which a key stays claimed, in seconds; the same at every node.
        claim_timeout_s: Longest time for a claim before the request is refused, in seconds.
        clock: Wall clock in seconds.
        history: Receives an event for each claim that was won.
        seed: Seed of the jitter; defaults to the node identifier.
        stream: Name of the stream that holds the claims.
        pacer: Limits the rate of the appends, if this node claims keys in several streams.

    Attributes:
        index: The owner and outcome of each key.
        ready: True while the index is complete, so that requests are accepted.
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
        pacer: AppendPacer | None = None,
    ) -> None:
        self.index = ClaimIndex(window_s, self._on_claim, self._notify_waiters)
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
        self._attempts: dict[bytes, _ClaimAttempt] = {}
        self._undecided: dict[str, _ClaimAttempt] = {}
        self._waiters: dict[bytes, list[asyncio.Future[None]]] = {}
        self._stream = stream
        self._pacer = pacer or AppendPacer(self._append_interval)
        self._queue = AppendQueue(log, stream, self._random, self._pacer)
        self._refresh_timer = RefreshTimer(self._random)
        self._copy_task: asyncio.Task[None] | None = None
        self._log_time = 0.0
        self._log_time_at = 0.0
        self._retention_s = 0.0
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run(self) -> None:
        """Follow the stream and append records until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_stream())
            group.create_task(self._queue.run())

    async def execute(self, req: Request, send: SendCall) -> Reply:
        """Execute a request unless it was executed before, or return the stored reply.

        If this coroutine is cancelled after the request was sent, the request continues and its
        result is stored.

        Args:
            req: The request; ``req.key`` is its idempotency key.
            send: Sends the request to a service. It must call its argument directly before sending.
                If it fails before that, or with an error that proves that nothing was sent (``run``
                equal to ``not_run``, ``ConnectFailed`` or ``EndpointLeaving``), the claim is
                released.

        Returns:
            The reply of this or of the earlier execution.

        Raises:
            KeyMissing: If the request has no key.
            KeyReused: If the key was used with another body.
            NotReady: If the claims were not replayed yet.
            NotRun: If the claim was not confirmed or nothing was sent, and no earlier request with
                the key was executed.
            KeyUnverified: If the claim was not confirmed, and the log could not be read either.
            InProgress: If another execution did not end within the patience of the request.
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
                if entry.status is not ClaimStatus.PENDING:
                    return _stored_reply(entry)
                await self._await_change(key, entry, deadline)
                continue
            attempt = self._attempts.get(key)
            if attempt is not None:
                if attempt.body != body:
                    raise KeyReused("the idempotency key is in use with another body")
                await self._await_change(key, None, deadline)
                continue
            reply = await self._claim_and_execute(req, key, body, send)
            if reply is not None:
                return reply

    @property
    def idle(self) -> bool:
        """True if no claim is undecided or in progress and no record waits to be appended."""
        return not self._tasks and self._queue.idle

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

    async def _claim_and_execute(
        self, req: Request, key: bytes, body: bytes, send: SendCall
    ) -> Reply | None:
        """Claim the key and execute the request; None if another claim owns the key."""
        self._count += 1
        attempt = _ClaimAttempt(key, body, f"{self._prefix}-{self._count}", self._permit())
        self._attempts[key] = attempt
        task = asyncio.create_task(self._execute(attempt, req, send))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_log_failure)
            if not attempt.permit.used:
                attempt.permit.revoke()
                task.cancel()
            raise

    def _permit(self) -> SendPermit:
        loop = asyncio.get_running_loop()
        started, started_wall = loop.time(), self._clock()

        # The clock of the loop stops while the machine is suspended, and the wall clock may be set
        # back.
        def age() -> float:
            return max(loop.time() - started, self._clock() - started_wall)

        return SendPermit(age, lambda: SEND_SHARE * self._retention_s)

    async def _execute(self, attempt: _ClaimAttempt, req: Request, send: SendCall) -> Reply | None:
        try:
            remaining_s = req.arrived + req.patience_s - asyncio.get_running_loop().time()
            timeout_s = self._claim_timeout_s + self._pacer.max_delay_s
            if not await self._claim(attempt, min(timeout_s, max(0.0, remaining_s))):
                return None
            if self._history is not None:
                self._history.record(
                    EventKind.CLAIMED, request=req.id, key=req.key, workspace=req.workspace
                )
            return await self._send(attempt, send)
        finally:
            self._attempts.pop(attempt.key, None)
            self._notify_waiters(attempt.key)

    async def _claim(self, attempt: _ClaimAttempt, timeout_s: float) -> bool:
        """Append the claim, and return whether it owns the key once it was read back."""
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
                owns = await self._wait_decision(attempt, item)
        except (TimeoutError, asyncio.CancelledError) as exc:
            attempt.permit.revoke()
            item.dropped = True
            if item.sends:
                self._release(attempt)
            if isinstance(exc, asyncio.CancelledError):
                raise
            return await self._on_claim_timeout(attempt)
        finally:
            item.dropped = True
            del self._undecided[attempt.id]
        if not owns:
            attempt.permit.revoke()
            if item.sends > 1:
                # A duplicate of the claim that takes effect late could otherwise own the key after
                # the winner releases it.
                self._release(attempt)
            return False
        return True

    async def _on_claim_timeout(self, attempt: _ClaimAttempt) -> bool:
        """Raise the error for a claim that timed out; False if another claim owns the key."""
        if not await self._read_to_tail():
            raise KeyUnverified(
                "the log did not answer; this request was not sent, but an earlier request with "
                "this key may have been executed"
            )
        entry = self.index.get(attempt.key, self._log_now())
        if entry is not None and entry.id != attempt.id:
            return False
        raise NotRun("the log did not confirm the claim in time; nothing was sent")

    async def _read_to_tail(self) -> bool:
        """Read the stream to its tail, so that the index has all claims from before this call."""
        try:
            async with asyncio.timeout(VERIFY_TIMEOUT_S):
                page = await self._log.read(self._stream, self.index.next, limit=1)
                while self.index.next < page.next:
                    await asyncio.sleep(0.02)
        except (TimeoutError, LogUnavailable):
            return False
        return self.ready

    async def _wait_decision(self, attempt: _ClaimAttempt, _item: PendingRecord) -> bool:
        return await asyncio.shield(attempt.decided)

    async def _send(self, attempt: _ClaimAttempt, send: SendCall) -> Reply:
        try:
            reply = await send(attempt.permit.use)
        except BaseException as exc:
            error = _not_sent_error(exc, attempt.permit.used)
            attempt.permit.revoke()
            if error is None:
                await self._record_result(attempt, None)
                raise OutcomeUnknown(f"the outcome of the request is unknown: {exc!r}") from exc
            await self._wait_confirmed(self._release(attempt))
            raise error from exc
        await self._record_result(attempt, reply)
        return reply

    async def _record_result(self, attempt: _ClaimAttempt, reply: Reply | None) -> None:
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
        await self._wait_confirmed(self._enqueue(result, 256 + size))

    def _release(self, attempt: _ClaimAttempt) -> PendingRecord:
        return self._enqueue(ReleaseRecord(attempt.key.hex(), attempt.id))

    async def _wait_confirmed(self, item: PendingRecord) -> None:
        timeout_s = CONFIRM_WAIT_S + self._pacer.max_delay_s
        await asyncio.wait([item.confirmed], timeout=timeout_s)

    async def _await_change(self, key: bytes, entry: ClaimEntry | None, deadline: float) -> None:
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
                    raise _unfinished_error(alive)
                pause = max(MIN_PAUSE_S, min(ALIVE_POLL_S, deadline - loop.time()))
                await asyncio.wait([fut], timeout=pause)
        finally:
            waiting = self._waiters.get(key)
            if waiting is not None and fut in waiting:
                waiting.remove(fut)
                if not waiting:
                    del self._waiters[key]

    def _is_alive(self, entry: ClaimEntry) -> bool:
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

    def _notify_waiters(self, key: bytes) -> None:
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

    def _enqueue(
        self, record: ClaimRecord | ReleaseRecord | ResultRecord, size: int = 256
    ) -> PendingRecord:
        return self._queue.add(asdict(record), size)

    async def _follow_stream(self) -> None:
        backoff = Backoff(self._random)
        wait_s = 0.0
        while True:
            try:
                page = await self._log.read(self._stream, self.index.next, wait_s=wait_s)
            except LogUnavailable:
                await backoff.pause()
                continue
            backoff.reset()
            self._apply_page(page)
            wait_s = READ_WAIT_S if self.index.next >= page.next else 0.0

    def _apply_page(self, page: Page) -> None:
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
        """Append a copy of the index before the records from which it was built expire."""
        if page.retention_s >= self.index.window_s or self.index.next == 0:
            return
        if self._copy_task is not None and not self._copy_task.done():
            return
        if self._refresh_timer.due(page, self.index.refreshed):
            self._copy_task = asyncio.create_task(self._append_copy())

    async def _append_copy(self) -> None:
        for part in self.index.copy(uuid.uuid4().hex[:16], self._node):
            if not await self._queue.append_now(asdict(part)):
                logger.warning("copy of the claim index is incomplete: the log did not confirm it")
                return


def _stored_reply(entry: ClaimEntry) -> Reply:
    if entry.status is ClaimStatus.UNKNOWN:
        raise OutcomeUnknown("the outcome of the earlier request with this key is unknown")
    if entry.answer is None:
        raise OutcomeUnknown(
            "the earlier request with this key was executed, but its reply was too large to store",
            executed=True,
            status=entry.code,
        )
    return Reply(entry.code, unpack_answer(entry.answer))


def _not_sent_error(exc: BaseException, used: bool) -> LacewingError | None:
    """Return the error for the client if nothing was sent, otherwise None."""
    if isinstance(exc, LacewingError) and exc.run is ExecutionStatus.NOT_RUN:
        return exc
    if not used or isinstance(exc, ConnectFailed | EndpointLeaving):
        return NotRun(f"nothing was sent: {exc!r}")
    return None


def _unfinished_error(alive: bool) -> LacewingError:
    if alive:
        return InProgress("another request with this key is being executed")
    return OutcomeUnknown("the node that executed this key has failed; the outcome is unknown")


def _log_failure(task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.info("request of a disconnected client failed with {!r}", task.exception())
