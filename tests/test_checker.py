"""Tests of the history checker: each rule with histories that keep it and that break it."""

import tempfile
import unittest
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from lacewinghub.checker import RULES, check
from lacewinghub.errors import ExecutionStatus, HistoryInvalid
from lacewinghub.evidence import (
    CallEnd,
    CallRecord,
    Evidence,
    Execution,
    read_records,
    write_records,
)
from lacewinghub.history import Event, EventKind

K = EventKind
T0 = 1_700_000_000.0


def event(kind: EventKind, at: float, node: str = "n1", request: str = "", **more: object) -> Event:
    """Build an event of pool p at a time relative to the start."""
    return Event(kind, T0 + at, node, request, pool="p", **more)  # type: ignore[arg-type]


def shed(arrived: float, at: float, tier: int = 1, node: str = "n1") -> Event:
    """Build the shedding of a request."""
    return event(K.SHED, at, node, "s", tier=tier, arrived=T0 + arrived, code="overloaded")


def admitted(at: float, tier: int, node: str = "n2", request: str = "a", **more: object) -> Event:
    """Build an admission."""
    return event(K.ADMITTED, at, node, request, tier=tier, **more)


def config(at: float, version: int, node: str = "n1") -> Event:
    """Build the taking into force of a version."""
    return event(K.CONFIG, at, node, version=version)


def call(sent: float, ended: float, end: CallEnd = CallEnd.FINISHED, **more: object) -> CallRecord:
    """Build what a caller saw."""
    return CallRecord(T0 + sent, T0 + ended, end, "n1", **more)  # type: ignore[arg-type]


def run(at: float, key: str = "k") -> Execution:
    """Build an entry of a ledger."""
    return Execution(key, T0 + at, "booking-1")


def refused(sent: float, ended: float, key: str = "k") -> CallRecord:
    """Build a call that was answered "not run"."""
    return call(sent, ended, CallEnd.ERROR, key=key, code="not_run", run=ExecutionStatus.NOT_RUN)


def burst(low_done: int, total: int = 200, window: float = 30.0) -> list[Event]:
    """Build a burst of the top tier, with steady arrivals of a low one."""
    events = []
    for index in range(total):
        at = window * index / total
        events.append(event(K.ARRIVED, at, request=f"t{index}", tier=1, request_class="top"))
        events.append(event(K.ARRIVED, at, request=f"l{index}", tier=6, request_class="low"))
        events.append(event(K.FINISHED, at, request=f"t{index}", tier=1, request_class="top"))
        if index < low_done:
            events.append(event(K.FINISHED, at, request=f"l{index}", tier=6, request_class="low"))
    return [*events, event(K.ARRIVED, window + 0.1, request="end", tier=1, request_class="top")]


def stop(*events: Event) -> list[Event]:
    """Build a planned stop from second 5 to second 9."""
    return [event(K.STOPPING, 5), *events, event(K.STOPPED, 9)]


LEFT = event(K.LEAVING, 1, "", endpoint="r1")
ARRIVED = event(K.ARRIVED, 4, request="q")

