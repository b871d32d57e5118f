"""Tests of the decisions about clients that keep no limits, and of what a server does with them."""

import asyncio
import contextlib
import re
import socket
import unittest

import httptools

from lacewinghub.client_bounds import (
    BODY_GRACE_S,
    BODY_TOTAL_S,
    CONNECTION_BYTES,
    MAX_REST_S,
    ClientGuard,
    ConnectionBounds,
    OpenConnection,
    ParsePacer,
    choose_closed,
    closed_at_once,
    connection_bounds,
    is_too_slow,
)
from lacewinghub.client_sockets import (
    MAX_RECEIVE_BYTES,
    MIN_RECEIVE_BYTES,
    receive_buffer_bytes,
)
from lacewinghub.clientconnection import MAX_PIPELINED, SLICE_BYTES, ClientConnection
from lacewinghub.httphandler import HttpHandler, HttpLimits
from lacewinghub.httpmessage import EXPENSIVE_FRAMING_BYTES, Incoming, MessageReceiver, chunk
from lacewinghub.httpserver import HttpServer
from lacewinghub.memory_budget import (
    MB,
    MIN_BUDGET_BYTES,
    Holder,
    Holding,
    MemoryBudget,
    budget_bytes,
    choose_refused,
)
from lacewinghub.responder import Responder

KB = 1024


