"""Connections between nodes: WebSockets with CBOR messages.

Two nodes share one connection, whichever of them opened it. Before any other message is accepted,
both ends prove that they have the peer key, with HMAC-SHA256 (RFC 2104) over both nonces and both
identities. The handshake authenticates the connection, not each message: on networks where others
can inject packets, TLS is needed as well.
"""

import asyncio
import hmac
import random
import secrets
from collections.abc import Iterable, Sequence
from dataclasses import astuple, replace

from loguru import logger
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake, InvalidMessage
from websockets.typing import Subprotocol

from ._backoff import Backoff
from .codec import count_fields, decode, encode
from .errors import PeerRejected
from .link import PeerLink, PeerTls
from .message import MAX_MESSAGE_BYTES, Heartbeat, Hello, Message
from .traffic import MessageTraffic
from .transport import EVICTABLE_IDLE_S, MAX_ON_DEMAND, ON_DEMAND_IDLE_S, Peer, Transport

HANDSHAKE_S = 2.0
IDLE_S = 5.0
IDLE_CHECK_S = 0.5
CLOSE_S = 0.5
# A connection on which nothing arrived for four heartbeat periods may be half open; a second one
# replaces it.
STALE_S = 1.0
BACKOFF_FIRST_S = 0.1
HELLO_BYTES = 2048
NONCE_BYTES = 16
MAX_HANDSHAKES = 64
POLICY_VIOLATION = 1008
# Limit of accepted connections on demand. It is larger than that of opened ones, because the choice
# of brokers by hash is not even, and the holder of the duties gets reports from all nodes of a
# deployment of the target size, which has 330.
MAX_ACCEPTED = 6 * MAX_ON_DEMAND
# A peer that knows it accepts messages with fields that it does not know, or without those that it
# does. Builds up to 6e47d35 close the connection then.
EXTENSIBLE = Subprotocol("lacewinghub.2")
# Pause after a failed connection on demand, in which its address is not tried again.
ON_DEMAND_RETRY_S = 1.0


