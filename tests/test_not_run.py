"""Tests that errors which state "not run" are true when the log fails."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from lacewinghub.errors import LogUnavailable
from lacewinghub.fake_log import MemoryLog

from .claim_cluster import Cluster
from .clock import simulate


class _ReadOnlyLog:
    """Makes every append to a log fail without effect."""

    def __init__(self, log: MemoryLog) -> None:
        self._patch = mock.patch.object(log, "append", self._append)

    async def _append(self, stream: str, records: list[dict[str, Any]]) -> list[int]:
        raise LogUnavailable("the log accepts no appends")

    def __enter__(self) -> None:
        self._patch.start()

    def __exit__(self, *exc: object) -> None:
        self._patch.stop()


class NotRunTest(unittest.TestCase):
    """Guards against "not run" for a key that another node has just executed."""

    def test_key_executed_elsewhere_is_not_called_not_run_while_the_log_is_down(self) -> None:
        async def main() -> Cluster:
            cluster = Cluster()
            first, second = await cluster.add_ready(2)

            async def fail_log() -> None:
                cluster.log.set_faults(unavailable=True)

            first.before_use = fail_log
            first_call = asyncio.ensure_future(first.ask(cluster.request("k")))
            await asyncio.sleep(0.1)
            second.claimer.index.entries.clear()  # As if the claim had not arrived yet.
            self.assertEqual(await second.ask(cluster.request("k")), "key_unverified")
            self.assertTrue((await first_call).startswith("ok"))
            return cluster

        cluster = simulate(main)
        self.assertEqual(cluster.faults(), [])
        self.assertEqual(cluster.service.by_key["k"], 1)

    def test_read_only_log_still_shows_what_was_executed(self) -> None:
        async def main() -> Cluster:
            cluster = Cluster()
            first, second = await cluster.add_ready(2)
            answer = await first.ask(cluster.request("known"))
            with _ReadOnlyLog(cluster.log):
                cases = [(first, "known", answer), (second, "known", answer)]
                cases += [(first, "new", "not_run"), (second, "new", "not_run")]
                for node, key, expected in cases:
                    self.assertEqual(await node.ask(cluster.request(key)), expected)
            return cluster

        cluster = simulate(main)
        self.assertEqual(cluster.faults(), [])
        self.assertEqual(cluster.service.by_key["new"], 0)
