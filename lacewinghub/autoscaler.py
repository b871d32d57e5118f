"""Decides how many runners of each kind a pool should have in each availability zone.

``plan`` is a pure function: it returns what to order, and what it has learnt for the next call. It
is meant to be called about once per second.

Demand is measured in busy slots: requests at runners, waiting, and refused. How many runners serve
it well is learnt: the utilisation of the slots falls while first events miss their target, and the
prompt tokens per second that a runner carried while they did are remembered. Spot runners are
ordered beyond that, so that a reclaim leaves enough of them; the same reserve carries bursts, for
which newly ordered runners would come too late.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from .scaling import ScalingRule

# Share of slots in use, averaged over MEAN_S: the initial value and the limits within which it
# follows the share of first events within their target. At the upper limit a chat still finds a
# free slot and little prefill of others in front of it.
UTILISATION = 0.55
MIN_UTILISATION = 0.35
MAX_UTILISATION = 0.6
# Share of slots that peaks may use: requests find a slot, but answers get slower.
PEAK_UTILISATION = 0.9
# Shares of first events within their target below and above which the utilisation is changed, and
# the factors applied at each call of ``plan``, about once per second. It falls fast, because
# callers wait, and rises slowly.
LATE_SHARE = 0.95
ON_TIME_SHARE = 0.985
FALL_FACTOR = 0.97
RISE_FACTOR = 1.005
MIN_SAMPLES_PER_S = 2.0  # With fewer first events per second, their share means little.
# Below this share of slots in use, late first events have other causes than too few runners.
IDLE_UTILISATION = 0.3
# What must remain of the runners needed for the average demand, and of those needed for its peaks,
# after the sudden loss of the spot runners of no, one and two zones; two zones may be reclaimed
# within a second of each other. With MAX_UTILISATION, the average demand still fits into the slots
# until new runners have booted. A peak is short, so that a loss during it may delay answers.
MEAN_SHARES = (1.0, 0.9, 0.6)
PEAK_SHARES = (1.0, 0.8, 0.5)
# While no, one, and two or more zones lack spot runners after reclaims, the others and ordinary
# runners fill in up to these shares of the same. A burst may come before spot runners are to be had
# again, and short prompts would then wait behind long ones.
BACKED_OFF_SHARES = ((1.0, 1.0), (1.0, 0.9), (1.0, 0.9))
# Ordinary runners, which are never reclaimed, as a share of those needed for the average demand:
# enough for the highest tier if the spot runners of all zones are lost.
ORDINARY_SHARE = 0.15
# An ordinary runner is replaced by a spot one if that saves more over HORIZON_S than it costs: the
# time for which both are billed, and answers in progress that are lost with it.
HORIZON_S = 30.0
DRAIN_S = 3.0
LOST_WORK_S = 5.0
# Windows in seconds. Demand is averaged over MEAN_S, so that short fluctuations do not change the
# number of runners. The highest average within MEAN_HOLD_S and the highest demand within
# PEAK_HOLD_S count, so that runners are kept for a burst that may recur. The forecast follows the
# slope within TREND_S.
MEAN_S = 22.0
MEAN_HOLD_S = 10.0
PEAK_HOLD_S = 30.0
TREND_S = 3.0
# Largest shares of the permitted runners that are planned for demand, and for demand after a loss:
# two of three zones have room for those.
LARGEST_SHARE = 0.95
LARGEST_AFTER_LOSS = 0.6
MAX_TREND = 1.15  # Largest factor by which a forecast may exceed the demand.
LEARN_S = 15.0  # Time constant with which the busy slots per prompt token are learnt.
MAX_SERVICE_TIME_S = 10.0
# Highest prompt tokens per second and runner that may be planned, as a share of those at which
# first events were late.
TOKEN_MARGIN = 0.85
# Factor applied at each call of ``plan``, about once per second, by which ``late_tokens`` rises and
# ``good_tokens`` falls, so that old values are forgotten.
FORGET_FACTOR = 1.01
# Runners needed for prompt tokens may exceed those needed for slots by this factor: the rate at
# which first events became late may have had other causes.
MAX_TOKEN_FACTOR = 1.5
# Nothing is learnt in the first seconds, in which caches are cold, and nothing is shrunk before the
# first spot runners could replace it.
LEARN_AFTER_S = 6.0
SHRINK_AFTER_S = 4.0
# Until the demand is known for MEAN_S, it is taken to need at least this share of the runners that
# served at the start, since it may only have begun to rise.
INITIAL_SHARE = 0.35
MAX_AGE_S = 3.0  # Older data permit no scale-in.
# No scale-in for this time after a reclaim, since further zones may follow.
AFTER_RECLAIM_S = 5.0
SHRINK_INTERVAL_S = 3.0  # Leaving runners drain for this long.
SHRINK_SHARE = 1 / 3  # Largest share of the serving runners that leave at a time.
SHRINK_HYSTERESIS = 0.15
GROW_HYSTERESIS = 0.03
BURST = 1.4  # No scale-in while demand exceeds its average by this factor.
# Times without orders for a zone and kind after a reclaim and after a refused order, in seconds.
# Spot runners are not available again at once; an order that comes too early costs only one call.
RECLAIM_PAUSE_S = 8.0
REFUSED_PAUSE_S = 3.0
# After this time, a lack of spot runners is taken to last, and is filled in completely.
RECLAIM_MEMORY_S = 20.0
# A new runner is announced and read this long after it has booted, at the latest.
ANNOUNCE_S = 3.0


UNLIMITED = 1 << 20


class Group(NamedTuple):
    """The runners of one kind in an availability zone."""

    availability_zone: str
    spot: bool


@dataclass(frozen=True, slots=True)
class GroupState:
    """Runners of a group, and the last order for them.

    Attributes:
        serving: Runners that accept requests.
        leaving: Runners that have announced that they leave.
        ordered: Number in the last order that was accepted, or of the runners seen before it.
        ordered_at: Time of that order; minus infinity without one.
        unconfirmed: Number in an order that was not answered, or None.
        backoff_until: Time until which nothing is ordered, because there is nothing to be had.
    """

    serving: int = 0
    leaving: int = 0
    ordered: int = 0
    ordered_at: float = float("-inf")
    unconfirmed: int | None = None
    backoff_until: float = float("-inf")


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Demand for a pool at all live nodes; see ``PoolDemand``."""

    in_flight: float
    queued: float
    arrivals_per_s: float
    prompt_tokens_per_s: float
    on_time_per_s: float
    late_per_s: float
    refused_per_s: float

    @property
    def busy(self) -> float:
        """Slots that all requests would occupy, refused ones included."""
        waiting = self.in_flight + self.queued
        served = max(0.1, self.arrivals_per_s - self.refused_per_s)
        service_time_s = min(MAX_SERVICE_TIME_S, self.in_flight / served)
        # Refused requests return, so that they are counted several times.
        return waiting + min(waiting, self.refused_per_s * service_time_s)

    @property
    def on_time_share(self) -> float | None:
        """Share of requests with the first event within its target; None with too few of them."""
        total = self.on_time_per_s + self.late_per_s + self.refused_per_s
        return self.on_time_per_s / total if total >= MIN_SAMPLES_PER_S else None