class TestChoice(unittest.TestCase):
    def test_those_that_hold_most_for_longest_are_refused_first(self) -> None:
        # Guards against an ordinary caller that is refused for what others hold.
        stalled = Holding(4 * MB, 10.0)
        arriving = Holding(4 * MB, 0.1)
        tiny_chunks = Holding(192 * KB, 12.0)
        ordinary = Holding(2 * KB, 0.01)
        nothing = Holding(0, 100.0)
        every = [ordinary, arriving, tiny_chunks, nothing, stalled]
        cases = [
            ("nothing to release", every, 0, 1, []),
            ("largest and slowest", every, 1, 1, [4]),
            ("the next one as well", every, 5 * MB, 1, [4, 2, 1]),
            ("ordinary ones last", every, 100 * MB, 1, [4, 2, 1, 0]),
            ("no small ones", every, 100 * MB, 64 * KB, [4, 2, 1]),
            ("none", [], 1, 1, []),
            ("only those that hold nothing", [nothing], 1, 1, []),
            ("size decides at first", [Holding(10, 0.0), Holding(20, 0.0)], 1, 1, [1]),
            ("time decides for equals", [Holding(10, 5.0), Holding(10, 6.0)], 1, 1, [1]),
        ]
        for name, holdings, excess, smallest, expected in cases:
            with self.subTest(name):
                self.assertEqual(choose_refused(holdings, excess, smallest), expected)

    def test_budget_by_memory(self) -> None:
        cases = [
            (None, None),
            (10 * MB, MIN_BUDGET_BYTES),
            (128 * MB, 28 * MB),
            (160 * MB, 44 * MB),
            (552 * MB, 240 * MB),
        ]
        for memory, expected in cases:
            with self.subTest(memory):
                self.assertEqual(budget_bytes(memory), expected)

    def test_connections_by_descriptors_and_memory(self) -> None:
        cases = [
            (None, None, ConnectionBounds()),
            (400, None, ConnectionBounds(80, 60)),
            (1638, None, ConnectionBounds(575, 431)),
            (1638, 44 * MB, ConnectionBounds(575, 431)),
            (10_250, 44 * MB, ConnectionBounds(704, 528)),
            (10_250, 240 * MB, ConnectionBounds(3840, 2880)),
            (20, None, ConnectionBounds(16, 12)),
        ]
        for descriptors, budget, expected in cases:
            with self.subTest(descriptors=descriptors, budget=budget):
                self.assertEqual(connection_bounds(descriptors, budget), expected)

    def test_receive_buffers_fit_beside_the_budget(self) -> None:
        cases = [
            (None, None, None),
            (None, 100, None),
            (44 * MB, 718, 21_419),
            (44 * MB, 880, 17_476),
            (114 * MB, 1950, 20_433),
            (28 * MB, 100, MAX_RECEIVE_BYTES),
            (12 * MB, 5000, MIN_RECEIVE_BYTES),
        ]
        for budget, connections, expected in cases:
            with self.subTest(budget=budget, connections=connections):
                self.assertEqual(receive_buffer_bytes(budget, connections), expected)

    def test_the_longest_idle_of_the_largest_address_are_closed(self) -> None:
        conns = [
            OpenConnection("a", 9.0, served=False),
            OpenConnection("b", 1.0, served=False),
            OpenConnection("b", 2.0, served=False),
            OpenConnection("b", 3.0, served=True),
            OpenConnection("b", 0.1, served=False),
        ]
        even = [OpenConnection(f"{n // 32}", 1.0 + n, served=False) for n in range(96)]
        busy = [OpenConnection("b", 9.0, served=True)] * 9 + conns[:1]
        started = [
            OpenConnection("a", 9.0, served=False, started=True),
            OpenConnection("a", 1.0, served=False),
        ]
        cases = [
            ("the longest idle one", conns, 1, "", [2]),
            ("none of an address with few", conns, 9, "", [2]),
            ("of an address", conns, 9, "a", [0]),
            ("of an unknown address", conns, 9, "c", []),
            ("of an address with few, as the others are served", busy, 9, "", [9]),
            ("a share of each address", even, 9, "", [95, 94, 63, 62, 31, 30]),
            ("no more than asked for", even, 3, "", [95, 94, 63]),
            ("without a part of a request first", started, 1, "", [1]),
            ("with a part of a request", started[:1], 1, "", [0]),
        ]
        for name, connections, number, address, expected in cases:
            with self.subTest(name):
                self.assertEqual(choose_closed(connections, number, address), expected)

    def test_a_share_of_the_connections_is_closed_at_once(self) -> None:
        for count, expected in ((0, 1), (15, 1), (32, 2), (160, 10), (256, 16), (3840, 16)):
            with self.subTest(count):
                self.assertEqual(closed_at_once(count), expected)

    def test_free_memory_is_released_once_for_all_servers_and_rarely(self) -> None:
        # Guards against a process that stops again and again to look for free memory.
        guard = ClientGuard()
        guard.connections = 3
        internal = guard.for_server(public=False)
        self.assertEqual(internal.connections, 0)
        self.assertIs(internal.free_memory, guard.free_memory)
        cases = [
            (0.0, 9 * MB, False),
            (1.0, 6 * MB, False),
            (2.0, 4 * MB, True),
            (2.0, 4 * MB, False),
            (3.0, 20 * MB, False),
            (4.0, 0, False),
            (7.0, 0, True),
            (20.0, 0, False),
        ]
        for now, held, expected in cases:
            with self.subTest(now=now, held=held):
                self.assertEqual(guard.free_memory.should_release(held, now), expected)

    def test_slow_bodies(self) -> None:
        cases = [
            (0, 0.0, False),
            (0, BODY_GRACE_S, False),
            (100, BODY_GRACE_S + 1.0, True),
            (5000, BODY_GRACE_S + 1.0, False),
            (4 * MB, BODY_TOTAL_S - 1.0, False),
            (4 * MB, BODY_TOTAL_S + 1.0, True),
        ]
        for size, elapsed_s, expected in cases:
            with self.subTest(size=size, elapsed_s=elapsed_s):
                self.assertEqual(is_too_slow(size, elapsed_s), expected)

    def test_expensive_reads_rest_one_after_the_other(self) -> None:
        pacer = ParsePacer()
        self.assertEqual([pacer.resume_at(10.0, 0.5), pacer.resume_at(10.0, 0.5)], [11.0, 12.0])
        self.assertEqual(pacer.resume_at(10.0, 100.0), 10.0 + MAX_REST_S)
        self.assertEqual(pacer.resume_at(50.0, 0.5), 51.0)


