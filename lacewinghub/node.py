"""Composition root: builds a node from its settings and runs it."""

import asyncio
import gc
import os
import signal
import sys
import time
from functools import partial
from typing import TextIO

from loguru import logger

from . import logs
from .brokered import BrokeredScheduler
from .claim import Claimer
from .client_bounds import ClientGuard, client_guard
from .config import ConfigReplica
from .dependencies import PoolBudgets, RouterDependencies
from .endpoint import HttpEndpoint
from .errors import AddressUnavailable
from .forward import Forwarder
from .gateway import Gateway, GatewayDependencies
from .gateway_connection import GatewayLimits
from .health import EndpointHealth, HealthMonitor, HealthyPools, LeaveStateSync
from .history import History
from .host_limits import host_memory_bytes, max_descriptors
from .hosts import HostList
from .local import LocalScheduler
from .log import HttpLog
from .memory_budget import MB
from .metrics import Metrics
from .naive import NaiveScheduler
from .observer import Observer
from .ondemand import OnDemandTransport
from .overlay import Overlay
from .partition import PartitionedClaims
from .peer import PeerServer, PeerTls
from .phase import Phase
from .poll import POLLED_REPORT_AGE_S, EndpointPoller
from .quarantine import Quarantine
from .router import Router
from .scheduler import Scheduler
from .selection import LoadReports
from .service_level import ServiceLevels
from .settings import Settings, load
from .stall import StallLimits, StallWatch
from .supervisor import Supervisor
from .tables import Tables
from .transport import Peer

# Longest time to write pending results to the log during a stop. If the log is down, the outcome of
# these calls remains unknown.
FLUSH_TIMEOUT_S = 10.0
GC_THRESHOLD = 20_000


