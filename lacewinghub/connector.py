"""How connections to endpoints are opened: directly, or in any other way."""

import asyncio
import errno
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TypeVar

from .errors import LacewingError


class ConnectionProtocol(asyncio.Protocol, ABC):
    """Protocol of a connection to an endpoint."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection at once."""


# The system lacks descriptors, ports or memory.
EXHAUSTED_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM)
)

ProtocolT = TypeVar("ProtocolT", bound=ConnectionProtocol)


class ConnectionFailed(LacewingError):
    """The connection could not be established; nothing was sent.

    ``details`` may contain ``timeout`` (nothing answered in time), ``blameless`` (the endpoint did
    not cause it), ``isolated`` (this node reaches no endpoint, in no way) and ``exhausted`` (this
    node has no descriptors, ports or memory left for a connection).
    """

    code, status = "connection_failed", 502


class Connector(ABC):
    """Opens connections to endpoints."""

    @abstractmethod
    async def connect(
        self, factory: Callable[[], ProtocolT], address: str, endpoint: str, timeout_s: float
    ) -> ProtocolT:
        """Open a connection.

        Args:
            factory: Creates the protocol of the connection.
            address: ``IP:port``.
            endpoint: Name of the endpoint; empty if it is unknown.
            timeout_s: Time for a direct connection, in seconds.

        Returns:
            The protocol, after its ``connection_made`` was called.

        Raises:
            ConnectionFailed: If no connection could be opened.
        """

    def is_usable(self, address: str, via: str) -> bool:
        """Return whether an idle connection may be used again.

        Args:
            address: Address of its endpoint.
            via: Node through which it goes; empty if it is direct.
        """
        return True

    def explains_break(self, address: str, via: str) -> bool:
        """Return whether a connection that broke says nothing about its endpoint."""
        return False


class DirectConnector(Connector):
    """Opens TCP connections."""

    async def connect(
        self, factory: Callable[[], ProtocolT], address: str, endpoint: str, timeout_s: float
    ) -> ProtocolT:
        """Open a TCP connection; see ``Connector.connect``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, protocol = await loop.create_connection(factory, host.strip("[]"), int(port))
        except TimeoutError as exc:
            reason = str(exc) or f"timeout after {timeout_s:g} s"
            raise ConnectionFailed(f"cannot connect to {address}: {reason}", timeout=True) from exc
        except OSError as exc:
            exhausted = exc.errno in EXHAUSTED_ERRORS
            raise ConnectionFailed(
                f"cannot connect to {address}: {exc}", exhausted=exhausted, blameless=exhausted
            ) from exc
        return protocol
