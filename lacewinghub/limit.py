"""Limits that adapt: concurrency of an endpoint and retries of a pool."""

from collections import deque
from dataclasses import dataclass

from .tables import Target

DECREASE = 0.8
DECREASE_EVERY_S = 1.0  # Several answers report the same overload; only the first one counts.
ROUNDING = 1e-9
START_SHARE = 0.25  # Part of the minimum that a process may use at its start.
RATIO_PART = 0.75  # Part of a ratio of retries that one node uses up.


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease on latency against the targets.

    Args:
        slots: Upper bound, in requests.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._value = float(slots)
        self._decreased = float("-inf")

    @property
    def value(self) -> int:
        """Largest number of concurrent requests; at least 1."""
        return max(1, int(self._value))

    def observe(
        self,
        first_token_s: float | None,
        between_tokens_s: float | None,
        target: Target,
        in_use: int,
        now: float,
    ) -> None:
        """Adapt to the latencies of one answer.

        Args:
            first_token_s: Time from dispatch to the first token in seconds, or None.
            between_tokens_s: Mean time between tokens in seconds, or None.
            target: Targets of the class.
            in_use: Requests at the endpoint; an idle endpoint's latencies do not lower the limit.
            now: Loop time, in seconds.
        """
        if _missed(first_token_s, target.first_token_s) or _missed(
            between_tokens_s, target.between_tokens_s
        ):
            if now - self._decreased >= DECREASE_EVERY_S:
                self._decreased = now
                self._value = max(1.0, min(self._value, in_use) * DECREASE)
            return
        if in_use >= self.value:
            self._value = min(float(self.slots), self._value + 1.0 / self._value)


def _missed(seen: float | None, target: float | None) -> bool:
    return seen is not None and target is not None and seen > target


@dataclass(frozen=True, slots=True)
class RetryRule:
    """Retries that all nodes together may send within any window.

    Attributes:
        ratio: Retries per request.
        minimum: Retries that are permitted in any case.
        window_s: Length of the window, in seconds.
    """

    ratio: float
    minimum: float
    window_s: float

    def for_node(self, nodes: int) -> "RetryWindow":
        """Return the part of one of several nodes; their sum keeps the rule without messages.

        A part of the ratio is left for requests that are counted in an earlier window.
        """
        return RetryWindow(RATIO_PART * self.ratio, self.minimum / nodes, self.window_s)


class RetryWindow:
    """Limits the retries of any window to a share of its requests and a minimum.

    The retries that a crash of one endpoint causes come all at once; within a window they may. The
    minimum grows through the first window, since a process before this one may have used it.

    Args:
        share: Retries per request.
        minimum: Retries that are permitted in any case.
        window_s: Length of the window, in seconds.
    """

    def __init__(self, share: float, minimum: float, window_s: float) -> None:
        self.minimum = minimum
        self._share = share
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._started: float | None = None

    def note_request(self, now: float) -> None:
        """Count a request that is not a retry, at a loop time in seconds."""
        if self._started is None:
            self._started = now
        self._requests.append(now)
        self._forget(now)

    def take(self, now: float) -> bool:
        """Use up one retry.

        Args:
            now: Loop time, in seconds.

        Returns:
            False if no retry is left in the window.
        """
        self._forget(now)
        age_s = now - self._started if self._started is not None else 0.0
        minimum = self.minimum * min(1.0, START_SHARE + age_s / self._window_s)
        limit = self._share * len(self._requests) + minimum
        if len(self._retries) + 1 > limit + ROUNDING:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()


class RetryBudget:
    """Token bucket for retries: a share of the requests, and a minimum rate.

    Args:
        share: Retries per request.
        min_per_s: Retries per second that are always permitted.
        burst: Size of the bucket.
    """

    def __init__(self, share: float = 0.1, min_per_s: float = 1.0, burst: float = 10.0) -> None:
        self._share = share
        self._min_per_s = min_per_s
        self._burst = burst
        self._tokens = burst
        self._time: float | None = None

    def note_request(self) -> None:
        """Count a request that is not a retry."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self, now: float) -> bool:
        """Use up one retry.

        Args:
            now: Loop time, in seconds.

        Returns:
            False if the budget is used up.
        """
        if self._time is not None:
            refill = (now - self._time) * self._min_per_s
            self._tokens = min(self._burst, self._tokens + refill)
        self._time = now
        if self._tokens < 1.0 - ROUNDING:
            return False
        self._tokens -= 1.0
        return True
