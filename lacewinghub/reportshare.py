"""Load reports of endpoints, passed on between nodes.

An endpoint states its load with its answers, so that a node hears only of the endpoints that it
uses itself, and the more nodes there are the less often. Nodes therefore hand each new report on
with their heartbeats. Beyond a full mesh a report travels on from peer to peer.
"""

import asyncio
from collections.abc import Callable

from .membership import Contributor, Members
from .message import EndpointReport, Heartbeat
from .selection import LoadReports

# Reports of one heartbeat; those of a larger deployment take their turn.
MAX_SHARED = 256
# Nodes that pass a report on; it crosses an overlay of a few hundred nodes in as many steps.
MAX_HOPS = 4
# The age of a report is known up to the delay of its messages. A report that seems newer by less
# than this is the same one on its way back.
MARGIN_S = 0.1


class ReportShare(Contributor):
    """Exchanges load reports with the other nodes.

    Args:
        members: View of the live nodes.
        reports: Where the reports are kept.
        changed: Called after new reports of a peer were taken over.
    """

    def __init__(
        self, members: Members, reports: LoadReports, changed: Callable[[], None] | None = None
    ) -> None:
        self._members = members
        self._reports = reports
        self._changed = changed
        # Number of nodes that have passed on the reports that are to be sent, by endpoint.
        self._new: dict[str, int] = {}
        reports.listen(self._on_report)

    def fill(self, heartbeat: Heartbeat) -> None:
        """Write the reports that are new since the heartbeat before."""
        now = asyncio.get_running_loop().time()
        for endpoint in list(self._new)[:MAX_SHARED]:
            hops = self._new.pop(endpoint)
            report = self._reports.get(endpoint)
            age_ms = max(0, round((now - report.time) * 1000))
            heartbeat.reports.append(
                EndpointReport(endpoint, report.running, report.waiting, age_ms, hops)
            )

    def observe(self, heartbeat: Heartbeat) -> None:
        """Take over the reports of a peer; in a full mesh they go no further."""
        now = asyncio.get_running_loop().time()
        far = self._members.beyond_mesh()
        changed = False
        for item in heartbeat.reports:
            stated = now - item.age_ms / 1000
            if stated <= self._reports.get(item.endpoint).time + MARGIN_S:
                continue
            changed = True
            self._reports.update(item.endpoint, item.running, item.waiting, stated)
            if far and item.hops + 1 < MAX_HOPS:
                self._new[item.endpoint] = item.hops + 1
            else:
                self._new.pop(item.endpoint, None)
        if changed and self._changed is not None:
            self._changed()

    def _on_report(self, endpoint: str) -> None:
        self._new[endpoint] = 0
