"""The way of a raw request through a node: slot, endpoint, answer, repeat and resume.

A request that may run more than once is repeated at another endpoint after a failure, and the
answer of a resumable one continues there after the last whole event. Any other request goes to
another endpoint only if the one before it certainly did not run it.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass

from loguru import logger

from .dependencies import DispatcherDependencies
from .dispatch import MAX_ATTEMPTS, Attempt, Dispatcher
from .endpoint import ConnectFailed, EndpointCrashed, EndpointError
from .errors import (
    AnswerIncomplete,
    DeadlineExceeded,
    EndpointFailed,
    ExecutionStatus,
    LacewingError,
    NotRun,
)
from .eventstream import EventCutter
from .history import EventKind
from .httpmessage import Headers
from .observer import LatencyTimer
from .request import Grant, ProxyState, Request
from .tables import Endpoint

GATEWAY_TIMEOUT = 504
RETRY_AFTER_S = 1.0  # Told to callers when no endpoint took the request.


class EndpointBusy(EndpointError):
    """The endpoint stated that it did not run the request."""

    code = "endpoint_busy"
    neutral = True


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an endpoint's answer.

    Attributes:
        status: HTTP status.
        headers: Headers to pass on, names in lower case.
        framed: False if the body ends with the connection, which does not prove that it is whole.
    """

    status: int
    headers: Headers
    framed: bool = True

    @property
    def failed(self) -> bool:
        """True if the endpoint ran the request and failed."""
        return self.status >= 500

    @property
    def faulty(self) -> bool:
        """True if that speaks against the endpoint; the end of the request's time does not."""
        return self.failed and self.status != GATEWAY_TIMEOUT


class ProxyClient(ABC):
    """Sends raw requests to endpoints."""

    @abstractmethod
    def stream(
        self, endpoint: Endpoint, req: Request
    ) -> AsyncGenerator[ResponseHead | bytes, None]:
        """Send a request to an endpoint.

        Closing the generator ends the connection, so that the endpoint stops working on it.

        Args:
            endpoint: The endpoint.
            req: The request; ``req.proxy.last_event`` is the event after which to resume.

        Yields:
            The head, then pieces of the body. The body is complete exactly when the generator ends
            without an error.

        Raises:
            EndpointError: ``ConnectFailed`` if nothing was sent, ``EndpointBusy`` if the endpoint
                did not run the request, otherwise ``EndpointCrashed``.
        """


@dataclass(slots=True)
class _Progress:
    """How far the answer of one request has come.

    Attributes:
        headed: True once the head was passed on.
        cutter: Cuts the events of a resumable stream; None for other answers.
    """

    headed: bool = False
    cutter: EventCutter | None = None


