"""Serves requests: acquires a slot, streams the answer, and retries or resumes after failures."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing

from .dependencies import BeforeSend, RouterDependencies
from .dispatch import (
    MAX_ATTEMPTS,
    AttemptTimer,
    Dispatcher,
    client_disconnected,
    is_request_rejection,
)
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

# Largest number of failovers from stalled endpoints per request; a stalled runner may only be slow.
MAX_FAILOVERS = 2
# The scheduler never sheds an interrupted request. Without this bound the request would wait for as
# long as its pool is down.
RESUME_WAIT_S = 60.0


class Router(Dispatcher):
    """Serves classified requests.

    Args:
        dependencies: The objects that the router uses.
    """

    def __init__(self, dependencies: RouterDependencies) -> None:
        super().__init__(dependencies)
        self._deps = dependencies
        self._cancellations: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._keyed_calls: set[asyncio.Task[Reply]] = set()

    async def handle(self, req: Request) -> AsyncGenerator[Chunk, None]:
        """Stream an answer.

        Closing the generator cancels the request, also at the runner.

        Args:
            req: The request.

        Yields:
            Chunks in order without repetition; the last one has ``finish`` and ``total``. The
            answer is complete if and only if the generator ends without an error.

        Raises:
            LacewingError: ``AnswerIncomplete`` and ``Overloaded`` may be raised after the first
                chunk.
        """
        loop = asyncio.get_running_loop()
        answer = ChunkReassembler()
        latency_timer = LatencyTimer(req.arrived, req.target)
        self._report_arrival(req)
        try:
            for attempt in range(1, MAX_ATTEMPTS + 1):
                self._check_quarantine(req)
                grant, endpoint = await self._acquire_slot(req, answer, attempt)
                attempt_timer = AttemptTimer(endpoint, loop.time())
                self._report_start(req, endpoint, resumed=answer.received > 0)
                answer.restart()
                failure: BaseException | None = None
                try:
                    stall_policy = self._stall_policy(req, endpoint, attempt)
                    stream = self._deps.client.stream(endpoint, req, stall_policy)
                    async with aclosing(stream) as chunks:
                        async for chunk in chunks:
                            index, tokens = answer.received, answer.add(chunk)
                            now = loop.time()
                            attempt_timer.record_tokens(now, len(chunk.tokens))
                            latency_timer.add_tokens(len(tokens))
                            if answer.complete:
                                yield Chunk(index, tokens, answer.finish, answer.received)
                                break
                            if tokens:
                                yield Chunk(index, tokens)
                    if not answer.complete:
                        raise _incomplete_stream(endpoint)
                except BaseException as exc:
                    failure = exc
                    if not isinstance(exc, EndpointError):
                        raise
                finally:
                    if client_disconnected(failure) and not answer.complete:
                        self._start_cancellation(endpoint, req)
                    self._report_end(req, grant, attempt_timer, answer.complete, failure)
                if failure is None:
                    break
                assert isinstance(failure, EndpointError)
                self._prepare_retry(req, endpoint, failure, attempt, answer)
        except LacewingError as exc:
            self._report_failure(req, exc, answer.received)
            raise
        except (asyncio.CancelledError, GeneratorExit):
            self._record(EventKind.CANCELLED, req, tokens=answer.received)
            self._report_dropped(req)
            raise
        self._record(EventKind.FINISHED, req, tokens=answer.received, **latency_timer.finish())

    async def call(self, req: Request) -> Reply:
        """Execute a plain call.

        A call with a key continues after its client disconnects, so that its result is stored.

        Args:
            req: The request; it is executed at most once if it has a key.

        Returns:
            The reply of the service.

        Raises:
            LacewingError: If the call failed.
        """
        self._report_arrival(req)
        try:
            if req.key is None:
                reply = await self._call_with_retries(req)
            else:
                reply = await self._call_keyed(req)
        except LacewingError as exc:
            self._report_failure(req, exc, 0)
            raise
        except asyncio.CancelledError:
            self._record(EventKind.CANCELLED, req)
            if req.key is None:
                self._report_dropped(req)
            raise
        self._record(EventKind.FINISHED, req, **LatencyTimer(req.arrived, req.target).finish())
        return reply

    async def execute_forwarded(self, req: Request) -> Reply:
        """Execute a keyed call that another node received and forwarded to this one.

        The other node records when the call arrived and how it ended.

        Args:
            req: The call with its key.

        Returns:
            The reply of the service.

        Raises:
            LacewingError: If the call failed.
        """
        if self._dispatch_deps.budget is not None:
            self._dispatch_deps.budget.count_request(req.pool)
        try:
            return await self._call_keyed(req)
        except LacewingError:
            self._report_dropped(req)
            raise

    async def close(self) -> None:
        """Wait for keyed calls whose clients disconnected and for cancellations at runners."""
        while self._keyed_calls or self._cancellations:
            await asyncio.wait([*self._keyed_calls, *self._cancellations.values()])

    async def _call_with_retries(self, req: Request) -> Reply:
        for attempt in range(1, MAX_ATTEMPTS + 1):
            self._check_quarantine(req)
            grant, endpoint = await self._acquire_slot(req, None, attempt)
            try:
                return await self._attempt_call(req, grant, endpoint)
            except EndpointError as exc:
                self._prepare_retry(req, endpoint, exc, attempt, None)
        raise EndpointFailed("no endpoint completed the call")

    async def _call_keyed(self, req: Request) -> Reply:
        claims = self._deps.claims
        if claims is None:
            raise NotRun("this node cannot claim keys")
        task = asyncio.ensure_future(
            claims.execute(req, lambda before_send: self._call_once(req, before_send))
        )
        self._keyed_calls.add(task)
        task.add_done_callback(self._on_keyed_call_done)
        return await asyncio.shield(task)

    def _on_keyed_call_done(self, task: asyncio.Task[Reply]) -> None:
        self._keyed_calls.discard(task)
        if not task.cancelled():
            task.exception()  # Marks it as retrieved: the client may have disconnected.

    async def _call_once(self, req: Request, before_send: BeforeSend) -> Reply:
        """Send a call under its claim; retry only if the call did not reach a service."""
        for attempt in range(1, MAX_ATTEMPTS + 1):
            self._check_quarantine(req)
            grant, endpoint = await self._acquire(req)
            try:
                before_send()
            except LacewingError:
                self._deps.scheduler.release(grant, AttemptResult(ok=False))
                raise
            try:
                return await self._attempt_call(req, grant, endpoint)
            except (ConnectFailed, EndpointLeaving) as exc:
                req.excluded_endpoints.add(endpoint.name)
                if attempt == MAX_ATTEMPTS or not self._spend_retry(req):
                    raise NotRun("no endpoint of the service accepted the call") from exc
            except EndpointError as exc:
                raise OutcomeUnknown(f"the call may have run: {exc.message}") from exc
        raise NotRun("no endpoint of the service accepted the call")

    async def _attempt_call(self, req: Request, grant: Grant, endpoint: Endpoint) -> Reply:
        loop = asyncio.get_running_loop()
        attempt_timer = AttemptTimer(endpoint, loop.time())
        self._report_start(req, endpoint, resumed=False)
        ok, failure = False, None
        try:
            reply = await self._deps.client.call(endpoint, req)
            attempt_timer.record_tokens(loop.time(), 0)
            ok = True
            return reply
        except BaseException as exc:
            failure = exc
            raise
        finally:
            self._report_end(req, grant, attempt_timer, ok, failure)

    async def _acquire_slot(
        self, req: Request, answer: ChunkReassembler | None, attempt: int
    ) -> tuple[Grant, Endpoint]:
        """Wait for a slot, for at most ``RESUME_WAIT_S`` after the first attempt."""
        try:
            async with asyncio.timeout(RESUME_WAIT_S if attempt > 1 else None):
                return await self._acquire(req)
        except TimeoutError as exc:
            error = EndpointError(f"no endpoint became free within {RESUME_WAIT_S:g} s")
            raise self._client_error(error, answer) from exc

    async def _wait_until_usable(self, endpoint: Endpoint, req: Request) -> None:
        """Wait for a pending cancellation at the endpoint, so that the old generation has ended."""
        task = self._cancellations.get((endpoint.name, req.id))
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
        """Return if the request may be retried, otherwise raise the error for the client."""
        req.excluded_endpoints.add(endpoint.name)
        if is_request_rejection(exc) and not (answer and answer.received):
            raise BadRequest(exc.message, endpoint=endpoint.name) from exc
        if isinstance(exc, EndpointStalled):
            # The stall policy already took the retry from the budget.
            self._record(EventKind.STALLED, req, endpoint=endpoint.name, tokens=req.sent_tokens)
            self._start_cancellation(endpoint, req)
        elif attempt == MAX_ATTEMPTS or not self._may_retry(req, exc) or not self._spend_retry(req):
            raise self._client_error(exc, answer) from exc
        if isinstance(exc, EndpointCrashed) and exc.details.get("timeout"):
            self._start_cancellation(endpoint, req)
        if answer is not None:
            req.sent_tokens = answer.received

    def _stall_policy(self, req: Request, endpoint: Endpoint, attempt: int) -> StallPolicy | None:
        """Return the policy for failover from a stalled endpoint, or None in the last attempt."""
        if self._deps.stall_policy is None or attempt == MAX_ATTEMPTS:
            return None

        def may_fail_over() -> bool:
            pool = self._deps.tables().pools.get(req.pool)
            if pool is None or not pool.repeatable or req.failovers >= MAX_FAILOVERS:
                return False
            others = (
                {item.name for item in pool.endpoints} - req.excluded_endpoints - {endpoint.name}
            )
            if not others or not self._spend_retry(req):
                return False
            req.failovers += 1
            return True

        return self._deps.stall_policy(req.pool, may_fail_over)

    def _may_retry(self, req: Request, exc: EndpointError) -> bool:
        if isinstance(exc, ConnectFailed | EndpointLeaving):
            return True
        pool = self._deps.tables().pools.get(req.pool)
        return pool is None or pool.repeatable

    def _client_error(self, exc: EndpointError, answer: ChunkReassembler | None) -> LacewingError:
        if answer is not None and answer.received:
            return AnswerIncomplete(
                f"the answer was interrupted after {answer.received} tokens", tokens=answer.received
            )
        if isinstance(exc, ConnectFailed | EndpointLeaving):
            return NotRun(f"no endpoint accepted the request: {exc.message}")
        return EndpointFailed(f"no endpoint completed the request: {exc.message}")

    def _start_cancellation(self, endpoint: Endpoint, req: Request) -> None:
        key = (endpoint.name, req.id)
        task = asyncio.get_running_loop().create_task(self._deps.client.cancel(endpoint, req.id))
        self._cancellations[key] = task
        task.add_done_callback(lambda _: self._cancellations.pop(key, None))


def _incomplete_stream(endpoint: Endpoint) -> EndpointCrashed:
    return EndpointCrashed(
        f"endpoint {endpoint.name!r} ended the stream before the answer was complete",
        endpoint=endpoint.name,
    )
