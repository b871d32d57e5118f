"""How nodes send each other messages."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from .message import Message

Handler = Callable[[str, Any], None]


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