KEPT: dict[str, list[Event | CallRecord | Execution]] = {
    "tier_order: admission before the arrival": [admitted(0.5, 6), shed(1, 9)],
    "tier_order: admission within the propagation delay": [admitted(1.9, 6), shed(1, 9)],
    "tier_order: admission after the shedding": [shed(1, 3), admitted(3.5, 6)],
    "tier_order: admission of a higher tier": [admitted(5, 2), shed(1, 9, tier=3)],
    "tier_order: admission of the same tier": [admitted(5, 3), shed(1, 9, tier=3)],
    "tier_order: admission through the quota": [admitted(5, 6, quota=True), shed(1, 9)],
    "tier_order: another pool": [replace(admitted(5, 6), pool="other"), shed(1, 9)],
    "full_queue: the waiting request was dispatched": [
        admitted(1, 6, "n1"),
        event(K.DISPATCHED, 2, request="a"),
        shed(3, 3),
    ],
    "full_queue: the lower tier waits at another node": [admitted(1, 6, "n2"), shed(1.5, 1.5)],
    "full_queue: the floor protects a higher tier": [
        replace(admitted(0, 1, "n2"), request="h"),
        admitted(1, 6, "n1"),
        replace(shed(2, 2), floor=1),
        event(K.DISPATCHED, 3, request="h", node="n2"),
        event(K.DISPATCHED, 4, request="a"),
    ],
    "full_queue: a higher tier waits": [admitted(1, 1, "n1"), shed(3, 3, tier=2)],
    "minimum_share: two of a hundred": list(burst(5)),
    "minimum_share: no demand in the last third": [
        *(item for item in burst(0) if item.tier == 1 or item.time < T0 + 20),
    ],
    "complete_answers: whole": [call(0, 1, answer="abc", expected="abc")],
    "complete_answers: broken off with an error": [
        call(0, 1, CallEnd.ERROR, answer="ab", expected="abc", code="answer_incomplete")
    ],
    "complete_answers: connection lost": [call(0, 1, CallEnd.BROKEN, answer="a", expected="abc")],
    "not_run: not executed": [refused(0, 1)],
    "not_run: executed by a later call": [refused(0, 1), call(2, 3, key="k"), run(2.5)],
    "not_run: executed by an earlier call without outcome": [
        call(0, 1, CallEnd.BROKEN, key="k"),
        refused(2, 3),
        run(3.5),
    ],
    "at_most_once: one execution per key": [run(1, "a"), run(2, "b"), run(1, ""), run(2, "")],
    "leaving_endpoint: within the bound": [LEFT, event(K.DISPATCHED, 3.9, endpoint="r1")],
    "leaving_endpoint: it returned": [
        LEFT,
        event(K.RETURNED, 5, "", endpoint="r1"),
        event(K.DISPATCHED, 6, endpoint="r1"),
    ],
    "leaving_endpoint: the node has just been woken": [
        LEFT,
        event(K.WOKEN, 8),
        event(K.DISPATCHED, 10, endpoint="r1"),
    ],
    "planned_stop: the request finished": [ARRIVED, *stop(event(K.FINISHED, 8, request="q"))],
    "planned_stop: its caller left": [
        ARRIVED,
        call(4, 6, CallEnd.LEFT, request="q"),
        *stop(event(K.CANCELLED, 6, request="q")),
    ],
    "planned_stop: the node was killed": [ARRIVED, event(K.STOPPING, 5), event(K.KILLED, 6)],
    "planned_stop: refused connection after the stop": [
        *stop(),
        call(9.5, 9.5, CallEnd.NOT_CONNECTED),
    ],
    "configuration: in time and in order": [
        config(0, 1),
        event(K.PUBLISHED, 1, "", version=2),
        config(4.9, 2),
        event(K.ARRIVED, 9),
    ],
    "configuration: a node that was down": [
        config(0, 1),
        event(K.PUBLISHED, 1, "", version=2),
        event(K.KILLED, 2),
        event(K.STARTED, 20),
        config(23, 2),
        event(K.ARRIVED, 30),
    ],
    "configuration: a frozen node": [
        config(0, 1),
        event(K.PUBLISHED, 1, "", version=2),
        event(K.FROZEN, 2),
        event(K.WOKEN, 20),
        config(21, 2),
        event(K.ARRIVED, 30),
    ],
    "configuration: overtaken by a later version": [
        config(0, 1),
        event(K.PUBLISHED, 1, "", version=2),
        event(K.PUBLISHED, 2, "", version=3),
        config(3, 3),
        event(K.ARRIVED, 30),
    ],
}

BROKEN: dict[str, list[Event | CallRecord | Execution]] = {
    "tier_order: admission during the wait": [admitted(2.1, 6), shed(1, 9)],
    "tier_order: at the same node": [admitted(5, 2, "n1"), shed(1, 9)],
    "full_queue: a lower tier waits": [
        admitted(1, 6, "n1"),
        shed(2, 2),
        event(K.DISPATCHED, 3, request="a"),
    ],
    "full_queue: a floor that protects nobody": [
        admitted(1, 6, "n1"),
        replace(shed(2, 2), floor=1),
        event(K.DISPATCHED, 3, request="a"),
    ],
    "minimum_share: nothing finished": list(burst(0)),
    "minimum_share: below the share": list(burst(3)),
    "complete_answers: truncated": [call(0, 1, answer="ab", expected="abc")],
    "complete_answers: of another caller": [call(0, 1, answer="xyz", expected="abc")],
    "complete_answers: a token twice": [call(0, 1, answer="abbc", expected="abc")],
    "complete_answers: foreign token before an error": [
        call(0, 1, CallEnd.ERROR, answer="ax", expected="abc")
    ],
    "complete_answers: no end": [call(0, 1, CallEnd.SILENT, answer="abc", expected="abc")],
    "not_run: executed later": [refused(0, 1), run(5)],
    "not_run: executed before": [call(0, 1, key="k"), run(0.5), refused(2, 3)],
    "not_run: executed during the call": [refused(0, 1), run(0.5)],
    "not_run: the other call had finished": [refused(0, 1), call(2, 3, key="k"), run(9)],
    "not_run: a runner had crashed on it": [
        event(K.CRASHED, 1, request="q"),
        call(0, 2, CallEnd.ERROR, request="q", code="quarantined", run=ExecutionStatus.NOT_RUN),
    ],
    "at_most_once: twice": [run(1), run(2), call(0, 3, key="k")],
    "leaving_endpoint: dispatch after the bound": [
        LEFT,
        event(K.DISPATCHED, 4.1, endpoint="r1"),
    ],
    "leaving_endpoint: resume after the bound": [LEFT, event(K.RESUMED, 9, endpoint="r1")],
    "leaving_endpoint: a second sign does not extend the bound": [
        LEFT,
        replace(LEFT, time=T0 + 5),
        event(K.DISPATCHED, 6, endpoint="r1"),
    ],
    "planned_stop: the request has no end": [ARRIVED, *stop()],
    "planned_stop: cancelled by the stop": [
        ARRIVED,
        call(4, 6, CallEnd.BROKEN, request="q"),
        *stop(event(K.CANCELLED, 6, request="q")),
    ],
    "planned_stop: a caller lost its connection": [*stop(), call(6, 7, CallEnd.BROKEN)],
    "configuration: never in force": [
        config(0, 1),
        event(K.PUBLISHED, 1, "", version=2),
        event(K.ARRIVED, 9),
    ],
    "configuration: too late": [
        config(0, 1),
        event(K.PUBLISHED, 1, "", version=2),
        config(5.1, 2),
        event(K.ARRIVED, 9),
    ],
    "configuration: reverted": [config(0, 2), config(1, 1), event(K.ARRIVED, 2)],
    "configuration: reverted by a restart": [
        config(0, 2),
        event(K.KILLED, 1),
        event(K.STARTED, 2),
        config(3, 1),
    ],
    "configuration: a restarted node does not learn it": [
        config(0, 1),
        event(K.PUBLISHED, 1, "", version=2),
        event(K.KILLED, 2),
        event(K.STARTED, 3),
        event(K.ARRIVED, 9),
    ],
    "configuration: a restarted node loses it": [
        config(0, 2),
        event(K.PUBLISHED, 0, "", version=2),
        event(K.KILLED, 2),
        event(K.STARTED, 3),
        event(K.ARRIVED, 9),
    ],
    "configuration: a woken node does not learn it": [
        config(0, 1),
        event(K.FROZEN, 0.5),
        event(K.PUBLISHED, 1, "", version=2),
        event(K.WOKEN, 3),
        event(K.ARRIVED, 9),
    ],
}


