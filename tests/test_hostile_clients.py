"""Tests of clients that keep no limits, against a node process with a small machine's settings.

Each case starts a node, opens a crowd and keeps it open, and then checks what does not depend on
the speed of the machine: the node lives, the peaks of its memory and of its descriptors are below
what the settings state, and a request of another client is answered. The bounds are those of the
settings, not measured ones.
"""

import asyncio
import contextlib
import itertools
import os
import random
import sys
import tempfile
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import aiohttp

from lacewinghub.fakes.platform_runner import FakeRunner, response_seal
from lacewinghub.fakes.platform_store import FakeStore
from lacewinghub.httpmessage import Incoming, chunk
from lacewinghub.responder import Responder

from .platform_cluster import HOST, KEY, ROUTES, config, free_port
from .processes import descriptors

MEMORY_MB = 128
MAX_FDS = 400
# What a node may keep of the memory that a crowd made it use.
KEPT_MB = 8
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}
BODY_BYTES = LIMITS["max_body_bytes"]
CROWD = 100
CONNECTIONS = 600
# Clients that do not read; the rest of an answer is held by the kernel, a few MB per connection.
NON_READERS = 40
PIPELINED = 60
ANSWER_BYTES = 200_000
SMALL_CHUNKS = 192 * 1024
# Time for a crowd to send; what it cannot send then stays unsent.
SEND_S = 25.0
# Time for which the crowd stays open before the other client asks.
HOLD_S = 1.0
ASK_LIMIT_S = 60.0
SAMPLE_S = 0.05
PROMISED_NOT_RUN = (408, 421, 429, 503)
FILLER = bytes(BODY_BYTES)

Send = Callable[[asyncio.StreamWriter], Awaitable[None]]


class _Service(FakeRunner):
    """A service that keeps no bodies and gives large answers below ``/lookup/large``."""

    async def handle(self, incoming: Incoming, out: Responder) -> None:
        incoming.take_body()
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


CHUNKED = head("Transfer-Encoding: chunked")
WHOLE = head(f"Content-Length: {BODY_BYTES}")
HUGE = 64 * BODY_BYTES
# Name, number of clients, what each sends.
BODIES: list[tuple[str, int, Send]] = [
    ("whole bodies short of their end", CROWD, body_case(WHOLE, repeat(FILLER[10:], BODY_BYTES))),
    ("pieces of 16 KB", CROWD, body_case(WHOLE, repeat(FILLER[:16384], BODY_BYTES - 16384))),
    ("chunks of 64 KB", CROWD, body_case(CHUNKED, repeat(chunk(FILLER[:65536]), BODY_BYTES))),
    ("chunks of 1 byte", CROWD, body_case(CHUNKED, small_chunks(1))),
    ("chunks of 3 bytes", CROWD, body_case(CHUNKED, small_chunks(3))),
    ("announced far over", CROWD, body_case(head(f"Content-Length: {HUGE}"), repeat(FILLER, HUGE))),
    ("sent far over", CROWD, body_case(CHUNKED, repeat(chunk(FILLER[:65536]), 8 * BODY_BYTES))),
]


class HostileCase(unittest.IsolatedAsyncioTestCase):
    """A store and two services in this process, and a node in a process of its own."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.services = [_Service(f"a-{n}", "apps") for n in range(2)]
        for service in self.services:
            await service.start()
            service.announce(self.store)
        self.store.put("keyed.op", "config", config(1, ROUTES, limits=LIMITS))
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.writers: list[asyncio.StreamWriter] = []
        self.peak_fds = 0
        self.proc: asyncio.subprocess.Process | None = None

    async def asyncTearDown(self) -> None:
        await self.stop_node()
        for service in self.services:
            await service.stop()
        await self.store.stop()

    async def start_node(self) -> None:
        """Start a node and wait until it is ready."""
        listener = await self.store.open_listener()
        # The port of the metrics is fixed, so that each node has an address of its own.
        host = f"127.0.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        self.port, ready = free_port(), free_port()
        path = Path(self.folder.name, "boot.toml")
        path.write_text(
            f'node_name = "small"\nzone = "z"\n[listen]\nfront = "127.0.0.1:{self.port}"\n'
            f'ready = "{host}:{ready}"\n[platform]\naddress = "{listener.address}"\n'
            f"[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n"
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
        async with aiohttp.ClientSession() as session, asyncio.timeout(30.0):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(f"http://{host}:{ready}/v1/ready") as resp:
                        if resp.status == 200:
                            break
                await asyncio.sleep(0.05)
        self.peak_fds = 0
        self.sampler = asyncio.create_task(self.sample_descriptors())

    async def stop_node(self) -> None:
        """Close the crowd and kill the node."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()
        if self.proc is not None:
            self.sampler.cancel()
            with contextlib.suppress(ProcessLookupError):
                self.proc.kill()
            await self.proc.wait()
            self.proc = None

    async def sample_descriptors(self) -> None:
        """Record the largest number of open descriptors of the node."""
        assert self.proc is not None
        while True:
            with contextlib.suppress(OSError):
                self.peak_fds = max(self.peak_fds, len(descriptors(self.proc.pid)))
            await asyncio.sleep(SAMPLE_S)

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

        async def client(number: int) -> None:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(SEND_S):
                    _, writer = await self.connect(number)
                    # The client reads no answer before it has sent everything.
                    writer.transport.pause_reading()  # type: ignore[attr-defined]
                    await send(writer)

        await asyncio.gather(*(client(number) for number in range(size)))
        await asyncio.sleep(HOLD_S)

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
                request = head("Content-Length: 4", "/lookup/b", "ordinary") + b"body"
                status = await self.exchange(request, 1999)
                await asyncio.sleep(0.1)
        return status

    def memory_mb(self, field: str = "VmHWM:") -> float:
        """Return the largest resident memory of the node so far, or another field, in MB."""
        assert self.proc is not None
        for line in Path(f"/proc/{self.proc.pid}/status").read_text().splitlines():
            if line.startswith(field):
                return int(line.split()[1]) / 1024
        raise AssertionError("the node has ended")

    async def check(self, name: str) -> None:
        """Check that the node lives, holds its bounds and answers another client."""
        assert self.proc is not None
        self.assertIsNone(self.proc.returncode, self.log.read_text()[-2000:])
        memory_mb = self.memory_mb()
        status = 0
        with contextlib.suppress(TimeoutError):
            status = await self.ask()
        memory_mb = max(memory_mb, self.memory_mb())
        print(
            f"{name}: peak {memory_mb:.0f} MB, {self.peak_fds} descriptors, then {status}",
            file=sys.stderr,
        )
        self.assertLess(memory_mb, MEMORY_MB)
        self.assertLess(self.peak_fds, MAX_FDS)
        self.assertEqual(status, 200)
        self.assertIsNone(self.proc.returncode)

    async def run_case(self, name: str, size: int, send: Send) -> None:
        """Let a crowd send to a new node and check the node."""
        await self.start_node()
        try:
            await self.crowd(size, send)
            await self.check(name)
        finally:
            await self.stop_node()


