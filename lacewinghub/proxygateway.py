"""HTTP proxy towards the clients: passes requests on unchanged and enforces their deadlines."""

import asyncio
import json
from abc import ABC, abstractmethod
from contextlib import aclosing
from dataclasses import dataclass

from loguru import logger

from .deployment import CurrentConfig, DeploymentConfig
from .errors import (
    DeadlineExceeded,
    Draining,
    EndpointFailed,
    LacewingError,
    NotReady,
    NotRun,
    Overloaded,
)
from .httpmessage import Headers, Incoming
from .httpserver import HttpHandler, HttpLimits
from .pathroute import PathRoute
from .phase import Phase
from .proxyclient import ResponseHead
from .proxyrouter import ProxyRouter
from .request import ProxyState, Request
from .responder import Responder

NOT_READY_RETRY_S = 1.0
MEMORY_RETRY_S = 1.0
# While this node stops, the client can reach another node at once.
DRAINING_RETRY_S = 0.05
END_POLL_S = 0.01
# A retry after at most this share of the remaining time leaves most of it for the request itself.
RETRY_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class DecodedRequest:
    """A decoded request and its route."""

    req: Request
    route: PathRoute


class ProxyCodec(ABC):
    """Decodes requests and encodes errors in the format of the clients."""

    @abstractmethod
    def decode(
        self, incoming: Incoming, deployment: DeploymentConfig, arrived: float
    ) -> DecodedRequest:
        """Classify a request.

        Raises:
            LacewingError: If no route or workspace permits it.
        """

    @abstractmethod
    def decoded_bytes(self, incoming: Incoming) -> int:
        """Return how much memory a decoded request takes beside its bytes."""

    @abstractmethod
    def request_id(self, incoming: Incoming) -> str:
        """Return the id that the client gave its request, or an empty string."""

    @abstractmethod
    def retry_header(self, retry_after_s: float) -> tuple[bytes, bytes]:
        """Return the header that tells a client when to retry."""


@dataclass(slots=True, eq=False)
class _ActiveRequest:
    """A request that is being served.

    Attributes:
        req: The request.
        route: Name of its route.
        timer: Enforces its deadline.
        stopped: True once it was ended because the process ends.
    """

    req: Request
    route: str
    timer: asyncio.Timeout
    stopped: bool = False


