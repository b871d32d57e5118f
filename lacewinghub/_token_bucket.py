"""Token bucket that limits a rate."""


class TokenBucket:
    """Permits a rate with a burst; it is full at the start.

    Args:
        per_s: Tokens added per second.
        burst: Largest number of tokens.
        now: Time of the start, in seconds of any one clock.
    """

    def __init__(self, per_s: float, burst: float, now: float = 0.0) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._updated = now

    def try_spend(self, now: float) -> bool:
        """Take one token; return False if none is left."""
        self._tokens = min(self._burst, self._tokens + (now - self._updated) * self._per_s)
        self._updated = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
