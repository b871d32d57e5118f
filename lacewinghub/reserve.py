"""Headroom: free slots of a runner group that are kept for the highest tiers."""

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

from .tables import Target

HIGH_TIER = 2  # Tiers 1 to 2 may use the reserved slots.
RISK = 0.5  # Expected wait, relative to the target, from which a high tier counts as at risk.
# Age of the oldest request, relative to its target, from which a low tier may take reserved slots.
# With 0.6, requests of tiers 5 and 7 finished too late to count: goodput at 1.5 times capacity fell
# from 2514 to 2344 tokens/s (consortium).
LATE = 0.4
HOLD_S = 5.0  # How long the reservation outlasts the last risk.
WINDOW_S = 5.0  # Time over which the demand of the high tiers is averaged.
HORIZON_S = 1.0  # Time that the reserved slots bridge; about the patience of the high tiers.
# Standard deviations of the arrivals within the horizon that are covered. Uses differ in length, so
# that 2, enough for Poisson arrivals alone, gained little for tier 2.
DEVIATIONS = 4.0
MAX_SHARE = 0.25  # Largest part of the slots of a group that is reserved.


class Headroom(ABC):
    """Decides how many free slots of one runner group a tier has to leave to higher tiers."""

    @abstractmethod
    def reserved(self, tier: int, now: float) -> int:
        """Return the number of free slots that a request of a tier may not take.

        Args:
            tier: Tier of the request.
            now: Loop time, in seconds.
        """

    def granted(self, tier: int, now: float) -> None:  # noqa: B027
        """Count a grant."""

    def expect(  # noqa: B027
        self,
        waits_ms: Sequence[int],
        ages_ms: Mapping[int, int],
        targets: Sequence[Target],
        slots: int,
        use_s: float,
        now: float,
    ) -> None:
        """Adapt to the state of the group.

        Args:
            waits_ms: Expected waits of new requests by tier, from tier 1, in milliseconds; empty if
                nothing waits.
            ages_ms: Age of the oldest waiting request by tier, in milliseconds.
            targets: Latency targets of the tiers, from tier 1.
            slots: Slots of the group.
            use_s: Mean time that a slot is in use, in seconds; 0 if unknown.
            now: Loop time, in seconds.
        """


class NoHeadroom(Headroom):
    """Every free slot goes to the highest tier that waits."""

    def reserved(self, tier: int, now: float) -> int:
        """Reserve nothing."""
        return 0


class TrunkReservation(Headroom):
    """Keeps the last free slots for the high tiers while these are at risk.

    The reservation covers the arrivals of the high tiers within ``HORIZON_S``, with
    ``DEVIATIONS``, beyond the slots that become free in that time.
    """

    def __init__(self) -> None:
        self._size = 0
        self._late: set[int] = set()
        self._risk_until = -math.inf
        self._demand = 0.0
        self._time = 0.0

    def reserved(self, tier: int, now: float) -> int:
        """Return the size of the reservation for tiers below the high ones."""
        if tier <= HIGH_TIER or tier in self._late or now >= self._risk_until:
            return 0
        return self._size

    def granted(self, tier: int, now: float) -> None:
        """Count a grant of a high tier as demand."""
        if tier <= HIGH_TIER:
            self._fade(now)
            self._demand += 1.0

    def expect(
        self,
        waits_ms: Sequence[int],
        ages_ms: Mapping[int, int],
        targets: Sequence[Target],
        slots: int,
        use_s: float,
        now: float,
    ) -> None:
        """Look for tiers at risk and compute the size."""
        for wait_ms, target in zip(waits_ms[:HIGH_TIER], targets, strict=False):
            if _exceeds(wait_ms, RISK, target):
                self._risk_until = now + HOLD_S
        self._late = {
            tier for tier, age in ages_ms.items() if _exceeds(age, LATE, targets[tier - 1])
        }
        self._fade(now)
        arrivals = self._demand / WINDOW_S * HORIZON_S
        freed = slots / use_s * HORIZON_S if use_s else 0.0
        wanted = arrivals + DEVIATIONS * math.sqrt(arrivals) - freed
        self._size = max(0, min(math.ceil(wanted), int(MAX_SHARE * slots)))

    def _fade(self, now: float) -> None:
        self._demand *= math.exp((self._time - now) / WINDOW_S)
        self._time = now


def _exceeds(wait_ms: int, part: float, target: Target) -> bool:
    """Tell whether a wait exceeds a part of the time that the target leaves."""
    limit = target.first_token_s or target.completion_s
    return limit is not None and wait_ms / 1000 > part * limit