def evidence(records: list[Event | CallRecord | Execution]) -> Evidence:
    """Sort records into an evidence."""
    return Evidence(
        [item for item in records if isinstance(item, Event)],
        [item for item in records if isinstance(item, CallRecord)],
        [item for item in records if isinstance(item, Execution)],
    )


class TestRules(unittest.TestCase):
    def test_histories_that_keep_the_rules(self) -> None:
        """Guards against a rule that reports what the guarantee permits."""
        for label, records in KEPT.items():
            with self.subTest(label):
                self.assertEqual(check(evidence(records)), [])

    def test_histories_that_break_a_rule(self) -> None:
        """Guards against a rule that overlooks a broken guarantee, or reports another one."""
        for label, records in BROKEN.items():
            with self.subTest(label):
                found = {violation.rule for violation in check(evidence(records))}
                self.assertEqual(found, {label.partition(":")[0]})

    def test_order_of_the_records_does_not_matter(self) -> None:
        """Guards against histories of several nodes that are merged one after the other."""
        for label, records in [*KEPT.items(), *BROKEN.items()]:
            with self.subTest(label):
                expected = {item.rule for item in check(evidence(records))}
                found = {item.rule for item in check(evidence(records[::-1]))}
                self.assertEqual(found, expected)

    def test_each_rule_has_both_kinds_of_history(self) -> None:
        """Guards against a rule that was never seen to fail, or a guarantee without a rule."""
        for table in (KEPT, BROKEN):
            tested = {label.partition(":")[0] for label in table}
            self.assertEqual(tested, {rule.name for rule in RULES})
        self.assertEqual({rule.guarantee for rule in RULES}, set(range(1, 9)))


class TestFiles(unittest.TestCase):
    def with_file(self, test: Callable[[Path], None]) -> None:
        with tempfile.TemporaryDirectory() as folder:
            test(Path(folder) / "history.jsonl")

    def test_records_survive_a_file(self) -> None:
        """Guards against members that are lost between the node and the checker."""
        records = [
            shed(1, 2),
            call(
                0,
                1,
                CallEnd.ERROR,
                run=ExecutionStatus.UNKNOWN,
                answer="é\n",
                code="outcome_unknown",
            ),
            run(3),
        ]

        def test(path: Path) -> None:
            write_records(path, records)
            self.assertEqual(read_records([path]), evidence(records))

        self.with_file(test)

    def test_line_of_a_killed_process_is_skipped(self) -> None:
        """Guards against a check that fails because a node was killed while it wrote."""

        def test(path: Path) -> None:
            write_records(path, [run(3)])
            with path.open("a") as out:
                out.write('{"kind": "arr')
            self.assertEqual(len(read_records([path]).executions), 1)

        self.with_file(test)

    def test_invalid_lines(self) -> None:
        """Guards against records that are silently ignored."""
        for line in ("[]", '{"kind": "nothing", "time": 1}', '{"sent": "x"}', "{}", "{"):
            with self.subTest(line):

                def test(path: Path, line: str = line) -> None:
                    path.write_text(f"\n{line}\n")
                    with self.assertRaises(HistoryInvalid) as caught:
                        read_records([path])
                    self.assertEqual(caught.exception.details["line"], 2)

                self.with_file(test)


if __name__ == "__main__":
    unittest.main()
