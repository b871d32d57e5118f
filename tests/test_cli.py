"""Tests of the command line interface."""

import asyncio
import contextlib
import io
import json
import signal
import subprocess
import sys
import tempfile
import unittest
from dataclasses import asdict
from pathlib import Path
from typing import Any

from lacewinghub import __version__
from lacewinghub.cli import Commands, run_command
from lacewinghub.fake_log import LogServer, MemoryLog
from lacewinghub.history import Event, EventKind
from tests.processes import descriptors, free_port

ROOT = Path(__file__).resolve().parent.parent
TABLES = str(ROOT / "examples" / "trust-tables.json")
COMMANDS = [name for name in dir(Commands) if not name.startswith("_")]


def _run(*argv: str) -> tuple[int, str, str]:
    """Run a command line in this process; return exit status, standard output and error output."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        status = run_command(list(argv))
    return status, out.getvalue(), err.getvalue()


class UsageTest(unittest.TestCase):
    """Guards against commands without help, and invalid input that is accepted or has no code."""

    def test_all_commands_exist(self) -> None:
        expected = [
            "bench",
            "check",
            "demo",
            "explain",
            "load",
            "node",
            "platform",
            "publish",
            "report",
            "status",
        ]
        self.assertEqual(sorted(COMMANDS), [*expected, "version"])

    def test_every_command_has_help_and_an_example(self) -> None:
        for name in COMMANDS:
            with self.subTest(name):
                status, out, err = _run(name, "--help")
                self.assertEqual(status, 0)
                self.assertIn(f"lacewinghub {name}", (out + err).split("Example:")[1])
                self.assertNotIn("FIRE_METADATA", out + err)

    def test_invalid_command_lines(self) -> None:
        cases = [
            [],
            ["nonsense"],
            ["check"],
            ["check", TABLES, "more"],
            ["check", TABLES, "--jsn"],
            ["check", TABLES, "--json=maybe"],
            ["publish", TABLES, "--log", "127.0.0.1:1"],
            ["publish", TABLES, "--log", "host:1", "--author", "a"],
            ["publish", TABLES, "--log", "127.0.0.1:1", "--author", " "],
            ["publish", TABLES, "--log", "127.0.0.1:1", "--author", "a", "--base", "x"],
            ["publish", TABLES, "--log", "127.0.0.1:1", "--author", "a", "--bse", "1"],
            ["status", "nowhere"],
            ["report"],
            ["report", "a", "--status", "127.0.0.1:1"],
            ["report", "a", "--objective", "2"],
            ["report", "a", "--windows", "5m,x"],
            ["load", "a"],
            ["load", "a", "--node", "127.0.0.1:1", "--embedded"],
            ["bench", "--seed", "x"],
        ]
        for argv in cases:
            with self.subTest(argv):
                status, _, err = _run(*argv)
                self.assertEqual(status, 2)
                if argv:
                    self.assertIn("error bad_arguments: ", err)

    def test_failures_have_a_code(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            broken = Path(folder) / "broken.json"
            broken.write_text('{"routes": [}')
            malformed = Path(folder) / "wrong.json"
            malformed.write_text('{"routes": [], "pools": 3, "workspaces": []}')
            settings = Path(folder) / "node.json"
            settings.write_text('{"node": "n1"}')
            address = f"127.0.0.1:{free_port()}"
            cases = [
                (["check", "missing.json"], "settings_invalid"),
                (["check", str(broken)], "settings_invalid"),
                (["check", str(malformed)], "tables_invalid"),
                (["check", str(settings)], "settings_invalid"),
                (["node", "missing.json"], "settings_invalid"),
                (["publish", "missing.json", "--log", address, "--author", "a"], "tables_invalid"),
                (["publish", str(malformed), "--log", address, "--author", "a"], "tables_invalid"),
                (["status", address], "unreachable"),
                (["report", "missing.jsonl"], "history_invalid"),
                (["report", "--status", address], "unreachable"),
                (["load", "missing.json", "--node", address], "bad_request"),
            ]
            for argv, code in cases:
                with self.subTest(argv):
                    status, _, err = _run(*argv)
                    self.assertEqual(status, 1)
                    self.assertTrue(err.startswith(f"error {code}: "), err)

    def test_version(self) -> None:
        self.assertEqual(_run("version"), (0, __version__ + "\n", ""))


class CheckTest(unittest.TestCase):
    """Guards against a check that accepts a file that a node would reject."""

    def test_tables_and_settings(self) -> None:
        status, out, _ = _run("check", TABLES, "--json")
        self.assertEqual((status, json.loads(out)["kind"]), (0, "tables"))
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.json"
            path.write_text(json.dumps(_settings()))
            status, out, _ = _run("check", str(path))
        self.assertEqual(status, 0)
        self.assertIn("settings are valid: node n1", out)


class PublishTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a publish command that reports success for a change that was not accepted."""

    async def asyncSetUp(self) -> None:
        self.log = MemoryLog()
        self.server = LogServer(self.log)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    async def _publish(self, path: str, *options: str) -> tuple[int, dict[str, Any], str]:
        argv = ["-m", "lacewinghub", "publish", path, "--log", self.server.address, "--json"]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *argv,
            *options,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return process.returncode or 0, json.loads(out), err.decode()

    async def test_accepted_repeated_and_conflicting_changes(self) -> None:
        status, found, _ = await self._publish(TABLES, "--author", "mere")
        self.assertEqual((status, found["accepted"], found["version"]), (0, True, 1))
        status, found, _ = await self._publish(TABLES, "--author", "1e3")
        self.assertEqual((status, found["changes"], found["author"]), (0, 0, "1e3"))
        document = '{"routes": [], "pools": [], "workspaces": []}'
        path = self.folder / "empty.json"
        path.write_text(document)
        status, found, err = await self._publish(str(path), "--author", "tui", "--base", "0")
        self.assertEqual((status, found["accepted"]), (1, False))
        self.assertEqual(found["error"]["code"], "publish_lost")
        self.assertEqual(found["error"]["details"]["winner"], "mere")
        self.assertIn("error publish_lost: 'mere' published version 1 first", err)


