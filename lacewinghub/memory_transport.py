"""Simulated network within one process, with delay, loss and partitions."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .codec import decode, encode
from .message import Message
from .traffic import MessageTraffic
from .transport import MAX_ON_DEMAND, ON_DEMAND_IDLE_S, Peer, Transport

DIAL_S = 0.005
REDIAL_S = 0.5
Delay = Callable[[str, str], float]


@dataclass(slots=True)
class _OnDemand:
    dialler: str
    used: float


class MemoryNetwork:
    """Connects the transports of one process.

    Messages from one sender to one receiver keep their order, as on a TCP connection.

    Args:
        delay_s: One-way delay in seconds, or a function of sender and receiver.
        loss: Probability that a message is dropped, from 0 to 1.
        seed: Seed of the losses.
        mesh: True to connect all nodes; False to connect only those that were dialled.
        encode_messages: True to encode and decode each message, for byte counts and separate
            copies.
    """

    def __init__(
        self,
        delay_s: float | Delay = 0.0,
        loss: float = 0.0,
        seed: int = 1,
        encode_messages: bool = True,
        mesh: bool = True,
    ) -> None:
        self.mesh = mesh
        self._links: dict[frozenset[str], str] = {}
        self._on_demand: dict[frozenset[str], _OnDemand] = {}
        self.delay_s = delay_s
        self.loss = loss
        self.encode_messages = encode_messages
        self._random = random.Random(seed)
        self._transports: dict[str, MemoryTransport] = {}
        self._cut: set[tuple[str, str]] = set()
        self._due: dict[tuple[str, str], float] = {}

    def transport(self, peer: Peer | str) -> "MemoryTransport":
        """Attach a node, replacing an earlier one of the same name.

        Args:
            peer: The node, or only its identifier.

        Returns:
            Its transport.
        """
        if isinstance(peer, str):
            peer = Peer(peer, 1, "zone", f"memory:{peer}")
        transport = MemoryTransport(peer, self)
        self._transports[peer.node] = transport
        return transport

    def detach(self, node: str) -> None:
        """Remove a node, as if its process had been killed."""
        self._transports.pop(node, None)
        for link in [item for item in self._links if node in item]:
            del self._links[link]
        for link in [item for item in self._on_demand if node in item]:
            del self._on_demand[link]

    def partition(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Drop all messages between two sets of nodes, in both directions, until ``heal``."""
        right = list(right)
        for one in left:
            for other in right:
                self._cut |= {(one, other), (other, one)}

    def cut(self, sender: str, receiver: str) -> None:
        """Drop the messages from one node to another, in this direction only, until ``heal``."""
        self._cut.add((sender, receiver))

    def heal(self) -> None:
        """End all partitions."""
        self._cut.clear()

    def others(self, node: str) -> list[Peer]:
        """Return the nodes that a node is connected to."""
        if self.mesh:
            return [item.identity for name, item in self._transports.items() if name != node]
        names = (next(iter(link - {node})) for link in self._links if node in link)
        return [self._transports[name].identity for name in names]

    def outbound_peers(self, node: str) -> list[str]:
        """Return the peers whose connection a node opened."""
        return [
            next(iter(link - {node})) for link, dialler in self._links.items() if dialler == node
        ]

    def disconnect(self, node: str, other: str) -> None:
        """Close the connection between two nodes."""
        self._links.pop(frozenset((node, other)), None)

    def connect(self, node: str, addresses: set[str]) -> None:
        """Connect a node to those addresses at which an attached node can be reached."""
        if node not in self._transports:
            return
        for name, item in self._transports.items():
            reachable = name != node and (node, name) not in self._cut
            if reachable and item.identity.address in addresses:
                self._links.setdefault(frozenset((node, name)), node)

    def connect_on_demand(self, node: str, address: str) -> None:
        """Open a connection on demand to an address at which an attached node can be reached."""
        if self.on_demand(node) >= MAX_ON_DEMAND:
            return
        for name, item in self._transports.items():
            if item.identity.address == address and (node, name) not in self._cut:
                now = asyncio.get_running_loop().time()
                self._on_demand.setdefault(frozenset((node, name)), _OnDemand(node, now))

    def on_demand(self, node: str) -> int:
        """Return the number of open connections on demand that a node opened."""
        limit = asyncio.get_running_loop().time() - ON_DEMAND_IDLE_S
        for link in [link for link, item in self._on_demand.items() if item.used < limit]:
            del self._on_demand[link]
        return sum(item.dialler == node for item in self._on_demand.values())

    def _use_on_demand(self, node: str, other: str) -> bool:
        item = self._on_demand.get(frozenset((node, other)))
        now = asyncio.get_running_loop().time()
        if item is None or now - item.used > ON_DEMAND_IDLE_S:
            return False
        item.used = now
        return True

    def schedule_delivery(self, sender: "MemoryTransport", node: str, message: Message) -> bool:
        """Deliver a message after the delay, unless it is lost; False without a connection."""
        linked = self.mesh or frozenset((sender.node, node)) in self._links
        linked = linked or self._use_on_demand(sender.node, node)
        if node not in self._transports or not linked:
            return False
        lost = self.loss and self._random.random() < self.loss
        data = encode(message) if self.encode_messages else b""
        sender.traffic.for_class(type(message).__name__).sent += 1
        sender.traffic.for_class(type(message).__name__).sent_bytes += len(data)
        if lost or (sender.node, node) in self._cut:
            return True
        loop = asyncio.get_running_loop()
        loop.call_at(self._due_at(sender.node, node), self._deliver, sender, node, message, data)
        return True

    def _due_at(self, sender: str, node: str) -> float:
        delay = self.delay_s(sender, node) if callable(self.delay_s) else self.delay_s
        due = asyncio.get_running_loop().time() + delay
        due = max(due, self._due.get((sender, node), 0.0) + 1e-6)
        self._due[sender, node] = due
        return due

    def _deliver(self, sender: "MemoryTransport", node: str, message: Message, data: bytes) -> None:
        receiver = self._transports.get(node)
        if receiver is None or (sender.node, node) in self._cut:
            return
        count = receiver.traffic.for_class(type(message).__name__)
        count.received += 1
        count.received_bytes += len(data)
        receiver.deliver(sender.node, decode(data) if self.encode_messages else message)


