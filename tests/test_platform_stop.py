"""Tests of planned stops and of the settings of a node on the platform."""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from dataclasses import replace
from pathlib import Path

import aiohttp

from lacewinghub.fakes.platform_runner import RunnerFault
from lacewinghub.platform.node import PlatformAdapter

from .platform_cluster import (
    HOST,
    KEY,
    ROUTES,
    PlatformCase,
    config,
    free_port,
    is_whole,
    route,
)

LONG_DEADLINE = {"Lacewinghub-Deadline-Ms": "8000"}
LONG = {"Lacewinghub-Deadline-Ms": "12000"}
LONG_ROUTES = [*ROUTES, route("long", "models", "streaming", timeout_ms=8000)]


def _kill(proc: asyncio.subprocess.Process) -> None:
    """End a process that a failed test left behind."""
    with contextlib.suppress(ProcessLookupError):
        proc.kill()


def hangup_treatment(pid: int) -> str:
    """Return whether a process ignores (``SigIgn``) or handles (``SigCgt``) SIGHUP, or neither."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, mask = line.partition(":")
        if name in ("SigIgn", "SigCgt") and int(mask, 16) >> (signal.SIGHUP - 1) & 1:
            return name
    return ""


class TestStop(PlatformCase):
    async def test_a_stop_truncates_no_response(self) -> None:
        # Guards against responses truncated by a planned stop, and against a stopping node that
        # reports that it is ready.
        self.store.put("keyed.op", "config", config(2, LONG_ROUTES))
        for item in self.models:
            item.work_s = 0.5
        await self.until_version(2)
        node, loop = self.members[0], asyncio.get_running_loop()
        started = loop.time()
        stream = asyncio.create_task(self.ask("/long/a", tokens="10,4"))
        await asyncio.sleep(0.2)
        node.request_stop()
        await asyncio.sleep(0.05)
        self.assertFalse(await self.is_ready(node))
        later = await self.ask("/once/a")
        self.assertEqual(later.status, 200)
        self.assertNotIn("connection", later.headers)
        self.assertTrue((await stream).complete)
        await asyncio.wait_for(self.tasks[0], 8)
        self.assertLess(loop.time() - started, 8)

    async def test_a_draining_node_refuses_requests_that_would_not_end_in_time(self) -> None:
        self.store.put("keyed.op", "config", config(2, LONG_ROUTES))
        for item in self.models:
            item.work_s = 1.0
        await self.until_version(2)
        node = self.members[0]
        running = asyncio.create_task(self.ask("/long/a", tokens="10,4", headers=LONG_DEADLINE))
        node.request_stop()
        await asyncio.sleep(3.0)
        refused = await self.ask("/long/b", tokens="10,4")
        plain = await self.ask("/once/a")
        self.assertEqual((refused.status, plain.status), (503, 200))
        self.assertEqual(plain.headers["connection"], "close")
        self.assertTrue((await running).complete)

    async def test_what_the_end_of_the_process_interrupts_gets_a_true_answer(self) -> None:
        # Guards against requests in the queue or at a runner whose connections a stop just closes.
        slow = route("slow", "apps", "non_idempotent", timeout_ms=12_000)
        self.store.put("keyed.op", "config", config(2, [*ROUTES, slow]))
        for item in self.apps:
            item.work_s = 20.0
            item.announce(self.store, slots=1)
        await self.until_version(2)
        await asyncio.sleep(1.0)
        asked = [
            asyncio.create_task(self.ask("/slow/a", attempt=f"slow-{number}", headers=LONG))
            for number in range(8)
        ]
        await asyncio.sleep(0.3)
        sent = {run.attempt for item in self.apps for run in item.runs}
        self.assertTrue(0 < len(sent) < len(asked))
        self.members[0].request_stop()
        answers = await asyncio.gather(*asked)
        for number, answer in enumerate(answers):
            self.assertEqual(answer.status, 502 if f"slow-{number}" in sent else 503)
            self.assertTrue(answer.complete)
        self.assertEqual(sent, {run.attempt for item in self.apps for run in item.runs})

    async def test_a_waiting_request_is_served_if_its_answer_can_be_complete_in_time(self) -> None:
        slow = route("slow", "apps", "non_idempotent", timeout_ms=12_000)
        self.store.put("keyed.op", "config", config(2, [*ROUTES, slow]))
        for item in self.apps:
            item.work_s = 0.5
            item.announce(self.store, slots=1)
        await self.until_version(2)
        await asyncio.sleep(1.0)
        await self.ask("/slow/first", headers=LONG)
        asked = [asyncio.create_task(self.ask("/slow/a", headers=LONG)) for _ in range(16)]
        await asyncio.sleep(0.1)
        self.members[0].request_stop()
        self.assertEqual({item.status for item in await asyncio.gather(*asked)}, {200})

    async def test_a_stream_without_framing_that_a_stop_cuts_does_not_look_whole(self) -> None:
        self.store.put("keyed.op", "config", config(2, LONG_ROUTES))
        await self.until_version(2)
        for item in self.models:
            item.work_s, item.events = 0.2, 100
            item.fail(RunnerFault.UNFRAMED)
        stream = asyncio.create_task(self.looks_whole("/long/a", deadline_ms=12_000))
        await asyncio.sleep(0.5)
        self.members[0].cfg = replace(self.members[0].cfg, grace_s=3.0)
        self.members[0].request_stop()
        self.assertFalse(await stream)

    async def test_requests_behind_another_one_are_answered_by_a_draining_node(self) -> None:
        # Guards against a request that was read whole and is dropped behind "Connection: close".
        for item in self.apps:
            item.work_s = 0.5
        self.members[0].request_stop()
        await asyncio.sleep(2.6)
        port = self.members[0].ports["front"]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for number in range(3):
            writer.write(
                f"POST /once/a HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
                f"Lacewinghub-Attempt-Id: behind-{number}\r\nContent-Length: 0\r\n\r\n".encode()
            )
        data = await reader.read()
        writer.close()
        self.assertEqual(data.count(b"HTTP/1.1 200"), 3)
        self.assertEqual(data.lower().count(b"connection: close"), 1)

    async def test_a_stop_uses_the_settings_of_its_moment(self) -> None:
        # Guards against bookings that are lost because the node plans with a longer grace period.
        node, loop = self.members[0], asyncio.get_running_loop()
        adapter = node._adapter
        assert isinstance(adapter, PlatformAdapter) and adapter._boot is not None
        bounds = adapter._boot.bounds.model_copy(update={"grace_s": 3})
        adapter._boot = adapter._boot.model_copy(update={"bounds": bounds})
        node.request_stop()
        await asyncio.sleep(0.05)
        self.assertLess(node._gateway.ends_at, loop.time() + 3)


class TestKilledProcess(PlatformCase):
    """Guards against a form whose end only a last act of the node would show.

    A killed process acts no more, and the operating system closes its connections in order.
    """

    async def test_an_answer_of_a_killed_node_does_not_look_whole(self) -> None:
        self.store.put("keyed.op", "config", config(2, LONG_ROUTES))
        for item in self.models + self.apps:
            item.work_s, item.events, item.more_pieces = 0.05, 200, 200
        cases = [
            ("/long/a", RunnerFault.UNFRAMED, b"data: piece 3"),
            ("/long/a", None, b"data: piece 3"),
            ("/once/a", RunnerFault.UNFRAMED, b"done:/once/a"),
        ]
        for path, fault, start in cases:
            with self.subTest(path=path, fault=fault), tempfile.TemporaryDirectory() as folder:
                for item in self.models + self.apps:
                    item._faults.clear()
                    if fault is not None:
                        item.fail(fault)
                proc, port = await self.start_process(Path(folder))
                try:
                    asked = asyncio.create_task(self.exchange(path, deadline_ms=12_000, port=port))
                    await asyncio.sleep(1.0)
                finally:
                    proc.kill()
                    await proc.wait()
                answer, was_reset = await asked
                self.assertIn(start, answer)
                self.assertTrue(was_reset or not is_whole(answer))

    async def start_process(self, folder: Path) -> tuple[asyncio.subprocess.Process, int]:
        """Start a node as a process; return it with its port for clients once it is ready."""
        listener = await self.store.open_listener()
        host, front, ready = "127.0.0.8", free_port(), free_port()
        path = folder / "boot.toml"
        path.write_text(
            f'node_name = "killed"\nzone = "z"\n[listen]\nfront = "127.0.0.1:{front}"\n'
            f'ready = "{host}:{ready}"\n[platform]\naddress = "{listener.address}"\n'
        )
        proc = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lacewinghub.platform",
            env=os.environ | {"LACEWINGHUB_BOOT": str(path)},
            stdout=asyncio.subprocess.DEVNULL,
        )

        async def is_ready() -> bool:
            try:
                async with self.session.get(f"http://{host}:{ready}/v1/ready") as resp:
                    return resp.status == 200
            except aiohttp.ClientError:
                return False

        await self.until(is_ready, limit_s=15.0)
        return proc, front


class TestProcess(PlatformCase):
    async def test_signals_and_log_lines(self) -> None:
        listener = await self.store.open_listener()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "boot.toml")
            text = (
                'node_name = "n-1"\nzone = "z"\n[listen]\nfront = "127.0.0.1:0"\n'
                f'ready = "127.0.0.1:0"\n[platform]\naddress = "{listener.address}"\n'
                "[bounds]\ngrace_s = 4\n"
            )
            path.write_text(text)
            env = os.environ | {"LACEWINGHUB_BOOT": str(path)}
            proc = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lacewinghub.platform",
                env=env,
                stdout=asyncio.subprocess.PIPE,
            )
            assert proc.stdout is not None
            lines: list[dict[str, object]] = []

            async def until(message: str) -> None:
                async with asyncio.timeout(10):
                    while True:
                        assert proc.stdout is not None
                        line = json.loads(await proc.stdout.readline())
                        lines.append(line)
                        if str(line["message"]).startswith(message):
                            return

            await until("endpoint announced")
            proc.send_signal(signal.SIGHUP)
            await until("settings read again")
            path.write_text(text.replace("grace_s = 4", "grace_s = 5"))
            await until("settings read again")
            self.assertEqual(lines[-1]["grace_s"], 5)
            path.write_text("broken = ")
            await until("settings not applied")
            proc.send_signal(signal.SIGTERM)
            proc.send_signal(signal.SIGTERM)
            await until("node is leaving")
            await until("node stopped")
            self.assertEqual(await proc.wait(), 0)
            self.assertIn("node started", [line["message"] for line in lines])

    async def test_changed_settings_do_not_end_a_process_that_starts(self) -> None:
        # Guards against a SIGHUP between the start of the program and that of its event loop.
        listener = await self.store.open_listener()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "boot.toml")
            path.write_text(
                'node_name = "n-1"\nzone = "z"\n[listen]\nfront = "127.0.0.1:0"\n'
                f'ready = "127.0.0.1:0"\n[platform]\naddress = "{listener.address}"\n'
            )
            proc = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lacewinghub.platform",
                env=os.environ | {"LACEWINGHUB_BOOT": str(path)},
                stdout=asyncio.subprocess.PIPE,
            )
            self.addCleanup(_kill, proc)
            assert proc.stdout is not None
            async with asyncio.timeout(10):
                while not (treated := hangup_treatment(proc.pid)):
                    await asyncio.sleep(0.001)
                self.assertEqual(treated, "SigIgn")
                proc.send_signal(signal.SIGHUP)
                while b"node started" not in await proc.stdout.readline():
                    self.assertIsNone(proc.returncode)
                    self.assertFalse(proc.stdout.at_eof())
            proc.terminate()
            await proc.communicate()

    async def test_wrong_settings_end_the_process_with_their_code(self) -> None:
        env = os.environ | {"LACEWINGHUB_BOOT": "/nonexistent/boot.toml"}
        proc = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lacewinghub.platform", env=env, stderr=asyncio.subprocess.PIPE
        )
        _, err = await proc.communicate()
        self.assertEqual(proc.returncode, 1)
        self.assertIn(b"error settings_invalid", err)