class TestCounting(unittest.TestCase):
    def test_bytes_that_belong_to_no_body(self) -> None:
        # Guards against heads that are held but not counted, and against a head that is read
        # slowly because its bytes count as framing of a body.
        start = b"POST / HTTP/1.1\r\n"
        chunked = start + b"Transfer-Encoding: chunked\r\n"
        short = start + b"Content-Length: 2\r\n\r\nab"
        filler = b"X: " + b"y" * (9 * KB)
        ended = filler + b"\r\n\r\n"
        tiny = chunk(b"x") * 2000
        large = [filler + b"\r\n"] * 7
        cases: list[tuple[str, list[bytes], bool, bool]] = [
            ("unfinished in one read", [start + filler], True, False),
            ("unfinished in two reads", [start, filler], True, False),
            ("unfinished after another message", [short, start + filler], True, False),
            ("unfinished behind another message", [short + start + filler], False, False),
            ("unfinished header goes on", [start + filler, b"y" * 9 * KB], True, False),
            ("complete in one read", [chunked + ended], False, False),
            (
                "complete in two reads",
                [chunked + filler, b"y" * 9 * KB + b"\r\n\r\n"],
                False,
                False,
            ),
            ("chunks with the head", [chunked + ended + tiny], False, True),
            ("chunks after the head", [chunked + ended, tiny], False, True),
            ("chunks after a large head", [chunked, *large, b"\r\n", tiny], False, True),
        ]
        for name, reads, holds, is_expensive in cases:
            with self.subTest(name):
                receiver = MessageReceiver()
                parser = httptools.HttpRequestParser(_Callbacks(receiver))
                for data in reads:
                    receiver.count(len(data))
                    parser.feed_data(data)
                    receiver.settle()
                last = receiver.messages[-1]
                unfinished = 0 if last.headers_complete else receiver.overhead
                self.assertEqual(unfinished > 9 * KB, holds)
                self.assertEqual(receiver.held >= 9 * KB, holds or last.headers_complete)
                self.assertEqual(receiver.framing > EXPENSIVE_FRAMING_BYTES, is_expensive)
                self.assertFalse(receiver.has_excessive_framing)


class _Callbacks:
    """Passes the callbacks of a parser to a receiver, as a connection does."""

    def __init__(self, receiver: MessageReceiver) -> None:
        self._receiver = receiver
        for name in ("message_begin", "url", "header", "body", "message_complete"):
            setattr(self, f"on_{name}", getattr(receiver, f"on_{name}"))

    def on_headers_complete(self) -> None:
        self._receiver.messages[-1].headers_complete = True


class _Client(Holder):
    def __init__(self, held_s: float) -> None:
        self.held_s = held_s
        self.is_served = False
        self.refused = False
        self.budget: MemoryBudget | None = None

    def holding(self) -> Holding:
        return Holding(0 if self.is_served else self.charged, self.held_s)

    def refuse_for_memory(self) -> None:
        self.refused = True
        assert self.budget is not None
        self.budget.charge(self, 0)


