"""Node of the HTTP proxy: creates its components, supervises them and stops them in order."""

import asyncio
import time
from dataclasses import replace
from pathlib import Path

from loguru import logger

from .brittle_endpoints import BrittleEndpoints
from .brittle_statements import BrittleStatements
from .client_bounds import client_guard
from .crash_guard import CrashGuard
from .crash_records import CrashRecords
from .decisionlog import log_event
from .dependencies import DispatcherDependencies, RetryBudgets
from .deployment import CurrentConfig, DeploymentConfig
from .directory import EndpointDirectory
from .duty_services import DutyPlatform, DutyServices, NodeParts
from .endpoint_pause import EndpointPauses
from .endpoint_quota import EndpointQuotas
from .endpoint_statements import EndpointStatements
from .errors import AddressUnavailable, SettingsInvalid
from .failure_outliers import FailureMonitor, FailureOutlierDetector
from .follower import Follower, ReadTiming
from .fullrunner import FullRunners
from .health import EndpointHealth, HealthMonitor, HealthyPools
from .history import History
from .httpclient import ConnectionPool
from .httpserver import HttpHandler, HttpServer
from .incarnations import IncarnationProofs
from .link_monitor import LinkAwareMonitor
from .metricpage import MetricPage
from .move_client import RunMoveClient
from .node_adapter import Adapter, TopicSource
from .node_retry_budget import NodeRetryBudgets
from .nodelist import NodeDiscovery
from .origin_peers import TransportOriginPeers
from .origin_records import OriginRecords, VersionRecords
from .overlay import Overlay
from .peer import PeerServer
from .phase import Phase
from .promptcache import PromptCacheIndex, PromptCacheSync
from .proxyclient import ProxyClient
from .proxygateway import ProxyGateway
from .proxyrouter import ProxyRouter
from .proxyscheduler import ProxyScheduler
from .reach import EndpointReach, ReachSettings
from .readturns import MANY_NODES, ReadTurns, TurnTiming
from .relayedtopic import RelayedTopic
from .run_move import RunMover
from .runner_allocation import DemandAllocation
from .runner_state import RunnerStates, SharedLoadReports
from .sharedtopic import ReadFailures
from .stream_origins import OriginMemory, OriginTable
from .supervisor import Supervisor
from .suspend import SuspendWatch
from .tables import Endpoint, Tables
from .transport import Peer
from .version_history import VersionHistory

# A long poll waits for this share of the time within which a change must be in force. A read whose
# connection falls silent hangs for that long and the time-out of an answer.
READ_WAIT_SHARE = 0.3
# Where each node reads for itself, a read of the configuration waits longer, which saves calls. The
# reads of the endpoints show sooner that the store or all connections to it have fallen silent.
CONFIG_WAIT_SHARE = 0.75
# Endpoints append heartbeats all the time, so that every long poll would return at once. The pause
# batches them.
ENDPOINTS_PAUSE_S = 0.5
# In large deployments a node that hears of no read of the log reads it itself after this share of
# the time within which a change must be in force.
TAKEOVER_SHARE = 0.45
# Knowledge of the endpoints that is older than this share of the time within which a change must be
# in force is not current. A node whose reads hang, and that asks its peers meanwhile, is below it.
CURRENT_SHARE = 2.0
# A node whose knowledge of the endpoints is older than this share of the time within which a change
# must be in force asks its peers although its read of the store has not failed yet. Reads of a slow
# store end before, and there is time for several requests until the knowledge is not current.
RENEWAL_SHARE = 1.25
# The load balancer checks once per second and removes a node after two failed checks.
LEAVE_S = 2.8
# The process ends this long before the platform would kill it.
MARGIN_S = 0.4
STOP_POLL_S = 0.05
SETTINGS_POLL_S = 1.0
# Connections that turn out to be silent this long after the links were cut are given up as well.
GIVE_UP_S = 0.5


