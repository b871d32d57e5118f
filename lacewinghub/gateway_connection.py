"""Connections of the clients of the product's own interface, which Sanic carries.

Sanic reads and writes the messages. A connection counts what it makes the process hold in the
memory budget that all entrances share, and is refused through Sanic's own way to interrupt a
request: an exception of the stream and the cancellation of its task.
"""

import asyncio
import json
import time
from dataclasses import dataclass
from typing import Any

from sanic.exceptions import RequestCancelled
from sanic.http.constants import Stage
from sanic.models.server_types import ConnInfo
from sanic.server.protocols.http_protocol import HttpProtocol

from .client_bounds import (
    CONNECTION_BYTES,
    ENDPOINT_BYTES,
    OpenConnection,
    Turn,
    is_too_slow,
)
from .client_registry import ClientRegistry, GuardedConnection, until_client_stops
from .client_sockets import SentBytes
from .errors import LacewingError, Overloaded, TooLarge, TooSlow
from .memory_budget import Holding

DEFAULT_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_HEADER_S = 30.0
DEFAULT_IDLE_S = 30.0
RETRY_S = 1.0
# Time to send an error to a client that is not waited for.
REFUSAL_S = 0.05
# A body that takes longer than this to parse without giving way rests, in seconds.
TURN_S = 0.002


@dataclass(frozen=True, slots=True)
class GatewayLimits:
    """Limits on the requests of clients.

    Attributes:
        body_bytes: Largest size of a body.
        header_s: Longest time from the first byte of a request to the end of its headers, in
            seconds.
        idle_s: Longest time between parts of a body, and for which a client may read nothing of an
            answer, in seconds.
    """

    body_bytes: int = DEFAULT_BODY_BYTES
    header_s: float = DEFAULT_HEADER_S
    idle_s: float = DEFAULT_IDLE_S


