"""Tests of what nodes tell each other about endpoints that they do not reach."""

import asyncio
import errno
import unittest
from typing import Any, cast
from unittest.mock import patch

from lacewinghub.connector import ConnectionFailed, ConnectionProtocol, DirectConnector
from lacewinghub.directory import Announcement, EndpointDirectory
from lacewinghub.endpoint_pause import EndpointPauses
from lacewinghub.failover_connector import FailoverConnector, MeasuredConnector
from lacewinghub.link_state import LinkState
from lacewinghub.reach import DirectoryTargets
from lacewinghub.tables import Endpoint
from lacewinghub.tunnel import MAX_PAUSE_S, RefusalReason
from lacewinghub.tunnel_client import TunnelClient, TunnelRefused
from lacewinghub.tunnel_peers import TunnelPeer, TunnelPeers

ENDPOINT = Endpoint("e-1", "127.0.0.1:1", 4)


class _Node:
    """What a node knows of the endpoint."""

    def __init__(self, started: float) -> None:
        self.directory = EndpointDirectory()
        self.directory.announce(Announcement(ENDPOINT, "p", started=started))
        self.pauses = EndpointPauses()
        self.link = LinkState(lambda: 1)
        self.targets = DirectoryTargets(self.directory, self.pauses, self.link)

    @property
    def accepts(self) -> bool:
        """True if the node would send the endpoint requests."""
        paused = self.pauses.wait_s(ENDPOINT.name) > 0.0
        return not paused and not self.directory.is_leaving(ENDPOINT.name)


class _OneServer:
    """Tunnels through one node, which refuses them."""

    def __init__(self, server: _Node) -> None:
        self._server = server

    def choose(self, asked: set[str]) -> TunnelPeer | None:
        return None if asked else TunnelPeer("n-2", "127.0.0.1:2")

    async def open(self, *_: Any) -> ConnectionProtocol:
        raise TunnelRefused("n-2", self._server.targets.refusal(ENDPOINT.name, ENDPOINT.address))


class TestStaleRefusals(unittest.IsolatedAsyncioTestCase):
    """Guards against a restarted endpoint that is lost because of what its predecessor stated."""

    async def ask(self, asking: _Node, server: _Node) -> None:
        """Let a node that does not reach the endpoint try a tunnel."""
        asking.link.on_direct_failed(ENDPOINT.address, timed_out=True)
        asking.link.on_reached_by_other(ENDPOINT.address)
        stub: Any = _OneServer(server)
        connector = FailoverConnector(
            DirectConnector(),
            asking.link,
            cast(TunnelPeers, stub),
            cast(TunnelClient, stub),
            asking.targets,
        )
        with self.assertRaises(ConnectionFailed):
            await connector.connect(
                ConnectionProtocol, ENDPOINT.address, ENDPOINT.name, timeout_s=0.1
            )

    async def test_statements_of_another_process_do_not_count(self) -> None:
        cases = (("same process", 1.0, 1.0, False), ("stale server", 1.0, 2.0, True))
        for label, at_server, at_asking, accepts in (*cases, ("stale client", 2.0, 1.0, True)):
            for pauses in (False, True):
                with self.subTest(label, pauses=pauses):
                    server, asking = _Node(at_server), _Node(at_asking)
                    if pauses:
                        server.pauses.record(ENDPOINT.name, 2 * MAX_PAUSE_S)
                    else:
                        server.directory.mark_leaving(ENDPOINT.name)
                    await self.ask(asking, server)
                    self.assertEqual(asking.accepts, accepts)


class TestExhaustion(unittest.IsolatedAsyncioTestCase):
    """Guards against a node without descriptors that takes endpoints for unreachable."""

    async def test_errors_of_the_own_system(self) -> None:
        cases = (
            (errno.EMFILE, RefusalReason.NO_ROOM, False),
            (errno.EADDRNOTAVAIL, RefusalReason.NO_ROOM, False),
            (errno.ECONNREFUSED, RefusalReason.CONNECTION_REFUSED, True),
        )
        for number, reason, counts in cases:
            node = _Node(1.0)
            node.link.on_direct_ok("another")
            loop = asyncio.get_running_loop()
            with (
                self.subTest(errno.errorcode[number]),
                patch.object(loop, "create_connection", side_effect=OSError(number, "failed")),
            ):
                with self.assertRaises(ConnectionFailed) as caught:
                    await MeasuredConnector(DirectConnector(), node.link).connect(
                        ConnectionProtocol, ENDPOINT.address, ENDPOINT.name, timeout_s=0.1
                    )
                self.assertEqual(node.targets.explain(ENDPOINT.address, caught.exception), reason)
                self.assertEqual(node.link.has_failed(ENDPOINT.address), counts)


class TestServing(unittest.IsolatedAsyncioTestCase):
    """Guards against a node that thinks its links cut because it is asked for dead endpoints."""

    async def test_tunnels_to_endpoints_that_are_down(self) -> None:
        for is_confident in (True, False):
            node = _Node(1.0)
            node.link = LinkState(lambda: 9)
            node.targets = DirectoryTargets(node.directory, node.pauses, node.link)
            if is_confident:
                node.link.on_direct_ok("another")
            for number in range(4):
                address = f"127.0.0.1:{number}"
                node.link.on_direct_failed(address, timed_out=False)
                node.targets.explain(address, ConnectionFailed("refused"))
            with self.subTest(is_confident=is_confident):
                self.assertEqual(node.link.is_cut, not is_confident)


if __name__ == "__main__":
    unittest.main()
