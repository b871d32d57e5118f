"""Reservation of free slots of a runner group for the highest tiers."""

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

from .tables import Target

HIGH_TIER = 2  # Tiers 1 to 2 are the high ones, which may use the reserved slots.
# A high tier is at risk if its expected wait exceeds this share of its target.
RISK = 0.5
# A low tier may use reserved slots if the age of its oldest request exceeds this share of its
# target. With 0.6, requests of tiers 5 and 7 finished too late to count: goodput at 1.5 times
# capacity fell from 2514 to 2344 tokens/s (consortium).
LATE = 0.4
HOLD_S = 5.0  # How long slots stay reserved after a high tier was last at risk.
WINDOW_S = 5.0  # Time constant of the decay of the demand of the high tiers.
# The reservation covers the arrivals within this time, which is about the patience of the high
# tiers.
HORIZON_S = 1.0
# Number of standard deviations of the arrivals within the horizon that are covered. 2 would do for
# Poisson arrivals of equal length, but gained little for tier 2, since the lengths differ.
DEVIATIONS = 4.0
MAX_SHARE = 0.25  # Maximum share of the slots of a group that is reserved.


class Headroom(ABC):
    """Decides how many free slots of a runner group a tier must leave to higher tiers."""

    @abstractmethod
    def reserved(self, tier: int, now: float) -> int:
        """Return the number of free slots that a request of a tier must not take.

        Args:
            tier: Tier of the request.
            now: Loop time, in seconds.
        """

    def record_grant(self, tier: int, now: float) -> None:  # noqa: B027
        """Count a grant."""

    def update(  # noqa: B027
        self,
        waits_ms: Sequence[int],
        ages_ms: Mapping[int, int],
        targets: Sequence[Target],
        slots: int,
        use_s: float,
        now: float,
    ) -> None:
        """Adapt the reservation to the state of the group.

        Args:
            waits_ms: Expected waits of new requests by tier, from tier 1, in milliseconds; empty if
                no request waits.
            ages_ms: Age of the oldest waiting request by tier, in milliseconds.
            targets: Latency targets of the tiers, from tier 1.
            slots: Number of slots of the group.
            use_s: Mean time for which a request uses a slot, in seconds; 0 if unknown.
            now: Loop time, in seconds.
        """


class NoHeadroom(Headroom):
    """Reserves no slots: every free slot goes to the highest waiting tier."""

    def reserved(self, tier: int, now: float) -> int:
        """Return 0."""
        return 0


class TrunkReservation(Headroom):
    """Reserves the last free slots for the high tiers while these are at risk.

    The reservation is the expected number of arrivals of the high tiers within ``HORIZON_S``, plus
    ``DEVIATIONS`` standard deviations, minus the slots that become free within that time.
    """

    def __init__(self) -> None:
        self._size = 0
        self._late: set[int] = set()
        self._risk_until = -math.inf
        self._demand = 0.0
        self._time = 0.0

    def reserved(self, tier: int, now: float) -> int:
        """Return the size of the reservation; 0 for high tiers and for low ones that are late."""
        if tier <= HIGH_TIER or tier in self._late or now >= self._risk_until:
            return 0
        return self._size

    def record_grant(self, tier: int, now: float) -> None:
        """Count a grant to a high tier as demand."""
        if tier <= HIGH_TIER:
            self._decay(now)
            self._demand += 1.0

    def update(
        self,
        waits_ms: Sequence[int],
        ages_ms: Mapping[int, int],
        targets: Sequence[Target],
        slots: int,
        use_s: float,
        now: float,
    ) -> None:
        """Determine which tiers are at risk or late, and the size of the reservation."""
        for wait_ms, target in zip(waits_ms[:HIGH_TIER], targets, strict=False):
            if _exceeds(wait_ms, RISK, target):
                self._risk_until = now + HOLD_S
        self._late = {
            tier for tier, age in ages_ms.items() if _exceeds(age, LATE, targets[tier - 1])
        }
        self._decay(now)
        arrivals = self._demand / WINDOW_S * HORIZON_S
        freed = slots / use_s * HORIZON_S if use_s else 0.0
        wanted = arrivals + DEVIATIONS * math.sqrt(arrivals) - freed
        self._size = max(0, min(math.ceil(wanted), int(MAX_SHARE * slots)))

    def _decay(self, now: float) -> None:
        self._demand *= math.exp((self._time - now) / WINDOW_S)
        self._time = now


def _exceeds(wait_ms: int, share: float, target: Target) -> bool:
    """Return whether a wait exceeds a share of the target."""
    limit = target.first_token_s or target.completion_s
    return limit is not None and wait_ms / 1000 > share * limit