class GatewayConnection(GuardedConnection):
    """One connection of a client, as the bounds on clients see it.

    Args:
        protocol: Sanic's side of the connection.
        registry: Admits the connections.
        limits: Limits on the requests.

    Attributes:
        body: Received part of the body that is being read.
    """

    def __init__(
        self,
        protocol: "GatewayProtocol",
        registry: "ClientRegistry[GatewayConnection]",
        limits: GatewayLimits,
    ) -> None:
        self.body = bytearray()
        self._protocol = protocol
        self._registry = registry
        self._limits = limits
        self._decoded_size = 0
        self._sent = SentBytes()
        self._last_used = self._started = _now()
        self._unread_since = 0.0
        self._unread: int | None = None
        self._reads_body = False
        self._refused = False
        self._discarded = 0
        self._lingering: asyncio.Task[None] | None = None

    @property
    def _stage(self) -> Stage:
        http = self._protocol.http
        return Stage.IDLE if http is None else http.stage

    @property
    def _is_arriving(self) -> bool:
        """True while a request has arrived in part."""
        has_bytes = self._stage is Stage.IDLE and bool(self._protocol.recv_buffer)
        return self._stage is Stage.REQUEST or self._reads_body or has_bytes

    def admit(self) -> bool:
        """Add the connection to its registry; return False if there is no room for it."""
        transport = self._protocol.transport
        assert transport is not None
        peer = transport.get_extra_info("peername")
        self.address = peer[0] if isinstance(peer, tuple) else ""
        if self._registry.admit(self):
            return True
        self._refused = True
        error = Overloaded("the node has too many connections", retry_after_s=RETRY_S)
        transport.write(_raw_response(error))
        self._linger()
        return False

    def on_received(self, size: int) -> bool:
        """Count received bytes; return False if they are to be dropped."""
        self._last_used = _now()
        if self._refused:
            self._discarded += size
            transport = self._protocol.transport
            if self._discarded > self._limits.body_bytes and transport is not None:
                transport.pause_reading()
            return False
        if self._stage is Stage.IDLE and not self._protocol.recv_buffer:
            self._started = self._last_used
        return True

    def on_lost(self) -> None:
        """Release what the connection holds."""
        self.body = bytearray()
        self._registry.forget(self)
        if self._lingering is not None:
            self._lingering.cancel()

    def on_writable(self, writable: bool) -> None:
        """Note whether the client reads."""
        self._unread = None if writable else self._write_buffer_size()
        self._unread_since = _now()
        self.charge()

    def on_sent(self, size: int) -> None:
        """Count bytes that were written."""
        self._sent.add(size)

    def charge(self) -> None:
        """Charge to the budget what this connection holds."""
        if self in self._registry.connections:
            self._registry.guard.budget.charge(self, self._held())

    async def read_body(self, http: Any) -> bytearray:
        """Read the body of the current request.

        Args:
            http: Sanic's stream of the request.

        Raises:
            TooLarge: If it is larger than permitted, also if that is only announced.
        """
        self._reads_body = True
        turn = Turn()
        try:
            while http.request_body:
                if http.request_bytes > self._limits.body_bytes:
                    raise TooLarge(
                        f"the body exceeds {self._limits.body_bytes} bytes",
                        limit_bytes=self._limits.body_bytes,
                    )
                data = await http.read()
                # Not before: a refusal meanwhile releases the body that has arrived.
                self.body += data or b""
                self.charge()
                turn = await self._give_way(turn)
        finally:
            self._reads_body = False
        body, self.body = self.body, bytearray()
        self._decoded_size = len(body)
        return body

    def reserve(self, size: int) -> None:
        """Reserve memory for the decoded form of the current request.

        Args:
            size: Number of bytes.

        Raises:
            TooLarge: If it can have no room on this host.
            Overloaded: If there is no room for it now.
        """
        budget = self._registry.guard.budget
        if not budget.can_hold(size):
            raise TooLarge("the body has more values than the memory of this host permits")
        self._decoded_size = size
        if self in self._registry.connections and not budget.reserve(self, self._held()):
            self._decoded_size = 0
            raise Overloaded("the node has no memory left", retry_after_s=RETRY_S)

    async def rest(self, turn: Turn) -> None:
        """Rest after work that did not give way to other clients."""
        spent_s = turn.spent_s()
        if spent_s > TURN_S:
            await asyncio.sleep(self._registry.guard.pacer.rest_s(spent_s))

    def end_request(self) -> None:
        """Note that the current request was answered; what it held is released."""
        self._decoded_size = 0
        self._last_used = self._started = _now()
        self.charge()

    @property
    def is_lingering(self) -> bool:
        """True while the connection stays open for its client to read why it was refused."""
        return self._lingering is not None

    def drop_rest(self, http: Any) -> None:
        """Read no more of the body of the current request; the connection ends with its response.

        Args:
            http: Sanic's stream of the request.
        """
        if http is not None and http.request_body and not self._refused:
            self._drop()
            self._linger()

    def holding(self) -> Holding:
        """Return what a refusal releases; a request that is being served is kept."""
        now = _now()
        if self._unread is not None:
            return Holding(self.charged - CONNECTION_BYTES, now - self._unread_since)
        if self._refused:
            return Holding(0, 0.0)
        if self._is_arriving:
            return Holding(self.charged - CONNECTION_BYTES, now - self._started)
        refusable = len(self._protocol.recv_buffer)
        if self._stage is Stage.IDLE:
            refusable += self._sent.unsent
        return Holding(refusable, now - self._started)

    def refuse_for_memory(self) -> None:
        """Refuse a request that is arriving, or end an answer that is not read."""
        is_idle = self._stage is Stage.IDLE and not self._is_arriving
        is_unread = self._unread is not None or is_idle
        reason = "closed_answer_not_read" if is_unread else "refused_for_memory"
        held, held_s = self.holding().refusable, round(self.holding().held_s, 3)
        self._registry.guard.refusals.add(reason, self.address, held=held, held_s=held_s)
        if is_unread:
            self._registry.forget(self)
            self._protocol.abort()
        elif self._is_arriving:
            self._refuse(Overloaded("the node has no memory left", retry_after_s=RETRY_S))
        else:
            self._drop()  # What follows the request that is being served.

    def refuse_if_slow(self, now: float) -> None:
        """Refuse a body that arrives too slowly for a strained or crowded process."""
        if self._reads_body and is_too_slow(len(self.body), now - self._started):
            self._registry.guard.refusals.add(
                "refused_slow_body", self.address, size=len(self.body)
            )
            self._refuse(TooSlow("the body arrives too slowly"))

    def end_if_stalled(self, now: float) -> None:
        """Refuse a request whose client sends nothing more, and give up an answer not read."""
        if self._sent.refresh(self._protocol.transport):
            self.charge()
        idle_s = now - self._last_used
        if self._unread is not None:
            self._end_if_unread(now)
        elif self._refused:
            return
        elif self._reads_body and idle_s > self._limits.idle_s:
            self._refuse(TooSlow(f"no part of the body arrived for {self._limits.idle_s:g} s"))
        elif self._stage is Stage.REQUEST and now - self._started > self._limits.header_s:
            self._refuse(TooSlow(f"the headers took more than {self._limits.header_s:g} s"))

    def state(self, now: float) -> OpenConnection:
        """Return what decides whether the connection is closed in favour of a new one."""
        served = self._unread is not None or not (
            self._refused or self._is_arriving or self._stage is Stage.IDLE
        )
        return OpenConnection(self.address, now - self._last_used, served, self._is_arriving)

    def make_room(self) -> None:
        """Close the connection in favour of a new one; a request that is arriving is refused."""
        self._registry.guard.refusals.add("closed_for_new_connection", self.address)
        self._registry.forget(self)
        if self._is_arriving and not self._refused:
            self._refuse(Overloaded("the node has too many connections", retry_after_s=RETRY_S))
        else:
            self._protocol.close()

    def _end_if_unread(self, now: float) -> None:
        assert self._unread is not None
        left = self._write_buffer_size()
        if left < self._unread:
            self._unread, self._unread_since = left, now
        elif now - self._unread_since > self._limits.idle_s:
            self._registry.guard.refusals.add("closed_answer_not_read", self.address, held=left)
            self._protocol.abort()

    async def _give_way(self, turn: Turn) -> Turn:
        """Rest if a turn has lasted long; return the current turn."""
        if turn.has_ended:
            return Turn()
        if turn.spent_s() <= TURN_S:
            return turn
        await self.rest(turn)
        return Turn()

    def _refuse(self, error: LacewingError) -> None:
        """Interrupt the request that is arriving; Sanic then sends the error."""
        http, task = self._protocol.http, self._protocol.task
        self._drop()
        self._linger()
        if http is not None and task is not None:
            http.exception = error
            task.cancel()

    def _drop(self) -> None:
        """Drop what has arrived of a request, and whatever follows."""
        self._refused = True
        self._protocol.recv_buffer.clear()
        self.body = bytearray()
        if self._protocol.http is not None:
            self._protocol.http.keep_alive = False
        self.charge()

    def _linger(self) -> None:
        """Close the connection once the client has stopped sending, so that it reads the error."""
        if self._registry.lingers(self):
            self._lingering = asyncio.get_running_loop().create_task(self._close_later())
        else:
            asyncio.get_running_loop().call_later(REFUSAL_S, self._protocol.close)

    async def _close_later(self) -> None:
        await until_client_stops(lambda: self._discarded)
        self._protocol.abort()

    def _held(self) -> int:
        held = len(self._protocol.recv_buffer) + len(self.body) + self._decoded_size
        held += self._sent.unsent
        if self._unread is not None:
            held += self._write_buffer_size() + ENDPOINT_BYTES
        return CONNECTION_BYTES + held

    def _write_buffer_size(self) -> int:
        transport = self._protocol.transport
        return transport.get_write_buffer_size() if transport is not None else 0


