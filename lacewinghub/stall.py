"""Limits on the silence of an endpoint whose connection stays open.

A host that fails or is cut off does not close its connections, and a frozen runner keeps them open.
An answer that waits for such an endpoint continues at another one once the silence is far longer
than what the pool has shown lately. The number of moves is bounded per request and by the retry
budget, since a move is wrong when the endpoint is only slow; beyond the bounds the request waits
for the idle timeout of the client.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .dependencies import EndpointMonitor
from .endpoint import StallPolicy
from .request import AttemptResult

# Three times the target of 1.6 s to the first token, and 33 times that of 61 ms between tokens.
FIRST_TOKEN_FLOOR_S = 5.0
BETWEEN_TOKENS_FLOOR_S = 2.0
# Multiples of the largest recent time. Times between tokens are means over an answer, of which a
# single pause, such as the prefill of another prompt in the batch, is a large multiple.
FIRST_TOKEN_FACTOR = 2.0
BETWEEN_TOKENS_FACTOR = 40.0
SAMPLES = 64
# Before this many answers of a pool are known, a first token may take UNKNOWN_S.
MIN_SAMPLES = 8
UNKNOWN_S = 10.0


@dataclass(slots=True)
class _Times:
    """Recent times of one pool, in seconds."""

    first_token: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    between_tokens: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))


class StallLimits(EndpointMonitor):
    """Learns for each pool how long its endpoints are silent when they work."""

    def __init__(self) -> None:
        self._pools: dict[str, _Times] = {}

    def on_attempt_ended(self, pool: str, endpoint: str, seen: AttemptResult) -> None:
        """Note what was measured during one attempt."""
        times = self._pools.setdefault(pool, _Times())
        if seen.first_token_s is not None:
            times.first_token.append(seen.first_token_s)
        if seen.between_tokens_s is not None:
            times.between_tokens.append(seen.between_tokens_s)

    def on_endpoint_leaving(self, endpoint: str) -> None:
        """Note that the endpoint announced that it is leaving."""

    def first_token_s(self, pool: str) -> float:
        """Return how long to wait for the first token, in seconds."""
        recent = self._of(pool).first_token
        if len(recent) < MIN_SAMPLES:
            return UNKNOWN_S
        return max(FIRST_TOKEN_FLOOR_S, FIRST_TOKEN_FACTOR * max(recent))

    def between_tokens_s(self, pool: str) -> float:
        """Return how long to wait for the next token, in seconds."""
        recent = self._of(pool).between_tokens
        return max(BETWEEN_TOKENS_FLOOR_S, BETWEEN_TOKENS_FACTOR * max(recent, default=0.0))

    def retain(self, pools: Iterable[str]) -> None:
        """Forget all pools except those named, which the tables in force hold."""
        for name in set(self._pools) - set(pools):
            del self._pools[name]

    def _of(self, pool: str) -> _Times:
        return self._pools.get(pool) or _Times()


class StallWatch(StallPolicy):
    """Applies the limits to one attempt of a request.

    Args:
        limits: What is known about the pool.
        pool: Name of the pool.
        may_move: Takes one move to another endpoint; False if none is permitted.
    """

    def __init__(self, limits: StallLimits, pool: str, may_move: Callable[[], bool]) -> None:
        self._limits = limits
        self._pool = pool
        self._may_move = may_move

    def timeout_s(self, started: bool) -> float:
        """Return the longest silence before (False) or after the first token, in seconds."""
        if started:
            return self._limits.between_tokens_s(self._pool)
        return self._limits.first_token_s(self._pool)

    def should_abandon(self) -> bool:
        """Tell whether to give up the endpoint, and take one move if so."""
        return self._may_move()
