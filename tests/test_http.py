"""Tests of the HTTP server and the connection pool on the level of bytes."""

import asyncio
import contextlib
import re
import unittest
from dataclasses import dataclass

from lacewinghub.httpclient import (
    ConnectionBroken,
    ConnectionFailed,
    ConnectionPool,
    ConnectLimits,
)
from lacewinghub.httpmessage import Incoming, end_to_end
from lacewinghub.httpserver import HttpHandler, HttpLimits, HttpServer
from lacewinghub.responder import Responder

REQUEST = b"POST /a/b?c=%20d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"

PIECE_BYTES = 64 * 1024
UNFRAMED_PIECES = 256


class Echo(HttpHandler):
    """Returns the body that it received, and records the requests."""

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
        elif incoming.target in (b"/broken", b"/error"):
            out.start(200, [])
            await out.write(b"one")
            if incoming.target == b"/error":
                raise ValueError("an error in the handler")
        elif incoming.target.startswith(b"/unframed"):
            out.start(200, [], framed=False)
            for _ in range(UNFRAMED_PIECES):
                await out.write(bytes(PIECE_BYTES))
            if incoming.target == b"/unframed":
                out.finish()
        else:
            out.send(200, [], body)


class ServerCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.handler = Echo()
        self.server = HttpServer(self.handler)
        self.port = await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.close)

    async def exchange(self, data: bytes, wait_s: float = 2.0) -> bytes:
        """Send bytes and read until the server closes the connection or ``wait_s`` have passed."""
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
        # Guards against request smuggling and against clients that exhaust the memory of a node.
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
                response = await self.exchange(data)
                self.assertTrue(response.startswith(b"HTTP/1.1 " + status), response)
                self.assertIn(b"connection: close", response)
                self.assertEqual(self.handler.seen, [])

    async def test_target_and_body_arrive_as_sent(self) -> None:
        chunked = (
            b"POST /a/b?c=%20d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"
        )
        for name, data in [("length", REQUEST), ("chunks", chunked)]:
            with self.subTest(name):
                self.handler.seen.clear()
                response = await self.exchange(data, 0.1)
                self.assertEqual(self.handler.seen, [(b"POST", b"/a/b?c=%20d", b"abc")])
                self.assertTrue(response.endswith(b"\r\n\r\nabc"))

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        response = await self.exchange(REQUEST * 5, 0.3)
        self.assertEqual(response.count(b"HTTP/1.1 200 OK"), 5)
        self.assertEqual(len(self.handler.seen), 5)

    async def test_an_interim_response_waits_for_the_turn_of_its_request(self) -> None:
        # Guards against 100 Continue in the body of the answer to another request.
        head = REQUEST[: -len(b"abc")].removesuffix(b"\r\n")
        expecting = head + b"Expect: 100-continue\r\n\r\n"
        pieces = b"GET /pieces HTTP/1.1\r\nHost: x\r\n\r\n"
        cases = [
            ("alone", [expecting, b"abc"], [b"100", b"200"]),
            ("behind a request", [pieces + expecting, b"abc"], [b"200", b"100", b"200"]),
            ("during a request", [pieces, expecting, b"abc"], [b"200", b"100", b"200"]),
            ("with its body", [pieces + expecting + b"abc"], [b"200", b"200"]),
        ]
        for name, parts, statuses in cases:
            with self.subTest(name):
                self.handler.hold.clear()
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                for part in parts:
                    if part == b"abc":  # The request before has been answered.
                        self.handler.hold.set()
                        await asyncio.sleep(0.05)
                    writer.write(part)
                    await asyncio.sleep(0.05)
                self.handler.hold.set()
                answer = await asyncio.wait_for(reader.read(-1), 3.0)
                writer.close()
                self.assertEqual(re.findall(rb"HTTP/1.1 (\d+)", answer), statuses)
                if parts[0].startswith(pieces):
                    self.assertIn(b"\r\n\r\n3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n", answer)
                self.assertTrue(answer.endswith(b"abc"))

    async def test_an_unfinished_response_does_not_look_complete(self) -> None:
        # Guards against presenting a truncated response as a complete one.
        complete = await self.exchange(b"GET /pieces HTTP/1.1\r\nHost: x\r\n\r\n", 0.2)
        self.assertTrue(complete.endswith(b"0\r\n\r\n"))
        for target in (b"/broken", b"/error"):
            with self.subTest(target):
                broken = await self.exchange(b"GET %b HTTP/1.1\r\nHost: x\r\n\r\n" % target)
                self.assertIn(b"one", broken)
                self.assertFalse(broken.endswith(b"0\r\n\r\n"))

    async def test_a_response_that_ends_with_its_connection_is_reset_unless_it_is_whole(
        self,
    ) -> None:
        # Guards against a truncated response whose connection is closed in order, and against a
        # whole one of which a reset takes the last bytes from a client that reads slowly.
        for target, whole in ((b"/unframed", True), (b"/unframed-broken", False)):
            with self.subTest(target):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET %b HTTP/1.1\r\nHost: x\r\n\r\n" % target)
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.2)
                size, was_reset = 0, False
                try:
                    while data := await reader.read(65536):
                        size += len(data)
                        await asyncio.sleep(0.001)
                except ConnectionResetError:
                    was_reset = True
                writer.close()
                self.assertEqual(was_reset, not whole)
                if whole:
                    self.assertEqual(size, UNFRAMED_PIECES * PIECE_BYTES)

    async def test_an_http_1_0_client_gets_a_length(self) -> None:
        # Guards against chunks for a client that does not understand them.
        complete = await self.exchange(b"GET /pieces HTTP/1.0\r\n\r\n")
        self.assertIn(b"content-length: 6\r\n", complete)
        self.assertTrue(complete.endswith(b"\r\n\r\nonetwo"))
        for target in (b"/broken", b"/error"):
            with self.subTest(target):
                request = b"GET %b HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" % target
                self.assertEqual(await self.exchange(request), b"")

    async def test_a_disconnect_cancels_the_request(self) -> None:
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
        started = loop.time()
        await self.exchange(REQUEST)
        self.assertGreater(loop.time() - started, 0.8)
        self.assertLess(loop.time() - started, 2.0)

    async def test_the_idle_time_counts_from_the_end_of_the_response(self) -> None:
        # Guards against a connection that is closed just when its client sends the next request.
        loop = asyncio.get_running_loop()
        self.handler.hold.clear()
        loop.call_later(0.8, self.handler.hold.set)
        started = loop.time()
        await self.exchange(REQUEST, wait_s=3.0)
        self.assertGreater(loop.time() - started, 0.8 + 0.8)

    async def test_a_stop_keeps_new_connections_for_their_first_request(self) -> None:
        # Guards against losing a request because its new connection is closed at once.
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.sleep(0.02)
        self.server.close_idle()
        writer.write(REQUEST)
        self.assertTrue((await reader.read(100)).startswith(b"HTTP/1.1 200"))
        await asyncio.sleep(0.55)
        self.server.close_idle()
        self.assertEqual(await reader.read(100), b"")
        writer.close()

    async def test_responses_during_a_stop_close_their_connections(self) -> None:
        self.handler.closing = True
        response = await self.exchange(REQUEST)
        self.assertIn(b"connection: close", response)


