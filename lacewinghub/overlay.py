"""Membership with a bounded number of connections per node, for deployments beyond a full mesh.

Each node keeps about ``DEGREE`` connections, within its availability zone and across zones, and
exchanges heartbeats only over these. Changes of the state of nodes spread by gossip from peer to
peer, as in SWIM (Das, Gupta, Motivala, 2002): a peer that sends no heartbeats becomes suspect, a
live node that is suspected refutes this with a higher sequence number, and a suspect that does not
refute becomes dead. The floors and admission ages of all other nodes are merged into one entry per
pool.
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
    _DirectPeer,
    deliver_heartbeat,
    fill_heartbeat,
    rendezvous,
)
from .message import Disconnect, Heartbeat, MembershipGossip, MembershipUpdate
from .relay import PressureRelay
from .transport import Peer, Transport

# In a full mesh of 13 nodes, heartbeats of a deployment of the target size reach 8000 bytes/s per
# node.
MESH_LIMIT = 12
# Connections per node on average: half chosen by the node itself, half opened by other nodes.
DEGREE = 8
# Identifier under which the merged state of all other nodes is given to the components.
AGGREGATE_NODE = "~others"
MAINTENANCE_TICKS = 20
# Above this number of nodes the heartbeat period is longer. With all of 4 pools under pressure, 54
# nodes at the usual period took 6842 bytes/s, and 8400 with headers, where 8000 are allowed; 36
# nodes took 7200. Urgent state is relayed at once in any case.
LARGE_DEPLOYMENT_NODES = 36
LARGE_PERIOD_FACTOR = 1.6
# Delay of the gossip that a node joined. Many nodes may start together, and each of these updates
# would be a message to each peer.
JOIN_GOSSIP_DELAY_S = 0.05
# Delay of a relayed heartbeat, which collects the urgent state of several peers.
RELAY_DELAY_S = 0.05
# Heartbeats received this soon after a connection was closed were already on their way. They are
# ignored, so that the peer is not tracked again and then suspected for its silence.
DISCONNECT_GRACE_S = 1.0
# A connection is closed only after it was unneeded for this long, so that the choice of peers can
# settle.
UNNEEDED_CONNECTION_S = 3.0
STATE_PRECEDENCE = {
    state: rank
    for rank, state in enumerate(
        (MemberState.LIVE, MemberState.LEAVING, MemberState.SUSPECT, MemberState.DEAD)
    )
}


@dataclass(slots=True)
class _GossipState:
    """State of a node as spread by gossip."""

    peer: Peer
    seq: int
    state: MemberState
    since: float

    def is_older_than(self, update: MembershipUpdate) -> bool:
        """Return whether an update is newer than this state."""
        mine = (self.peer.incarnation, self.seq, STATE_PRECEDENCE[self.state])
        return mine < (update.incarnation, update.seq, STATE_PRECEDENCE[MemberState(update.state)])


def choose_peers(own: Member, members: Iterable[Member]) -> set[str]:
    """Choose the nodes to which a node keeps connections.

    The successor on a hash ring of all nodes and the one on a ring of the nodes of the zone keep
    the graph connected; one node by rendezvous hashing within the zone and one outside it keep
    paths short.

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
    same_zone = [item.node for item in others if item.availability_zone == own.availability_zone]
    remote_zone = [item.node for item in others if item.availability_zone != own.availability_zone]
    chosen = {_successor(own.node, [*same_zone, *remote_zone])}
    chosen.add(_successor(own.node, same_zone) if same_zone else "")
    for candidates in (remote_zone or same_zone, same_zone or remote_zone):
        free = [name for name in candidates if name not in chosen]
        chosen.add(rendezvous(own.node, free) or "")
    return chosen - {""}


