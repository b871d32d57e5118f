"""State of the runners as all nodes see it together.

A node of a large deployment receives an answer of a given runner every 15 s, but all nodes together
receive several per second. Each answer is an observation. Nodes spread the observations that change
what is known of a runner in their heartbeats: each node passes each one on at most once, and not
at all if several peers have already told it, so that the traffic is bounded.
"""

import asyncio
import math
import random
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from .freshness import NewsFilter, random_source
from .membership import HeartbeatContributor, Members
from .message import Heartbeat, RunnerObservation
from .prediction import PREFILL_SHARE, RunnerLoad
from .selection import LoadReport, LoadReports
from .tables import Endpoint

# Time constant with which the load of a runner fades towards the mean of its pool, in seconds; it
# is about the duration of an answer.
FADE_S = 0.8
# A runner without an observation for this long, in seconds, probably has less load than the mean.
# It is not assumed to be idle, since all nodes would choose it.
UNSEEN_S = 1.0
UNSEEN_SHARE = 0.3
# A pool is placed by this state if one of its runners stated its speed within this time, in
# seconds.
STATED_S = 20.0
# Time constants of the averages of speeds, in seconds; the stated speed changes many times per
# second, and the order of the runners depends on the slow average.
SPEED_S = 1.5
SLOW_SPEED_S = 15.0
MIN_WEIGHT = 0.1
# Older observations are not used as the load of a runner, in seconds.
SHARED_AGE_S = 3.0
# A runner that refused a request is full for this long unless it states otherwise.
FULL_S = 0.4
# Measured times to the first event contain waits; the time of the prefill follows the shortest.
PREFILL_DOWN, PREFILL_UP = 0.3, 0.02
# Prompts from this length on show the speed of the prefill.
MEASURED_TOKENS = 1_500
# Assumed until an answer was measured: 60 prompt tokens per ms, 30 ms between two events.
DEFAULT_PREFILL_S = 1 / 60
DEFAULT_GAP_S = 0.03

# An own observation is news if the load differs from what was advertised by this many requests and
# by a tenth, the speed by a tenth, or if what was advertised is this old.
NEWS_REQUESTS = 2
NEWS_SHARE = 0.1
NEWS_AGE_S = 2.0
# Time between two pieces of news of the same runner unless its load changes by many requests.
NEWS_PAUSE_S = 0.4
MANY_REQUESTS = 5
# Largest age that adds to the importance of an observation, in seconds.
IMPORTANCE_AGE_S = 5.0
# An observation received from this many peers is assumed to be known to the others.
MAX_DUPLICATES = 3
# Old news is no longer passed on.
MAX_RELAY_AGE_S = 1.5
# Observations per heartbeat, about 32 bytes each, reduced as the number of nodes grows so that
# heartbeats stay within the traffic limit. A full mesh needs fewer, as nothing is relayed.
MAX_ITEMS, MIN_ITEMS, MESH_ITEMS = 8, 3, 4
ITEMS_NODES = 800
MAX_AGE_MS = 60_000
# A runner that nobody has observed for this long is forgotten, in seconds.
FORGET_S = 120.0


@dataclass(slots=True)
class _Average:
    """Average over time; after a pause the newest value counts alone.

    Attributes:
        value: The average, or None without any value.
        at: Loop time of the newest value, in seconds.
    """

    value: float | None = None
    at: float = -math.inf

    def add(self, value: float, now: float, constant_s: float) -> None:
        weight = max(MIN_WEIGHT, 1.0 - math.exp(min(0.0, self.at - now) / constant_s))
        self.value = value if self.value is None else self.value + weight * (value - self.value)
        self.at = max(self.at, now)


