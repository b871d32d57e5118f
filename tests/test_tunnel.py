"""Tests of tunnels to endpoints through another node, over real connections."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest.mock import patch

from lacewinghub.connector import ConnectionFailed, ConnectionProtocol, DirectConnector
from lacewinghub.tunnel import (
    HELLO_BYTES,
    MAGIC,
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_BYTES,
    Frame,
    FrameDecoder,
    FrameKind,
    RefusalReason,
    Statement,
    TunnelError,
    TunnelLost,
    TunnelRefusal,
    encode_body,
    encode_data,
    encode_frame,
    parse_open,
    sign,
)
from lacewinghub.tunnel_client import TunnelClient, TunnelRefused
from lacewinghub.tunnel_server import DESCRIPTORS_PER_TUNNEL, TunnelServer, TunnelTargets

KEY = b"key of the nodes"
ENDPOINT = "e-1"
CLOSE_S = 0.5
NONCE = bytes(16)


class TestFrames(unittest.TestCase):
    """Guards against frames that are lost, joined or unbounded."""

    def test_frames_arrive_in_pieces_of_any_size(self) -> None:
        data = bytes(range(256)) * 200
        sent = b"".join([*encode_data(data), encode_frame(FrameKind.ENDED)])
        for size in (1, 3, 1000, len(sent)):
            with self.subTest(size):
                decoder = FrameDecoder()
                frames: list[Frame] = []
                for start in range(0, len(sent), size):
                    frames += decoder.feed(sent[start : start + size])
                self.assertEqual(b"".join(item.data for item in frames), data)
                self.assertEqual(frames[-1].kind, FrameKind.ENDED)

    def test_truncated_frames_are_not_passed_on(self) -> None:
        frame = encode_frame(FrameKind.DATA, b"whole")
        for size in range(len(frame)):
            self.assertEqual(FrameDecoder().feed(frame[:size]), [])

    def test_invalid_frames(self) -> None:
        cases = {
            "too long": encode_frame(FrameKind.DATA, bytes(MAX_FRAME_BYTES + 1)),
            "length alone is too long": b"\x04\xff\xff\xff\xff",
            "unknown kind": b"\x63\x00\x00\x00\x00",
        }
        for label, data in cases.items():
            with self.subTest(label), self.assertRaises(TunnelError):
                FrameDecoder().feed(data)

    def test_a_request_proves_the_key(self) -> None:
        good = sign(KEY, NONCE, "n", ENDPOINT, "127.0.0.1:1")
        cases = {
            "wrong key": sign(b"another", NONCE, "n", ENDPOINT, "127.0.0.1:1"),
            "other nonce": sign(KEY, bytes([1] * 16), "n", ENDPOINT, "127.0.0.1:1"),
            "other endpoint": good.model_copy(update={"endpoint": "e-2"}),
            "other address": good.model_copy(update={"address": "127.0.0.1:2"}),
            "other node": good.model_copy(update={"node": "m"}),
            "shifted fields": good.model_copy(update={"node": "", "endpoint": "n" + ENDPOINT}),
        }
        frame = Frame(FrameKind.OPEN, good.model_dump_json().encode())
        self.assertEqual(parse_open(KEY, NONCE, frame), good)
        for label, request in cases.items():
            frame = Frame(FrameKind.OPEN, request.model_dump_json().encode())
            with self.subTest(label), self.assertRaises(TunnelError):
                parse_open(KEY, NONCE, frame)
        for data in (b"", b"{}", b"\xff", b'{"node":1}'):
            with self.subTest(data), self.assertRaises(TunnelError):
                parse_open(KEY, NONCE, Frame(FrameKind.OPEN, data))


class Targets(TunnelTargets):
    """Targets of which a test decides."""

    def __init__(self) -> None:
        self.answer: TunnelRefusal | None = None
        self.statements: list[tuple[str, Statement]] = []

    def refusal(self, endpoint: str, address: str) -> TunnelRefusal | None:
        return self.answer

    def explain(self, address: str, exc: ConnectionFailed) -> RefusalReason:
        timed_out = exc.details.get("timeout", False)
        return RefusalReason.TIMED_OUT if timed_out else RefusalReason.CONNECTION_REFUSED

    def on_statement(self, endpoint: str, statement: Statement) -> None:
        self.statements.append((endpoint, statement))


class Receiver(ConnectionProtocol):
    """Keeps what arrives through a tunnel."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.ended = asyncio.Event()
        self.exc: Exception | None = None
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data

    def connection_lost(self, exc: Exception | None) -> None:
        assert not self.ended.is_set(), "told twice"
        self.exc = exc
        self.ended.set()

    def close(self) -> None:
        self.transport.abort()


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class TunnelCase(unittest.IsolatedAsyncioTestCase):
    """A node that serves tunnels, and an endpoint."""

    async def asyncSetUp(self) -> None:
        self.targets = Targets()
        self.server = TunnelServer(KEY, self.targets, DirectConnector())
        port = await self.server.start("127.0.0.1", 0)
        self.tunnel_address = f"127.0.0.1:{port}"
        self.client = TunnelClient(KEY, "n-1")
        self.serve: Serve = self._echo
        self.endpoint = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.endpoint.sockets[0].getsockname()[1]}"
        self.endpoint_ended = asyncio.Event()

    async def asyncTearDown(self) -> None:
        await self.server.close()
        self.endpoint.close()

    async def open(self, client: TunnelClient | None = None, **members: Any) -> Receiver:
        """Open a tunnel to the endpoint."""
        address = members.pop("address", self.address)
        opener = client or self.client
        return await opener.open(Receiver, "n-2", self.tunnel_address, ENDPOINT, address, **members)

    async def until(self, check: Callable[[], bool], limit_s: float = CLOSE_S) -> None:
        """Wait until a check holds."""
        async with asyncio.timeout(limit_s):
            while not check():
                await asyncio.sleep(0.005)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self.serve(reader, writer)
        except ConnectionError:
            pass
        finally:
            self.endpoint_ended.set()
            writer.close()

    @staticmethod
    async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()


