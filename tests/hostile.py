"""Harness of the tests of clients that keep no limits: a crowd, and a node process that it presses.

The checks do not depend on the speed of the machine: the node lives, the peaks of its memory and of
its descriptors are below what the settings state, and a request of another client is answered.
Memory is the resident memory of the node and the bytes that its sockets have received and that it
has not read: a platform counts both.
"""

import asyncio
import contextlib
import itertools
import os
import random
import re
import sys
import tempfile
import threading
import unittest
from abc import abstractmethod
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import aiohttp

from lacewinghub.fakes.platform_runner import FakeRunner, response_seal
from lacewinghub.fakes.platform_store import FakeStore
from lacewinghub.httpmessage import Incoming, chunk
from lacewinghub.responder import Responder

from .platform_cluster import HOST, KEY, ROUTES, config, free_port
from .processes import descriptors

MB = 1024 * 1024
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}
BODY_BYTES = LIMITS["max_body_bytes"]
FILLER = bytes(BODY_BYTES)
ANSWER_BYTES = 200_000
SMALL_CHUNKS = 192 * 1024
# Time for a crowd to send; what it cannot send then stays unsent.
SEND_S = 25.0
# Time for which the crowd stays open before the other client asks.
HOLD_S = 1.0
ASK_LIMIT_S = 60.0
SAMPLE_S = 0.05
# The crowd has the addresses below this number, the other client this one.
OTHER_CLIENT = 1999
TCP_LISTEN = "0A"

Send = Callable[[asyncio.StreamWriter], Awaitable[None]]


class Service(FakeRunner):
    """A service that keeps no bodies, and gives large or late answers on some paths.

    Attributes:
        held: Ends the requests below ``/lookup/held``, which wait for it.
    """

    def __init__(self, name: str, service: str) -> None:
        super().__init__(name, service)
        self.held = asyncio.Event()

    async def handle(self, incoming: Incoming, out: Responder) -> None:
        incoming.take_body()
        if incoming.target.startswith(b"/lookup/held"):
            await self.held.wait()
        large = incoming.target.startswith(b"/lookup/large")
        attempt = incoming.header(b"lacewinghub-attempt-id") or b""
        await super().handle(incoming, _Large(out, attempt) if large else out)  # type: ignore[arg-type]


