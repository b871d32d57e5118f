"""Connector whose links to the endpoints can be cut, for one node within a process."""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from lacewinghub.connector import ConnectionFailed, Connector, DirectConnector, ProtocolT
from lacewinghub.proxynode import ProxyNode

# Keep-alive probes break a silent connection after this time.
SILENCE_S = 4.0


class LinkFault(StrEnum):
    """What happens to the connections of a node."""

    NONE = "none"
    HANG = "hang"  # New and open ones are silent.
    REFUSE = "refuse"  # New ones are refused, open ones live on.
    RESET = "reset"  # New ones are refused, open ones are reset.


class _SilentTransport(asyncio.Transport):
    """A connection whose bytes are lost in both directions."""

    def __init__(self, real: asyncio.Transport) -> None:
        super().__init__()
        self._real = real

    def write(self, data: Any) -> None:
        return None

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def pause_reading(self) -> None:
        return None

    def resume_reading(self) -> None:
        return None

    def abort(self) -> None:
        self._real.abort()


class FaultyLinks(Connector):
    """Opens direct connections while its fault permits it.

    Attributes:
        fault: What happens to new connections.
        attempts: Number of direct connections that were tried.
    """

    def __init__(self) -> None:
        self.fault = LinkFault.NONE
        self.attempts = 0
        self._real = DirectConnector()
        self._open: list[Any] = []

    async def connect(
        self, factory: Callable[[], ProtocolT], address: str, endpoint: str, timeout_s: float
    ) -> ProtocolT:
        self.attempts += 1
        if self.fault is LinkFault.HANG:
            await asyncio.sleep(timeout_s)
            raise ConnectionFailed(f"cannot connect to {address}: timeout", timeout=True)
        if self.fault is not LinkFault.NONE:
            raise ConnectionFailed(f"cannot connect to {address}: refused")
        protocol = await self._real.connect(factory, address, endpoint, timeout_s)
        self._open.append(protocol)
        return protocol

    def cut(self, fault: LinkFault) -> None:
        """Begin a fault; it affects the open connections, too."""
        self.fault = fault
        opened, self._open = self._open, []
        for protocol in opened:
            transport = getattr(protocol, "_transport", None)
            if transport is None or transport.is_closing():
                continue
            if fault is LinkFault.RESET:
                transport.set_protocol(asyncio.Protocol())
                transport.abort()
                protocol.connection_lost(ConnectionResetError("reset by the test"))
            elif fault is LinkFault.HANG:
                transport.set_protocol(asyncio.Protocol())
                protocol._transport = _SilentTransport(transport)
                loop = asyncio.get_running_loop()
                loop.call_later(SILENCE_S, _break_silent, protocol, transport)

    def heal(self) -> None:
        """End the fault for new connections."""
        self.fault = LinkFault.NONE


def _break_silent(protocol: Any, transport: asyncio.Transport) -> None:
    transport.abort()
    if not protocol._ended:
        protocol.connection_lost(TimeoutError("timed out"))


def install(node: ProxyNode) -> FaultyLinks:
    """Put links that can be cut between a node and all endpoints."""
    links = FaultyLinks()
    node._reach.direct.direct = links
    return links
