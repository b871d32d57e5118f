"""The way of a request through a node: slot, endpoint, answer, retry and resume."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing

from .dependencies import Check, RouterDependencies
from .dispatch import MAX_ATTEMPTS, Attempt, Dispatcher, caller_left, refused
from .endpoint import (
    Chunk,
    ConnectFailed,
    EndpointCrashed,
    EndpointError,
    EndpointLeaving,
    EndpointStalled,
    Reply,
    StallPolicy,
)
from .errors import (
    AnswerIncomplete,
    BadRequest,
    EndpointFailed,
    LacewingError,
    NotRun,
    OutcomeUnknown,
)
from .history import EventKind
from .observer import LatencyTimer
from .reassembly import ChunkReassembler
from .request import AttemptResult, Grant, Request
from .tables import Endpoint

# Moves away from silent endpoints; a runner that is only slow must not be left again and again.
MAX_MOVES = 2
# An interrupted request is never shed; without this bound it would wait as long as a pool is down.
RESUME_WAIT_S = 60.0


class Router(Dispatcher):
    """Serves classified requests.

    Args:
        parts: What the router works with.
    """

    def __init__(self, parts: RouterDependencies) -> None:
        super().__init__(parts)
        self._parts = parts
        self._cancels: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._keyed: set[asyncio.Task[Reply]] = set()

    async def handle(self, req: Request) -> AsyncGenerator[Chunk, None]:
        """Stream an answer.

        Closing the generator withdraws the request and cancels it at the runner.

        Args:
            req: The request.

        Yields:
            Chunks in order without repetition; the last one carries ``finish`` and ``total``. The
            answer is complete exactly when the generator ends without an error.

        Raises:
            LacewingError: One coded error; ``AnswerIncomplete`` or ``Overloaded`` may come after
                the first chunk.
        """
        loop = asyncio.get_running_loop()
        answer = ChunkReassembler()
        watch = LatencyTimer(req.arrived, req.target)
        self._arrive(req)
        try:
            for attempt in range(1, MAX_ATTEMPTS + 1):
                self._check(req)
                grant, endpoint = await self._acquire_again(req, answer, attempt)
                use = Attempt(endpoint, loop.time())
                self._start(req, endpoint, resumed=answer.received > 0)
                answer.restart()
                failure: BaseException | None = None
                try:
                    silence = self._silence(req, endpoint, attempt)
                    stream = self._parts.client.stream(endpoint, req, silence)
                    async with aclosing(stream) as chunks:
                        async for chunk in chunks:
                            index, tokens = answer.received, answer.add(chunk)
                            now = loop.time()
                            use.take(now, len(chunk.tokens))
                            watch.add_tokens(len(tokens))
                            if answer.complete:
                                yield Chunk(index, tokens, answer.finish, answer.received)
                                break
                            if tokens:
                                yield Chunk(index, tokens)
                    if not answer.complete:
                        raise _ended_early(endpoint)
                except BaseException as exc:
                    failure = exc
                    if not isinstance(exc, EndpointError):
                        raise
                finally:
                    if caller_left(failure) and not answer.complete:
                        self._cancel_at(endpoint, req)
                    self._end(req, grant, use, answer.complete, failure)
                if failure is None:
                    break
                assert isinstance(failure, EndpointError)
                self._prepare_retry(req, endpoint, failure, attempt, answer)
        except LacewingError as exc:
            self._fail(req, exc, answer.received)
            raise
        except (asyncio.CancelledError, GeneratorExit):
            self._record(EventKind.CANCELLED, req, tokens=answer.received)
            self._drop(req)
            raise
        self._record(EventKind.FINISHED, req, tokens=answer.received, **watch.finish())

    async def call(self, req: Request) -> Reply:
        """Execute a plain call.

        A call with a key goes on if its caller leaves, so that its result is stored.

        Args:
            req: The request; one with a key runs at most once.

        Returns:
            The reply of the service.

        Raises:
            LacewingError: One coded error.
        """
        self._arrive(req)
        try:
            if req.key is None:
                reply = await self._call_repeatable(req)
            else:
                reply = await self._call_keyed(req)
        except LacewingError as exc:
            self._fail(req, exc, 0)
            raise
        except asyncio.CancelledError:
            self._record(EventKind.CANCELLED, req)
            if req.key is None:
                self._drop(req)
            raise
        self._record(EventKind.FINISHED, req, **LatencyTimer(req.arrived, req.target).finish())
        return reply

    async def execute_forwarded(self, req: Request) -> Reply:
        """Execute a keyed call that another node received and forwarded to this one.

        The other node records its arrival and its end.

        Args:
            req: The call with its key.

        Returns:
            The reply of the service.

        Raises:
            LacewingError: One coded error.
        """
        if self._dispatch.budget is not None:
            self._dispatch.budget.count_request(req.pool)
        try:
            return await self._call_keyed(req)
        except LacewingError:
            self._drop(req)
            raise

    async def close(self) -> None:
        """Wait for keyed calls whose callers left and for cancellations at runners."""
        while self._keyed or self._cancels:
            await asyncio.wait([*self._keyed, *self._cancels.values()])

    async def _call_repeatable(self, req: Request) -> Reply:
        for attempt in range(1, MAX_ATTEMPTS + 1):
            self._check(req)
            grant, endpoint = await self._acquire_again(req, None, attempt)
            try:
                return await self._exchange(req, grant, endpoint)
            except EndpointError as exc:
                self._prepare_retry(req, endpoint, exc, attempt, None)
        raise EndpointFailed("no endpoint completed the call")

    async def _call_keyed(self, req: Request) -> Reply:
        claims = self._parts.claims
        if claims is None:
            raise NotRun("this node cannot claim keys")
        task = asyncio.ensure_future(claims.execute(req, lambda check: self._call_once(req, check)))
        self._keyed.add(task)
        task.add_done_callback(self._end_keyed)
        return await asyncio.shield(task)

    def _end_keyed(self, task: asyncio.Task[Reply]) -> None:
        self._keyed.discard(task)
        if not task.cancelled():
            task.exception()  # Marks it as seen: the caller may have left.

    async def _call_once(self, req: Request, check: Check) -> Reply:
        """Send a call whose key this node owns; only calls that were not sent are repeated."""
        for attempt in range(1, MAX_ATTEMPTS + 1):
            self._check(req)
            grant, endpoint = await self._acquire(req)
            try:
                check()
            except LacewingError:
                self._parts.scheduler.release(grant, AttemptResult(ok=False))
                raise
            try:
                return await self._exchange(req, grant, endpoint)
            except (ConnectFailed, EndpointLeaving) as exc:
                req.excluded_endpoints.add(endpoint.name)
                if attempt == MAX_ATTEMPTS or not self._spend(req):
                    raise NotRun("no endpoint of the service took the call") from exc
            except EndpointError as exc:
                raise OutcomeUnknown(f"the call may have run: {exc.message}") from exc
        raise NotRun("no endpoint of the service took the call")

    async def _exchange(self, req: Request, grant: Grant, endpoint: Endpoint) -> Reply:
        loop = asyncio.get_running_loop()
        attempt = Attempt(endpoint, loop.time())
        self._start(req, endpoint, resumed=False)
        ok, failure = False, None
        try:
            reply = await self._parts.client.call(endpoint, req)
            attempt.take(loop.time(), 0)
            ok = True
            return reply
        except BaseException as exc:
            failure = exc
            raise
        finally:
            self._end(req, grant, attempt, ok, failure)

    async def _acquire_again(
        self, req: Request, answer: ChunkReassembler | None, attempt: int
    ) -> tuple[Grant, Endpoint]:
        """Wait for a slot; after an interrupted attempt for ``RESUME_WAIT_S`` at most."""
        try:
            async with asyncio.timeout(RESUME_WAIT_S if attempt > 1 else None):
                return await self._acquire(req)
        except TimeoutError as exc:
            error = EndpointError(f"no endpoint became free within {RESUME_WAIT_S:g} s")
            raise self._final(error, answer) from exc

    async def _prepare(self, endpoint: Endpoint, req: Request) -> None:
        """Wait for a cancellation there: a resume must not meet the old generation."""
        task = self._cancels.get((endpoint.name, req.id))
        if task is not None:
            await asyncio.wait([task])

    def _prepare_retry(
        self,
        req: Request,
        endpoint: Endpoint,
        exc: EndpointError,
        attempt: int,
        answer: ChunkReassembler | None,
    ) -> None:
        """Return if the request may be tried again, otherwise raise the error for the caller."""
        req.excluded_endpoints.add(endpoint.name)
        if refused(exc) and not (answer and answer.received):
            raise BadRequest(exc.message, endpoint=endpoint.name) from exc
        if isinstance(exc, EndpointStalled):
            # The move was taken from the budget when the endpoint was given up.
            self._record(EventKind.STALLED, req, endpoint=endpoint.name, tokens=req.sent_tokens)
            self._cancel_at(endpoint, req)
        elif attempt == MAX_ATTEMPTS or not self._repeatable(req, exc) or not self._spend(req):
            raise self._final(exc, answer) from exc
        if isinstance(exc, EndpointCrashed) and exc.details.get("timeout"):
            self._cancel_at(endpoint, req)
        if answer is not None:
            req.sent_tokens = answer.received

    def _silence(self, req: Request, endpoint: Endpoint, attempt: int) -> StallPolicy | None:
        """Return what decides when a silent endpoint is given up in favour of another one."""
        if self._parts.stall_policy is None or attempt == MAX_ATTEMPTS:
            return None

        def may_move() -> bool:
            pool = self._parts.tables().pools.get(req.pool)
            if pool is None or not pool.repeatable or req.failovers >= MAX_MOVES:
                return False
            others = (
                {item.name for item in pool.endpoints} - req.excluded_endpoints - {endpoint.name}
            )
            if not others or not self._spend(req):
                return False
            req.failovers += 1
            return True

        return self._parts.stall_policy(req.pool, may_move)

    def _repeatable(self, req: Request, exc: EndpointError) -> bool:
        if isinstance(exc, ConnectFailed | EndpointLeaving):
            return True
        pool = self._parts.tables().pools.get(req.pool)
        return pool is None or pool.repeatable

    def _final(self, exc: EndpointError, answer: ChunkReassembler | None) -> LacewingError:
        if answer is not None and answer.received:
            return AnswerIncomplete(
                f"the answer broke off after {answer.received} tokens", tokens=answer.received
            )
        if isinstance(exc, ConnectFailed | EndpointLeaving):
            return NotRun(f"no endpoint took the request: {exc.message}")
        return EndpointFailed(f"no endpoint completed the request: {exc.message}")

    def _cancel_at(self, endpoint: Endpoint, req: Request) -> None:
        key = (endpoint.name, req.id)
        task = asyncio.get_running_loop().create_task(self._parts.client.cancel(endpoint, req.id))
        self._cancels[key] = task
        task.add_done_callback(lambda _: self._cancels.pop(key, None))


def _ended_early(endpoint: Endpoint) -> EndpointCrashed:
    return EndpointCrashed(
        f"endpoint {endpoint.name!r} ended the answer early", endpoint=endpoint.name
    )
