"""Checks recorded histories against the guarantees of the design page, section 1.2.

The evidence is the merged history of all nodes, the callers' own records and the ledgers of the
services, see ``evidence``.
"""

import math
from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from dataclasses import dataclass

from .errors import ExecutionStatus
from .evidence import CallEnd, CallRecord, Evidence, Execution
from .history import Event, EventKind

# Records of one machine are written within this time of what they describe.
CLOCK_S = 0.01


@dataclass(frozen=True, slots=True)
class GuaranteeBounds:
    """Times in seconds and shares that the guarantees state.

    Attributes:
        propagation_s: Propagation delay between nodes.
        leaving_s: From the first sign that an endpoint leaves to the last work it receives.
        config_s: From the acceptance of a change to its use at every node.
        min_share: Share of the finished requests of a pool that each tier completes.
        share_window_s: Time over which the share is measured; longer than any answer.
        floor_decay_s: Longest time in which a floor returns to the lowest tier: 2 s for each of 7
            tiers and the propagation delay.
    """

    propagation_s: float = 1.0
    leaving_s: float = 3.0
    config_s: float = 4.0
    min_share: float = 0.02
    share_window_s: float = 30.0
    floor_decay_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken guarantee."""

    rule: str
    time: float
    message: str


class Rule(ABC):
    """Checks one guarantee.

    Attributes:
        name: Short name.
        guarantee: Number in section 1.2.
    """

    name: str
    guarantee: int

    def __init__(self, bounds: GuaranteeBounds) -> None:
        self.bounds = bounds

    @abstractmethod
    def check(self, evidence: Evidence) -> list[Violation]:
        """Return what breaks the guarantee; events are ordered by time."""

    def broken(self, time: float, message: str) -> Violation:
        """Build a violation of this rule."""
        return Violation(self.name, time, message)


class TierOrder(Rule):
    """No request is shed while a lower tier of its pool is admitted anywhere.

    An admission counts when it comes more than ``propagation_s`` after the arrival of the shed
    request. One through the starvation quota does not count.
    """

    name, guarantee = "tier_order", 1

    def check(self, evidence: Evidence) -> list[Violation]:
        """See ``Rule.check``."""
        admitted: dict[str, list[Event]] = defaultdict(list)
        for event in evidence.events_of(EventKind.ADMITTED):
            if not event.quota:
                admitted[event.pool].append(event)
        found = []
        for shed in evidence.events_of(EventKind.SHED):
            start = shed.arrived + self.bounds.propagation_s
            for event in admitted[shed.pool]:
                if event.tier > shed.tier and start < event.time < shed.time:
                    found.append(self._violation(shed, event))
                    break
        return found

    def _violation(self, shed: Event, event: Event) -> Violation:
        return self.broken(
            shed.time,
            f"request {shed.request} of tier {shed.tier} was shed at node {shed.node}, but request"
            f" {event.request} of tier {event.tier} was admitted at node {event.node}"
            f" {event.time - shed.arrived:.3f} s after its arrival",
        )


class FullQueue(Rule):
    """No arrival is refused while a lower tier waits in the same queue.

    A refusal by the floor is permitted while, at some node, a request at the floor or above waited
    within ``floor_decay_s``: the arrival is then refused in favour of that higher tier.
    """

    name, guarantee = "full_queue", 2

    def check(self, evidence: Evidence) -> list[Violation]:
        """See ``Rule.check``."""
        waits = _waits(evidence)
        found = []
        for shed in evidence.events_of(EventKind.SHED):
            if shed.time - shed.arrived > CLOCK_S or not shed.arrived:
                continue
            if shed.floor and self._is_floor_needed(shed, waits):
                continue
            for event, end in waits[shed.node, shed.pool]:
                waited = event.time < shed.time - CLOCK_S and shed.time + CLOCK_S < end
                if event.tier > shed.tier and not event.quota and waited:
                    found.append(self._violation(shed, event))
                    break
        return found

    def _violation(self, shed: Event, event: Event) -> Violation:
        return self.broken(
            shed.time,
            f"request {shed.request} of tier {shed.tier} was refused on arrival at node {shed.node}"
            f" while request {event.request} of tier {event.tier} waited there",
        )

    def _is_floor_needed(
        self, shed: Event, waits: dict[tuple[str, str], list[tuple[Event, float]]]
    ) -> bool:
        start = shed.time - self.bounds.floor_decay_s
        return any(
            event.tier <= shed.floor and event.time < shed.time and end > start
            for (_, pool), items in waits.items()
            if pool == shed.pool
            for event, end in items
        )


class MinimumShare(Rule):
    """Every class with demand completes the stated share of its pool's requests.

    A class has demand in a window when requests of it arrive in each third of the window. Classes
    of one tier share the share of the tier.
    """

    name, guarantee = "minimum_share", 2

    def check(self, evidence: Evidence) -> list[Violation]:
        """See ``Rule.check``."""
        arrived = list(evidence.events_of(EventKind.ARRIVED))
        if not arrived:
            return []
        window = self.bounds.share_window_s
        start, found = arrived[0].time, []
        while start + window <= arrived[-1].time:
            found += self._check_window(evidence, start, start + window)
            start += window
        return found

    def _check_window(self, evidence: Evidence, start: float, end: float) -> list[Violation]:
        third = (end - start) / 3
        thirds: dict[tuple[str, int, str], set[int]] = defaultdict(set)
        for event in evidence.events_of(EventKind.ARRIVED):
            if start <= event.time < end:
                group = (event.pool, event.tier, event.request_class)
                thirds[group].add(int((event.time - start) / third))
        done: Counter[tuple[str, int, str]] = Counter()
        total: Counter[str] = Counter()
        for event in evidence.events_of(EventKind.FINISHED):
            if start <= event.time < end:
                done[event.pool, event.tier, event.request_class] += 1
                total[event.pool] += 1
        wanted = [group for group, seen in thirds.items() if len(seen) == 3]
        classes = Counter((pool, tier) for pool, tier, _ in wanted)
        found = []
        for pool, tier, name in wanted:
            least = math.floor(total[pool] * self.bounds.min_share / classes[pool, tier])
            if done[pool, tier, name] < least:
                found.append(
                    self.broken(
                        start,
                        f"class {name!r} of tier {tier} finished {done[pool, tier, name]} of"
                        f" {total[pool]} requests of pool {pool!r} in {end - start:.0f} s,"
                        f" fewer than {least}",
                    )
                )
        return found


class CompleteAnswers(Rule):
    """An answer that is presented as finished is the one that the endpoint generated."""

    name, guarantee = "complete_answers", 3

    def check(self, evidence: Evidence) -> list[Violation]:
        """See ``Rule.check``."""
        found = []
        for call in evidence.calls:
            if call.end is CallEnd.SILENT:
                found.append(self.broken(call.ended, f"{_name(call)} ended without end or error"))
            elif call.end is CallEnd.FINISHED and call.answer != call.expected:
                found.append(
                    self.broken(
                        call.ended,
                        f"{_name(call)} finished with {len(call.answer)} characters instead of the"
                        f" {len(call.expected)} that were generated, or with other ones",
                    )
                )
            elif call.end is not CallEnd.FINISHED and not call.expected.startswith(call.answer):
                found.append(self.broken(call.ended, f"{_name(call)} received foreign tokens"))
        return found


class NotRunMeansNotExecuted(Rule):
    """After the answer "not run" the service has not executed the key and does not do so later.

    An execution may belong to another call with the same key whose outcome was not "not run" and
    that was in progress at that time or lost its connection before it.
    """

    name, guarantee = "not_run", 4

    def check(self, evidence: Evidence) -> list[Violation]:
        """See ``Rule.check``."""
        executed: dict[str, list[Execution]] = defaultdict(list)
        for item in evidence.executions:
            executed[item.key].append(item)
        others: dict[str, list[CallRecord]] = defaultdict(list)
        for call in evidence.calls:
            if call.key and not _is_not_run(call):
                others[call.key].append(call)
        found = []
        for call in evidence.calls:
            if not call.key or not _is_not_run(call) or call.end is not CallEnd.ERROR:
                continue
            for item in executed[call.key]:
                if item.time < call.sent - CLOCK_S:
                    found.append(self._violation(call, item, "before"))
                elif not any(_may_cause(other, item) for other in others[call.key]):
                    found.append(self._violation(call, item, "with no other call that explains it"))
        return found + self._check_runners(evidence)

    def _check_runners(self, evidence: Evidence) -> list[Violation]:
        kinds = (EventKind.RESUMED, EventKind.CRASHED, EventKind.FINISHED)
        ran = {event.request: event for event in evidence.events_of(*kinds) if event.request}
        return [
            self.broken(call.ended, f"{_name(call)} was answered {call.code!r} (not run) but ran")
            for call in evidence.calls
            if call.end is CallEnd.ERROR and _is_not_run(call) and call.request in ran
        ]

    def _violation(self, call: CallRecord, item: Execution, how: str) -> Violation:
        return self.broken(
            call.ended,
            f"{_name(call)} was answered {call.code!r} (not run), but endpoint {item.endpoint}"
            f" executed key {item.key!r} {how}",
        )


class AtMostOnce(Rule):
    """No key is executed twice."""

    name, guarantee = "at_most_once", 5

    def check(self, evidence: Evidence) -> list[Violation]:
        """See ``Rule.check``."""
        times: dict[str, list[Execution]] = defaultdict(list)
        for item in evidence.executions:
            if item.key:
                times[item.key].append(item)
        return [
            self.broken(items[1].time, f"key {key!r} was executed {len(items)} times")
            for key, items in times.items()
            if len(items) > 1
        ]


class LeavingEndpoints(Rule):
    """A leaving endpoint receives no new work after ``leaving_s``.

    A node that starts or wakes up has the same time to learn of it.
    """

    name, guarantee = "leaving_endpoint", 6

    def check(self, evidence: Evidence) -> list[Violation]:
        """See ``Rule.check``."""
        left: dict[str, float] = {}
        ready: dict[str, float] = {}
        found = []
        for event in evidence.events:
            if event.kind is EventKind.LEAVING:
                left.setdefault(event.endpoint, event.time)
            elif event.kind is EventKind.RETURNED:
                left.pop(event.endpoint, None)
            elif event.kind in (EventKind.STARTED, EventKind.WOKEN):
                ready[event.node] = event.time
            elif event.kind in (EventKind.DISPATCHED, EventKind.RESUMED) and event.endpoint in left:
                known = max(left[event.endpoint], ready.get(event.node, 0.0))
                if event.time > known + self.bounds.leaving_s:
                    found.append(self._violation(event, left[event.endpoint]))
        return found

    def _violation(self, event: Event, left: float) -> Violation:
        return self.broken(
            event.time,
            f"node {event.node} sent request {event.request} to endpoint {event.endpoint}"
            f" {event.time - left:.3f} s after it began to leave",
        )


class PlannedStop(Rule):
    """A planned stop interrupts no request."""

    name, guarantee = "planned_stop", 7
    ENDS = (EventKind.FINISHED, EventKind.SHED, EventKind.FAILED, EventKind.CANCELLED)

    def check(self, evidence: Evidence) -> list[Violation]:
        """See ``Rule.check``."""
        killed = {event.node for event in evidence.events_of(EventKind.KILLED)}
        stops = {event.node: event.time for event in evidence.events_of(EventKind.STOPPING)}
        ends = {event.node: event.time for event in evidence.events_of(EventKind.STOPPED)}
        found = []
        for node in set(stops) - killed:
            found += self._check_events(evidence, node, stops[node])
            found += self._check_calls(evidence, node, ends.get(node, math.inf))
        return found

    def _check_events(self, evidence: Evidence, node: str, stop: float) -> list[Violation]:
        left = {call.request for call in evidence.calls if call.end is CallEnd.LEFT}
        open_: dict[str, Event] = {}
        found = []
        for event in evidence.events:
            if event.node != node or not event.request:
                continue
            if event.kind is EventKind.ARRIVED:
                open_[event.request] = event
            elif event.kind in self.ENDS:
                open_.pop(event.request, None)
                cancelled = event.kind is EventKind.CANCELLED and event.request not in left
                if cancelled and event.time > stop and evidence.calls:
                    found.append(
                        self.broken(
                            event.time, f"the stop of node {node} cancelled request {event.request}"
                        )
                    )
        return found + [
            self.broken(stop, f"node {node} stopped without ending request {request}")
            for request in open_
        ]

    def _check_calls(self, evidence: Evidence, node: str, end: float) -> list[Violation]:
        return [
            self.broken(call.ended, f"{_name(call)} lost its connection to stopping node {node}")
            for call in evidence.calls
            if call.node == node and call.end is CallEnd.BROKEN and call.sent < end
        ]


class Configuration(Rule):
    """An accepted version is in force at every live node within ``config_s`` and stays so.

    A node that was down or frozen has the same time from its start or its waking.
    """

    name, guarantee = "configuration", 8

    def check(self, evidence: Evidence) -> list[Violation]:
        """See ``Rule.check``."""
        nodes = {event.node for event in evidence.events_of(EventKind.CONFIG, EventKind.STARTED)}
        published = list(evidence.events_of(EventKind.PUBLISHED))
        found = []
        for node in sorted(nodes):
            events = [event for event in evidence.events if event.node == node]
            found += self._check_order(node, events)
            for change in published:
                found += self._check_change(node, events, change, evidence.events[-1].time)
        return found

    def _check_order(self, node: str, events: list[Event]) -> list[Violation]:
        newest, found = 0, []
        for event in events:
            if event.kind is not EventKind.CONFIG:
                continue
            if event.version < newest:
                found.append(
                    self.broken(
                        event.time, f"node {node} went from version {newest} to {event.version}"
                    )
                )
            newest = max(newest, event.version)
        return found

    def _check_change(
        self, node: str, events: list[Event], change: Event, last: float
    ) -> list[Violation]:
        """Follow the node's life: its deadline moves with each start and waking."""
        deadline: float | None = None
        up, version = False, 0
        for event in events:
            late = up and deadline is not None and event.time > deadline
            if late and version < change.version:
                return [self._late(node, change)]
            if event.kind in (EventKind.STARTED, EventKind.WOKEN):
                up, deadline = True, max(event.time, change.time) + self.bounds.config_s
                version = 0 if event.kind is EventKind.STARTED else version
            elif event.kind in (EventKind.KILLED, EventKind.FROZEN, EventKind.STOPPING):
                up = False
            elif event.kind is EventKind.CONFIG:
                if deadline is None:
                    up, deadline = True, max(event.time, change.time) + self.bounds.config_s
                version = max(version, event.version)
        late = up and deadline is not None and last > deadline
        return [self._late(node, change)] if late and version < change.version else []

    def _late(self, node: str, change: Event) -> Violation:
        return self.broken(
            change.time,
            f"version {change.version} was not in force at node {node} within"
            f" {self.bounds.config_s} s",
        )


