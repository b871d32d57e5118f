"""Bytes that callers and endpoints exchange with the HTTP server and the connection pool."""

import asyncio
import contextlib
import unittest
from dataclasses import dataclass

from lacewinghub.httpclient import (
    ConnectionBroken,
    ConnectionFailed,
    ConnectionPool,
    ConnectLimits,
)
from lacewinghub.httpmessage import Incoming, end_to_end
from lacewinghub.httpserver import HttpHandler, HttpLimits, HttpServer, Responder

REQUEST = b"POST /a/b?c=%20d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"


class Echo(HttpHandler):
    """Answers with what it received."""

    def __init__(self) -> None:
        self.seen: list[tuple[bytes, bytes, bytes]] = []
        self.cancelled = 0
        self.hold = asyncio.Event()
        self.hold.set()
        self.set_limits = HttpLimits(header_bytes=300, body_bytes=50, header_s=0.2, idle_s=0.9)
        self.closing = False

    def limits(self) -> HttpLimits:
        return self.set_limits

    def is_closing(self) -> bool:
        return self.closing

    async def handle(self, incoming: Incoming, out: Responder) -> None:
        body = incoming.take_body()
        self.seen.append((incoming.method, incoming.target, body))
        try:
            await self.hold.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if incoming.target == b"/pieces":
            out.start(200, [])
            await out.write(b"one")
            await out.write(b"two")
            out.finish()
        elif incoming.target == b"/broken":
            out.start(200, [])
            await out.write(b"one")
        else:
            out.send(200, [], body)


class ServerCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.handler = Echo()
        self.server = HttpServer(self.handler)
        self.port = await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.close)

    async def exchange(self, data: bytes, wait_s: float = 2.0) -> bytes:
        """Send bytes and read until the server ends the connection or is silent."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        received = b""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while piece := await reader.read(65536):
                    received += piece
        writer.close()
        return received


class TestServer(ServerCase):
    async def test_malformed_and_oversized_requests_are_refused_before_they_run(self) -> None:
        # Guards against smuggled requests and against callers that fill the memory of a node.
        cases = [
            ("no request", b"nonsense\r\n\r\n", b"400"),
            (
                "two framings",
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                b"400",
            ),
            (
                "two lengths",
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                b"Content-Length: 5\r\n\r\nabc",
                b"400",
            ),
            ("headers too large", b"GET / HTTP/1.1\r\nX: " + b"y" * 400 + b"\r\n\r\n", b"431"),
            (
                "body too large",
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60\r\n\r\n" + b"z" * 60,
                b"413",
            ),
            (
                "chunks too large",
                b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3c\r\n" + b"z" * 60 + b"\r\n0\r\n\r\n",
                b"413",
            ),
            ("headers too slow", b"GET / HTTP/1.1\r\nX: y", b"408"),
            ("body too slow", b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab", b"408"),
        ]
        for name, data, status in cases:
            with self.subTest(name):
                answer = await self.exchange(data)
                self.assertTrue(answer.startswith(b"HTTP/1.1 " + status), answer)
                self.assertIn(b"connection: close", answer)
                self.assertEqual(self.handler.seen, [])

    async def test_target_and_body_arrive_as_sent(self) -> None:
        chunked = (
            b"POST /a/b?c=%20d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"
        )
        for name, data in [("length", REQUEST), ("chunks", chunked)]:
            with self.subTest(name):
                self.handler.seen.clear()
                answer = await self.exchange(data, 0.1)
                self.assertEqual(self.handler.seen, [(b"POST", b"/a/b?c=%20d", b"abc")])
                self.assertTrue(answer.endswith(b"\r\n\r\nabc"))

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        answer = await self.exchange(REQUEST * 5, 0.3)
        self.assertEqual(answer.count(b"HTTP/1.1 200 OK"), 5)
        self.assertEqual(len(self.handler.seen), 5)

    async def test_an_answer_that_was_not_finished_does_not_look_complete(self) -> None:
        # Guards against presenting a truncated answer as a whole one.
        whole = await self.exchange(b"GET /pieces HTTP/1.1\r\nHost: x\r\n\r\n", 0.2)
        broken = await self.exchange(b"GET /broken HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertTrue(whole.endswith(b"0\r\n\r\n"))
        self.assertIn(b"one", broken)
        self.assertFalse(broken.endswith(b"0\r\n\r\n"))

    async def test_a_caller_that_leaves_cancels_its_request(self) -> None:
        self.handler.hold.clear()
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(REQUEST)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.handler.seen), 1)
        writer.close()
        await asyncio.sleep(0.05)
        self.assertEqual(self.handler.cancelled, 1)

    async def test_idle_connections_end_after_the_limit_in_force(self) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await self.exchange(REQUEST)
        self.assertGreater(loop.time() - begun, 0.8)
        self.assertLess(loop.time() - begun, 2.0)

    async def test_a_stop_leaves_new_connections_to_their_first_request(self) -> None:
        # Guards against requests that are lost to the end of a connection which was just made.
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.sleep(0.02)
        self.server.close_idle()
        writer.write(REQUEST)
        self.assertTrue((await reader.read(100)).startswith(b"HTTP/1.1 200"))
        await asyncio.sleep(0.55)
        self.server.close_idle()
        self.assertEqual(await reader.read(100), b"")
        writer.close()

    async def test_answers_during_a_stop_end_their_connections(self) -> None:
        self.handler.closing = True
        answer = await self.exchange(REQUEST)
        self.assertIn(b"connection: close", answer)


@dataclass(frozen=True, slots=True)
class Script:
    """What a scripted endpoint sends to a request, and whether it resets the connection."""

    data: bytes
    reset: bool = False
    close: bool = True


class ClientCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.scripts: list[Script] = []
        self.connections = 0
        self.endpoint = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addCleanup(self.endpoint.close)
        self.address = f"127.0.0.1:{self.endpoint.sockets[0].getsockname()[1]}"
        self.pool = ConnectionPool(ConnectLimits(connect_s=0.3))
        self.addCleanup(self.pool.close)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        while self.scripts and await reader.read(65536):
            script = self.scripts.pop(0)
            writer.write(script.data)
            await writer.drain()
            await asyncio.sleep(0.02)
            if script.reset:
                import socket
                import struct

                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
                return
            if script.close:
                break
        writer.close()

    async def ask(self, fresh: bool = False) -> bytes:
        """Send a request and return the whole body."""
        conn = await self.pool.get(self.address, fresh)
        conn.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            answer = await conn.head()
            body = b""
            while data := await conn.read(answer):
                body += data
        except ConnectionBroken:
            conn.close()
            raise
        conn.done(answer)
        self.pool.put(self.address, conn, answer)
        return body


class TestClient(ClientCase):
    async def test_an_answer_is_whole_only_if_its_framing_says_so(self) -> None:
        # Guards against taking a broken answer of an endpoint for a complete one.
        ok = b"HTTP/1.1 200 OK\r\n"
        cases: list[tuple[str, Script, bytes | None]] = [
            ("length", Script(ok + b"Content-Length: 3\r\n\r\nabc"), b"abc"),
            ("length cut", Script(ok + b"Content-Length: 3\r\n\r\nab"), None),
            (
                "chunks",
                Script(ok + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
                b"abc",
            ),
            ("chunks cut", Script(ok + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), None),
            ("unframed", Script(ok + b"\r\nabc"), b"abc"),
            ("unframed, reset", Script(ok + b"\r\nabc", reset=True), None),
            ("no answer", Script(b"\x01\x02\r\n\r\n"), None),
            ("nothing", Script(b""), None),
            (
                "interim",
                Script(b"HTTP/1.1 102 Processing\r\n\r\n" + ok + b"Content-Length: 1\r\n\r\na"),
                b"a",
            ),
        ]
        for name, script, body in cases:
            with self.subTest(name):
                self.scripts = [script]
                if body is None:
                    with self.assertRaises(ConnectionBroken):
                        await self.ask()
                else:
                    self.assertEqual(await self.ask(), body)

    async def test_a_connection_with_surplus_bytes_is_not_used_again(self) -> None:
        # Guards against handing an answer to the caller of another request.
        good = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 1\r\n\r\n"
        cases = [("clean", b"a", 1), ("surplus answer", b"a" + good + b"b", 2)]
        for name, tail, connections in cases:
            with self.subTest(name):
                self.pool.close()
                self.connections = 0
                self.scripts = [Script(good + tail, close=False), Script(good + b"c", close=False)]
                await self.ask()
                await asyncio.sleep(0.05)
                if connections == 2:
                    self.scripts = [Script(good + b"c")]
                self.assertEqual(await self.ask(), b"c")
                self.assertEqual(self.connections, connections)

    async def test_a_request_that_may_run_once_gets_a_new_connection(self) -> None:
        good = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 1\r\n\r\na"
        self.scripts = [Script(good, close=False)] * 2
        await self.ask()
        await self.ask(fresh=True)
        self.assertEqual(self.connections, 2)

    async def test_a_failed_connect_is_told_apart_from_a_lost_answer(self) -> None:
        self.endpoint.close()
        await self.endpoint.wait_closed()
        with self.assertRaises(ConnectionFailed):
            await self.pool.get(self.address, fresh=True)


class TestHeaders(unittest.TestCase):
    def test_headers_of_one_connection_are_not_passed_on(self) -> None:
        headers = [
            (b"connection", b"keep-alive, X-Hop"),
            (b"keep-alive", b"timeout=3"),
            (b"transfer-encoding", b"chunked"),
            (b"content-length", b"3"),
            (b"x-hop", b"1"),
            (b"x-other", b"2"),
            (b"secret", b"3"),
        ]
        passed = end_to_end(headers, frozenset((b"secret",)))
        self.assertEqual(passed, [(b"x-other", b"2")])


class TestClosedConnection(ClientCase):
    async def test_a_connection_that_is_being_closed_is_not_used_again(self) -> None:
        # Guards against a repeat on the connection of a refused attempt that was closed.
        good = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 1\r\n\r\na"
        self.scripts = [Script(good, close=False)] * 2
        conn = await self.pool.get(self.address, fresh=False)
        conn.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = await conn.head()
        while await conn.read(answer):
            pass
        conn.done(answer)
        self.pool.put(self.address, conn, answer)
        conn.close()
        self.assertEqual(await self.ask(), b"a")
        self.assertEqual(self.connections, 2)
