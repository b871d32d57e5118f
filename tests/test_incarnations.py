"""Tests that a request reaches the process that its endpoint announced."""

import asyncio
from typing import Any

from lacewinghub.fakes.platform_runner import FakeRunner
from lacewinghub.responder import Responder

from .test_software_versions import V1, V2, VersionCase, stream_of
from .test_version_rules import RestartCase

STREAMS = 24


class PlainRunner(FakeRunner):
    """A runner that says nothing of itself."""

    async def _report(self, out: Responder) -> None:
        self.reports += 1
        out.send(404, [], b"")


class TestCalls(VersionCase):
    """Guards against asking a runner for each stream, and against runners that do not answer."""

    nodes = 1
    runners = 2
    versions = (V1,)

    async def ask_one(self, number: int = 0) -> None:
        """Request a stream and check that it is whole."""
        answer = await self.ask_stream("/draft/calm", f"calm-{number}")
        self.assertEqual((answer.status, answer.body), (200, stream_of(V1)))

    @property
    def reports(self) -> int:
        """Number of reports for which the runners were asked."""
        return sum(item.reports for item in self.models)

    async def test_a_connection_is_asked_once(self) -> None:
        for number in range(STREAMS):
            await self.ask_one(number)
        self.assertLessEqual(self.reports, self.runners)

    async def test_connections_beside_a_proven_one_are_not_asked(self) -> None:
        await asyncio.gather(*(self.ask_one(number) for number in range(self.runners)))
        for runner in self.models:
            runner.work_s = 0.05
        for _ in range(4):
            await asyncio.gather(*(self.ask_one(number) for number in range(8)))
        self.assertLess(self.reports, STREAMS)

    async def test_connections_that_are_opened_at_once_need_one_call(self) -> None:
        await asyncio.gather(*(self.ask_one(number) for number in range(STREAMS)))
        self.assertLess(self.reports, STREAMS / 4)

    async def test_plain_requests_are_not_preceded_by_a_call(self) -> None:
        answer = await self.ask("/lookup/a")
        self.assertEqual(answer.status, 200)
        await self.ask("/chat/a")  # A stream that cannot be continued.
        self.assertEqual(sum(item.reports for item in self.models + self.apps), 0)

    async def test_runners_that_do_not_report(self) -> None:
        for runner in self.models:
            runner.__class__ = PlainRunner
        for number in range(STREAMS):
            await self.ask_one(number)
        self.assertLessEqual(self.reports, self.runners)

    async def test_runners_whose_reports_hang(self) -> None:
        for runner in self.models:
            runner.is_report_silent = True
        await self.ask_one()
        streams = await self.begin(2)
        executed = sum(len(item.runs) for item in self.models)
        answers = await asyncio.gather(*(self.take_up(item) for item in streams))
        # The deadline may pass before all runners were asked.
        self.assertTrue({item.status for item in answers} <= {503, 504})
        self.assertEqual(sum(len(item.runs) for item in self.models), executed)


class TestNodes(RestartCase):
    """Guards against a node that learns of the restart by no connection of its own."""

    nodes = 2

    async def test_a_node_without_connections(self) -> None:
        streams = await self.begin(12)
        await self.restart_with_new_software()
        self.assertEqual(await self.joined(streams, node=1), [])
        self.assertEqual(await self.joined(await self.begin(12, node=1), node=0), [])

    async def test_streams_go_on_at_the_other_runners(self) -> None:
        streams = await self.begin(12)
        await self.restart_with_new_software()
        for node in range(self.nodes):
            await self.assert_taken_up(streams, node=node)

    async def test_restarted_runners_are_not_asked_again_and_again(self) -> None:
        # Guards against attempts that are all used up by the same runner.
        await self.restart_with_new_software()
        await self.begin(12)
        asked = sum(item.reports for item in self.models[:2])
        await self.begin(12)
        self.assertEqual(sum(item.reports for item in self.models[:2]), asked)

    async def test_the_runners_are_used_once_their_records_are_read(self) -> None:
        await self.restart_with_new_software()
        await self.begin(8)
        for runner in self.models[:2]:
            runner.announce(self.store)
        await self.until(self.serves_new_version)

    async def serves_new_version(self) -> bool:
        """Return whether a stream begins at the new software."""
        answer: Any = await self.ask_stream("/draft/new", "new")
        return bool(answer.body == stream_of(V2))
