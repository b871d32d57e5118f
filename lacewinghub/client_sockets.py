"""Sockets for clients, whose buffers in the kernel are bounded.

The kernel lets the receive buffer of a connection grow to megabytes while its bytes are not read,
and a platform counts these bytes toward the memory of the process.
"""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios

from .memory_budget import KB

# Share of the memory budget that the receive buffers of all clients may have beside it.
RECEIVED_SHARE = 0.5
# The kernel doubles the size that a program asks for, and fills three quarters of that.
FILLED_FACTOR = 1.5
# Smaller ones would slow down bodies; above the largest one the kernel fills more.
MIN_RECEIVE_BYTES = 8 * KB
MAX_RECEIVE_BYTES = 48 * KB
# Size of the send buffer of each connection, as a program asks for it, where memory is limited.
# What a client does not read stays in it; it would grow to megabytes as well.
SEND_BYTES = 32 * KB
# For fewer written bytes the kernel is not asked how many of them it keeps.
UNASKED_BYTES = 16 * KB


def receive_buffer_bytes(budget: int | None, connections: int | None) -> int | None:
    """Return the size of the receive buffer of each connection, as a program asks for it.

    Args:
        budget: Size of the memory budget in bytes, or None for no limit.
        connections: Largest number of connections, or None for no limit.

    Returns:
        The size in bytes, or None for the one that the kernel chooses.
    """
    if budget is None or connections is None:
        return None
    each = int(RECEIVED_SHARE * budget / (FILLED_FACTOR * connections))
    return min(MAX_RECEIVE_BYTES, max(MIN_RECEIVE_BYTES, each))


def bind(host: str, port: int, receive_bytes: int | None) -> socket.socket:
    """Return a socket that is bound to an address, for a server.

    Args:
        host: IP address.
        port: Port, or 0 for a free one.
        receive_bytes: Size of the receive buffers of its connections, which inherit it; with None
            the kernel chooses both buffers.

    Raises:
        OSError: If the address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        limit_receive_buffer(sock, receive_bytes)
        if receive_bytes is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock


def limit_receive_buffer(sock: socket.socket, size: int | None) -> None:
    """Limit the receive buffer of a socket; without effect where the system does not permit it."""
    if size is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes the kernel keeps because the client has not read them."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return 0
    with contextlib.suppress(OSError, ValueError):
        found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(struct.calcsize("i")))
        return struct.unpack("i", found)[0]
    return 0


class SentBytes:
    """What the kernel keeps of the answers on one connection.

    Attributes:
        unsent: Number of bytes when it was last asked.
    """

    def __init__(self) -> None:
        self.unsent = 0
        self._written = 0

    def add(self, size: int) -> None:
        """Count bytes that were written."""
        self._written += size

    def refresh(self, transport: asyncio.Transport | None) -> bool:
        """Ask the kernel if much was written since it last kept nothing.

        Returns:
            True if the number of bytes has changed.
        """
        if self._written <= UNASKED_BYTES or transport is None or transport.is_closing():
            return False
        before, self.unsent = self.unsent, unsent_bytes(transport)
        if not self.unsent:
            self._written = 0
        return before != self.unsent
