"""Rules for requests that cannot all be served in time.

A request waits at its node as long as it could still finish before its deadline. Those that can
still begin in time are served before those that cannot, which lose nothing more by waiting. All
functions are pure.
"""

import random

from .continuation import continues_stream
from .request import Request

# Share of the time left that the shortest possible answer may take when a request is last sent.
LAST_START_SHARE = 0.9
# A request is refused before that if its answer is predicted to take this share of the time left at
# each runner.
HOPELESS_SHARE = 1.1
# Range of the retry-after of refused requests: each tier returns after all higher ones, and within
# a tier the clients with the least time left return first.
TIER_RETRY_S = 0.6
MIN_RETRY_S = 0.2
MAX_RETRY_TIER = 4
# Random part, so that clients refused together do not return at the same moment.
RETRY_SPREAD = 0.1


def patience_s(req: Request, least_s: float, now: float) -> float:
    """Return how long after its arrival a request may wait for a runner, in seconds.

    Args:
        req: The request.
        least_s: Shortest time in which an answer could be complete.
        now: Loop time, in seconds.
    """
    assert req.proxy is not None
    limit_s = req.proxy.deadline - req.arrived
    if req.proxy.may_have_run or continues_stream(req):
        return limit_s
    return max(now - req.arrived, limit_s - least_s / LAST_START_SHARE)


def late_at(req: Request, least_first_s: float) -> float:
    """Return the loop time after which a request can no longer begin within its target."""
    if req.target.first_token_s is None:
        return float("inf")
    return req.arrived + req.target.first_token_s - least_first_s


def is_hopeless(finish_s: float, left_s: float) -> bool:
    """Return whether the earliest predicted end of an answer is too late.

    Args:
        finish_s: Time until then, in seconds.
        left_s: Time until the deadline, in seconds.
    """
    return finish_s > HOPELESS_SHARE * left_s


def retry_after_s(req: Request, now: float, rng: random.Random) -> float:
    """Return after how many seconds the client of a refused request should return.

    Args:
        req: The request.
        now: Loop time, in seconds.
        rng: Source of randomness.
    """
    assert req.proxy is not None
    left_s = max(0.0, req.proxy.client_deadline - now)
    left_share = min(1.0, left_s / req.proxy.route_timeout_s) if req.proxy.route_timeout_s else 0.0
    tier = min(MAX_RETRY_TIER, max(1, req.tier)) - 1
    delay_s = MIN_RETRY_S + TIER_RETRY_S * (tier + left_share)
    return delay_s * rng.uniform(1.0 - RETRY_SPREAD, 1.0 + RETRY_SPREAD)
