"""Tests of the single-file build of ``make binary``."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import ClassVar

from lacewinghub import __version__
from tests.processes import child_pids, descriptors, free_port

ROOT = Path(__file__).resolve().parent.parent


class BinaryTest(unittest.TestCase):
    """Guards against a build that lacks a module, starts processes or uses io_uring."""

    folder: ClassVar[Path]
    binary: ClassVar[Path]

    @classmethod
    def setUpClass(cls) -> None:
        temporary = tempfile.TemporaryDirectory()
        cls.addClassCleanup(temporary.cleanup)
        cls.folder = Path(temporary.name)
        cls.binary = cls.folder / "lacewinghub"
        subprocess.run(
            [sys.executable, "tools/build_binary.py", str(cls.binary)],
            cwd=ROOT,
            check=True,
            capture_output=True,
            timeout=120,
        )

    def _environment(self) -> dict[str, str]:
        path = f"{Path(sys.executable).parent}:{os.environ.get('PATH', '')}"
        return {"PATH": path, "SHIV_ROOT": str(self.folder / "root")}

    def _run(self, *argv: str) -> subprocess.CompletedProcess[str]:
        # Without the packages of this environment: all modules must come from the file.
        return subprocess.run(
            [sys.executable, "-I", "-S", str(self.binary), *argv],
            cwd=self.folder,
            env=self._environment(),
            capture_output=True,
            text=True,
            timeout=60,
        )

    def test_version_check_and_missing_plots(self) -> None:
        self.assertEqual(self._run("version").stdout, __version__ + "\n")
        done = self._run("check", str(ROOT / "examples" / "consortium-tables.json"))
        self.assertEqual((done.returncode, done.stderr), (0, ""))
        history = self.folder / "n1.jsonl"
        history.write_text('{"kind": "finished", "time": 1.0, "request_class": "quote"}\n')
        self.assertIn("quote", self._run("report", str(history)).stdout)
        done = self._run("report", str(history), "--html", "page.html")
        self.assertEqual(done.returncode, 1)
        self.assertIn("error bad_request: plots need matplotlib", done.stderr)

    def test_node_runs_in_one_process(self) -> None:
        settings = {
            "node": "n1",
            "availability_zone": "north-a",
            "listen": f"127.0.0.1:{free_port()}",
            "peer_listen": f"127.0.0.1:{free_port()}",
            "log": f"127.0.0.1:{free_port()}",
            "peer_key": "0123456789abcdef",
            "limits": {"grace_s": 0.1},
        }
        path = self.folder / "node.json"
        path.write_text(json.dumps(settings))
        process = subprocess.Popen(
            [sys.executable, "-I", "-S", str(self.binary), "node", str(path)],
            env=self._environment(),
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        assert process.stderr is not None
        self.addCleanup(process.stderr.close)
        lines = []
        for line in process.stderr:
            lines.append(line)
            if "serves callers" in line:
                break
        self.assertIn("serves callers", lines[-1], lines)
        self.assertEqual(child_pids(process.pid), [])
        self.assertNotIn("anon_inode:[io_uring]", descriptors(process.pid))
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=20)
        self.assertEqual(process.returncode, 0)
