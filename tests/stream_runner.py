"""Runner as a process of its own: every second stream ends with its connection.

Usage: ``python -m tests.stream_runner NAME EVENTS WORK_S``. It listens once it reads a port from
its standard input, prints its address and start as JSON, and ends with that input.
"""

import asyncio
import json
import sys
import time

from lacewinghub.clientconnection import ClientConnection
from lacewinghub.fakes.platform_runner import FakeRunner, RunnerFault
from lacewinghub.httpmessage import Headers, Incoming
from lacewinghub.responder import Responder

SERVICE = "models"
LISTEN_LIMIT_S = 5.0
LISTEN_POLL_S = 0.001


class StreamRunner(FakeRunner):
    """A runner with streams in both forms, in turn."""

    streams = 0

    async def _stream(
        self, incoming: Incoming, out: Responder, base_headers: Headers, fault: RunnerFault | None
    ) -> None:
        self.streams += 1
        form = RunnerFault.UNFRAMED if self.streams % 2 else None
        await super()._stream(incoming, out, base_headers, fault or form)


def _end_in_order(conn: ClientConnection, enabled: bool) -> None:
    """Let the operating system end the connections of this process in order when it dies."""


async def _listen(runner: FakeRunner, port: int) -> None:
    """Take an address as soon as the process is gone that had it."""
    async with asyncio.timeout(LISTEN_LIMIT_S):
        while not runner.address:
            try:
                await runner.start(port=port)
            except OSError:
                await asyncio.sleep(LISTEN_POLL_S)


async def _main(name: str, events: int, work_s: float) -> None:
    loop = asyncio.get_running_loop()
    line = await loop.run_in_executor(None, sys.stdin.readline)
    if not line:
        return
    runner = StreamRunner(name, SERVICE, events, work_s)
    runner.born = int(time.time() * 1000)
    await _listen(runner, int(line))
    print(json.dumps({"address": runner.address, "born": runner.born}), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    ClientConnection.reset_on_close = _end_in_order  # type: ignore[method-assign]
    asyncio.run(_main(sys.argv[1], int(sys.argv[2]), float(sys.argv[3])))