RULES: tuple[type[Rule], ...] = (
    TierOrder,
    FullQueue,
    MinimumShare,
    CompleteAnswers,
    NotRunMeansNotExecuted,
    AtMostOnce,
    LeavingEndpoints,
    PlannedStop,
    Configuration,
)


def check(evidence: Evidence, bounds: GuaranteeBounds | None = None) -> list[Violation]:
    """Check all rules.

    Args:
        evidence: The records of one run, in any order.
        bounds: Times and shares, or None for those of the design page.

    Returns:
        The violations, ordered by time.
    """
    evidence.events.sort(key=lambda event: event.time)
    found = [
        violation
        for rule in RULES
        for violation in rule(bounds or GuaranteeBounds()).check(evidence)
    ]
    return sorted(found, key=lambda violation: violation.time)


def _waits(evidence: Evidence) -> dict[tuple[str, str], list[tuple[Event, float]]]:
    """Return the admitted requests by node and pool with the time at which their wait ended."""
    waiting: dict[tuple[str, str], Event] = {}
    found: dict[tuple[str, str], list[tuple[Event, float]]] = defaultdict(list)
    for event in evidence.events:
        if not event.request:
            continue
        if event.kind is EventKind.ADMITTED:
            waiting[event.node, event.request] = event
        elif event.kind is not EventKind.ARRIVED:
            start = waiting.pop((event.node, event.request), None)
            if start is not None:
                found[start.node, start.pool].append((start, event.time))
    return found


def _is_not_run(call: CallRecord) -> bool:
    return call.run is ExecutionStatus.NOT_RUN or call.end is CallEnd.NOT_CONNECTED


def _may_cause(call: CallRecord, item: Execution) -> bool:
    over = call.end in (CallEnd.FINISHED,) and call.ended < item.time - CLOCK_S
    return call.sent <= item.time + CLOCK_S and not over


def _name(call: CallRecord) -> str:
    return f"request {call.request or call.key or 'without identifier'} at node {call.node}"
