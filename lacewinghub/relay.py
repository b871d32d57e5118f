"""State of nodes beyond the peers, relayed in the heartbeats of the nodes in between.

A node merges what its peers send and relays it. Each item has an age, a sequence number or a number
of hops, so that it expires when its origin no longer renews it.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import zip_longest

from .message import (
    GroupFreeSlots,
    Heartbeat,
    NodeTrials,
    Pressure,
    RelayedFreeSlots,
    RelayedPressure,
    SuspectTrial,
)
from .tables import MAX_TIER

# A relayed state expires when its origin has not renewed it for this long: renewals take one
# period per hop, and 330 nodes are up to 5 hops apart.
RELAY_TTL_S = 3.0
AGE_LIMIT_MS = 60_000
OVERLAY_DIAMETER = 5
# Added to the age of an admission at each hop. Without it the age would omit the delay of each hop,
# and between two nodes that relay it to each other it would grow more slowly than time passes.
HOP_DELAY_MS = 100
# Largest number of relayed reports of free slots per heartbeat. They are only a hint for the choice
# of a group. 6 entries of about 20 bytes take 2.4 KB/s at 20 heartbeats per second.
FREE_REPORTS_PER_HEARTBEAT = 6
# Reports of a group whose times differ by less than this are the same one: it reaches a node over
# several paths, with ages that differ by the delays.
DUPLICATE_REPORT_S = 0.5
FREE_REPORT_INTERVAL_S = 10.0
FREE_SLOT_THRESHOLDS = (0, 1, 4)
# Larger than the diameter; limits reports that circulate between nodes.
MAX_HOPS = 8
# Trials of a node are removed after this time; a live origin renews them sooner.
TRIAL_RETENTION_S = 60.0


@dataclass(slots=True)
class _FloorReport:
    floor: int
    sent: float
    hops: int


class PressureRelay:
    """Admission floors and admission ages of all other nodes, merged into one entry per pool.

    Args:
        node: Identifier of this node.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._floors: dict[str, dict[str, _FloorReport]] = {}
        self._last_admissions: dict[str, list[float]] = {}
        self._last_pressure: dict[str, float] = {}

    def merge_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Merge the pressure that a peer sent, of its own and of other nodes.

        Args:
            heartbeat: Heartbeat of the peer.
            now: Loop time, in seconds.

        Returns:
            True if a floor is stricter than all known ones of its pool.
        """
        lowered = False
        for item in heartbeat.pressure:
            lowered |= self._merge_floor(
                item.pool, heartbeat.node, _FloorReport(item.floor, now, 0)
            )
            self._merge_ages(item.pool, item.admit_age_ms, now)
        for report in heartbeat.relayed:
            sent = now - max(0, report.age_ms) / 1000
            if report.origin not in ("", self._node):
                found = _FloorReport(report.floor, sent, report.hops)
                lowered |= self._merge_floor(report.pool, report.origin, found)
            self._merge_ages(report.pool, report.admit_age_ms, now)
        return lowered

    def fill_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Remove pools without pressure from a heartbeat and add the state of the other nodes.

        Each pool has one entry, with the stricter floor and the later admissions. Without a floor
        no node sheds, and above a floor only admissions of lower tiers are evidence against
        shedding (design, section 2.2, rule 4), so other ages are left out. A pool is still sent for
        ``RELAY_TTL_S`` after its pressure has ended, so that the end is known at once.

        Args:
            heartbeat: Heartbeat that contains the state of this node.
            now: Loop time, in seconds.
        """
        merged = {pool: item for pool in self._pools() if (item := self._merged(pool, now))}
        own = {item.pool: item for item in heartbeat.pressure}
        for pool in own.keys() | merged.keys():
            floors = [item[pool].floor for item in (own, merged) if pool in item]
            floor = min(floors)
            if floor < MAX_TIER:
                self._last_pressure[pool] = now
            for ages in (item[pool].admit_age_ms for item in (own, merged) if pool in item):
                ages[:floor] = [-1] * min(floor, len(ages))
                while ages and ages[-1] < 0:
                    ages.pop()
        pressed = {pool for pool, last in self._last_pressure.items() if now - last < RELAY_TTL_S}
        heartbeat.pressure, heartbeat.relayed = [], []
        for pool in sorted(pressed):
            mine, other = own.get(pool), merged.get(pool)
            latest = _latest(item.admit_age_ms for item in (mine, other) if item is not None)
            if mine is not None and (other is None or mine.floor <= other.floor):
                mine.admit_age_ms = latest
                heartbeat.pressure.append(mine)
            elif other is not None:
                other.admit_age_ms = latest
                heartbeat.relayed.append(other)

    def pressure_of_others(self, now: float) -> list[Pressure]:
        """Return the strictest floor and the last admissions at all other nodes by pool.

        The ages are reduced by the most that the hops may have added.
        """
        merged = [item for pool in self._pools() if (item := self._merged(pool, now))]
        margin_ms = OVERLAY_DIAMETER * HOP_DELAY_MS
        return [
            Pressure(
                item.pool,
                item.floor,
                [max(0, age - margin_ms) if age >= 0 else -1 for age in item.admit_age_ms],
            )
            for item in merged
        ]

    def _merge_floor(self, pool: str, origin: str, found: _FloorReport) -> bool:
        """Store the latest floor of a node; return True if it is stricter than all known ones."""
        floors = self._floors.setdefault(pool, {})
        known = floors.get(origin)
        if found.hops > MAX_HOPS or (known is not None and known.sent >= found.sent):
            return False
        lowest = min((item.floor for item in floors.values()), default=MAX_TIER)
        floors[origin] = found
        return found.floor < lowest

    def _merge_ages(self, pool: str, ages_ms: list[int], now: float) -> None:
        known = self._last_admissions.setdefault(pool, [])
        known += [float("-inf")] * (len(ages_ms) - len(known))
        for index, age_ms in enumerate(ages_ms):
            last = now - age_ms / 1000
            if age_ms >= 0 and last > known[index]:
                known[index] = last

    def _merged(self, pool: str, now: float) -> RelayedPressure | None:
        floors = self._floors.get(pool, {})
        for origin in [node for node, item in floors.items() if now - item.sent > RELAY_TTL_S]:
            del floors[origin]
        ages = [
            min((now - last) * 1000, 1e9) + HOP_DELAY_MS
            for last in self._last_admissions.get(pool, [])
        ]
        ages_ms = [int(age) if age < AGE_LIMIT_MS else -1 for age in ages]
        if not floors:
            # This node may be the only one with a floor; admissions elsewhere matter for it.
            known = max(ages_ms, default=-1) >= 0
            return RelayedPressure(pool, MAX_TIER, "", 0, 0, ages_ms) if known else None
        origin = min(floors, key=lambda node: (floors[node].floor, -floors[node].sent))
        first = floors[origin]
        age_ms = int((now - first.sent) * 1000)
        return RelayedPressure(pool, first.floor, origin, age_ms, first.hops + 1, ages_ms)

    def _pools(self) -> set[str]:
        return self._floors.keys() | self._last_admissions.keys()