class ProxyNode:
    """One node with all its components, inside the running event loop.

    Args:
        adapter: Connects the node to the platform.

    Raises:
        SettingsInvalid: If the settings are invalid.

    Attributes:
        cfg: Settings of the node.
        ports: Ports in use by name, once the node has started.
        started: Set once the node serves.
    """

    def __init__(self, adapter: Adapter) -> None:
        self.cfg = adapter.settings()
        self.ports: dict[str, int] = {}
        self.started = asyncio.Event()
        self._adapter = adapter
        self._stop = asyncio.Event()
        self._supervisor = Supervisor(self.cfg.node)
        self._build()

    def request_stop(self) -> None:
        """Ask ``run`` for a planned stop; further calls have no effect."""
        self._stop.set()

    def reload(self) -> None:
        """Read the settings file again; invalid settings are ignored.

        Only the grace period is applied. Other settings take effect at the next start.
        """
        try:
            new = self._adapter.settings()
        except SettingsInvalid as exc:
            logger.bind(key=exc.details.get("key")).error("settings not applied: {}", exc.message)
            return
        self.cfg = replace(self.cfg, grace_s=new.grace_s)
        logger.bind(grace_s=self.cfg.grace_s).info("settings read again")

    async def run(self) -> None:
        """Serve until ``request_stop`` is called, then stop."""
        try:
            await self._start()
            await self._stop.wait()
            await self._stop_gracefully()
        finally:
            await self._supervisor.stop()
            logger.info("node stopped")

    async def _start(self) -> None:
        supervisor = self._supervisor
        supervisor.on_stop(self._adapter.close)
        await self._start_peers()
        supervisor.start("config", self._config.run)
        supervisor.start("endpoints", self._endpoints.run)
        supervisor.start("scheduler", self._scheduler.run)
        supervisor.start("suspend", self._suspend.run)
        if self._mover is not None:
            supervisor.start("moves", self._mover.run)
        supervisor.start("gauges", self._update_gauges)
        supervisor.start("settings", self._watch_settings)
        await self._listen("ready", self.cfg.ready, self._adapter.readiness(self._is_ready))
        await self._listen("metrics", self.cfg.metrics, self._metrics)
        self._front_server = await self._listen("front", self.cfg.front, self._gateway)
        cfg = self.cfg
        logger.bind(availability_zone=cfg.availability_zone, front=cfg.front).info("node started")
        self.started.set()

    async def _start_peers(self) -> None:
        supervisor = self._supervisor
        try:
            await self._peers.start()
        except OSError as exc:
            address = self.cfg.peer
            raise AddressUnavailable(f"cannot listen on peer {address}: {exc}", key="peer") from exc
        self.ports["peer"] = int(self._peers.identity.address.rpartition(":")[2])
        try:
            self.ports["tunnel"] = await self._reach.start(supervisor)
        except OSError as exc:
            address = self.cfg.tunnel
            raise AddressUnavailable(
                f"cannot listen on tunnel {address}: {exc}", key="tunnel"
            ) from exc
        nodes = NodeDiscovery(self._peers.identity, self._adapter.nodes(), self._on_nodes)
        self._withdraw = nodes.withdraw
        self._config_topic.on_rewind(nodes.renew)
        self._config_topic.on_rewind(self._crash_records.renew)
        self._config_topic.on_rewind(self._version_records.renew)
        self._config_topic.on_rewind(self._origin_records.renew)
        supervisor.start("peers", self._peers.run)
        supervisor.start("membership", self._overlay.run)
        supervisor.start("nodes", nodes.run)
        supervisor.start("crashes", self._crash_records.run)
        supervisor.start("versions", self._version_records.run)
        supervisor.start("origins", self._origin_records.run)
        if self._duties is not None:
            self._duties.start(supervisor)

    async def _listen(self, key: str, address: str, handler: HttpHandler) -> HttpServer:
        host, _, port = address.rpartition(":")
        server = HttpServer(handler, self._client_guard.for_server(public=key == "front"))
        try:
            self.ports[key] = await server.start(host.strip("[]"), int(port))
        except OSError as exc:
            raise AddressUnavailable(f"cannot listen on {key} {address}: {exc}", key=key) from exc
        self._supervisor.on_stop(server.close)
        return server

    async def _stop_gracefully(self) -> None:
        """Fail the readiness checks, keep serving, then drain within the grace period."""
        self.reload()  # The grace period may have changed since the file was last looked at.
        loop = asyncio.get_running_loop()
        stop_started = loop.time()
        self._gateway.ends_at = stop_started + self.cfg.grace_s - MARGIN_S
        self._gateway.phase = Phase.LEAVING
        self._reach.server.stop_accepting()
        self._overlay.leave()
        self._supervisor.start("withdraw", self._withdraw, restart=False)
        if self._duties is not None:
            self._duties.leave(self._supervisor)
        logger.bind(in_flight=self._gateway.in_flight).info("node is leaving")
        while loop.time() < min(stop_started + LEAVE_S, self._gateway.ends_at):
            self._gateway.refuse_late_waiters()
            await asyncio.sleep(STOP_POLL_S)
        self._gateway.phase = Phase.DRAINING
        logger.bind(in_flight=self._gateway.in_flight).info("node drains")
        while loop.time() < self._gateway.ends_at:
            self._front_server.close_idle()
            self._gateway.refuse_late_waiters()
            is_busy = self._gateway.in_flight or self._reach.server.open_tunnels
            if not is_busy and not self._front_server.connections:
                break
            await asyncio.sleep(STOP_POLL_S)
        logger.bind(in_flight=self._gateway.in_flight).info("node ends")
        await self._gateway.end_requests(MARGIN_S / 2)
        if self._duties is not None:
            self._duties.send_report()

    def _build_peers(self) -> None:
        cfg = self.cfg
        started_ms = int(time.time() * 1000)
        identity = Peer(cfg.node, started_ms, cfg.availability_zone, cfg.peer)
        self._peers = PeerServer(identity, self._adapter.peer_key())
        self._overlay = Overlay(identity, self._peers, cfg.seeds)
        self._announced_nodes = 1
        self._full_runners = FullRunners()
        self._quotas = EndpointQuotas(cfg.node, self._overlay, self._overlay.schedule_relay)
        statements = BrittleStatements(self._overlay, self._overlay.schedule_relay)
        self._brittle = BrittleEndpoints(
            cfg.node, self._overlay, statements, is_first_start=cfg.is_first_start
        )
        self._pauses = EndpointPauses()
        self._reach = EndpointReach(
            ReachSettings(cfg.node, cfg.availability_zone, cfg.tunnel, cfg.max_descriptors),
            self._adapter.peer_key(),
            self._overlay,
            self._directory,
            self._pauses,
        )
        self._failure_detector = FailureOutlierDetector(
            self._health, lambda: self._tables().pools.values()
        )
        self._runner_allocation = DemandAllocation(self._overlay)
        self._cache_sync = PromptCacheSync(PromptCacheIndex())
        self._runner_states = RunnerStates(self._overlay)
        self._crash_guard = CrashGuard(
            cfg.node,
            self._overlay,
            self._directory.started,
            self._overlay.send_heartbeat,
            self._overlay.schedule_relay,
            self._is_reachable,
        )
        self._crash_records = CrashRecords(
            cfg.node, self._overlay, self._adapter.crashes(), self._crash_guard
        )
        for contributor in (
            self._crash_guard,
            self._full_runners,
            self._quotas,
            statements,
            self._failure_detector,
            self._runner_allocation,
            self._cache_sync,
            self._runner_states,
            self._reach.peers,
        ):
            self._overlay.add(contributor)

    def _build_origins(self) -> None:
        """Create what finds the software versions at which streams began."""
        directory = self._directory
        history = self._versions = VersionHistory(
            directory.versions,
            self._endpoints_age_s,
            CURRENT_SHARE * self.cfg.drain_s,
            is_first_start=self.cfg.is_first_start,
            started=directory.version_started,
        )
        directory.listen(lambda _: history.on_endpoints_changed())
        self._version_records = VersionRecords(
            self.cfg.node, self._overlay, self._adapter.versions(), history, self._node_count
        )
        memory = OriginMemory()
        self._origin_records = OriginRecords(
            self.cfg.node,
            self._overlay,
            self._adapter.streams(),
            memory,
            history,
            self._node_count,
        )
        peers = TransportOriginPeers(self._peers, memory)
        self._origins = OriginTable(history, memory, self._origin_records, peers)

    def _relayed_topic(
        self,
        name: str,
        source: TopicSource,
        timing: TurnTiming,
        renewal_age_s: float = float("inf"),
    ) -> RelayedTopic:
        """Return a topic that the nodes read from each other."""
        turns = ReadTurns(
            name, self.cfg.node, self._overlay, lambda: self._announced_nodes, lambda: timing
        )
        topic = RelayedTopic(
            name,
            source.topic,
            self._peers,
            turns,
            source.meaning,
            failures=self._read_failures,
            renewal_age_s=renewal_age_s,
        )
        self._overlay.add(topic)
        return topic

    def _build(self) -> None:
        adapter = self._adapter
        self._client_guard = client_guard(self.cfg.memory_bytes, self.cfg.max_descriptors)
        self._metrics = MetricPage(self._client_guard.gauges)
        history = History(self.cfg.node)
        history.add_listener(log_event)
        history.add_listener(self._metrics.count_event)
        self._current_config = CurrentConfig()
        self._directory = EndpointDirectory()
        self._current_config.listen(self._on_deployment)
        self._directory.listen(self._on_tables)
        self._directory.on_endpoint_reset(self._on_restart)
        self._health = EndpointHealth()
        self._build_peers()
        self._build_origins()
        self._connections = ConnectionPool(connector=self._reach.connector)
        self._reach.link.listen(self._on_links_changed)
        directory = self._directory
        self._incarnations = IncarnationProofs(directory.announcement, directory.mark_leaving)
        reports = SharedLoadReports(self._runner_states)
        self._scheduler = ProxyScheduler(
            HealthyPools(self._tables, self._health),
            reports,
            history=history,
            allocation=self._runner_allocation,
            cached=self._cache_sync,
            full=self._full_runners,
            quotas=self._quotas,
            pauses=self._pauses,
            is_new=lambda pool, item: self._versions.is_new(pool, item.version),
            brittle=self._brittle,
        )
        duties = self._duties = self._build_duties()
        dependencies = DispatcherDependencies(
            scheduler=self._scheduler,
            tables=self._tables,
            history=history,
            budget=NodeRetryBudgets(self.cfg.retries, self._node_count),
            guard=self._crash_guard,
            monitors=[
                LinkAwareMonitor(
                    [HealthMonitor(self._health), FailureMonitor(self._failure_detector)],
                    self._reach.link,
                    self._directory.address,
                    self._is_reachable,
                )
            ],
            usage=duties.usage if duties is not None else None,
            demand=duties.demand if duties is not None else None,
            origins=self._origins,
        )
        statements = EndpointStatements(
            reports,
            self._quotas,
            self._pauses,
            self._directory.mark_leaving,
            self._brittle.statements,
            self._incarnations,
        )
        client = adapter.client(self._connections, statements)
        self._mover = self._new_mover(client, dependencies.budget)
        router = ProxyRouter(dependencies, client, self._mover)
        self._gateway = ProxyGateway(adapter.codec(), self._current_config, router)
        self._suspend = SuspendWatch()
        self._suspend.listen(self._gateway.on_resume)
        self._suspend.listen(lambda _: self._versions.on_interrupted())
        # A pooled connection may have died during the suspension, which only its use would show.
        self._suspend.listen(lambda _: self._connections.close())
        self._read_failures = ReadFailures()
        config = adapter.config(self._current_config)
        timing = _turn_timing(self.cfg.config_s, 0.0)
        topic = self._config_topic = self._relayed_topic("config", config, timing)
        self._suspend.listen(topic.on_resume)
        config_pace = ReadTiming(CONFIG_WAIT_SHARE * self.cfg.config_s)
        self._config = Follower("config", topic, config.sink, lambda: config_pace)
        endpoints = adapter.endpoints(self._directory)
        timing = _turn_timing(self.cfg.drain_s, ENDPOINTS_PAUSE_S)
        renewal_age_s = RENEWAL_SHARE * self.cfg.drain_s
        topic = self._relayed_topic("endpoints", endpoints, timing, renewal_age_s)
        self._endpoints_topic = topic
        topic.on_renewal(self._versions.on_renewal)
        self._suspend.listen(topic.on_resume)
        self._endpoints = Follower("endpoints", topic, endpoints.sink, self._endpoints_read_timing)

    def _build_duties(self) -> DutyServices | None:
        """Create what performs the singleton duties, if the platform has any."""
        topic, api = self._adapter.duty_topic(), self._adapter.control_api()
        if self.cfg.duties is None or topic is None or api is None:
            return None
        if not self.cfg.duties.is_lease_usable:
            logger.bind(lease_s=self.cfg.duties.lease_s).error(
                "singleton duties are off: the lease is too short for a call"
            )
            return None
        parts = NodeParts(
            self._overlay,
            self._peers,
            self._directory,
            self._scheduler.state,
            self._metrics.set,
        )
        return DutyServices(self.cfg.duties, DutyPlatform(topic, api), parts)

    def _new_mover(self, client: ProxyClient, budget: RetryBudgets | None) -> RunMover | None:
        """Return what moves runs, or None if the endpoints have no such calls."""
        if not isinstance(client, RunMoveClient):
            return None
        return RunMover(self._directory, self._scheduler, client, budget, self.cfg.drain_s)

    def _endpoints_age_s(self) -> float:
        """Return the age of the knowledge of the endpoints, in seconds."""
        return self._endpoints_topic.knowledge_age_s + self._suspend.unnoticed_s

    def _on_links_changed(self) -> None:
        self._incarnations.on_links_changed()
        self._connections.close_unusable()
        self._give_up_silent()
        # Requests that were sent just now may be silent, too.
        asyncio.get_running_loop().call_later(GIVE_UP_S, self._give_up_silent)

    def _give_up_silent(self) -> None:
        if self._reach.link.is_cut and self._reach.link.hangs:
            self._connections.give_up_silent()

    def _tables(self) -> Tables:
        return self._directory.tables

    def _is_ready(self) -> bool:
        serving = self._gateway.phase is Phase.SERVING
        return serving and self._current_config.current.version > 0 and self._directory.size > 0

    def _on_deployment(self, deployment: DeploymentConfig) -> None:
        self._directory.configure(deployment.pools)

    def _on_tables(self, tables: Tables) -> None:
        self._health.retain({i.name for pool in tables.pools.values() for i in pool.endpoints})

    def _on_restart(self, endpoint: Endpoint) -> None:
        self._connections.forget(endpoint.address)
        self._incarnations.forget(endpoint)
        self._health.forget(endpoint.name)
        self._cache_sync.cache.forget(endpoint.name)
        self._runner_states.forget(endpoint.name)
        self._failure_detector.forget(endpoint.name)
        self._quotas.forget(endpoint.name)
        self._pauses.forget(endpoint.name)
        self._brittle.forget(endpoint.name)
        self._crash_guard.on_endpoint_reset(endpoint.name)

    async def _is_reachable(self, name: str) -> bool:
        address = self._directory.address(name)
        return address is not None and await self._connections.is_reachable(
            address, name, if_unknown=True
        )

    def _on_nodes(self, addresses: list[str]) -> None:
        self._announced_nodes = len(addresses) + 1
        self._overlay.set_discovered_addresses(addresses)

    def _endpoints_read_timing(self) -> ReadTiming:
        wait_s = READ_WAIT_SHARE * self.cfg.drain_s
        # Beyond this number of nodes the turns contain the pause.
        pause_s = ENDPOINTS_PAUSE_S if self._node_count() <= MANY_NODES else 0.0
        return ReadTiming(wait_s, pause_s)

    def _node_count(self) -> int:
        return max(self._announced_nodes, len(self._overlay.live()))

    async def _watch_settings(self) -> None:
        """Read the settings again when their file changes, also without a signal."""
        path = self._adapter.settings_path()
        seen = _modified_at(path)
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            now = _modified_at(path)
            if now != seen:
                seen = now
                self.reload()

    async def _update_gauges(self) -> None:
        while True:
            self._metrics.set("in_flight", self._gateway.in_flight)
            self._metrics.set("endpoints", self._directory.size)
            self._metrics.set("config_version", self._current_config.current.version)
            self._metrics.set("config_age_s", self._config_topic.age_s)
            self._metrics.set("endpoints_age_s", self._endpoints_topic.age_s)
            self._metrics.set("crash_causes", len(self._crash_guard.causes))
            self._metrics.set("stream_origins", len(self._origins.memory))
            self._metrics.set("software_versions", self._versions.mixed_pools())
            self._metrics.set("origins_found", self._origins.found)
            self._metrics.set("origins_unknown", self._origins.unknown)
            self._metrics.set("live_nodes", len(self._overlay.live()))
            self._metrics.set("endpoint_connections_opened", self._connections.opened)
            self._reach.update_gauges(self._metrics.set)
            if self._duties is not None:
                self._duties.update_gauges()
            if self._mover is not None:
                self._metrics.set("runs_moved", self._mover.moved)
                self._metrics.set("run_moves_failed", self._mover.failed)
            await asyncio.sleep(SETTINGS_POLL_S)


def _turn_timing(in_force_s: float, interval_s: float) -> TurnTiming:
    """Return the timing of a topic whose changes must be in force within ``in_force_s``."""
    return TurnTiming(READ_WAIT_SHARE * in_force_s, interval_s, TAKEOVER_SHARE * in_force_s)


def _modified_at(path: Path) -> float | None:
    try:
        return path.stat().st_mtime
    except OSError:
        return None  # The file is being replaced or missing; reading it reports the reason.
