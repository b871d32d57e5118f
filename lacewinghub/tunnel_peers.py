"""The other nodes through which this node may reach endpoints."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from .membership import HeartbeatContributor, Member, Members, MemberState
from .message import Heartbeat, TunnelOffer
from .tunnel import RefusalReason

# A node that did not answer is asked for this long only if there is no other.
SKIP_S = 1.0
# Offers that are older do not count.
OFFER_AGE_S = 1.5


@dataclass(slots=True)
class _Offer:
    """What a node offers, and the loop time at which it was received."""

    offer: TunnelOffer
    received: float


@dataclass(frozen=True, slots=True)
class TunnelPeer:
    """A node that opens tunnels.

    Attributes:
        node: Its name.
        address: Address of its tunnel port.
    """

    node: str
    address: str


class TunnelPeers(HeartbeatContributor):
    """Tells the other nodes what this node offers, and chooses among them.

    Args:
        zone: Availability zone of this node.
        members: View of the live nodes.
        own: Returns what this node offers.
        rng: Source of randomness.
    """

    def __init__(
        self,
        zone: str,
        members: Members,
        own: Callable[[], TunnelOffer | None],
        rng: random.Random | None = None,
    ) -> None:
        self._zone = zone
        self._members = members
        self._own = own
        self._rng = rng or random.Random()
        self._offers: dict[str, _Offer] = {}
        self._skipped_until: dict[str, float] = {}

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add what this node offers."""
        offer = self._own()
        if offer is not None:
            heartbeat.tunnels.append(offer)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store what a peer offers."""
        if not heartbeat.tunnels or heartbeat.state != MemberState.LIVE:
            self._offers.pop(heartbeat.node, None)
            return
        self._offers[heartbeat.node] = _Offer(heartbeat.tunnels[0], _now())

    def on_refused(self, node: str, reason: RefusalReason | None) -> None:
        """Record that a node opened no tunnel for a reason of its own.

        Args:
            node: Its name.
            reason: What it answered, which counts until its next heartbeat; None for no answer,
                which may be due to load, so that it is asked only if there is no other.
        """
        known = self._offers.get(node)
        if known is None:
            return
        if reason is None:
            self._skipped_until[node] = _now() + SKIP_S
        elif reason is RefusalReason.LINKS_CUT:
            known.offer.cut = True
        else:
            known.offer.room = 0

    def choose(self, excluded: set[str]) -> TunnelPeer | None:
        """Return the node to ask next, or None if there is none.

        Nodes of the own availability zone go first, since traffic between zones costs money. Of two
        random ones the one with more room is asked.

        Args:
            excluded: Names of nodes that were asked already.
        """
        members = [item for item in self._members.live() if self._may_ask(item, excluded)]
        now = _now()
        members = [
            item for item in members if self._skipped_until.get(item.node, 0.0) <= now
        ] or members
        nearby = [item for item in members if item.availability_zone == self._zone]
        candidates = nearby or members
        if not candidates:
            return None
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        chosen = max(pair, key=lambda item: self._offers[item.node].offer.room)
        # The next heartbeat corrects the count.
        offer = self._offers[chosen.node].offer
        offer.room -= 1
        return TunnelPeer(chosen.node, offer.address)

    def _may_ask(self, member: Member, excluded: set[str]) -> bool:
        known = self._offers.get(member.node)
        if known is None or member.node in excluded:
            return False
        is_recent = _now() - known.received < OFFER_AGE_S
        return is_recent and not known.offer.cut and known.offer.room > 0


def _now() -> float:
    return asyncio.get_running_loop().time()
