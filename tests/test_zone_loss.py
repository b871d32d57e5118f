"""Loss of an availability zone with nine node processes."""

import asyncio
import unittest
from collections import Counter
from pathlib import Path
from typing import Any

from lacewinghub.evidence import CallEnd, CallRecord
from lacewinghub.history import EventKind

from .cluster import Cluster, FailureCase

ZONES = ("north-a", "north-b", "north-c")
LOST = "north-a"
SERVICE = ["--delay_s", "0.2"]  # About ten calls are in flight when the zone is lost.
KEYS = 40
ATTEMPTS = 20
# A call that was cut off may have run: these are the permitted answers to its repeats.
SETTLED = {"", "outcome_unknown"}


class TestZoneLoss(FailureCase):
    """Guards against a lost zone that cuts answers, repeats calls or stops the other nodes."""

    async def test_zone_is_killed_and_comes_back_as_new_nodes(self) -> None:
        cluster, survivors, chats, books = await self._lose_zone("")
        self.assertEqual({call.end for call in chats}, {CallEnd.FINISHED})
        self.assertTrue(all(call.answer == call.expected for call in chats))
        ends = Counter(call.code for call in books)
        self.assertLessEqual(set(ends), SETTLED, ends)
        self.assertGreaterEqual(ends[""], KEYS // 2, ends)
        resumed = [e for name in survivors for e in cluster.deployment.history(name)]
        self.assertTrue([e for e in resumed if e["kind"] == EventKind.RESUMED and e["tokens"]])

        new = await self._replace_zone(cluster, survivors)
        again = await asyncio.gather(*(_book(cluster, f"k{i}", new) for i in range(KEYS)))
        fresh = await asyncio.gather(*(_book(cluster, f"new{i}", new) for i in range(9)))
        chats = await asyncio.gather(*(_chat(cluster, f"new {i}", new) for i in range(9)))
        self.assertLessEqual({call.code for call in again}, SETTLED)
        self.assertEqual({call.code for call in [*fresh, *chats]}, {""})
        await self.assert_kept(cluster)
        self.assertTrue({item.endpoint for item in cluster.evidence.executions} >= {"s0", "s3"})

    async def test_counterparts(self) -> None:
        """The same loss without claims runs keys twice; without resumes answers are cut."""
        for without in ("claims", "retries"):
            with self.subTest(without):
                cluster, _, chats, _ = await self._lose_zone(without)
                found = await cluster.check()
                if without == "claims":
                    self.assertIn("at_most_once", {item.rule for item in found})
                else:
                    self.assertIn("answer_incomplete", {call.code for call in chats})
                await cluster.close()

    async def _lose_zone(
        self, without: str
    ) -> tuple[Cluster, list[str], list[CallRecord], list[CallRecord]]:
        """Kill a zone under load; return the cluster, the other nodes and the last answers."""
        cluster = await self.open(
            nodes=0, services=3, ready=False, service_args=SERVICE, without=without
        )
        cluster.deployment.add_zones(ZONES, 3)
        await cluster.start(_document(cluster))
        await cluster.until_live(9)
        survivors = [name for name in cluster.names if not name.startswith(LOST)]
        chats = [
            asyncio.create_task(_chat(cluster, f"wall {i}", _from(cluster.names, i, survivors)))
            for i in range(27)
        ]
        books = [
            asyncio.create_task(
                _book(cluster, f"k{i}", _from(cluster.names, i, survivors), delay_s=i * 0.02)
            )
            for i in range(KEYS)
        ]
        await self._until_streaming(cluster)
        for name in set(cluster.names) - set(survivors):
            cluster.kill(name)
        cluster.deployment.runners[0].kill()
        cluster.deployment.services[0].kill()
        await cluster.until_live(6, survivors)
        return cluster, survivors, await asyncio.gather(*chats), await asyncio.gather(*books)

    async def _until_streaming(self, cluster: Cluster) -> None:
        """Wait until the runner that will be lost generates and its service has run calls."""
        ledger = cluster.deployment.path / "s0.ledger"
        async with asyncio.timeout(20):
            while True:
                stats = await cluster.get(cluster.deployment.runners[0], "/stats")
                if stats["tokens"] > 50 and ledger.exists() and _lines(ledger) >= 3:
                    return
                await asyncio.sleep(0.01)

    async def _replace_zone(self, cluster: Cluster, survivors: list[str]) -> list[str]:
        deployment = cluster.deployment
        deployment.runners[0] = deployment.start_runner("r3")
        deployment.services[0] = deployment.start_service("s3")
        document = _document(cluster)
        for pool in document["pools"]:
            pool["endpoints"][0]["name"] = "s3" if pool.get("kind") else "r3"
        await deployment.publish(document)
        cluster.note(EventKind.PUBLISHED, version=2)
        peers = [deployment.settings[name]["peer_listen"] for name in survivors]
        new = [f"{LOST}-new-{number}" for number in range(3)]
        for name in new:
            deployment.add_node(name, availability_zone=LOST, peers=peers)
        await deployment.wait_ready(*new)
        await cluster.until_live(9, [*survivors, *new])
        return new


def _lines(path: Path) -> int:
    return len(path.read_text().splitlines())


def _from(names: list[str], number: int, then: list[str]) -> list[str]:
    """Return the order in which a caller tries nodes: one of all, then the others in turn."""
    turn = number % len(then)
    return [names[number % len(names)], *then[turn:], *then[:turn]]


async def _chat(cluster: Cluster, text: str, nodes: list[str]) -> CallRecord:
    """Ask one node after the other until the connection holds."""
    for node in nodes:
        call = await cluster.chat(node, text, 100)
        if call.end not in (CallEnd.BROKEN, CallEnd.NOT_CONNECTED):
            break
    return call


async def _book(cluster: Cluster, key: str, nodes: list[str], delay_s: float = 0.0) -> CallRecord:
    """Repeat a call with its key at one node after the other until its outcome is settled."""
    await asyncio.sleep(delay_s)
    for number in range(ATTEMPTS):
        call = await cluster.book(nodes[number % len(nodes)], key)
        if call.code in SETTLED:
            break
        await asyncio.sleep(0.3)
    return call


def _document(cluster: Cluster) -> dict[str, Any]:
    """Return the tables with each endpoint in a zone of its own."""
    document = cluster.deployment.document()
    for pool in document["pools"]:
        for number, endpoint in enumerate(pool["endpoints"]):
            endpoint["availability_zone"] = ZONES[number % len(ZONES)]
    return document


if __name__ == "__main__":
    unittest.main()
