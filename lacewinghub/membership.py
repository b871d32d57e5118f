"""Membership: which nodes of the deployment are alive, in the view of this node."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

import xxhash
from loguru import logger

from .message import Heartbeat, PeerAddresses
from .transport import Peer, Transport

HEARTBEAT_S = 0.25
SUSPECT_S = 1.5
DEAD_S = 5.0
# Nodes and addresses not heard of for this long are removed. Until then the address of a dead node
# is still dialled, so that a node that comes back is found.
MEMBER_RETENTION_S = 300.0
ADDRESS_EXCHANGE_TICKS = 20
MAX_ADDRESSES = 4096


class MemberState(StrEnum):
    """State of a node in the view of another node."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """A node of the deployment."""

    node: str
    address: str
    availability_zone: str
    incarnation: int
    state: MemberState


class Members(ABC):
    """The nodes of the deployment and their states, as seen from one node."""

    @abstractmethod
    def live(self) -> list[Member]:
        """Return the nodes in state live, this one included, ordered by identifier."""

    def members(self) -> list[Member]:
        """Return all known nodes in any state, this one included, ordered by identifier."""
        return self.live()

    @abstractmethod
    def state(self, node: str) -> MemberState:
        """Return the state of a node; an unknown one is dead."""

    def is_partial_mesh(self) -> bool:
        """Return whether some nodes are known only through other nodes, without a connection."""
        return False


def live_or_all(members: Members) -> list[str]:
    """Return the nodes between which the capacity of endpoints is divided.

    A node that sees only a minority is probably cut off from the others, which go on sending.
    """
    known = members.members()
    alive = [item.node for item in known if item.state is not MemberState.DEAD]
    return alive if 2 * len(alive) > len(known) else [item.node for item in known]


class HeartbeatContributor(ABC):
    """A component of the node that shares its state with peers through heartbeats."""

    @abstractmethod
    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Write the state of this component into an outgoing heartbeat."""

    @abstractmethod
    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store the state of a peer from a received heartbeat."""


def fill_heartbeat(contributors: Iterable[HeartbeatContributor], heartbeat: Heartbeat) -> None:
    """Let components fill a heartbeat; one that fails does not keep it from being sent."""
    for item in contributors:
        try:
            item.fill_heartbeat(heartbeat)
        except Exception:
            logger.exception("{} could not fill a heartbeat", type(item).__name__)


def deliver_heartbeat(contributors: Iterable[HeartbeatContributor], heartbeat: Heartbeat) -> None:
    """Pass a heartbeat to components; one that fails does not keep it from the others."""
    for item in contributors:
        try:
            item.on_heartbeat(heartbeat)
        except Exception:
            logger.bind(peer=heartbeat.node).exception(
                "{} could not use a heartbeat", type(item).__name__
            )


def rendezvous(key: str, nodes: Iterable[str]) -> str | None:
    """Choose a node by highest random weight (rendezvous hashing).

    Args:
        key: Key to assign to a node.
        nodes: Candidate identifiers in any order.

    Returns:
        The chosen node, the same for the same candidates in any order; None without candidates.
    """
    return max(
        nodes,
        key=lambda node: (xxhash.xxh3_64_intdigest(f"{key}|{node}".encode()), node),
        default=None,
    )


def is_among_first(node: str, key: str, names: Iterable[str], count: int) -> bool:
    """Return whether a node is one of the first in the hash order of a key.

    Args:
        node: Identifier of the node.
        key: The key.
        names: Identifiers of all nodes.
        count: Number of nodes that count as first.
    """
    left = set(names)
    for _ in range(count):
        first = rendezvous(key, left)
        if first is None or first == node:
            return first is not None
        left.discard(first)
    return False


@dataclass(slots=True)
class _DirectPeer:
    peer: Peer
    seq: int
    last_heard: float
    leaving: bool


class Membership(Members):
    """Membership from direct heartbeats: every node is connected to every other one (full mesh).

    Args:
        identity: This node.
        transport: Connections to the other nodes.
        seeds: Addresses of nodes from the settings; this node's own address may be among them.
        period_s: Time between heartbeats, in seconds.
        suspect_s: Time without a heartbeat after which a node is suspect, in seconds.
        dead_s: Time without a heartbeat after which a node is dead, in seconds.
    """

    def __init__(
        self,
        identity: Peer,
        transport: Transport,
        seeds: Iterable[str] = (),
        period_s: float = HEARTBEAT_S,
        suspect_s: float = SUSPECT_S,
        dead_s: float = DEAD_S,
    ) -> None:
        self.identity = identity
        self._transport = transport
        self._seeds = set(seeds)
        self._discovered_addresses: set[str] = set()
        self._period_s = period_s
        self._suspect_s = suspect_s
        self._dead_s = dead_s
        self._contributors: list[HeartbeatContributor] = []
        self._direct_peers: dict[str, _DirectPeer] = {}
        self._exchanged_addresses: dict[str, float] = {}
        self._leaving = False
        self._seq = 0
        self._live: list[Member] | None = None
        self._random = random.Random(identity.node)
        transport.subscribe(Heartbeat, self._on_heartbeat)
        transport.subscribe(PeerAddresses, self._on_addresses)

    def add(self, contributor: HeartbeatContributor) -> None:
        """Include the state of a component in the heartbeats from now on."""
        self._contributors.append(contributor)

    def live(self) -> list[Member]:
        """Return the nodes in state live, this one included, ordered by identifier."""
        return list(self._cached_live())

    def _cached_live(self) -> list[Member]:
        if self._live is None:
            self._live = [item for item in self.members() if item.state is MemberState.LIVE]
        return self._live

    def members(self) -> list[Member]:
        """Return all known nodes in any state, this one included, ordered by identifier."""
        found = [_member(seen.peer, self.state(node)) for node, seen in self._direct_peers.items()]
        found.append(_member(self.identity, self.state(self.identity.node)))
        return sorted(found, key=lambda item: item.node)

    def state(self, node: str) -> MemberState:
        """Return the state of a node; an unknown one is dead."""
        if node == self.identity.node:
            return MemberState.LEAVING if self._leaving else MemberState.LIVE
        seen = self._direct_peers.get(node)
        if seen is None:
            return MemberState.DEAD
        silence = asyncio.get_running_loop().time() - seen.last_heard
        if silence >= self._dead_s or (seen.leaving and silence >= self._suspect_s):
            return MemberState.DEAD
        if seen.leaving:
            return MemberState.LEAVING
        return MemberState.SUSPECT if silence >= self._suspect_s else MemberState.LIVE

    def set_discovered_addresses(self, addresses: Iterable[str]) -> None:
        """Replace the peer addresses that discovery, such as the platform's host list, found.

        The last ones stay in use while the host list is unavailable.

        Args:
            addresses: Peer addresses, IP address and port.
        """
        self._discovered_addresses = set(addresses)
        self._dial()

    def leave(self) -> None:
        """Announce to the peers at once that this node takes no new work."""
        self._leaving = True
        self._live = None
        self.send_heartbeat()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            self.tick()
            # Heartbeats missed while the process was paused are skipped, not sent in a burst.
            due = max(due + self._period_s, loop.time())
            await asyncio.sleep(due - loop.time())

    def tick(self) -> None:
        """Send a heartbeat and, every few periods, maintain addresses and connections."""
        self._live = None
        if self._seq % ADDRESS_EXCHANGE_TICKS == 0:
            self._forget()
            self._dial()
            self._share_addresses()
        self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Send one heartbeat to all connected nodes at once."""
        self._seq += 1
        state = MemberState.LEAVING if self._leaving else MemberState.LIVE
        own = self.identity
        heartbeat = Heartbeat(own.node, own.incarnation, self._seq, str(state))
        fill_heartbeat(self._contributors, heartbeat)
        self._transport.broadcast((peer.node for peer in self._transport.peers()), heartbeat)

    def schedule_relay(self) -> None:
        """Relay changed state of a peer; not needed in a full mesh, where all nodes received it."""

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        if sender != heartbeat.node or sender == self.identity.node:
            return
        if not self._accept(heartbeat):
            return
        deliver_heartbeat(self._contributors, heartbeat)

    def _accept(self, heartbeat: Heartbeat) -> bool:
        seen = self._direct_peers.get(heartbeat.node)
        now = asyncio.get_running_loop().time()
        leaving = heartbeat.state == MemberState.LEAVING
        if seen is None or heartbeat.incarnation != seen.peer.incarnation:
            return self._join(
                heartbeat, seen, _DirectPeer(self.identity, heartbeat.seq, now, leaving)
            )
        if heartbeat.seq <= seen.seq:
            return False
        if seen.leaving != leaving or now - seen.last_heard >= self._suspect_s:
            self._live = None
        seen.seq, seen.last_heard, seen.leaving = heartbeat.seq, now, leaving
        return True

    def _join(self, heartbeat: Heartbeat, old: _DirectPeer | None, new: _DirectPeer) -> bool:
        """Add a node, or replace a known one with another incarnation of it.

        An earlier incarnation is accepted only when the known one is dead: a replacement host may
        have a clock that is behind that of its predecessor.

        Returns:
            True if the node was added.
        """
        earlier = old is not None and heartbeat.incarnation < old.peer.incarnation
        if earlier and self.state(heartbeat.node) is not MemberState.DEAD:
            return False
        peer = next((p for p in self._transport.peers() if p.node == heartbeat.node), None)
        if peer is None:
            return False
        new.peer = Peer(peer.node, heartbeat.incarnation, peer.availability_zone, peer.address)
        self._direct_peers[heartbeat.node] = new
        self._live = None
        logger.info("node {} joined, incarnation {}", peer.node, heartbeat.incarnation)
        self._dial()
        self._transport.send(peer.node, PeerAddresses(self._known_addresses()))
        return True

    def _on_addresses(self, sender: str, message: PeerAddresses) -> None:
        now = asyncio.get_running_loop().time()
        new = [
            item
            for item in message.addresses[:MAX_ADDRESSES]
            if item not in self._exchanged_addresses
        ]
        for address in message.addresses[:MAX_ADDRESSES]:
            self._exchanged_addresses[address] = now
        if new:
            self._dial()

    def _share_addresses(self) -> None:
        """Send the known addresses to one random peer, which adds connections that are missing."""
        peers = self._transport.peers()
        if peers:
            self._transport.send(
                self._random.choice(peers).node, PeerAddresses(self._known_addresses())
            )

    def _known_addresses(self) -> list[str]:
        states = (MemberState.LIVE, MemberState.SUSPECT)
        return [item.address for item in self.members() if item.state in states]

    def _forget(self) -> None:
        limit = asyncio.get_running_loop().time() - MEMBER_RETENTION_S
        for node in [node for node, seen in self._direct_peers.items() if seen.last_heard < limit]:
            del self._direct_peers[node]
        for address in [
            item for item, last_heard in self._exchanged_addresses.items() if last_heard < limit
        ]:
            del self._exchanged_addresses[address]

    def _dial(self) -> None:
        known = {seen.peer.address for seen in self._direct_peers.values()}
        addresses = (
            self._seeds | self._discovered_addresses | known | set(self._exchanged_addresses)
        )
        self._transport.dial(addresses - {self.identity.address})


def _member(peer: Peer, state: MemberState) -> Member:
    return Member(peer.node, peer.address, peer.availability_zone, peer.incarnation, state)
