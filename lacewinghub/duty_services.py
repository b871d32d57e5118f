"""The singleton duties at one node: the lease, the reports to its holder, what performs them."""

from collections.abc import Callable
from dataclasses import dataclass

from .conditional_topic import ConditionalTopic
from .control_api import ControlApi
from .demand import DemandMeter
from .directory import EndpointDirectory
from .duties import CALL_MARGIN_S
from .duty_lease import DutyLease
from .leader_hint import LeaderHints
from .leader_reports import LeaderReports
from .local import PoolState
from .message import LeaderHint
from .overlay import Overlay
from .peer import PeerServer
from .scaler import Scaler, SetGauge
from .supervisor import Supervisor
from .usage import UsageCounts, UsageSettings
from .usage_reporter import UsageReporter


@dataclass(frozen=True, slots=True)
class DutySettings:
    """Settings of the calls to the platform that one node makes at a time.

    Attributes:
        usage: True if the usage of the workspaces is reported.
        autoscale: True if runners are ordered.
        lease_s: Time for which the duties are held without a renewal, in seconds.
        window_s: Length of a usage window, in seconds.
        usage_late_s: Time after its end at which the usage of a window is due, in seconds.
        calls_per_s: Calls per second that the platform accepts from all nodes together.
    """

    usage: bool
    autoscale: bool
    lease_s: float = 3.0
    window_s: float = 5.0
    usage_late_s: float = 10.0
    calls_per_s: float = 10.0

    @property
    def is_lease_usable(self) -> bool:
        """Whether the lease leaves time for calls between its renewals, every third of it."""
        return self.lease_s >= 1.5 * CALL_MARGIN_S


@dataclass(frozen=True, slots=True)
class DutyPlatform:
    """What the platform offers for the duties.

    Attributes:
        topic: Topic for the lease and the records of the duties.
        api: Client for the control API.
    """

    topic: ConditionalTopic
    api: ControlApi


@dataclass(frozen=True, slots=True)
class NodeParts:
    """Components of the node that the duties use.

    Attributes:
        overlay: Membership.
        peers: Connections to the other nodes.
        directory: Configured pools and announced endpoints.
        pool_state: Returns the queue and the requests in flight of a pool.
        set_gauge: Receives the metrics.
    """

    overlay: Overlay
    peers: PeerServer
    directory: EndpointDirectory
    pool_state: Callable[[str], PoolState]
    set_gauge: SetGauge


class DutyServices:
    """All components of the duties at one node.

    Args:
        cfg: Settings of the duties.
        platform: What the platform offers for them.
        parts: Components of the node.

    Attributes:
        lease: The lease.
        reports: Reports to the holder of the lease.
        usage: Counts the requests of each workspace; None if their usage is not reported.
        demand: Measures the demand for pools; None if no runners are ordered.
    """

    def __init__(self, cfg: DutySettings, platform: DutyPlatform, parts: NodeParts) -> None:
        self.usage: UsageCounts | None = None
        self.demand: DemandMeter | None = None
        self._cfg = cfg
        self._parts = parts
        self._reporter: UsageReporter | None = None
        self._scaler: Scaler | None = None
        identity, overlay = parts.peers.identity, parts.overlay
        self.lease = DutyLease(identity, overlay, platform.topic, cfg.lease_s)
        hints = LeaderHints(
            identity.node,
            lambda: parts.peers.identity.address,
            self.lease.held_token,
            overlay,
            overlay.schedule_relay,
        )
        overlay.add(hints)
        self.reports = LeaderReports(identity, overlay, parts.peers, hints.leader)
        if cfg.usage:
            self._build_usage(platform.api, hints)
        if cfg.autoscale:
            self._build_scaler(platform.api)

    def start(self, supervisor: Supervisor) -> None:
        """Start the components."""
        supervisor.start("duty lease", self.lease.run)
        supervisor.start("leader reports", self.reports.run)
        if self._reporter is not None:
            supervisor.start("usage reporter", self._reporter.run)
        if self._scaler is not None:
            supervisor.start("scaler", self._scaler.run)

    def leave(self, supervisor: Supervisor) -> None:
        """Give the lease up, because the node stops."""
        supervisor.start("resign", self.lease.resign, restart=False)

    def send_report(self) -> None:
        """Hand the last counts of this node over to the holder of the duties."""
        self.reports.send()

    def update_gauges(self) -> None:
        """Update the metrics of the lease and the usage reports."""
        set_gauge = self._parts.set_gauge
        token = self.lease.held_token()
        set_gauge("duty_lease_held", token is not None)
        set_gauge("duty_lease_token", token or 0)
        set_gauge("duty_lease_changes", self.lease.changes)
        if self._reporter is not None:
            set_gauge("usage_windows_reported", self._reporter.windows_reported)
            set_gauge("usage_windows_dropped", self._reporter.windows_dropped)
            set_gauge("usage_report_delay_s", self._reporter.report_delay_s)

    def _build_usage(self, api: ControlApi, hints: LeaderHints) -> None:
        cfg = UsageSettings(self._cfg.window_s, self._cfg.usage_late_s)
        self.usage = UsageCounts(cfg, holder=lambda: _token(hints.leader()))
        self.reports.add(self.usage)
        self._reporter = UsageReporter(self.lease, self.reports, api, cfg, self.usage.clock)

    def _build_scaler(self, api: ControlApi) -> None:
        parts = self._parts
        self.demand = DemandMeter(
            lambda: [item.name for item in parts.directory.specs() if item.scaling is not None],
            parts.pool_state,
        )
        self.reports.add(self.demand)
        self._scaler = Scaler(
            self.lease,
            self.reports,
            parts.directory,
            api,
            self._cfg.calls_per_s,
            parts.set_gauge,
        )


def _token(leader: LeaderHint | None) -> int | None:
    return None if leader is None else leader.token