@dataclass(slots=True)
class _Runner:
    """What this node knows of a runner; times are loop times in seconds.

    Attributes:
        running: Requests in its batch in the newest observation.
        waiting: Requests in its own queue.
        at: Time of that observation.
        slowness: Average of the stated slowness.
        slow_average: The same over a longer time.
        gap: Average time between two events, divided by the slowness.
        prefill_s: Time to prefill 1,000 prompt tokens, divided by the slowness; None if unknown.
        full_until: Until when it counts as full after a refusal.
        sent: Times and uncached prompt tokens of what this node sent since the observation.
        unread: Prompt tokens that this node sent and of which no event has arrived.
        news: Newest observation worth telling, or None.
        news_at: Time of that observation.
        copies: Number of peers that told it.
        advertised: Load and slowness that peers probably know, and the time of that observation.
        measured: Gap and prefill time of this node's newest answers, in ms, and their time.
    """

    running: int = 0
    waiting: int = 0
    at: float = -math.inf
    slowness: _Average = field(default_factory=_Average)
    slow_average: _Average = field(default_factory=_Average)
    gap: _Average = field(default_factory=_Average)
    prefill_s: float | None = None
    full_until: float = -math.inf
    sent: deque[tuple[float, float]] = field(default_factory=deque)
    unread: float = 0.0
    news: RunnerObservation | None = None
    news_at: float = -math.inf
    copies: int = 0
    advertised: tuple[int, float, float] = (0, 0.0, -math.inf)
    measured: tuple[int, int, float] = (0, 0, -math.inf)

    def add_speed(self, slowness: float, now: float) -> None:
        self.slowness.add(slowness, now, SPEED_S)
        self.slow_average.add(slowness, now, SLOW_SPEED_S)

    def add_gap(self, gap_s: float, now: float) -> None:
        self.gap.add(gap_s / (self.slowness.value or 1.0), now, SPEED_S)

    def add_prefill(self, prefill_s: float) -> None:
        usual_s = prefill_s / (self.slowness.value or 1.0)
        if self.prefill_s is None:
            self.prefill_s = usual_s
        weight = PREFILL_DOWN if usual_s < self.prefill_s else PREFILL_UP
        self.prefill_s += weight * (usual_s - self.prefill_s)

    def importance(self, load: int, slowness: float, now: float) -> float:
        """Return how much an observation differs from what peers probably know; 0 if little."""
        advertised_load, advertised_slowness, advertised_at = self.advertised
        age_s, change = now - advertised_at, abs(load - advertised_load)
        if age_s < NEWS_PAUSE_S and change < MANY_REQUESTS:
            return 0.0
        if (
            change >= max(NEWS_REQUESTS, NEWS_SHARE * advertised_load)
            or abs(slowness - advertised_slowness) > NEWS_SHARE * advertised_slowness
            or age_s >= NEWS_AGE_S
        ):
            return change + min(age_s, IMPORTANCE_AGE_S)
        return 0.0


