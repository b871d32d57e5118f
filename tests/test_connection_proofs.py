"""Tests of which connections prove that another one leads to the same process."""

import asyncio
import unittest
from typing import Any
from unittest.mock import AsyncMock, Mock, patch

from lacewinghub.directory import Announcement
from lacewinghub.endpoint import ConnectFailed
from lacewinghub.httpclient import HIGH_WATER_BYTES, HttpConnection
from lacewinghub.incarnations import IncarnationProofs
from lacewinghub.platform.runner import RunnerClient
from lacewinghub.proxyclient import Incarnation
from lacewinghub.tables import Endpoint
from lacewinghub.tunnel import TunnelLost

STARTED_S = 5.0
ENDPOINT = Endpoint("e-1", "127.0.0.1:1", 4, version="v1")
UNREAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + bytes(
    HIGH_WATER_BYTES + 1
)


class _Transport(asyncio.Transport):
    def __init__(self, via: str) -> None:
        super().__init__({"via": via})

    def abort(self) -> None:
        return None

    def pause_reading(self) -> None:
        return None

    def write(self, data: Any) -> None:
        return None


def _connection(via: str = "") -> HttpConnection:
    conn = HttpConnection()
    conn.connection_made(_Transport(via))
    return conn


class TestProofs(unittest.IsolatedAsyncioTestCase):
    """Guards against streams that go on at a process of other software.

    The process of the proven connection may have ended, which the connection does not show.
    """

    def setUp(self) -> None:
        self.proofs = IncarnationProofs(lambda _: Announcement(ENDPOINT, "p", started=STARTED_S))

    def prove(self, conn: HttpConnection) -> None:
        """Let the process of a connection state its start."""
        self.proofs.check(ENDPOINT, conn, Incarnation(STARTED_S))
        self.assertFalse(self.proofs.is_needed(ENDPOINT, conn))

    async def test_which_connections_prove_others(self) -> None:
        cases: tuple[tuple[str, str, str, bytes, bool], ...] = (
            ("both direct", "", "", b"", False),
            ("the proven one through a node", "n-2", "", b"", True),
            ("the new one through a node", "", "n-2", b"", True),
            ("both through the same node", "n-2", "n-2", b"", True),
            ("the proven one is not read", "", "", UNREAD, True),
        )
        for label, proven_via, new_via, received, is_needed in cases:
            with self.subTest(label):
                self.setUp()
                proven = _connection(proven_via)
                self.prove(proven)
                if received:
                    proven.data_received(received)
                found: Any = self.proofs.is_needed(ENDPOINT, _connection(new_via))
                self.assertEqual(found, is_needed)

    async def test_proofs_from_before_a_cut(self) -> None:
        proven = _connection()
        self.prove(proven)
        self.proofs.on_links_changed()
        self.assertTrue(self.proofs.is_needed(ENDPOINT, _connection()))


class TestQuestions(unittest.IsolatedAsyncioTestCase):
    """Guards against a runner that is taken for dead because a tunnel broke during the question."""

    async def test_connections_that_break_during_the_question(self) -> None:
        cases = (
            ("runner", "", ConnectionResetError(), False),
            ("runner through a node", "n-2", ConnectionResetError(), False),
            ("tunnel", "n-2", TunnelLost(), True),
        )
        for label, via, lost, blameless in cases:
            conn = _connection(via)
            pool = Mock(get=AsyncMock(return_value=conn))
            pool.connector.explains_break.return_value = False
            statements = Mock()
            statements.incarnations.is_needed.return_value = True
            client = RunnerClient(pool, statements)
            asyncio.get_running_loop().call_later(0.05, conn.connection_lost, lost)
            with (
                self.subTest(label),
                patch("lacewinghub.platform.runner.needs_proof", return_value=True),
                self.assertRaises(ConnectFailed) as caught,
            ):
                await client._connect(ENDPOINT, Mock(), fresh=True)
            self.assertEqual(caught.exception.neutral, blameless)


if __name__ == "__main__":
    unittest.main()
