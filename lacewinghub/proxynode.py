"""A node that passes requests on unchanged: its parts, their supervision and its planned stop."""

import asyncio
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from loguru import logger

from .decisionlog import log_event
from .dependencies import DispatcherDependencies
from .deployment import CurrentConfig, DeploymentConfig
from .directory import EndpointDirectory
from .errors import AddressUnavailable, SettingsInvalid
from .failure_outliers import FailureMonitor, FailureOutlierDetector
from .follower import Follower, KeyedSink, KeyedTopic, ReadTiming
from .fullrunner import FullRunners
from .health import EndpointHealth, HealthMonitor, HealthyPools
from .history import History
from .httpclient import ConnectionPool
from .httpserver import HttpHandler, HttpServer
from .limit import RetryRule
from .metricpage import MetricPage
from .node_retry_budget import NodeRetryBudgets
from .nodelist import NodeDiscovery, WritableKeyedTopic
from .overlay import Overlay
from .peer import PeerServer
from .phase import Phase
from .promptcache import PromptCacheIndex, PromptCacheSync
from .proxygateway import ProxyCodec, ProxyGateway
from .proxyrouter import ProxyClient, ProxyRouter
from .proxyscheduler import ProxyScheduler
from .runner_allocation import DemandAllocation
from .selection import LoadReports
from .sharedtopic import PeerFallbackTopic
from .supervisor import Supervisor
from .suspend import SuspendWatch
from .tables import Endpoint, Tables
from .transport import Peer

# A change reaches the node at once while a read waits for it; the wait bounds the time for which a
# silent connection goes unnoticed.
CONFIG_PACE = ReadTiming(wait_s=1.0)
# Heartbeats of endpoints would end each read at once; the pause collects them.
ENDPOINTS_PACE = ReadTiming(wait_s=1.0, pause_s=0.5)
# Calls to the store are priced and grow with the nodes: many of them read as seldom as the time
# permits within which a leaving endpoint must get no more requests.
MANY_NODES = 20
PAUSE_SHARE = 0.4
# The balancer takes a node out after two misses of a check per second.
LEAVE_S = 2.8
# The process ends this long before it would be killed.
MARGIN_S = 0.4
STOP_POLL_S = 0.05
SETTINGS_POLL_S = 1.0


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """Settings of a node.

    Attributes:
        node: Name of the node.
        availability_zone: Its availability zone.
        front: Address for callers, ``IP:port``.
        ready: Address for readiness checks.
        metrics: Address of the metrics page.
        grace_s: Time between the request to stop and the end of the process, in seconds.
        retries: Retries that all nodes together may send.
        drain_s: Time after which an endpoint that leaves gets no new requests, in seconds.
        peer: Address for other nodes.
        seeds: Addresses of some other nodes, which may be gone.
    """

    node: str
    availability_zone: str
    front: str
    ready: str
    metrics: str
    grace_s: float
    retries: RetryRule
    drain_s: float
    peer: str
    seeds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Source:
    """A topic of the log and what takes over its records."""

    topic: KeyedTopic
    sink: KeyedSink


class Adapter(ABC):
    """What a node needs of the system around it."""

    @abstractmethod
    def settings(self) -> ProxySettings:
        """Read the settings.

        Raises:
            SettingsInvalid: If they are wrong.
        """

    @abstractmethod
    def settings_path(self) -> Path:
        """Return the path of the settings file."""

    @abstractmethod
    def codec(self) -> ProxyCodec:
        """Return the format of the callers."""

    @abstractmethod
    def client(self, pool: ConnectionPool, reports: LoadReports) -> ProxyClient:
        """Return the client of the endpoints."""

    @abstractmethod
    def config(self, deployments: CurrentConfig) -> Source:
        """Return the source of the configuration."""

    @abstractmethod
    def endpoints(self, directory: EndpointDirectory) -> Source:
        """Return the source of the endpoints."""

    @abstractmethod
    def nodes(self) -> WritableKeyedTopic:
        """Return the topic in which the nodes announce themselves."""

    @abstractmethod
    def peer_key(self) -> bytes:
        """Return the secret that the nodes share."""

    @abstractmethod
    def readiness(self, is_ready: Callable[[], bool]) -> HttpHandler:
        """Return what answers the balancer's readiness checks."""

    async def close(self) -> None:
        """Release connections."""
        return None