class ReportTest(unittest.TestCase):
    """Guards against a report command that ignores its options."""

    def test_table_json_and_page(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path, page = Path(folder) / "n1.jsonl", Path(folder) / "burn.html"
            events = [
                Event(EventKind.FINISHED, 1_700_000_000.0 + n, request_class="quote", met=n > 0)
                for n in range(100)
            ]
            path.write_text("".join(json.dumps(asdict(event)) + "\n" for event in events))
            status, out, _ = _run("report", str(path), "--html", str(page), "--windows", "10s,5m")
            self.assertEqual(status, 0)
            self.assertIn("quote", out)
            self.assertEqual(page.read_text().count("<svg"), 3)
            status, out, _ = _run("report", str(path), "--json", "--objective", "quote=0.9")
            found = json.loads(out)["classes"]["quote"]
            self.assertEqual((status, found["objective"], found["requests"]), (0, 0.9, 100))
            self.assertAlmostEqual(found["attainment"], 0.99)


class NodeTest(unittest.TestCase):
    """Guards against a node command that ignores SIGTERM or an address that is already in use."""

    def test_start_and_graceful_stop(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.json"
            path.write_text(json.dumps(_settings() | {"limits": {"grace_s": 0.1}}))
            process = subprocess.Popen(
                [sys.executable, "-m", "lacewinghub", "node", str(path)],
                cwd=ROOT,
                stderr=subprocess.PIPE,
                text=True,
            )
            self.addCleanup(process.wait)
            self.addCleanup(process.kill)
            assert process.stderr is not None
            self.addCleanup(process.stderr.close)
            lines = []
            for line in process.stderr:
                lines.append(json.loads(line)["message"])
                if "serves callers" in lines[-1]:
                    break
            names = descriptors(process.pid)
            process.send_signal(signal.SIGTERM)
            process.communicate(timeout=15)
            status = process.returncode
        self.assertEqual(status, 0)
        self.assertTrue(any("serves callers" in line for line in lines), lines)
        self.assertNotIn("anon_inode:[io_uring]", names)

    def test_address_in_use(self) -> None:
        import socket

        with (
            tempfile.TemporaryDirectory() as folder,
            socket.create_server(("127.0.0.1", 0)) as occupied,
        ):
            path = Path(folder) / "node.json"
            address = f"127.0.0.1:{occupied.getsockname()[1]}"
            path.write_text(json.dumps(_settings() | {"listen": address}))
            done = subprocess.run(
                [sys.executable, "-m", "lacewinghub", "node", str(path)],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=30,
            )
        self.assertEqual(done.returncode, 1)
        self.assertIn("error address_unavailable: cannot listen on listen ", done.stderr)


def _settings() -> dict[str, Any]:
    return {
        "node": "n1",
        "availability_zone": "north-a",
        "listen": f"127.0.0.1:{free_port()}",
        "peer_listen": f"127.0.0.1:{free_port()}",
        "log": f"127.0.0.1:{free_port()}",
        "peer_key": "0123456789abcdef",
    }
