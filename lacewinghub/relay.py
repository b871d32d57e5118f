"""State of distant nodes that travels through heartbeats of the nodes in between.

A node merges what its peers send and passes it on. Everything carries its age, a sequence number
or the number of hops, so that it ends when its origin no longer renews it.
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

# A relayed state is dropped when its origin has not renewed it for this long: renewals take one
# period per hop, and 330 nodes are up to 5 hops apart.
RELAY_S = 3.0
AGE_LIMIT_MS = 60_000
DIAMETER = 5
# Added to the age of an admission at each hop. Without it the age would lose the delay of each hop,
# and between nodes that tell each other it would grow more slowly than time passes.
HOP_MS = 100
# Free slots are a hint for the choice of a group. 6 entries per heartbeat of about 20 bytes take
# 2.4 KB/s at 20 heartbeats per second.
FREE_PER_BEAT = 6
# The same report reaches a node over several paths, with ages that differ by the delays.
FREE_GAP_S = 0.5
FREE_REFRESH_S = 10.0
FREE_STEPS = (0, 1, 4)
# Above the diameter; a report that goes round in a circle ends here.
MAX_HOPS = 8
# Longer than the origin of a relayed state can stay silent and be alive.
FORGET_S = 60.0


@dataclass(slots=True)
class _Floor:
    floor: int
    sent: float
    hops: int


class PressureRelay:
    """Floors and ages of admissions of all other nodes, merged into one entry per pool.

    Args:
        node: Identifier of this node.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._floors: dict[str, dict[str, _Floor]] = {}
        self._admitted: dict[str, list[float]] = {}
        self._pressed: dict[str, float] = {}

    def take(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take over what a peer sent.

        Args:
            heartbeat: Heartbeat of the peer.
            now: Loop time, in seconds.

        Returns:
            True if a floor is stricter than all known ones of its pool.
        """
        lowered = False
        for item in heartbeat.pressure:
            lowered |= self._take_floor(item.pool, heartbeat.node, _Floor(item.floor, now, 0))
            self._take_ages(item.pool, item.admit_age_ms, now)
        for relay in heartbeat.relayed:
            sent = now - max(0, relay.age_ms) / 1000
            if relay.origin not in ("", self._node):
                found = _Floor(relay.floor, sent, relay.hops)
                lowered |= self._take_floor(relay.pool, relay.origin, found)
            self._take_ages(relay.pool, relay.admit_age_ms, now)
        return lowered

    def write(self, heartbeat: Heartbeat, now: float) -> None:
        """Leave out pools without pressure and add the state of the other nodes.

        A pool takes one entry, with the stricter floor and the later admissions. Without a floor no
        node sheds, and above a floor only admissions of lower tiers are evidence against shedding
        (design, section 2.2, rule 4), so other ages are left out. A pool stays for ``RELAY_S``
        after its pressure has ended, so that the end is known at once.

        Args:
            heartbeat: Heartbeat with the own state.
            now: Loop time, in seconds.
        """
        merged = {pool: item for pool in self._pools() if (item := self._merged(pool, now))}
        own = {item.pool: item for item in heartbeat.pressure}
        for pool in own.keys() | merged.keys():
            floors = [item[pool].floor for item in (own, merged) if pool in item]
            floor = min(floors)
            if floor < MAX_TIER:
                self._pressed[pool] = now
            for ages in (item[pool].admit_age_ms for item in (own, merged) if pool in item):
                ages[:floor] = [-1] * min(floor, len(ages))
                while ages and ages[-1] < 0:
                    ages.pop()
        pressed = {pool for pool, last in self._pressed.items() if now - last < RELAY_S}
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

    def others(self, now: float) -> list[Pressure]:
        """Return the strictest floor and the last admissions at all other nodes by pool.

        The ages are reduced by what the hops may have added.
        """
        merged = [item for pool in self._pools() if (item := self._merged(pool, now))]
        margin_ms = DIAMETER * HOP_MS
        return [
            Pressure(
                item.pool,
                item.floor,
                [max(0, age - margin_ms) if age >= 0 else -1 for age in item.admit_age_ms],
            )
            for item in merged
        ]

    def _take_floor(self, pool: str, origin: str, found: _Floor) -> bool:
        """Keep the latest floor of a node; True if it is stricter than all known ones."""
        floors = self._floors.setdefault(pool, {})
        known = floors.get(origin)
        if found.hops > MAX_HOPS or (known is not None and known.sent >= found.sent):
            return False
        lowest = min((item.floor for item in floors.values()), default=MAX_TIER)
        floors[origin] = found
        return found.floor < lowest

    def _take_ages(self, pool: str, ages_ms: list[int], now: float) -> None:
        known = self._admitted.setdefault(pool, [])
        known += [float("-inf")] * (len(ages_ms) - len(known))
        for index, age_ms in enumerate(ages_ms):
            last = now - age_ms / 1000
            if age_ms >= 0 and last > known[index]:
                known[index] = last

    def _merged(self, pool: str, now: float) -> RelayedPressure | None:
        floors = self._floors.get(pool, {})
        for origin in [node for node, item in floors.items() if now - item.sent > RELAY_S]:
            del floors[origin]
        ages = [min((now - last) * 1000, 1e9) + HOP_MS for last in self._admitted.get(pool, [])]
        ages_ms = [int(age) if age < AGE_LIMIT_MS else -1 for age in ages]
        if not floors:
            # The only floor may be that of this node, for which the admissions count.
            known = max(ages_ms, default=-1) >= 0
            return RelayedPressure(pool, MAX_TIER, "", 0, 0, ages_ms) if known else None
        origin = min(floors, key=lambda node: (floors[node].floor, -floors[node].sent))
        first = floors[origin]
        age_ms = int((now - first.sent) * 1000)
        return RelayedPressure(pool, first.floor, origin, age_ms, first.hops + 1, ages_ms)

    def _pools(self) -> set[str]:
        return self._floors.keys() | self._admitted.keys()


def _latest(ages_ms: Iterable[list[int]]) -> list[int]:
    """Return the smallest age per tier; -1 where there is none."""
    columns = zip_longest(*ages_ms, fillvalue=-1)
    return [min((age for age in column if age >= 0), default=-1) for column in columns]


@dataclass(slots=True)
class _Free:
    free: int
    sent: float
    hops: int
    told: int = -1
    told_sent: float = float("-inf")
    due: bool = False


class FreeSlotRelay:
    """Free slots of runner groups, as their brokers advertise them.

    A report is passed on once, when the number of free slots has passed a bound in ``FREE_STEPS``
    or the last one passed on is older than ``FREE_REFRESH_S``.
    """

    def __init__(self) -> None:
        self._groups: dict[str, _Free] = {}

    def free_slots(self, group: str) -> int:
        """Return the last known number of free slots of a group; 0 for an unknown one."""
        known = self._groups.get(group)
        return known.free if known is not None else 0

    def take(self, heartbeat: Heartbeat, now: float) -> None:
        """Take over what a peer sent; ``now`` is the loop time in seconds."""
        for item in heartbeat.free:
            self._take(item.group, item.free, now, 0)
        for relay in heartbeat.free_elsewhere:
            sent = now - max(0, relay.age_ms) / 1000
            known = self._groups.get(relay.group)
            if known is None or sent > known.sent + FREE_GAP_S:
                self._take(relay.group, relay.free, sent, relay.hops)

    def write(self, heartbeat: Heartbeat, own: list[GroupFreeSlots], now: float) -> None:
        """Add reports of other nodes, the latest first.

        Args:
            heartbeat: Heartbeat to add them to.
            own: Groups that this node is the broker of, which it need not pass on.
            now: Loop time, in seconds.
        """
        mine = {item.group for item in own}
        due = [name for name, item in self._groups.items() if item.due and name not in mine]
        due.sort(key=lambda name: -self._groups[name].sent)
        for name in due[:FREE_PER_BEAT]:
            item = self._groups[name]
            item.due, item.told, item.told_sent = False, item.free, item.sent
            age_ms = int((now - item.sent) * 1000)
            heartbeat.free_elsewhere.append(
                RelayedFreeSlots(name, item.free, age_ms, item.hops + 1)
            )

    def _take(self, group: str, free: int, sent: float, hops: int) -> None:
        item = self._groups.setdefault(group, _Free(free, sent, hops))
        item.free, item.sent, item.hops = free, sent, hops
        news = _step(free) != _step(item.told) or sent - item.told_sent > FREE_REFRESH_S
        item.due = (item.due or news) and hops < MAX_HOPS


def _step(free: int) -> int:
    return sum(free >= bound for bound in FREE_STEPS)


@dataclass(slots=True)
class _Told:
    incarnation: int
    seq: int
    trials: dict[int, str]
    taken: float
    changed: float


class TrialRelay:
    """Trials of suspects at the other nodes, by node.

    A node takes over each sequence number of an origin at most once, so that nothing circulates.
    """

    def __init__(self) -> None:
        self._nodes: dict[str, _Told] = {}

    def take(
        self,
        node: str,
        incarnation: int,
        seq: int,
        trials: dict[int, str],
        now: float,
        direct: bool = False,
    ) -> bool:
        """Take over the trials of a node, from itself or from another one.

        Args:
            node: Identifier of the node that runs the trials.
            incarnation: Its incarnation.
            seq: Sequence number of its heartbeat.
            trials: Where it runs them, by fingerprint.
            now: Loop time, in seconds.
            direct: True if the node itself sent them; its incarnation then counts even if it is
                earlier, since the clock of a replaced host may be behind.

        Returns:
            True if they differ from those known before.
        """
        old = self._nodes.get(node)
        if old is None:
            self._nodes[node] = _Told(incarnation, seq, trials, now, now)
            return bool(trials)
        replaced = direct and incarnation != old.incarnation
        if not replaced and (incarnation, seq) <= (old.incarnation, old.seq):
            return False
        changed = trials != old.trials
        old.incarnation, old.seq, old.trials, old.taken = incarnation, seq, trials, now
        if changed:
            old.changed = now
        return changed

    def active_trials(self, now: float) -> list[tuple[str, dict[int, str]]]:
        """Return the trials by node; those of a node that does not renew them are left out."""
        return [
            (node, told.trials)
            for node, told in self._nodes.items()
            if told.trials and now - told.taken < RELAY_S
        ]

    def write(self, heartbeat: Heartbeat, now: float) -> None:
        """Add the trials of the other nodes; an end of all of them is repeated for a while."""
        for node, told in list(self._nodes.items()):
            if now - told.taken > FORGET_S:
                del self._nodes[node]
            elif now - told.taken < RELAY_S and (told.trials or now - told.changed < RELAY_S):
                items = [
                    SuspectTrial(fingerprint, where) for fingerprint, where in told.trials.items()
                ]
                heartbeat.trials.append(NodeTrials(node, told.incarnation, told.seq, items))
