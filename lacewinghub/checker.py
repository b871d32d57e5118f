"""Checks recorded histories against the guarantees in section 1.2 of the design document.

The input is the merged history of all nodes, the records of the clients and the ledgers of the
services, see ``evidence``.
"""

import math
from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from dataclasses import dataclass

from .errors import ExecutionStatus
from .evidence import CallEnd, CallRecord, Evidence, Execution
from .history import Event, EventKind

# Clock tolerance: records of one machine are written within this time of the event they describe.
CLOCK_TOLERANCE_S = 0.01


@dataclass(frozen=True, slots=True)
class GuaranteeBounds:
    """Limits that the guarantees state; times in seconds.

    Attributes:
        propagation_s: Longest propagation delay between nodes.
        leaving_s: Longest time from the first notice that an endpoint is leaving to the last
            request that is sent to it.
        config_s: Longest time from the acceptance of a change until every node applies it.
        min_share: Smallest share of the finished requests of a pool that each tier completes.
        share_window_s: Window in which the share is measured; longer than any answer takes.
        floor_decay_s: Longest time in which the admission threshold of a pool decays to the lowest
            tier: 2 s for each of 7 tiers plus the propagation delay.
    """

    propagation_s: float = 1.0
    leaving_s: float = 3.0
    config_s: float = 4.0
    min_share: float = 0.02
    share_window_s: float = 30.0
    floor_decay_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a guarantee."""

    rule: str
    time: float
    message: str


class Rule(ABC):
    """Checks one guarantee.

    Attributes:
        name: Name of the rule.
        guarantee: Number of the guarantee in section 1.2 of the design document.
    """

    name: str
    guarantee: int

    def __init__(self, bounds: GuaranteeBounds) -> None:
        self.bounds = bounds

    @abstractmethod
    def check(self, evidence: Evidence) -> list[Violation]:
        """Return the violations of the guarantee; the events must be ordered by time."""

    def violation(self, time: float, message: str) -> Violation:
        """Build a violation of this rule."""
        return Violation(self.name, time, message)


class TierOrder(Rule):
    """No request is shed while a request of a lower tier of its pool is admitted at any node.

    Only admissions later than ``propagation_s`` after the arrival of the shed request count.
    Admissions through the starvation quota do not count.
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
        return self.violation(
            shed.time,
            f"request {shed.request} of tier {shed.tier} was shed at node {shed.node}, but request"
            f" {event.request} of tier {event.tier} was admitted at node {event.node}"
            f" {event.time - shed.arrived:.3f} s after its arrival",
        )


