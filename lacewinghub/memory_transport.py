"""Transport within one process, with delay, loss and partitions, for tests and the benchmark."""

import asyncio
import random
from collections.abc import Callable, Iterable

from .message import Message, decode, encode
from .peer import Traffic
from .transport import Peer, Transport

Delay = Callable[[str, str], float]


class MemoryNetwork:
    """Connects the transports of one process.

    Messages of one sender to one receiver keep their order, as on a TCP connection.

    Args:
        delay_s: One-way delay in seconds, or a function of sender and receiver.
        loss: Probability that a message is dropped, from 0 to 1.
        seed: Seed of the losses.
        coded: True to encode and decode each message, which gives byte counts and separate copies.
    """

    def __init__(
        self, delay_s: float | Delay = 0.0, loss: float = 0.0, seed: int = 1, coded: bool = True
    ) -> None:
        self.delay_s = delay_s
        self.loss = loss
        self.coded = coded
        self._random = random.Random(seed)
        self._transports: dict[str, MemoryTransport] = {}
        self._cut: set[tuple[str, str]] = set()
        self._due: dict[tuple[str, str], float] = {}

    def transport(self, peer: Peer | str) -> "MemoryTransport":
        """Attach a node, replacing an earlier one of the same name.

        Args:
            peer: The node, or its identifier only.

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

    def partition(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Drop all messages between two sets of nodes, in both directions, until ``heal``."""
        right = list(right)
        for one in left:
            for other in right:
                self._cut |= {(one, other), (other, one)}

    def cut(self, sender: str, receiver: str) -> None:
        """Drop the messages from one node to another, but not the reverse direction."""
        self._cut.add((sender, receiver))

    def heal(self) -> None:
        """End all partitions."""
        self._cut.clear()

    def others(self, node: str) -> list[Peer]:
        """Return the attached nodes except one."""
        return [item.identity for name, item in self._transports.items() if name != node]

    def carry(self, sender: "MemoryTransport", node: str, message: Message) -> bool:
        """Pass a message on after the delay, unless it is lost."""
        if node not in self._transports:
            return False
        lost = self.loss and self._random.random() < self.loss
        data = encode(message) if self.coded else b""
        sender.traffic.of(type(message).__name__).sent += 1
        sender.traffic.of(type(message).__name__).sent_bytes += len(data)
        if lost or (sender.node, node) in self._cut:
            return True
        loop = asyncio.get_running_loop()
        loop.call_at(self._due_at(sender.node, node), self._arrive, sender, node, message, data)
        return True

    def _due_at(self, sender: str, node: str) -> float:
        delay = self.delay_s(sender, node) if callable(self.delay_s) else self.delay_s
        due = asyncio.get_running_loop().time() + delay
        due = max(due, self._due.get((sender, node), 0.0) + 1e-6)
        self._due[sender, node] = due
        return due

    def _arrive(self, sender: "MemoryTransport", node: str, message: Message, data: bytes) -> None:
        receiver = self._transports.get(node)
        if receiver is None or (sender.node, node) in self._cut:
            return
        count = receiver.traffic.of(type(message).__name__)
        count.received += 1
        count.received_bytes += len(data)
        receiver.deliver(sender.node, decode(data) if self.coded else message)


class MemoryTransport(Transport):
    """Transport of one node; made by ``MemoryNetwork.transport``."""

    def __init__(self, identity: Peer, network: MemoryNetwork) -> None:
        super().__init__(identity.node)
        self.identity = identity
        self.traffic = Traffic()
        self._network = network

    def send(self, node: str, message: Message) -> bool:
        """Queue a message; a lost one is reported as sent, as on a network."""
        if node == self.node:
            asyncio.get_running_loop().call_soon(self.deliver, node, message)
            return True
        return self._network.carry(self, node, message)

    def peers(self) -> list[Peer]:
        """Return the other attached nodes."""
        return self._network.others(self.node)
