"""Tests of complete deployments: a log, runners, a service and nodes as processes on loopback."""

import asyncio
import json
import socket
import time
import unittest
from typing import Any

import aiohttp

from lacewinghub._fake_engine import expected_text
from tests.processes import (
    OPERATOR_KEY,
    WORKSPACE_KEY,
    Deployment,
    child_pids,
    descriptors,
    free_port,
)

_AUTH = {"Authorization": f"Bearer {WORKSPACE_KEY}"}
_BODY_LIMIT = 64 * 1024
_RUNNER_ARGS = ["--step_ms", "5"]


def _chat(words: str = "hello", tokens: int = 8, stream: bool = True) -> dict[str, Any]:
    return {
        "model": "colour",
        "messages": [{"role": "user", "content": words}],
        "metadata": {"output_tokens": tokens},
        "stream": stream,
    }


class ClientResponse:
    """Response that a client received."""

    def __init__(self, status: int, text: str) -> None:
        self.status = status
        self.events = [line[6:] for line in text.splitlines() if line.startswith("data: ")]
        self.done = "[DONE]" in self.events
        self.error = ""
        self.content = ""
        if status != 200:
            self.error = json.loads(text)["error"]["code"]
            return
        for event in self.events:
            body = json.loads(event) if event != "[DONE]" else {}
            if "error" in body:
                self.error = body["error"]["code"]
            for choice in body.get("choices", []):
                self.content += choice["delta"].get("content", "")


