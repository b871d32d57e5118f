"""Nodes that divide the claims and forward calls to each other, in simulated time."""

import asyncio
from functools import partial
from typing import Any

from lacewinghub.claim import Claimer
from lacewinghub.claim_index import key_hash, partition_of
from lacewinghub.forward import Forwarder
from lacewinghub.membership import Member, Members, MemberState
from lacewinghub.memory_transport import MemoryNetwork, MemoryTransport
from lacewinghub.message import Message
from lacewinghub.partition import Owners, PartitionedClaims
from lacewinghub.transport import Peer
from tests.claim_cluster import Cluster, Node
from tests.clock import wall

ZONES = ("north-a", "north-b", "north-c")


class _View(Members):
    """The live nodes as one node sees them."""

    def __init__(self, cluster: "PartitionedCluster", viewer: str) -> None:
        self._cluster = cluster
        self._viewer = viewer

    def live(self) -> list[Member]:
        return [
            item
            for item in self._cluster.live()
            if (self._viewer, item.node) not in self._cluster.hidden
        ]

    def state(self, node: str) -> MemberState:
        return self._cluster.state(node)


class PartitionedCluster(Cluster):
    """A log, a service and nodes with partitions of the claims.

    Attributes:
        partitions: Number of partitions that nodes started from now on use.
        network: Connections between the nodes.
        hidden: Pairs of a node and another one that it does not see as live.
    """

    def __init__(
        self,
        kind: type[Claimer] = Claimer,
        partitions: int = 4,
        forwarder: type[Forwarder] = Forwarder,
        **log_options: Any,
    ) -> None:
        super().__init__(kind, **log_options)
        self.partitions = partitions
        self.network = MemoryNetwork(delay_s=0.0005)
        self.hidden: set[tuple[str, str]] = set()
        self._forwarder = forwarder
        self._zones: dict[str, str] = {}
        self._watches: dict[str, asyncio.Future[None]] = {}

    def build(self, node: Node, kind: type[Claimer], **options: Any) -> Any:
        zone = self._zones[node.name] = ZONES[len(self._zones) % len(ZONES)]
        transport = self.network.transport(Peer(node.name, 1, zone, f"memory:{node.name}"))
        _halt_with(node, transport)
        forwarder = self._forwarder(transport)
        forwarder.serve = node.serve
        view = _View(self, node.name)
        make = partial(kind, node.name, node.log, view, clock=wall, **options)
        partitions = PartitionedClaims(node.name, zone, view, make, forwarder)
        partitions.set_partition_count(self.partitions)
        self._watches[node.name] = asyncio.ensure_future(forwarder.run())
        return partitions

    def detach(self, node: Node) -> None:
        self.network.detach(node.name)
        self._watches[node.name].cancel()

    def live(self) -> list[Member]:
        return [
            Member(node.name, "", self._zones[node.name], 0, MemberState.LIVE)
            for node in self.nodes
            if not node.dead
        ]

    def owners(self, key: str, entry: Node | None = None) -> list[Node]:
        """Return the owners of a key of the workspace, those in the zone of an entry node first."""
        partition = partition_of(key_hash("trust", key), self.partitions)
        found = Owners(self.partitions).of(partition, self.live())
        if entry is not None:
            zone = self._zones[entry.name]
            found.sort(key=lambda item: item.availability_zone != zone)
        return [next(node for node in self.nodes if node.name == item.node) for item in found]

    def entry(self, key: str) -> Node:
        """Return a live node that does not own a key."""
        owners = self.owners(key)
        return next(node for node in self.nodes if not node.dead and node not in owners)


def _halt_with(node: Node, transport: MemoryTransport) -> None:
    """Hold the messages of a frozen node back, and drop those of a dead one."""
    send, deliver = transport.send, transport.deliver

    def held_send(receiver: str, message: Message) -> bool:
        if node.dead:
            return False
        if node.log.running.is_set():
            return send(receiver, message)
        node.held.append(partial(send, receiver, message))
        return True

    def held_deliver(sender: str, message: Message) -> None:
        if node.dead:
            return
        if node.log.running.is_set():
            deliver(sender, message)
            return
        node.held.append(partial(deliver, sender, message))

    transport.send = held_send  # type: ignore[method-assign]
    transport.deliver = held_deliver  # type: ignore[method-assign]