@dataclass(frozen=True, slots=True)
class Script:
    """What a scripted endpoint sends to one request, and how it then ends the connection."""

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
        """Send a request and return the complete body."""
        conn = await self.pool.get(self.address, fresh)
        conn.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            response = await conn.read_head()
            body = b""
            while data := await conn.read_body(response):
                body += data
        except ConnectionBroken:
            conn.close()
            raise
        conn.discard(response)
        self.pool.put(self.address, conn, response)
        return body


class TestClient(ClientCase):
    async def test_a_head_that_is_cut_anywhere_is_no_response(self) -> None:
        # Guards against a runner that closes inside the head of an answer, which is then taken for
        # a whole answer with an empty or short body.
        heads = [
            b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\nSeal: x\r\n\r\n",
            b"HTTP/1.1 200 OK\nSeal: x\n\n",
            b"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nSeal: x\r\n\r\n",
        ]
        for head in heads:
            for length in range(0, len(head), 3):
                self.scripts.append(Script(head[:length]))
                with self.subTest(head=head[:length]), self.assertRaises(ConnectionBroken):
                    await self.ask()

    async def test_a_response_is_complete_only_if_its_framing_says_so(self) -> None:
        # Guards against taking a truncated response of an endpoint for a complete one.
        ok = b"HTTP/1.1 200 OK\r\n"
        cases: list[tuple[str, Script, bytes | None]] = [
            ("length", Script(ok + b"Content-Length: 3\r\n\r\nabc"), b"abc"),
            ("length, truncated", Script(ok + b"Content-Length: 3\r\n\r\nab"), None),
            (
                "chunks",
                Script(ok + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
                b"abc",
            ),
            (
                "chunks, truncated",
                Script(ok + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
                None,
            ),
            ("unframed", Script(ok + b"\r\nabc"), b"abc"),
            ("unframed, reset", Script(ok + b"\r\nabc", reset=True), None),
            ("invalid response", Script(b"\x01\x02\r\n\r\n"), None),
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
        # Guards against returning a response to the client of another request.
        good = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 1\r\n\r\n"
        cases = [("clean", b"a", 1), ("surplus response", b"a" + good + b"b", 2)]
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

    async def test_a_failed_connect_is_distinguished_from_a_lost_response(self) -> None:
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
        # Guards against a retry on the closed connection of a refused attempt.
        good = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 1\r\n\r\na"
        self.scripts = [Script(good, close=False)] * 2
        conn = await self.pool.get(self.address, fresh=False)
        conn.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        response = await conn.read_head()
        while await conn.read_body(response):
            pass
        conn.discard(response)
        self.pool.put(self.address, conn, response)
        conn.close()
        self.assertEqual(await self.ask(), b"a")
        self.assertEqual(self.connections, 2)

    async def test_a_response_that_this_node_breaks_off_is_not_complete(self) -> None:
        # Guards against taking the node's own closing of a connection, as where a request is
        # withdrawn from its endpoint, for the end of a response without framing.
        heads = [b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"]
        for head in heads:
            for body in (b"", b"abc"):
                with self.subTest(head=head, body=body):
                    self.scripts = [Script(head + body, close=False)]
                    conn = await self.pool.get(self.address, fresh=True)
                    conn.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                    response = await conn.read_head()
                    if body:
                        self.assertEqual(await conn.read_body(response), body)
                    conn.close()
                    with self.assertRaises(ConnectionBroken):
                        await conn.read_body(response)
