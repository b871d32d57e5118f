"""Tests of what a node reports about its requests."""

import asyncio
import io
import json
import unittest
from typing import Any

import looptime

from lacewinghub import logs, metrics
from lacewinghub.history import Event, EventKind, History
from lacewinghub.metrics import Metrics
from lacewinghub.observer import (
    DELAY_PROBE_S,
    GAUGE_INTERVAL_S,
    MAX_ENDPOINTS,
    LatencyTimer,
    Observer,
)
from lacewinghub.service_level import ServiceLevels
from lacewinghub.tables import Target


class RecordingMetrics(Metrics):
    """Keeps what would be sent."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[tuple[Any, ...]] = []

    def count(self, *parts: object, n: int = 1) -> None:
        self.sent.append(("count", *parts, n))

    def time(self, *parts: object, seconds: float) -> None:
        self.sent.append(("time", *parts, seconds))

    def gauge(self, *parts: object, value: float) -> None:
        self.sent.append(("gauge", *parts, value))


class ObserverTest(unittest.TestCase):
    """Guards against requests that are missing in metrics, logs or service levels."""

    def setUp(self) -> None:
        self.metrics = RecordingMetrics()
        self.observer = Observer(self.metrics, ServiceLevels())
        self.history = History("n1")
        self.history.add_listener(self.observer.handle_event)
        self.out = io.StringIO()
        logs.setup("INFO", "n1", self.out)

    def _record(self, kind: EventKind, **members: Any) -> None:
        common = {"request": "r1", "request_class": "quote", "tier": 2, "pool": "assistant"}
        self.history.record(kind, **(common | members))

    def test_finished_request(self) -> None:
        self._record(EventKind.ARRIVED)
        self._record(EventKind.ADMITTED)
        self._record(EventKind.DISPATCHED, endpoint="a1")
        self._record(EventKind.CRASHED, endpoint="a1")
        self._record(EventKind.DISPATCHED, endpoint="a2")
        self._record(EventKind.RESUMED, endpoint="a3")
        times = {"first_token_s": 0.2, "between_tokens_s": 0.01, "completion_s": 0.5}
        self._record(EventKind.FINISHED, tokens=7, met=True, **times)
        self.assertEqual(
            self.metrics.sent,
            [
                ("count", "admitted", "assistant", 2, 1),
                ("count", "crashed", "assistant", 1),
                ("count", "retries", "assistant", 1),
                ("count", "resumes", "assistant", 1),
                ("count", "requests", "quote", "ok", 1),
                ("count", "tokens", "assistant", 7),
                ("time", "first_token", "quote", 0.2),
                ("time", "between_tokens", "quote", 0.01),
                ("time", "completion", "quote", 0.5),
            ],
        )
        line = json.loads(self.out.getvalue())
        self.assertEqual((line["endpoint"], line["outcome"], line["seconds"]), ("a3", "ok", 0.5))
        self.assertEqual(self.observer.levels.total("quote").good, 1)

    def test_other_ends(self) -> None:
        cases = [
            (EventKind.SHED, {}, "overloaded"),
            (EventKind.FAILED, {"code": "outcome_unknown"}, "outcome_unknown"),
            (EventKind.CANCELLED, {}, "cancelled"),
        ]
        for kind, members, outcome in cases:
            with self.subTest(kind):
                self.metrics.sent.clear()
                self._record(kind, **members)
                self.assertIn(("count", "requests", "quote", outcome, 1), self.metrics.sent)
        self.assertEqual(self.observer.levels.total("quote").bad, 2)

    def test_every_metric_is_on_the_list(self) -> None:
        for kind in EventKind:
            self.observer.handle_event(
                Event(kind, 1.0, request="r", tokens=1, first_token_s=1, completion_s=1)
            )
        names = [*metrics.COUNTERS, *metrics.TIMERS, *metrics.GAUGES]
        listed = {(name.split(".")[0], len(name.split("."))) for name in names}
        for sent in self.metrics.sent:
            self.assertIn((sent[1], len(sent) - 2), listed)

    def test_calls_without_an_end_are_forgotten(self) -> None:
        for number in range(MAX_ENDPOINTS + 5):
            self._record(EventKind.DISPATCHED, request=f"r{number}", endpoint="a1")
        self.assertEqual(len(self.observer._endpoints), MAX_ENDPOINTS)

    def test_gauges_and_loop_delay(self) -> None:
        observer = Observer(self.metrics, ServiceLevels(), {"live_nodes": lambda: 3.0})
        loop = looptime.new_event_loop(start=0)

        async def run() -> None:
            task = asyncio.create_task(observer.run())
            await asyncio.sleep(GAUGE_INTERVAL_S + 2 * DELAY_PROBE_S)
            task.cancel()

        loop.run_until_complete(run())
        loop.close()
        found = {sent[1]: sent[2] for sent in self.metrics.sent}
        self.assertEqual(sorted(found), ["live_nodes", "loop_delay", "memory_bytes"])
        self.assertEqual(found["live_nodes"], 3.0)
        self.assertGreater(found["memory_bytes"], 1_000_000)


class StopwatchTest(unittest.TestCase):
    """Guards against latencies that differ from what the caller sees."""

    def test_latencies_and_targets(self) -> None:
        cases = [
            (Target(), None),
            (Target(first_token_s=1.0), True),
            (Target(first_token_s=0.9), False),
            (Target(between_tokens_s=0.5), True),
            (Target(between_tokens_s=0.4), False),
            (Target(completion_s=2.5), True),
            (Target(completion_s=2.4), False),
        ]
        for target, met in cases:
            with self.subTest(target):
                loop = looptime.new_event_loop(start=0)
                found = loop.run_until_complete(self._measure(target))
                loop.close()
                self.assertEqual(found["met"], met)
                self.assertEqual(found["first_token_s"], 1.0)
                self.assertEqual(found["between_tokens_s"], 0.5)
                self.assertEqual(found["completion_s"], 2.5)

    def test_answer_without_tokens(self) -> None:
        loop = looptime.new_event_loop(start=0)

        async def measure() -> dict[str, Any]:
            return LatencyTimer(0.0, Target(first_token_s=1.0)).finish()

        found = loop.run_until_complete(measure())
        loop.close()
        self.assertEqual((found["first_token_s"], found["met"]), (-1.0, None))

    async def _measure(self, target: Target) -> dict[str, Any]:
        watch = LatencyTimer(0.0, target)
        await asyncio.sleep(1.0)
        for _ in range(3):
            watch.add_tokens(1)
            await asyncio.sleep(0.5)
        watch.add_tokens(0)
        return watch.finish()
