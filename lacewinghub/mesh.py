"""Measures the cost of the connections between nodes, for the capacity page.

All nodes of a measurement run in one process, so that its processor time divided by the number of
nodes is the cost of one node. ``measure_mesh`` uses real loopback sockets.
"""

import asyncio
import random
import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass

from .membership import HEARTBEAT_S, HeartbeatContributor, Membership
from .memory_transport import MemoryNetwork
from .message import GroupFreeSlots, Heartbeat, Pressure
from .overlay import Overlay
from .peer import PeerServer
from .relay import FreeSlotRelay
from .transport import Peer

MESH_SIZES = (3, 5, 9, 17, 33)
# Number of availability zones of a deployment of the target size.
ZONES = 11
SEEDS = 9
FORM_TIMEOUT_S = 20.0
OVERLAY_SETTLE_S = 12.0  # Time until unneeded connections are closed.
# Headers of a masked WebSocket frame, of TCP with time stamps and of IPv4 (RFC 6455, 9293, 791).
FRAME_BYTES = 8 + 32 + 20


@dataclass(frozen=True, slots=True)
class MeshCost:
    """Cost of the peer connections of one node.

    Attributes:
        nodes: Number of nodes.
        messages_per_s: Messages that a node sends per second; it receives as many.
        bytes_per_s: Payload bytes that it sends per second.
        wire_bytes_per_s: The same with the headers of WebSocket, TCP and IP, without
            acknowledgements.
        core: Processor time as a share of one core; 1.0 is a whole core.
        heartbeat_bytes: Payload of one heartbeat.
    """

    nodes: int
    messages_per_s: float
    bytes_per_s: float
    wire_bytes_per_s: float
    core: float
    heartbeat_bytes: float


@dataclass(frozen=True, slots=True)
class FittedLine:
    """Line fitted by least squares.

    Attributes:
        intercept: Value at 0.
        slope: Growth per unit.
        error: Largest absolute residual, relative to the largest value.
    """

    intercept: float
    slope: float
    error: float

    def value_at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x

    def x_at(self, limit: float) -> float:
        """Return the ``x`` at which the line reaches a limit; infinity if it does not grow."""
        return (limit - self.intercept) / self.slope if self.slope > 0 else float("inf")


class SampleState(HeartbeatContributor):
    """Fills heartbeats with the state of a node in a deployment of the target size.

    Args:
        pools: Number of pools.
        tiers: Number of tiers.
        groups: Number of runner groups whose broker the node is.
        floor: Lowest tier that it admits; below 8 all pools are under pressure.
    """

    def __init__(self, pools: int = 4, tiers: int = 8, groups: int = 1, floor: int = 8) -> None:
        self._pools = pools
        self._tiers = tiers
        self._groups = groups
        self._floor = floor
        self._seen = 0

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Write floors, admission ages and free slots."""
        heartbeat.config_version = 10_000
        ages = [int(17 * 3**tier) % 60_000 for tier in range(self._tiers)]
        heartbeat.pressure = [
            Pressure(f"model-{i}", self._floor, list(ages)) for i in range(self._pools)
        ]
        heartbeat.free = [GroupFreeSlots(f"model-0/{i}", 17) for i in range(self._groups)]

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Count a heartbeat."""
        self._seen += 1


class BrokerState(SampleState):
    """State of a node that is the broker of one group and relays the free slots of others.

    Args:
        node: Identifier of the node.
        floor: Lowest tier that it admits.
    """

    def __init__(self, node: str, floor: int) -> None:
        super().__init__(floor=floor)
        self._group = f"model-0/{node.removeprefix('node-')}"
        self._random = random.Random(node)
        self._slots = FreeSlotRelay()

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Write the state with a number of free slots that changes at every heartbeat."""
        super().fill_heartbeat(heartbeat)
        heartbeat.free = [GroupFreeSlots(self._group, self._random.randint(0, 17))]
        self._slots.fill_heartbeat(heartbeat, heartbeat.free, asyncio.get_running_loop().time())

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store the free slots that other brokers report."""
        self._slots.merge_heartbeat(heartbeat, asyncio.get_running_loop().time())


