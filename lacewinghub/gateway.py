"""HTTP interface to callers and operators."""

import asyncio
import itertools
import json
import re
import socket
import time
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass, field
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
    RequestCancelled,
    SanicException,
)
from sanic.response import HTTPResponse
from sanic.server.protocols.http_protocol import HttpProtocol

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
from .keys import check_operator, workspace_of
from .phase import Phase
from .request import Request, classify_call, classify_chat, decode_body, prompt_words
from .router import Router
from .tables import Tables, Workspace

DONE = b"data: [DONE]\n\n"
DEFAULT_BODY_BYTES = 4 * 1024 * 1024
# Sanic drops the connection of a caller that sends more than its own limit, often before the
# caller reads the error. Bodies up to this factor above the limit are read and refused in order.
READ_FACTOR = 4
# Answers may take hours; the router watches the endpoints itself.
NO_TIMEOUT_S = 10 * 365 * 86_400
CLOSE_S = 2.0

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")

_app_numbers = itertools.count(1)


class _Protocol(HttpProtocol):
    """Sends without Sanic's signals, which cost a fifth of the time of relaying a token."""

    async def send(self, data: bytes) -> None:
        if not self._can_write.is_set():
            await self._can_write.wait()
        if self.transport is None or self.transport.is_closing():
            raise RequestCancelled
        self.transport.write(data)
        self._time = time.monotonic()


@dataclass(slots=True)
class GatewayDependencies:
    """What a gateway works with.

    Attributes:
        node: Identifier of the node.
        router: Serves the classified requests.
        tables: Returns the tables in force.
        operator_keys: SHA-256 digests of operators' keys, in hex.
        ready: Functions that return why the node is not ready, or None.
        status: Sections of ``/status`` by name.
        body_bytes: Largest size of a body.
    """

    node: str
    router: Router
    tables: Callable[[], Tables]
    operator_keys: list[str] = field(default_factory=list)
    ready: list[Callable[[], str | None]] = field(default_factory=list)
    status: dict[str, Callable[[], Any]] = field(default_factory=dict)
    body_bytes: int = DEFAULT_BODY_BYTES


