"""Connections between nodes: websockets that carry CBOR messages.

Two nodes share one connection, whichever of them opened it. Both ends prove possession of the peer
key with HMAC-SHA256 (RFC 2104) over both nonces and both identities before any other message is
accepted. The handshake authenticates the connection, not each message: across networks that others
can write to, TLS is needed as well.
"""

import asyncio
import hmac
import random
import secrets
import ssl
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import astuple, dataclass, replace

from loguru import logger
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake, InvalidMessage

from ._backoff import Backoff
from .errors import PeerRejected, SettingsInvalid
from .message import MAX_MESSAGE_BYTES, Hello, Message, decode, encode
from .traffic import Traffic
from .transport import Peer, Transport

HANDSHAKE_S = 2.0
IDLE_S = 5.0
SWEEP_S = 0.5
CLOSE_S = 0.5
# A connection that delivered nothing for four heartbeats may be half open; a second one replaces
# it.
STALE_S = 1.0
BACKOFF_FIRST_S = 0.1
QUEUE_MESSAGES = 1024
QUEUE_BYTES = 2 * MAX_MESSAGE_BYTES
HELLO_BYTES = 2048
NONCE_BYTES = 16
MAX_HANDSHAKES = 64
POLICY_VIOLATION = 1008


@dataclass(frozen=True, slots=True)
class PeerTls:
    """Certificate files in PEM format; both ends present a certificate signed by ``ca``."""

    certificate: str
    key: str
    ca: str

    def context(self, server: bool) -> ssl.SSLContext:
        """Build the context of one side.

        Args:
            server: True for the accepting side.

        Returns:
            A context that requires a certificate of the other side. Host names are not compared,
            because nodes are addressed by IP address and the authority is private.

        Raises:
            SettingsInvalid: If a file cannot be read or is not a valid certificate or key.
        """
        ctx = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
        ctx.minimum_version = ssl.TLSVersion.TLSv1_3
        ctx.check_hostname = False
        ctx.verify_mode = ssl.CERT_REQUIRED
        try:
            ctx.load_cert_chain(self.certificate, self.key)
            ctx.load_verify_locations(self.ca)
        except OSError as exc:
            files = f"{self.certificate!r}, {self.key!r}, {self.ca!r}"
            raise SettingsInvalid(
                f"peer_tls: {exc}: one of {files}",
                key="peer_tls",
                allowed="a certificate, its key and the authority's certificate in PEM format",
            ) from exc
        return ctx


class PeerLink:
    """An authenticated connection with a bounded send queue.

    Args:
        conn: Connection after the handshake.
        peer: The other end.
        dialler: Identifier of the node that opened the connection.
    """

    def __init__(self, conn: Connection, peer: Peer, dialler: str) -> None:
        self.peer = peer
        self.dialler = dialler
        self.closed = asyncio.Event()
        self._conn = conn
        self._loop = asyncio.get_running_loop()
        self.last_received = self._loop.time()
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._wake = asyncio.Event()
        self._finishing = False

    def push(self, data: bytes) -> bool:
        """Queue an encoded message.

        Returns:
            False if the queue is full or the connection is closed; the message is dropped.
        """
        size = self._queued_bytes + len(data)
        if self.closed.is_set() or len(self._queue) >= QUEUE_MESSAGES or size > QUEUE_BYTES:
            return False
        self._queue.append(data)
        self._queued_bytes = size
        self._wake.set()
        return True

    async def run(self, receive: Callable[["PeerLink", bytes], None]) -> None:
        """Exchange messages until the connection ends.

        Args:
            receive: Called with this link and the bytes of each received message.

        Raises:
            PeerRejected: If ``receive`` raised it.
        """
        writer = asyncio.create_task(self._write())
        try:
            while True:
                data = await self._conn.recv(decode=False)
                self.last_received = self._loop.time()
                receive(self, bytes(data))
        except ConnectionClosed:
            return
        finally:
            writer.cancel()
            self.abort()

    def finish(self) -> None:
        """Close the connection once the queue has been sent."""
        self._finishing = True
        self._wake.set()

    def abort(self) -> None:
        """Close the connection without waiting for the other end, which may be frozen."""
        self.closed.set()
        self._conn.transport.abort()

    async def _write(self) -> None:
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while self._queue:
                    data = self._queue.popleft()
                    self._queued_bytes -= len(data)
                    await self._conn.send(data)
                if self._finishing:
                    await self._conn.close()
        except ConnectionClosed:
            self.abort()


