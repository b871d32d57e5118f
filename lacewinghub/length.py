"""Estimates output lengths from those of earlier answers."""

from bisect import bisect_left, insort
from collections import deque

WINDOW = 128  # Number of latest answers that count, per class and workspace.
MIN_SAMPLES = 8  # With fewer samples of a workspace, the estimate of the whole class is used.
DEFAULT_TOKENS = 128.0
MAX_KEYS = 4096  # Limits the memory used with thousands of workspaces.


class _Window:
    """Sliding window over output lengths that returns their quantiles."""

    __slots__ = ("_order", "_sorted")

    def __init__(self) -> None:
        self._order: deque[int] = deque()
        self._sorted: list[int] = []

    def add(self, tokens: int) -> None:
        self._order.append(tokens)
        insort(self._sorted, tokens)
        if len(self._order) > WINDOW:
            del self._sorted[bisect_left(self._sorted, self._order.popleft())]

    def quantile(self, fraction: float) -> float:
        index = min(len(self._sorted) - 1, int(fraction * len(self._sorted)))
        return float(self._sorted[index])

    def __len__(self) -> int:
        return len(self._order)


class LengthEstimator:
    """Estimates quantiles of the output length, in tokens, by request class and workspace."""

    def __init__(self) -> None:
        self._windows: dict[tuple[str, str], _Window] = {}
        self._classes: dict[str, _Window] = {}

    def add(self, request_class: str, workspace: str, tokens: int) -> None:
        """Add the length of a finished answer.

        Args:
            request_class: Class of the request.
            workspace: Workspace of the client.
            tokens: Length of the answer, in tokens.
        """
        key = (request_class, workspace)
        window = self._windows.pop(key, None) or _Window()
        self._windows[key] = window
        window.add(tokens)
        self._classes.setdefault(request_class, _Window()).add(tokens)
        if len(self._windows) > MAX_KEYS:
            del self._windows[next(iter(self._windows))]

    def quantile(self, request_class: str, workspace: str, fraction: float) -> float:
        """Return a quantile of the output length.

        Args:
            request_class: Class of the request.
            workspace: Workspace of the client.
            fraction: Which quantile, from 0 to 1.

        Returns:
            Number of tokens. With too few samples of the workspace, the quantile of the whole
            class; without any, ``DEFAULT_TOKENS``.
        """
        window = self._windows.get((request_class, workspace))
        if window is None or len(window) < MIN_SAMPLES:
            window = self._classes.get(request_class)
        return DEFAULT_TOKENS if window is None else window.quantile(fraction)
