"""Test of concurrent configuration changes at nine node processes; guarantee 8."""

import asyncio
import random
import statistics
import time
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from typing import Any

from lacewinghub.checker import Configuration, GuaranteeBounds
from lacewinghub.config import CONFIG_STREAM, ChangeRecord, ConfigState
from lacewinghub.errors import LogUncertain, PublishLost
from lacewinghub.evidence import Evidence
from lacewinghub.history import Event, EventKind
from lacewinghub.log import HttpLog, Log
from lacewinghub.publish import publish
from lacewinghub.tables import Change, Tables

from .cluster import Cluster, FailureCase
from .relay import TcpProxy

ZONES = ("north-a", "north-b", "north-c")
OPERATORS, CHANGES = 5, 200
LOST_REPLIES = 0.2
CUT_OFF = "north-c-2"  # Cannot reach the log between a quarter and three quarters of the changes.

Publisher = Callable[[Log, Tables, str, float], Awaitable[bool]]


async def _publish(log: Log, seen: Tables, author: str, weight: float) -> bool:
    """Publish a change to the tables that the operator read; False if it was not accepted."""
    document = seen.to_document()
    own = next(item for item in document["workspaces"] if item["name"] == author)
    own["weight"] = weight
    try:
        await publish(log, document, author, base=seen.version)
    except (PublishLost, LogUncertain):
        return False
    return True


async def _publish_blindly(log: Log, seen: Tables, author: str, weight: float) -> bool:
    """Append a change and report success without reading it back."""
    value = {"name": author, "weight": weight}
    change = Change("workspaces", author, value)
    record = ChangeRecord(
        seen.version, seen.version + 1, author, f"{author}-{weight}-{seen.version}", [change]
    )
    try:
        await log.append(CONFIG_STREAM, [asdict(record)])
    except LogUncertain:
        return False
    return True


