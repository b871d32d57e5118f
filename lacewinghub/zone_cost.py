"""Decides when a request leaves its availability zone, and how many of them may leave.

Every node computes this by itself from the shared state of the zones. What leaves a zone follows
the demand that arises there, which does not change when requests leave, so that nodes that decide
at once do not drive each other up and down.

No composition root connects it yet.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from .placement import ZoneCost

# Older states say nothing about a zone; it may be cut off.
MAX_AGE_S = 3.0
# A zone starts to receive requests if they gain more than this beyond the price, and continues
# until they gain nothing.
HYSTERESIS_S = 0.05
# A backlog is spread over the zones in about this time. The state is a second old, so that a much
# shorter time would make the waits oscillate.
SPREAD_S = 4.0
# While demand exceeds the slots, the wait grows; a state is about this old when it is used.
LOOK_AHEAD_S = 1.0
# Share of the slots of a zone that is left to its own requests, which arrive at random.
RESERVE = 0.05
# A node may make up in about this time for having used less than its allowance, which is less
# than one request where there are many nodes.
CREDIT_S = 1.0
BYTES_PER_GB = 1e9


@dataclass(frozen=True, slots=True)
class ZonePrices:
    """What it costs to send a request to another zone.

    Attributes:
        round_trip_s: Round trip between two zones, in seconds.
        per_gb: Price of a gigabyte between two zones.
        wait_per_s: Price of a second for which a request waits, in the same unit.
    """

    round_trip_s: float = 0.0028
    per_gb: float = 0.02
    wait_per_s: float = 0.001


@dataclass(frozen=True, slots=True)
class ZoneState:
    """State of the runners of a pool in one zone.

    Attributes:
        zone: Name of the zone.
        wait_s: Predicted wait of a request that is sent there, in seconds; infinite without
            runners.
        slots: Slots of its runners.
        demand: Slots that the requests of the zone's own clients need, wherever they are sent:
            their rate times the time for which each needs a slot.
        nodes: Number of nodes in the zone.
        time: Time of the state, in seconds.
    """

    zone: str
    wait_s: float
    slots: float
    demand: float
    nodes: int
    time: float

    @property
    def expected_s(self) -> float:
        """Wait of a request that is sent there now, in seconds: it has grown with the demand."""
        if self.slots <= 0.0:
            return float("inf")
        return self.wait_s + max(0.0, self.demand / self.slots - 1.0) * LOOK_AHEAD_S

    @property
    def spare(self) -> float:
        """Slots that the zone's own requests leave free."""
        return max(0.0, self.slots * (1 - RESERVE) - self.demand)


@dataclass(slots=True)
class _Use:
    """Use that a node makes of its allowance in another zone.

    Attributes:
        time: Time of the last change, in seconds.
        in_flight: Requests in flight there.
        allowance: How many may be in flight on average.
        credit: What was not used of it lately, in requests; negative if more was used.
    """

    time: float
    in_flight: int = 0
    allowance: float = 0.0
    credit: float = 0.0

    def advance(self, now: float) -> None:
        """Let time pass."""
        if self.allowance > 0.0:
            change = (self.allowance - self.in_flight) * (now - self.time) / CREDIT_S
            self.credit = min(1.0, max(-1.0, self.credit + change))
        else:
            self.credit = 0.0
        self.time = now


