"""Sockets for clients, whose buffers in the kernel are bounded.

The kernel lets the receive buffer of a connection grow to megabytes while its bytes are not read,
and a platform counts these bytes toward the memory of the process.
"""

import contextlib
import socket

from .memory_budget import KB

# Share of the memory budget that the receive buffers of all clients may have beside it.
RECEIVED_SHARE = 0.5
# The kernel doubles the size that a program asks for, and fills three quarters of that.
FILLED_FACTOR = 1.5
# Smaller ones would slow down bodies; above the largest one the kernel fills more.
MIN_RECEIVE_BYTES = 8 * KB
MAX_RECEIVE_BYTES = 48 * KB


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
        receive_bytes: Size of the receive buffers of its connections, which inherit it.

    Raises:
        OSError: If the address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        limit_receive_buffer(sock, receive_bytes)
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