class TestConfigRace(FailureCase):
    """Guards against an accepted change that a node applies late, never, or later reverts."""

    async def test_racing_operators_and_a_node_without_the_log(self) -> None:
        cluster, relay = await self._open(alone=False)
        reported = await self._race(cluster, relay, _publish)
        accepted, tables = await _accepted(cluster)
        self.assertEqual(_weights(tables), reported)
        self.assertGreaterEqual(tables.version, CHANGES)
        await self._until_in_force(cluster, tables.version)
        self.assertEqual(await self._violations(cluster, accepted), [])
        delays = sorted(_delays(cluster.evidence, accepted, cluster.names))
        self.assertEqual(len(delays), len(accepted) * 9)
        print(
            f"{len(accepted)} changes at 9 nodes: in force after"
            f" {statistics.median(delays) * 1000:.0f} ms (median),"
            f" {delays[int(0.95 * len(delays))] * 1000:.0f} ms (95th percentile),"
            f" {delays[-1] * 1000:.0f} ms (maximum)"
        )
        self.assertLessEqual(delays[-1], GuaranteeBounds().config_s)

    async def test_counterparts(self) -> None:
        """The same test must fail without read-back, and with a node without log and peers."""
        cases: list[tuple[str, bool, Publisher]] = [
            ("no read-back", False, _publish_blindly),
            ("no transfer from peers", True, _publish),
        ]
        for label, alone, publisher in cases:
            with self.subTest(label):
                cluster, relay = await self._open(alone)
                reported = await self._race(cluster, relay, publisher, 60, heal=not alone)
                ids: set[str] = set()
                accepted, _ = await _accepted(cluster, ids)
                if alone:
                    await asyncio.sleep(GuaranteeBounds().config_s + 1.0)
                    found = await self._violations(cluster, accepted)
                    self.assertTrue(found)
                    self.assertTrue(all(CUT_OFF in item for item in found), found[:3])
                else:
                    reported_ids = {
                        f"{name}-{turn + 1.0}"
                        for name, last in reported.items()
                        for turn in range(int(last))
                    }
                    self.assertTrue(reported_ids - {item.rpartition("-")[0] for item in ids})
                await cluster.close()

    async def _open(self, alone: bool) -> tuple[Cluster, TcpProxy]:
        """Start nine nodes; one reaches the log through a TCP proxy and, if alone, no peers."""
        cluster = await self.open(nodes=0, runners=0, ready=False)
        relay = TcpProxy(cluster.deployment.log.address)
        await relay.start()
        self.addCleanup(relay.close)
        cluster.deployment.add_zones(ZONES, 3, own={CUT_OFF: {"log": relay.address}})
        await cluster.start(_document(cluster))
        await cluster.until_live(9)
        if alone:
            cluster.kill(CUT_OFF)
            cluster.deployment.settings[CUT_OFF] |= {"peers": [], "peer_key": "a-key-of-no-peer"}
            cluster.restart(CUT_OFF)
            await cluster.deployment.wait_ready(CUT_OFF)
        return cluster, relay

    async def _race(
        self,
        cluster: Cluster,
        relay: TcpProxy,
        publisher: Publisher,
        changes: int = CHANGES,
        heal: bool = True,
    ) -> dict[str, float]:
        """Let the operators publish; return the last weight reported as accepted to each."""
        rng = random.Random(11)
        log = HttpLog(cluster.deployment.log.address)
        await cluster.log_faults(lose_share=LOST_REPLIES)
        state = ConfigState()
        done = 0

        async def operate(name: str) -> None:
            nonlocal done
            for turn in range(changes // OPERATORS):
                while True:
                    state.apply_page(await log.read(CONFIG_STREAM, state.next))
                    seen = state.tables
                    await asyncio.sleep(rng.uniform(0.0, 0.05))
                    if await publisher(log, seen, name, turn + 1.0):
                        break
                    await asyncio.sleep(rng.uniform(0.0, 0.3))
                done += 1
                if done == changes // 4:
                    relay.cut()
                elif done == changes * 3 // 4 and heal:
                    relay.heal()

        names = [f"op{number}" for number in range(OPERATORS)]
        await asyncio.gather(*(operate(name) for name in names))
        await cluster.log_faults()
        await log.close()
        return dict.fromkeys(names, float(changes // OPERATORS))

    async def _until_in_force(self, cluster: Cluster, version: int) -> None:
        async with asyncio.timeout(20):
            for name in cluster.names:
                while (await cluster.status(name))["config_version"] != version:
                    await asyncio.sleep(0.1)

    async def _violations(self, cluster: Cluster, accepted: list[tuple[int, float]]) -> list[str]:
        """Check all accepted changes, with the times at which the log appended them."""
        cluster.evidence.events = [
            item for item in cluster.evidence.events if item.kind is not EventKind.PUBLISHED
        ]
        await cluster.check()
        for version, when in accepted:
            cluster.evidence.events.append(Event(EventKind.PUBLISHED, when, version=version))
        cluster.evidence.events.append(Event(EventKind.PUBLISHED, time.time(), version=0))
        cluster.evidence.events.sort(key=lambda event: event.time)
        return [item.message for item in Configuration(GuaranteeBounds()).check(cluster.evidence)]


def _document(cluster: Cluster) -> dict[str, Any]:
    document = cluster.deployment.document()
    document["workspaces"] += [
        {"name": f"op{number}", "weight": 0.5} for number in range(OPERATORS)
    ]
    return document


def _weights(tables: Tables) -> dict[str, float]:
    names = [f"op{number}" for number in range(OPERATORS)]
    return {name: tables.workspaces[name].weight for name in names}


async def _accepted(
    cluster: Cluster, ids: set[str] | None = None
) -> tuple[list[tuple[int, float]], Tables]:
    """Read the stream and return version and time of each accepted change, and the final tables.

    The identifiers of the accepted changes are added to ``ids``.
    """
    state, found = ConfigState(), []
    log = HttpLog(cluster.deployment.log.address)
    try:
        while True:
            page = await log.read(CONFIG_STREAM, state.next, limit=1)
            for item in state.apply_page(page):
                found.append((item.version, page.records[-1].time))
                if ids is not None:
                    ids.add(item.id)
            if state.next >= page.next:
                return found, state.tables
    finally:
        await log.close()


def _delays(evidence: Evidence, accepted: list[tuple[int, float]], nodes: list[str]) -> list[float]:
    """Return, per change and node, the seconds from the append until the change was in force."""
    found = []
    for node in nodes:
        events = [item for item in evidence.events_of(EventKind.CONFIG) if item.node == node]
        for version, when in accepted:
            first = next((item.time for item in events if item.version >= version), None)
            if first is not None:
                found.append(first - when)
    return found


if __name__ == "__main__":
    unittest.main()
