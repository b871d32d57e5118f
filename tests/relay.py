"""TCP proxy that can be interrupted, for partitions between processes on loopback."""

import asyncio
import contextlib
from collections.abc import Callable


class TcpProxy:
    """Forwards connections to one address until it is interrupted.

    Args:
        target: ``IP:port`` of the server behind it.
        crosses: Returns for the source port of a connection whether the interruption affects it;
            by default it affects all connections.
    """

    def __init__(self, target: str, crosses: Callable[[int], bool] = lambda port: True) -> None:
        self.address = ""
        self._target = target
        self._crosses = crosses
        self._open = True
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a port chosen by the system."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Break the affected connections and refuse new ones."""
        self._open = False
        for writer in self._writers:
            writer.transport.abort()

    def heal(self) -> None:
        """Accept connections again."""
        self._open = True

    def close(self) -> None:
        """Stop listening."""
        self.cut()
        if self._server is not None:
            self._server.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        crosses = self._crosses(writer.get_extra_info("peername")[1])
        if crosses and not self._open:
            writer.transport.abort()
            return
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        if crosses:
            self._writers |= {writer, back}
        # Otherwise a cancelled handler would be reported as an error when the test ends.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(_copy(reader, back), _copy(there, writer))
        self._writers -= {writer, back}


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    writer.transport.abort()
