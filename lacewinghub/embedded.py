"""A small deployment in one process: nodes, log, fake runners and fake services."""

import asyncio
import copy
import hashlib
import secrets
import socket
from dataclasses import dataclass, field
from typing import Any

from .errors import LacewingError
from .fake_log import LogServer, MemoryLog
from .fake_runner import EngineConfig, FakeRunner
from .fake_service import FakeService, ServiceFaults
from .node import Node
from .node_client import NodeClient
from .publish import PublishResult, publish
from .settings import Limits, Settings

NODES = 3
STOP_TIMEOUT_S = 10.0
APPLY_TIMEOUT_S = 10.0
# Slow enough that one process can run all runners, nodes and clients.
RUNNER_CONFIG = EngineConfig(slots=4, step_s=0.03, step_per_sequence_s=0.001)
SERVICE_DELAY_S = 0.02


def workspace_key(workspace: str) -> str:
    """Return the API key of a workspace in the embedded deployment."""
    return f"example-key-{workspace}"


def key_digest(key: str) -> str:
    """Return the SHA-256 digest of an API key as hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def free_ports(count: int) -> list[int]:
    """Return currently free ports on the loopback interface."""
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


@dataclass(slots=True)
class EmbeddedSettings:
    """Size and speed of an embedded deployment.

    Attributes:
        document: Configuration document; the addresses of its endpoints are replaced.
        nodes: Number of nodes.
        engine: Speed and capacity of each runner.
        faults: Fault probabilities of the services.
        scheduler: Scheduler version, as in the settings of a node.
    """

    document: dict[str, Any]
    nodes: int = NODES
    engine: EngineConfig = field(default_factory=lambda: copy.copy(RUNNER_CONFIG))
    faults: ServiceFaults = field(default_factory=lambda: ServiceFaults(delay_s=SERVICE_DELAY_S))
    scheduler: str = "brokered"


class EmbeddedDeployment:
    """Runs all components in the running event loop, on free loopback ports.

    Args:
        cfg: Size and speed of the deployment.

    Attributes:
        document: Configuration document with the addresses of the fakes.
        nodes: The nodes.
        runners: Fake runners by endpoint name.
        services: Fake services by endpoint name.
        operator_key: Operator key for ``/status``.
    """

    def __init__(self, cfg: EmbeddedSettings) -> None:
        self.cfg = cfg
        self.document = copy.deepcopy(cfg.document)
        self.log = MemoryLog()
        self.log_server = LogServer(self.log)
        self.nodes: list[Node] = []
        self.runners: dict[str, FakeRunner] = {}
        self.services: dict[str, FakeService] = {}
        self.operator_key = secrets.token_hex(16)

    @property
    def addresses(self) -> list[str]:
        """Addresses at which the nodes accept client requests."""
        return [f"127.0.0.1:{node.port}" for node in self.nodes]

    async def start(self) -> None:
        """Start all components; no configuration is published yet."""
        await self.log_server.start()
        for pool in self.document["pools"]:
            for item in pool["endpoints"]:
                await self._start_endpoint(pool, item)
        await self._start_nodes()

    async def stop(self) -> None:
        """Stop all components, nodes first."""
        for node in self.nodes:
            try:
                await asyncio.wait_for(node.stop(), STOP_TIMEOUT_S)
            except TimeoutError:
                await node.kill()
        for server in [*self.runners.values(), *self.services.values()]:
            await server.stop()
        await self.log_server.stop()

    async def publish(self, author: str, document: dict[str, Any] | None = None) -> PublishResult:
        """Publish a configuration and wait until every node applies it.

        Args:
            author: Name of the operator.
            document: Configuration document; by default the one of the settings.

        Returns:
            The accepted change.

        Raises:
            LacewingError: If a node does not apply the version in time, or as
                ``publish.publish`` raises it.
        """
        result = await publish(self.log, document or self.document, author)
        deadline = asyncio.get_running_loop().time() + APPLY_TIMEOUT_S
        async with NodeClient() as client:
            for address in self.addresses:
                while await self._version(client, address) < result.version:
                    if asyncio.get_running_loop().time() > deadline:
                        raise LacewingError(
                            f"version {result.version} was not applied by all nodes in time"
                        )
                    await asyncio.sleep(0.02)
        return result

    def double_runs(self) -> int:
        """Return the number of executions beyond the first one per key, over all services."""
        counts: dict[str, int] = {}
        for service in self.services.values():
            for run in service.ledger:
                counts[run.key] = counts.get(run.key, 0) + 1
        return sum(count - 1 for key, count in counts.items() if key)

    async def _version(self, client: NodeClient, address: str) -> int:
        status = await client.status(address, self.operator_key)
        return int(status["config_version"])

    async def _start_endpoint(self, pool: dict[str, Any], item: dict[str, Any]) -> None:
        name = item["name"]
        server: FakeRunner | FakeService
        if pool.get("kind", "model") == "model":
            engine = copy.copy(self.cfg.engine)
            server = self.runners[name] = FakeRunner(name, engine, load_lag_s=0.2)
            item["slots"], item["cache_blocks"] = engine.slots, engine.cache_blocks
        else:
            server = self.services[name] = FakeService(name, faults=self.cfg.faults)
        await server.start()
        item["address"] = server.address

    async def _start_nodes(self) -> None:
        zones = sorted(
            {e["availability_zone"] for pool in self.document["pools"] for e in pool["endpoints"]}
        )
        ports = free_ports(2 * self.cfg.nodes)
        peers = [f"127.0.0.1:{port}" for port in ports[: self.cfg.nodes]]
        peer_key = secrets.token_hex(16)
        for number in range(self.cfg.nodes):
            settings = Settings.model_validate(
                {
                    "node": f"node-{number + 1}",
                    "availability_zone": zones[number % len(zones)] if zones else "local",
                    "listen": f"127.0.0.1:{ports[self.cfg.nodes + number]}",
                    "peer_listen": peers[number],
                    "peers": [peer for peer in peers if peer != peers[number]],
                    "log": self.log_server.address,
                    "peer_key": peer_key,
                    "operator_keys": [key_digest(self.operator_key)],
                    "scheduler": self.cfg.scheduler,
                    "limits": Limits(grace_s=0.2),
                }
            )
            node = Node(settings)
            self.nodes.append(node)
            await node.start()