class Needed(NamedTuple):
    """Runners needed for the average demand and for its peaks, and the number that is permitted."""

    mean: float
    peak: float
    permitted: float

    def required_after_loss(self, lost: int, backed_off: int) -> float:
        """Return the number of runners that must remain after the loss of zones.

        Args:
            lost: Number of zones that lose their spot runners.
            backed_off: Number of zones that have lost them before, so that fewer losses can follow.
        """
        if lost == 0:
            shares = BACKED_OFF_SHARES[min(backed_off, len(BACKED_OFF_SHARES) - 1)]
        elif lost + backed_off < len(MEAN_SHARES):
            shares = (MEAN_SHARES[lost + backed_off], PEAK_SHARES[lost + backed_off])
        else:
            return 0.0
        largest = LARGEST_AFTER_LOSS if lost or backed_off else LARGEST_SHARE
        wanted = max(self.mean * shares[0], self.peak * shares[1])
        return min(wanted, largest * self.permitted)


class Sample(NamedTuple):
    """Demand at a time: busy slots, the mean of them before, and prompt tokens per second."""

    time: float
    busy: float
    mean: float
    tokens_per_s: float


@dataclass(frozen=True, slots=True)
class Learnt:
    """What earlier calls of ``plan`` leave for later ones.

    Attributes:
        since: Time of the first data; None before.
        initial: Runners that served at that time.
        samples: Demand of the last seconds.
        utilisation: Share of slots to use.
        busy_per_token: Busy slots per prompt token and second; None before it is known.
        good_tokens: Highest prompt tokens per second and runner with first events on time.
        late_tokens: Lowest ones with late first events; infinite before there were any.
        shrunk_at: Time of the last order that shrank a group.
        lost_at: Time of the last reclaim.
    """

    since: float | None = None
    initial: int = 0
    samples: tuple[Sample, ...] = ()
    utilisation: float = UTILISATION
    busy_per_token: float | None = None
    good_tokens: float = 0.0
    late_tokens: float = float("inf")
    shrunk_at: float = float("-inf")
    lost_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class ScalingState:
    """All that a plan depends on; times are in seconds on one clock.

    Attributes:
        now: Current time.
        rule: Limits and prices.
        slots: Slots of a runner.
        groups: The runners, by group.
        load: Newest demand; None without enough reports.
        load_age_s: Time since then.
        learnt: What the last plan left.
        grow_only: True while runners may boot of which nothing is known.
    """

    now: float
    rule: ScalingRule
    slots: float
    groups: Mapping[Group, GroupState]
    load: PoolLoad | None
    load_age_s: float
    learnt: Learnt = field(default_factory=Learnt)
    grow_only: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """Result of a plan.

    Attributes:
        orders: Number of runners to order, by group; groups that do not change are missing.
        lost: Groups whose runners were reclaimed; nothing is left of what was ordered.
        backoff_until: Time until which these groups are left alone.
        needed: Runners that the demand needs, each well used.
        target: Number of runners that each group should have in the end.
        learnt: What to pass to the next plan.
        reason: Why nothing is shrunk, or an empty string.
    """

    orders: Mapping[Group, int]
    lost: tuple[Group, ...]
    backoff_until: float
    needed: Needed
    target: Mapping[Group, int]
    learnt: Learnt
    reason: str = ""


