"""HTTP interface for clients and operators."""

import asyncio
import itertools
import json
import re
import sys
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass, field
from functools import partial, wraps
from typing import Any
from uuid import uuid4

import sanic
from loguru import logger
from sanic import Sanic
from sanic.exceptions import (
    MethodNotAllowed as SanicMethodNotAllowed,
)
from sanic.exceptions import (
    NotFound as SanicNotFound,
)
from sanic.exceptions import (
    PayloadTooLarge,
    SanicException,
)
from sanic.response import HTTPResponse

from . import client_sockets
from .client_bounds import ClientGuard, Turn
from .client_registry import ClientRegistry
from .endpoint import Chunk
from .errors import (
    BadRequest,
    Draining,
    ExecutionStatus,
    LacewingError,
    MethodNotAllowed,
    NotFound,
    NotReady,
    TooLarge,
)
from .gateway_connection import GatewayConnection, GatewayLimits, GatewayProtocol
from .keys import check_operator, workspace_of
from .memory_budget import SMALL_BYTES
from .phase import Phase
from .request import (
    Request,
    classify_call,
    classify_chat,
    decode_body,
    decoded_bytes,
    prompt_words,
)
from .router import Router
from .tables import Tables, Workspace

DONE = b"data: [DONE]\n\n"
# Received bytes that Sanic keeps before it pauses reading; a head has to fit.
BUFFERED_BYTES = 16 * 1024
# Answers may take hours; the router detects failed endpoints itself.
NO_TIMEOUT_S = 10 * 365 * 86_400
CLOSE_S = 2.0

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")

Handler = Callable[..., Coroutine[Any, Any, HTTPResponse | None]]

_app_numbers = itertools.count(1)


@dataclass(slots=True)
class GatewayDependencies:
    """The objects and settings that a gateway uses.

    Attributes:
        node: Identifier of the node.
        router: Serves the classified requests.
        tables: Returns the current tables.
        operator_keys: SHA-256 digests of operators' keys, in hex.
        ready: Functions that return why the node is not ready, or None.
        status: Functions that return the sections of ``/status``, by name.
        limits: Limits on the requests of clients.
        guard: Limits the clients together with those of other servers of the process.
    """

    node: str
    router: Router
    tables: Callable[[], Tables]
    operator_keys: list[str] = field(default_factory=list)
    ready: list[Callable[[], str | None]] = field(default_factory=list)
    status: dict[str, Callable[[], Any]] = field(default_factory=dict)
    limits: GatewayLimits = field(default_factory=GatewayLimits)
    guard: ClientGuard = field(default_factory=ClientGuard)