class TestBudget(unittest.TestCase):
    def setUp(self) -> None:
        self.clients = [_Client(held_s) for held_s in (0.0, 1.0, 2.0)]
        self.budget = MemoryBudget(1 * MB)
        self.budget.add_holders(lambda: self.clients)
        for client in self.clients:
            client.budget = self.budget

    def refused(self) -> list[bool]:
        return [client.refused for client in self.clients]

    def test_what_is_charged_counts_once(self) -> None:
        first, second, _ = self.clients
        self.budget.charge(first, 1000)
        self.budget.charge(second, 500)
        self.budget.charge(first, 700)
        self.assertEqual(self.budget.held, 1200)
        self.budget.charge(first, 0)
        self.assertEqual(self.budget.held, 500)

    def test_large_holders_leave_room_for_small_ones(self) -> None:
        first, second, third = self.clients
        self.budget.charge(first, 300 * KB)
        self.budget.charge(second, 300 * KB)
        self.assertEqual(self.refused(), [False, False, False])
        self.budget.charge(third, 60 * KB)  # The large ones have three quarters.
        self.assertEqual(self.refused(), [False, False, False])
        self.budget.charge(first, 500 * KB)
        self.assertEqual(self.refused(), [False, True, False])

    def test_what_has_no_room_is_not_reserved(self) -> None:
        # Guards against a request that is served although nobody can be refused for it.
        first, second, third = self.clients
        second.is_served = third.is_served = True
        self.budget.charge(first, 400 * KB)
        cases = [
            ("room", second, 300 * KB, True, 300 * KB),
            ("another one is refused for it", second, 600 * KB, True, 600 * KB),
            ("more than there is for large ones", third, 200 * KB, False, 0),
            ("a small one", third, 60 * KB, True, 60 * KB),
            ("one that is refused itself", first, 800 * KB, False, 0),
        ]
        for name, client, size, has_room, held in cases:
            with self.subTest(name):
                self.assertEqual(self.budget.reserve(client, size), has_room)
                self.assertEqual(client.charged, held)
        self.assertEqual(self.budget.held, 660 * KB)

    def test_without_a_capacity_nobody_is_refused(self) -> None:
        budget = MemoryBudget(None)
        budget.add_holders(lambda: self.clients)
        budget.charge(self.clients[0], 1 << 40)
        self.assertFalse(budget.strained)
        self.assertEqual(self.refused(), [False, False, False])


class _Held(HttpHandler):
    """Answers requests when it is told to.

    ``/large`` gets an answer that fills the buffers, ``/unframed`` the same without a length.
    """

    def __init__(self) -> None:
        self.go = asyncio.Event()
        self.seen: list[bytes] = []
        self.idle_s = 5.0
        self.header_bytes = 16 * KB

    def limits(self) -> HttpLimits:
        return HttpLimits(self.header_bytes, MB, header_s=5.0, idle_s=self.idle_s)

    async def handle(self, incoming: Incoming, out: Responder) -> None:
        self.seen.append(incoming.target)
        await self.go.wait()
        if incoming.target == b"/unframed":
            out.start(200, [], framed=False)
            out.conn.write(bytes(16 * MB))
            out.finish()
            return
        out.send(200, [], bytes(16 * MB) if incoming.target == b"/large" else b"ok")


def post(target: str, length: int) -> bytes:
    """Return the head of a request."""
    return f"POST {target} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n".encode()


