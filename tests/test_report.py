"""Tests of the service-level counts and the burn report."""

import io
import json
import tempfile
import unittest
from dataclasses import asdict
from pathlib import Path
from typing import Any

from lacewinghub import plot, report
from lacewinghub.errors import BadRequest, HistoryInvalid
from lacewinghub.history import Event, EventKind, History
from lacewinghub.service_level import ServiceLevels, is_good

START = 1_700_000_000.0
HOUR_S = 3_600.0


def _event(kind: EventKind, time: float, **members: Any) -> Event:
    return Event(kind, time, request_class="quote", **members)


def _levels(good: int, bad: int, span_s: float) -> ServiceLevels:
    """Spread good requests over a span and put the bad ones at its end."""
    levels = ServiceLevels(report.FILE_RESOLUTIONS)
    for number in range(good):
        levels.add("quote", START + span_s * number / good, 1, 0)
    for _ in range(bad):
        levels.add("quote", START + span_s, 0, 1)
    return levels


class LevelsTest(unittest.TestCase):
    """Guards against requests that are judged or counted wrongly."""

    def test_outcome_of_each_event(self) -> None:
        cases = [
            (_event(EventKind.FINISHED, 1, met=True), True),
            (_event(EventKind.FINISHED, 1, met=None), True),
            (_event(EventKind.FINISHED, 1, met=False), False),
            (_event(EventKind.SHED, 1, code="overloaded"), False),
            (_event(EventKind.FAILED, 1, code="endpoint_failed"), False),
            (_event(EventKind.FAILED, 1, code="outcome_unknown"), False),
            (_event(EventKind.FAILED, 1, code="bad_request"), None),
            (_event(EventKind.CANCELLED, 1), None),
            (_event(EventKind.ARRIVED, 1), None),
        ]
        for event, expected in cases:
            with self.subTest(event=event):
                self.assertIs(is_good(event), expected)

    def test_history_passes_events_to_listeners(self) -> None:
        levels = ServiceLevels()
        history = History("n1")
        history.add_listener(levels.count_event)
        history.record(EventKind.FINISHED, request_class="quote", met=False)
        self.assertEqual((levels.total("quote").good, levels.total("quote").bad), (0, 1))

    def test_old_buckets_are_dropped(self) -> None:
        levels = ServiceLevels()
        for minute in range(0, 7 * 24 * 60, 5):
            levels.add("quote", START + minute * 60, 1, 0)
        sizes = [len(series.counts["quote"]) for series in levels.series]
        self.assertLessEqual(sizes[0], 121)
        self.assertLessEqual(sizes[1], 433)

    def test_counts_of_nodes_are_added(self) -> None:
        nodes = [ServiceLevels(), ServiceLevels()]
        for number, node in enumerate(nodes):
            node.add("quote", START + number, 3, 1)
        merged = ServiceLevels()
        for node in nodes:
            merged.merge_json(json.loads(json.dumps(node.to_json())))
        self.assertEqual(asdict(merged.total("quote")), {"good": 6, "bad": 2})
        self.assertEqual((merged.first, merged.last), (START, START + 1))

    def test_unknown_counts_are_refused(self) -> None:
        for data in ({}, {"first": 1, "last": 2, "series": []}, {"first": "x"}):
            with self.subTest(data), self.assertRaises(BadRequest):
                ServiceLevels().merge_json(data)