class Gateway:
    """Serves callers over HTTP inside the running event loop.

    Args:
        parts: What the gateway works with.

    Attributes:
        phase: Set by the node; callers are refused while draining.
        in_flight: Number of requests that are being served.
    """

    def __init__(self, parts: GatewayDependencies) -> None:
        self.phase = Phase.SERVING
        self.in_flight = 0
        self.served = 0
        self._parts = parts
        self._idle = asyncio.Event()
        self._idle.set()
        self._started = time.time()
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
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
        self._server = await self._app.create_server(
            sock=sock,
            return_asyncio_server=True,
            access_log=False,
            backlog=1024,
            protocol=_Protocol,
        )
        await self._server.startup()
        return sock.getsockname()[1]

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    async def close(self) -> None:
        """Close the address and all connections."""
        if self._server is None:
            return
        server, self._server = self._server, None
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
        app.config.REQUEST_MAX_SIZE = self._parts.body_bytes * READ_FACTOR
        app.config.RESPONSE_TIMEOUT = NO_TIMEOUT_S
        app.config.FALLBACK_ERROR_FORMAT = "json"
        app.config.MOTD = False
        # Sanic's rewriting of its own methods at start fails for the second app of a process.
        app.config.TOUCHUP = False
        app.add_route(self._chat, "/v1/chat/completions", methods=["POST"], name="chat")
        app.add_route(self._call, "/v1/services/<pool:str>", methods=["POST"], name="call")
        app.add_route(self._healthz, "/healthz", name="healthz")
        app.add_route(self._readyz, "/readyz", name="readyz")
        app.add_route(self._status, "/status", name="status")
        app.error_handler.add(Exception, _on_error)
        return app

    async def _chat(self, request: sanic.Request) -> HTTPResponse | None:
        with _InFlight(self):
            workspace, body = self._open(request)
            req = classify_chat(
                self._parts.tables(),
                workspace,
                _request_class(request),
                body,
                request_id=_request_id(request),
                arrived=asyncio.get_running_loop().time(),
            )
            if body.get("stream"):
                await self._stream(request, req)
                return None
            return await self._answer(req)

    async def _call(self, request: sanic.Request, pool: str) -> HTTPResponse:
        with _InFlight(self):
            workspace, body = self._open(request)
            req = classify_call(
                self._parts.tables(),
                workspace,
                _request_class(request),
                pool,
                request.headers.get("idempotency-key"),
                body,
                request_id=_request_id(request),
                arrived=asyncio.get_running_loop().time(),
            )
            request.ctx.key_checked = True
            reply = await self._parts.router.call(req)
            return _json(reply.body, reply.status, {"x-request-id": req.id})

    def _open(self, request: sanic.Request) -> tuple[Workspace, dict[str, Any]]:
        """Check what all requests of callers have in common."""
        if self.phase is Phase.DRAINING:
            raise Draining("this node is stopping", retry_after_s=0.0)
        tables = self._parts.tables()
        if tables.version == 0:
            raise NotReady("this node has no configuration yet", retry_after_s=1.0)
        workspace = workspace_of(tables, request.headers.get("authorization"))
        if len(request.body) > self._parts.body_bytes:
            raise _too_large(self._parts.body_bytes)
        return workspace, decode_body(request.body)

    async def _stream(self, request: sanic.Request, req: Request) -> None:
        writer = _EventWriter(req)
        # The first event goes through Sanic, which sends the head and begins chunked encoding.
        send = request.stream.protocol.send  # type: ignore[union-attr]
        response = None
        try:
            async with aclosing(self._parts.router.handle(req)) as chunks:
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
            error = _coded(exc)
            await response.send(_error_event(error, req.id))
            return
        if response is None:
            raise LacewingError("the answer had no end")
        await response.send(writer.tail())

    async def _answer(self, req: Request) -> HTTPResponse:
        texts: list[str] = []
        finish = None
        async with aclosing(self._parts.router.handle(req)) as chunks:
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
        return _json({"status": "ok", "node": self._parts.node})

    async def _readyz(self, request: sanic.Request) -> HTTPResponse:
        if self.phase is not Phase.SERVING:
            raise Draining("this node is stopping")
        if self._parts.tables().version == 0:
            raise NotReady("this node has no configuration yet")
        for check in self._parts.ready:
            reason = check()
            if reason:
                raise NotReady(reason)
        return _json({"status": "ready", "node": self._parts.node})

    async def _status(self, request: sanic.Request) -> HTTPResponse:
        tables = self._parts.tables()
        header = request.headers.get("authorization")
        check_operator(self._parts.operator_keys, tables, header)
        body: dict[str, Any] = {
            "node": self._parts.node,
            "phase": self.phase,
            "up_s": round(time.time() - self._started, 3),
            "config_version": tables.version,
            "in_flight": self.in_flight,
            "served": self.served,
        }
        for name, section in self._parts.status.items():
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
    """Formats the events of one stream; the parts that all its events share are built once."""

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
        """Format what follows a complete answer."""
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


def _too_large(limit: int) -> TooLarge:
    return TooLarge(f"the body exceeds {limit} bytes", limit_bytes=limit)


def _coded(exc: Exception) -> LacewingError:
    """Turn any exception into an error with a code."""
    if isinstance(exc, LacewingError):
        return exc
    if isinstance(exc, PayloadTooLarge):
        return TooLarge("the request exceeds the size limit")
    if isinstance(exc, SanicNotFound):
        return NotFound("the path does not exist")
    if isinstance(exc, SanicMethodNotAllowed):
        return MethodNotAllowed("the path does not serve this method")
    if isinstance(exc, SanicException) and exc.status_code < 500:
        return BadRequest(str(exc))
    logger.opt(exception=exc).error("unexpected error in a request")
    return LacewingError("internal error")


async def _on_error(request: sanic.Request, exc: Exception) -> HTTPResponse:
    error = _coded(exc)
    if error.run is ExecutionStatus.NOT_RUN and _is_key_unchecked(request):
        error.run = ExecutionStatus.UNKNOWN
    request_id = _request_id(request)
    headers = {"x-request-id": request_id}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_s)))
    return _json(error.to_body(request_id), error.status, headers)


def _is_key_unchecked(request: sanic.Request) -> bool:
    """Tell whether an earlier request with the same key may have been executed."""
    has_key = request.path.startswith("/v1/services/") and "idempotency-key" in request.headers
    return has_key and not getattr(request.ctx, "key_checked", False)
