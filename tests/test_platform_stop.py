"""Planned stops and settings of a node on the platform."""

import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path

from .platform_cluster import ROUTES, PlatformCase, config, route

PATIENT = {"Lacewinghub-Deadline-Ms": "8000"}
LONG = [*ROUTES, route("long", "models", "streaming", timeout_ms=8000)]


class TestStop(PlatformCase):
    async def test_a_stop_cuts_off_no_answer(self) -> None:
        # Guards against answers cut off by a planned stop and against a node that looks ready.
        self.store.put("keyed.op", "config", config(2, LONG))
        for item in self.models:
            item.work_s = 0.5
        await self.until_version(2)
        node, loop = self.members[0], asyncio.get_running_loop()
        begun = loop.time()
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
        self.assertLess(loop.time() - begun, 8)

    async def test_while_draining_only_what_ends_in_time_is_taken(self) -> None:
        self.store.put("keyed.op", "config", config(2, LONG))
        for item in self.models:
            item.work_s = 1.0
        await self.until_version(2)
        node = self.members[0]
        running = asyncio.create_task(self.ask("/long/a", tokens="10,4", headers=PATIENT))
        node.request_stop()
        await asyncio.sleep(3.0)
        refused = await self.ask("/long/b", tokens="10,4")
        plain = await self.ask("/once/a")
        self.assertEqual((refused.status, plain.status), (503, 200))
        self.assertEqual(plain.headers["connection"], "close")
        self.assertTrue((await running).complete)


class TestProcess(PlatformCase):
    async def test_signals_and_log_lines(self) -> None:
        gate = await self.store.open_listener()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "boot.toml")
            text = (
                'node_name = "n-1"\nzone = "z"\n[listen]\nfront = "127.0.0.1:0"\n'
                f'ready = "127.0.0.1:0"\n[platform]\naddress = "{gate.address}"\n'
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

    async def test_wrong_settings_end_the_process_with_their_code(self) -> None:
        env = os.environ | {"LACEWINGHUB_BOOT": "/nonexistent/boot.toml"}
        proc = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lacewinghub.platform", env=env, stderr=asyncio.subprocess.PIPE
        )
        _, err = await proc.communicate()
        self.assertEqual(proc.returncode, 1)
        self.assertIn(b"error settings_invalid", err)
