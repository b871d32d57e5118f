"""Compares how much recent work of a tier each workspace has."""

import math
from dataclasses import dataclass

WINDOW_S = 20.0  # Time constant of the decay.
MAX_WORKSPACES = 1024  # With more entries than this, negligible ones are removed.
NEGLIGIBLE_WORK = 1e-3  # In tokens.
MIN_EXCESS, MAX_EXCESS = 1.0, 2.0


@dataclass(slots=True)
class _Served:
    """Work of one workspace at a loop time."""

    work: float = 0.0
    time: float = 0.0


class ServedShares:
    """Admitted work by workspace, in tokens divided by the weight, with exponential decay."""

    def __init__(self) -> None:
        self._served: dict[str, _Served] = {}

    def add(self, workspace: str, work: float, now: float) -> None:
        """Count admitted work; with 0, record only that the workspace is active.

        Args:
            workspace: Name of the workspace.
            work: Estimated tokens divided by the workspace's weight.
            now: Loop time, in seconds.
        """
        entry = self._served.setdefault(workspace, _Served(0.0, now))
        entry.work = _decayed(entry, now) + work
        entry.time = now
        if len(self._served) > MAX_WORKSPACES:
            kept = {
                name: item
                for name, item in self._served.items()
                if _decayed(item, now) > NEGLIGIBLE_WORK
            }
            self._served = kept

    def excess(self, workspace: str, now: float) -> float:
        """Return the work of a workspace relative to the mean of the active ones.

        Returns:
            Ratio from ``MIN_EXCESS`` to ``MAX_EXCESS``; 1 for the mean or less.
        """
        active = [item for item in self._served.values() if now - item.time < 2 * WINDOW_S]
        total = sum(_decayed(item, now) for item in active)
        if total <= 0.0 or workspace not in self._served:
            return 1.0
        share = _decayed(self._served[workspace], now) * len(active) / total
        return min(MAX_EXCESS, max(MIN_EXCESS, share))


def _decayed(entry: _Served, now: float) -> float:
    return entry.work * math.exp((entry.time - now) / WINDOW_S)