class RunnerStates(HeartbeatContributor):
    """The runners that state their speed, as observed by this node and by its peers.

    Args:
        members: View of the live nodes.
        rng: Source of the identifier under which this node's observations are known.
    """

    def __init__(self, members: Members, rng: random.Random | None = None) -> None:
        self._members = members
        self._source = random_source(rng or random.Random())
        self._filter = NewsFilter()
        self._number = 0
        self._runners: dict[str, _Runner] = {}
        self._stated_at = -math.inf

    def nodes(self) -> int:
        """Return the number of live nodes."""
        return max(1, len(self._members.live()))

    def is_stated(self, endpoints: Sequence[Endpoint]) -> bool:
        """Return whether one of some endpoints stated its speed to any node recently."""
        limit = _now() - STATED_S
        if self._stated_at < limit:
            return False
        return any(
            runner is not None and runner.slowness.at >= limit
            for runner in map(self._runners.get, (item.name for item in endpoints))
        )

    def on_report(
        self, endpoint: str, running: int, waiting: int, time: float, slowness: float | None
    ) -> None:
        """Record what an answer to this node states; see ``LoadReports.update``."""
        if slowness is None:
            return
        runner = self._runner(endpoint)
        self._observe(runner, running, waiting, time, slowness)
        importance = runner.importance(running + waiting, slowness, time)
        if importance:
            self._number += 1
            gap_ms, prefill_ms, measured_at = runner.measured
            if time - measured_at > NEWS_AGE_S:
                gap_ms = prefill_ms = 0
            runner.news = RunnerObservation(
                endpoint,
                self._source,
                self._number,
                0,
                running,
                waiting,
                round(slowness * 100),
                gap_ms,
                prefill_ms,
            )
            runner.news_at, runner.copies = time, 0

    def on_refused(self, endpoint: str) -> None:
        """Record that a runner refused a request because it is full."""
        runner = self._runners.get(endpoint)
        if runner is not None:
            runner.full_until = _now() + FULL_S

    def on_sent(self, endpoint: str, new_tokens: float) -> float:
        """Record that this node sends a prompt to a runner; return the loop time."""
        runner = self._runner(endpoint)
        now = _now()
        runner.sent.append((now, new_tokens))
        runner.unread += new_tokens
        return now

    def on_ended(self, endpoint: str, new_tokens: float, sent_at: float) -> None:
        """Record the end of an attempt, which the newest observation may not contain any more.

        Args:
            endpoint: Name of the runner.
            new_tokens: Prompt tokens as given to ``on_sent``.
            sent_at: Loop time that ``on_sent`` returned.
        """
        runner = self._runners.get(endpoint)
        if runner is not None and (sent_at, new_tokens) in runner.sent:
            runner.sent.remove((sent_at, new_tokens))

    def on_answer_began(self, endpoint: str, new_tokens: float, first_s: float | None) -> None:
        """Record that an answer began, or with ``first_s`` None that the attempt ended before.

        Args:
            endpoint: Name of the runner.
            new_tokens: Prompt tokens as given to ``on_sent``.
            first_s: Time from sending the prompt to the first event, in seconds.
        """
        runner = self._runner(endpoint)
        runner.unread = max(0.0, runner.unread - new_tokens)
        if first_s is not None and new_tokens >= MEASURED_TOKENS:
            prefill_s = first_s * 1000 / new_tokens
            runner.add_prefill(prefill_s)
            runner.measured = (runner.measured[0], round(prefill_s * 1000), _now())

    def on_gap(self, endpoint: str, gap_s: float) -> None:
        """Record the time between two events of an answer, in seconds."""
        runner = self._runner(endpoint)
        runner.add_gap(gap_s, _now())
        runner.measured = (round(gap_s * 1000), runner.measured[1], _now())

    def forget(self, endpoint: str) -> None:
        """Remove what is known of a runner that has restarted."""
        self._runners.pop(endpoint, None)

    def load(self, endpoint: str) -> LoadReport | None:
        """Return the load that an answer to any node stated lately, or None."""
        runner = self._runners.get(endpoint)
        if runner is None or _now() - runner.at > SHARED_AGE_S:
            return None
        return LoadReport(runner.running, runner.waiting, runner.at, self.rank_slowness(endpoint))

    def is_full(self, endpoint: str) -> bool:
        """Return whether a runner counts as full.

        It does if it refused a request within ``FULL_S`` and has not reported an empty queue since.
        """
        runner = self._runners.get(endpoint)
        return runner is not None and runner.full_until > _now()

    def rank_slowness(self, endpoint: str) -> float:
        """Return the slowness by which runners are ordered; it changes rarely and in steps."""
        runner = self._runners.get(endpoint)
        value = runner.slow_average.value if runner is not None else None
        return 1.0 if value is None else max(0.1, round(value, 1))

    def prefill_s(self, endpoints: Sequence[Endpoint]) -> float:
        """Return the time in which some runners usually prefill 1,000 prompt tokens, in seconds.

        It is the lower-third quantile of their times, because waits inflate the larger values.
        """
        found = [
            runner.prefill_s
            for runner in map(self._runners.get, (item.name for item in endpoints))
            if runner is not None and runner.prefill_s is not None
        ]
        return sorted(found)[len(found) // 3] if found else DEFAULT_PREFILL_S

    def estimate(
        self, endpoints: Sequence[Endpoint], in_flight: Mapping[str, int], prompt_tokens: float
    ) -> dict[str, RunnerLoad]:
        """Estimate the present state of some runners that serve the same kind of requests.

        Args:
            endpoints: The runners.
            in_flight: Number of this node's requests in flight, by endpoint name.
            prompt_tokens: Uncached prompt tokens of an average request there.
        """
        now = _now()
        known = [self._runners.get(item.name) or _Runner() for item in endpoints]
        weights = [math.exp(min(0.0, item.at - now) / FADE_S) for item in known]
        total = sum(weight * item.slots for weight, item in zip(weights, endpoints, strict=True))
        running = waiting = 0.0
        for weight, runner in zip(weights, known, strict=True):
            running += weight * runner.running
            waiting += weight * runner.waiting
        # Nodes that all hold their requests back receive no observations any more.
        silent_s = now - max((item.at for item in known), default=now)
        total *= math.exp(min(20.0, silent_s / FADE_S))
        running, waiting = (running / total, waiting / total) if total else (0.0, 0.0)
        gaps = [item.gap.value for item in known if item.gap.value is not None]
        gap_s = sum(gaps) / len(gaps) if gaps else DEFAULT_GAP_S
        found = {}
        for endpoint, runner, weight in zip(endpoints, known, weights, strict=True):
            sent, sent_tokens = _sent_since(runner, now)
            rest = (1 - weight) * endpoint.slots * _unseen_share(now - runner.at)
            load = weight * runner.running + rest * running
            queued = weight * runner.waiting + rest * waiting
            total_load = max(load + queued + sent, float(in_flight.get(endpoint.name, 0)))
            if runner.full_until > now:
                total_load = max(total_load, endpoint.slots + 1.0)
            load = min(total_load, float(endpoint.slots))
            queued = total_load - load
            fresh = math.exp(min(0.0, runner.gap.at - now) / FADE_S)
            usual_gap_s = fresh * (runner.gap.value or 0.0) + (1 - fresh) * gap_s
            slowness = self._slowness(runner, now)
            others = max(0.0, total_load - sent - queued)
            unread = max(runner.unread, sent_tokens) + prompt_tokens * (
                queued + PREFILL_SHARE * others
            )
            found[endpoint.name] = RunnerLoad(
                endpoint.slots, load, queued, slowness, usual_gap_s * slowness, unread
            )
        return found

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the most important news that peers do not know."""
        now, relays = _now(), self._members.is_partial_mesh()
        pending: list[tuple[float, _Runner, RunnerObservation]] = []
        for name, runner in list(self._runners.items()):
            news = runner.news
            if news is None:
                if now - max(runner.at, runner.measured[2]) > FORGET_S and not runner.unread:
                    del self._runners[name]
                continue
            own = news.source == self._source
            too_old = now - runner.news_at > MAX_RELAY_AGE_S
            if too_old or runner.copies >= MAX_DUPLICATES or not (own or relays):
                runner.news = None
                continue
            load, slowness = news.running + news.waiting, news.slowness / 100
            change = abs(load - runner.advertised[0]) + abs(slowness - runner.advertised[1])
            pending.append(
                (change + min(IMPORTANCE_AGE_S, now - runner.advertised[2]), runner, news)
            )
        pending.sort(key=lambda item: item[0], reverse=True)
        for _, runner, news in pending[: self._max_items(relays)]:
            age_ms = min(MAX_AGE_MS, max(0, round((now - runner.news_at) * 1000)))
            heartbeat.runners.append(replace(news, age_ms=age_ms))
            runner.news = None
            self._mark_advertised(runner, news, runner.news_at)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store the observations of peers that are newer than what is known."""
        for item in heartbeat.runners:
            if item.source == self._source:
                continue
            runner = self._runner(item.endpoint)
            if not self._filter.is_first((item.endpoint, item.source), item.number):
                news = runner.news
                if news is not None and (news.source, news.number) == (item.source, item.number):
                    runner.copies += 1
                continue
            at = _now() - min(MAX_AGE_MS, max(0, item.age_ms)) / 1000
            if item.slowness <= 0 or item.running < 0 or item.waiting < 0:
                continue
            if at <= runner.at:
                self._mark_advertised(runner, item, at)
                continue
            self._observe(runner, item.running, item.waiting, at, item.slowness / 100)
            if item.gap_ms > 0:
                runner.add_gap(item.gap_ms / 1000, at)
            if item.prefill_ms > 0:
                runner.add_prefill(item.prefill_ms / 1000)
            runner.news, runner.news_at, runner.copies = item, at, 1

    def _observe(
        self, runner: _Runner, running: int, waiting: int, at: float, slowness: float
    ) -> None:
        runner.add_speed(slowness, at)
        self._stated_at = max(self._stated_at, at)
        if at < runner.at:
            return
        runner.running, runner.waiting, runner.at = running, waiting, at
        if waiting == 0:
            runner.full_until = -math.inf
        while runner.sent and runner.sent[0][0] <= at:
            runner.sent.popleft()

    def _mark_advertised(self, runner: _Runner, news: RunnerObservation, at: float) -> None:
        if at > runner.advertised[2]:
            runner.advertised = (news.running + news.waiting, news.slowness / 100, at)

    def _slowness(self, runner: _Runner, now: float) -> float:
        """Return the present slowness; without recent statements the average of a longer time."""
        if runner.slowness.value is None or runner.slow_average.value is None:
            return 1.0
        fresh = math.exp(min(0.0, runner.slowness.at - now) / (2 * FADE_S))
        return fresh * runner.slowness.value + (1 - fresh) * runner.slow_average.value

    def _max_items(self, partial_mesh: bool) -> int:
        if not partial_mesh:
            return MESH_ITEMS
        return max(MIN_ITEMS, min(MAX_ITEMS, ITEMS_NODES // self.nodes()))

    def _runner(self, endpoint: str) -> _Runner:
        found = self._runners.get(endpoint)
        if found is None:
            found = self._runners[endpoint] = _Runner()
        return found


def _unseen_share(age_s: float) -> float:
    """Return the load, relative to the mean, of a runner that no node has observed for a time."""
    return max(UNSEEN_SHARE, math.exp(min(0.0, (UNSEEN_S - age_s) / UNSEEN_S)))


def _sent_since(runner: _Runner, now: float) -> tuple[int, float]:
    """Return the number and prompt tokens of what was sent since the last observation."""
    while runner.sent and runner.sent[0][0] < now - 2 * FADE_S:
        runner.sent.popleft()
    return len(runner.sent), sum(tokens for _, tokens in runner.sent)


def _now() -> float:
    return asyncio.get_running_loop().time()


class SharedLoadReports(LoadReports):
    """Load reports in the answers to this node, and to all nodes where runners state their speed.

    Args:
        states: The runners that state their speed, as all nodes see them.
    """

    def __init__(self, states: RunnerStates) -> None:
        super().__init__()
        self._states = states
        self.listen(states.on_report)

    def get(self, endpoint: str) -> LoadReport:
        """Return the latest report of an endpoint, or one with zero load if it is too old."""
        return self._states.load(endpoint) or super().get(endpoint)