class Gateway:
    """Serves clients over HTTP inside the running event loop.

    Args:
        dependencies: The objects and settings that the gateway uses.

    Attributes:
        phase: Set by the node; requests are refused while draining.
        in_flight: Number of requests that are being served.
        served: Number of requests that were served since the start.
    """

    def __init__(self, dependencies: GatewayDependencies) -> None:
        self.phase = Phase.SERVING
        self.in_flight = 0
        self.served = 0
        self._deps = dependencies
        self._idle = asyncio.Event()
        self._idle.set()
        self._started = time.time()
        self._clients: ClientRegistry[GatewayConnection] = ClientRegistry(dependencies.guard)
        self._decoding = asyncio.Lock()
        self._app = self._build_app()
        self._server: Any = None

    async def start(self, host: str, port: int) -> int:
        """Serve on an address.

        Args:
            host: IP address.
            port: Port, or 0 for a free one.

        Returns:
            The port.

        Raises:
            OSError: If the address cannot be bound.
        """
        sock = client_sockets.bind(host, port, self._deps.guard.receive_bytes)
        self._server = await self._app.create_server(
            sock=sock,
            return_asyncio_server=True,
            access_log=False,
            backlog=1024,
            protocol=GatewayProtocol,
        )
        await self._server.startup()
        self._clients.start()
        return sock.getsockname()[1]

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is None:
            return
        server, self._server = self._server, None
        self._clients.stop()
        server.server.close()
        for conn in list(server.connections):
            conn.close_if_idle()
        deadline = asyncio.get_running_loop().time() + CLOSE_S
        while server.connections and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.01)
        for conn in list(server.connections):
            conn.abort()
        Sanic.unregister_app(self._app)

    def _build_app(self) -> Sanic:
        app = Sanic(f"lacewinghub-{next(_app_numbers)}", configure_logging=False)
        app.ctx.clients = self._clients
        app.ctx.limits = self._deps.limits
        # The connections of this node bound bodies, heads and pauses themselves.
        app.config.REQUEST_MAX_SIZE = sys.maxsize
        app.config.REQUEST_BUFFER_SIZE = BUFFERED_BYTES
        app.config.RESPONSE_TIMEOUT = app.config.REQUEST_TIMEOUT = NO_TIMEOUT_S
        app.config.FALLBACK_ERROR_FORMAT = "json"
        app.config.MOTD = False
        # At start Sanic rewrites its own methods, which fails for the second app of a process.
        app.config.TOUCHUP = False
        posts = (
            ("chat", "/v1/chat/completions", self._chat),
            ("call", "/v1/services/<pool:str>", self._call),
        )
        pages = (("healthz", self._healthz), ("readyz", self._readyz), ("status", self._status))
        # Sanic would collect the bodies of handlers that are no streams.
        for name, path, handler in posts:
            app.add_route(_as_function(handler), path, ["POST"], name=name, stream=True)
        for name, page in pages:
            app.add_route(_without_body(page), f"/{name}", name=name, stream=True)
        app.error_handler.add(Exception, _handle_error)
        return app

    async def _chat(self, request: sanic.Request) -> HTTPResponse | None:
        def classify(workspace: Workspace, body: dict[str, Any]) -> Request:
            return classify_chat(
                self._deps.tables(),
                workspace,
                _request_class(request),
                body,
                request_id=_request_id(request),
                arrived=asyncio.get_running_loop().time(),
            )

        async with self._receive(request, classify) as req:
            if req.body.get("stream"):
                await self._stream(request, req)
                return None
            return await self._respond(req)

    async def _call(self, request: sanic.Request, pool: str) -> HTTPResponse:
        def classify(workspace: Workspace, body: dict[str, Any]) -> Request:
            return classify_call(
                self._deps.tables(),
                workspace,
                _request_class(request),
                pool,
                request.headers.get("idempotency-key"),
                body,
                request_id=_request_id(request),
                arrived=asyncio.get_running_loop().time(),
            )

        async with self._receive(request, classify) as req:
            request.ctx.key_checked = True
            reply = await self._deps.router.call(req)
            return _json(reply.body, reply.status, {"x-request-id": req.id})

    @asynccontextmanager
    async def _receive(
        self, request: sanic.Request, classify: Callable[[Workspace, dict[str, Any]], Request]
    ) -> AsyncIterator[Request]:
        """Read, decode and classify a request, and count it while it is being served."""
        client = _client(request)
        self._check_client(request)
        try:
            data = await client.read_body(request.stream)
            with _InFlight(self):
                # Phase and key may have changed while the body arrived.
                workspace = self._check_client(request)
                yield await self._decode(client, data, partial(classify, workspace))
        finally:
            client.end_request()

    async def _decode(
        self,
        client: GatewayConnection,
        data: bytearray,
        classify: Callable[[dict[str, Any]], Request],
    ) -> Request:
        """Decode and classify a body; large ones one after the other, with rests between them."""
        if len(data) <= SMALL_BYTES:
            client.reserve(decoded_bytes(data))
            return classify(decode_body(data))
        async with self._decoding:
            turn = Turn()
            client.reserve(decoded_bytes(data))
            req = classify(decode_body(data))
            data.clear()
            await client.rest(turn)
            return req

    def _check_client(self, request: sanic.Request) -> Workspace:
        """Check phase and workspace key."""
        if self.phase is Phase.DRAINING:
            raise Draining("this node is stopping", retry_after_s=0.0)
        tables = self._deps.tables()
        if tables.version == 0:
            raise NotReady("this node has no configuration yet", retry_after_s=1.0)
        return workspace_of(tables, request.headers.get("authorization"))

    async def _stream(self, request: sanic.Request, req: Request) -> None:
        writer = _EventWriter(req)
        # Sanic sends the first event, with the headers and the start of the chunked encoding.
        send = request.stream.protocol.send  # type: ignore[union-attr]
        response = None
        try:
            async with aclosing(self._deps.router.handle(req)) as chunks:
                async for chunk in chunks:
                    if response is None:
                        response = await request.respond(
                            content_type="text/event-stream",
                            headers={"cache-control": "no-cache", "x-request-id": req.id},
                        )
                        await response.send(writer.events(chunk))
                        continue
                    data = writer.events(chunk)
                    await send(b"%x\r\n%b\r\n" % (len(data), data))
        except Exception as exc:
            if response is None:
                raise
            error = _to_coded_error(exc)
            await response.send(_error_event(error, req.id))
            return
        if response is None:
            raise LacewingError("the answer ended without a chunk")
        await response.send(writer.tail())

    async def _respond(self, req: Request) -> HTTPResponse:
        texts: list[str] = []
        finish = None
        async with aclosing(self._deps.router.handle(req)) as chunks:
            async for chunk in chunks:
                texts.extend(chunk.tokens)
                finish = chunk.finish
        body = {
            "id": req.id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": req.body["model"],
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": "".join(texts)},
                    "finish_reason": finish,
                }
            ],
            "usage": _usage(req, len(texts)),
        }
        return _json(body, 200, {"x-request-id": req.id})

    async def _healthz(self, request: sanic.Request) -> HTTPResponse:
        return _json({"status": "ok", "node": self._deps.node})

    async def _readyz(self, request: sanic.Request) -> HTTPResponse:
        if self.phase is not Phase.SERVING:
            raise Draining("this node is stopping")
        if self._deps.tables().version == 0:
            raise NotReady("this node has no configuration yet")
        for check in self._deps.ready:
            reason = check()
            if reason:
                raise NotReady(reason)
        return _json({"status": "ready", "node": self._deps.node})

    async def _status(self, request: sanic.Request) -> HTTPResponse:
        tables = self._deps.tables()
        header = request.headers.get("authorization")
        check_operator(self._deps.operator_keys, tables, header)
        body: dict[str, Any] = {
            "node": self._deps.node,
            "phase": self.phase,
            "up_s": round(time.time() - self._started, 3),
            "config_version": tables.version,
            "in_flight": self.in_flight,
            "served": self.served,
        }
        for name, section in self._deps.status.items():
            body[name] = section()
        return _json(body)

    def _enter(self) -> None:
        self.in_flight += 1
        self._idle.clear()

    def _leave(self) -> None:
        self.in_flight -= 1
        self.served += 1
        if self.in_flight == 0:
            self._idle.set()


