"""Counterparts of the proofs for answers, leaving endpoints and planned stops.

Each case runs once as it is and once with its mechanism taken out, which must break the guarantee.
"""

import asyncio
import contextlib
import time
import unittest
from collections.abc import Iterator
from typing import Any
from unittest import mock

from lacewinghub import demo, reassembly
from lacewinghub.checker import GuaranteeBounds, LeavingEndpoints
from lacewinghub.embedded import EmbeddedDeployment, EmbeddedSettings, workspace_key
from lacewinghub.endpoint import Chunk
from lacewinghub.evidence import Evidence
from lacewinghub.fake_runner import EngineConfig, expected_text
from lacewinghub.health import EndpointHealth
from lacewinghub.history import Event, EventKind
from lacewinghub.node import Node
from lacewinghub.node_client import OUTCOME_OK, CallResult, NodeClient

KEY = workspace_key("te-awa-office")
RUNNER = "assistant-1"


class _AsReceived(reassembly.ChunkReassembler):
    """Passes chunks on as they arrive."""

    def add(self, chunk: Chunk) -> tuple[str, ...]:
        super().add(chunk)
        return chunk.tokens


async def _stop_at_once(node: Node) -> None:
    await node.kill()


@contextlib.contextmanager
def _without(name: str) -> Iterator[None]:
    patches: dict[str, list[Any]] = {
        "": [],
        "ordering": [mock.patch("lacewinghub.router.ChunkReassembler", _AsReceived)],
        "leaving marks": [
            mock.patch.object(EndpointHealth, "mark_leaving", lambda self, endpoint: None),
            mock.patch.object(
                EndpointHealth, "apply_load_report", lambda self, endpoint, leaving: None
            ),
        ],
        "drain": [
            mock.patch.object(Node, "stop", _stop_at_once),
            mock.patch("lacewinghub.gateway.CLOSE_S", 0.0),
        ],
    }
    with contextlib.ExitStack() as stack:
        for patch in patches[name]:
            stack.enter_context(patch)
        yield


class CounterpartTest(unittest.IsolatedAsyncioTestCase):
    """Guards against proofs that would pass without the mechanism that they are about."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)

    async def _open(self, step_s: float = 0.004) -> EmbeddedDeployment:
        engine = EngineConfig(slots=8, step_s=step_s)
        deployment = EmbeddedDeployment(EmbeddedSettings(demo.example_tables(), engine=engine))
        await deployment.start()
        await deployment.publish("test")
        return deployment

    async def _ask(self, client: NodeClient, address: str, text: str, tokens: int) -> bool:
        """Return whether the caller received the whole answer."""
        body = {
            "model": "kitchen-assistant",
            "messages": [{"role": "user", "content": text}],
            "metadata": {"output_tokens": tokens},
            "max_tokens": tokens,
            "stream": True,
        }
        result: CallResult = await client.chat(address, KEY, body, "quote")
        return result.outcome == OUTCOME_OK and result.text == expected_text(body)

    async def test_answers_with_duplicated_and_reordered_chunks(self) -> None:
        for missing, expected in (("", True), ("ordering", False)):
            with self.subTest(missing=missing), _without(missing):
                deployment = await self._open()
                for runner in deployment.runners.values():
                    runner.set_faults(duplicate=0.3, reorder=0.3)
                async with NodeClient() as client:
                    address = deployment.addresses[0]
                    whole = await asyncio.gather(
                        *(self._ask(client, address, f"coat {i}", 30) for i in range(6))
                    )
                await deployment.stop()
                self.assertEqual(all(whole), expected)

    async def test_leaving_runner(self) -> None:
        for missing, expected in (("", True), ("leaving marks", False)):
            with self.subTest(missing=missing), _without(missing):
                found = await self._leave()
                self.assertEqual(not found, expected, found[:3])

    async def _leave(self) -> list[Any]:
        deployment = await self._open()
        evidence = Evidence()
        for node in deployment.nodes:
            node._history.add_listener(evidence.events.append)
        evidence.events.append(Event(EventKind.LEAVING, time.time(), endpoint=RUNNER))
        deployment.runners[RUNNER].leave()
        bounds = GuaranteeBounds()
        deadline = time.time() + bounds.leaving_s + 1.5
        async with NodeClient() as client:
            number = 0
            while time.time() < deadline:
                number += 1
                address = deployment.addresses[number % len(deployment.addresses)]
                asks = [self._ask(client, address, f"q{number}-{i}", 3) for i in range(8)]
                self.assertTrue(all(await asyncio.gather(*asks)))
        await deployment.stop()
        return LeavingEndpoints(bounds).check(evidence)

    async def test_planned_stop(self) -> None:
        for missing, expected in (("", True), ("drain", False)):
            with self.subTest(missing=missing), _without(missing):
                deployment = await self._open(step_s=0.02)
                async with NodeClient() as client:
                    address = deployment.addresses[0]
                    asks = [
                        asyncio.create_task(self._ask(client, address, f"long {i}", 60))
                        for i in range(4)
                    ]
                    await asyncio.sleep(0.4)
                    await deployment.nodes[0].stop()
                    whole = await asyncio.gather(*asks)
                await deployment.stop()
                self.assertEqual(all(whole), expected)
