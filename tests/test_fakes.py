"""Tests of the fake runners and services: protocol, timing and faults."""

import asyncio
import contextlib
import json
import socket
import subprocess
import sys
import tempfile
import unittest
from typing import Any

import aiohttp
import looptime

from lacewinghub._fake_engine import Engine, prefix_blocks, prompt_words
from lacewinghub.evidence import read_records
from lacewinghub.fake_runner import (
    POISON,
    STATE_HEADER,
    EngineConfig,
    FakeRunner,
    expected_text,
    expected_tokens,
)
from lacewinghub.fake_service import FakeService, ServiceFaults
from lacewinghub.request import prefix_hashes

FAST = EngineConfig(step_s=0.001, step_per_sequence_s=0.0)


def _body(text: str = "paint the kitchen", tokens: int = 12, **members: Any) -> dict[str, Any]:
    return {
        "model": "colour",
        "messages": [{"role": "user", "content": text}],
        "metadata": {"output_tokens": tokens},
        **members,
    }


async def _read(response: aiohttp.ClientResponse) -> tuple[list[dict[str, Any]], bool]:
    chunks, done = [], False
    async for line in response.content:
        data = line.decode().removeprefix("data: ").strip()
        if data == "[DONE]":
            done = True
        elif data:
            chunks.append(json.loads(data))
    return chunks, done


class RunnerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a fake runner whose answers or faults deviate from the runner protocol."""

    async def asyncSetUp(self) -> None:
        self.runner = FakeRunner("r1", FAST, poison_down_s=None)
        await self.runner.start()
        self.client = aiohttp.ClientSession(f"http://{self.runner.address}")

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.runner.stop()

    async def _stream(self, body: dict[str, Any]) -> tuple[list[dict[str, Any]], bool]:
        async with self.client.post("/v1/chat/completions", json=body | {"stream": True}) as reply:
            self.assertEqual(reply.status, 200)
            return await _read(reply)

    async def test_stream_carries_every_token_with_its_offset(self) -> None:
        body = _body(priority=1, request_id="a")
        chunks, done = await self._stream(body)
        self.assertTrue(done)
        self.assertEqual([chunk["index"] for chunk in chunks], list(range(13)))
        texts = [chunk["choices"][0]["delta"].get("content", "") for chunk in chunks]
        self.assertEqual("".join(texts), expected_text(body))
        self.assertEqual(chunks[-1]["choices"][0]["finish_reason"], "stop")
        self.assertEqual(chunks[-1]["usage"]["completion_tokens"], 12)

    async def test_resume_continues_the_same_answer(self) -> None:
        body = _body(request_id="a", resume_from=7)
        chunks, _ = await self._stream(body)
        texts = [chunk["choices"][0]["delta"].get("content", "") for chunk in chunks]
        self.assertEqual(texts[:-1], expected_tokens(body)[7:])
        self.assertEqual(chunks[-1]["index"], 12)

    async def test_unstreamed_answer_is_complete(self) -> None:
        async with self.client.post("/v1/chat/completions", json=_body()) as reply:
            answer = await reply.json()
        self.assertEqual(answer["choices"][0]["message"]["content"], expected_text(_body()))

    async def test_chunk_faults_keep_the_offsets_right(self) -> None:
        body = _body(tokens=60)
        self.runner.set_faults(duplicate=0.3, reorder=0.3, late=0.1, late_s=0.002)
        chunks, done = await self._stream(body)
        indexes = [chunk["index"] for chunk in chunks]
        self.assertTrue(done)
        self.assertNotEqual(indexes, sorted(set(indexes)))
        found = {c["index"]: c["choices"][0]["delta"].get("content", "") for c in chunks}
        self.assertEqual("".join(found[index] for index in sorted(found)), expected_text(body))

    async def test_truncated_stream_has_no_last_chunk(self) -> None:
        self.runner.set_faults(truncate=1.0)
        chunks, done = await self._stream(_body())
        self.assertEqual((chunks, done), ([], False))

    async def test_failing_runner_counts_the_requests_that_it_refuses(self) -> None:
        self.runner.set_faults(fail=1.0)
        async with self.client.post("/v1/chat/completions", json=_body()) as reply:
            self.assertEqual(reply.status, 500)
        async with self.client.get("/stats") as reply:
            self.assertEqual((await reply.json())["requests"], 1)

    async def test_crash_breaks_streams_and_refuses_until_restart(self) -> None:
        task = asyncio.create_task(self._stream(_body(tokens=5000)))
        await asyncio.sleep(0.05)
        self.runner.crash()
        with self.assertRaises(aiohttp.ClientError):
            await task
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.client.get("/load")
        await self.runner.restart()
        chunks, done = await self._stream(_body())
        self.assertEqual((len(chunks), done, self.runner.crashes), (13, True, 1))

    async def test_crash_closes_a_connection_that_is_being_accepted(self) -> None:
        """Guards against clients that wait for a crashed runner until they time out."""
        loop = asyncio.get_running_loop()
        with socket.create_connection((self.runner.host, self.runner.port)) as sock:
            sock.setblocking(False)
            # The crash happens in the loop iteration in which the connection is accepted.
            loop.call_at(loop.time(), self.runner.crash)
            async with asyncio.timeout(5):
                with contextlib.suppress(ConnectionResetError):
                    self.assertEqual(await loop.sock_recv(sock, 1), b"")

    async def test_poison_crashes_the_runner(self) -> None:
        with self.assertRaises(aiohttp.ClientError):
            await self._stream(_body(f"x {POISON}"))
        self.assertFalse(self.runner.up)

    async def test_faults_over_http(self) -> None:
        async with self.client.post("/control/leave") as reply:
            self.assertEqual(reply.status, 200)
        async with self.client.post("/v1/chat/completions", json=_body()) as reply:
            self.assertEqual((reply.status, reply.headers[STATE_HEADER]), (503, "leaving"))
        async with self.client.get("/load") as reply:
            self.assertEqual((await reply.json())["state"], "leaving")
        await (await self.client.post("/control/stay")).read()
        async with self.client.post("/control/freeze", json={"for_s": 0.1}) as reply:
            self.assertEqual(reply.status, 200)
        with self.assertRaises(asyncio.TimeoutError):
            await asyncio.wait_for(self.client.get("/load"), 0.05)
        self.assertEqual(len((await self._stream(_body()))[0]), 13)
        async with self.client.post("/control/crash", json={"for_s": 0.05}) as reply:
            self.assertEqual(reply.status, 200)
        await asyncio.sleep(0.02)
        with self.assertRaises(aiohttp.ClientError):
            await self.client.get("/load")
        await asyncio.sleep(0.1)
        self.assertEqual(len((await self._stream(_body()))[0]), 13)

    async def test_cancel_frees_the_slot(self) -> None:
        task = asyncio.create_task(self._stream(_body(tokens=5000, request_id="long")))
        await asyncio.sleep(0.05)
        async with self.client.post("/cancel/long") as reply:
            self.assertEqual((await reply.json())["cancelled"], 1)
        _, done = await task
        self.assertFalse(done)
        self.assertEqual(self.runner.load()["running"], 0)

    async def test_disconnect_frees_the_slot(self) -> None:
        task = asyncio.create_task(self._stream(_body(tokens=5000)))
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.sleep(0.1)
        self.assertEqual(self.runner.load()["running"], 0)
        self.assertEqual(self.runner.engine.stats.cancelled, 1)

    async def test_load_lags(self) -> None:
        self.runner.set_load_lag(0.3)
        task = asyncio.create_task(self._stream(_body(tokens=5000)))
        await asyncio.sleep(0.1)
        async with self.client.get("/load") as reply:
            self.assertEqual((await reply.json())["running"], 0)
        await asyncio.sleep(0.4)
        async with self.client.get("/load") as reply:
            self.assertEqual((await reply.json())["running"], 1)
        task.cancel()

    async def test_cache_events_are_late_and_have_gaps(self) -> None:
        clock = [0.0]
        runner = FakeRunner(
            "r2", FAST, event_delay_s=0.2, event_gap=0.5, event_clock=lambda: clock[0]
        )
        await runner.start()
        words = " ".join(f"w{n}" for n in range(64 * 20))
        async with aiohttp.ClientSession(f"http://{runner.address}") as client:
            async with client.post("/v1/chat/completions", json=_body(words)) as reply:
                await reply.read()
            early = []
            for clock[0] in (0.0, 0.199):
                async with client.get("/cache_events?from=0") as reply:
                    early.append(await reply.json())
            clock[0] = 0.2
            async with client.get("/cache_events?from=0") as reply:
                late = await reply.json()
            runner.crash()
            await runner.restart()
            async with client.get(f"/cache_events?from={late['next']}") as reply:
                restarted = await reply.json()
        await runner.stop()
        self.assertEqual(early, [{"events": [], "next": 0}] * 2)
        self.assertEqual(restarted, {"events": [], "next": 0})
        self.assertTrue(0 < len(late["events"]) < 20)
        blocks = prefix_blocks("colour", words.split())
        self.assertTrue(all(event["block"] in blocks for event in late["events"]))


class EngineTest(unittest.TestCase):
    """Guards against wrong timing and order of the batching engine."""

    def _finish_order(self, cfg: EngineConfig, bodies: list[dict[str, Any]]) -> list[str]:
        order: list[str] = []

        async def follow(engine: Engine, body: dict[str, Any]) -> None:
            sequence = engine.submit(body)
            while await sequence.offsets.get() is not None:
                pass
            order.append(sequence.id)

        async def run() -> None:
            thawed = asyncio.Event()
            thawed.set()
            engine = Engine(cfg, thawed)
            await asyncio.gather(*(follow(engine, body) for body in bodies))
            self.elapsed_s = asyncio.get_running_loop().time()
            self.engine = engine

        loop = looptime.new_event_loop(start=0)
        try:
            loop.run_until_complete(run())
        finally:
            loop.close()
        return order

    def test_higher_priority_leaves_the_queue_first(self) -> None:
        bodies = [_body(request_id=f"p{p}", priority=p, tokens=5) for p in (3, 2, 8, 1)]
        order = self._finish_order(EngineConfig(slots=1), bodies)
        self.assertEqual(order, ["p1", "p2", "p3", "p8"])

    def test_decode_time_follows_the_step(self) -> None:
        self._finish_order(EngineConfig(step_s=0.02), [_body(tokens=50)])
        self.assertAlmostEqual(self.elapsed_s, 1.0, delta=0.05)

    def test_cached_prefix_saves_prefill(self) -> None:
        words = " ".join(f"w{n}" for n in range(640))
        cfg = EngineConfig(slots=1, prefill_tokens_s=640.0, step_s=0.01)
        self._finish_order(cfg, [_body(words, tokens=1, request_id="a")])
        alone_s = self.elapsed_s
        self._finish_order(cfg, [_body(words, tokens=1, request_id=name) for name in "ab"])
        self.assertGreater(alone_s, 0.9)
        self.assertLess(self.elapsed_s, alone_s + 0.1)
        self.assertEqual(self.engine.stats.cached_tokens, 640)

    def test_blocks_equal_those_of_the_nodes(self) -> None:
        messages = [
            {"role": "system", "content": " ".join(f"s{n}" for n in range(100))},
            {"role": "user", "content": [{"type": "text", "text": "a b " * 60}]},
        ]
        words = prompt_words({"messages": messages})
        found = prefix_blocks("colour", words)
        self.assertEqual(len(found), 3)
        self.assertEqual(found, list(prefix_hashes("colour", messages)))

    def test_small_cache_evicts(self) -> None:
        cfg = EngineConfig(slots=1, cache_blocks=5)
        texts = [" ".join(f"{name}{n}" for n in range(320)) for name in "aba"]
        self._finish_order(cfg, [_body(text, tokens=1) for text in texts])
        self.assertEqual(self.engine.stats.cached_tokens, 0)
        self.assertIn("evict", {op for op, _ in self.engine.cache.changes})


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a ledger that misses an execution or lists one that did not happen."""

    async def test_each_fault_leaves_the_ledger_right(self) -> None:
        cases = [
            ("plain", ServiceFaults(), 200, 1),
            ("delay", ServiceFaults(delay_s=0.05), 200, 1),
            ("fail before", ServiceFaults(fail_before=1), 500, 0),
            ("fail after", ServiceFaults(fail_after=1), 500, 1),
            ("lost reply", ServiceFaults(lose_reply=1), 0, 1),
            ("lost request", ServiceFaults(lose_request=1), 0, 0),
        ]
        for name, faults, status, runs in cases:
            with self.subTest(name):
                service = FakeService(faults=faults)
                await service.start()
                async with aiohttp.ClientSession(f"http://{service.address}") as client:
                    found = await self._call(client, "k1")
                await service.stop()
                self.assertEqual((found, len(service.ledger)), (status, runs))

    async def test_ledger_file_is_evidence_of_a_killed_service(self) -> None:
        with tempfile.TemporaryDirectory() as path:
            service = FakeService("s1", ledger_file=f"{path}/s1.ledger")
            await service.start()
            async with aiohttp.ClientSession(f"http://{service.address}") as client:
                await self._call(client, "k1")
            await service.stop()
            runs = read_records([f"{path}/s1.ledger"]).executions
        self.assertEqual([(run.key, run.endpoint) for run in runs], [("k1", "s1")])

    async def test_second_call_with_a_key_counts_as_double_run(self) -> None:
        service = FakeService()
        await service.start()
        async with aiohttp.ClientSession(f"http://{service.address}") as client:
            for key in ("k1", "k1", "k2"):
                await self._call(client, key)
            async with client.get("/ledger") as reply:
                ledger = await reply.json()
        await service.stop()
        self.assertEqual([run["key"] for run in ledger["runs"]], ["k1", "k1", "k2"])
        self.assertEqual(ledger["double_runs"], 1)

    async def test_run_ends_after_its_caller_disconnects(self) -> None:
        service = FakeService(faults=ServiceFaults(delay_s=0.1))
        await service.start()
        async with aiohttp.ClientSession(f"http://{service.address}") as client:
            task = asyncio.create_task(self._call(client, "k1"))
            await asyncio.sleep(0.03)
            task.cancel()
        await asyncio.sleep(0.2)
        await service.stop()
        self.assertEqual(len(service.ledger), 1)

    async def _call(self, client: aiohttp.ClientSession, key: str) -> int:
        try:
            headers = {"Idempotency-Key": key}
            async with client.post("/run", json={"slot": 4}, headers=headers) as reply:
                await reply.read()
                return reply.status
        except aiohttp.ClientError:
            return 0


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against fakes that fail to run as processes."""

    async def test_runner_and_service_serve_and_stop(self) -> None:
        for module in ("fake_runner", "fake_service"):
            with self.subTest(module):
                process = subprocess.Popen(
                    [sys.executable, "-m", f"lacewinghub.{module}", "--port", "0"],
                    stdout=subprocess.PIPE,
                    text=True,
                )
                self.addCleanup(process.wait)
                self.addCleanup(process.kill)
                assert process.stdout is not None
                address = json.loads(process.stdout.readline())["address"]
                async with (
                    aiohttp.ClientSession() as client,
                    client.get(f"http://{address}/load") as reply,
                ):
                    self.assertEqual((await reply.json())["running"], 0)
                process.terminate()
                self.assertEqual(process.wait(10), 0)
                process.stdout.close()
