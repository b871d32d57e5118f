"""Counters of messages between nodes."""

from dataclasses import astuple, dataclass, field


@dataclass(slots=True)
class MessageCount:
    """Messages and payload bytes of one message class or of all."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    dropped: int = 0


@dataclass(slots=True)
class MessageTraffic:
    """Counters by name of the message class."""

    by_class: dict[str, MessageCount] = field(default_factory=dict)

    def for_class(self, name: str) -> MessageCount:
        """Return the counters of a message class, created on first use."""
        count = self.by_class.get(name)
        if count is None:
            count = self.by_class[name] = MessageCount()
        return count

    def total(self) -> MessageCount:
        """Return the sum over all classes."""
        rows = [astuple(count) for count in self.by_class.values()]
        return (
            MessageCount(*(sum(column) for column in zip(*rows, strict=True)))
            if rows
            else MessageCount()
        )
