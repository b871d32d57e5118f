"""Adaptive limits: concurrent requests at an endpoint, and retries in a pool."""

from collections import deque
from dataclasses import dataclass

from .tables import Target

DECREASE = 0.8
# Minimum interval of two decreases: several answers show the same overload, which counts once.
DECREASE_EVERY_S = 1.0
EPSILON = 1e-9
START_SHARE = 0.25  # Share of the minimum that a process may use when it starts.
RATIO_PART = 0.75  # Share of the ratio of a retry rule that a node uses.


class ConcurrencyLimit:
    """Limits the concurrent requests at an endpoint so that the latency targets are met.

    The limit follows AIMD: additive increase while answers meet their targets, multiplicative
    decrease when one misses them.

    Args:
        slots: Maximum of the limit.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._value = float(slots)
        self._decreased = float("-inf")

    @property
    def value(self) -> int:
        """Maximum number of concurrent requests; at least 1."""
        return max(1, int(self._value))

    def adapt(
        self,
        first_token_s: float | None,
        between_tokens_s: float | None,
        target: Target,
        in_use: int,
        now: float,
    ) -> None:
        """Adapt the limit to the latencies of one answer.

        Args:
            first_token_s: Time from dispatch to the first token in seconds, or None.
            between_tokens_s: Mean time between tokens in seconds, or None.
            target: Latency targets of the answer.
            in_use: Number of requests at the endpoint. The limit decreases from this number if it
                is smaller, and increases only if the limit is used up.
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


def _missed(measured: float | None, target: float | None) -> bool:
    return measured is not None and target is not None and measured > target


@dataclass(frozen=True, slots=True)
class RetryRule:
    """Number of retries that all nodes together may send within any window.

    Attributes:
        ratio: Retries per request.
        minimum: Retries that are permitted in addition, whatever the number of requests.
        window_s: Length of the window, in seconds.
    """

    ratio: float
    minimum: float
    window_s: float

    def for_node(self, nodes: int) -> "RetryWindow":
        """Return the budget of one of several nodes.

        The nodes keep the rule together without exchanging messages. The ratio is used in part
        only, since some of the requests belong to an earlier window than their retries.
        """
        return RetryWindow(RATIO_PART * self.ratio, self.minimum / nodes, self.window_s)


class RetryWindow:
    """Limits the retries within a sliding window to a share of its requests plus a minimum.

    A crash of an endpoint causes many retries at the same moment; the limit allows this, since it
    applies to the window as a whole. The minimum grows during the first window, since a previous
    process may have used a part of it.

    Args:
        share: Retries per request.
        minimum: Retries that are permitted in addition, whatever the number of requests.
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
        """Count a request that is not a retry.

        Args:
            now: Loop time, in seconds.
        """
        if self._started is None:
            self._started = now
        self._requests.append(now)
        self._drop_expired(now)

    def try_spend(self, now: float) -> bool:
        """Use up one retry.

        Args:
            now: Loop time, in seconds.

        Returns:
            False if no retry is left in the window.
        """
        self._drop_expired(now)
        age_s = now - self._started if self._started is not None else 0.0
        minimum = self.minimum * min(1.0, START_SHARE + age_s / self._window_s)
        limit = self._share * len(self._requests) + minimum
        if len(self._retries) + 1 > limit + EPSILON:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()


class RetryBudget:
    """Token bucket for retries, filled by requests and at a minimum rate.

    Args:
        share: Retries per request.
        min_per_s: Retries per second that are permitted in addition.
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
        if self._tokens < 1.0 - EPSILON:
            return False
        self._tokens -= 1.0
        return True