class Node:
    """One node with all its components, run by the current event loop.

    Args:
        cfg: Settings of the node.

    Attributes:
        port: Port for clients, set when the node has started.
    """

    def __init__(self, cfg: Settings) -> None:
        self.cfg = cfg
        self.port = 0
        self._supervisor = Supervisor(cfg.node)
        self._history_file: TextIO | None = None
        self._stop_requested = asyncio.Event()
        self._stopped = False
        self._build()

    async def start(self) -> None:
        """Start all components.

        Raises:
            AddressUnavailable: If the node cannot listen on one of its addresses.
        """
        sup = self._supervisor
        sup.on_stop(self._close_history)
        sup.on_stop(self._log.close)
        sup.on_stop(self._client.close)
        try:
            await self._peers.start()
        except OSError as exc:
            raise _address_unavailable("peer_listen", self.cfg.peer_listen, exc) from exc
        sup.start("peers", self._peers.run)
        sup.start("membership", self._membership.run)
        if self._hosts is not None:
            sup.on_stop(self._hosts.close)
            sup.start("hosts", self._hosts.run)
        sup.start("config", self._config.run)
        sup.start("claims", self._claims.run)
        sup.start("forward", self._forwarder.run)
        sup.start("scheduler", self._scheduler.run)
        sup.start("observer", self._observer.run)
        sup.start("poll", self._poller.run)
        sup.on_stop(self._flush_claims)
        sup.on_stop(self._router.close)
        sup.on_stop(self._forwarder.close)
        host, _, port = self.cfg.listen.rpartition(":")
        try:
            self.port = await self._gateway.start(host.strip("[]"), int(port))
        except OSError as exc:
            raise _address_unavailable("listen", self.cfg.listen, exc) from exc
        sup.on_stop(self._gateway.close)
        logger.info("node {} serves callers on {}:{}", self.cfg.node, host, self.port)

    async def run(self) -> None:
        """Start, serve until ``request_stop`` is called, then stop gracefully."""
        try:
            await self.start()
        except BaseException:
            await self.kill()
            raise
        await self._stop_requested.wait()
        await self.stop()

    def request_stop(self) -> None:
        """Make ``run`` stop the node gracefully; further calls have no effect."""
        self._stop_requested.set()

    async def stop(self) -> None:
        """Stop gracefully.

        Signals the load balancer, waits for the grace period, refuses new requests and waits for
        the requests in flight.
        """
        if self._stopped:
            return
        self._stopped = True
        logger.info("node {} is leaving", self.cfg.node)
        self._gateway.phase = Phase.LEAVING
        self._membership.leave()
        await asyncio.sleep(self.cfg.limits.grace_s)
        self._gateway.phase = Phase.DRAINING
        logger.info("node {} drains {} requests", self.cfg.node, self._gateway.in_flight)
        await self._gateway.wait_idle()
        await self._supervisor.stop()
        logger.info("node {} stopped", self.cfg.node)

    async def kill(self) -> None:
        """Stop immediately and drop the requests in flight; tests use it to simulate a crash."""
        self._stopped = True
        await self._supervisor.stop()

    def _build(self) -> None:
        cfg = self.cfg
        if cfg.history_file is not None:
            self._history_file = open(cfg.history_file, "a", encoding="utf-8")  # noqa: SIM115
        self._history = History(cfg.node, self._history_file)
        self._metrics = Metrics(cfg.statsd or "", cfg.node)
        gauges = {"in_flight": self._in_flight, "live_nodes": self._live_node_count}
        self._observer = Observer(self._metrics, ServiceLevels(), gauges)
        self._history.add_listener(self._observer.handle_event)
        self._log = HttpLog(cfg.log)
        address = cfg.peer_address or cfg.peer_listen
        identity = Peer(cfg.node, int(time.time() * 1000), cfg.availability_zone, address)
        tls = PeerTls(**cfg.peer_tls.model_dump()) if cfg.peer_tls else None
        self._peers = PeerServer(identity, cfg.peer_key.encode(), tls, listen=cfg.peer_listen)
        self._membership = Overlay(identity, self._peers, cfg.peers)
        self._hosts = HostList(cfg.hosts, self._on_hosts) if cfg.hosts else None
        self._config = ConfigReplica(cfg.node, self._log, self._peers, self._history)
        self._config.subscribe(self._on_tables)
        self._client = HttpEndpoint(cfg.limits.connect_s, cfg.limits.endpoint_idle_s)
        self._health = EndpointHealth()
        self._stalls = StallLimits()
        self._quarantine = Quarantine(
            cfg.node,
            self._membership,
            self._membership.send_heartbeat,
            forward=self._membership.schedule_relay,
        )
        make_claimer = partial(
            Claimer,
            cfg.node,
            self._log,
            self._membership,
            incarnation=identity.incarnation,
            history=self._history,
        )
        self._on_demand = OnDemandTransport(self._peers, self._membership)
        self._forwarder = Forwarder(self._on_demand)
        self._claims = PartitionedClaims(
            cfg.node, cfg.availability_zone, self._membership, make_claimer, self._forwarder
        )
        self._scheduler = self._build_scheduler()
        leave_states = LeaveStateSync(self._health, self._membership.schedule_relay)
        for contributor in (self._config, leave_states, self._quarantine):
            self._membership.add(contributor)
        self._build_request_path()

    def _build_request_path(self) -> None:
        cfg = self.cfg
        self._router = Router(
            RouterDependencies(
                scheduler=self._scheduler,
                client=self._client,
                tables=self._tables,
                history=self._history,
                budget=PoolBudgets(),
                guard=self._quarantine,
                monitors=[HealthMonitor(self._health), self._stalls],
                claims=self._claims,
                stall_policy=partial(StallWatch, self._stalls),
            )
        )
        self._forwarder.serve = self._router.execute_forwarded
        self._gateway = Gateway(
            GatewayDependencies(
                node=cfg.node,
                router=self._router,
                tables=self._tables,
                operator_keys=cfg.operator_keys,
                status={
                    "levels": self._observer.levels.to_json,
                    "members": self._member_states,
                    "connections": self._connections,
                    "endpoints": self._endpoint_states,
                    "quarantine": self._quarantine.status,
                    "claims_ready": lambda: self._claims.ready,
                    "claim_partitions": lambda: self._claims.owned,
                    "task_restarts": lambda: self._supervisor.restarts,
                },
                limits=GatewayLimits(cfg.limits.body_bytes, cfg.limits.header_s, cfg.limits.idle_s),
                guard=self._client_guard(),
            )
        )

    def _client_guard(self) -> ClientGuard:
        """Return what limits the clients, by the settings and by what the host permits."""
        limits = self.cfg.limits
        memory_bytes = min(limits.memory_mb * MB, host_memory_bytes())
        return client_guard(memory_bytes, limits.max_descriptors or max_descriptors())

    def _build_scheduler(self) -> Scheduler:
        view = HealthyPools(self._tables, self._health)
        reports = LoadReports(POLLED_REPORT_AGE_S)
        self._poller = EndpointPoller(self._tables, reports, self._health)
        if self.cfg.scheduler == "naive":
            return NaiveScheduler(view, reports, history=self._history)
        if self.cfg.scheduler == "local":
            return LocalScheduler(view, reports, self._live_node_count, self._history)
        scheduler = BrokeredScheduler(
            view, reports, self._on_demand, self._membership, self._history
        )
        self._membership.add(scheduler)
        self._poller = EndpointPoller(
            self._tables, reports, self._health, scheduler.prefixes, scheduler.broker.endpoints
        )
        return scheduler

    def _tables(self) -> Tables:
        return self._config.tables

    def _on_tables(self, tables: Tables) -> None:
        self._claims.set_partition_count(tables.claims.partitions)
        names = {item.name for pool in tables.pools.values() for item in pool.endpoints}
        self._health.retain(names)
        self._stalls.retain(tables.pools)

    def _on_hosts(self, live: list[str]) -> None:
        """Apply the host list: states of the endpoints, and addresses of other nodes to contact."""
        pools = self._tables().pools.values()
        names = {item.address: item.name for pool in pools for item in pool.endpoints}
        hosts = self._hosts.hosts if self._hosts is not None else []
        self._health.apply_host_list(
            {names[host.address]: host.state for host in hosts if host.address in names}
        )
        self._membership.set_discovered_addresses(
            address for address in live if address not in names
        )

    def _live_node_count(self) -> int:
        return len(self._membership.live())

    def _member_states(self) -> dict[str, str]:
        return {item.node: str(item.state) for item in self._membership.members()}

    def _connections(self) -> dict[str, int]:
        return {"peers": len(self._peers.peers()), "on_demand": self._peers.on_demand()}

    def _endpoint_states(self) -> dict[str, dict[str, int]]:
        states = {}
        for pool in self._tables().pools.values():
            names = [item.name for item in pool.endpoints]
            states[pool.name] = {
                "usable": len(self._health.usable(pool)),
                "leaving": sum(self._health.is_leaving(name) for name in names),
                "ejected": sum(self._health.is_ejected(name) for name in names),
            }
        return states

    async def _flush_claims(self) -> None:
        if not await self._claims.flush(FLUSH_TIMEOUT_S):
            logger.warning("pending results could not be written to the log before the stop")

    def _in_flight(self) -> float:
        return self._gateway.in_flight

    async def _close_history(self) -> None:
        self._metrics.close()
        if self._history_file is not None:
            self._history_file.close()


def _address_unavailable(key: str, address: str, exc: OSError) -> AddressUnavailable:
    reason = exc.strerror or str(exc)
    return AddressUnavailable(f"cannot listen on {key} {address}: {reason}", key=key)


async def run_node(cfg: Settings) -> None:
    """Run a node until SIGTERM or SIGINT, then stop it gracefully.

    Args:
        cfg: Settings of the node.

    Raises:
        AddressUnavailable: If the node cannot listen on one of its addresses.
    """
    node = Node(cfg)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, node.request_stop)
    await node.run()


def serve(path: str) -> None:
    """Run a node with the given settings file in this process, on uvloop without io_uring.

    Args:
        path: Path of the settings file.

    Raises:
        SettingsInvalid: If the settings are wrong.
        AddressUnavailable: If the node cannot listen on one of its addresses.
    """
    cfg = load(path)
    logs.setup(cfg.log_level, cfg.node)
    # uvloop reads this variable when it creates the event loop.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    # Exempt the objects of imported modules from garbage collection: a full collection over them
    # blocks the event loop for 100 ms.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    uvloop.run(run_node(cfg))


if __name__ == "__main__":
    serve(sys.argv[1])
