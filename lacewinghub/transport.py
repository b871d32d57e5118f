"""How nodes send each other messages."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from .message import Message

# A connection on demand is closed after this long without messages.
ON_DEMAND_IDLE_S = 10.0
# Open connections on demand that a node opened; 64 brokers serve a fifth of the groups of the
# target size. Without room the node dispatches directly, as to a broker that is silent.
MAX_ON_DEMAND = 64
# Of the connections on demand, one that was unused for this long gives way to a new one. Demands
# to a broker in use are repeated every 250 ms.
SPARE_S = 1.0

Handler = Callable[[str, Any], None]


@dataclass(frozen=True, slots=True)
class Peer:
    """A node as it introduces itself on connect.

    Attributes:
        node: Identifier of the node.
        incarnation: Start time of the process in milliseconds since the epoch; a restarted node
            has a larger one.
        availability_zone: Name of its availability zone.
        address: IP address and port on which it accepts peers.
    """

    node: str
    incarnation: int
    availability_zone: str
    address: str


class Transport(ABC):
    """Sends messages to other nodes and passes received ones to handlers.

    Attributes:
        node: Identifier of this node.
    """

    node: str

    def __init__(self, node: str) -> None:
        self.node = node
        self._handlers: dict[type, list[Handler]] = {}

    @abstractmethod
    def send(self, node: str, message: Message) -> bool:
        """Queue a message without waiting.

        A message to this node itself is delivered in the next loop iteration.

        Args:
            node: Identifier of the receiver.
            message: The message.

        Returns:
            False if there is no connection or its send queue is full; the message is dropped.
        """

    def broadcast(self, nodes: Iterable[str], message: Message) -> int:
        """Queue one message for several nodes.

        Args:
            nodes: Identifiers of the receivers.
            message: The message.

        Returns:
            The number of receivers for which it was queued.
        """
        return sum(self.send(node, message) for node in nodes)

    def peers(self) -> list[Peer]:
        """Return the nodes to which there is a connection, in no particular order."""
        return []

    def dial(self, addresses: Iterable[str]) -> None:
        """Keep connections to these addresses; called again, it replaces the earlier set.

        Connections that peers opened, and established ones, are kept.

        Args:
            addresses: IP addresses with port.
        """
        return None

    def outbound_peers(self) -> list[str]:
        """Return the identifiers of the peers whose connection this node opened."""
        return []

    def disconnect(self, node: str) -> None:
        """Close the connection to a node once its queue has been sent."""
        return None

    def connect_on_demand(self, address: str) -> None:
        """Open a connection on demand, if there is room for one.

        It carries messages in both directions but does not make the other end a peer, and is
        closed by either end after ``ON_DEMAND_IDLE_S`` without messages. ``send`` uses it once it
        is open; messages sent before are dropped.

        Args:
            address: IP address with port.
        """
        return None

    def subscribe(self, kind: type, handler: Handler) -> None:
        """Register a handler for a message class.

        Args:
            kind: Message class.
            handler: Called in the event loop with the sender's node identifier and the message.
        """
        self._handlers.setdefault(kind, []).append(handler)

    def deliver(self, sender: str, message: Message) -> None:
        """Pass a received message to its handlers."""
        for handler in self._handlers.get(type(message), ()):
            handler(sender, message)