def _latest(ages_ms: Iterable[list[int]]) -> list[int]:
    """Return the smallest age per tier; -1 where there is none."""
    columns = zip_longest(*ages_ms, fillvalue=-1)
    return [min((age for age in column if age >= 0), default=-1) for column in columns]


@dataclass(slots=True)
class _FreeReport:
    free: int
    sent: float
    hops: int
    relayed_free: int = -1
    relayed_sent: float = float("-inf")
    due: bool = False


class FreeSlotRelay:
    """Free slots of runner groups, as their brokers advertise them.

    A report is relayed once, if the number of free slots has crossed one of the
    ``FREE_SLOT_THRESHOLDS`` since the last relayed one or that one is older than
    ``FREE_REPORT_INTERVAL_S``.
    """

    def __init__(self) -> None:
        self._groups: dict[str, _FreeReport] = {}

    def free_slots(self, group: str) -> int:
        """Return the last known number of free slots of a group; 0 for an unknown one."""
        known = self._groups.get(group)
        return known.free if known is not None else 0

    def merge_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Store the reports that a peer sent; ``now`` is the loop time in seconds."""
        for item in heartbeat.free:
            self._store(item.group, item.free, now, 0)
        for report in heartbeat.free_elsewhere:
            sent = now - max(0, report.age_ms) / 1000
            known = self._groups.get(report.group)
            if known is None or sent > known.sent + DUPLICATE_REPORT_S:
                self._store(report.group, report.free, sent, report.hops)

    def fill_heartbeat(self, heartbeat: Heartbeat, own: list[GroupFreeSlots], now: float) -> None:
        """Add reports of other nodes to a heartbeat, the latest first.

        Args:
            heartbeat: Heartbeat to add them to.
            own: Groups that this node is the broker of, which it need not relay.
            now: Loop time, in seconds.
        """
        mine = {item.group for item in own}
        due = [name for name, item in self._groups.items() if item.due and name not in mine]
        due.sort(key=lambda name: -self._groups[name].sent)
        for name in due[:FREE_REPORTS_PER_HEARTBEAT]:
            item = self._groups[name]
            item.due, item.relayed_free, item.relayed_sent = False, item.free, item.sent
            age_ms = int((now - item.sent) * 1000)
            heartbeat.free_elsewhere.append(
                RelayedFreeSlots(name, item.free, age_ms, item.hops + 1)
            )

    def _store(self, group: str, free: int, sent: float, hops: int) -> None:
        item = self._groups.setdefault(group, _FreeReport(free, sent, hops))
        item.free, item.sent, item.hops = free, sent, hops
        significant = (
            _threshold_count(free) != _threshold_count(item.relayed_free)
            or sent - item.relayed_sent > FREE_REPORT_INTERVAL_S
        )
        item.due = (item.due or significant) and hops < MAX_HOPS


def _threshold_count(free: int) -> int:
    return sum(free >= bound for bound in FREE_SLOT_THRESHOLDS)


@dataclass(slots=True)
class _TrialReport:
    incarnation: int
    seq: int
    trials: dict[int, str]
    received: float
    changed: float


class TrialRelay:
    """Trials of suspect requests at the other nodes, by node.

    A node accepts each sequence number of an origin at most once, so that nothing circulates.
    """

    def __init__(self) -> None:
        self._nodes: dict[str, _TrialReport] = {}

    def store_trials(
        self,
        node: str,
        incarnation: int,
        seq: int,
        trials: dict[int, str],
        now: float,
        direct: bool = False,
    ) -> bool:
        """Store the trials of a node, sent by that node or relayed by another one.

        Args:
            node: Identifier of the node that runs the trials.
            incarnation: Its incarnation.
            seq: Sequence number of its heartbeat.
            trials: Endpoint of each trial, by fingerprint of the request; see ``Suspect.trial``.
            now: Loop time, in seconds.
            direct: True if the node itself sent them. Its incarnation is then accepted even if it
                is earlier, because the clock of a replacement host may be behind.

        Returns:
            True if they differ from those stored before.
        """
        old = self._nodes.get(node)
        if old is None:
            self._nodes[node] = _TrialReport(incarnation, seq, trials, now, now)
            return bool(trials)
        replaced = direct and incarnation != old.incarnation
        if not replaced and (incarnation, seq) <= (old.incarnation, old.seq):
            return False
        changed = trials != old.trials
        old.incarnation, old.seq, old.trials, old.received = incarnation, seq, trials, now
        if changed:
            old.changed = now
        return changed

    def active_trials(self, now: float) -> list[tuple[str, dict[int, str]]]:
        """Return the trials by node, without those of nodes that no longer renew them."""
        return [
            (node, report.trials)
            for node, report in self._nodes.items()
            if report.trials and now - report.received < RELAY_TTL_S
        ]

    def fill_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Add the trials of the other nodes to a heartbeat; their end is repeated for a while."""
        for node, report in list(self._nodes.items()):
            if now - report.received > TRIAL_RETENTION_S:
                del self._nodes[node]
            elif now - report.received < RELAY_TTL_S and (
                report.trials or now - report.changed < RELAY_TTL_S
            ):
                items = [
                    SuspectTrial(fingerprint, where) for fingerprint, where in report.trials.items()
                ]
                heartbeat.trials.append(NodeTrials(node, report.incarnation, report.seq, items))