class TestBodies(HostileCase):
    """Guards against bodies that exhaust the memory of a node."""

    async def test_bodies_that_do_not_end_or_are_far_too_large(self) -> None:
        for name, size, send in BODIES:
            with self.subTest(name):
                await self.run_case(name, size, send)

    async def test_whole_legal_bodies_at_once_are_served_or_refused_truly(self) -> None:
        # Guards against a refusal that states that a request did not run although it did.
        await self.start_node()

        async def client(number: int) -> int:
            length = f"Content-Length: {BODY_BYTES}"
            request = head(length, "/once/a", f"whole-{number}") + FILLER
            return await self.exchange(request, number)

        statuses = await asyncio.gather(*(client(number) for number in range(CROWD)))
        name = f"whole legal bodies {dict(sorted(Counter(statuses).items()))}"
        await self.check(name)
        runs = sum((service.counts for service in self.services), Counter[str]())
        for number, status in enumerate(statuses):
            with self.subTest(number=number, status=status):
                self.assertIn(status, (0, 200, 502, 504, *PROMISED_NOT_RUN))
                count = runs[f"whole-{number}"]
                if status in PROMISED_NOT_RUN:
                    self.assertEqual(count, 0)
                elif status == 200:
                    self.assertEqual(count, 1)

    async def test_memory_is_given_back(self) -> None:
        # Guards against a node that stays as large as its worst moment.
        await self.start_node()
        before = self.memory_mb("VmRSS:")
        await self.crowd(CROWD, BODIES[1][2])
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()
        after = 0.0
        for _ in range(100):
            await asyncio.sleep(0.1)
            after = self.memory_mb("VmRSS:")
            if after < before + KEPT_MB:
                break
        print(f"memory: {before:.0f} MB at first, {after:.0f} MB in the end", file=sys.stderr)
        self.assertLess(after, before + KEPT_MB)

    async def test_one_request_of_the_largest_size_is_served(self) -> None:
        # Guards against limits that a client inside the stated ones meets.
        await self.start_node()
        for framing, body in (
            (f"Content-Length: {BODY_BYTES}", FILLER),
            ("Transfer-Encoding: chunked", chunk(FILLER) + b"0\r\n\r\n"),
            ("Transfer-Encoding: chunked", chunk(FILLER[:4096]) * 1024 + b"0\r\n\r\n"),
        ):
            with self.subTest(framing):
                self.assertEqual(await self.exchange(head(framing) + body, 0), 200)
        self.assertLess(self.memory_mb(), MEMORY_MB)


class TestConnections(HostileCase):
    """Guards against connections that exhaust the descriptors or the memory of a node."""

    async def test_connections_that_bring_no_request(self) -> None:
        async def idle(writer: asyncio.StreamWriter) -> None:
            return None

        async def unfinished_head(writer: asyncio.StreamWriter) -> None:
            writer.write(head("") + b"X-Filler: " + b"y" * 15_000)
            await writer.drain()

        async def after_one_request(writer: asyncio.StreamWriter) -> None:
            writer.write(head("Content-Length: 4") + b"body")
            await writer.drain()

        async def many_headers(writer: asyncio.StreamWriter) -> None:
            # Each takes far more memory than its five bytes on the wire.
            writer.write(head("Content-Length: 4\r\n" + "ab:c\r\n" * 1800))
            await writer.drain()

        for name, send in (
            ("heads with many small headers", many_headers),
            ("idle connections", idle),
            ("heads that never end", unfinished_head),
            ("idle after one request", after_one_request),
        ):
            with self.subTest(name):
                await self.run_case(name, CONNECTIONS, send)

    async def test_clients_that_do_not_read_their_answers(self) -> None:
        request = head("Content-Length: 4", "/lookup/large") + b"body"

        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(request * PIPELINED)
            await writer.drain()
            await asyncio.sleep(8.0)

        await self.run_case("clients that do not read", NON_READERS, send)


if __name__ == "__main__":
    unittest.main()
