"""Forwards keyed calls to owners of their partition, and answers the calls of other nodes."""

import asyncio
import json
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

from loguru import logger

from .endpoint import Reply
from .errors import (
    BadJson,
    ExecutionStatus,
    KeyUnverified,
    LacewingError,
    NotReady,
    OutcomeUnknown,
    TooLarge,
    all_errors,
)
from .message import MAX_MESSAGE_BYTES, ForwardReply, ForwardRequest
from .request import Request
from .tables import Target
from .transport import Transport

# A call takes at most this long beyond its patience, for the claim and its result.
REPLY_MARGIN_S = 5.0
# At 23 requests per second and node, 1% of them keyed, a node waits for far fewer calls.
MAX_CALLS = 256
MAX_TOTAL_BYTES = 32 * 1024 * 1024
# What a message holds besides the body.
MAX_BODY_BYTES = MAX_MESSAGE_BYTES - 64 * 1024
WATCH_S = 0.25
# A connection that the transport opens when it is needed is up after a few round trips.
CONNECT_S = 0.3
RETRY_S = 0.02
# Replies that were queued last leave the node before its connections are closed.
LAST_REPLIES_S = 0.1

Serve = Callable[[Request], Awaitable[Reply]]


class _Call:
    """A call that waits for the reply of an owner.

    Attributes:
        owner: Identifier of the node.
        incarnation: Its incarnation, or None if it is no peer, so that only the time limits apply.
        reply: The reply, or the error that ends the wait.
    """

    __slots__ = ("incarnation", "owner", "reply")

    def __init__(self, owner: str, incarnation: int | None) -> None:
        self.owner = owner
        self.incarnation = incarnation
        self.reply: asyncio.Future[ForwardReply] = asyncio.get_running_loop().create_future()


