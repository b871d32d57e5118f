"""Membership with a bounded number of connections per node, for deployments beyond a full mesh.

Each node keeps about ``DEGREE`` connections, within its availability zone and across zones, and
exchanges heartbeats only over these. Changed states of nodes travel as rumours from peer to peer,
as in SWIM (Das, Gupta, Motivala, 2002): silence makes a peer suspect, the suspected node
contradicts with a higher sequence number, and a suspicion that nobody contradicts becomes death.
The floors and admission ages of all other nodes are merged into one entry per pool.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash
from loguru import logger

from .membership import (
    DEAD_S,
    HEARTBEAT_S,
    SUSPECT_S,
    Member,
    Membership,
    MemberState,
    _Seen,
    rendezvous,
)
from .message import Disconnect, Heartbeat, MembershipGossip, MembershipUpdate
from .relay import PressureRelay
from .transport import Peer, Transport

# Heartbeats of the target size in a full mesh of 13 nodes reach 8000 bytes/s per node.
MESH_LIMIT = 12
# Own choices; the connections that others open double it.
DEGREE = 8
OTHERS = "~others"
SEED_EVERY = 20
# With all of 4 pools under pressure, 54 nodes at the usual period took 6842 bytes/s, and 8400 with
# headers, where 8000 are allowed; 36 nodes took 7200. News are passed on at once in any case.
LARGE = 36
LARGE_PERIOD_FACTOR = 1.6
SPREAD_S = 0.05
# Heartbeats that were on their way when a connection was closed do not make its end a silence.
PARTED_S = 1.0
# A connection is closed only after it was unneeded for this long, so that choices can settle.
UNNEEDED_S = 3.0
RANKS = {
    state: rank
    for rank, state in enumerate(
        (MemberState.LIVE, MemberState.LEAVING, MemberState.SUSPECT, MemberState.DEAD)
    )
}


@dataclass(slots=True)
class _Known:
    """What rumours say of a node."""

    peer: Peer
    seq: int
    state: MemberState
    since: float

    def is_older(self, rumour: MembershipUpdate) -> bool:
        mine = (self.peer.incarnation, self.seq, RANKS[self.state])
        return mine < (rumour.incarnation, rumour.seq, RANKS[MemberState(rumour.state)])


def choose_peers(own: Member, members: Iterable[Member]) -> set[str]:
    """Choose the nodes to which a node keeps connections.

    The successors on a ring over all nodes and on one over the nodes of the zone keep the graph
    connected; rendezvous choices within and outside the zone keep paths short.

    Args:
        own: The choosing node.
        members: All live nodes in any order.

    Returns:
        Up to ``DEGREE / 2`` identifiers, the same for the same members; all others if there are at
        most ``MESH_LIMIT``.
    """
    others = [item for item in members if item.node != own.node]
    if len(others) < MESH_LIMIT:
        return {item.node for item in others}
    near = [item.node for item in others if item.availability_zone == own.availability_zone]
    far = [item.node for item in others if item.availability_zone != own.availability_zone]
    chosen = {_successor(own.node, [*near, *far])}
    chosen.add(_successor(own.node, near) if near else "")
    for candidates in (far or near, near or far):
        free = [name for name in candidates if name not in chosen]
        chosen.add(rendezvous(own.node, free) or "")
    return chosen - {""}


class Overlay(Membership):
    """View built from the heartbeats of chosen peers and the rumours that they pass on.

    Up to ``MESH_LIMIT`` nodes it is a full mesh.

    Args:
        identity: This node.
        transport: Connections to the other nodes.
        seeds: Addresses of nodes from the settings.
        period_s: Time between heartbeats in seconds.
        suspect_s: Silence after which a peer is suspect, in seconds.
        dead_s: Silence after which a peer is dead, in seconds.
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
        super().__init__(identity, transport, seeds, period_s, suspect_s, dead_s)
        self._base_period_s = period_s
        self._known: dict[str, _Known] = {}
        self._own_seq = 0
        self._news: dict[str, MembershipUpdate] = {}
        self._linked: set[str] = set()
        self._chosen: set[str] = set()
        self._missing: dict[str, float] = {}
        self._unneeded: dict[str, float] = {}
        self._parted: dict[str, float] = {}
        self._relay = PressureRelay(identity.node)
        self._injected = False
        self._far = False
        self._accused: dict[str, float] = {}
        self._heard: set[str] = set()
        self._spreading = False
        self._changed = True
        transport.subscribe(MembershipGossip, self._on_rumours)
        transport.subscribe(Disconnect, self._on_parting)

    def members(self) -> list[Member]:
        """Return all known nodes in any state, this one included, ordered by identifier."""
        found = [self._own()]
        for node, known in self._known.items():
            peer = known.peer
            found.append(
                Member(
                    node, peer.address, peer.availability_zone, peer.incarnation, self.state(node)
                )
            )
        return sorted(found, key=lambda item: item.node)

    def state(self, node: str) -> MemberState:
        """Return the state of a node; an unknown one is dead."""
        if node == OTHERS:
            return MemberState.LIVE
        direct = super().state(node)
        if node == self.identity.node or direct in (MemberState.LIVE, MemberState.LEAVING):
            return direct
        seen = self._seen.get(node)
        if seen is not None and (seen.leaving or not self._far):
            # A silent node that announced its stop has ended; in a full mesh only the node's own
            # connection counts.
            return MemberState.DEAD if seen.leaving else direct
        known = self._known.get(node)
        if known is None:
            return MemberState.DEAD
        overdue = _now() - known.since >= self._dead_s - self._suspect_s
        if known.state is MemberState.SUSPECT and overdue:
            return MemberState.DEAD
        return known.state

    def is_partial_mesh(self) -> bool:
        """Return whether there are more live nodes than a full mesh connects."""
        return self._far

    def leave(self) -> None:
        """Announce that this node takes no new work; peers hear it at once."""
        self._own_seq += 1
        super().leave()
        self._tell(self._own_rumour())

    def tick(self) -> None:
        """Do the work of one heartbeat period."""
        self._far = len(self._cached_live()) > MESH_LIMIT
        self._drop_silent()
        if self._seq % SEED_EVERY == 0:
            self._live = None
            self._forget()
            self._forget_known()
        self._greet()
        self._accuse()
        # Choosing takes a sort of all members, so it is not repeated without need.
        if self._changed or self._seq % SEED_EVERY == 0:
            self._changed = any(
                known.state is MemberState.SUSPECT for known in self._known.values()
            )
            self._dial()
        self._hang_up()
        self._inject()
        self.send_heartbeat()

    def _own(self) -> Member:
        own = self.identity
        state = super().state(own.node)
        return Member(own.node, own.address, own.availability_zone, own.incarnation, state)

    def _own_rumour(self) -> MembershipUpdate:
        own = self.identity
        state = MemberState.LEAVING if self._leaving else MemberState.LIVE
        return MembershipUpdate(
            own.node, own.incarnation, self._own_seq, state, own.availability_zone, own.address
        )

    def _rumour(self, known: _Known, state: MemberState) -> MembershipUpdate:
        peer = known.peer
        return MembershipUpdate(
            peer.node,
            peer.incarnation,
            known.seq,
            state,
            peer.availability_zone,
            peer.address,
        )

    def _join(self, heartbeat: Heartbeat, old: _Seen | None, new: _Seen) -> bool:
        joined = super()._join(heartbeat, old, new)
        if joined:
            known = self._known.get(heartbeat.node)
            if known is None or known.peer.incarnation != heartbeat.incarnation:
                state = MemberState(heartbeat.state)
                self._known[heartbeat.node] = _Known(new.peer, 0, state, _now())
                self._tell(self._rumour(self._known[heartbeat.node], state))
        return joined

    def _share_addresses(self) -> None:
        """Rumours carry the addresses."""

    def _known_addresses(self) -> list[str]:
        return []

    def _greet(self) -> None:
        """Send all that is known over a new connection."""
        linked = {peer.node for peer in self._transport.peers()}
        for node in linked - self._linked:
            items = [self._own_rumour()]
            items += [self._rumour(known, self.state(name)) for name, known in self._known.items()]
            self._transport.send(node, MembershipGossip(items))
        self._linked = linked

    def _accuse(self) -> None:
        """Pass on the suspicion of silent peers and of chosen ones that cannot be reached.

        A node that only this one cannot hear contradicts; it is not accused again at once.
        """
        now = _now()
        self._accused = {n: at for n, at in self._accused.items() if now - at < self._dead_s}
        silent = [
            node
            for node in self._seen
            if super(Overlay, self).state(node) not in (MemberState.LIVE, MemberState.LEAVING)
        ]
        missing = self._chosen - self._linked
        self._missing = {node: self._missing.get(node, now) for node in missing}
        silent += [node for node, since in self._missing.items() if now - since >= self._dead_s]
        for node in silent:
            known = self._known.get(node)
            if now - self._accused.get(node, float("-inf")) < self._dead_s:
                continue
            if known is not None and RANKS[known.state] < RANKS[MemberState.SUSPECT]:
                self._accused[node] = now
                known.state, known.since = MemberState.SUSPECT, now
                self._changed, self._live = True, None
                self._missing.pop(node, None)
                self._tell(self._rumour(known, MemberState.SUSPECT))

    def _on_rumours(self, sender: str, message: MembershipGossip) -> None:
        for rumour in message.items:
            if rumour.state not in list(MemberState) or rumour.node == OTHERS:
                continue
            if rumour.node == self.identity.node:
                self._contradict(rumour)
                continue
            known = self._known.get(rumour.node)
            if known is None and rumour.state == MemberState.DEAD:
                continue
            if known is None or known.is_older(rumour):
                self._believe(rumour)

    def _contradict(self, rumour: MembershipUpdate) -> None:
        suspected = rumour.state in (MemberState.SUSPECT, MemberState.DEAD)
        if rumour.incarnation != self.identity.incarnation or rumour.seq < self._own_seq:
            return
        if suspected or rumour.seq > self._own_seq:
            self._own_seq = rumour.seq + 1
            self._tell(self._own_rumour())

    def _believe(self, rumour: MembershipUpdate) -> None:
        peer = Peer(rumour.node, rumour.incarnation, rumour.availability_zone, rumour.address)
        state = MemberState(rumour.state)
        if state in (MemberState.SUSPECT, MemberState.DEAD):
            logger.debug("node {} is said to be {}", rumour.node, state)
        self._known[rumour.node] = _Known(peer, rumour.seq, state, _now())
        self._live = None
        self._changed = True
        self._tell(rumour)

    def _tell(self, rumour: MembershipUpdate) -> None:
        """Send a rumour to all peers at the end of this loop iteration."""
        if not self._news:
            asyncio.get_running_loop().call_soon(self._send_news)
        self._news[rumour.node] = rumour

    def _send_news(self) -> None:
        items, self._news = list(self._news.values()), {}
        if items:
            peers = [peer.node for peer in self._transport.peers()]
            self._transport.broadcast(peers, MembershipGossip(items))

    def _forget_known(self) -> None:
        """Drop nodes that have been dead for longer than a partition lasts."""
        limit = _now() - 3600
        for node in [n for n, known in self._known.items() if known.since < limit]:
            if self.state(node) is MemberState.DEAD:
                del self._known[node]

    def _dial(self) -> None:
        """Dial the chosen peers and one of the addresses at which no live node is known.

        The latter joins the parts of a network again after a partition.
        """
        live = [item for item in self.members() if item.state is not MemberState.DEAD]
        factor = LARGE_PERIOD_FACTOR if len(live) > LARGE else 1.0
        self._period_s = self._base_period_s * factor
        self._chosen = choose_peers(self._own(), live)
        addresses = {item.address for item in live if item.node in self._chosen}
        known = {item.address for item in live} | {self.identity.address}
        gone = {known.peer.address for known in self._known.values()}
        unknown = sorted((self._seeds | self._listed | gone) - known)
        if len(known) + len(unknown) <= MESH_LIMIT:
            addresses |= set(unknown)
        elif unknown:
            # The same one for a few ticks: a connection takes longer than one tick.
            turn = self._seq // SEED_EVERY + _place(self.identity.node)
            addresses.add(unknown[turn % len(unknown)])
        self._transport.dial(addresses)

    def _hang_up(self) -> None:
        """Close connections that this node opened and no longer chooses; see ``_on_parting``."""
        now = _now()
        extra = set(self._transport.outbound_peers()) - self._chosen
        extra -= {node for node in extra if self.state(node) is MemberState.DEAD}
        self._unneeded = {node: self._unneeded.get(node, now) for node in extra}
        for node, since in self._unneeded.items():
            if now - since >= UNNEEDED_S:
                self._transport.send(node, Disconnect(self.identity.node))
                self._transport.disconnect(node)
                self._part(node)

    def _on_parting(self, sender: str, message: Disconnect) -> None:
        """Expect no more heartbeats; if this node has chosen the peer, it dials it itself."""
        self._transport.disconnect(sender)
        self._part(sender)

    def _part(self, node: str) -> None:
        now = _now()
        self._seen.pop(node, None)
        self._parted = {name: at for name, at in self._parted.items() if now - at < PARTED_S}
        self._parted[node] = now

    def send_heartbeat(self) -> None:
        """Send one heartbeat with the merged state of the other nodes to all peers."""
        self._seq += 1
        state = MemberState.LEAVING if self._leaving else MemberState.LIVE
        own = self.identity
        heartbeat = Heartbeat(own.node, own.incarnation, self._seq, str(state))
        for contributor in self._contributors:
            contributor.fill_heartbeat(heartbeat)
        if self.is_partial_mesh():
            self._relay.write(heartbeat, _now())
        self._transport.broadcast((peer.node for peer in self._transport.peers()), heartbeat)

    def schedule_relay(self) -> None:
        """Send a heartbeat soon, because a peer sent news that must not wait at each hop."""
        if self._spreading or not self.is_partial_mesh():
            return
        self._spreading = True
        asyncio.get_running_loop().call_later(SPREAD_S, self._spread)

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        if _now() - self._parted.get(sender, float("-inf")) < PARTED_S:
            return
        super()._on_heartbeat(sender, heartbeat)
        self._heard.add(sender)
        if sender == heartbeat.node and self._relay.take(heartbeat, _now()):
            self.schedule_relay()

    def _spread(self) -> None:
        self._spreading = False
        self._inject()
        self.send_heartbeat()

    def _drop_silent(self) -> None:
        """Let the parts of this node forget what nodes sent that are no longer heard directly.

        Such a node may be alive, and what it sends now arrives through others.
        """
        direct = super().state
        for node in list(self._heard):
            if direct(node) in (MemberState.LIVE, MemberState.LEAVING):
                continue
            self._heard.discard(node)
            if self.state(node) in (MemberState.LIVE, MemberState.LEAVING):
                seen = self._seen.get(node)
                incarnation = seen.peer.incarnation if seen else self._known[node].peer.incarnation
                empty = Heartbeat(node, incarnation, 0, str(MemberState.LIVE))
                for contributor in self._contributors:
                    contributor.on_heartbeat(empty)

    def _inject(self) -> None:
        """Pass the merged state on to the parts of this node, as that of one further node."""
        far = self.is_partial_mesh()
        if not far and not self._injected:
            return
        self._injected = far
        heartbeat = Heartbeat(OTHERS, 1, self._seq, str(MemberState.LIVE))
        heartbeat.pressure = self._relay.others(_now()) if far else []
        for contributor in self._contributors:
            contributor.on_heartbeat(heartbeat)


def _successor(node: str, others: list[str]) -> str:
    """Return the next node on a ring ordered by hash."""
    place = _place(node)
    ring = sorted(others, key=_place)
    return next((name for name in ring if _place(name) > place), ring[0])


def _place(node: str) -> int:
    return xxhash.xxh3_64_intdigest(node.encode())


def _now() -> float:
    return asyncio.get_running_loop().time()