class ProxyGateway(HttpHandler):
    """Serves the clients.

    Args:
        codec: Format of the requests and errors.
        current_config: The current configuration.
        router: Passes the requests on to endpoints.

    Attributes:
        phase: Set by the node.
        ends_at: Loop time at which the process ends, in seconds; set when it starts to stop.
    """

    def __init__(
        self, codec: ProxyCodec, current_config: CurrentConfig, router: ProxyRouter
    ) -> None:
        self.phase = Phase.SERVING
        self.ends_at = float("inf")
        self._codec = codec
        self._current_config = current_config
        self._router = router
        self._active: set[_ActiveRequest] = set()
        current_config.listen(self._on_deployment)

    @property
    def in_flight(self) -> int:
        """Number of requests that are being served."""
        return len(self._active)

    def limits(self) -> HttpLimits:
        """Return the limits of the current configuration."""
        return self._current_config.current.limits

    def is_closing(self) -> bool:
        """Tell whether connections are to be closed after their next response."""
        return self.phase is Phase.DRAINING

    def on_malformed_request(self, status: int) -> None:
        """Log that the server refused a malformed request."""
        logger.bind(status=status).warning("malformed request refused")

    async def handle(self, incoming: Incoming, out: Responder) -> None:
        """Serve one request."""
        loop = asyncio.get_running_loop()
        deployment = self._current_config.current
        try:
            if deployment.version == 0:
                raise NotReady("no configuration yet", retry_after_s=NOT_READY_RETRY_S)
            if not out.conn.reserve(self._codec.decoded_bytes(incoming)):
                raise Overloaded("the node has no memory left", retry_after_s=MEMORY_RETRY_S)
            decoded = self._codec.decode(incoming, deployment, loop.time())
            self._check_phase(decoded.req)
        except LacewingError as exc:
            self._log_refusal(self._codec.request_id(incoming), deployment, exc)
            self._send_error(out, exc, self._codec.request_id(incoming))
            return
        except Exception:
            logger.exception("unexpected error while a request was decoded")
            self._send_error(out, _unexpected_error(None), "")
            return
        _log_arrival(decoded, deployment)
        await self._serve_until_deadline(decoded, out)

    def on_resume(self, suspended_s: float) -> None:
        """Shorten the deadlines of all requests by the time for which the host was suspended."""
        now = asyncio.get_running_loop().time()
        for active in self._active:
            state = active.req.proxy
            if state is None or active.stopped or active.timer.expired():
                continue
            state.deadline -= suspended_s
            state.client_deadline -= suspended_s
            active.timer.reschedule(max(now, state.deadline))

    def refuse_late_waiters(self) -> None:
        """Refuse the waiting requests whose answers the end of the process would interrupt.

        Their clients can still try another node: no endpoint has received them.
        """
        now = asyncio.get_running_loop().time()
        for active in self._active:
            state = active.req.proxy
            if state is None or state.may_have_run or state.deadline <= self.ends_at:
                continue
            if now + self._router.expected_answer_s(active.req) > self.ends_at:
                self._stop_request(active, now)

    async def end_requests(self, limit_s: float) -> None:
        """End all requests, so that each client learns as much as this node knows.

        Args:
            limit_s: Longest time to wait until the last responses are written, in seconds.
        """
        loop = asyncio.get_running_loop()
        limit = loop.time() + limit_s
        while self._active and loop.time() < limit:
            for active in self._active:
                self._stop_request(active, loop.time())
            await asyncio.sleep(END_POLL_S)

    def _stop_request(self, active: _ActiveRequest, now: float) -> None:
        if active.stopped or active.timer.expired():
            return
        active.stopped = True
        active.timer.reschedule(now)

    def _check_phase(self, req: Request) -> None:
        """Refuse a request that the end of the process could interrupt."""
        assert req.proxy is not None
        if self.phase is Phase.DRAINING and (
            req.proxy.streaming or req.proxy.deadline > self.ends_at
        ):
            raise Draining("this node is stopping", retry_after_s=DRAINING_RETRY_S)

    async def _serve_until_deadline(self, decoded: DecodedRequest, out: Responder) -> None:
        req = decoded.req
        assert req.proxy is not None
        timer = asyncio.timeout_at(req.proxy.deadline)
        active = _ActiveRequest(req, decoded.route.name, timer)
        self._active.add(active)
        try:
            async with timer:
                await self._respond(req, out)
        except TimeoutError:
            error = _stop_error(req) if active.stopped else _deadline_error(req)
            logger.bind(
                request_id=req.id,
                route=decoded.route.name,
                sent=req.proxy.sent,
                waited_s=round(asyncio.get_running_loop().time() - req.arrived, 3),
                outcome=error.code,
            ).info("request stopped" if active.stopped else "request expired")
            self._send_error(out, error, req.id)
        except LacewingError as exc:
            self._send_error(out, _limit_retry_delay(exc, req), req.id)
        except Exception:
            logger.bind(request_id=req.id).exception("unexpected error in a request")
            self._send_error(out, _unexpected_error(req.proxy), req.id)
        finally:
            self._active.discard(active)

    async def _respond(self, req: Request, out: Responder) -> None:
        assert req.proxy is not None
        head: ResponseHead | None = None
        async with aclosing(self._router.stream(req)) as pieces:
            async for piece in pieces:
                if isinstance(piece, ResponseHead):
                    head = piece
                    if not head.has_length:
                        out.start(head.status, head.headers, head.framed, head.is_event_stream)
                    continue
                assert head is not None
                if head.has_length:
                    out.send(head.status, head.headers, piece)
                else:
                    await out.write(piece)
        if not out.finished:
            out.finish()

    def _send_error(self, out: Responder, exc: LacewingError, request_id: str) -> None:
        """Send an error; if a response was already started, its connection is closed instead."""
        if out.started:
            return
        headers: Headers = [(b"content-type", b"application/json")]
        if exc.retry_after_s is not None:
            headers.append(self._codec.retry_header(exc.retry_after_s))
        out.send(exc.status, headers, json.dumps(exc.to_body(request_id)).encode())

    def _log_refusal(
        self, request_id: str, deployment: DeploymentConfig, exc: LacewingError
    ) -> None:
        logger.bind(
            request_id=request_id, version=deployment.version, outcome=exc.code, run=str(exc.run)
        ).info("request refused: {}", exc.message)

    def _on_deployment(self, deployment: DeploymentConfig) -> None:
        """Apply changed timeouts to the requests in flight."""
        for active in self._active:
            route = deployment.routes.by_name(active.route)
            state = active.req.proxy
            if route is None or state is None or active.stopped or active.timer.expired():
                continue
            expires = min(state.client_deadline, active.req.arrived + route.timeout_s)
            if expires != state.deadline:
                state.deadline = expires
                active.timer.reschedule(expires)


def _deadline_error(req: Request) -> LacewingError:
    assert req.proxy is not None
    if req.proxy.may_have_run:
        return DeadlineExceeded("no response before the deadline of the request")
    return NotRun("no endpoint accepted the request before its deadline", retry_after_s=0.0)


def _stop_error(req: Request) -> LacewingError:
    assert req.proxy is not None
    if req.proxy.may_have_run:
        return EndpointFailed("this node stopped before the response was complete")
    return Draining("this node is stopping", retry_after_s=DRAINING_RETRY_S)


def _unexpected_error(state: ProxyState | None) -> LacewingError:
    if state is not None and state.may_have_run:
        return EndpointFailed("an internal error interrupted the request")
    return NotRun("an internal error occurred before the request was sent", retry_after_s=0.0)


def _limit_retry_delay(exc: LacewingError, req: Request) -> LacewingError:
    """Limit the retry delay of an error to a share of the time that the client has left."""
    if exc.retry_after_s is not None and req.proxy is not None:
        remaining_s = req.proxy.client_deadline - asyncio.get_running_loop().time()
        exc.retry_after_s = max(0.0, min(exc.retry_after_s, remaining_s * RETRY_SHARE))
    return exc


def _log_arrival(decoded: DecodedRequest, deployment: DeploymentConfig) -> None:
    req = decoded.req
    assert req.proxy is not None
    logger.bind(
        request_id=req.id,
        route=decoded.route.name,
        pool=req.pool,
        tier=req.tier,
        workspace=req.workspace,
        version=deployment.version,
        expires_s=round(req.proxy.deadline - req.arrived, 3),
        prompt_tokens=req.proxy.prompt_tokens,
        shared_parts=[part.id for part in req.proxy.shared_parts],
    ).info("request received")
