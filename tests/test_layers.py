"""Which packages may know what: names of the platform, stand-ins, heavy imports."""

import re
import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "lacewinghub"
# Headers, paths, topics and fields that only the platform uses.
WIRE = re.compile(
    r"lacewinghub-(attempt|response|expect|tenant|deadline|prompt|token|not-|kv|pin|request-urg)"
    r"|kv-(fetch|from|move|handle|pin|events|list)|log-(newest|read|append|join)|keyed\.(op|serv)"
    r"|max_attempts_|path_prefix|traffic_split|gap_aim_ms|cold_remaining_ms|api_keys|health_path"
    r"|LACEWINGHUB_BOOT|/v1/ready",
    re.IGNORECASE,
)


def product_files() -> list[Path]:
    """Return the modules of the runtime outside the adapter and the stand-ins."""
    apart = (PACKAGE / "platform", PACKAGE / "fakes")
    return [
        path
        for path in sorted(PACKAGE.rglob("*.py"))
        if not any(path.is_relative_to(folder) for folder in apart)
    ]


class TestLayers(unittest.TestCase):
    def test_names_of_the_wire_stay_in_the_adapter(self) -> None:
        # Guards against a product that is bent to the names of one platform.
        found = [
            f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
            for path in product_files()
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if WIRE.search(line) and "Example: LACEWINGHUB_BOOT" not in line
        ]
        self.assertEqual(found, [])

    def test_the_check_finds_a_name(self) -> None:
        for name in ("Lacewinghub-Tenant-Id", "keyed.servers", "path_prefix", "Kv-From"):
            self.assertTrue(WIRE.search(name), name)

    def test_the_adapter_decides_nothing_about_requests(self) -> None:
        # The adapter imports no queue, selection rule, admission or health.
        deciding = re.compile(
            r"from \.\.(admission|queue|promptsplit|promptgate|local|quarantine|health|dispatch)\b"
        )
        for path in sorted((PACKAGE / "platform").glob("*.py")):
            with self.subTest(path.name):
                self.assertIsNone(deciding.search(path.read_text()), path.name)

    def test_the_runtime_imports_no_stand_ins_and_no_heavy_libraries(self) -> None:
        # Guards against start-up time and memory that a node on the platform does not need.
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
