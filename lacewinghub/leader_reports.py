"""Reports of all nodes to the node that holds the singleton duties."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from .duties import NodeReports, ReceivedReport, ReportContributor
from .membership import Member, Members, MemberState
from .message import LeaderHint, LeaderReport
from .transport import Peer, Transport

REPORT_EVERY_S = 0.5
# With more nodes than REPORT_EVERY_S times this, the holder gets this many reports per second.
REPORTS_PER_S = 300.0
# With more nodes than this, their first reports to a new holder, each of which opens a connection,
# are spread over some time.
SPREAD_NODES = 64
SPREAD_S = 1.0
TICK_S = 0.1  # A new holder is noticed this soon.
# First pause until a report that found no connection is sent over the one that is being opened.
CONNECT_S = 0.1
# A report is kept for this long after it arrived. The last one of a node that died may contain the
# only counts of a window that is decided some seconds later, or again after a change of the holder.
KEEP_S = 30.0
NO_WINDOW = -1  # Newest window with final counts, if no component counts usage.


@dataclass(slots=True)
class _Received:
    report: LeaderReport
    at: float


class LeaderReports(NodeReports):
    """Sends the reports of this node, and keeps those of all nodes while it holds the duties.

    A new holder gets reports as soon as nodes learn of it. Those that an earlier holder got stay
    there for ``KEEP_S``, so that it can go on if it takes the lease again.

    Args:
        identity: This node.
        members: View of the live nodes.
        transport: Connections to the other nodes.
        leader: Returns the holder of the duties as far as this node knows.
    """

    def __init__(
        self,
        identity: Peer,
        members: Members,
        transport: Transport,
        leader: Callable[[], LeaderHint | None],
    ) -> None:
        self._identity = identity
        self._members = members
        self._transport = transport
        self._leader = leader
        self._contributors: list[ReportContributor] = []
        self._received: dict[tuple[str, int], _Received] = {}
        self._seq = 0
        transport.subscribe(LeaderReport, self._on_report)

    def add(self, contributor: ReportContributor) -> None:
        """Include the figures of a component in the reports from now on."""
        self._contributors.append(contributor)

    def reports(self) -> list[ReceivedReport]:
        """Return the newest report of each incarnation of each node, this one included."""
        now = _now()
        self._forget(now)
        live = {item.node: item.incarnation for item in self._members.members() if _is_alive(item)}
        found = [
            ReceivedReport(item.report, item.at, live.get(node) == incarnation)
            for (node, incarnation), item in self._received.items()
        ]
        return [ReceivedReport(self._build(), now, True), *found]

    def live_nodes(self) -> int:
        """Return the number of nodes that are alive, this one included."""
        return sum(_is_alive(item) for item in self._members.members())

    async def run(self) -> None:
        """Send reports until cancelled."""
        told, due, retry_s = 0, float("-inf"), CONNECT_S
        while True:
            leader, now = self._leader(), _now()
            if leader is not None and leader.token != told:
                delay_s = random.uniform(0.0, SPREAD_S) if self.live_nodes() > SPREAD_NODES else 0.0
                told, due, retry_s = leader.token, now + delay_s, CONNECT_S
            if leader is not None and now >= due:
                if self._send_to(leader):
                    due = now + self._period_s()
                else:  # A connection is being opened.
                    due = now + min(retry_s, self._period_s())
                    retry_s *= 2
            self._forget(now)
            await asyncio.sleep(TICK_S)

    def send(self) -> None:
        """Send a report now, if the holder is known and connected."""
        leader = self._leader()
        if leader is not None:
            self._send_to(leader)

    def _send_to(self, leader: LeaderHint) -> bool:
        """Send a report; without a connection it is dropped, and a connection is opened."""
        if leader.node == self._identity.node:
            return True
        if self._transport.send(leader.node, self._build()):
            for item in self._contributors:
                item.on_sent()
            return True
        self._transport.connect_on_demand(leader.address)
        return False

    def _build(self) -> LeaderReport:
        self._seq += 1
        own = self._identity
        report = LeaderReport(own.node, own.incarnation, self._seq, NO_WINDOW)
        report.leaving = self._members.state(own.node) is MemberState.LEAVING
        for item in self._contributors:
            try:
                item.fill_report(report)
            except Exception:
                logger.exception("{} could not fill a report", type(item).__name__)
        return report

    def _on_report(self, sender: str, report: LeaderReport) -> None:
        own = self._identity
        key = (report.node, report.incarnation)
        if report.node != sender or key == (own.node, own.incarnation):
            return
        known = self._received.get(key)
        if known is None or report.seq > known.report.seq:
            self._received[key] = _Received(report, _now())

    def _forget(self, now: float) -> None:
        self._received = {
            key: item for key, item in self._received.items() if now - item.at < KEEP_S
        }

    def _period_s(self) -> float:
        return max(REPORT_EVERY_S, self.live_nodes() / REPORTS_PER_S)


def _is_alive(member: Member) -> bool:
    """Return whether a node is not known to have died; a suspect one may still be serving."""
    return member.state is not MemberState.DEAD


def _now() -> float:
    return asyncio.get_running_loop().time()
