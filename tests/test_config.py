"""Proofs of the replicated tables in simulated time.

Each proof is run a second time without the mechanism that it is about, and must then fail.
"""

import asyncio
import base64
import random
import unittest
from dataclasses import asdict
from typing import Any

from lacewinghub._steps import Steps
from lacewinghub.codec import decode, encode
from lacewinghub.config import (
    CONFIG_STREAM,
    ChangeRecord,
    ConfigReplica,
    ConfigState,
    SnapshotRecord,
)
from lacewinghub.document import pack_document, unpack_document
from lacewinghub.errors import LogUnavailable, LogUncertain, PublishLost, TablesInvalid
from lacewinghub.fake_log import MemoryLog
from lacewinghub.log import Log, Page, Record
from lacewinghub.memory_transport import MemoryNetwork
from lacewinghub.message import ConfigReply, Heartbeat
from lacewinghub.publish import publish
from lacewinghub.tables import Change, Tables
from lacewinghub.transport import Transport
from tests.claim_cluster import NodeLog
from tests.clock import simulate, wall

IN_FORCE_S = 4.0


def tables_document(weights: dict[str, float]) -> dict[str, Any]:
    """Build tables with one workspace per weight."""
    return {
        "pools": [{"name": "assistant", "endpoints": []}],
        "routes": [{"name": "all", "pool": "assistant", "tier": 1}],
        "workspaces": [{"name": name, "weight": weight} for name, weight in weights.items()],
    }


def weights_of(tables: Tables) -> dict[str, float]:
    """Return the weights by workspace."""
    return {name: item.weight for name, item in tables.workspaces.items()}


class Node:
    """A replica with its own way to the log; records the versions that it puts in force."""

    def __init__(
        self,
        name: str,
        log: MemoryLog,
        transport: Transport | None = None,
        kind: type[ConfigReplica] = ConfigReplica,
        state: type[ConfigState] = ConfigState,
    ) -> None:
        self.log = NodeLog(log)
        self.replica = kind(name, self.log, transport)
        self.replica._state = state()
        self.versions: list[int] = []
        self.replica.subscribe(lambda tables: self.versions.append(tables.version))
        self._task = asyncio.ensure_future(self.replica.run())

    def kill(self) -> None:
        self._task.cancel()

    @property
    def tables(self) -> Tables:
        return self.replica.tables


class NoSnapshots(ConfigReplica):
    """Leaves the log to forget the tables."""

    async def _refresh(self, page: Page) -> None:
        return None


class AnyBase(ConfigState):
    """Accepts a change whatever version it starts from."""

    def _apply_change(self, change: ChangeRecord) -> list[Any]:
        version = self._version
        rebased = ChangeRecord(version, version + 1, change.author, change.id, change.changes)
        return super()._apply_change(rebased)


class NoGapCheck(ConfigState):
    """Goes on after a gap as if nothing had been missed."""

    def _check_gap(self, page: Page) -> None:
        self.next = max(self.next, page.first)


class SnapshotAtItsPlace(ConfigState):
    """Takes a snapshot for the tables at the offset where it stands."""

    def _take_snapshot(self, snapshot: SnapshotRecord, record: Record) -> Steps[list[Any]]:
        self._pending = []
        document = base64.b64decode(snapshot.document)
        yield from self.apply_snapshot_steps(snapshot.version, document, record.offset + 1)
        return []

    def apply_snapshot_steps(
        self, version: int, document: bytes, through: int
    ) -> Steps[list[Any] | None]:
        if self.synced:
            return None
        return (yield from super().apply_snapshot_steps(version, document, through))


async def _publish_blindly(log: Log, weights: dict[str, float], base: int, author: str) -> None:
    """Append a change and report success without reading it back."""
    changes = [
        Change("workspaces", name, {"name": name, "weight": weight})
        for name, weight in weights.items()
    ]
    record = ChangeRecord(base, base + 1, author, f"{author}-{base}", changes)
    await log.append(CONFIG_STREAM, [asdict(record)])


