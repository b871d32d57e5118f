"""Tests of whose fault it is that a node does not reach endpoints, on a simulated clock."""

import asyncio
import random
import unittest
from collections.abc import Callable
from typing import Any

from lacewinghub.connector import ConnectionFailed, Connector, ProtocolT
from lacewinghub.failover_connector import MeasuredConnector
from lacewinghub.link_probe import LinkProber
from lacewinghub.link_state import BACK_S, DOUBT_S, EVIDENCE_S, VERDICT_S, LinkState
from lacewinghub.membership import Member, Members, MemberState
from lacewinghub.message import Heartbeat, TunnelOffer
from lacewinghub.tables import Endpoint
from lacewinghub.tunnel import RefusalReason
from lacewinghub.tunnel_peers import OFFER_AGE_S, TunnelPeers

from .clock import simulate, simulated

KNOWN = 10


class LinkCase(unittest.TestCase):
    """The links of one node, on a simulated clock."""

    async def play(self, scenario: Any) -> Any:
        """Run a scenario with fresh links."""
        self.link = LinkState(lambda: KNOWN)
        return await scenario(self)

    def note(self, events: str) -> None:
        """Record events of an address.

        F: refused, T: timed out, O: succeeded, R: another node reached it, N: nor did another node.
        """
        for address, kind in events.split():
            if kind in "FT":
                self.link.on_direct_failed(address, timed_out=kind == "T")
            elif kind == "O":
                self.link.on_direct_ok(address)
            elif kind == "R":
                self.link.on_reached_by_other(address)
            else:
                self.link.on_unreached_by_other(address)


class TestVerdict(LinkCase):
    """Guards against endpoints that are blamed for the links, and links for endpoints."""

    def test_whose_fault_it_is(self) -> None:
        cases = (
            ("nothing happened", "", False, False),
            ("one endpoint that nobody reaches", "aF aN aF aN", False, False),
            ("one endpoint that another node reaches", "aT aR", False, False),
            ("two endpoints that another node reaches", "aT aR bT bR", True, True),
            ("refused ones", "aF aR bF bR", True, False),
            ("a success in between", "aT aR aO bT bR", False, False),
            ("a success elsewhere in between", "aT aR cO bT bR", False, False),
            ("two endpoints that nobody reaches", "aT aN bT bN", False, False),
            ("many endpoints that nobody reaches", "aT aN bT bN cT cN dT dN", False, False),
            ("three endpoints, and nobody to ask", "aT bT cT", True, True),
            ("two endpoints, and nobody to ask", "aT bT aT bT", False, False),
            ("three with a success in between", "aT bT dO cT", False, False),
        )
        for label, events, is_cut, hangs in cases:

            async def scenario(case: LinkCase, events: str = events) -> tuple[bool, bool]:
                case.note(events)
                return case.link.is_cut, case.link.hangs

            with self.subTest(label):
                found = simulate(lambda scenario=scenario: self.play(scenario))
                self.assertEqual(found, (is_cut, hangs))

    @simulated
    async def test_evidence_and_doubt_end(self) -> None:
        self.note("aT")
        self.assertTrue(self.link.is_in_doubt())
        await asyncio.sleep(DOUBT_S)
        self.assertFalse(self.link.is_in_doubt())
        self.note("aR")
        await asyncio.sleep(EVIDENCE_S)
        self.note("bT bR")
        self.assertFalse(self.link.is_cut)

    @simulated
    async def test_a_verdict_is_not_asked_for_again_at_once(self) -> None:
        self.note("aF aN")
        self.assertTrue(self.link.has_verdict("a"))
        self.assertFalse(self.link.has_verdict("b"))
        await asyncio.sleep(VERDICT_S)
        self.assertFalse(self.link.has_verdict("a"))

    @simulated
    async def test_a_single_endpoint_that_only_others_reach(self) -> None:
        self.note("aT aR")
        self.assertTrue(self.link.prefers_tunnel("a"))
        self.assertFalse(self.link.prefers_tunnel("b"))
        self.note("aO")
        self.assertFalse(self.link.prefers_tunnel("a"))


class TestReturn(LinkCase):
    """Guards against a herd of direct connections, and against harm done by flapping."""

    @simulated
    async def test_endpoints_that_succeed_are_direct_and_the_others_follow(self) -> None:
        self.note("aT aR bT bR aO")
        self.assertTrue(self.link.is_cut)
        self.assertFalse(self.link.prefers_tunnel("a"))
        self.assertTrue(self.link.prefers_tunnel("b"))
        await asyncio.sleep(BACK_S)
        self.note("bO")
        self.assertTrue(self.link.is_cut)
        self.note("cO")
        self.assertFalse(self.link.is_cut)
        self.assertFalse(self.link.prefers_tunnel("d"))

    @simulated
    async def test_a_failure_puts_the_return_off(self) -> None:
        self.note("aT aR bT bR")
        for _ in range(4):
            self.note("aO bO")
            await asyncio.sleep(BACK_S)
            self.note("cT")
            self.assertTrue(self.link.is_cut)
            self.assertTrue(self.link.prefers_tunnel("c"))
        self.note("aO bO cO")
        self.assertTrue(self.link.is_cut)
        await asyncio.sleep(BACK_S)
        self.note("aO")
        self.assertFalse(self.link.is_cut)