class TestServer(unittest.IsolatedAsyncioTestCase):
    async def start(self, capacity: int | None, bounds: ConnectionBounds | None = None) -> None:
        self.handler = _Held()
        self.writers: list[asyncio.StreamWriter] = []
        self.guard = ClientGuard(MemoryBudget(capacity), bounds or ConnectionBounds())
        self.server = HttpServer(self.handler, self.guard)
        self.port = await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.close)

    async def open(self, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.transport.abort)
        self.writers.append(writer)  # A writer that is collected closes its connection.
        writer.write(data)
        return reader, writer

    async def until(self, check: object, limit_s: float = 5.0) -> None:
        async with asyncio.timeout(limit_s):
            while not check():  # type: ignore[operator]
                await asyncio.sleep(0.01)

    async def read_all(self, reader: asyncio.StreamReader) -> bytes:
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(5.0):
                return await reader.read(-1)
        return b""

    async def test_a_body_behind_a_served_request_is_refused_and_the_request_is_answered(
        self,
    ) -> None:
        # Guards against an answer to one request that its client takes for that of another.
        await self.start(MB)
        reader, writer = await self.open(post("/first", 0) + post("/second", 900 * KB))
        await self.until(lambda: self.handler.seen)
        writer.write(bytes(50 * KB))
        other, _ = await self.open(post("/other", 900 * KB) + bytes(800 * KB))
        answer = await self.read_all(other)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertIn(b"retry-after: ", answer)
        self.guard.budget.charge(_Client(0.0), 980 * KB)
        writer.write(bytes(30 * KB))
        await self.until(lambda: self.guard.refusals.counts["refused_for_memory"] == 2)
        self.handler.go.set()
        answer = await self.read_all(reader)
        self.assertEqual(re.findall(rb"HTTP/1.1 (\d+)", answer), [b"200", b"503"])
        self.assertEqual(self.handler.seen, [b"/first"])

    async def test_what_is_held_is_released_with_each_end(self) -> None:
        await self.start(8 * MB)
        self.handler.go.set()
        for target, body in (("/a", bytes(900 * KB)), ("/b", bytes(10)), ("/short", b"")):
            with self.subTest(target):
                length = len(body) or 900 * KB
                reader, writer = await self.open(post(target, length) + body)
                if body:
                    await reader.readuntil(b"ok")
                await self.until(lambda: len(self.server.connections) == 1)
                writer.transport.abort()
                await self.until(lambda: not self.server.connections)
                self.assertEqual(self.guard.budget.held, 0)

    async def test_announced_bodies_are_refused_before_they_come(self) -> None:
        await self.start(None)
        for head in (post("/a", 2 * MB), post("/a", 2 * MB)[:-2] + b"Expect: 100-continue\r\n\r\n"):
            reader, _ = await self.open(head)
            answer = await self.read_all(reader)
            self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer)

    async def test_a_slow_body_is_refused_only_by_a_strained_process(self) -> None:
        await self.start(MB)
        reader, _ = await self.open(post("/slow", 1000) + b"x")
        await self.until(lambda: self.server.connections)
        conn = next(iter(self.server.connections))
        await self.until(lambda: conn.holding().refusable > 0)
        self.server.registry.sweep()
        conn._message_started -= BODY_TOTAL_S + 1.0
        self.server.registry.sweep()
        self.assertEqual(self.guard.refusals.counts["refused_slow_body"], 0)
        self.guard.budget.charge(_Client(0.0), 600 * KB)
        await self.until(lambda: self.guard.refusals.counts["refused_slow_body"])
        answer = await self.read_all(reader)
        self.assertTrue(answer.startswith(b"HTTP/1.1 408"), answer)

    async def test_a_client_that_does_not_read_is_closed(self) -> None:
        await self.start(None)
        self.handler.go.set()
        self.handler.idle_s = 0.3
        _, writer = await self.open(post("/large", 0) * 3)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await self.until(lambda: self.handler.seen and not self.server.connections)
        self.assertEqual(self.handler.seen, [b"/large"])
        self.assertEqual(self.guard.refusals.counts["closed_answer_not_read"], 1)

    async def test_a_whole_answer_without_framing_is_not_waited_for_without_end(self) -> None:
        await self.start(None)
        self.handler.go.set()
        self.handler.idle_s = 0.3
        _, writer = await self.open(post("/unframed", 0))
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await self.until(lambda: self.handler.seen and not self.server.connections)
        self.assertEqual(self.guard.refusals.counts["closed_answer_not_read"], 1)

    async def open_unread(self, data: bytes) -> tuple[asyncio.StreamReader, ClientConnection]:
        """Send requests and read nothing until the first answer fills the buffers."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * KB)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.port))
        reader, writer = await asyncio.open_connection(sock=sock)
        self.addCleanup(writer.transport.abort)
        self.writers.append(writer)
        writer.write(data)
        await self.until(lambda: self.handler.seen)
        conn = next(iter(self.server.connections))
        await self.until(lambda: not conn._writable.is_set())
        await asyncio.sleep(0.6)
        return reader, conn

    async def test_a_request_behind_an_unread_answer_is_not_refused_and_then_run(self) -> None:
        # Guards against a 503 for a request that runs all the same.
        for name, closes in (("new connections", False), ("closed all the same", True)):
            with self.subTest(name):
                await self.start(None, ConnectionBounds(2, 2))
                self.handler.go.set()
                reader, conn = await self.open_unread(post("/large", 0) + post("/once", 0))
                # The task goes on while the connection still has bytes to send.
                assert conn.transport is not None
                conn.transport.set_write_buffer_limits(8 * MB, 4 * MB)
                if closes:
                    conn.make_room()
                else:
                    await self.open(b"")
                    refused, _ = await self.open(post("/new", 0))
                    self.assertTrue((await self.read_all(refused)).startswith(b"HTTP/1.1 503"))
                answer = b""
                with contextlib.suppress(TimeoutError, ConnectionError):
                    while data := await asyncio.wait_for(reader.read(MB), 1.0):
                        answer = (answer + data)[-300:]
                statuses = re.findall(rb"HTTP/1.1 (\d+)", answer)
                self.assertEqual(statuses, [b"503" if closes else b"200"])
                self.assertEqual(b"/once" in self.handler.seen, not closes)

    async def test_an_answer_that_is_read_steadily_is_not_cut_by_a_stop(self) -> None:
        await self.start(None)
        self.handler.go.set()
        reader, _ = await self.open_unread(post("/large", 0))
        self.handler.idle_s = 0.3
        await self.server.close()
        loop = asyncio.get_running_loop()
        started, size = loop.time(), 0
        while data := await reader.read(64 * KB):
            size += len(data)
            await asyncio.sleep(0.005)
        self.assertGreater(loop.time() - started, 2 * self.handler.idle_s)
        self.assertGreater(size, 16 * MB)

    async def test_requests_sent_ahead_give_way_to_others(self) -> None:
        # Guards against a read of thousands of requests that are parsed and served in one turn.
        await self.start(None)
        self.handler.go.set()
        request = b"GET / HTTP/1.1\r\n\r\n"
        await self.open(request * 3000)
        await self.until(lambda: self.server.connections)
        conn = next(iter(self.server.connections))
        served = most_served = most_waiting = 0
        while served < 3000:
            await asyncio.sleep(0)
            most_served = max(most_served, len(self.handler.seen) - served)
            served = len(self.handler.seen)
            most_waiting = max(most_waiting, len(conn._receiver.messages))
        self.assertLessEqual(most_served, 2)
        self.assertLessEqual(most_waiting, MAX_PIPELINED + 1 + SLICE_BYTES // len(request))

    async def test_unfinished_heads_are_held(self) -> None:
        await self.start(None)
        self.handler.header_bytes = MB
        for _ in range(20):
            await self.open(b"GET / HTTP/1.1\r\nX: " + b"y" * (63 * KB))
        await self.until(lambda: self.guard.budget.held >= 20 * 63 * KB)

    async def test_a_head_is_read_while_expensive_bodies_rest(self) -> None:
        # Guards against a 408 for a client whose head the node itself did not read.
        await self.start(None)
        self.handler.go.set()
        self.guard.pacer.resume_at(asyncio.get_running_loop().time(), 100.0)
        reader, writer = await self.open(b"GET / HTTP/1.1\r\nX: y")
        for data in (b"y" * (9 * KB), b"y" * (3 * KB) + b"\r\n\r\n"):
            await asyncio.sleep(0.05)
            writer.write(data)
        async with asyncio.timeout(MAX_REST_S / 2):
            self.assertTrue((await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200"))

    async def test_unread_answers_are_given_up_for_memory(self) -> None:
        await self.start(24 * MB)
        self.handler.go.set()
        for _ in range(2):
            _, writer = await self.open(post("/large", 0))
            writer.transport.pause_reading()  # type: ignore[attr-defined]
        await self.until(lambda: len(self.handler.seen) == 2 and len(self.server.connections) < 2)
        self.assertLess(self.guard.budget.held, 24 * MB)

    async def test_connections_in_use_stay_and_idle_ones_make_room(self) -> None:
        await self.start(None, ConnectionBounds(3, 3))
        served, _ = await self.open(post("/a", 0))
        idle, _ = await self.open(b"")
        arriving, _ = await self.open(post("/b", 10) + b"x")
        await self.until(lambda: len(self.server.connections) == 3 and self.handler.seen)
        refused, _ = await self.open(post("/c", 0))
        self.assertTrue((await self.read_all(refused)).startswith(b"HTTP/1.1 503"))
        await asyncio.sleep(0.6)
        fourth, _ = await self.open(post("/d", 0))
        self.assertEqual(await self.read_all(idle), b"")
        self.assertEqual(self.guard.refusals.counts["closed_for_new_connection"], 1)
        last, _ = await self.open(post("/e", 0))
        self.assertTrue((await self.read_all(arriving)).startswith(b"HTTP/1.1 503"))
        self.handler.go.set()
        for reader in (served, fourth, last):
            self.assertTrue((await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.handler.seen, [b"/a", b"/d", b"/e"])

    async def test_a_single_address_may_have_all_connections(self) -> None:
        # Guards against idle connections that are closed although there is room.
        total = 20
        for per_address in (15, 1):
            with self.subTest(per_address=per_address):
                await self.start(None, ConnectionBounds(total, per_address))
                for _ in range(15):
                    await self.open(b"")
                await asyncio.sleep(0.6)
                for _ in range(total - 15):
                    await self.open(b"")
                await self.until(lambda: len(self.server.connections) == total)
                self.assertEqual(self.guard.refusals.counts, {})
                await self.open(b"")
                await self.until(lambda: self.guard.refusals.counts)
                await asyncio.sleep(0.05)
                self.assertEqual(self.guard.refusals.counts, {"closed_for_new_connection": 1})
                self.assertEqual(len(self.server.connections), total)

    async def test_a_client_that_sends_a_body_reads_why_it_was_refused(self) -> None:
        # Guards against a 503 that is lost because the rest of the body resets the connection.
        await self.start(None, ConnectionBounds(4, 4))
        reader, writer = await self.open(post("/a", 100 * KB) + bytes(KB))
        await self.until(lambda: self.server.connections)
        await asyncio.sleep(0.6)
        for _ in range(4):
            await self.open(b"")
        for _ in range(20):
            writer.write(bytes(KB))
            await writer.drain()
            await asyncio.sleep(0.01)
        async with asyncio.timeout(2.0):
            self.assertTrue((await reader.read(-1)).startswith(b"HTTP/1.1 503"))
        self.assertEqual(self.handler.seen, [])

    async def test_a_refused_head_is_not_kept(self) -> None:
        await self.start(None)
        reader, _ = await self.open(b"GET / HTTP/1.1\r\nX: " + b"y" * (63 * KB))
        await self.until(lambda: self.server.connections)
        conn = next(iter(self.server.connections))
        self.assertTrue((await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 431"))
        self.assertIsNone(conn._parser)
        self.assertEqual(self.guard.budget.held, CONNECTION_BYTES)

    async def test_a_connection_is_idle_from_the_end_of_its_answer(self) -> None:
        # Guards against a connection that is closed as idle just when its client has read.
        await self.start(None)
        self.handler.go.set()
        reader, conn = await self.open_unread(post("/large", 0))
        size = 0
        while size < 16 * MB:
            size += len(await reader.read(MB))
        await self.until(lambda: conn._writable.is_set())
        await asyncio.sleep(0.02)
        self.assertLess(conn.state(asyncio.get_running_loop().time()).idle_s, 0.5)
        self.server.close_idle()
        await asyncio.sleep(0.02)
        self.assertIn(conn, self.server.connections)


if __name__ == "__main__":
    unittest.main()
