"""Compares what the workspaces of a tier were served lately."""

import math
from dataclasses import dataclass

WINDOW_S = 20.0
MAX_WORKSPACES = 1024  # Entries that have faded are dropped beyond this number.
FADED = 1e-3  # Work below which an entry counts as faded, in tokens.
LEAST, MOST = 1.0, 2.0


@dataclass(slots=True)
class _Served:
    work: float = 0.0
    time: float = 0.0


class ServedShares:
    """Work admitted by workspace, in tokens over weight, fading with time."""

    def __init__(self) -> None:
        self._served: dict[str, _Served] = {}

    def add(self, workspace: str, work: float, now: float) -> None:
        """Count admitted work, or with 0 the mere presence of a workspace.

        Args:
            workspace: Name of the workspace.
            work: Estimated tokens divided by the workspace's weight.
            now: Loop time, in seconds.
        """
        entry = self._served.setdefault(workspace, _Served(0.0, now))
        entry.work = _faded(entry, now) + work
        entry.time = now
        if len(self._served) > MAX_WORKSPACES:
            kept = {name: item for name, item in self._served.items() if _faded(item, now) > FADED}
            self._served = kept

    def excess(self, workspace: str, now: float) -> float:
        """Return a workspace's share relative to the mean of those seen lately.

        Returns:
            From ``LEAST`` to ``MOST``; 1 for an equal share.
        """
        recent = [item for item in self._served.values() if now - item.time < 2 * WINDOW_S]
        total = sum(_faded(item, now) for item in recent)
        if total <= 0.0 or workspace not in self._served:
            return 1.0
        share = _faded(self._served[workspace], now) * len(recent) / total
        return min(MOST, max(LEAST, share))


def _faded(entry: _Served, now: float) -> float:
    return entry.work * math.exp((entry.time - now) / WINDOW_S)
