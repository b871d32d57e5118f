"""Tests that the capacity page covers the target size and names existing commands."""

import contextlib
import importlib
import io
import json
import re
import unittest
from pathlib import Path

from lacewinghub import capacity

DOCS = Path(__file__).resolve().parent.parent / "docs"
# Every figure of section 1.4 of the design, in its exact wording.
FIGURES = (
    "330 nodes",
    "5,700 runners",
    "5,700 accelerators",
    "7,600 requests/s",
    "2.8 million tokens/s",
    "1.6 s",
    "61 ms",
    "8 tiers",
    "13,000 workspaces",
    "4 models",
    "5 regions",
    "11 availability zones",
    "10,000 configuration changes",
    "4 s",
    "1.1% of a core",
    "64 MB",
    "8 KB/s",
    "83 hosts",
    "1,300 restart",
    "every week",
    "once or twice a year",
    "for minutes",
    "23 requests/s",
    "8,500 tokens/s",
)


def _flat(text: str) -> str:
    return " ".join(text.split())


def _section() -> str:
    text = (DOCS / "design.md").read_text()
    return _flat(text.split("### 1.4")[1].split("### 1.5")[0])


class PageTest(unittest.TestCase):
    """Guards against a capacity page that omits a figure or names a removed command."""

    def setUp(self) -> None:
        self.page = (DOCS / "CAPACITY.md").read_text()

    def test_figures_are_those_of_the_design(self) -> None:
        """Guards against figures of the design that are missing in ``FIGURES``."""
        rest = _section()
        for figure in sorted(FIGURES, key=len, reverse=True):
            with self.subTest(figure):
                self.assertIn(figure, rest)
        for figure in sorted(FIGURES, key=len, reverse=True):
            rest = rest.replace(figure, "")
        left = re.findall(r"\d[\d,.]*", rest.replace("95th percentile", "").split("years", 1)[1])
        self.assertEqual(left, [])

    def test_target_table_has_a_row_for_every_figure(self) -> None:
        table = self.page.split("## Target size")[1].split("\n## ")[0]
        rows = [
            [cell.strip() for cell in line.strip().strip("|").split("|")]
            for line in table.splitlines()
            if line.startswith("|")
        ]
        for figure in FIGURES:
            with self.subTest(figure):
                found = [row for row in rows if row[0] == figure]
                self.assertEqual(len(found), 1)
                self.assertTrue(all(found[0][:3]))

    def test_measurements_exist_and_are_all_named(self) -> None:
        known = set(capacity.measurements())
        named: set[str] = set()
        for names in re.findall(r"`python -m lacewinghub\.capacity ?([^`]*)`", self.page):
            named |= {name for name in names.split() if name != "[NAME...]"}
        self.assertEqual(named, known)

    def test_commands_name_modules_that_can_be_run(self) -> None:
        for module in set(re.findall(r"python -m (lacewinghub\.[a-z_]+)", self.page)):
            with self.subTest(module):
                self.assertTrue(callable(importlib.import_module(module).main))


class CommandTest(unittest.TestCase):
    """Guards against output that is not one JSON object per fitted line."""

    def test_prints_one_object_per_slope(self) -> None:
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            self.assertEqual(capacity.main(["heartbeat-size", "demand-size"]), 0)
        lines = [json.loads(line) for line in out.getvalue().splitlines()]
        self.assertEqual(len(lines), 7)
        for line in lines:
            self.assertGreaterEqual(len({x for x, _ in line["points"]}), 4)
            self.assertGreater(line["slope"], 0)

    def test_unknown_name_is_refused(self) -> None:
        err = io.StringIO()
        with contextlib.redirect_stderr(err), self.assertRaises(SystemExit) as caught:
            capacity.main(["nothing"])
        self.assertEqual(caught.exception.code, 2)
        self.assertIn("unknown measurement 'nothing'", err.getvalue())


if __name__ == "__main__":
    unittest.main()