class RacingOperatorsTest(unittest.TestCase):
    """Guards against a reported success whose change is not in force."""

    OPERATORS = 5
    CHANGES = 200

    def test_racing_operators_win_one_version_each(self) -> None:
        self.assertEqual(simulate(lambda: self._race(blind=False)), [])

    def test_blind_publishing_fails(self) -> None:
        self.assertNotEqual(simulate(lambda: self._race(blind=True)), [])

    async def _race(self, blind: bool) -> list[str]:
        log = MemoryLog(clock=wall, seed=3)
        nodes = [Node(f"n{n}", log) for n in range(3)]
        await publish(log, tables_document({"op0": 0.5}), "setup")
        await asyncio.sleep(1.0)
        log.set_faults(lose_share=0.2)
        won: dict[int, str] = {}
        faults: list[str] = []
        rng = random.Random(11)

        async def operate(name: str) -> None:
            for turn in range(self.CHANGES // self.OPERATORS):
                while not await attempt(name, turn + 1.0):
                    await asyncio.sleep(rng.uniform(0.0, 0.3))

        async def attempt(name: str, weight: float) -> bool:
            seen = nodes[0].tables
            weights = weights_of(seen) | {name: weight}
            await asyncio.sleep(rng.uniform(0.0, 0.05))
            try:
                if blind:
                    await _publish_blindly(log, {name: weight}, seen.version, name)
                    version = seen.version + 1
                else:
                    done = await publish(log, tables_document(weights), name, base=seen.version)
                    version = done.version
            except (PublishLost, LogUncertain):
                return False
            if version in won:
                faults.append(f"version {version} was reported to {won[version]} and {name}")
            won[version] = name
            deadline = asyncio.get_running_loop().time() + IN_FORCE_S
            while any(node.tables.version < version for node in nodes):
                if asyncio.get_running_loop().time() > deadline:
                    faults.append(f"version {version} is not in force")
                    break
                await asyncio.sleep(0.01)
            for node in nodes:
                if weights_of(node.tables).get(name) != weight:
                    faults.append(f"{name} published {weight}, which is not in force")
            return True

        async with asyncio.timeout(3600.0):
            await asyncio.gather(*(operate(f"op{n}") for n in range(self.OPERATORS)))
        expected = {f"op{n}": self.CHANGES / self.OPERATORS for n in range(self.OPERATORS)}
        for node in nodes:
            if weights_of(node.tables) != expected:
                faults.append(f"final tables are {weights_of(node.tables)}")
            if node.versions != sorted(set(node.versions)):
                faults.append("a version went back")
        return faults

    def test_change_on_any_base_reverts_an_accepted_one(self) -> None:
        async def main(state: type[ConfigState]) -> float:
            log = MemoryLog(clock=wall)
            node = Node("n1", log, state=state)
            await publish(log, tables_document({"trust": 1.0}), "ana")
            await publish(log, tables_document({"trust": 2.0}), "ben")
            await _publish_blindly(log, {"trust": 3.0}, 1, "cy")
            await asyncio.sleep(1.0)
            return node.tables.workspaces["trust"].weight

        self.assertEqual(simulate(lambda: main(ConfigState)), 2.0)
        self.assertEqual(simulate(lambda: main(AnyBase)), 3.0)


class LostReplyTest(unittest.TestCase):
    """Guards against a failure that is reported for a change that comes into force."""

    def test_lost_reply_is_read_back(self) -> None:
        async def main(blind: bool) -> bool:
            log = MemoryLog(clock=wall)
            node = Node("n1", log)
            await publish(log, tables_document({"trust": 1.0}), "ana")
            log.set_faults(lose_replies=1)
            try:
                if blind:
                    await _publish_blindly(log, {"trust": 2.0}, 1, "ben")
                else:
                    await publish(log, tables_document({"trust": 2.0}), "ben")
                reported = True
            except LogUncertain:
                reported = False
            await asyncio.sleep(1.0)
            return reported == (node.tables.version == 2)

        self.assertTrue(simulate(lambda: main(False)))
        self.assertFalse(simulate(lambda: main(True)))


class ExpiryTest(unittest.TestCase):
    """Guards against tables that are lost or differ when records expire."""

    def test_fresh_node_gets_tables_whose_change_expired(self) -> None:
        async def main(kind: type[ConfigReplica]) -> bool:
            log = MemoryLog(clock=wall, retention_s=600.0)
            Node("n1", log, kind=kind)
            await publish(log, tables_document({"trust": 1.0}), "ana")
            await asyncio.sleep(3000.0)
            fresh = Node("n2", log, kind=kind)
            await asyncio.sleep(IN_FORCE_S)
            return fresh.replica.ready and fresh.tables.version == 1

        self.assertTrue(simulate(lambda: main(ConfigReplica)))
        self.assertFalse(simulate(lambda: main(NoSnapshots)))

    def test_change_between_a_snapshot_and_its_append_is_not_missed(self) -> None:
        async def main(state: type[ConfigState]) -> bool:
            log = MemoryLog(clock=wall, retention_s=600.0)
            old = Node("n1", log)
            await publish(log, tables_document({"trust": 1.0}), "ana")
            await asyncio.sleep(1.0)

            async def race() -> None:
                await publish(log, tables_document({"trust": 2.0}), "ben")

            old.log.before_append["snapshot"] = race
            await asyncio.sleep(590.0)
            kinds = [record.data["kind"] for record in log.records(CONFIG_STREAM)]
            self.assertEqual(kinds[:3], ["change", "change", "snapshot"])
            await asyncio.sleep(15.0)
            self.assertEqual(log.records(CONFIG_STREAM)[0].data["version"], 2)
            fresh = Node("n2", log, state=state)
            # A loser of the race for version 2 that takes effect late.
            await _publish_blindly(log, {"trust": 3.0}, 1, "cy")
            await asyncio.sleep(IN_FORCE_S)
            return fresh.tables.to_document() == old.tables.to_document()

        self.assertTrue(simulate(lambda: main(ConfigState)))
        self.assertFalse(simulate(lambda: main(SnapshotAtItsPlace)))

    def test_frozen_node_wakes_with_an_old_version(self) -> None:
        async def main(state: type[ConfigState]) -> bool:
            log = MemoryLog(clock=wall, retention_s=600.0)
            awake, frozen = Node("n1", log), Node("n2", log, state=state)
            await publish(log, tables_document({"trust": 1.0}), "ana")
            await asyncio.sleep(1.0)
            frozen.log.running.clear()
            for weight in range(2, 10):
                await publish(log, tables_document({"trust": float(weight)}), "ben")
                await asyncio.sleep(0.1)
            await asyncio.sleep(3000.0)
            # Losers of the races for versions 2 and 3 that take effect very late.
            await _publish_blindly(log, {"trust": 77.0}, 1, "cy")
            await _publish_blindly(log, {"trust": 77.0}, 2, "cy")
            frozen.log.running.set()
            await asyncio.sleep(IN_FORCE_S)
            ok = frozen.tables.to_document() == awake.tables.to_document()
            return ok and 77.0 not in weights_of(frozen.tables).values()

        self.assertTrue(simulate(lambda: main(ConfigState)))
        self.assertFalse(simulate(lambda: main(NoGapCheck)))

    def test_tables_survive_an_outage_and_the_replacement_of_all_nodes(self) -> None:
        async def main(kind: type[ConfigReplica]) -> None:
            log = MemoryLog(clock=wall, retention_s=600.0)
            nodes = [Node(f"n{n}", log, kind=kind) for n in range(3)]
            await publish(log, tables_document({"trust": 1.0}), "ana")
            await asyncio.sleep(1.0)
            log.set_faults(unavailable=True)
            await asyncio.sleep(1800.0)
            with self.assertRaises(LogUnavailable):
                await publish(log, tables_document({"trust": 2.0}), "ana")
            self.assertEqual([node.tables.version for node in nodes], [1, 1, 1])
            log.set_faults()
            done = await publish(log, tables_document({"trust": 2.0}), "ana")
            self.assertEqual(done.version, 2)
            await asyncio.sleep(IN_FORCE_S)
            self.assertEqual([node.tables.version for node in nodes], [2, 2, 2])
            for turn in range(12):
                nodes.pop(0).kill()
                nodes.append(Node(f"m{turn}", log, kind=kind))
                await asyncio.sleep(IN_FORCE_S)
                self.assertEqual(nodes[-1].tables.version, 2 + turn)
                done = await publish(log, tables_document({"trust": 3.0 + turn}), "ben")
                await asyncio.sleep(250.0)

        simulate(lambda: main(ConfigReplica))
        with self.assertRaises(LogUnavailable):
            simulate(lambda: main(NoSnapshots))

    def test_few_snapshots_are_appended(self) -> None:
        async def main() -> int:
            log = MemoryLog(clock=wall, retention_s=600.0)
            nodes = [Node(f"n{n}", log) for n in range(9)]
            await publish(log, tables_document({"trust": 1.0}), "ana")
            await asyncio.sleep(6000.0)
            self.assertTrue(all(node.replica.ready for node in nodes))
            return log.appends - 1

        # Ten retentions need at least 24 and, without duplicates, at most 30 snapshots.
        self.assertIn(simulate(main), range(24, 40))


class MalformedRecordTest(unittest.TestCase):
    """Guards against a record that stops every node from reading on."""

    def test_malformed_records_are_skipped(self) -> None:
        async def main(data: dict[str, Any]) -> None:
            log = MemoryLog(clock=wall)
            await publish(log, tables_document({"trust": 1.0}), "ana")
            node = Node("n1", log)
            await log.append(CONFIG_STREAM, [data])
            await publish(log, tables_document({"trust": 2.0}), "ben")
            await asyncio.sleep(1.0)
            self.assertEqual(weights_of(node.tables), {"trust": 2.0})

        change = asdict(ChangeRecord(1, 2, "cy", "id", [Change("workspaces", "new", None)]))
        snapshot = asdict(SnapshotRecord(9, 0, "n9", "not base 64!"))
        put = {"table": "workspaces", "name": "new", "value": {"name": "other"}}
        cases: list[dict[str, Any]] = [
            {},
            {"kind": ["change"]},
            change | {"base": "x"},
            change | {"version": 7},
            change | {"changes": [{"table": "other", "name": "x", "value": None}]},
            change | {"changes": [put]},
            change | {"changes": [{"table": "pools", "name": "assistant", "value": None}]},
            snapshot,
            snapshot | {"through": 99},
        ]
        for data in cases:
            with self.subTest(data):
                simulate(lambda data=data: main(data))


class PeerTransferTest(unittest.TestCase):
    """Guards against a node that stays behind its peers while it cannot reach the log."""

    def test_node_without_the_log_gets_the_tables_from_a_peer(self) -> None:
        async def main(share: bool) -> list[int]:
            log = MemoryLog(clock=wall)
            network = MemoryNetwork(delay_s=0.001)
            first = Node("n1", log, network.transport("n1"))
            cut = Node("n2", log, network.transport("n2"))
            cut.log.running.clear()
            await publish(log, tables_document({"trust": 1.0}), "ana")
            done = asyncio.ensure_future(_beat(first, cut)) if share else None
            await asyncio.sleep(IN_FORCE_S)
            seen = [cut.tables.version]
            cut.log.running.set()
            await publish(log, tables_document({"trust": 2.0}), "ben")
            await asyncio.sleep(IN_FORCE_S)
            seen.append(cut.tables.version)
            self.assertEqual(done is None or not done.done(), True)
            return [*seen, *cut.versions]

        self.assertEqual(simulate(lambda: main(True)), [1, 2, 1, 2])
        self.assertEqual(simulate(lambda: main(False))[0], 0)

    def test_tables_of_the_target_size_fit_into_a_message(self) -> None:
        workspaces = [{"name": f"w{n}", "keys": [f"{n:064x}"]} for n in range(13_000)]
        keys = random.Random(1)
        for item in workspaces:
            item["keys"] = [keys.randbytes(32).hex()]
        routes = [
            {"name": f"r{n}", "pool": "assistant", "tier": 1, "workspace": f"w{n}"}
            for n in range(13_000)
        ]
        document = tables_document({}) | {"workspaces": workspaces, "routes": routes}
        tables = Tables.parse(document, 7)
        reply = decode(encode(ConfigReply(7, pack_document(tables), 9)))
        assert isinstance(reply, ConfigReply)
        self.assertEqual(unpack_document(reply.document).to_document(), tables.to_document())

    def test_damaged_tables_of_a_peer_are_ignored(self) -> None:
        state = ConfigState()
        good = pack_document(Tables.parse(tables_document({"trust": 1.0}), 1))
        for data in (b"", b"x", good[:-5], good[:20] + b"?" + good[21:]):
            with self.subTest(data[:10]), self.assertRaises(TablesInvalid):
                state.apply_snapshot(1, data, 1)
        self.assertEqual((state.tables.version, state.next), (0, 0))

    def test_older_tables_of_a_peer_are_ignored(self) -> None:
        async def main() -> None:
            log = MemoryLog(clock=wall)
            node = Node("n1", log)
            await publish(log, tables_document({"trust": 1.0}), "ana")
            old = pack_document(node.tables)
            await publish(log, tables_document({"trust": 2.0}), "ben")
            await asyncio.sleep(1.0)
            self.assertIsNone(node.replica._state.apply_snapshot(1, old, 99))
            self.assertEqual(node.tables.version, 2)

        simulate(main)


async def _beat(sender: Node, receiver: Node) -> None:
    for seq in range(1000):
        heartbeat = Heartbeat("n1", 1, seq, "live")
        sender.replica.fill_heartbeat(heartbeat)
        receiver.replica.on_heartbeat(heartbeat)
        await asyncio.sleep(0.25)