class BurnTest(unittest.TestCase):
    """Guards against a wrong burn rate, budget or alert."""

    def test_burn_budget_and_end(self) -> None:
        levels = _levels(9_800, 200, HOUR_S)
        (found,) = report.build(levels, report.Objectives(0.99), period_s=10 * HOUR_S)
        burns = {window.length_s: window.burn for window in found.windows}
        self.assertAlmostEqual(burns[HOUR_S], 2.0, places=2)
        # 200 bad of the 1000 that 100,000 requests in ten hours allow.
        self.assertAlmostEqual(found.budget_left, 0.8, places=3)
        assert found.runs_out_s is not None
        self.assertAlmostEqual(found.runs_out_s, 4 * HOUR_S, delta=60)
        self.assertAlmostEqual(found.attainment, 0.98)

    def test_alert_needs_both_windows(self) -> None:
        cases = [
            ("page", _levels(500, 500, HOUR_S)),
            ("", _levels(10_000, 5, HOUR_S)),
        ]
        over = _levels(1_000, 1_000, HOUR_S)
        for second in range(1, 8 * 3_600, 60):
            over.add("quote", START + HOUR_S + second, 1, 0)
        cases.append(("", over))
        for expected, levels in cases:
            with self.subTest(expected):
                (found,) = report.build(levels)
                self.assertEqual(found.alert, expected)

    def test_spent_budget(self) -> None:
        (found,) = report.build(_levels(50, 50, HOUR_S), period_s=HOUR_S)
        self.assertLess(found.budget_left, 0)
        self.assertEqual(found.runs_out_s, 0.0)

    def test_no_bad_request_never_runs_out(self) -> None:
        (found,) = report.build(_levels(50, 0, HOUR_S))
        self.assertEqual((found.budget_left, found.runs_out_s, found.alert), (1.0, None, ""))

    def test_options(self) -> None:
        objectives = report.parse_objectives("0.95,quote=0.999")
        self.assertEqual(
            (objectives.for_class("quote"), objectives.for_class("draft")), (0.999, 0.95)
        )
        for text in ("1", "0", "quote=2", "x", "", "quote="):
            with self.subTest(text), self.assertRaises(BadRequest):
                report.parse_objectives(text)
        for text, seconds in (("30s", 30), ("5m", 300), ("1.5h", 5400), ("3d", 259_200)):
            self.assertEqual(report.parse_duration(text), seconds)
        for text in ("", "5", "m", "-1s", "nans"):
            with self.subTest(text), self.assertRaises(BadRequest):
                report.parse_duration(text)


class OutputTest(unittest.TestCase):
    """Guards against reports that lose a class or break on an odd file."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def _file(self, name: str, *lines: str) -> str:
        path = self.folder / name
        path.write_text("\n".join(lines))
        return str(path)

    def test_files_of_several_nodes(self) -> None:
        lines = [
            json.dumps(asdict(_event(EventKind.FINISHED, START + n, met=n > 1))) for n in range(10)
        ]
        paths = [self._file("a", *lines), self._file("b", *lines, '{"kind": "fin')]
        (found,) = report.build(report.read_files(paths))
        self.assertEqual((found.requests, found.attainment), (20, 0.8))

    def test_broken_file_is_refused(self) -> None:
        path = self._file("a", '{"kind": "other", "time": 1}', "{}")
        for name in (path, str(self.folder / "missing")):
            with self.subTest(name), self.assertRaises(HistoryInvalid):
                report.read_files([name])

    def test_table_and_page(self) -> None:
        levels = _levels(90, 10, HOUR_S)
        levels.add("<draft>", START, 5, 0)
        found = report.build(levels)
        out = io.StringIO()
        report.print_table(found, out)
        self.assertIn("quote", out.getvalue())
        self.assertIn("page", out.getvalue())
        path = self.folder / "page.html"
        plot.write_page(str(path), found, levels, "history of n1")
        text = path.read_text()
        self.assertEqual(text.count("<svg"), 3)
        self.assertIn("&lt;draft&gt;", text)
        self.assertNotIn("<draft>", text)
        with self.assertRaises(BadRequest):
            plot.write_page(str(self.folder / "no" / "page.html"), found, levels)

    def test_empty_history(self) -> None:
        levels = report.read_files([self._file("a", "")])
        found = report.build(levels)
        report.print_table(found, io.StringIO())
        self.assertIn("<table>", plot.render(found, levels))