def plan(state: ScalingState) -> Plan:
    """Decide what to order.

    Args:
        state: All that the decision depends on.
    """
    lost = tuple(sorted(group for group in state.groups if _is_reclaimed(state, group)))
    until = state.now + RECLAIM_PAUSE_S
    groups = dict(state.groups)
    for group in lost:
        groups[group] = replace(groups[group], ordered=0, unconfirmed=None, backoff_until=until)
    learnt = replace(state.learnt, lost_at=state.now) if lost else state.learnt
    fresh = state.load is not None and state.load_age_s <= MAX_AGE_S
    state = replace(state, groups=groups, learnt=learnt)
    if fresh:
        state = replace(state, learnt=_learn(state))
    if not state.learnt.samples:
        return Plan({}, lost, until, Needed(0.0, 0.0, 0.0), {}, state.learnt, "no data")
    needed = _needed_runners(state)
    target = _compose(state, needed)
    orders = _growth(state, target)
    reason = "" if fresh else "data too old"
    reason = reason or _reason_to_wait(state)
    shrinks: dict[Group, int] = {}
    if not reason:
        shrinks = _shrinkage(state, needed, target)
    cautious = not fresh or state.now < state.learnt.lost_at + AFTER_RECLAIM_S
    for group, item in groups.items():
        if group not in orders and item.unconfirmed is not None:
            # It may have been executed; the same order again does no harm. A shrink that was not
            # answered is raised again, at most to the number before it, if the target has risen
            # since or if no runner should leave at the moment.
            wanted = item.ordered if cautious else min(item.ordered, target[group])
            orders[group] = max(item.unconfirmed, wanted)
    for group, count in shrinks.items():
        orders.setdefault(group, count)
    learnt = replace(state.learnt, shrunk_at=state.now) if shrinks else state.learnt
    return Plan(orders, lost, until, needed, target, learnt, reason)


def _is_reclaimed(state: ScalingState, group: Group) -> bool:
    """Infer from the counts whether the spot runners of a zone were reclaimed."""
    item = state.groups[group]
    if not group.spot or item.ordered == 0:
        return False
    if item.serving == 0 and item.leaving > 0 and item.leaving >= item.ordered // 2:
        return True
    # Lost without notice, or while they booted.
    return item.serving == 0 and state.now >= item.ordered_at + state.rule.boot_s + ANNOUNCE_S


