"""Detects stalled endpoints: those that send nothing although their connection stays open.

A host that fails or is cut off does not close its connections, and a frozen runner keeps them open.
An answer of such an endpoint fails over to another one when the silence is far longer than the
recent times of the pool. This is wrong if the endpoint is only slow, so the number of failovers is
limited per request and by the retry budget. Beyond these limits the request waits until the idle
timeout of the connection to the endpoint.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .dependencies import EndpointMonitor
from .endpoint import StallPolicy
from .request import AttemptResult

# Smallest limits: three times the target of 1.6 s for the first token, and 33 times the target of
# 61 ms between tokens.
FIRST_TOKEN_FLOOR_S = 5.0
BETWEEN_TOKENS_FLOOR_S = 2.0
# The limits are these multiples of the largest recent time. The times between tokens are means over
# an answer; a single pause, such as the prefill of another prompt in the batch, is many times
# longer.
FIRST_TOKEN_FACTOR = 2.0
BETWEEN_TOKENS_FACTOR = 40.0
SAMPLES = 64
# With fewer samples than this in a pool, the limit for the first token is UNKNOWN_S.
MIN_SAMPLES = 8
UNKNOWN_S = 10.0


@dataclass(slots=True)
class _Times:
    """Recent latencies of one pool, in seconds."""

    first_token: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    between_tokens: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))


class StallLimits(EndpointMonitor):
    """Derives the longest normal silence of the endpoints of each pool from recent latencies."""

    def __init__(self) -> None:
        self._pools: dict[str, _Times] = {}

    def on_attempt_ended(self, pool: str, endpoint: str, result: AttemptResult) -> None:
        """Record the latencies of an attempt."""
        times = self._pools.setdefault(pool, _Times())
        if result.first_token_s is not None:
            times.first_token.append(result.first_token_s)
        if result.between_tokens_s is not None:
            times.between_tokens.append(result.between_tokens_s)

    def on_endpoint_leaving(self, endpoint: str) -> None:
        """Do nothing: a leaving endpoint does not change the limits."""

    def first_token_s(self, pool: str) -> float:
        """Return the limit for the first token of an answer, in seconds."""
        recent = self._times(pool).first_token
        if len(recent) < MIN_SAMPLES:
            return UNKNOWN_S
        return max(FIRST_TOKEN_FLOOR_S, FIRST_TOKEN_FACTOR * max(recent))

    def between_tokens_s(self, pool: str) -> float:
        """Return the limit between two tokens of an answer, in seconds."""
        recent = self._times(pool).between_tokens
        return max(BETWEEN_TOKENS_FLOOR_S, BETWEEN_TOKENS_FACTOR * max(recent, default=0.0))

    def retain(self, pools: Iterable[str]) -> None:
        """Remove the times of all pools except those named, which are in the tables."""
        for name in set(self._pools) - set(pools):
            del self._pools[name]

    def _times(self, pool: str) -> _Times:
        return self._pools.get(pool) or _Times()


class StallWatch(StallPolicy):
    """Applies the limits to one attempt of a request.

    Args:
        limits: Limits of the pools.
        pool: Name of the pool.
        may_fail_over: Uses up one failover to another endpoint; returns False if none is permitted.
    """

    def __init__(self, limits: StallLimits, pool: str, may_fail_over: Callable[[], bool]) -> None:
        self._limits = limits
        self._pool = pool
        self._may_fail_over = may_fail_over

    def timeout_s(self, started: bool) -> float:
        """Return the maximum silence before (False) or after the first token, in seconds."""
        if started:
            return self._limits.between_tokens_s(self._pool)
        return self._limits.first_token_s(self._pool)

    def should_abandon(self) -> bool:
        """Return whether the request may fail over, and use up one failover if so."""
        return self._may_fail_over()