class PeerServer(Transport):
    """Accepts and opens connections to the other nodes.

    Args:
        identity: This node; port 0 in the address is replaced by the port that was bound.
        key: Secret shared by all nodes of the deployment.
        tls: Certificate files, or None for plain TCP.
        idle_s: Time without a received message after which a connection is closed, in seconds.
        seed: Seed of the backoff jitter, or None.
        listen: Address to bind, if it differs from the address that peers connect to.
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
        self.subprotocols: Sequence[Subprotocol] = (EXTENSIBLE,)
        self.traffic = MessageTraffic()
        self._key = key
        self._server_tls = tls.context(server=True) if tls else None
        self._client_tls = tls.context(server=False) if tls else None
        self._idle_s = idle_s
        self._random = random.Random(seed)
        self._links: dict[str, PeerLink] = {}
        self._links_by_address: dict[str, PeerLink] = {}
        self._dialled_addresses: set[str] = set()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._server: Server | None = None
        self._handshakes = 0
        # Two nodes may connect to each other at the same time; messages use the later connection.
        self._on_demand: dict[str, PeerLink] = {}
        self._on_demand_links: set[PeerLink] = set()
        self._dials_on_demand: dict[str, asyncio.Task[None]] = {}

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
            subprotocols=self.subprotocols,
            select_subprotocol=self._select_subprotocol,
        )
        bound = next(iter(self._server.sockets)).getsockname()[1]
        if self._listen is None:
            self.identity = replace(self.identity, address=f"{host}:{bound}")

    async def run(self) -> None:
        """Accept connections and maintain the dialled ones until cancelled.

        Raises:
            OSError: If the address cannot be bound.
        """
        if self._server is None:
            await self.start()
        self._start_dials()
        try:
            while True:
                await asyncio.sleep(IDLE_CHECK_S)
                self._close_idle()
                self._start_dials()
        finally:
            await self.close()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        tasks = [*self._tasks.values(), *self._dials_on_demand.values()]
        self._tasks, self._dials_on_demand = {}, {}
        for task in tasks:
            task.cancel()
        for link in [*self._links.values(), *self._on_demand_links]:
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
        return self._send_encoded(node, message, {})

    def broadcast(self, nodes: Iterable[str], message: Message) -> int:
        """Queue one message for several nodes; it is encoded once for each number of fields."""
        encoded: dict[int | None, bytes] = {}
        return sum(
            self._send_encoded(node, message, encoded) for node in nodes if node != self.node
        )

    def peers(self) -> list[Peer]:
        """Return the connected nodes."""
        return [link.peer for link in self._links.values()]

    def outbound_peers(self) -> list[str]:
        """Return the peers whose connection this node opened."""
        return [name for name, link in self._links.items() if link.dialler == self.node]

    def disconnect(self, node: str) -> None:
        """Close the connection to a node once its queue has been sent."""
        link = self._links.get(node)
        if link is not None:
            link.finish()

    def connect_on_demand(self, address: str) -> None:
        """Open a connection on demand; see ``Transport.connect_on_demand``."""
        if (
            self._server is None
            or address == self.identity.address
            or address in self._dials_on_demand
        ):
            return
        if any(link.peer.address == address for link in self._on_demand_links):
            return
        if len(self._dials_on_demand) >= MAX_ON_DEMAND and not self._evict_idle():
            return
        self._dials_on_demand[address] = asyncio.create_task(self._dial_on_demand(address))

    def on_demand(self) -> int:
        """Return the number of open connections on demand, whichever end opened them."""
        return len(self._on_demand_links)

    def dial(self, addresses: Iterable[str]) -> None:
        """Keep connections to these addresses."""
        self._dialled_addresses = set(addresses) - {self.identity.address}
        for address in set(self._tasks) - self._dialled_addresses:
            if address not in self._links_by_address:
                self._tasks.pop(address).cancel()
        if self._server is not None:
            self._start_dials()

    def _send_encoded(self, node: str, message: Message, encoded: dict[int | None, bytes]) -> bool:
        """Queue a message for a node.

        Args:
            node: Name of the node.
            message: The message.
            encoded: Its encoded forms, by number of fields.
        """
        count = self.traffic.for_class(type(message).__name__)
        link = self._links.get(node) or self._on_demand.get(node)
        if link is None or not _is_accepted(link, message):
            count.dropped += 1
            return False
        fields = _fields_limit(link, message)
        if fields not in encoded:
            encoded[fields] = encode(message, fields)
        data = encoded[fields]
        if not link.push(data):
            count.dropped += 1
            return False
        count.sent += 1
        count.sent_bytes += len(data)
        return True

    def _start_dials(self) -> None:
        for address in self._dialled_addresses:
            task = self._tasks.get(address)
            if task is None or task.done():
                self._tasks[address] = asyncio.create_task(self._dial(address))

    def _close_idle(self) -> None:
        limit = asyncio.get_running_loop().time() - self._idle_s
        for link in list(self._links.values()):
            if link.last_received < limit:
                logger.info("closing the idle connection to node {}", link.peer.node)
                link.abort()
        limit = asyncio.get_running_loop().time() - ON_DEMAND_IDLE_S
        for link in list(self._on_demand_links):
            if link.last_used < limit:
                link.finish()

    def _evict_idle(self) -> bool:
        """Close the connection on demand that this node opened and that was idle for longest.

        Returns:
            False if all are in use.
        """
        opened = [link for link in self._on_demand_links if link.dialler == self.node]
        oldest = min(opened, key=lambda link: link.last_used, default=None)
        if (
            oldest is None
            or asyncio.get_running_loop().time() - oldest.last_used < EVICTABLE_IDLE_S
        ):
            return False
        oldest.abort()
        self._dials_on_demand.pop(oldest.peer.address, None)
        return True

    async def _dial_on_demand(self, address: str) -> None:
        try:
            await self._connect(address, on_demand=True)
        except (OSError, TimeoutError, PeerRejected, ConnectionClosed) as exc:
            logger.debug("connection on demand to {} failed: {}", address, exc)
            await asyncio.sleep(ON_DEMAND_RETRY_S)
        except (InvalidHandshake, InvalidMessage) as exc:
            logger.debug("{} refused the connection on demand: {}", address, exc)
            await asyncio.sleep(ON_DEMAND_RETRY_S)
        finally:
            if self._dials_on_demand.get(address) is asyncio.current_task():
                del self._dials_on_demand[address]

    async def _dial(self, address: str) -> None:
        backoff = Backoff(self._random, BACKOFF_FIRST_S, jitter=(0.0, 1.0))
        while address in self._dialled_addresses or address in self._links_by_address:
            link = self._links_by_address.get(address)
            if link is not None:
                backoff.reset()
                await link.closed.wait()
            await backoff.pause()
            if address in self._links_by_address:
                continue
            started = asyncio.get_running_loop().time()
            try:
                await self._connect(address)
                if asyncio.get_running_loop().time() - started > STALE_S:
                    backoff.reset()
            except (OSError, TimeoutError, PeerRejected) as exc:
                logger.debug("connection to peer {} failed: {}", address, exc)
            except (ConnectionClosed, InvalidHandshake, InvalidMessage) as exc:
                logger.debug("peer {} refused the connection: {}", address, exc)

    async def _connect(self, address: str, on_demand: bool = False) -> None:
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
            subprotocols=self.subprotocols or None,
        )
        try:
            async with asyncio.timeout(HANDSHAKE_S):
                peer = await self._open(conn, on_demand)
            if peer == self.identity:
                self._dialled_addresses.discard(address)
            link = self._admit(PeerLink(conn, peer, self.node, on_demand))
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
                peer, on_demand = await self._answer(conn)
            link = self._admit(PeerLink(conn, peer, peer.node, on_demand))
        except (PeerRejected, TimeoutError) as exc:
            logger.warning("connection from {} rejected: {}", conn.remote_address, exc)
            await conn.close(POLICY_VIOLATION, "rejected")
            return
        except ConnectionClosed:
            return
        finally:
            self._handshakes -= 1
        await self._serve(link)

    async def _open(self, conn: Connection, on_demand: bool) -> Peer:
        nonce = secrets.token_bytes(NONCE_BYTES)
        await conn.send(encode(self._hello(nonce, b"")))
        hello = await _receive_hello(conn)
        peer = _peer_of(hello)
        nonces = nonce + hello.nonce
        _verify(hello.proof, self._proof(b"accept", peer, self.identity, nonces))
        proof = self._proof(_role(on_demand), self.identity, peer, nonces)
        await conn.send(encode(self._hello(nonce, proof, on_demand)))
        return peer

    async def _answer(self, conn: Connection) -> tuple[Peer, bool]:
        hello = await _receive_hello(conn)
        peer = _peer_of(hello)
        nonce = secrets.token_bytes(NONCE_BYTES)
        nonces = hello.nonce + nonce
        proof = self._proof(b"accept", self.identity, peer, nonces)
        await conn.send(encode(self._hello(nonce, proof)))
        last = await _receive_hello(conn)
        _verify(last.proof, self._proof(_role(last.on_demand), peer, self.identity, nonces))
        return peer, last.on_demand

    def _select_subprotocol(
        self, conn: ServerConnection, offered: Sequence[Subprotocol]
    ) -> Subprotocol | None:
        return next((item for item in self.subprotocols if item in offered), None)

    def _hello(self, nonce: bytes, proof: bytes, on_demand: bool = False) -> Hello:
        own = self.identity
        zone = own.availability_zone
        return Hello(own.node, own.incarnation, zone, own.address, nonce, proof, on_demand)

    def _proof(self, role: bytes, prover: Peer, verifier: Peer, nonces: bytes) -> bytes:
        """Compute the proof of one end; the role prevents reflecting it back to that end."""
        parts = [role, nonces, *_identity(prover), *_identity(verifier)]
        text = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
        return hmac.digest(self._key, text, "sha256")

    def _admit(self, link: PeerLink) -> PeerLink:
        """Register a connection as the one to its peer.

        Of two connections between live nodes, both ends keep the one that was opened by the node
        with the smaller identifier. A later incarnation replaces an earlier one.

        Raises:
            PeerRejected: If another connection to this peer is kept.
        """
        peer = link.peer
        if peer.node == self.node:
            raise PeerRejected(f"node {peer.node} has the identifier of this node")
        if link.on_demand:
            return self._admit_on_demand(link)
        old = self._links.get(peer.node)
        if old is not None:
            self._check_replacement(old, link)
            old.abort()
            self._forget(old)
        self._links[peer.node] = link
        self._links_by_address[peer.address] = link
        return link

    def _admit_on_demand(self, link: PeerLink) -> PeerLink:
        accepted = sum(item.dialler != self.node for item in self._on_demand_links)
        if link.dialler != self.node and accepted >= MAX_ACCEPTED:
            raise PeerRejected("too many connections on demand")
        self._on_demand[link.peer.node] = link
        self._on_demand_links.add(link)
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
        if self._links_by_address.get(link.peer.address) is link:
            del self._links_by_address[link.peer.address]
        self._on_demand_links.discard(link)
        if self._on_demand.get(link.peer.node) is link:
            del self._on_demand[link.peer.node]

    def _receive(self, link: PeerLink, data: bytes) -> None:
        message = decode(data)
        if link.subprotocol != EXTENSIBLE and isinstance(message, Heartbeat):
            link.heartbeat_fields = count_fields(data)
        count = self.traffic.for_class(type(message).__name__)
        count.received += 1
        count.received_bytes += len(data)
        try:
            self.deliver(link.peer.node, message)
        except Exception:  # A bug in one handler must not close the connection.
            logger.exception("handler of {} failed", type(message).__name__)


def _is_accepted(link: PeerLink, message: Message) -> bool:
    """Return whether a peer accepts a message.

    A peer of an older build accepts heartbeats with as many fields as its own, which its first one
    shows. It does not wait for others before it sends one.
    """
    is_known = link.subprotocol == EXTENSIBLE or link.heartbeat_fields is not None
    return is_known or not isinstance(message, Heartbeat)


def _fields_limit(link: PeerLink, message: Message) -> int | None:
    """Return how many fields of a message a peer accepts; None for all.

    A peer of an older build accepts those that the message had when ``EXTENSIBLE`` was introduced,
    ``FIRST_FIELDS`` if it has got others since.
    """
    if link.subprotocol == EXTENSIBLE:
        return None
    if isinstance(message, Heartbeat):
        return link.heartbeat_fields
    limit: int | None = getattr(message, "FIRST_FIELDS", None)
    return limit


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


def _role(on_demand: bool) -> bytes:
    return b"dial on demand" if on_demand else b"dial"


def _identity(peer: Peer) -> list[bytes]:
    return [str(value).encode() for value in astuple(peer)]


def _verify(proof: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(proof, expected):
        raise PeerRejected("wrong proof: the peer keys differ")
