"""Tests of publishing tables and of the replicas that apply them."""

import asyncio
import unittest
from dataclasses import asdict
from typing import Any

from lacewinghub.config import CONFIG_STREAM, ChangeRecord, ConfigReplica
from lacewinghub.errors import PublishLost, TablesInvalid
from lacewinghub.fake_log import MemoryLog
from lacewinghub.publish import publish
from lacewinghub.tables import Change
from tests.clock import simulate, wall


def tables_document(**weights: float) -> dict[str, Any]:
    """Build tables with one pool and one workspace per argument."""
    return {
        "pools": [{"name": "assistant", "endpoints": []}],
        "routes": [{"name": "all", "pool": "assistant", "tier": 1}],
        "workspaces": [{"name": name, "weight": weight} for name, weight in weights.items()],
    }


class PublishTest(unittest.TestCase):
    """Guards against a publish that reports success for a change that does not come into force."""

    def test_published_tables_come_into_force(self) -> None:
        async def main() -> None:
            log = MemoryLog(clock=wall)
            replica = ConfigReplica("n1", log)
            task = asyncio.ensure_future(replica.run())
            done = await publish(log, tables_document(trust=1.0), "ana")
            await asyncio.wait_for(replica.wait_version(1), 4.0)
            self.assertEqual((done.version, done.author, done.changes), (1, "ana", 3))
            self.assertIn("trust", replica.tables.workspaces)
            self.assertTrue(replica.ready)
            task.cancel()

        simulate(main)

    def test_same_tables_are_not_published_again(self) -> None:
        async def main() -> None:
            log = MemoryLog(clock=wall)
            await publish(log, tables_document(trust=1.0), "ana")
            done = await publish(log, tables_document(trust=1.0), "ben")
            self.assertEqual((done.version, done.changes, log.appends), (1, 0, 1))

        simulate(main)

    def test_stale_base_is_rejected_with_the_name_of_the_winner(self) -> None:
        async def main() -> None:
            log = MemoryLog(clock=wall)
            await publish(log, tables_document(trust=1.0), "ana")
            await publish(log, tables_document(trust=2.0), "ben", base=1)
            with self.assertRaises(PublishLost) as caught:
                await publish(log, tables_document(trust=3.0), "cy", base=1)
            self.assertEqual(caught.exception.details, {"winner": "ben", "version": 2})

        simulate(main)

    def test_different_number_of_partitions_is_rejected_and_ignored(self) -> None:
        """Guards against nodes that map a key to different streams."""

        async def main() -> None:
            log = MemoryLog(clock=wall)
            replica = ConfigReplica("n1", log)
            task = asyncio.ensure_future(replica.run())
            document = tables_document(trust=1.0) | {"claims": {"partitions": 8}}
            await publish(log, document, "ana")
            for other in ({"claims": {"partitions": 4}}, {"claims": {"partitions": 1}}, {}):
                with self.subTest(other), self.assertRaises(TablesInvalid) as caught:
                    await publish(log, tables_document(trust=2.0) | other, "ben")
                self.assertEqual(caught.exception.details["place"], "claims.partitions")
            changes = [Change("claims", "claims", {"partitions": 4})]
            record = ChangeRecord(1, 2, "cy", "late", changes)
            await log.append(CONFIG_STREAM, [asdict(record)])
            done = await publish(log, document | {"workspaces": []}, "ana")
            await asyncio.wait_for(replica.wait_version(2), 4.0)
            self.assertEqual((done.version, log.appends), (2, 3))
            self.assertEqual(replica.tables.claims.partitions, 8)
            task.cancel()

        simulate(main)

    def test_change_is_published_once_despite_append_faults(self) -> None:
        cases: list[dict[str, Any]] = [
            {"lose_replies": 1},
            {"lose_appends": 2},
            {"late_appends": 1, "late_s": 5.0},
            {"late_appends": 3, "late_s": 0.5},
        ]

        async def main(faults: dict[str, Any]) -> None:
            log = MemoryLog(clock=wall)
            log.set_faults(**faults)
            done = await publish(log, tables_document(trust=1.0), "ana")
            self.assertEqual(done.version, 1)
            await asyncio.sleep(10.0)
            done = await publish(log, tables_document(trust=2.0), "ana")
            self.assertEqual(done.version, 2)

        for faults in cases:
            with self.subTest(**faults):
                simulate(lambda faults=faults: main(faults))

    def test_invalid_tables_are_not_appended(self) -> None:
        async def main() -> None:
            log = MemoryLog(clock=wall)
            with self.assertRaises(TablesInvalid):
                await publish(log, tables_document() | {"pools": []}, "ana")
            self.assertEqual(log.appends, 0)

        simulate(main)
