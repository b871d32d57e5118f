"""Budget for the memory that clients make a process hold, and who is refused when it is used up.

The budget covers what arrives from clients and what they do not read. It is a share of the memory
of the process, because the interpreter, the state of the node and short-lived copies need the rest.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

KB = 1024
MB = 1024 * KB
# Resident memory of a node before it serves clients is about 55 MB, plus room for its state.
BASE_BYTES = 72 * MB
# Share of the remaining memory that the budget has. The rest is for copies, for answers that are
# collected from endpoints, and for memory that the allocator has not given back.
BUDGET_SHARE = 0.5
# A request of the largest size is served on any machine.
MIN_BUDGET_BYTES = 12 * MB
# A holder below this size may use all of the budget, a larger one only ``LARGE_SHARE`` of it, so
# that small requests are served beside a crowd of large ones.
SMALL_BYTES = 64 * 1024
LARGE_SHARE = 0.75
# A refusal releases this share of the budget more than needed, so that refusals are decided rarely.
SLACK_SHARE = 1 / 32
# Above this share of the budget, bodies that arrive slowly are refused.
STRAINED_SHARE = 0.5
# Added to the time for which something is held, so that the size alone decides at first.
MIN_HELD_S = 0.1


def budget_bytes(memory_bytes: int | None) -> int | None:
    """Return the size of the budget of a process, in bytes.

    Args:
        memory_bytes: Memory above which the process is killed, or None if unknown.

    Returns:
        The size, or None for no limit.
    """
    if memory_bytes is None:
        return None
    return max(MIN_BUDGET_BYTES, int((memory_bytes - BASE_BYTES) * BUDGET_SHARE))


@dataclass(frozen=True, slots=True)
class Holding:
    """What one client makes the process hold.

    Attributes:
        refusable: Number of bytes that a refusal releases.
        held_s: Time for which they have been held, in seconds.
    """

    refusable: int
    held_s: float


def choose_refused(holdings: Sequence[Holding], excess: int, smallest: int = 1) -> list[int]:
    """Choose whom to refuse: those that hold most for longest first, small and quick ones last.

    Args:
        holdings: What the clients hold.
        excess: Number of bytes to release.
        smallest: Holdings of fewer bytes are not chosen.

    Returns:
        Indexes of the chosen holdings in the order of their refusal.
    """
    ranked = sorted(
        (index for index, item in enumerate(holdings) if item.refusable >= smallest),
        key=lambda index: -holdings[index].refusable * (holdings[index].held_s + MIN_HELD_S),
    )
    chosen: list[int] = []
    for index in ranked:
        if excess <= 0:
            break
        chosen.append(index)
        excess -= holdings[index].refusable
    return chosen


class Holder(ABC):
    """A client for which the process holds memory.

    Attributes:
        charged: Number of bytes that are charged to the budget.
    """

    charged: int = 0

    @abstractmethod
    def holding(self) -> Holding:
        """Return what can be released by a refusal."""

    @abstractmethod
    def refuse_for_memory(self) -> None:
        """Refuse the request or end the answer, and release what is held."""


class MemoryBudget:
    """Budget of one process.

    Args:
        capacity: Size in bytes, or None for no limit.

    Attributes:
        held: Number of bytes that are held.
        refused: Number of refusals.
    """

    def __init__(self, capacity: int | None = None) -> None:
        self.capacity = capacity
        self.held = 0
        self.refused = 0
        self._holders: list[Callable[[], Iterable[Holder]]] = []
        self._refusing = False

    def add_holders(self, holders: Callable[[], Iterable[Holder]]) -> None:
        """Register a function that returns holders, among which those to refuse are chosen."""
        self._holders.append(holders)

    @property
    def strained(self) -> bool:
        """True if so much is held that slow clients are not waited for."""
        return self.capacity is not None and self.held > STRAINED_SHARE * self.capacity

    def can_hold(self, size: int) -> bool:
        """Tell whether a holder of a size has room if nothing else is held."""
        return size <= self._limit(size)

    def charge(self, holder: Holder, size: int) -> None:
        """Set what is held for a holder; refuses holders if the budget is used up."""
        grown = size - holder.charged
        holder.charged = size
        self.held += grown
        if self.capacity is None or grown <= 0 or self._refusing:
            return
        limit = self._limit(size)
        if self.held > limit:
            excess = self.held - limit + SLACK_SHARE * self.capacity
            self._refuse(int(excess), SMALL_BYTES if size > SMALL_BYTES else 1)

    def reserve(self, holder: Holder, size: int) -> bool:
        """Set what is held for a holder if there is room for it; others may be refused for it.

        Returns:
            False if there is no room; the holder then keeps what it had.
        """
        before = holder.charged
        self.charge(holder, size)
        if holder.charged != size:
            return False  # It was refused itself.
        if self.held <= self._limit(size):
            return True
        self.charge(holder, before)
        return False

    def _limit(self, size: int) -> float:
        """Return how much may be held when a holder of a size takes more."""
        if self.capacity is None:
            return float("inf")
        return LARGE_SHARE * self.capacity if size > SMALL_BYTES else self.capacity

    def _refuse(self, excess: int, smallest: int) -> None:
        holders = [holder for source in self._holders for holder in source()]
        chosen = choose_refused([holder.holding() for holder in holders], excess, smallest)
        self._refusing = True
        try:
            for index in chosen:
                self.refused += 1
                holders[index].refuse_for_memory()
        finally:
            self._refusing = False