class TestConnections(TunnelCase):
    """Guards against ends of tunnels that look like other ends, or reach the other side late."""

    async def test_bytes_pass_both_ways_in_order(self) -> None:
        tunnel = await self.open()
        self.assertEqual(tunnel.transport.get_extra_info("via"), "n-2")
        data = bytes(range(251)) * 4000
        tunnel.transport.write(data)
        await self.until(lambda: len(tunnel.data) >= len(data), 5.0)
        self.assertEqual(bytes(tunnel.data), data)

    async def test_how_the_endpoint_ends_its_connection_is_told_apart(self) -> None:
        async def end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"answer")
            await writer.drain()

        async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await end(reader, writer)
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")  # SO_LINGER of 0 s.
            writer.transport.abort()

        for serve, expected in ((end, type(None)), (reset, ConnectionResetError)):
            with self.subTest(serve.__name__):
                self.serve = serve
                tunnel = await self.open()
                await asyncio.wait_for(tunnel.ended.wait(), CLOSE_S)
                self.assertEqual(bytes(tunnel.data), b"answer")
                self.assertIs(type(tunnel.exc), expected)

    async def test_the_loss_of_the_other_node_is_no_end_in_order(self) -> None:
        tunnel = await self.open()
        for conn in list(self.server._connections):
            conn._tcp.close()  # In order, as by the operating system of a node that was killed.
        await asyncio.wait_for(tunnel.ended.wait(), CLOSE_S)
        self.assertIsInstance(tunnel.exc, TunnelLost)
        await asyncio.wait_for(self.endpoint_ended.wait(), CLOSE_S)

    async def test_a_client_that_leaves_closes_the_endpoints_connection(self) -> None:
        tunnel = await self.open()
        tunnel.transport.write(b"request")
        await self.until(lambda: bool(tunnel.data))
        tunnel.close()
        await asyncio.wait_for(self.endpoint_ended.wait(), CLOSE_S)
        await self.until(lambda: self.server.open_tunnels == 0)
        self.assertIsNone(tunnel.exc)

    async def test_a_cancelled_attempt_leaves_nothing(self) -> None:
        for delay_s in (0.0, 0.001, 0.003, 0.01):
            task = asyncio.create_task(self.open())
            await asyncio.sleep(delay_s)
            if not task.cancel():
                task.result().close()
            await asyncio.wait({task})
            if not task.cancelled():
                task.result().close()
        await self.until(lambda: not self.server._connections)

    async def test_a_side_that_does_not_read_slows_the_endpoint_down(self) -> None:
        sent = 0

        async def flood(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            while sent < 64 * 1024 * 1024:
                writer.write(bytes(65536))
                await writer.drain()
                sent += 65536

        self.serve = flood
        tunnel = await self.open()
        tunnel.transport.pause_reading()
        await asyncio.sleep(0.3)
        paused_at = sent
        await asyncio.sleep(0.3)
        self.assertEqual(sent, paused_at)
        unsent = sum(conn._tcp.get_write_buffer_size() for conn in self.server._connections)
        self.assertLess(unsent, 512 * 1024)
        tunnel.transport.resume_reading()
        await self.until(lambda: sent > paused_at + 1024 * 1024, 5.0)
        tunnel.close()

    @patch("lacewinghub.httpclient.USER_TIMEOUT_MS", 500)
    async def test_a_caller_that_reads_nothing_for_long_gets_the_whole_answer(self) -> None:
        size = 32 * 1024 * 1024

        async def send_all(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(bytes(size))
            await writer.drain()

        self.serve = send_all
        tunnel = await self.open()
        tunnel.transport.pause_reading()
        await asyncio.sleep(2.0)  # Longer than the time-out for a dead host.
        tunnel.transport.resume_reading()
        await asyncio.wait_for(tunnel.ended.wait(), 5.0)
        self.assertIsNone(tunnel.exc)
        self.assertEqual(len(tunnel.data), size)

    async def test_an_endpoint_that_does_not_read_slows_the_other_node_down(self) -> None:
        async def ignore(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(1.0)

        self.serve = ignore
        tunnel = await self.open()
        for _ in range(200):
            tunnel.transport.write(bytes(65536))
        await asyncio.sleep(0.3)
        held = sum(
            conn._endpoint.tcp.get_write_buffer_size()
            for conn in self.server._connections
            if conn._endpoint is not None
        )
        self.assertLess(held, 1024 * 1024)
        tunnel.close()

    async def test_statements_reach_the_other_node(self) -> None:
        tunnel = await self.open()
        statement = Statement(leaving=True, pause_s=2.5)
        tunnel.transport.get_extra_info("tunnel").send_statement(statement)
        await self.until(lambda: bool(self.targets.statements))
        self.assertEqual(self.targets.statements, [(ENDPOINT, statement)])
        tunnel.close()


class TestRefusals(TunnelCase):
    """Guards against tunnels that must not be opened, and against clients without bounds."""

    async def assert_refused(self, reason: RefusalReason | None, **members: Any) -> TunnelRefused:
        with self.assertRaises(TunnelRefused) as caught:
            await self.open(**members)
        self.assertEqual(caught.exception.reason, reason)
        return caught.exception

    async def test_reasons(self) -> None:
        for reason in RefusalReason:
            self.targets.answer = TunnelRefusal(reason=reason, pause_s=1.5, started=2.5)
            exc = await self.assert_refused(reason)
            self.assertEqual(exc.refusal, self.targets.answer)
        self.targets.answer = None
        await self.assert_refused(RefusalReason.CONNECTION_REFUSED, address="127.0.0.1:1")
        self.server.stop_accepting()
        await self.assert_refused(RefusalReason.STOPPING)

    async def test_open_tunnels_go_on_while_the_node_stops(self) -> None:
        tunnel = await self.open()
        self.server.stop_accepting()
        tunnel.transport.write(b"more")
        await self.until(lambda: bytes(tunnel.data) == b"more")
        self.assertEqual((self.server.open_tunnels, self.server.room), (1, 0))
        tunnel.close()

    async def test_a_wrong_key(self) -> None:
        await self.assert_refused(None, client=TunnelClient(b"another", "n-1"))

    async def test_a_port_that_is_no_tunnel_port(self) -> None:
        self.tunnel_address = self.address
        await self.assert_refused(None, timeout_s=0.2)

    async def test_the_number_of_tunnels_is_bounded(self) -> None:
        self.server.limit = 2
        opened = [await self.open() for _ in range(2)]
        await self.assert_refused(RefusalReason.NO_ROOM)
        opened[0].close()
        await self.until(lambda: self.server.room == 1)
        opened.append(await self.open())
        for tunnel in opened[1:]:
            tunnel.close()

    def test_the_limit_follows_from_the_descriptors(self) -> None:
        server = TunnelServer(KEY, Targets(), DirectConnector(), max_descriptors=100)
        self.assertLessEqual(server.limit * DESCRIPTORS_PER_TUNNEL, 50)

    async def test_clients_that_do_not_keep_to_the_protocol(self) -> None:
        host, _, port = self.tunnel_address.rpartition(":")
        cases = {
            "garbage": b"GET / HTTP/1.1\r\n\r\n",
            "too long": encode_frame(FrameKind.OPEN, bytes(MAX_HANDSHAKE_BYTES + 1)),
            "data at once": encode_frame(FrameKind.DATA, b"x"),
            "statement at once": encode_body(FrameKind.STATEMENT, Statement(leaving=True)),
        }
        for label, data in cases.items():
            with self.subTest(label):
                reader, writer = await asyncio.open_connection(host, int(port))
                hello = await reader.readexactly(HELLO_BYTES)
                self.assertTrue(hello.startswith(MAGIC))
                writer.write(data)
                with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                    await asyncio.wait_for(reader.readexactly(1), CLOSE_S)
                writer.close()
        self.assertEqual(self.targets.statements, [])
        self.assertEqual(self.server.served, 0)

    async def test_a_client_that_says_nothing_is_closed(self) -> None:
        host, _, port = self.tunnel_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        await reader.readexactly(HELLO_BYTES)
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
            await asyncio.wait_for(reader.readexactly(1), 3.0)
        writer.close()


if __name__ == "__main__":
    unittest.main()
