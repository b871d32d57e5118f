"""Failure tests: a deployment of processes, faults, and the evidence for the history checker."""

import asyncio
import json
import signal
import time
import unittest
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import aiohttp

from lacewinghub.checker import GuaranteeBounds, Violation, check
from lacewinghub.evidence import CallEnd, CallRecord, Evidence, read_records
from lacewinghub.fake_runner import POISON, expected_text
from lacewinghub.history import Event, EventKind
from lacewinghub.node_client import (
    CONNECTION_REFUSED,
    DISCONNECTED,
    OUTCOME_OK,
    CallResult,
    NodeClient,
)

from .processes import OPERATOR_KEY, WORKSPACE_KEY, Deployment, Process

FAST = {"grace_s": 0.3, "connect_s": 1.0}
RUNNER = ["--step_ms", "10"]
SERVICE_TIMEOUT_S = 5.0
CALL_TIMEOUT_S = 30.0
LIVE_TIMEOUT_S = 20.0


class Cluster:
    """A deployment with callers; it records what the callers saw and which faults there were.

    Args:
        nodes: Number of nodes.
        runners: Number of runners.
        options: Further arguments of ``Deployment``.
    """

    def __init__(self, nodes: int = 3, runners: int = 3, **options: Any) -> None:
        self.deployment = Deployment(runners=runners, nodes=nodes, **options)
        self.evidence = Evidence()
        self.client = NodeClient(CALL_TIMEOUT_S)
        self._closed = False

    @property
    def names(self) -> list[str]:
        """Identifiers of the nodes."""
        return list(self.deployment.nodes)

    async def start(self, document: dict[str, Any] | None = None) -> None:
        """Publish the tables and wait until all nodes are ready.

        Args:
            document: The tables, or None for those of the deployment.
        """
        # The time that a busy machine takes to start the processes is not the nodes' own.
        await self.deployment.wait_up()
        for name in self.names:
            self.note(EventKind.STARTED, node=name)
        await self.deployment.publish(document)
        self.note(EventKind.PUBLISHED, version=1)
        await self.deployment.wait_ready()

    async def until_live(self, count: int, names: Iterable[str] = ()) -> None:
        """Wait until nodes, by default all, see this number of live nodes."""
        async with asyncio.timeout(LIVE_TIMEOUT_S):
            for name in tuple(names) or self.names:
                while True:
                    states = (await self.status(name))["members"].values()
                    if sum(state == "live" for state in states) == count:
                        break
                    await asyncio.sleep(0.1)

    def note(self, kind: EventKind, **members: Any) -> None:
        """Record a fault or another event that nodes cannot know."""
        self.evidence.events.append(Event(kind, time.time(), **members))

    async def chat(
        self,
        node: str,
        text: str,
        tokens: int = 20,
        model: str = "colour",
        request_class: str = "",
    ) -> CallRecord:
        """Send a streamed chat request to a node."""
        body = {
            "model": model,
            "stream": True,
            "max_tokens": tokens,
            "metadata": {"output_tokens": tokens},
            "messages": [{"role": "user", "content": text}],
        }
        sent = time.time()
        address = self.deployment.nodes[node].address
        result = await self.client.chat(address, WORKSPACE_KEY, body, request_class)
        return self._record(node, sent, result, result.text, expected_text(body))

    async def book(self, node: str, key: str, amount: int = 1) -> CallRecord:
        """Send a call that must run at most once to a node."""
        sent = time.time()
        address = self.deployment.nodes[node].address
        body = {"booking": key, "amount": amount}
        result = await self.client.call(address, WORKSPACE_KEY, "booking", body, key)
        answer = ""
        if result.outcome == OUTCOME_OK:
            answer = json.dumps(result.body.get("result"), sort_keys=True)
        return self._record(node, sent, result, answer, json.dumps(body, sort_keys=True), key)

    def kill(self, node: str) -> None:
        """End a node with SIGKILL."""
        self.note(EventKind.KILLED, node=node)
        self.deployment.nodes[node].kill()

    def freeze(self, node: str) -> None:
        """Stop a node with SIGSTOP."""
        self.deployment.nodes[node].popen.send_signal(signal.SIGSTOP)
        self.note(EventKind.FROZEN, node=node)

    def wake(self, node: str) -> None:
        """Continue a node with SIGCONT."""
        self.note(EventKind.WOKEN, node=node)
        self.deployment.nodes[node].popen.send_signal(signal.SIGCONT)

    def restart(self, node: str) -> Process:
        """Start a node again with its settings."""
        self.note(EventKind.STARTED, node=node)
        settings = dict(self.deployment.settings[node])
        settings.pop("node")
        return self.deployment.add_node(node, **settings)

    async def stop(self, node: str, timeout_s: float = 20.0) -> int:
        """Stop a node with SIGTERM and return its exit status."""
        self.note(EventKind.STOPPING, node=node)
        process = self.deployment.nodes[node]
        process.terminate()
        async with asyncio.timeout(timeout_s):
            while process.popen.poll() is None:
                await asyncio.sleep(0.02)
        self.note(EventKind.STOPPED, node=node)
        return process.popen.returncode

    async def control(self, process: Process, action: str, **arguments: Any) -> None:
        """Send a fault command to a stand-in."""
        url = f"http://{process.address}/control/{action}"
        async with aiohttp.ClientSession() as http, http.post(url, json=arguments) as reply:
            if reply.status != 200:
                raise AssertionError(f"{action}: {await reply.text()}")

    async def log_faults(self, **faults: Any) -> None:
        """Set the faults of the log, members of ``LogFaults``; the others are taken away."""
        url = f"http://{self.deployment.log.address}/faults"
        async with aiohttp.ClientSession() as http, http.post(url, json=faults) as reply:
            if reply.status != 200:
                raise AssertionError(f"faults of the log: {await reply.text()}")

    async def get(self, process: Process, path: str) -> Any:
        """Read a JSON object from a stand-in."""
        timeout = aiohttp.ClientTimeout(total=SERVICE_TIMEOUT_S)
        url = f"http://{process.address}{path}"
        async with aiohttp.ClientSession(timeout=timeout) as http, http.get(url) as reply:
            return await reply.json()

    async def status(self, node: str) -> dict[str, Any]:
        """Return ``/status`` of a node."""
        return await self.client.status(self.deployment.nodes[node].address, OPERATOR_KEY)

    async def crashes(self) -> int:
        """Return how often the runners have crashed, once all are up again."""
        for _ in range(100):
            try:
                found = [await self.get(item, "/stats") for item in self.deployment.runners]
                break
            except aiohttp.ClientError:
                await asyncio.sleep(0.1)
        return sum(item["crashes"] for item in found)

    async def check(self, bounds: GuaranteeBounds | None = None) -> list[Violation]:
        """Collect all records and check them against the guarantees."""
        ledgers = sorted(self.deployment.path.glob("*.ledger"))
        self.evidence.executions = read_records(ledgers).executions
        self.evidence.events += read_records(self._histories()).events
        return check(self.evidence, bounds)

    async def close(self) -> None:
        """Wake and end all processes; a second call has no effect."""
        if self._closed:
            return
        self._closed = True
        for node in self.deployment.nodes.values():
            if node.popen.poll() is None:
                node.popen.send_signal(signal.SIGCONT)
        await self.client.close()
        self.deployment.close()

    def _histories(self) -> Iterable[Path]:
        return sorted(self.deployment.path.glob("*.history"))

    def _record(
        self, node: str, sent: float, result: CallResult, answer: str, expected: str, key: str = ""
    ) -> CallRecord:
        ends = {
            OUTCOME_OK: CallEnd.FINISHED,
            DISCONNECTED: CallEnd.BROKEN,
            CONNECTION_REFUSED: CallEnd.NOT_CONNECTED,
        }
        call = CallRecord(
            sent=sent,
            ended=time.time(),
            end=ends.get(result.outcome, CallEnd.ERROR),
            node=node,
            request=result.request_id,
            key=key,
            code="" if result.outcome == OUTCOME_OK else result.outcome,
            run=result.run,
            answer=answer,
            expected=expected,
        )
        self.evidence.calls.append(call)
        return call


class FailureCase(unittest.IsolatedAsyncioTestCase):
    async def open(
        self, nodes: int = 3, runners: int = 3, ready: bool = True, **options: object
    ) -> Cluster:
        """Start a deployment that ends with the test."""
        # The debug mode of the test case makes the callers slower than the nodes.
        asyncio.get_running_loop().set_debug(False)
        options = {"limits": FAST, "runner_args": RUNNER} | options
        cluster = Cluster(nodes, runners, **options)
        self.addAsyncCleanup(cluster.close)
        if ready:
            await cluster.start()
        return cluster

    async def assert_kept(self, cluster: Cluster) -> None:
        """Check the evidence and end the processes."""
        found = await cluster.check()
        kinds = {event.kind for event in cluster.evidence.events}
        self.assertLessEqual({EventKind.ARRIVED, EventKind.ADMITTED, EventKind.CONFIG}, kinds)
        await cluster.close()
        self.assertEqual([f"{item.rule}: {item.message}" for item in found], [])


__all__ = ["POISON", "Cluster", "FailureCase"]
