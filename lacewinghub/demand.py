"""Measures the demand for pools whose runners can be ordered, for the holder of the duties."""

import asyncio
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .duties import ReportContributor
from .local import PoolState
from .message import LeaderReport, PoolDemand
from .request import Request

# Time constant of the exponential decay of the rates, in seconds: short enough to show a burst
# before runners ordered for it could serve, long enough for the few requests of one node.
WINDOW_S = 3.0


@dataclass(slots=True)
class _PoolRates:
    """Decayed sums of one pool, in the unit of the name per window."""

    since: float
    updated: float
    arrivals: float = 0.0
    prompt_tokens: float = 0.0
    output_tokens: float = 0.0
    on_time: float = 0.0
    late: float = 0.0
    refused: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp((self.updated - now) / WINDOW_S)
        self.updated = now
        self.arrivals *= factor
        self.prompt_tokens *= factor
        self.output_tokens *= factor
        self.on_time *= factor
        self.late *= factor
        self.refused *= factor

    def weight_s(self, now: float) -> float:
        """Return the seconds that the sums stand for, which are fewer than the window at first."""
        return max(0.1, WINDOW_S * -math.expm1((self.since - now) / WINDOW_S))


@dataclass(slots=True)
class DemandMeter(ReportContributor):
    """Measures the demand at this node.

    Attributes:
        pools: Returns the names of the pools to report.
        state: Returns the queue and the requests in flight of a pool.
    """

    pools: Callable[[], Iterable[str]]
    state: Callable[[str], PoolState]
    _rates: dict[str, _PoolRates] = field(default_factory=dict)

    def record_arrival(self, req: Request) -> None:
        """Record that a request arrived."""
        rates = self._of(req.pool)
        rates.arrivals += 1
        rates.prompt_tokens += req.proxy.prompt_tokens if req.proxy is not None else 0
        rates.output_tokens += req.max_tokens

    def record_first_event(self, req: Request, first_s: float) -> None:
        """Record that the first event of an answer was passed on.

        Args:
            req: The request.
            first_s: Time from the arrival of the request to the event, in seconds; infinite if the
                deadline passed before it.
        """
        target_s = req.target.first_token_s
        if target_s is None:
            return
        if first_s <= target_s:
            self._of(req.pool).on_time += 1
        else:
            self._of(req.pool).late += 1

    def record_refusal(self, req: Request) -> None:
        """Record that a request was refused for want of capacity."""
        self._of(req.pool).refused += 1

    def fill_report(self, report: LeaderReport) -> None:
        """Add the demand for each pool whose runners can be ordered."""
        now = asyncio.get_running_loop().time()
        for pool in self.pools():
            rates = self._of(pool)
            seconds = rates.weight_s(now)
            state = self.state(pool)
            report.demand.append(
                PoolDemand(
                    pool,
                    arrivals_per_s=rates.arrivals / seconds,
                    prompt_tokens_per_s=rates.prompt_tokens / seconds,
                    output_tokens_per_s=rates.output_tokens / seconds,
                    queued=len(state.queue),
                    in_flight=state.in_flight.total(),
                    on_time_per_s=rates.on_time / seconds,
                    late_per_s=rates.late / seconds,
                    refused_per_s=rates.refused / seconds,
                )
            )

    def _of(self, pool: str) -> _PoolRates:
        now = asyncio.get_running_loop().time()
        rates = self._rates.get(pool)
        if rates is None:
            rates = self._rates[pool] = _PoolRates(now, now)
        else:
            rates.decay(now)
        return rates