class ProxyNode:
    """One node with all its parts, inside the running event loop.

    Args:
        adapter: What the node needs of the system around it.

    Raises:
        SettingsInvalid: If the settings are wrong.

    Attributes:
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
        """Read the settings file again; wrong settings leave those in force.

        The grace period applies at once. All else stays as it is until the next start.
        """
        try:
            fresh = self._adapter.settings()
        except SettingsInvalid as exc:
            logger.bind(key=exc.details.get("key")).error("settings not applied: {}", exc.message)
            return
        self.cfg = replace(self.cfg, grace_s=fresh.grace_s)
        logger.bind(grace_s=self.cfg.grace_s).info("settings read again")

    async def run(self) -> None:
        """Serve until ``request_stop`` is called, then stop."""
        try:
            await self._start()
            await self._stop.wait()
            await self._leave()
        finally:
            await self._supervisor.stop()
            logger.info("node stopped")

    async def _start(self) -> None:
        sup = self._supervisor
        sup.on_stop(self._adapter.close)
        await self._start_peers()
        sup.start("config", self._config.run)
        sup.start("endpoints", self._endpoints.run)
        sup.start("scheduler", self._scheduler.run)
        sup.start("suspend", self._suspend.run)
        sup.start("gauges", self._keep_gauges)
        sup.start("settings", self._watch_settings)
        await self._listen("ready", self.cfg.ready, self._adapter.readiness(self._is_ready))
        await self._listen("metrics", self.cfg.metrics, self._page)
        self._front = await self._listen("front", self.cfg.front, self._gateway)
        zone = self.cfg.availability_zone
        logger.bind(availability_zone=zone, front=self.cfg.front).info("node started")
        self.started.set()

    async def _start_peers(self) -> None:
        sup = self._supervisor
        try:
            await self._peers.start()
        except OSError as exc:
            address = self.cfg.peer
            raise AddressUnavailable(f"cannot listen on peer {address}: {exc}", key="peer") from exc
        self.ports["peer"] = int(self._peers.identity.address.rpartition(":")[2])
        nodes = NodeDiscovery(self._peers.identity, self._adapter.nodes(), self._on_nodes)
        self._withdraw = nodes.withdraw
        sup.start("peers", self._peers.run)
        sup.start("membership", self._members.run)
        sup.start("nodes", nodes.run)

    async def _listen(self, key: str, address: str, handler: HttpHandler) -> HttpServer:
        host, _, port = address.rpartition(":")
        server = HttpServer(handler)
        try:
            self.ports[key] = await server.start(host.strip("[]"), int(port))
        except OSError as exc:
            raise AddressUnavailable(f"cannot listen on {key} {address}: {exc}", key=key) from exc
        self._supervisor.on_stop(server.close)
        return server

    async def _leave(self) -> None:
        """Tell the balancer, serve what still comes, then end within the grace period."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        self._gateway.phase = Phase.LEAVING
        self._members.leave()
        self._supervisor.start("withdraw", self._withdraw, restart=False)
        logger.bind(in_flight=self._gateway.in_flight).info("node is leaving")
        await asyncio.sleep(LEAVE_S)
        self._gateway.ends_at = begun + self.cfg.grace_s - MARGIN_S
        self._gateway.phase = Phase.DRAINING
        logger.bind(in_flight=self._gateway.in_flight).info("node drains")
        while loop.time() < self._gateway.ends_at:
            self._front.close_idle()
            if not self._gateway.in_flight and not self._front.connections:
                break
            await asyncio.sleep(STOP_POLL_S)
        logger.bind(in_flight=self._gateway.in_flight).info("node ends")

    def _build_peers(self) -> None:
        cfg = self.cfg
        started_ms = int(time.time() * 1000)
        identity = Peer(cfg.node, started_ms, cfg.availability_zone, cfg.peer)
        self._peers = PeerServer(identity, self._adapter.peer_key())
        self._members = Overlay(identity, self._peers, cfg.seeds)
        self._known_nodes = 1
        self._full = FullRunners()
        self._failures = FailureOutlierDetector(self._health, lambda: self._tables().pools.values())
        self._boundary = DemandAllocation(self._members)
        self._cached = PromptCacheSync(PromptCacheIndex())
        for part in (self._full, self._failures, self._boundary, self._cached):
            self._members.add(part)

    def _shared(self, name: str, source: Source) -> PeerFallbackTopic:
        """Let the nodes read a topic from each other while the log turns some of them away."""
        topic = PeerFallbackTopic(name, source.topic, self._peers)
        self._members.add(topic)
        return topic

    def _build(self) -> None:
        adapter = self._adapter
        self._page = MetricPage()
        history = History(self.cfg.node)
        history.add_listener(log_event)
        history.add_listener(self._page.count_event)
        self._deployments = CurrentConfig()
        self._directory = EndpointDirectory()
        self._deployments.listen(self._on_deployment)
        self._directory.listen(self._on_tables)
        self._directory.on_endpoint_reset(self._on_restart)
        self._health = EndpointHealth()
        self._build_peers()
        self._connections = ConnectionPool()
        reports = LoadReports()
        view = HealthyPools(self._tables, self._health)
        self._scheduler = ProxyScheduler(
            view,
            reports,
            history,
            boundary=self._boundary,
            cached=self._cached,
            full=self._full,
        )
        parts = DispatcherDependencies(
            scheduler=self._scheduler,
            tables=self._tables,
            history=history,
            budget=NodeRetryBudgets(self.cfg.retries, self._node_count),
            monitors=[HealthMonitor(self._health), FailureMonitor(self._failures)],
        )
        relay = ProxyRouter(parts, adapter.client(self._connections, reports))
        self._gateway = ProxyGateway(adapter.codec(), self._deployments, relay)
        self._suspend = SuspendWatch()
        self._suspend.listen(self._gateway.on_resume)
        # Whether kept connections outlived the suspension shows only when they are used.
        self._suspend.listen(lambda _: self._connections.close())
        config = adapter.config(self._deployments)
        topic = self._shared("config", config)
        self._config = Follower("config", topic, config.sink, lambda: CONFIG_PACE)
        found = adapter.endpoints(self._directory)
        topic = self._shared("endpoints", found)
        self._endpoints = Follower("endpoints", topic, found.sink, self._endpoints_pace)

    def _tables(self) -> Tables:
        return self._directory.tables

    def _is_ready(self) -> bool:
        serving = self._gateway.phase is Phase.SERVING
        return serving and self._deployments.current.version > 0 and self._directory.size > 0

    def _on_deployment(self, deployment: DeploymentConfig) -> None:
        self._directory.configure(deployment.pools)

    def _on_tables(self, tables: Tables) -> None:
        self._health.retain({i.name for pool in tables.pools.values() for i in pool.endpoints})

    def _on_restart(self, endpoint: Endpoint) -> None:
        self._connections.forget(endpoint.address)
        self._health.forget(endpoint.name)
        self._cached.cache.forget(endpoint.name)
        self._failures.forget(endpoint.name)

    def _on_nodes(self, addresses: list[str]) -> None:
        self._known_nodes = len(addresses) + 1
        self._members.set_discovered_addresses(addresses)

    def _endpoints_pace(self) -> ReadTiming:
        if self._node_count() <= MANY_NODES:
            return ENDPOINTS_PACE
        pause_s = max(ENDPOINTS_PACE.pause_s, PAUSE_SHARE * self.cfg.drain_s)
        return replace(ENDPOINTS_PACE, pause_s=pause_s)

    def _node_count(self) -> int:
        return max(self._known_nodes, len(self._members.live()))

    async def _watch_settings(self) -> None:
        """Read the settings again when their file changes without a signal."""
        path = self._adapter.settings_path()
        seen = _changed_at(path)
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            now = _changed_at(path)
            if now != seen:
                seen = now
                self.reload()

    async def _keep_gauges(self) -> None:
        while True:
            self._page.set("in_flight", self._gateway.in_flight)
            self._page.set("endpoints", self._directory.size)
            self._page.set("config_version", self._deployments.current.version)
            self._page.set("live_nodes", len(self._members.live()))
            self._page.set("endpoint_connections_opened", self._connections.opened)
            await asyncio.sleep(SETTINGS_POLL_S)


def _changed_at(path: Path) -> float | None:
    try:
        return path.stat().st_mtime
    except OSError:
        return None  # The file is being replaced; reading it reports the reason.
