"""A small load model: a queue in front of runners that are ordered, reclaimed and crash."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from lacewinghub.control_api import CallOutcome, ControlApi, RunnerOrder, UsageReport
from lacewinghub.directory import PoolSpec
from lacewinghub.duties import DutyHolder, DutyRecords, NodeReports, ReceivedReport
from lacewinghub.message import LeaderReport, PoolDemand
from lacewinghub.scaling import RunnerInfo, ScalingRule

POOL = "m"
RULE = ScalingRule(1, 38, 4.0, 0.22, {"a": 0.85, "b": 1.2, "c": 1.0})
STEP_S = 0.1
NOTICE_S = 3.0
SLOTS = 12
PREFILL_PER_S = 60_000.0


class Kind(NamedTuple):
    """A class of requests: arrivals per second, prompt, length and target of the first event."""

    per_s: float
    prompt_tokens: int
    events: int
    target_s: float


DRAFT, CHAT, TAG = Kind(40.0, 6_600, 48, 2.0), Kind(60.0, 630, 36, 0.27), Kind(40, 1_800, 3, 0.42)


@dataclass
class Runner:
    zone: str
    spot: bool
    ready_at: float
    leaves_at: float | None = None
    down_until: float = 0.0
    prefilled_at: float = 0.0
    ends: list[float] = field(default_factory=list)


@dataclass
class Market(ControlApi, NodeReports):
    """Load, runners and control API.

    Attributes:
        factor: Factor of the arrivals of a kind at a time.
        answer: What the control API answers to an order at a time.
        late_s: Time after which an order is executed that was not answered; None for never.
        live: Number of live nodes, one of which reports.
        silent: True if that node does not report.
        age_s: Age of its reports, in seconds.
    """

    factor: Callable[[Kind, float], float] = lambda kind, now: 1.0
    answer: Callable[[RunnerOrder, float], CallOutcome] = lambda order, now: CallOutcome.ACCEPTED
    late_s: float | None = None
    live: int = 1
    silent: bool = False
    age_s: float = 0.0
    seed: int = 1

    def __post_init__(self) -> None:
        self.rng, self.arrivals = random.Random(self.seed), random.Random(self.seed)
        self.runners = [Runner(z, False, 0.0) for z in "abc" for _ in range(19)][1:]
        self.waiting: list[tuple[float, Kind]] = []
        self.unavailable: dict[tuple[str, bool], float] = {}
        self.orders: list[tuple[float, RunnerOrder, CallOutcome]] = []
        self.served = self.late = self.cut = self.refused = self.total = 0
        self.beyond_limits = 0
        self.cost = 0.0
        self.rates = dict.fromkeys(("arrivals", "tokens", "on_time", "late", "refused"), 0.0)

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def report_usage(self, token: int, report: UsageReport) -> CallOutcome:
        raise NotImplementedError

    async def order_runners(self, token: int, order: RunnerOrder) -> CallOutcome:
        now = self.now()
        outcome = self.answer(order, now)
        if outcome is CallOutcome.UNANSWERED:
            if self.late_s is not None:
                asyncio.get_running_loop().call_later(self.late_s, self._change, order)
            await asyncio.sleep(self.CALL_TIMEOUT_S)
        elif outcome is CallOutcome.ACCEPTED and not self._change(order):
            outcome = CallOutcome.UNAVAILABLE
        await asyncio.sleep(0.02)
        self.orders.append((now, order, outcome))
        return outcome

    def _change(self, order: RunnerOrder) -> bool:
        now, zone, spot = self.now(), order.availability_zone, order.spot
        found = [r for r in self.runners if (r.zone, r.spot) == (zone, spot) and not r.leaves_at]
        more = order.desired - len(found)
        in_zone = sum(r.zone == zone and not r.leaves_at for r in self.runners) + more
        self.beyond_limits += more != 0 and not RULE.minimum <= in_zone <= RULE.maximum
        if more > 0 and now < self.unavailable.get((zone, spot), 0.0):
            return False
        self.runners += [Runner(zone, spot, now + RULE.boot_s) for _ in range(more)]
        for runner in found[order.desired :]:
            runner.leaves_at = now + NOTICE_S
        return True

    def reclaim(self, zone: str, gone_s: float = 10.0, kinds: tuple[bool, ...] = (True,)) -> None:
        for spot in kinds:
            self.unavailable[(zone, spot)] = self.now() + gone_s
        for runner in self.runners:
            if runner.spot and runner.zone == zone:
                runner.leaves_at = min(runner.leaves_at or 1e9, self.now() + NOTICE_S)

    def crash(self, share: float, for_s: float) -> None:
        for runner in self.rng.sample(self.runners, int(share * len(self.runners))):
            runner.down_until = self.now() + for_s
            self.cut += len(runner.ends)
            runner.ends.clear()

    def release(self, every_s: float = 0.5) -> None:
        """Replace all runners, one after the other."""
        loop = asyncio.get_running_loop()
        for number, runner in enumerate(self.runners):
            loop.call_later(every_s * number, self._replace, runner)

    def _replace(self, runner: Runner) -> None:
        if runner.leaves_at is None:
            runner.leaves_at = self.now() + NOTICE_S
            self.runners.append(Runner(runner.zone, runner.spot, self.now() + RULE.boot_s))

    def specs(self) -> tuple[PoolSpec, ...]:
        return (PoolSpec(POOL, "model", RULE),)

    def inventory(self, pool: str) -> list[RunnerInfo]:
        return [
            RunnerInfo(str(id(r)), "", r.zone, SLOTS, r.spot, bool(r.leaves_at), r.leaves_at)
            for r in self.runners
            if r.ready_at <= self.now() and r.down_until <= self.now()
        ]

    def live_nodes(self) -> int:
        return self.live

    def reports(self) -> list[ReceivedReport]:
        if self.silent:
            return []
        scale = {name: value / 3.0 for name, value in self.rates.items()}
        demand = PoolDemand(
            POOL,
            scale["arrivals"],
            scale["tokens"],
            0.0,
            len(self.waiting),
            sum(len(r.ends) for r in self.runners),
            scale["on_time"],
            scale["late"],
            scale["refused"],
        )
        report = LeaderReport("n", 1, 1, 0, demand=[demand])
        return [ReceivedReport(report, self.now() - self.age_s, True)]

    async def run(self, length_s: float) -> None:
        while self.now() < length_s:
            await asyncio.sleep(STEP_S)
            self._step(self.now())

    def _step(self, now: float) -> None:
        for name in self.rates:
            self.rates[name] *= 1 - STEP_S / 3.0
        for runner in self.runners:
            runner.ends = [end for end in runner.ends if end > now]
            price = RULE.zone_prices[runner.zone] * (RULE.spot_price if runner.spot else 1.0)
            self.cost += STEP_S * price
            if runner.leaves_at and runner.leaves_at <= now:
                self._move(runner)
        self.runners = [r for r in self.runners if not r.leaves_at or r.leaves_at > now]
        for kind in (CHAT, TAG, DRAFT):
            rate = kind.per_s * self.factor(kind, now) * STEP_S
            count = int(rate) + (self.arrivals.random() < rate % 1)
            self.waiting += [(now - self.arrivals.random() * STEP_S, kind) for _ in range(count)]
            self.total += count
            self._count("arrivals", count)
            self._count("tokens", count * kind.prompt_tokens)
        usable = self._usable()
        rest = []
        for arrived, kind in sorted(self.waiting, key=lambda item: item[1].target_s):
            free = [r for r in usable if len(r.ends) < SLOTS]
            if free:
                self._start(min(free, key=lambda r: (len(r.ends), r.prefilled_at)), arrived, kind)
            elif now - arrived > kind.target_s:
                self.refused += 1
                self._count("refused", 1)
            else:
                rest.append((arrived, kind))
        self.waiting = rest

    def _start(self, runner: Runner, arrived: float, kind: Kind) -> None:
        now = self.now()
        first = runner.prefilled_at = max(now, runner.prefilled_at) + (
            kind.prompt_tokens / PREFILL_PER_S
        )
        event_s = 0.05 * (1 + len(runner.ends) / SLOTS)
        runner.ends.append(first + kind.events * event_s)
        if first - arrived <= kind.target_s:
            self.served += 1
            self._count("on_time", 1)
        else:
            self.late += 1
            self._count("late", 1)

    def _move(self, runner: Runner) -> None:
        """Move the runs of a runner that ends to others with a free slot, as the nodes do."""
        for end in runner.ends:
            others = [r for r in self._usable() if len(r.ends) < SLOTS]
            if others:
                min(others, key=lambda r: len(r.ends)).ends.append(end)
            else:
                self.cut += 1

    def _usable(self) -> list[Runner]:
        now = self.now()
        return [
            r for r in self.runners if r.ready_at <= now and not r.leaves_at and r.down_until <= now
        ]

    def _count(self, name: str, count: float) -> None:
        self.rates[name] += count

    @property
    def good(self) -> int:
        """Requests with the first event within its target whose answers were not cut."""
        return self.served - self.cut

    @property
    def on_time(self) -> float:
        return self.good / self.total


class FakeHolder(DutyHolder):
    """A lease that the test gives and takes."""

    def __init__(self) -> None:
        self.held: int | None = 1

    def token(self, margin_s: float = 1.0) -> int | None:
        return self.held

    def attach(self, duty: DutyRecords) -> None:
        return None

    async def commit(self) -> bool:
        return True
