"""Which nodes are alive, as this node sees it."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

import xxhash

from .message import Heartbeat


class MemberState(StrEnum):
    """State of a node in the view of another one."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """A node of the deployment."""

    node: str
    address: str
    availability_zone: str
    incarnation: int
    state: MemberState


class Members(ABC):
    """View of the deployment's nodes."""

    @abstractmethod
    def live(self) -> list[Member]:
        """Return the nodes in state live, this one included, ordered by identifier."""

    @abstractmethod
    def state(self, node: str) -> MemberState:
        """Return the state of a node; an unknown one is dead."""


class Contributor(ABC):
    """A part of the node that shares its state through heartbeats."""

    @abstractmethod
    def fill(self, heartbeat: Heartbeat) -> None:
        """Write the own state into an outgoing heartbeat."""

    @abstractmethod
    def observe(self, heartbeat: Heartbeat) -> None:
        """Take over the state of a peer from a received heartbeat."""


def rendezvous(key: str, nodes: Iterable[str]) -> str | None:
    """Choose a node by highest random weight.

    Args:
        key: What is to be placed.
        nodes: Candidate identifiers in any order.

    Returns:
        The same candidate at every node that has the same candidates, or None without any.
    """
    return max(
        nodes,
        key=lambda node: (xxhash.xxh3_64_intdigest(f"{key}|{node}".encode()), node),
        default=None,
    )