class MemoryTransport(Transport):
    """Transport of one node; made by ``MemoryNetwork.transport``."""

    def __init__(self, identity: Peer, network: MemoryNetwork) -> None:
        super().__init__(identity.node)
        self.identity = identity
        self.traffic = MessageTraffic()
        self._network = network
        self._dialled_addresses: set[str] = set()
        self._dialling: asyncio.TimerHandle | None = None

    def send(self, node: str, message: Message) -> bool:
        """Queue a message; a lost one is reported as sent, as on a real network."""
        if node == self.node:
            asyncio.get_running_loop().call_soon(self.deliver, node, message)
            return True
        return self._network.schedule_delivery(self, node, message)

    def peers(self) -> list[Peer]:
        """Return the connected nodes."""
        return self._network.others(self.node)

    def dial(self, addresses: Iterable[str]) -> None:
        """Keep connections to these addresses."""
        self._dialled_addresses = set(addresses)
        if not self._network.mesh and self._dialling is None:
            self._dialling = asyncio.get_running_loop().call_later(DIAL_S, self._dial)

    def outbound_peers(self) -> list[str]:
        """Return the peers whose connection this node opened."""
        return self._network.outbound_peers(self.node)

    def disconnect(self, node: str) -> None:
        """Close the connection to a node; messages in flight still arrive."""
        self._network.disconnect(self.node, node)

    def connect_on_demand(self, address: str) -> None:
        """Open a connection on demand; see ``Transport.connect_on_demand``."""
        asyncio.get_running_loop().call_later(
            DIAL_S, self._network.connect_on_demand, self.node, address
        )

    def _dial(self) -> None:
        self._network.connect(self.node, self._dialled_addresses)
        self._dialling = asyncio.get_running_loop().call_later(REDIAL_S, self._dial)