def _learn(state: ScalingState) -> Learnt:
    """Return what is known with the newest demand."""
    load, learnt, now = state.load, state.learnt, state.now
    assert load is not None
    serving = sum(item.serving for item in state.groups.values())
    since, initial = learnt.since, learnt.initial
    if since is None:
        since, initial = now, serving
    step_s = min(1.0, now - learnt.samples[-1].time) if learnt.samples else 0.0
    busy, tokens = load.busy, load.prompt_tokens_per_s
    per_token = learnt.busy_per_token
    expected = busy if per_token is None else max(busy, per_token * tokens)
    recent = [item.busy for item in learnt.samples if item.time > now - MEAN_S] + [expected]
    sample = Sample(now, expected, sum(recent) / len(recent), tokens)
    kept = tuple(item for item in learnt.samples if item.time > now - PEAK_HOLD_S)
    learnt = replace(learnt, since=since, initial=initial, samples=(*kept, sample))
    if tokens > 0 and now >= since + TREND_S:
        seen = busy / tokens
        per_token = seen if per_token is None else per_token + (seen - per_token) * step_s / LEARN_S
        learnt = replace(learnt, busy_per_token=per_token)
    share = load.on_time_share
    if serving == 0 or share is None or now < since + LEARN_AFTER_S:
        return learnt
    return _learn_limits(learnt, share, load.busy / (serving * state.slots), tokens / serving)


def _learn_limits(learnt: Learnt, share: float, used: float, tokens: float) -> Learnt:
    """Adapt the utilisation and the prompt tokens per runner to the share of first events on time.

    Args:
        learnt: What is known so far.
        share: Share of first events within their target.
        used: Share of slots in use.
        tokens: Prompt tokens per second and runner.
    """
    utilisation, late, good = learnt.utilisation, learnt.late_tokens, learnt.good_tokens
    late *= FORGET_FACTOR
    good /= FORGET_FACTOR
    if share < LATE_SHARE and used > IDLE_UTILISATION:
        utilisation = max(MIN_UTILISATION, utilisation * FALL_FACTOR)
        late = min(late, tokens)
    elif share > ON_TIME_SHARE:
        utilisation = min(MAX_UTILISATION, utilisation * RISE_FACTOR)
        good = max(good, tokens)
    return replace(learnt, utilisation=utilisation, late_tokens=max(late, good), good_tokens=good)


def _needed_runners(state: ScalingState) -> Needed:
    """Return the number of runners that serve the demand within the targets."""
    learnt, now = state.learnt, state.now
    last = learnt.samples[-1]
    held = [item for item in learnt.samples if item.time > now - MEAN_HOLD_S] or [last]
    mean = max(item.mean for item in held)
    peak = max(max(item.busy for item in learnt.samples), _forecast(state))
    slots = max(1.0, state.slots)
    by_mean = mean / learnt.utilisation / slots
    by_peak = peak / PEAK_UTILISATION / slots
    tokens = sum(item.tokens_per_s for item in held) / len(held)
    if learnt.since is not None and now < learnt.since + MEAN_S:
        by_mean = max(by_mean, INITIAL_SHARE * learnt.initial)
    most = MAX_TOKEN_FACTOR * max(by_mean, by_peak)
    return Needed(
        max(1.0, by_mean, min(most, tokens / (TOKEN_MARGIN * learnt.late_tokens))),
        max(1.0, by_peak, min(most, last.tokens_per_s / learnt.late_tokens)),
        state.rule.maximum * len(_zones(state)),
    )


def _forecast(state: ScalingState) -> float:
    """Return the busy slots at the time at which runners ordered now will serve."""
    samples = state.learnt.samples
    last = samples[-1]
    before = next((item for item in samples if item.time >= last.time - TREND_S), last)
    if before is last or last.time - samples[0].time < TREND_S:
        return last.busy
    slope = (last.busy - before.busy) / (last.time - before.time)
    rise = max(0.0, slope) * (state.rule.boot_s + 1.0)
    return min(last.busy + rise, last.busy * MAX_TREND)