class _Large:
    """A responder that replaces the body of an answer by a large one."""

    def __init__(self, out: Responder, attempt: bytes) -> None:
        self._out = out
        self._attempt = attempt
        self.conn = out.conn

    def send(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        body = FILLER[:ANSWER_BYTES]
        seal = response_seal(body).encode()
        kept = [item for item in headers if item[0] != b"lacewinghub-response-seal"]
        self._out.send(status, [*kept, (b"lacewinghub-response-seal", seal)], body)

    @property
    def finished(self) -> bool:
        return self._out.finished


def head(framing: str, target: str = "/lookup/a", attempt: str = "crowd") -> bytes:
    """Return the head of a request, without the empty line if ``framing`` is empty."""
    lines = [
        f"POST {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Token {KEY}",
        f"Lacewinghub-Attempt-Id: {attempt}",
        "Lacewinghub-Deadline-Ms: 20000",
        *([framing, "", ""] if framing else [""]),
    ]
    return "\r\n".join(lines).encode()


def body_case(start: bytes, pieces: Callable[[], Iterator[bytes]]) -> Send:
    """Return what a client sends: a head, then pieces until they end."""

    async def send(writer: asyncio.StreamWriter) -> None:
        writer.write(start)
        for piece in pieces():
            writer.write(piece)
            await writer.drain()

    return send


def repeat(piece: bytes, total: int) -> Callable[[], Iterator[bytes]]:
    """Return a function that yields one piece over and over until ``total`` bytes are sent."""
    return lambda: itertools.repeat(piece, total // len(piece))


def small_chunks(size: int) -> Callable[[], Iterator[bytes]]:
    """Return a function that yields ``SMALL_CHUNKS`` bytes of body in chunks of a size."""
    piece = chunk(b"x" * size) * 1024
    return lambda: itertools.repeat(piece, SMALL_CHUNKS // size // 1024)


def resident_mb(pid: int, field: str) -> float:
    """Return a field of the memory of a process in MB, such as ``VmHWM:`` or ``VmRSS:``."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field):
            return int(line.split()[1]) / 1024
    raise AssertionError("the node has ended")


def unread_mb(pid: int, port: int) -> float:
    """Return the bytes in MB that a process has received and not read, from /proc/net/tcp.

    Args:
        pid: The process.
        port: Its port for clients; connections to it that were not accepted yet count as well.
    """
    inodes = {found[1] for item in descriptors(pid) if (found := re.match(r"socket:\[(\d+)", item))}
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[3] == TCP_LISTEN:
            continue  # There the field counts connections.
        is_waiting = fields[9] == "0" and int(fields[1].partition(":")[2], 16) == port
        if is_waiting or fields[9] in inodes:
            total += int(fields[4].partition(":")[2], 16)
    return total / MB


class HostileCase(unittest.IsolatedAsyncioTestCase):
    """A node in a process of its own, and clients that open connections to it.

    Attributes:
        memory_limit_mb: Memory of the node's host.
        descriptor_limit: Descriptors that the node may have.
        port: Port of the node for clients.
        pid: Process id of the node.
        peak_mb: Largest resident and received memory seen so far, in MB.
        peak_unread_mb: Largest received and unread part of it, in MB.
        peak_fds: Largest number of open descriptors seen so far.
    """

    memory_limit_mb = 128
    descriptor_limit = 400
    port = 0
    pid = 0

    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.writers: list[asyncio.StreamWriter] = []
        self.sampler: threading.Thread | None = None

    async def asyncTearDown(self) -> None:
        await self.stop_node()

    @abstractmethod
    async def start_node(self) -> None:
        """Start a node, wait until it is ready, and call ``watch``."""

    @abstractmethod
    async def stop_node(self) -> None:
        """Close the crowd and kill the node."""

    @abstractmethod
    def has_ended(self) -> bool:
        """Tell whether the node has ended."""

    @abstractmethod
    def ordinary_request(self) -> bytes:
        """Return a small request."""

    @abstractmethod
    def log_text(self) -> str:
        """Return what the node wrote to its log."""

    def watch(self) -> None:
        """Begin to record the largest memory and number of descriptors of the node."""
        self.peak_fds, self.peak_mb, self.peak_unread_mb = 0, 0.0, 0.0
        self._watched = threading.Event()
        self.sampler = threading.Thread(target=self._sample, daemon=True)
        self.sampler.start()

    def end_watch(self) -> None:
        """Stop recording."""
        if self.sampler is not None:
            self._watched.set()
            self.sampler.join()
            self.sampler = None

    def close_crowd(self) -> None:
        """Close all connections."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    def _sample(self) -> None:
        # A thread, because the crowd keeps the event loop of the test busy.
        while not self._watched.wait(SAMPLE_S):
            with contextlib.suppress(OSError, AssertionError):
                self.peak_fds = max(self.peak_fds, len(descriptors(self.pid)))
                unread = unread_mb(self.pid, self.port)
                self.peak_unread_mb = max(self.peak_unread_mb, unread)
                self.peak_mb = max(self.peak_mb, resident_mb(self.pid, "VmRSS:") + unread)

    async def connect(self, number: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to the node from an address that belongs to the number."""
        source = f"127.0.{8 + number // 200}.{1 + number % 200}"
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.port, local_addr=(source, 0), limit=4096
        )
        self.writers.append(writer)
        return reader, writer

    async def crowd(self, size: int, send: Send) -> None:
        """Open connections, let each send, and leave them open."""
        conns = [self._open_silently(number) for number in range(size)]
        writers = [writer for writer in await asyncio.gather(*conns) if writer is not None]

        async def client(writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(SEND_S):
                    await send(writer)

        await asyncio.gather(*map(client, writers))
        await asyncio.sleep(HOLD_S)

    async def _open_silently(self, number: int) -> asyncio.StreamWriter | None:
        """Connect as a client that reads no answer; return None if the node refuses."""
        with contextlib.suppress(OSError):
            _, writer = await self.connect(number)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            return writer
        return None

    async def exchange(self, request: bytes, number: int) -> int:
        """Send a request; return the status of its answer, or 0 if there is none."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            reader, writer = await self.connect(number)
            with contextlib.suppress(OSError):
                writer.write(request)
                await writer.drain()
            answer = await reader.readuntil(b"\r\n\r\n")
            return int(answer.split(b" ", 2)[1])
        return 0

    async def ask(self) -> int:
        """Send small requests as another client until one is answered with 200, as a client may."""
        status = 0
        async with asyncio.timeout(ASK_LIMIT_S):
            while status != 200:
                status = await self.exchange(self.ordinary_request(), OTHER_CLIENT)
                await asyncio.sleep(0.1)
        return status

    def memory_mb(self, field: str = "VmHWM:") -> float:
        """Return the largest resident memory of the node so far, or another field, in MB."""
        return resident_mb(self.pid, field)

    async def check(self, name: str) -> None:
        """Check that the node lives, holds its bounds and answers another client."""
        self.assertFalse(self.has_ended(), self.log_text()[-2000:])
        memory_mb = max(self.peak_mb, self.memory_mb())
        status = 0
        with contextlib.suppress(TimeoutError):
            status = await self.ask()
        memory_mb = max(memory_mb, self.peak_mb, self.memory_mb())
        print(
            f"{name}: peak {memory_mb:.0f} MB ({self.memory_mb():.0f} resident,"
            f" {self.peak_unread_mb:.0f} unread), {self.peak_fds} descriptors, then {status}",
            file=sys.stderr,
        )
        self.assertLess(memory_mb, self.memory_limit_mb)
        self.assertLess(self.peak_fds, self.descriptor_limit)
        self.assertEqual(status, 200)
        self.assertFalse(self.has_ended())

    async def run_case(self, name: str, size: int, send: Send) -> None:
        """Let a crowd send to a new node and check the node."""
        await self.start_node()
        try:
            await self.crowd(size, send)
            await self.check(name)
        finally:
            await self.stop_node()


class PlatformHostileCase(HostileCase):
    """A store and two services in this process, and a node of the users' platform.

    Attributes:
        routes: Routes of the configuration.
    """

    routes = ROUTES

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.proc: asyncio.subprocess.Process | None = None
        self.store = FakeStore()
        self.services = [Service(f"a-{n}", "apps") for n in range(2)]
        for service in self.services:
            await service.start()
            service.announce(self.store)
        self.store.put("keyed.op", "config", config(1, self.routes, limits=LIMITS))

    async def asyncTearDown(self) -> None:
        await super().asyncTearDown()
        for service in self.services:
            await service.stop()
        await self.store.stop()

    async def start_node(self) -> None:
        listener = await self.store.open_listener()
        # The port of the metrics is fixed, so that each node has an address of its own.
        host = f"127.0.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        self.port, ready = free_port(), free_port()
        path = Path(self.folder.name, "boot.toml")
        path.write_text(
            f'node_name = "small"\nzone = "z"\n[listen]\nfront = "127.0.0.1:{self.port}"\n'
            f'ready = "{host}:{ready}"\n[platform]\naddress = "{listener.address}"\n'
            f"[limits]\nmemory_mb = {self.memory_limit_mb}\nmax_fds = {self.descriptor_limit}\n"
        )
        self.log = Path(self.folder.name, "node.log")
        with self.log.open("wb") as out:
            self.proc = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lacewinghub.platform",
                env=os.environ | {"LACEWINGHUB_BOOT": str(path)},
                stdout=out,
                stderr=out,
            )
        self.pid = self.proc.pid
        async with aiohttp.ClientSession() as session, asyncio.timeout(30.0):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(f"http://{host}:{ready}/v1/ready") as resp:
                        if resp.status == 200:
                            break
                await asyncio.sleep(0.05)
        self.watch()

    async def stop_node(self) -> None:
        self.close_crowd()
        if self.proc is not None:
            self.end_watch()
            with contextlib.suppress(ProcessLookupError):
                self.proc.kill()
            await self.proc.wait()
            self.proc = None

    def has_ended(self) -> bool:
        return self.proc is None or self.proc.returncode is not None

    def ordinary_request(self) -> bytes:
        return head("Content-Length: 4", "/lookup/b", "ordinary") + b"body"

    def log_text(self) -> str:
        return self.log.read_text()