class _InFlight:
    """Counts a request while it is being served."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def __enter__(self) -> None:
        self._gateway._enter()

    def __exit__(self, *exc: object) -> None:
        self._gateway._leave()


class _EventWriter:
    """Formats the events of one stream; the JSON that all its events share is built once."""

    def __init__(self, req: Request) -> None:
        self._req = req
        self._tokens = 0
        options = req.body.get("stream_options") or {}
        self._with_usage = bool(options.get("include_usage"))
        shared = {
            "id": req.id,
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": req.body["model"],
        }
        self._shared = shared
        head = json.dumps(shared, separators=(",", ":"))[:-1]
        self._head = f'data: {head},"choices":[{{"index":0,"delta":{{"content":'
        self._tail = '},"finish_reason":null}]}\n\n'

    def events(self, chunk: Chunk) -> bytes:
        """Format one event per token, and one for the end."""
        parts = [f"{self._head}{json.dumps(token)}{self._tail}" for token in chunk.tokens]
        if self._tokens == 0 and parts:
            parts[0] = parts[0].replace('"delta":{', '"delta":{"role":"assistant",', 1)
        self._tokens += len(parts)
        if chunk.finish is not None:
            choice = {"index": 0, "delta": {}, "finish_reason": chunk.finish}
            parts.append(_event(self._shared | {"choices": [choice]}))
        return "".join(parts).encode()

    def tail(self) -> bytes:
        """Format the events after a complete answer: usage, if requested, and ``[DONE]``."""
        if not self._with_usage:
            return DONE
        usage = self._shared | {"choices": [], "usage": _usage(self._req, self._tokens)}
        return _event(usage).encode() + DONE


def _event(body: dict[str, Any]) -> str:
    return f"data: {json.dumps(body, separators=(',', ':'))}\n\n"


def _error_event(error: LacewingError, request_id: str) -> bytes:
    return f"event: error\n{_event(error.to_body(request_id))}".encode()


def _usage(req: Request, tokens: int) -> dict[str, int]:
    prompt = prompt_words(req.body["messages"])
    return {
        "prompt_tokens": prompt,
        "completion_tokens": tokens,
        "total_tokens": prompt + tokens,
    }


def _client(request: sanic.Request) -> GatewayConnection:
    """Return the connection of a request."""
    return request.stream.protocol.client  # type: ignore[union-attr]


def _as_function(handler: Handler) -> Handler:
    """Return a method as a function, of which Sanic notes that it reads the body itself."""

    @wraps(handler)
    async def handle(request: sanic.Request, **members: str) -> HTTPResponse | None:
        return await handler(request, **members)

    return handle


def _without_body(handler: Handler) -> Handler:
    """Return a handler that reads no body; a connection that brings one ends with the response."""

    @wraps(handler)
    async def handle(request: sanic.Request) -> HTTPResponse | None:
        _client(request).drop_rest(request.stream)
        return await handler(request)

    return handle


def _request_class(request: sanic.Request) -> str | None:
    name = request.headers.get("x-request-class")
    if name is not None and not _NAME.fullmatch(name):
        raise BadRequest("X-Request-Class must be a name of letters, digits, '.', '_' and '-'")
    return name


def _request_id(request: sanic.Request) -> str:
    if not hasattr(request.ctx, "request_id"):
        request.ctx.request_id = uuid4().hex
    return request.ctx.request_id


def _json(body: Any, status: int = 200, headers: dict[str, str] | None = None) -> HTTPResponse:
    data = json.dumps(body, separators=(",", ":"))
    return HTTPResponse(data, status, headers, "application/json")


def _to_coded_error(exc: Exception) -> LacewingError:
    """Convert any exception into an error with a code."""
    if isinstance(exc, LacewingError):
        return exc
    if isinstance(exc, PayloadTooLarge):
        return TooLarge("the headers exceed the size limit")
    if isinstance(exc, SanicNotFound):
        return NotFound("the path does not exist")
    if isinstance(exc, SanicMethodNotAllowed):
        return MethodNotAllowed("the path does not serve this method")
    if isinstance(exc, SanicException) and exc.status_code < 500:
        return BadRequest(str(exc))
    logger.opt(exception=exc).error("unexpected error in a request")
    return LacewingError("internal error")


async def _handle_error(request: sanic.Request, exc: Exception) -> HTTPResponse:
    _client(request).drop_rest(request.stream)
    error = _to_coded_error(exc)
    if error.run is ExecutionStatus.NOT_RUN and _is_key_unchecked(request):
        error.run = ExecutionStatus.UNKNOWN
    request_id = _request_id(request)
    headers = {"x-request-id": request_id}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_s)))
    return _json(error.to_body(request_id), error.status, headers)


def _is_key_unchecked(request: sanic.Request) -> bool:
    """Tell whether a request with a key failed before its claim was checked.

    An earlier request with the same key may then have been executed.
    """
    has_key = request.path.startswith("/v1/services/") and "idempotency-key" in request.headers
    return has_key and not getattr(request.ctx, "key_checked", False)