class ProxyRouter(Dispatcher):
    """Serves raw requests.

    Args:
        parts: What every way of answering works with.
        client: Sends the requests.
    """

    def __init__(self, parts: DispatcherDependencies, client: ProxyClient) -> None:
        super().__init__(parts)
        self._client = client

    async def stream(self, req: Request) -> AsyncGenerator[ResponseHead | bytes, None]:
        """Pass on a request and its answer.

        Closing the generator withdraws the request.

        Args:
            req: The request, with ``raw``.

        Yields:
            The head, then the body. The answer is complete exactly when the generator ends without
            an error.

        Raises:
            LacewingError: One coded error; ``AnswerIncomplete`` may come after the head.
        """
        raw = _raw(req)
        progress = _Progress()
        watch = LatencyTimer(req.arrived, req.target)
        self._arrive(req)
        try:
            for attempt in range(1, MAX_ATTEMPTS + 1):
                self._check(req)
                grant, endpoint = await self._acquire(req)
                failure: EndpointError | None = None
                try:
                    answer = self._attempt(req, grant, endpoint, progress)
                    async with aclosing(answer) as pieces:
                        async for piece in pieces:
                            if isinstance(piece, bytes):
                                watch.add_tokens(1)
                            yield piece
                except EndpointError as exc:
                    failure = exc
                if failure is None:
                    break
                self._prepare_repeat(req, endpoint, failure, attempt, progress)
        except LacewingError as exc:
            error = _truthful(raw, exc, progress)
            self._fail(req, error, 0)
            raise error from exc
        except (asyncio.CancelledError, GeneratorExit):
            if asyncio.get_running_loop().time() >= raw.deadline:
                self._record(EventKind.FAILED, req, code=DeadlineExceeded.code)
            else:
                self._record(EventKind.CANCELLED, req)
            self._drop(req)
            raise
        self._record(EventKind.FINISHED, req, tokens=raw.sent, **watch.finish())

    async def _attempt(
        self, req: Request, grant: Grant, endpoint: Endpoint, progress: _Progress
    ) -> AsyncGenerator[ResponseHead | bytes, None]:
        """Send the request to one endpoint and yield what the caller does not have yet."""
        raw = _raw(req)
        loop = asyncio.get_running_loop()
        # Without times: the time to the first event depends on the prompt far more than on the
        # endpoint, and would make runners of long prompts look like outliers.
        use = Attempt(endpoint, loop.time())
        head: ResponseHead | None = None
        whole: list[bytes] = []
        raw.sent += 1
        before, raw.may_have_run = raw.may_have_run, True
        self._start(req, endpoint, resumed=progress.headed)
        failure: BaseException | None = None
        try:
            async with aclosing(self._client.stream(endpoint, req)) as pieces:
                async for piece in pieces:
                    if isinstance(piece, ResponseHead):
                        self._take_head(req, endpoint, piece, progress)
                        head = piece
                        if not progress.headed and raw.streaming and head.status == 200:
                            progress.headed = True
                            yield head
                        continue
                    self._dispatch.scheduler.on_answer_event(grant)
                    if not progress.headed:
                        whole.append(piece)
                        continue
                    data = progress.cutter.feed(piece) if progress.cutter else piece
                    if progress.cutter is not None:
                        raw.last_event = progress.cutter.last_id
                    if data:
                        yield data
            if not progress.headed:
                # Another attempt may follow until the whole answer is here.
                assert head is not None
                progress.headed = True
                yield head
                yield b"".join(whole)
            if progress.cutter is not None and (rest := progress.cutter.rest()):
                yield rest
        except BaseException as exc:
            failure = exc
            if isinstance(exc, ConnectFailed):
                raw.sent -= 1
            if isinstance(exc, EndpointBusy):
                self._dispatch.scheduler.on_endpoint_full(grant)
            if isinstance(exc, ConnectFailed | EndpointBusy):
                raw.may_have_run = before
            raise
        finally:
            faulty = head is not None and head.faulty
            self._end(req, grant, use, failure is None and not faulty, failure)

    def _take_head(
        self, req: Request, endpoint: Endpoint, head: ResponseHead, progress: _Progress
    ) -> None:
        raw = _raw(req)
        if progress.headed:
            if head.status != 200:
                raise EndpointCrashed(
                    f"endpoint {endpoint.name!r} answered {head.status} to a resume",
                    endpoint=endpoint.name,
                )
            return
        if head.failed and raw.repeatable and raw.sent < raw.max_attempts and self._spend(req):
            failed = _Failed if head.faulty else _TimedOut
            raise failed(f"endpoint {endpoint.name!r} answered {head.status}", paid=True)
        if raw.resumable and head.status == 200:
            progress.cutter = EventCutter(raw.last_event)

    def _prepare_repeat(
        self,
        req: Request,
        endpoint: Endpoint,
        exc: EndpointError,
        attempt: int,
        progress: _Progress,
    ) -> None:
        """Return if the request may go to another endpoint, otherwise raise the final error."""
        raw = _raw(req)
        req.excluded_endpoints.add(endpoint.name)
        if progress.cutter is not None:
            progress.cutter.rest()
        repeats = attempt < MAX_ATTEMPTS and self._may_repeat(req, exc)
        logger.bind(
            request_id=req.id,
            endpoint=endpoint.name,
            code=exc.code,
            sent=raw.sent,
            max_attempts=raw.max_attempts,
            may_have_run=raw.may_have_run,
            outcome="repeat" if repeats else "give up",
        ).info("attempt failed: {}", exc.message)
        if not repeats:
            raise _final(raw, exc, progress) from exc

    def _may_repeat(self, req: Request, exc: EndpointError) -> bool:
        raw = _raw(req)
        if isinstance(exc, ConnectFailed):
            return True
        if raw.sent >= raw.max_attempts:
            return False
        if not isinstance(exc, EndpointBusy) and not raw.repeatable:
            return False
        return bool(exc.details.get("paid")) or self._spend(req)


class _Failed(EndpointError):
    """The endpoint ran the request and answered with a failure; a repeat was taken already."""

    code = "endpoint_answered_failure"


class _TimedOut(_Failed):
    """The endpoint ran the request until its time was over."""

    neutral = True


def _raw(req: Request) -> ProxyState:
    assert req.proxy is not None
    return req.proxy


def _truthful(raw: ProxyState, exc: LacewingError, progress: _Progress) -> LacewingError:
    """Replace an error that says "not run" if an endpoint may have run the request before."""
    if exc.run is not ExecutionStatus.NOT_RUN or not raw.may_have_run:
        return exc
    if progress.headed:
        return AnswerIncomplete(f"the answer broke off: {exc.message}")
    return EndpointFailed(f"no endpoint completed the request: {exc.message}")


def _final(raw: ProxyState, exc: EndpointError, progress: _Progress) -> LacewingError:
    if progress.headed:
        return AnswerIncomplete(f"the answer broke off: {exc.message}")
    if not raw.may_have_run:
        return NotRun(f"no endpoint took the request: {exc.message}", retry_after_s=RETRY_AFTER_S)
    return EndpointFailed(f"no endpoint completed the request: {exc.message}")
