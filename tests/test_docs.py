"""Tests that the operators' pages and examples agree with the code."""

import contextlib
import io
import re
import unittest
from pathlib import Path

from lacewinghub.cli import run_command
from lacewinghub.errors import all_errors
from lacewinghub.load import plan_requests, read_scenario
from lacewinghub.settings import Limits, Settings
from lacewinghub.tables import Endpoint, Pool, Route, Workspace

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
EXAMPLES = ROOT / "examples"


def _rows(page: str) -> list[list[str]]:
    lines = (DOCS / page).read_text().splitlines()
    return [
        [cell.strip() for cell in line.strip("|").split("|")] for line in lines if line[:1] == "|"
    ]


class ErrorsPageTest(unittest.TestCase):
    """Guards against an error code that operators cannot look up."""

    def test_page_lists_every_error(self) -> None:
        rows = {row[0].strip("`"): row for row in _rows("errors.md")[2:]}
        errors = all_errors()
        self.assertEqual(sorted(rows), sorted(errors))
        for code, error in errors.items():
            with self.subTest(code):
                self.assertEqual(rows[code][1:3], [str(error.status), str(error.run)])
                self.assertTrue(all(rows[code]))


class ReferenceTest(unittest.TestCase):
    """Guards against settings and members of tables that no page explains."""

    def test_settings_page_lists_every_key(self) -> None:
        listed = [row[0].strip("`") for row in _rows("settings.md")[2:]]
        keys = [key for key in Settings.model_fields if key != "limits"]
        keys += [f"limits.{key}" for key in Limits.model_fields]
        self.assertEqual(sorted(listed), sorted(keys))

    def test_tables_page_names_every_member(self) -> None:
        text = (DOCS / "tables.md").read_text()
        for kind in (Route, Pool, Endpoint, Workspace):
            for name in kind.__slots__:
                with self.subTest(f"{kind.__name__}.{name}"):
                    self.assertIn(f"`{name}`", text)

    def test_links_lead_to_pages(self) -> None:
        for page in [ROOT / "README.md", *DOCS.glob("*.md")]:
            for target in re.findall(r"\]\(([^)#]+)\)", page.read_text()):
                with self.subTest(f"{page.name}: {target}"):
                    self.assertTrue((page.parent / target).exists())


class ExamplesTest(unittest.TestCase):
    """Guards against examples that a node would refuse."""

    def test_check_accepts_tables_and_settings(self) -> None:
        paths = [*EXAMPLES.glob("*-tables.json"), *EXAMPLES.glob("*-node.json")]
        self.assertEqual(len(paths), 4)
        for path in paths:
            with self.subTest(path.name), contextlib.redirect_stdout(io.StringIO()) as out:
                self.assertEqual(run_command(["check", str(path)]), 0)
                self.assertIn("are valid", out.getvalue())

    def test_load_scenarios_can_be_read(self) -> None:
        for path in EXAMPLES.glob("*-load.json"):
            with self.subTest(path.name):
                self.assertGreater(len(plan_requests(read_scenario(str(path)))), 10)