class DeploymentCase(unittest.IsolatedAsyncioTestCase):
    """Starts one deployment per test class."""

    deployment: Deployment
    members: dict[str, Any] = {}  # noqa: RUF012

    @classmethod
    def setUpClass(cls) -> None:
        cls.deployment = Deployment(**cls.members)
        cls.addClassCleanup(cls.deployment.close)

    async def asyncSetUp(self) -> None:
        self.http = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=30))
        self.addAsyncCleanup(self.http.close)

    def url(self, node: str, path: str) -> str:
        """Return the URL of a path at a node."""
        return f"http://{self.deployment.nodes[node].address}{path}"

    async def chat(self, node: str, body: dict[str, Any]) -> ClientResponse:
        """Send a chat completion and read the whole answer."""
        url = self.url(node, "/v1/chat/completions")
        async with self.http.post(url, json=body, headers=_AUTH) as resp:
            return ClientResponse(resp.status, await resp.text())

    async def call(self, node: str, pool: str, body: Any, key: str | None) -> tuple[int, Any]:
        """Send a plain call."""
        headers = _AUTH if key is None else _AUTH | {"Idempotency-Key": key}
        url = self.url(node, f"/v1/services/{pool}")
        async with self.http.post(url, json=body, headers=headers) as resp:
            return resp.status, await resp.json()

    async def status_of(self, node: str, path: str) -> int:
        """Return the status of a GET request."""
        async with self.http.get(self.url(node, path)) as resp:
            return resp.status

    async def ledger(self) -> dict[str, Any]:
        """Return the calls that the service executed."""
        async with self.http.get(f"http://{self.deployment.services[0].address}/ledger") as resp:
            return await resp.json()

    async def wait_claims(self) -> None:
        """Wait until every node accepts keyed calls."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        for node in self.deployment.nodes:
            deadline = time.monotonic() + 10
            while time.monotonic() < deadline:
                async with self.http.get(self.url(node, "/status"), headers=headers) as resp:
                    if (await resp.json())["claims_ready"]:
                        break
                await asyncio.sleep(0.05)


class ThreeNodesTest(DeploymentCase):
    """Guards against nodes that do not serve, or that use child processes or io_uring."""

    members = {"nodes": 3, "runner_args": _RUNNER_ARGS}  # noqa: RUF012

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.deployment.wait_up()
        if await self.status_of("n0", "/readyz") != 200:
            await self.deployment.publish()
        await self.deployment.wait_ready()
        await self.wait_claims()

    async def test_chats_are_served_at_every_node(self) -> None:
        for node in self.deployment.nodes:
            body = _chat(f"paint at {node}")
            with self.subTest(node):
                answer = await self.chat(node, body)
                self.assertEqual((answer.done, answer.error), (True, ""))
                self.assertEqual(answer.content, expected_text(body))
                body["stream"] = False
                url = self.url(node, "/v1/chat/completions")
                async with self.http.post(url, json=body, headers=_AUTH) as resp:
                    found = await resp.json()
                self.assertEqual(found["choices"][0]["message"]["content"], expected_text(body))
                self.assertEqual(found["choices"][0]["finish_reason"], "stop")
                self.assertEqual(found["usage"]["completion_tokens"], 8)

    async def test_stream_options_add_the_usage(self) -> None:
        body = _chat() | {"stream_options": {"include_usage": True}}
        answer = await self.chat("n1", body)
        self.assertEqual(json.loads(answer.events[-2])["usage"]["total_tokens"], 9)
        self.assertTrue(answer.done)

    async def test_calls_are_served_at_every_node_and_keyed_ones_run_once(self) -> None:
        for node in self.deployment.nodes:
            status, body = await self.call(node, "prices", {"item": node}, None)
            self.assertEqual((status, body["result"]), (200, {"item": node}))
        results = [
            await self.call(node, "booking", {"slot": 1}, "book-1")
            for node in self.deployment.nodes
        ]
        self.assertEqual([status for status, _ in results], [200, 200, 200])
        self.assertEqual(len({body["run"] for _, body in results}), 1)
        both = await asyncio.gather(
            *(self.call(node, "booking", {"slot": 2}, "book-2") for node in self.deployment.nodes)
        )
        self.assertEqual({status for status, _ in both}, {200})
        self.assertEqual((await self.ledger())["double_runs"], 0)

    async def test_many_streams_at_all_nodes_get_their_own_answers(self) -> None:
        bodies = [_chat(f"question {n}", 5 + n % 7) for n in range(30)]
        answers = await asyncio.gather(
            *(self.chat(f"n{n % 3}", body) for n, body in enumerate(bodies))
        )
        for body, answer in zip(bodies, answers, strict=True):
            self.assertEqual((answer.content, answer.done), (expected_text(body), True))

    async def test_bad_input_is_refused_with_a_code(self) -> None:
        good = json.dumps(_chat()).encode()
        chat, book = "/v1/chat/completions", "/v1/services/booking"
        await self.call("n0", "booking", {"slot": 3}, "book-3")
        operator = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        keyed = _AUTH | {"Idempotency-Key": "book-3"}
        big = b'{"x": "' + b"x" * _BODY_LIMIT * 100 + b'"}'
        cases: list[tuple[str, str, dict[str, str], bytes, int, str]] = [
            ("not JSON", chat, _AUTH, b"{", 400, "bad_json"),
            ("no object", chat, _AUTH, b"[1]", 400, "bad_json"),
            ("wrong member", chat, _AUTH, b'{"model": 1, "messages": []}', 400, "bad_request"),
            ("unknown model", chat, _AUTH, good.replace(b"colour", b"lime"), 404, "unknown_model"),
            ("oversize", chat, _AUTH, big[:4_500_000], 413, "too_large"),
            ("far oversize", chat, _AUTH, big * 3, 413, "too_large"),
            ("no key", chat, {}, good, 401, "unauthorized"),
            ("wrong key", chat, {"Authorization": "Bearer x"}, good, 401, "unauthorized"),
            ("other scheme", chat, {"Authorization": "Basic x"}, good, 401, "unauthorized"),
            ("operator key", chat, operator, good, 401, "unauthorized"),
            ("class", chat, _AUTH | {"X-Request-Class": "a b"}, good, 400, "bad_request"),
            ("unknown pool", "/v1/services/none", _AUTH, b"{}", 404, "unknown_pool"),
            ("pool of runners", "/v1/services/colour", _AUTH, b"{}", 404, "unknown_pool"),
            ("idempotency key missing", book, _AUTH, b"{}", 400, "key_missing"),
            ("key reused", book, keyed, b'{"slot": 4}', 422, "key_reused"),
            ("unknown path", "/v1/other", _AUTH, b"{}", 404, "not_found"),
            ("wrong method", "/healthz", _AUTH, b"{}", 405, "method_not_allowed"),
        ]
        for name, path, headers, data, status, code in cases:
            with self.subTest(name):
                async with self.http.post(self.url("n0", path), data=data, headers=headers) as resp:
                    error = (await resp.json())["error"]
                    self.assertEqual((resp.status, error["code"]), (status, code))
                    self.assertEqual(error["request_id"], resp.headers["x-request-id"])

    async def test_malformed_http_gets_a_coded_error(self) -> None:
        host, port = self.deployment.nodes["n0"].address.split(":")
        for data in (b"hello\r\n\r\n", b"POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n"):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            reply = await asyncio.wait_for(reader.read(), 5)
            writer.close()
            head, _, body = reply.partition(b"\r\n\r\n")
            self.assertIn(b" 400 ", head.splitlines()[0])
            self.assertEqual(json.loads(body)["error"]["code"], "bad_request")

    async def test_status_needs_the_operator_key(self) -> None:
        for headers, status in (({}, 401), (_AUTH, 403)):
            async with self.http.get(self.url("n0", "/status"), headers=headers) as resp:
                self.assertEqual(resp.status, status)
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        async with self.http.get(self.url("n0", "/status"), headers=headers) as resp:
            found = await resp.json()
        self.assertEqual((found["node"], found["config_version"]), ("n0", 1))
        self.assertEqual(set(found["members"]), {"n0", "n1", "n2"})

    async def test_node_has_no_child_process_and_no_io_uring(self) -> None:
        await self.chat("n0", _chat())
        for name, node in self.deployment.nodes.items():
            with self.subTest(name):
                self.assertEqual(child_pids(node.pid), [])
                found = descriptors(node.pid)
                self.assertTrue(any("eventpoll" in item for item in found), found)
                self.assertEqual([item for item in found if "io_uring" in item], [])

    async def test_disconnect_frees_the_runner(self) -> None:
        url = self.url("n2", "/v1/chat/completions")
        async with self.http.post(url, json=_chat("leave", 4000), headers=_AUTH) as resp:
            await resp.content.readline()
            resp.close()
        deadline = time.monotonic() + 5
        busy = [1]
        while any(busy) and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
            busy = []
            for runner in self.deployment.runners:
                async with self.http.get(f"http://{runner.address}/load") as resp:
                    busy.append((await resp.json())["running"])
        self.assertEqual(busy, [0, 0])
        kinds = [event["kind"] for event in self.deployment.history("n2")]
        self.assertIn("cancelled", kinds)


class FaultTest(DeploymentCase):
    """Guards against errors without a code and truncated answers when other processes fail."""

    members = {"nodes": 1, "runners": 2, "runner_args": _RUNNER_ARGS}  # noqa: RUF012

    async def test_faults_in_order(self) -> None:
        await self.deployment.wait_up()
        with self.subTest("node without configuration"):
            self.assertEqual(await self.status_of("n0", "/readyz"), 503)
            answer = await self.chat("n0", _chat())
            self.assertEqual((answer.status, answer.error), (503, "not_ready"))
        await self.deployment.publish()
        await self.deployment.wait_ready()
        await self.wait_claims()
        with self.subTest("runner crashes midway: the answer is resumed"):
            await self._crash_during(expected_done=True, runners=self.deployment.runners[:1])
        with self.subTest("all runners crash midway: error event, no [DONE]"):
            await self._crash_during(expected_done=False, runners=self.deployment.runners)
        with self.subTest("log unreachable: chats go on, keyed calls are not run"):
            self.deployment.log.kill()
            status, body = await self.call("n0", "booking", {"slot": 9}, "book-9")
            self.assertEqual(status, 503)
            self.assertIn(body["error"]["code"], ("not_run", "key_unverified"))
            status, _ = await self.call("n0", "prices", {}, None)
            self.assertEqual(status, 200)
            runs = (await self.ledger())["runs"]
            self.assertNotIn("book-9", [run["key"] for run in runs])

    async def _wait_runners(self) -> None:
        for runner in self.deployment.runners:
            for _ in range(100):
                try:
                    async with self.http.get(f"http://{runner.address}/load"):
                        break
                except aiohttp.ClientError:
                    await asyncio.sleep(0.05)

    async def _crash_during(self, expected_done: bool, runners: list[Any]) -> None:
        bodies = [_chat(f"crash {n} {expected_done}", 150) for n in range(4)]
        tasks = [asyncio.create_task(self.chat("n0", body)) for body in bodies]
        await asyncio.sleep(0.4)
        for runner in runners:
            url = f"http://{runner.address}/control/crash"
            async with self.http.post(url, json={"for_s": 1.0} if expected_done else {}):
                pass
        answers = await asyncio.gather(*tasks)
        if expected_done:
            await self._wait_runners()
        for body, answer in zip(bodies, answers, strict=True):
            if expected_done:
                self.assertEqual((answer.content, answer.error), (expected_text(body), ""))
                self.assertTrue(answer.done)
                continue
            self.assertFalse(answer.done)
            self.assertNotEqual(answer.error, "")
            self.assertTrue(expected_text(body).startswith(answer.content))
            self.assertNotEqual(answer.content, expected_text(body))


class PlannedStopTest(DeploymentCase):
    """Guards against a planned stop that interrupts requests or refuses them too early."""

    members = {  # noqa: RUF012
        "nodes": 1,
        "runner_args": ["--step_ms", "20"],
        "service_args": ["--delay_s", "3"],
        "limits": {"grace_s": 1.5},
    }

    async def test_stop_fails_readiness_serves_refuses_and_finishes(self) -> None:
        await self.deployment.publish()
        await self.deployment.wait_ready()
        node = self.deployment.nodes["n0"]
        await self.wait_claims()
        long = _chat("long", 250)
        stream = asyncio.create_task(self.chat("n0", long))
        call = asyncio.create_task(self.call("n0", "booking", {"slot": 1}, "book-1"))
        await asyncio.sleep(0.5)
        began = time.monotonic()
        node.terminate()
        while await self.status_of("n0", "/readyz") == 200:
            self.assertLess(time.monotonic() - began, 1.0)
            await asyncio.sleep(0.01)
        during = await self.chat("n0", _chat("during grace", 4))
        self.assertTrue(during.done)
        self.assertLess(time.monotonic() - began, 1.5)
        await asyncio.sleep(1.8 - (time.monotonic() - began))
        after = await self.chat("n0", _chat("after grace", 4))
        self.assertEqual((after.status, after.error), (503, "draining"))
        node.terminate()  # A second signal changes nothing.
        self.assertIsNone(node.popen.poll())
        self.assertFalse(stream.done() or call.done())
        self.assertEqual((await call)[0], 200)
        answer = await stream
        self.assertEqual((answer.content, answer.done), (expected_text(long), True))
        self.assertEqual(await asyncio.to_thread(node.popen.wait, 10), 0)
        host, port = node.address.split(":")
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((host, int(port)), 1)
        kinds = [event["kind"] for event in self.deployment.history("n0")]
        self.assertEqual(kinds.count("finished"), 3)


class StartTest(DeploymentCase):
    """Guards against nodes that hang or exit without a message when the start fails."""

    members = {"nodes": 0, "runners": 0, "limits": {"grace_s": 0.2}}  # noqa: RUF012

    async def test_node_without_log_answers_with_codes_and_stops(self) -> None:
        node = self.deployment.add_node("alone", log=f"127.0.0.1:{free_port()}")
        await self.deployment.wait_up("alone")
        self.assertEqual(await self.status_of("alone", "/readyz"), 503)
        answer = await self.chat("alone", _chat())
        self.assertEqual((answer.status, answer.error), (503, "not_ready"))
        status, body = await self.call("alone", "booking", {}, "book-1")
        self.assertEqual((status, body["error"]["code"]), (503, "not_ready"))
        node.terminate()
        self.assertEqual(await asyncio.to_thread(node.popen.wait, 5), 0)

    async def test_address_in_use_is_reported_with_its_setting(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as sock:
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            for key in ("listen", "peer_listen"):
                with self.subTest(key):
                    node = self.deployment.add_node(f"taken-{key[:4]}", **{key: address})
                    self.assertNotEqual(await asyncio.to_thread(node.popen.wait, 10), 0)
                    self.assertIn(f"cannot listen on {key} {address}", node.log.read_text())