async def measure_mesh(
    nodes: int,
    seconds: float = 4.0,
    state: SampleState | None = None,
    membership: type[Membership] = Membership,
    settle_s: float = 2 * HEARTBEAT_S,
) -> MeshCost:
    """Run nodes that only exchange heartbeats.

    Args:
        nodes: Number of nodes, at least 2, distributed over ``ZONES`` availability zones.
        seconds: Length of the measurement, which starts when the nodes have found each other.
        state: State in the heartbeats; by default that of a node at the target size.
        membership: ``Membership`` for a full mesh or ``Overlay`` for a bounded number of peers.
        settle_s: Time before the measurement in which unneeded connections are closed;
            ``Overlay`` needs about 8 s.

    Returns:
        The cost of one node, averaged over all.

    Raises:
        TimeoutError: If the nodes do not find each other within ``FORM_TIMEOUT_S``.
    """
    identities = [Peer(f"node-{i:03}", 1, f"zone-{i % ZONES}", "127.0.0.1:0") for i in range(nodes)]
    servers = [PeerServer(identity, b"mesh") for identity in identities]
    for server in servers:
        await server.start()
    seeds = [server.identity.address for server in servers[:SEEDS]]
    members = [membership(server.identity, server, seeds) for server in servers]
    for member in members:
        member.add(state or SampleState())
    tasks = [asyncio.create_task(server.run()) for server in servers]
    tasks += [asyncio.create_task(member.run()) for member in members]
    try:
        async with asyncio.timeout(FORM_TIMEOUT_S):
            while any(len(member.live()) < nodes for member in members):
                await asyncio.sleep(0.05)
        await asyncio.sleep(settle_s)
        return await _measure(servers, seconds)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def measure_overlay(count: int, seconds: float, floor: int) -> tuple[float, float, float]:
    """Run nodes with ``Overlay`` membership on a simulated network.

    Args:
        count: Number of nodes, distributed over ``ZONES`` availability zones.
        seconds: Length of the measurement, which starts when the nodes have found each other.
        floor: Lowest tier that each node admits; below 8 all pools are under pressure.

    Returns:
        Payload bytes sent, messages sent and processor seconds, each per node and second.

    Raises:
        TimeoutError: If the nodes do not find each other.
    """
    network = MemoryNetwork(0.005, mesh=False)
    names = [f"node-{n:03}" for n in range(count)]
    members, transports = [], []
    for at, name in enumerate(names):
        identity = Peer(name, 1, f"zone-{at % ZONES}", f"memory:{name}")
        transport = network.transport(identity)
        transports.append(transport)
        member = Overlay(identity, transport, [f"memory:{item}" for item in names[:3]])
        member.add(BrokerState(name, floor))
        members.append(member)
    tasks = [asyncio.create_task(member.run()) for member in members]
    await asyncio.sleep(OVERLAY_SETTLE_S)
    if any(len(member.live()) < count for member in members):
        raise TimeoutError("not all nodes of the overlay found each other")
    before = [t.traffic.total() for t in transports]
    start = time.process_time()
    await asyncio.sleep(seconds)
    spent = time.process_time() - start
    after = [t.traffic.total() for t in transports]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    share = 1 / seconds / count
    size = sum(b.sent_bytes - a.sent_bytes for a, b in zip(before, after, strict=True))
    sent = sum(b.sent - a.sent for a, b in zip(before, after, strict=True))
    return size * share, sent * share, spent * share


async def _measure(servers: Sequence[PeerServer], seconds: float) -> MeshCost:
    before = [server.traffic.total() for server in servers]
    sizes = [server.traffic.for_class("Heartbeat").sent_bytes for server in servers]
    counts = [server.traffic.for_class("Heartbeat").sent for server in servers]
    start, busy = time.monotonic(), time.process_time()
    await asyncio.sleep(seconds)
    busy, passed = time.process_time() - busy, time.monotonic() - start
    after = [server.traffic.total() for server in servers]
    share = 1 / passed / len(servers)
    messages = sum(b.sent - a.sent for a, b in zip(before, after, strict=True)) * share
    payload = sum(b.sent_bytes - a.sent_bytes for a, b in zip(before, after, strict=True)) * share
    sent = sum(s.traffic.for_class("Heartbeat").sent for s in servers) - sum(counts)
    sent_bytes = sum(s.traffic.for_class("Heartbeat").sent_bytes for s in servers) - sum(sizes)
    return MeshCost(
        nodes=len(servers),
        messages_per_s=messages,
        bytes_per_s=payload,
        wire_bytes_per_s=payload + messages * FRAME_BYTES,
        core=busy * share,
        heartbeat_bytes=sent_bytes / sent if sent else 0.0,
    )


def fit_line(points: Sequence[tuple[float, float]]) -> FittedLine:
    """Fit a line to points.

    Args:
        points: At least two pairs of x and y.

    Returns:
        The fitted line.
    """
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    top = max(abs(y) for _, y in points) or 1.0
    error = max(abs(intercept + slope * x - y) for x, y in points) / top
    return FittedLine(intercept, slope, error)
