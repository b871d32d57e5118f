"""Tests of the dependencies between packages: names of the platform, fakes, heavy imports."""

import re
import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "lacewinghub"
# Headers, paths, topics and fields that belong to the platform's protocols.
PLATFORM_NAMES = re.compile(
    r"lacewinghub-(attempt|response|expect|tenant|deadline|prompt|token|not-|kv|pin|request-urg)"
    r"|kv-(fetch|from|move|handle|pin|events|list)|log-(newest|read|append|join)|keyed\.(op|serv)"
    r"|max_attempts_|path_prefix|traffic_split|gap_aim_ms|cold_remaining_ms|api_keys|health_path"
    r"|LACEWINGHUB_BOOT|/v1/ready",
    re.IGNORECASE,
)


def product_files() -> list[Path]:
    """Return the modules of the runtime outside the platform adapter and the fakes."""
    excluded = (PACKAGE / "platform", PACKAGE / "fakes")
    return [
        path
        for path in sorted(PACKAGE.rglob("*.py"))
        if not any(path.is_relative_to(folder) for folder in excluded)
    ]


class TestLayers(unittest.TestCase):
    def test_platform_names_appear_only_in_the_adapter(self) -> None:
        # Guards against a product that depends on the names of one platform.
        found = [
            f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
            for path in product_files()
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if PLATFORM_NAMES.search(line) and "Example: LACEWINGHUB_BOOT" not in line
        ]
        self.assertEqual(found, [])

    def test_pattern_matches_platform_names(self) -> None:
        for name in ("Lacewinghub-Tenant-Id", "keyed.servers", "path_prefix", "Kv-From"):
            self.assertTrue(PLATFORM_NAMES.search(name), name)

    def test_adapter_makes_no_routing_decisions(self) -> None:
        # The adapter must not import modules for queueing, selection, admission or health.
        deciding = re.compile(
            r"from \.\.(admission|queue|promptsplit|promptgate|local|quarantine|health|dispatch)\b"
        )
        for path in sorted((PACKAGE / "platform").glob("*.py")):
            with self.subTest(path.name):
                self.assertIsNone(deciding.search(path.read_text()), path.name)

    def test_runtime_imports_no_fakes_and_no_heavy_libraries(self) -> None:
        # Guards against unnecessary start-up time and memory of a node on the platform.
        code = (
            "import sys, lacewinghub.platform.node\n"
            "print([name for name in sys.modules if name.split('.')[0] in"
            " ('sanic', 'matplotlib', 'rich', 'fire', 'numpy')"
            " or name.startswith('lacewinghub.fake') or name in {'lacewinghub.' + part for part in"
            " ('brokered', 'claim', 'config', 'gateway', 'publish', 'poll', 'router')}])"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, cwd=ROOT, check=True
        )
        self.assertEqual(done.stdout.strip(), b"[]")