def _is_open(state: ScalingState, group: Group) -> bool:
    return state.now >= state.groups[group].backoff_until


def _backed_off_zones(state: ScalingState) -> int:
    """Return the number of zones without spot runners to order because of recent reclaims."""
    if state.now >= state.learnt.lost_at + RECLAIM_MEMORY_S:
        return 0
    return sum(group.spot and not _is_open(state, group) for group in state.groups)


def _zones(state: ScalingState) -> list[str]:
    """Return the availability zones, cheapest first."""
    names = {group.availability_zone for group in state.groups}
    return sorted(names, key=lambda zone: (state.rule.zone_prices.get(zone, 1.0), zone))


def _compose(state: ScalingState, needed: Needed) -> dict[Group, int]:
    """Return the cheapest numbers of runners that suffice, also after the loss of zones.

    Groups that are backed off keep what they have.
    """
    rule, zones = state.rule, _zones(state)
    spot_groups = {zone: state.groups[Group(zone, True)] for zone in zones}
    open_zones = [zone for zone in zones if _is_open(state, Group(zone, True))]
    kept = {zone: item.serving for zone, item in spot_groups.items() if zone not in open_zones}
    if not _pays_off(rule):
        open_zones = []
    rooms = {zone: rule.maximum - kept.get(zone, 0) for zone in zones}
    for zone in zones:
        if not _is_open(state, Group(zone, False)):
            rooms[zone] = min(rooms[zone], state.groups[Group(zone, False)].ordered)
    counts, spot = _cheapest(state, needed, rooms, open_zones, sum(kept.values()))
    target = {}
    for zone in zones:
        group = Group(zone, True)
        target[group] = spot if zone in open_zones else spot_groups[zone].ordered
        if not _pays_off(rule):
            target[group] = 0
        target[Group(zone, False)] = max(counts[zone], rule.minimum - target[group])
    return target


def _cheapest(
    state: ScalingState,
    needed: Needed,
    rooms: Mapping[str, int],
    open_zones: list[str],
    kept: int,
) -> tuple[dict[str, int], int]:
    """Return the numbers of ordinary runners by zone, and of spot runners in each open zone.

    Args:
        state: All that the decision depends on.
        needed: Runners that the demand needs.
        rooms: Largest number of ordinary runners by zone, cheapest zone first.
        open_zones: Zones in which spot runners are to be had.
        kept: Spot runners in the other zones.
    """
    rule, backed_off = state.rule, _backed_off_zones(state)
    floor = max(len(rooms), math.ceil(ORDINARY_SHARE * needed.mean))
    counts = dict.fromkeys(rooms, 0)
    best: tuple[float, dict[str, int], int] | None = None
    while True:
        ordinary = sum(counts.values())
        free = [zone for zone in rooms if counts[zone] < rooms[zone]]
        if ordinary >= floor or not free:
            room = min((rule.maximum - counts[zone] for zone in open_zones), default=0)
            spot = _spot_per_zone(ordinary, len(open_zones), kept, needed, backed_off)
            cost = ordinary + min(spot, room) * len(open_zones) * rule.spot_price
            if (spot <= room or not free) and (best is None or cost < best[0]):
                best = cost, dict(counts), min(spot, room)
            if best is not None and (not free or ordinary >= best[0]):
                return best[1:]
        # Evenly over the zones, the cheapest first.
        counts[min(free, key=lambda zone: counts[zone])] += 1


def _pays_off(rule: ScalingRule) -> bool:
    """Tell whether spot runners save more than the replacement of ordinary ones costs."""
    return (1.0 - rule.spot_price) * HORIZON_S > DRAIN_S + LOST_WORK_S + rule.boot_s


def _spot_per_zone(
    ordinary: int, open_zones: int, kept: int, needed: Needed, backed_off: int
) -> int:
    """Return how many spot runners each open zone needs beside the ordinary ones."""
    if not open_zones:
        return 0 if ordinary + kept >= needed.required_after_loss(0, backed_off) else UNLIMITED
    count = 0
    for lost in range(min(3, open_zones)):
        missing = needed.required_after_loss(lost, backed_off) - ordinary - (0 if lost else kept)
        count = max(count, math.ceil(missing / (open_zones - lost)))
    return count