class GatewayProtocol(HttpProtocol):
    """Sanic's protocol with the bounds on clients.

    The context of the application has the registry of the connections (``clients``) and the limits
    on requests (``limits``).

    Attributes:
        client: The connection as the bounds see it.
    """

    __slots__ = ("client",)

    def __init__(self, **members: Any) -> None:
        super().__init__(**members)
        self.recv_buffer = bytearray()
        self.client = GatewayConnection(self, self.app.ctx.clients, self.app.ctx.limits)

    @property
    def task(self) -> "asyncio.Task[None] | None":
        """Task that serves the connection."""
        return self._task

    def connection_made(self, transport: Any) -> None:
        """Serve the connection, or refuse it."""
        self.transport = transport
        self.conn_info = ConnInfo(transport, unix=self._unix)
        if self.client.admit():
            super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Pass received bytes on to Sanic unless the client was refused."""
        if self.client.on_received(len(data)):
            super().data_received(data)
            self.client.charge()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds."""
        super().connection_lost(exc)
        self.client.on_lost()

    def pause_writing(self) -> None:
        """Note that the client does not read."""
        super().pause_writing()
        self.client.on_writable(False)

    def resume_writing(self) -> None:
        """Note that the client reads again."""
        super().resume_writing()
        self.client.on_writable(True)

    async def send(self, data: bytes) -> None:
        """Send without Sanic's signals, which take a fifth of the time per streamed token."""
        if not self._can_write.is_set():
            await self._can_write.wait()
        if self.transport is None or self.transport.is_closing():
            raise RequestCancelled
        self.transport.write(data)
        self.client.on_sent(len(data))
        self._time = time.monotonic()

    def close(self, timeout: float | None = None) -> None:
        """Close the connection, or leave that to the end of its lingering."""
        if not self.client.is_lingering:
            super().close(timeout)


def _raw_response(error: LacewingError) -> bytes:
    """Return the response to a client whose request is not read."""
    body = json.dumps(error.to_body()).encode()
    head = (
        f"HTTP/1.1 {error.status} Service Unavailable\r\nretry-after: {RETRY_S:.0f}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(body)}\r\n"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body


def _now() -> float:
    return asyncio.get_running_loop().time()