class Overlay(Membership):
    """Membership from the heartbeats of chosen peers and the gossip that they relay.

    Up to ``MESH_LIMIT`` nodes it is a full mesh.

    Args:
        identity: This node.
        transport: Connections to the other nodes.
        seeds: Addresses of nodes from the settings.
        period_s: Time between heartbeats, in seconds.
        suspect_s: Time without a heartbeat after which a peer is suspect, in seconds.
        dead_s: Time without a heartbeat after which a peer is dead, in seconds.
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
        self._gossip_states: dict[str, _GossipState] = {}
        self._own_seq = 0
        self._pending_updates: dict[str, MembershipUpdate] = {}
        self._connected: set[str] = set()
        self._chosen: set[str] = set()
        self._unconnected_since: dict[str, float] = {}
        self._unneeded_since: dict[str, float] = {}
        self._disconnected_at: dict[str, float] = {}
        self._pressure_relay = PressureRelay(identity.node)
        self._aggregate_shared = False
        self._partial_mesh = False
        self._suspected_at: dict[str, float] = {}
        self._heard_directly: set[str] = set()
        self._relay_scheduled = False
        self._members_changed = True
        transport.subscribe(MembershipGossip, self._on_gossip)
        transport.subscribe(Disconnect, self._on_disconnect)

    def members(self) -> list[Member]:
        """Return all known nodes in any state, this one included, ordered by identifier."""
        found = [self._own_member()]
        for node, known in self._gossip_states.items():
            peer = known.peer
            found.append(
                Member(
                    node, peer.address, peer.availability_zone, peer.incarnation, self.state(node)
                )
            )
        return sorted(found, key=lambda item: item.node)

    def state(self, node: str) -> MemberState:
        """Return the state of a node; an unknown one is dead."""
        if node == AGGREGATE_NODE:
            return MemberState.LIVE
        direct = super().state(node)
        if node == self.identity.node or direct in (MemberState.LIVE, MemberState.LEAVING):
            return direct
        seen = self._direct_peers.get(node)
        if seen is not None and (seen.leaving or not self._partial_mesh):
            # A node that announced its stop and then fell silent has ended. In a full mesh only the
            # direct connection to the node counts.
            return MemberState.DEAD if seen.leaving else direct
        known = self._gossip_states.get(node)
        if known is None:
            return MemberState.DEAD
        overdue = _now() - known.since >= self._dead_s - self._suspect_s
        if known.state is MemberState.SUSPECT and overdue:
            return MemberState.DEAD
        return known.state

    def is_partial_mesh(self) -> bool:
        """Return whether there are more live nodes than a full mesh allows."""
        return self._partial_mesh

    def leave(self) -> None:
        """Announce to the peers at once that this node takes no new work."""
        self._own_seq += 1
        super().leave()
        self._queue_update(self._own_update())

    def tick(self) -> None:
        """Maintain membership and connections and send a heartbeat; called once per period."""
        self._partial_mesh = len(self._cached_live()) > MESH_LIMIT
        self._clear_unheard()
        if self._seq % MAINTENANCE_TICKS == 0:
            self._live = None
            self._forget()
            self._remove_dead()
        self._send_full_state()
        self._suspect_silent_peers()
        # Choosing peers sorts all members, so it is done only after changes and now and then.
        if self._members_changed or self._seq % MAINTENANCE_TICKS == 0:
            self._members_changed = any(
                known.state is MemberState.SUSPECT for known in self._gossip_states.values()
            )
            self._dial()
        self._close_unneeded()
        self._share_aggregate()
        self.send_heartbeat()

    def _own_member(self) -> Member:
        own = self.identity
        state = super().state(own.node)
        return Member(own.node, own.address, own.availability_zone, own.incarnation, state)

    def _own_update(self) -> MembershipUpdate:
        own = self.identity
        state = MemberState.LEAVING if self._leaving else MemberState.LIVE
        return MembershipUpdate(
            own.node, own.incarnation, self._own_seq, state, own.availability_zone, own.address
        )

    def _update_of(self, known: _GossipState, state: MemberState) -> MembershipUpdate:
        peer = known.peer
        return MembershipUpdate(
            peer.node,
            peer.incarnation,
            known.seq,
            state,
            peer.availability_zone,
            peer.address,
        )

    def _join(self, heartbeat: Heartbeat, old: _DirectPeer | None, new: _DirectPeer) -> bool:
        joined = super()._join(heartbeat, old, new)
        if joined:
            known = self._gossip_states.get(heartbeat.node)
            if known is None or known.peer.incarnation != heartbeat.incarnation:
                state = MemberState(heartbeat.state)
                self._gossip_states[heartbeat.node] = _GossipState(new.peer, 0, state, _now())
                self._queue_update(self._update_of(self._gossip_states[heartbeat.node], state))
        return joined

    def _share_addresses(self) -> None:
        """Do nothing: gossip contains the addresses."""

    def _known_addresses(self) -> list[str]:
        return []

    def _send_full_state(self) -> None:
        """Send the states of all known nodes over each new connection."""
        connected = {peer.node for peer in self._transport.peers()}
        for node in connected - self._connected:
            items = [self._own_update()]
            items += [
                self._update_of(known, self.state(name))
                for name, known in self._gossip_states.items()
            ]
            self._transport.send(node, MembershipGossip(items))
        self._connected = connected

    def _suspect_silent_peers(self) -> None:
        """Suspect silent peers and chosen ones that cannot be connected to, and gossip about it.

        A live node that only this node cannot hear refutes the suspicion. It is not suspected again
        within ``dead_s``, which bounds the gossip about a pair that cannot connect.
        """
        now = _now()
        self._suspected_at = {
            n: at for n, at in self._suspected_at.items() if now - at < self._dead_s
        }
        silent = [
            node
            for node in self._direct_peers
            if super(Overlay, self).state(node) not in (MemberState.LIVE, MemberState.LEAVING)
        ]
        missing = self._chosen - self._connected
        self._unconnected_since = {node: self._unconnected_since.get(node, now) for node in missing}
        silent += [
            node for node, since in self._unconnected_since.items() if now - since >= self._dead_s
        ]
        for node in silent:
            known = self._gossip_states.get(node)
            if now - self._suspected_at.get(node, float("-inf")) < self._dead_s:
                continue
            if (
                known is not None
                and STATE_PRECEDENCE[known.state] < STATE_PRECEDENCE[MemberState.SUSPECT]
            ):
                self._suspected_at[node] = now
                known.state, known.since = MemberState.SUSPECT, now
                self._members_changed, self._live = True, None
                self._unconnected_since.pop(node, None)
                self._queue_update(self._update_of(known, MemberState.SUSPECT))

    def _on_gossip(self, sender: str, message: MembershipGossip) -> None:
        for update in message.items:
            if update.state not in list(MemberState) or update.node == AGGREGATE_NODE:
                continue
            if update.node == self.identity.node:
                self._refute(update)
                continue
            known = self._gossip_states.get(update.node)
            if known is None and update.state == MemberState.DEAD:
                continue
            if known is None or known.is_older_than(update):
                self._apply_update(update)

    def _refute(self, update: MembershipUpdate) -> None:
        suspected = update.state in (MemberState.SUSPECT, MemberState.DEAD)
        if update.incarnation != self.identity.incarnation or update.seq < self._own_seq:
            return
        if suspected or update.seq > self._own_seq:
            self._own_seq = update.seq + 1
            self._queue_update(self._own_update())

    def _apply_update(self, update: MembershipUpdate) -> None:
        peer = Peer(update.node, update.incarnation, update.availability_zone, update.address)
        state = MemberState(update.state)
        if state in (MemberState.SUSPECT, MemberState.DEAD):
            logger.debug("node {} is reported to be {}", update.node, state)
        self._gossip_states[update.node] = _GossipState(peer, update.seq, state, _now())
        self._live = None
        self._members_changed = True
        self._queue_update(update)

    def _queue_update(self, update: MembershipUpdate) -> None:
        """Queue an update for all peers.

        It is sent in the next loop iteration, or a little later if it only says that a node joined.
        """
        loop = asyncio.get_running_loop()
        if update.seq > 0 or update.state != MemberState.LIVE:
            loop.call_soon(self._send_updates)
        elif not self._pending_updates:
            loop.call_later(JOIN_GOSSIP_DELAY_S, self._send_updates)
        self._pending_updates[update.node] = update

    def _send_updates(self) -> None:
        items, self._pending_updates = list(self._pending_updates.values()), {}
        if items:
            peers = [peer.node for peer in self._transport.peers()]
            self._transport.broadcast(peers, MembershipGossip(items))

    def _remove_dead(self) -> None:
        """Remove nodes that have been dead for an hour, which is longer than a partition lasts."""
        limit = _now() - 3600
        for node in [n for n, known in self._gossip_states.items() if known.since < limit]:
            if self.state(node) is MemberState.DEAD:
                del self._gossip_states[node]

    def _dial(self) -> None:
        """Dial the chosen peers and one of the addresses at which no live node is known.

        The latter joins the sides of a partition again after it ended.
        """
        live = [item for item in self.members() if item.state is not MemberState.DEAD]
        factor = LARGE_PERIOD_FACTOR if len(live) > LARGE_DEPLOYMENT_NODES else 1.0
        self._period_s = self._base_period_s * factor
        self._chosen = choose_peers(self._own_member(), live)
        addresses = {item.address for item in live if item.node in self._chosen}
        known = {item.address for item in live} | {self.identity.address}
        gone = {known.peer.address for known in self._gossip_states.values()}
        unknown = sorted((self._seeds | self._discovered_addresses | gone) - known)
        if len(known) + len(unknown) <= MESH_LIMIT:
            addresses |= set(unknown)
        elif unknown:
            # The same address for several ticks, because connecting takes longer than one tick.
            turn = self._seq // MAINTENANCE_TICKS + _ring_position(self.identity.node)
            addresses.add(unknown[turn % len(unknown)])
        self._transport.dial(addresses)

    def _close_unneeded(self) -> None:
        """Close connections that this node opened to peers that it no longer chooses."""
        now = _now()
        extra = set(self._transport.outbound_peers()) - self._chosen
        extra -= {node for node in extra if self.state(node) is MemberState.DEAD}
        self._unneeded_since = {node: self._unneeded_since.get(node, now) for node in extra}
        for node, since in self._unneeded_since.items():
            if now - since >= UNNEEDED_CONNECTION_S:
                self._transport.send(node, Disconnect(self.identity.node))
                self._transport.disconnect(node)
                self._mark_disconnected(node)

    def _on_disconnect(self, sender: str, message: Disconnect) -> None:
        """Expect no more heartbeats of a peer; if this node has chosen it, it dials it itself."""
        self._transport.disconnect(sender)
        self._mark_disconnected(sender)

    def _mark_disconnected(self, node: str) -> None:
        now = _now()
        self._direct_peers.pop(node, None)
        self._disconnected_at = {
            name: at for name, at in self._disconnected_at.items() if now - at < DISCONNECT_GRACE_S
        }
        self._disconnected_at[node] = now

    def send_heartbeat(self) -> None:
        """Send one heartbeat, with the merged state of the other nodes, to all peers at once."""
        self._seq += 1
        state = MemberState.LEAVING if self._leaving else MemberState.LIVE
        own = self.identity
        heartbeat = Heartbeat(own.node, own.incarnation, self._seq, str(state))
        fill_heartbeat(self._contributors, heartbeat)
        if self.is_partial_mesh():
            self._pressure_relay.fill_heartbeat(heartbeat, _now())
        self._transport.broadcast((peer.node for peer in self._transport.peers()), heartbeat)

    def schedule_relay(self) -> None:
        """Send a heartbeat soon, because a peer sent state that must not wait at each hop."""
        if self._relay_scheduled or not self.is_partial_mesh():
            return
        self._relay_scheduled = True
        asyncio.get_running_loop().call_later(RELAY_DELAY_S, self._relay_now)

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        if _now() - self._disconnected_at.get(sender, float("-inf")) < DISCONNECT_GRACE_S:
            return
        super()._on_heartbeat(sender, heartbeat)
        self._heard_directly.add(sender)
        if sender == heartbeat.node and self._pressure_relay.merge_heartbeat(heartbeat, _now()):
            self.schedule_relay()

    def _relay_now(self) -> None:
        self._relay_scheduled = False
        self._share_aggregate()
        self.send_heartbeat()

    def _clear_unheard(self) -> None:
        """Clear the direct state of live nodes whose heartbeats no longer arrive directly.

        Such a node may be alive; its current state then arrives through other nodes.
        """
        direct = super().state
        for node in list(self._heard_directly):
            if direct(node) in (MemberState.LIVE, MemberState.LEAVING):
                continue
            self._heard_directly.discard(node)
            if self.state(node) in (MemberState.LIVE, MemberState.LEAVING):
                seen = self._direct_peers.get(node)
                incarnation = (
                    seen.peer.incarnation if seen else self._gossip_states[node].peer.incarnation
                )
                empty = Heartbeat(node, incarnation, 0, str(MemberState.LIVE))
                deliver_heartbeat(self._contributors, empty)

    def _share_aggregate(self) -> None:
        """Give the merged state of other nodes to the components, as that of one more node."""
        partial = self.is_partial_mesh()
        if not partial and not self._aggregate_shared:
            return
        self._aggregate_shared = partial
        heartbeat = Heartbeat(AGGREGATE_NODE, 1, self._seq, str(MemberState.LIVE))
        heartbeat.pressure = self._pressure_relay.pressure_of_others(_now()) if partial else []
        deliver_heartbeat(self._contributors, heartbeat)


def _successor(node: str, others: list[str]) -> str:
    """Return the next node on a ring ordered by hash."""
    place = _ring_position(node)
    ring = sorted(others, key=_ring_position)
    return next((name for name in ring if _ring_position(name) > place), ring[0])


def _ring_position(node: str) -> int:
    return xxhash.xxh3_64_intdigest(node.encode())


def _now() -> float:
    return asyncio.get_running_loop().time()