class FullQueue(Rule):
    """No request is refused on arrival while a request of a lower tier waits in the same queue.

    A refusal by the admission threshold (``floor``) is permitted if a request of the threshold's
    tier or a higher one waited at any node within the last ``floor_decay_s``: the capacity is then
    reserved for that higher tier.
    """

    name, guarantee = "full_queue", 2

    def check(self, evidence: Evidence) -> list[Violation]:
        """See ``Rule.check``."""
        waits = _waits_by_queue(evidence)
        found = []
        for shed in evidence.events_of(EventKind.SHED):
            if shed.time - shed.arrived > CLOCK_TOLERANCE_S or not shed.arrived:
                continue
            if shed.floor and self._is_floor_justified(shed, waits):
                continue
            for event, end in waits[shed.node, shed.pool]:
                waited = (
                    event.time < shed.time - CLOCK_TOLERANCE_S
                    and shed.time + CLOCK_TOLERANCE_S < end
                )
                if event.tier > shed.tier and not event.quota and waited:
                    found.append(self._violation(shed, event))
                    break
        return found

    def _violation(self, shed: Event, event: Event) -> Violation:
        return self.violation(
            shed.time,
            f"request {shed.request} of tier {shed.tier} was refused on arrival at node {shed.node}"
            f" while request {event.request} of tier {event.tier} waited there",
        )

    def _is_floor_justified(
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
    """Every class with demand completes the guaranteed share of its pool's requests.

    A class has demand in a window if requests of it arrive in each third of the window. The classes
    of a tier divide the share of the tier equally.
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
        demanding_groups = [group for group, seen in thirds.items() if len(seen) == 3]
        classes = Counter((pool, tier) for pool, tier, _ in demanding_groups)
        found = []
        for pool, tier, name in demanding_groups:
            required = math.floor(total[pool] * self.bounds.min_share / classes[pool, tier])
            if done[pool, tier, name] < required:
                found.append(
                    self.violation(
                        start,
                        f"class {name!r} of tier {tier} finished {done[pool, tier, name]} of"
                        f" {total[pool]} requests of pool {pool!r} in {end - start:.0f} s,"
                        f" fewer than {required}",
                    )
                )
        return found


class CompleteAnswers(Rule):
    """An answer that ends as finished is exactly the one that the endpoint generated."""

    name, guarantee = "complete_answers", 3

    def check(self, evidence: Evidence) -> list[Violation]:
        """See ``Rule.check``."""
        found = []
        for call in evidence.calls:
            if call.end is CallEnd.SILENT:
                found.append(
                    self.violation(
                        call.ended, f"{_describe(call)} ended without an end mark or an error"
                    )
                )
            elif call.end is CallEnd.FINISHED and call.answer != call.expected:
                found.append(
                    self.violation(
                        call.ended,
                        f"{_describe(call)} finished with {len(call.answer)} characters instead of"
                        f" the {len(call.expected)} that were generated, or with different ones",
                    )
                )
            elif call.end is not CallEnd.FINISHED and not call.expected.startswith(call.answer):
                found.append(
                    self.violation(
                        call.ended,
                        f"{_describe(call)} received tokens that were not generated for it",
                    )
                )
        return found


class NotRunMeansNotExecuted(Rule):
    """A key whose call was answered "not run" was not executed before and is not executed later.

    An execution is permitted if another call with the same key explains it: one whose outcome was
    not "not run" and that was in progress at that time or had lost its connection before.
    """

    name, guarantee = "not_run", 4

    def check(self, evidence: Evidence) -> list[Violation]:
        """See ``Rule.check``."""
        executed: dict[str, list[Execution]] = defaultdict(list)
        for item in evidence.executions:
            executed[item.key].append(item)
        others: dict[str, list[CallRecord]] = defaultdict(list)
        for call in evidence.calls:
            if call.key and not _is_reported_not_run(call):
                others[call.key].append(call)
        found = []
        for call in evidence.calls:
            if not call.key or not _is_reported_not_run(call) or call.end is not CallEnd.ERROR:
                continue
            for item in executed[call.key]:
                if item.time < call.sent - CLOCK_TOLERANCE_S:
                    found.append(self._violation(call, item, "before"))
                elif not any(_may_explain(other, item) for other in others[call.key]):
                    found.append(self._violation(call, item, "with no other call that explains it"))
        return found + self._check_model_requests(evidence)

    def _check_model_requests(self, evidence: Evidence) -> list[Violation]:
        kinds = (EventKind.RESUMED, EventKind.CRASHED, EventKind.FINISHED)
        executed = {event.request: event for event in evidence.events_of(*kinds) if event.request}
        return [
            self.violation(
                call.ended,
                f"{_describe(call)} was answered {call.code!r} (not run) but was executed",
            )
            for call in evidence.calls
            if call.end is CallEnd.ERROR and _is_reported_not_run(call) and call.request in executed
        ]

    def _violation(self, call: CallRecord, item: Execution, how: str) -> Violation:
        return self.violation(
            call.ended,
            f"{_describe(call)} was answered {call.code!r} (not run), but endpoint {item.endpoint}"
            f" executed key {item.key!r} {how}",
        )


class AtMostOnce(Rule):
    """No idempotency key is executed more than once."""

    name, guarantee = "at_most_once", 5

    def check(self, evidence: Evidence) -> list[Violation]:
        """See ``Rule.check``."""
        times: dict[str, list[Execution]] = defaultdict(list)
        for item in evidence.executions:
            if item.key:
                times[item.key].append(item)
        return [
            self.violation(items[1].time, f"key {key!r} was executed {len(items)} times")
            for key, items in times.items()
            if len(items) > 1
        ]


class LeavingEndpoints(Rule):
    """A leaving endpoint receives no new requests after ``leaving_s``.

    A node that starts or resumes after a suspension has the same time to learn that the endpoint is
    leaving.
    """

    name, guarantee = "leaving_endpoint", 6

    def check(self, evidence: Evidence) -> list[Violation]:
        """See ``Rule.check``."""
        leaving_since: dict[str, float] = {}
        running_since: dict[str, float] = {}
        found = []
        for event in evidence.events:
            if event.kind is EventKind.LEAVING:
                leaving_since.setdefault(event.endpoint, event.time)
            elif event.kind is EventKind.RETURNED:
                leaving_since.pop(event.endpoint, None)
            elif event.kind in (EventKind.STARTED, EventKind.WOKEN):
                running_since[event.node] = event.time
            elif (
                event.kind in (EventKind.DISPATCHED, EventKind.RESUMED)
                and event.endpoint in leaving_since
            ):
                start = max(leaving_since[event.endpoint], running_since.get(event.node, 0.0))
                if event.time > start + self.bounds.leaving_s:
                    found.append(self._violation(event, leaving_since[event.endpoint]))
        return found

    def _violation(self, event: Event, leaving_since: float) -> Violation:
        return self.violation(
            event.time,
            f"node {event.node} sent request {event.request} to endpoint {event.endpoint}"
            f" {event.time - leaving_since:.3f} s after it started leaving",
        )


class PlannedStop(Rule):
    """A graceful stop of a node interrupts no request."""

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
        disconnected = {call.request for call in evidence.calls if call.end is CallEnd.LEFT}
        open_requests: dict[str, Event] = {}
        found = []
        for event in evidence.events:
            if event.node != node or not event.request:
                continue
            if event.kind is EventKind.ARRIVED:
                open_requests[event.request] = event
            elif event.kind in self.ENDS:
                open_requests.pop(event.request, None)
                cancelled = event.kind is EventKind.CANCELLED and event.request not in disconnected
                if cancelled and event.time > stop and evidence.calls:
                    found.append(
                        self.violation(
                            event.time, f"the stop of node {node} cancelled request {event.request}"
                        )
                    )
        return found + [
            self.violation(stop, f"node {node} stopped without ending request {request}")
            for request in open_requests
        ]

    def _check_calls(self, evidence: Evidence, node: str, end: float) -> list[Violation]:
        return [
            self.violation(
                call.ended, f"{_describe(call)} lost its connection to stopping node {node}"
            )
            for call in evidence.calls
            if call.node == node and call.end is CallEnd.BROKEN and call.sent < end
        ]


class Configuration(Rule):
    """An accepted version is in force at every live node within ``config_s`` and is not reverted.

    A node that was down or suspended has the same time from its start or resumption.
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
                    self.violation(
                        event.time, f"node {node} went from version {newest} to {event.version}"
                    )
                )
            newest = max(newest, event.version)
        return found

    def _check_change(
        self, node: str, events: list[Event], change: Event, last: float
    ) -> list[Violation]:
        """Check one change at one node; its deadline restarts when the node starts or resumes."""
        deadline: float | None = None
        up, version = False, 0
        for event in events:
            late = up and deadline is not None and event.time > deadline
            if late and version < change.version:
                return [self._late_violation(node, change)]
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
        return [self._late_violation(node, change)] if late and version < change.version else []

    def _late_violation(self, node: str, change: Event) -> Violation:
        return self.violation(
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
        evidence: Records of one run, in any order.
        bounds: Limits of the guarantees, or None for those of the design document.

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


def _waits_by_queue(evidence: Evidence) -> dict[tuple[str, str], list[tuple[Event, float]]]:
    """Return the admitted requests by node and pool, each with the time at which its wait ended."""
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


def _is_reported_not_run(call: CallRecord) -> bool:
    return call.run is ExecutionStatus.NOT_RUN or call.end is CallEnd.NOT_CONNECTED


def _may_explain(call: CallRecord, item: Execution) -> bool:
    finished_before = call.end in (CallEnd.FINISHED,) and call.ended < item.time - CLOCK_TOLERANCE_S
    return call.sent <= item.time + CLOCK_TOLERANCE_S and not finished_before


def _describe(call: CallRecord) -> str:
    return f"request {call.request or call.key or 'without identifier'} at node {call.node}"
