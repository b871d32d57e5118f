"""Serves callers whose requests are passed on unchanged."""

import asyncio
import json
from abc import ABC, abstractmethod
from contextlib import aclosing
from dataclasses import dataclass

from loguru import logger

from .deployment import CurrentConfig, DeploymentConfig
from .errors import DeadlineExceeded, Draining, LacewingError, NotReady, NotRun
from .httpmessage import Headers, Incoming
from .httpserver import HttpHandler, HttpLimits, Responder
from .pathroute import PathRoute
from .phase import Phase
from .proxyrouter import ProxyRouter, ResponseHead
from .request import Request

NOT_READY_RETRY_S = 1.0
# A caller that may retry during a stop finds another node at once.
DRAINING_RETRY_S = 0.05
# A refused caller that comes back needs most of its time for the request itself.
RETRY_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class Decoded:
    """A request and its route."""

    req: Request
    route: PathRoute


class ProxyCodec(ABC):
    """Reads requests and writes errors in the format of the callers."""

    @abstractmethod
    def decode(self, incoming: Incoming, deployment: DeploymentConfig, arrived: float) -> Decoded:
        """Classify a request.

        Raises:
            LacewingError: If no route or workspace permits it.
        """

    @abstractmethod
    def request_id(self, incoming: Incoming) -> str:
        """Return the id that the caller gave its request, or an empty string."""

    @abstractmethod
    def retry_header(self, retry_after_s: float) -> tuple[bytes, bytes]:
        """Return the header that tells a caller when to come back."""


@dataclass(slots=True, eq=False)
class _Live:
    """A request that is being served; its timer follows the timeout of its route."""

    req: Request
    route: str
    timer: asyncio.Timeout


class ProxyGateway(HttpHandler):
    """Answers callers.

    Args:
        codec: Format of the callers.
        deployments: The configuration in force.
        relay: Serves the requests.

    Attributes:
        phase: Set by the node.
    """

    def __init__(self, codec: ProxyCodec, deployments: CurrentConfig, relay: ProxyRouter) -> None:
        self.phase = Phase.SERVING
        # Time until the process ends, in seconds; set while draining.
        self.ends_at = float("inf")
        self._codec = codec
        self._deployments = deployments
        self._relay = relay
        self._live: set[_Live] = set()
        deployments.listen(self._on_deployment)

    @property
    def in_flight(self) -> int:
        """Number of requests that are being served."""
        return len(self._live)

    def limits(self) -> HttpLimits:
        """Return the limits of the configuration in force."""
        return self._deployments.current.limits

    def is_closing(self) -> bool:
        """Tell whether connections are to end with their next answer."""
        return self.phase is Phase.DRAINING

    def on_malformed_request(self, status: int) -> None:
        """Note a request that was refused for its form."""
        logger.bind(status=status).warning("malformed request refused")

    async def handle(self, incoming: Incoming, out: Responder) -> None:
        """Answer one request."""
        loop = asyncio.get_running_loop()
        deployment = self._deployments.current
        try:
            if deployment.version == 0:
                raise NotReady("no configuration yet", retry_after_s=NOT_READY_RETRY_S)
            decoded = self._codec.decode(incoming, deployment, loop.time())
            self._check_phase(decoded.req)
        except LacewingError as exc:
            self._refuse(self._codec.request_id(incoming), deployment, exc)
            self._send_error(out, exc, self._codec.request_id(incoming))
            return
        _note_arrival(decoded, deployment)
        await self._serve(decoded, out)

    def on_resume(self, suspended_s: float) -> None:
        """Bring the deadlines of the requests under way forward by the time of a suspension."""
        now = asyncio.get_running_loop().time()
        for live in self._live:
            raw = live.req.proxy
            if raw is None or live.timer.expired():
                continue
            raw.deadline -= suspended_s
            raw.caller_expires -= suspended_s
            live.timer.reschedule(max(now, raw.deadline))

    def _check_phase(self, req: Request) -> None:
        """Refuse a request whose answer would be cut off by the end of the process."""
        assert req.proxy is not None
        if self.phase is Phase.DRAINING and (
            req.proxy.streaming or req.proxy.deadline > self.ends_at
        ):
            raise Draining("this node is stopping", retry_after_s=DRAINING_RETRY_S)

    async def _serve(self, decoded: Decoded, out: Responder) -> None:
        req = decoded.req
        assert req.proxy is not None
        timer = asyncio.timeout_at(req.proxy.deadline)
        live = _Live(req, decoded.route.name, timer)
        self._live.add(live)
        try:
            async with timer:
                await self._answer(req, out)
        except TimeoutError:
            error = _expired(req)
            logger.bind(
                request_id=req.id,
                route=decoded.route.name,
                sent=req.proxy.sent,
                waited_s=round(asyncio.get_running_loop().time() - req.arrived, 3),
                outcome=error.code,
            ).info("request expired")
            self._send_error(out, error, req.id)
        except LacewingError as exc:
            self._send_error(out, _bounded(exc, req), req.id)
        finally:
            self._live.discard(live)

    async def _answer(self, req: Request, out: Responder) -> None:
        assert req.proxy is not None
        head: ResponseHead | None = None
        async with aclosing(self._relay.stream(req)) as pieces:
            async for piece in pieces:
                if isinstance(piece, ResponseHead):
                    head = piece
                    if req.proxy.streaming or not head.framed:
                        out.start(head.status, head.headers, head.framed)
                elif out.started:
                    await out.write(piece)
                else:
                    assert head is not None
                    out.send(head.status, head.headers, piece)
        if out.started and not out.finished:
            out.finish()

    def _send_error(self, out: Responder, exc: LacewingError, request_id: str) -> None:
        """Send an error; after the begin of an answer the connection ends instead."""
        if out.started:
            return
        headers: Headers = [(b"content-type", b"application/json")]
        if exc.retry_after_s is not None:
            headers.append(self._codec.retry_header(exc.retry_after_s))
        out.send(exc.status, headers, json.dumps(exc.to_body(request_id)).encode())

    def _refuse(self, request_id: str, deployment: DeploymentConfig, exc: LacewingError) -> None:
        logger.bind(
            request_id=request_id, version=deployment.version, outcome=exc.code, run=str(exc.run)
        ).info("request refused: {}", exc.message)

    def _on_deployment(self, deployment: DeploymentConfig) -> None:
        """Apply changed timeouts to the requests under way."""
        for live in self._live:
            route = deployment.routes.by_name(live.route)
            raw = live.req.proxy
            if route is None or raw is None or live.timer.expired():
                continue
            expires = min(raw.caller_expires, live.req.arrived + route.timeout_s)
            if expires != raw.deadline:
                raw.deadline = expires
                live.timer.reschedule(expires)


def _expired(req: Request) -> LacewingError:
    assert req.proxy is not None
    if req.proxy.may_have_run:
        return DeadlineExceeded("no answer within the time of the request")
    return NotRun("no endpoint took the request in time", retry_after_s=0.0)


def _bounded(exc: LacewingError, req: Request) -> LacewingError:
    """Limit the time after which a caller comes back to a share of the time that it has left."""
    if exc.retry_after_s is not None and req.proxy is not None:
        left_s = req.proxy.caller_expires - asyncio.get_running_loop().time()
        exc.retry_after_s = max(0.0, min(exc.retry_after_s, left_s * RETRY_SHARE))
    return exc


def _note_arrival(decoded: Decoded, deployment: DeploymentConfig) -> None:
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
    ).info("request received")