def _growth(state: ScalingState, target: Mapping[Group, int]) -> dict[Group, int]:
    """Return the orders that add runners, or ask again for runners that did not come."""
    orders = {}
    for group, count in target.items():
        item = state.groups[group]
        if not _is_open(state, group):
            continue
        other = state.groups[Group(group.availability_zone, not group.spot)]
        # An order that was not answered may be in force.
        count = min(count, state.rule.maximum - max(other.ordered, other.unconfirmed or 0))
        # One runner more or less is no reason for an order, except where there are few.
        if count > item.ordered + (0 if item.ordered < 3 else GROW_HYSTERESIS * item.ordered + 1):
            orders[group] = count
        elif item.unconfirmed is None and _is_overdue(state, item):
            orders[group] = item.ordered
    return orders


def _is_overdue(state: ScalingState, item: GroupState) -> bool:
    """Tell whether fewer runners serve than were ordered, and a new one would serve by now."""
    overdue_at = item.ordered_at + state.rule.boot_s + ANNOUNCE_S
    # While others leave, a reclaim may be in progress.
    return item.serving < item.ordered and item.leaving == 0 and state.now >= overdue_at


def _reason_to_wait(state: ScalingState) -> str:
    """Return why no group may be shrunk now, or an empty string."""
    learnt, now = state.learnt, state.now
    last = learnt.samples[-1]
    if state.grow_only:
        return "orders of the previous holder not known"
    if learnt.since is None or now < learnt.since + SHRINK_AFTER_S:
        return "demand not known for long enough"
    if not any(sample.tokens_per_s for sample in learnt.samples):
        # No request was seen yet, which says nothing about the demand to come.
        return "no demand yet"
    if now < learnt.lost_at + AFTER_RECLAIM_S:
        return "reclaim"
    if now < learnt.shrunk_at + SHRINK_INTERVAL_S:
        return "runners drain"
    if last.busy > BURST * last.mean:
        return "burst"
    return ""


def _shrinkage(
    state: ScalingState, needed: Needed, target: Mapping[Group, int]
) -> dict[Group, int]:
    """Return the orders that remove runners, most expensive first, a few at a time."""
    serving = {group: item.serving for group, item in state.groups.items()}
    budget = max(1, int(sum(serving.values()) * SHRINK_SHARE))
    excess = {
        group: min(item.ordered, item.serving) - target[group]
        for group, item in state.groups.items()
        if _is_open(state, group) and item.unconfirmed is None
    }
    excess = {group: count for group, count in excess.items() if count > 0}
    for spot in (False, True):
        kind = [group for group in excess if group.spot is spot]
        wanted = sum(target[group] for group in target if group.spot is spot)
        if sum(excess[group] for group in kind) <= max(1.0, SHRINK_HYSTERESIS * wanted):
            for group in kind:
                del excess[group]
    prices = state.rule.zone_prices
    removed = dict.fromkeys(excess, 0)
    while budget > 0:
        candidates = [group for group in excess if removed[group] < excess[group]]
        if not candidates:
            break
        group = min(
            candidates,
            key=lambda item: (
                item.spot,
                removed[item],
                -prices.get(item.availability_zone, 1.0),
            ),
        )
        serving[group] -= 1
        if not _suffices(state, serving, needed):
            break
        removed[group] += 1
        budget -= 1
    return {group: state.groups[group].ordered - count for group, count in removed.items() if count}


def _suffices(state: ScalingState, serving: Mapping[Group, int], needed: Needed) -> bool:
    """Tell whether runners that serve now are enough, also after the loss of one or two zones."""
    spot = {group: count for group, count in serving.items() if group.spot}
    zones, backed_off = sum(_is_open(state, group) for group in spot), _backed_off_zones(state)
    remaining = sum(serving.values())
    for lost, count in enumerate([0, *sorted(spot.values(), reverse=True)[:2]]):
        remaining -= count
        # With all zones lost, only the floor of ordinary runners remains.
        if lost < max(1, zones) and remaining < needed.required_after_loss(lost, backed_off):
            return False
    return True


def all_groups(zones: Iterable[str]) -> list[Group]:
    """Return the groups of availability zones."""
    return [Group(zone, spot) for zone in sorted(zones) for spot in (False, True)]
