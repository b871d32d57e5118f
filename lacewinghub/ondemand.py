"""Messages to any node of the deployment, whether or not it is a peer."""

from collections.abc import Iterable

from .membership import Members
from .message import Message
from .transport import Handler, Peer, Transport


class OnDemandTransport(Transport):
    """Transport that opens a connection when there is none to the receiver.

    In a full mesh it only passes messages on.

    Args:
        transport: Connections of this node.
        members: View of the live nodes, with their addresses.
    """

    def __init__(self, transport: Transport, members: Members) -> None:
        super().__init__(transport.node)
        self._transport = transport
        self._members = members

    def send(self, node: str, message: Message) -> bool:
        """Queue a message; without a connection it is dropped and one is opened."""
        if self._transport.send(node, message):
            return True
        if self._members.is_partial_mesh():
            address = next((item.address for item in self._members.live() if item.node == node), "")
            if address:
                self._transport.connect_on_demand(address)
        return False

    def broadcast(self, nodes: Iterable[str], message: Message) -> int:
        """Queue one message for several peers."""
        return self._transport.broadcast(nodes, message)

    def peers(self) -> list[Peer]:
        """Return the peers, without the nodes that are only reached on demand."""
        return self._transport.peers()

    def subscribe(self, kind: type, handler: Handler) -> None:
        """Register a handler for a message class."""
        self._transport.subscribe(kind, handler)