class PeerServer(Transport):
    """Accepts and opens connections to the other nodes.

    Args:
        identity: This node; a port of 0 in the address is replaced by the one that was bound.
        key: Secret shared by all nodes of the deployment.
        tls: Certificate files, or None for plain TCP.
        idle_s: A connection that delivers nothing for this long is closed, in seconds.
        seed: Seed of the backoff jitter, or None.
        listen: Address to bind if it differs from the one that peers use.
    """

    def __init__(
        self,
        identity: Peer,
        key: bytes,
        tls: PeerTls | None = None,
        idle_s: float = IDLE_S,
        seed: int | None = None,
        listen: str | None = None,
    ) -> None:
        super().__init__(identity.node)
        self._listen = listen
        self.identity = identity
        self.traffic = Traffic()
        self._key = key
        self._server_tls = tls.context(server=True) if tls else None
        self._client_tls = tls.context(server=False) if tls else None
        self._idle_s = idle_s
        self._random = random.Random(seed)
        self._links: dict[str, PeerLink] = {}
        self._at: dict[str, PeerLink] = {}
        self._wanted: set[str] = set()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._server: Server | None = None
        self._handshakes = 0

    async def start(self) -> None:
        """Listen on the address of this node.

        Raises:
            OSError: If the address cannot be bound.
        """
        host, _, port = (self._listen or self.identity.address).rpartition(":")
        self._server = await serve(
            self._accept,
            host.strip("[]"),
            int(port),
            ssl=self._server_tls,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            open_timeout=HANDSHAKE_S,
            close_timeout=CLOSE_S,
            ping_interval=None,
            server_header=None,
        )
        bound = next(iter(self._server.sockets)).getsockname()[1]
        if self._listen is None:
            self.identity = replace(self.identity, address=f"{host}:{bound}")

    async def run(self) -> None:
        """Serve and keep the dialled connections until cancelled.

        Raises:
            OSError: If the address cannot be bound.
        """
        if self._server is None:
            await self.start()
        self._start_dials()
        try:
            while True:
                await asyncio.sleep(SWEEP_S)
                self._sweep()
                self._start_dials()
        finally:
            await self.close()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        tasks, self._tasks = list(self._tasks.values()), {}
        for task in tasks:
            task.cancel()
        for link in list(self._links.values()):
            link.abort()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._server is not None:
            server, self._server = self._server, None
            server.close()
            await server.wait_closed()

    def send(self, node: str, message: Message) -> bool:
        """Queue a message; see ``Transport.send``."""
        if node == self.node:
            asyncio.get_running_loop().call_soon(self.deliver, node, message)
            return True
        return self._push(node, type(message).__name__, encode(message))

    def broadcast(self, nodes: Iterable[str], message: Message) -> int:
        """Queue one message for several nodes; it is encoded once."""
        data, name = encode(message), type(message).__name__
        return sum(self._push(node, name, data) for node in nodes if node != self.node)

    def peers(self) -> list[Peer]:
        """Return the connected nodes."""
        return [link.peer for link in self._links.values()]

    def opened(self) -> list[str]:
        """Return the peers whose connection this node opened."""
        return [name for name, link in self._links.items() if link.dialler == self.node]

    def hang_up(self, node: str) -> None:
        """Close the connection to a node once its queue has been sent."""
        link = self._links.get(node)
        if link is not None:
            link.finish()

    def dial(self, addresses: Iterable[str]) -> None:
        """Keep connections to these addresses."""
        self._wanted = set(addresses) - {self.identity.address}
        for address in set(self._tasks) - self._wanted:
            if address not in self._at:
                self._tasks.pop(address).cancel()
        if self._server is not None:
            self._start_dials()

    def _push(self, node: str, name: str, data: bytes) -> bool:
        count = self.traffic.of(name)
        link = self._links.get(node)
        if link is None or not link.push(data):
            count.dropped += 1
            return False
        count.sent += 1
        count.sent_bytes += len(data)
        return True

    def _start_dials(self) -> None:
        for address in self._wanted:
            task = self._tasks.get(address)
            if task is None or task.done():
                self._tasks[address] = asyncio.create_task(self._dial(address))

    def _sweep(self) -> None:
        limit = asyncio.get_running_loop().time() - self._idle_s
        for link in list(self._links.values()):
            if link.last_received < limit:
                logger.info("closing the silent connection to node {}", link.peer.node)
                link.abort()

    async def _dial(self, address: str) -> None:
        backoff = Backoff(self._random, BACKOFF_FIRST_S, jitter=(0.0, 1.0))
        while address in self._wanted or address in self._at:
            link = self._at.get(address)
            if link is not None:
                backoff.reset()
                await link.closed.wait()
            await backoff.pause()
            if address in self._at:
                continue
            started = asyncio.get_running_loop().time()
            try:
                await self._connect(address)
                if asyncio.get_running_loop().time() - started > STALE_S:
                    backoff.reset()
            except (OSError, TimeoutError, PeerRejected) as exc:
                logger.debug("no connection to peer {}: {}", address, exc)
            except (ConnectionClosed, InvalidHandshake, InvalidMessage) as exc:
                logger.debug("peer {} refused the connection: {}", address, exc)

    async def _connect(self, address: str) -> None:
        scheme = "wss" if self._client_tls else "ws"
        conn = await connect(
            f"{scheme}://{address}/peer",
            ssl=self._client_tls,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            open_timeout=HANDSHAKE_S,
            close_timeout=CLOSE_S,
            ping_interval=None,
            proxy=None,
            user_agent_header=None,
        )
        try:
            async with asyncio.timeout(HANDSHAKE_S):
                peer = await self._open(conn)
            if peer == self.identity:
                self._wanted.discard(address)
            link = self._admit(PeerLink(conn, peer, self.node))
        except BaseException:
            conn.transport.abort()
            raise
        await self._serve(link)

    async def _accept(self, conn: ServerConnection) -> None:
        if self._handshakes >= MAX_HANDSHAKES:
            await conn.close(POLICY_VIOLATION, "too many handshakes")
            return
        self._handshakes += 1
        try:
            async with asyncio.timeout(HANDSHAKE_S):
                peer = await self._answer(conn)
            link = self._admit(PeerLink(conn, peer, peer.node))
        except (PeerRejected, TimeoutError) as exc:
            logger.warning("connection from {} rejected: {}", conn.remote_address, exc)
            await conn.close(POLICY_VIOLATION, "rejected")
            return
        except ConnectionClosed:
            return
        finally:
            self._handshakes -= 1
        await self._serve(link)

    async def _open(self, conn: Connection) -> Peer:
        nonce = secrets.token_bytes(NONCE_BYTES)
        await conn.send(encode(self._hello(nonce, b"")))
        hello = await _receive_hello(conn)
        peer = _peer_of(hello)
        nonces = nonce + hello.nonce
        _verify(hello.proof, self._proof(b"accept", peer, self.identity, nonces))
        proof = self._proof(b"dial", self.identity, peer, nonces)
        await conn.send(encode(self._hello(nonce, proof)))
        return peer

    async def _answer(self, conn: Connection) -> Peer:
        hello = await _receive_hello(conn)
        peer = _peer_of(hello)
        nonce = secrets.token_bytes(NONCE_BYTES)
        nonces = hello.nonce + nonce
        proof = self._proof(b"accept", self.identity, peer, nonces)
        await conn.send(encode(self._hello(nonce, proof)))
        last = await _receive_hello(conn)
        _verify(last.proof, self._proof(b"dial", peer, self.identity, nonces))
        return peer

    def _hello(self, nonce: bytes, proof: bytes) -> Hello:
        own = self.identity
        return Hello(own.node, own.incarnation, own.availability_zone, own.address, nonce, proof)

    def _proof(self, role: bytes, prover: Peer, verifier: Peer, nonces: bytes) -> bytes:
        """Compute the proof of one side; the role keeps it from being reflected to its prover."""
        parts = [role, nonces, *_identity(prover), *_identity(verifier)]
        text = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
        return hmac.digest(self._key, text, "sha256")

    def _admit(self, link: PeerLink) -> PeerLink:
        """Make a link the one to its peer.

        Of two connections between live nodes, both ends keep the one that the smaller identifier
        opened. A later incarnation replaces an earlier one.

        Raises:
            PeerRejected: If another link to this peer is kept.
        """
        peer = link.peer
        if peer.node == self.node:
            raise PeerRejected(f"node {peer.node} has the identifier of this node")
        old = self._links.get(peer.node)
        if old is not None:
            self._check_replacement(old, link)
            old.abort()
            self._forget(old)
        self._links[peer.node] = link
        self._at[peer.address] = link
        return link

    def _check_replacement(self, old: PeerLink, new: PeerLink) -> None:
        stale = asyncio.get_running_loop().time() - old.last_received > STALE_S
        if stale or new.peer.incarnation > old.peer.incarnation:
            return
        if new.peer.incarnation < old.peer.incarnation:
            raise PeerRejected(f"node {new.peer.node} was replaced by a later incarnation")
        kept = min(self.node, new.peer.node)
        if old.dialler == kept and new.dialler != kept:
            raise PeerRejected(f"node {new.peer.node} is already connected")

    async def _serve(self, link: PeerLink) -> None:
        try:
            await link.run(self._receive)
        except PeerRejected as exc:
            logger.warning("closing the connection to node {}: {}", link.peer.node, exc)
        finally:
            self._forget(link)

    def _forget(self, link: PeerLink) -> None:
        if self._links.get(link.peer.node) is link:
            del self._links[link.peer.node]
        if self._at.get(link.peer.address) is link:
            del self._at[link.peer.address]

    def _receive(self, link: PeerLink, data: bytes) -> None:
        message = decode(data)
        count = self.traffic.of(type(message).__name__)
        count.received += 1
        count.received_bytes += len(data)
        try:
            self.deliver(link.peer.node, message)
        except Exception:  # A fault in one handler must not cut the node off from its peer.
            logger.exception("handler of {} failed", type(message).__name__)


async def _receive_hello(conn: Connection) -> Hello:
    data = await conn.recv(decode=False)
    if len(data) > HELLO_BYTES:
        raise PeerRejected(f"handshake message has {len(data)} bytes, more than {HELLO_BYTES}")
    message = decode(bytes(data))
    if not isinstance(message, Hello) or len(message.nonce) != NONCE_BYTES:
        raise PeerRejected("the first message is not a valid Hello")
    return message


def _peer_of(hello: Hello) -> Peer:
    return Peer(hello.node, hello.incarnation, hello.availability_zone, hello.address)


def _identity(peer: Peer) -> list[bytes]:
    return [str(value).encode() for value in astuple(peer)]


def _verify(proof: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(proof, expected):
        raise PeerRejected("wrong proof: the peer keys differ")