class _PartlyDown(Connector):
    """Connects to all endpoints but some."""

    def __init__(self, down: set[str]) -> None:
        self._down = down

    async def connect(
        self, factory: Callable[[], ProtocolT], address: str, endpoint: str, timeout_s: float
    ) -> ProtocolT:
        if address in self._down:
            raise ConnectionFailed("refused")
        return factory()


class TestProbes(LinkCase):
    """Guards against links that stay cut, so that nobody is blamed, because an endpoint is down."""

    def test_the_links_come_back_while_endpoints_are_down(self) -> None:
        cases = ((1, 0, 10), (2, 1, 10), (3, 1, 10), (6, 2, 10), (10, 1, 10), (10, 5, 60))
        for known, down_count, limit_s in cases:

            async def scenario(
                known: int = known, down_count: int = down_count, limit_s: int = limit_s
            ) -> bool:
                link = LinkState(lambda: known)
                endpoints = [Endpoint(f"e{n}", f"a{n}", 1) for n in range(known)]
                down = {item.address for item in endpoints[:down_count]}
                direct = MeasuredConnector(_PartlyDown(down), link)
                prober = LinkProber(link, direct, direct, lambda: endpoints, random.Random(3))
                for address in ("x", "y"):
                    link.on_direct_failed(address, timed_out=False)
                    link.on_reached_by_other(address)
                assert link.is_cut
                task = asyncio.create_task(prober.run())
                await asyncio.sleep(limit_s)
                task.cancel()
                return link.is_cut

            with self.subTest(known=known, down=down_count):
                self.assertFalse(simulate(scenario))


class _Members(Members):
    def __init__(self, zones: dict[str, str]) -> None:
        self._zones = zones

    def live(self) -> list[Member]:
        return [Member(n, "", zone, 1, MemberState.LIVE) for n, zone in self._zones.items()]

    def state(self, node: str) -> MemberState:
        return MemberState.LIVE


class TestPeers(LinkCase):
    """Guards against tunnels through nodes that cannot help, and through always the same one."""

    async def play(self, scenario: Any) -> Any:
        zones = {"n1": "z1", "n2": "z1", "n3": "z1", "far": "z2"}
        rng = random.Random(5)
        self.peers = TunnelPeers("z1", _Members(zones), lambda: None, rng)
        for node in zones:
            self.hear(node)
        return await scenario(self)

    def hear(self, node: str, state: str = "live", cut: bool = False, room: int = 100) -> None:
        """Receive a heartbeat."""
        heartbeat = Heartbeat(node, 1, 1, state)
        heartbeat.tunnels.append(TunnelOffer(f"{node}:1", cut, room))
        self.peers.on_heartbeat(heartbeat)

    def chosen(self, excluded: frozenset[str] = frozenset()) -> set[str | None]:
        """Return which nodes are chosen in many choices."""
        found = [self.peers.choose(set(excluded)) for _ in range(60)]
        return {item and item.node for item in found}

    @simulated
    async def test_the_own_zone_goes_first_and_all_of_it(self) -> None:
        self.assertEqual(self.chosen(), {"n1", "n2", "n3"})
        self.assertEqual(self.chosen(frozenset(("n1", "n2", "n3"))), {"far"})

    @simulated
    async def test_nodes_that_cannot_help(self) -> None:
        self.hear("n1", cut=True)
        self.hear("n2", room=0)
        self.hear("n3", state="leaving")
        self.assertEqual(self.chosen(), {"far"})
        await asyncio.sleep(OFFER_AGE_S)
        self.assertEqual(self.chosen(), {None})

    @simulated
    async def test_a_refusal_counts_until_the_next_heartbeat(self) -> None:
        self.peers.on_refused("n1", RefusalReason.LINKS_CUT)
        self.peers.on_refused("n2", RefusalReason.NO_ROOM)
        self.assertEqual(self.chosen(), {"n3"})
        # Both state the same room again.
        for node in ("n1", "n3"):
            self.hear(node)
        self.assertEqual(self.chosen(), {"n1", "n3"})

    @simulated
    async def test_a_node_that_does_not_answer_is_asked_last(self) -> None:
        for node in ("n1", "n2"):
            self.peers.on_refused(node, None)
        self.assertEqual(self.chosen(), {"n3"})
        self.assertEqual(self.chosen(frozenset(("n3", "far"))), {"n1", "n2"})

    @simulated
    async def test_of_two_nodes_the_one_with_more_room(self) -> None:
        self.hear("n1", room=1)
        self.hear("n2", room=2)
        self.hear("n3", room=1000)
        first = [self.peers.choose(set()) for _ in range(2)]
        self.assertNotIn("n1", {item and item.node for item in first})


if __name__ == "__main__":
    unittest.main()