class Forwarder:
    """Sends calls to other nodes and serves the calls that they send.

    Args:
        transport: Messages to the other nodes.

    Attributes:
        serve: Executes a call of another node at this one; None refuses all.
    """

    def __init__(self, transport: Transport) -> None:
        self.serve: Serve | None = None
        self._transport = transport
        self._calls: dict[str, _Call] = {}
        self._serving: dict[str, asyncio.Task[None]] = {}
        self._serving_bytes = 0
        self._closing = False
        transport.subscribe(ForwardRequest, self._on_forward)
        transport.subscribe(ForwardReply, self._on_reply)

    async def run(self) -> None:
        """Give up calls whose connection broke, until cancelled."""
        while True:
            await asyncio.sleep(WATCH_S)
            if not self._calls:
                continue
            connected = self._connected()
            for call in self._calls.values():
                if call.incarnation is None or call.reply.done():
                    continue
                if connected.get(call.owner) != call.incarnation:
                    call.reply.set_exception(
                        OutcomeUnknown("the connection to the node that executes the call broke")
                    )

    async def call(self, owner: str, req: Request) -> Reply:
        """Execute a call at another node.

        Args:
            owner: Identifier of the node.
            req: The call with its key.

        Returns:
            The reply of the service.

        Raises:
            NotReady: If the call was not sent to the node, or the node refused it. It was not
                executed and may be made at another node.
            OutcomeUnknown: If the connection broke or no reply arrived within the patience of the
                call and ``REPLY_MARGIN_S``.
            KeyUnverified: If too many calls wait for replies.
            TooLarge: If the body does not fit into a message.
            LacewingError: The error of the node.
        """
        body = json.dumps(req.body).encode()
        if len(body) > MAX_BODY_BYTES:
            raise TooLarge(
                f"a body with a key exceeds {MAX_BODY_BYTES} bytes", run=ExecutionStatus.UNKNOWN
            )
        if len(self._calls) >= MAX_CALLS:
            raise KeyUnverified(
                "too many calls wait for the owners of their keys; this one was not sent, but an "
                "earlier request with this key may have been executed",
                retry_after_s=1.0,
            )
        loop = asyncio.get_running_loop()
        patience_s = max(0.0, req.arrived + req.patience_s - loop.time())
        name = uuid.uuid4().hex
        call = self._calls[name] = _Call(owner, None)
        try:
            if not await self._send(owner, _message(name, req, body, patience_s)):
                raise NotReady(f"node {owner!r} takes no messages now", run=ExecutionStatus.UNKNOWN)
            call.incarnation = self._connected().get(owner)
            async with asyncio.timeout(patience_s + REPLY_MARGIN_S):
                return _result(await call.reply)
        except TimeoutError:
            raise OutcomeUnknown("the node that executes the call did not answer in time") from None
        finally:
            del self._calls[name]

    async def close(self) -> None:
        """Refuse further calls of other nodes and wait until those in progress are answered."""
        self._closing = True
        if not self._serving:
            return
        while self._serving:
            await asyncio.wait(list(self._serving.values()))
        await asyncio.sleep(LAST_REPLIES_S)

    async def _send(self, node: str, message: ForwardRequest | ForwardReply) -> bool:
        """Send a message, after a short wait if there is no connection yet."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CONNECT_S
        while not self._transport.send(node, message):
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(RETRY_S)
        return True

    def _connected(self) -> dict[str, int]:
        return {peer.node: peer.incarnation for peer in self._transport.peers()}

    def _on_forward(self, sender: str, message: ForwardRequest) -> None:
        if message.call in self._serving:
            return
        full = (
            len(self._serving) >= MAX_CALLS
            or self._serving_bytes + len(message.body) > MAX_TOTAL_BYTES
        )
        if self.serve is None or self._closing or full:
            error = NotReady(
                "the node takes no calls of other nodes now", run=ExecutionStatus.UNKNOWN
            )
            self._transport.send(sender, _error_reply(message.call, error))
            return
        task = asyncio.create_task(self._serve(self.serve, sender, message))
        self._serving[message.call] = task
        self._serving_bytes += len(message.body)
        task.add_done_callback(lambda _: self._served(message))

    def _served(self, message: ForwardRequest) -> None:
        self._serving.pop(message.call, None)
        self._serving_bytes -= len(message.body)

    async def _serve(self, serve: Serve, sender: str, message: ForwardRequest) -> None:
        try:
            found = await serve(_request(message))
            reply = _reply(message.call, found)
        except LacewingError as exc:
            reply = _error_reply(message.call, exc)
        except Exception as exc:
            logger.opt(exception=exc).error("unexpected error in a call of node {}", sender)
            reply = _error_reply(message.call, OutcomeUnknown(f"unexpected error: {exc!r}"))
        if not await self._send(sender, reply):
            logger.warning("node {} did not take the reply to its call", sender)

    def _on_reply(self, sender: str, message: ForwardReply) -> None:
        call = self._calls.get(message.call)
        if call is not None and call.owner == sender and not call.reply.done():
            call.reply.set_result(message)


def _message(name: str, req: Request, body: bytes, patience_s: float) -> ForwardRequest:
    return ForwardRequest(
        name,
        req.id,
        req.workspace,
        req.request_class,
        req.tier,
        req.pool,
        req.key or "",
        body,
        round(patience_s * 1000),
        req.weight,
        req.fingerprint,
    )


def _request(message: ForwardRequest) -> Request:
    try:
        body = json.loads(message.body)
    except ValueError as exc:
        raise BadJson(
            f"the forwarded body is not JSON: {exc}", run=ExecutionStatus.UNKNOWN
        ) from exc
    return Request(
        id=message.request,
        workspace=message.workspace,
        request_class=message.request_class,
        tier=message.tier,
        pool=message.pool,
        body=body,
        arrived=asyncio.get_running_loop().time(),
        patience_s=message.patience_ms / 1000,
        target=Target(),
        key=message.key,
        fingerprint=message.fingerprint,
        weight=message.weight,
        forwarded=True,
    )


def _reply(name: str, reply: Reply) -> ForwardReply:
    body = json.dumps(reply.body).encode()
    if len(body) > MAX_BODY_BYTES:
        error = OutcomeUnknown(
            "the request was executed, but its answer is too large to be passed on",
            executed=True,
            status=reply.status,
        )
        return _error_reply(name, error)
    return ForwardReply(name, reply.status, body)


def _error_reply(name: str, error: LacewingError) -> ForwardReply:
    retry_ms = -1 if error.retry_after_s is None else round(error.retry_after_s * 1000)
    return ForwardReply(
        name,
        error.status,
        json.dumps(error.details, default=str).encode(),
        error.code,
        error.message.encode(errors="replace").decode(),
        str(error.run),
        retry_ms,
    )


def _result(message: ForwardReply) -> Reply:
    """Return the reply or raise the error that an owner sent."""
    try:
        body: Any = json.loads(message.body)
        if not message.code:
            return Reply(message.status, body)
        error = all_errors().get(message.code, LacewingError)(
            message.text,
            retry_after_s=message.retry_after_ms / 1000 if message.retry_after_ms >= 0 else None,
            run=ExecutionStatus(message.run),
        )
        error.details = dict(body)
    except (ValueError, TypeError) as exc:
        raise OutcomeUnknown(f"the reply of the owner is malformed: {exc}") from exc
    raise error
