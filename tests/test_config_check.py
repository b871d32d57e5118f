"""Tests of the check of a configuration before it is sent."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from lacewinghub.cli import run_command
from lacewinghub.config_check import ChangeKind, find_changes, find_problems
from lacewinghub.platform.config import decode
from tests.platform_cluster import ROUTES, config, route

SCALING = {"min": 1, "max": 4, "boot_s": 4.0, "spot_price": 0.2, "zone_prices": {"a": 1.0}}


def with_route(name: str, service: str = "apps", kind: str = "idempotent", **members: Any) -> Any:
    """Return a configuration whose last route is the given one."""
    return config(2, [*ROUTES, route(name, service, kind, **members)])


def with_scaling(**members: Any) -> Any:
    """Return a configuration whose runners can be ordered."""
    document = config(2, ROUTES)
    document["services"][0]["scaling"] = SCALING | members
    return document


# Each mistake with the codes of what has to be found, beside what the sound configuration has.
MISTAKES = (
    (with_route("x", path_prefix="/once/"), {"never_matches"}),
    (with_route("x", path_prefix="/x"), {"never_matches"}),
    (with_route("x", service="gone"), {"unknown_pool"}),
    (with_route("once", path_prefix="/other/"), {"duplicate_name"}),
    (with_route("x", target_latency_ms=1500), {"target_beyond_timeout"}),
    (with_route("x", kind="streaming", max_attempts=1, gap_aim_ms=2000), {"pause_beyond_timeout"}),
    (with_route("x", max_attempts=1), {"no_retry"}),
    (with_scaling(min=5), {"scaling_bounds"}),
    (with_scaling(spot_price=1.5), {"spot_price"}),
    (with_scaling(zone_prices={}), {"no_zone_prices"}),
    (config(2, ROUTES, tenants=[{"name": "a", "api_keys": []}]), {"never_permitted"}),
    (config(2, ROUTES[:2]), {"unused_pool"}),
    (
        config(2, ROUTES, limits={"header_timeout_ms": 4000, "idle_timeout_ms": 3000}),
        {"time_limits"},
    ),
    (config(2, ROUTES, limits={"max_header_bytes": 0}), {"size_limits"}),
)


def codes(document: Any) -> set[str]:
    """Return the codes of what is found in a configuration."""
    return {item.code for item in find_problems(decode(json.dumps(document).encode(), []))}


class TestConfigCheck(unittest.TestCase):
    def test_mistakes_are_found(self) -> None:
        # Guards against mistakes that a node accepts and an operator learns of from callers.
        sound = codes(config(2, ROUTES))
        for document, expected in MISTAKES:
            with self.subTest(expected):
                self.assertEqual(codes(document) - sound, expected)

    def test_changes_are_listed(self) -> None:
        # Guards against a change that an operator does not see before it is in force.
        before = decode(json.dumps(config(1, ROUTES)).encode())
        changed = [ROUTES[0] | {"timeout_ms": 900}, *ROUTES[2:], route("new", "apps", "idempotent")]
        after = decode(json.dumps(config(2, changed)).encode())
        found = {(item.kind, item.place): item.fields for item in find_changes(before, after)}
        self.assertEqual(
            found,
            {
                (ChangeKind.ADDED, "route new"): {},
                (ChangeKind.REMOVED, "route lookup"): {},
                (ChangeKind.CHANGED, "route once"): {"timeout_s": (1.5, 0.9)},
            },
        )

    def test_keys_of_workspaces_are_not_shown(self) -> None:
        # Guards against secrets in the output of the check.
        before = decode(json.dumps(config(1, ROUTES)).encode())
        tenants = [{"name": "tenant-a", "api_keys": ["other-secret"], "priority": 0}]
        after = decode(json.dumps(config(2, ROUTES, tenants=tenants)).encode())
        (change,) = find_changes(before, after)
        self.assertEqual(change.place, "workspace tenant-a")
        self.assertNotIn("secret", str(change))


class TestCommand(unittest.TestCase):
    def test_exit_status_and_output(self) -> None:
        # Guards against a script that sends a configuration with errors.
        broken = with_route("x", service="gone")
        malformed = config(2, [*ROUTES, {"name": "y"}])
        for document, status, expected in (
            (config(2, ROUTES), 0, []),
            (broken, 1, ["unknown_pool"]),
            (malformed, 1, ["invalid_entry"]),
        ):
            with self.subTest(expected), tempfile.TemporaryDirectory() as folder:
                new, old = Path(folder, "new.json"), Path(folder, "old.json")
                new.write_text(json.dumps(document))
                old.write_text(json.dumps(config(1, ROUTES)))
                out = io.StringIO()
                with contextlib.redirect_stdout(out), contextlib.redirect_stderr(io.StringIO()):
                    found = run_command(["check", str(new), "--against", str(old), "--json"])
                self.assertEqual(found, status)
                report = json.loads(out.getvalue())
                errors = [x["code"] for x in report["findings"] if x["severity"] == "error"]
                self.assertEqual(errors, expected)


if __name__ == "__main__":
    unittest.main()