class ZoneBalance(ZoneCost):
    """Weighs the zones for the requests of one node and one pool.

    Args:
        own_zone: Zone of the node.
        prices: Prices of leaving the zone.
        position: Number from 0 to 1 that differs between the nodes of a zone. If there is less than
            one slot per node, it decides which of them may use one.
    """

    def __init__(
        self, own_zone: str, prices: ZonePrices | None = None, position: float | None = None
    ) -> None:
        self._own = own_zone
        self._prices = prices or ZonePrices()
        self._position = random.random() if position is None else position
        self._states: dict[str, ZoneState] = {}
        self._unreachable: set[str] = set()
        self._uses: dict[str, _Use] = {}
        self._receiving: set[str] = set()

    def update(self, state: ZoneState) -> None:
        """Store the state of a zone, unless a newer one is known."""
        known = self._states.get(state.zone)
        if known is None or known.time <= state.time:
            self._states[state.zone] = state

    def forget(self, zone: str) -> None:
        """Forget a zone that has no runners any more."""
        self._states.pop(zone, None)
        self._unreachable.discard(zone)
        self._receiving.discard(zone)

    def set_reachable(self, zone: str, reachable: bool) -> None:
        """Record whether this node reaches the runners of a zone."""
        if reachable:
            self._unreachable.discard(zone)
        else:
            self._unreachable.add(zone)

    def on_sent(self, zone: str, now: float) -> None:
        """Record that a request is sent to a zone."""
        self._use(zone, now).in_flight += 1

    def on_done(self, zone: str, now: float) -> None:
        """Record that a request that was sent to a zone has ended."""
        self._use(zone, now).in_flight -= 1

    def extra_s(self, zone: str, request_bytes: int, response_bytes: int) -> float:
        """Return the price of sending a request to a zone, in seconds of waiting.

        Args:
            zone: The zone.
            request_bytes: Size of the request.
            response_bytes: Expected size of its answer.
        """
        if zone == self._own:
            return 0.0
        price = (request_bytes + response_bytes) / BYTES_PER_GB * self._prices.per_gb
        return self._prices.round_trip_s + price / self._prices.wait_per_s

    def may_leave(self, zone: str, now: float) -> bool:
        """Return whether one more request may be sent to another zone.

        Args:
            zone: The zone.
            now: The time, in seconds.
        """
        own = self._fresh(self._own, now)
        other = self._fresh(zone, now)
        use = self._use(zone, now)
        use.allowance = 0.0
        if zone == self._own or own is None or other is None or zone in self._unreachable:
            return False
        gain_s = own.expected_s - other.expected_s - self._prices.round_trip_s
        # Without runners in either zone the difference is not a number, and no gain.
        if not gain_s > (0.0 if zone in self._receiving else HYSTERESIS_S):
            self._receiving.discard(zone)
            return False
        self._receiving.add(zone)
        use.allowance = self._allowance(own, other, now)
        return use.in_flight + 1 <= use.allowance + use.credit + self._position

    def options(
        self, request_bytes: int, response_bytes: int, now: float, has_home: bool = True
    ) -> dict[str, float]:
        """Return the zones to which a request may be sent, with the price in seconds of each.

        Args:
            request_bytes: Size of the request.
            response_bytes: Expected size of its answer.
            now: The time, in seconds.
            has_home: False if no runner of the own zone can take the request. It may then go to
                any zone, but to one that is cut off only if there is no other.
        """
        prices = {zone: self.extra_s(zone, request_bytes, response_bytes) for zone in self._states}
        own = self._fresh(self._own, now)
        if not has_home or (own is not None and own.slots <= 0.0):
            others = {zone: price for zone, price in prices.items() if zone != self._own}
            return {z: p for z, p in others.items() if self._is_sound(z, now)} or others
        found = {self._own: 0.0}
        for zone, price in prices.items():
            if own is None or not self.may_leave(zone, now):
                continue
            if own.expected_s - self._states[zone].expected_s > price:
                found[zone] = price
        return found

    def _allowance(self, own: ZoneState, other: ZoneState, now: float) -> float:
        """Return how many requests of this node may be in flight to another zone at once."""
        fresh = [state for zone in self._states if (state := self._fresh(zone, now)) is not None]
        senders = [item for item in fresh if item.zone != other.zone]
        wanted = {item.zone: _excess(item, fresh) for item in senders}
        total = sum(wanted.values())
        if total <= 0.0:
            return 0.0
        spare = sum(
            item.spare for item in fresh if item.zone != own.zone and self._is_sound(item.zone, now)
        )
        # The smaller one of what the other zone has left for this one, and of what is to leave it,
        # divided over the zones by their spare slots.
        room = other.spare * min(wanted[own.zone] / total, wanted[own.zone] / max(spare, 1e-9))
        return room / max(1, own.nodes)

    def _use(self, zone: str, now: float) -> "_Use":
        use = self._uses.setdefault(zone, _Use(now))
        use.advance(now)
        return use

    def _is_sound(self, zone: str, now: float) -> bool:
        state = self._fresh(zone, now)
        return state is not None and state.slots > 0.0 and zone not in self._unreachable

    def _fresh(self, zone: str, now: float) -> ZoneState | None:
        state = self._states.get(zone)
        return state if state is not None and now - state.time <= MAX_AGE_S else None


def _excess(state: ZoneState, states: Iterable[ZoneState]) -> float:
    """Return how many slots in other zones the requests of a zone need.

    These are the slots that its own demand lacks, and some more while requests wait longer there
    than in the best of the other zones.
    """
    others = (item.expected_s for item in states if item.zone != state.zone)
    best_s = min(others, default=float("inf"))
    gain_s = min(SPREAD_S, max(0.0, state.wait_s - best_s)) if best_s < float("inf") else 0.0
    return max(0.0, state.demand - state.slots) + state.slots * gain_s / SPREAD_S
