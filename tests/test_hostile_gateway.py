"""Tests of clients that keep no limits, at the product's own interface.

The node is a process with the memory and the descriptors of the smallest host of the deployments.
"""

import asyncio
import json
import sys
import unittest
from collections.abc import Iterator
from typing import Any

from lacewinghub.httpmessage import chunk
from lacewinghub.settings import Limits

from .hostile import (
    BODY_BYTES,
    FILLER,
    HostileCase,
    Send,
    body_case,
    repeat,
    small_chunks,
)
from .processes import WORKSPACE_KEY, Deployment

CROWD = 100
CONNECTIONS = 1000
# What a node may keep of the memory that a crowd made it use.
KEPT_MB = 16
HUGE = 64 * BODY_BYTES
PIECE = FILLER[: 64 * 1024]
CHAT = "/v1/chat/completions"
NON_READERS = 60
# Tokens of an answer that nobody reads; an event of one token has about 200 bytes.
UNREAD_TOKENS = 20_000
# Bodies of legal size whose JSON has very many values.
MANY_VALUES = 8


def head(framing: str, target: str = CHAT, method: str = "POST") -> bytes:
    """Return the head of a request, without the empty line if ``framing`` is empty."""
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: node",
        f"Authorization: Bearer {WORKSPACE_KEY}",
        *([framing, "", ""] if framing else [""]),
    ]
    return "\r\n".join(lines).encode()


def chat(tokens: int = 2, **members: Any) -> bytes:
    """Return a complete chat completion."""
    body = {
        "model": "colour",
        "messages": [{"role": "user", "content": "hello"}],
        "metadata": {"output_tokens": tokens},
        "max_tokens": tokens,
    }
    data = json.dumps(body | members).encode()
    return head(f"Content-Length: {len(data)}") + data


def many_values() -> bytes:
    """Return a chat completion of legal size whose JSON has more than a million values."""
    body = b'{"model":"colour","messages":[{"role":"user","content":"x"}],"x":['
    body += b"[]," * ((BODY_BYTES - len(body) - 8) // 3) + b"1]}"
    return head(f"Content-Length: {len(body)}") + body


class GatewayHostileCase(HostileCase):
    """A log, a runner, a service and a node as processes."""

    memory_limit_mb = 160
    descriptor_limit = 1638

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.deployment: Deployment | None = None

    async def start_node(self) -> None:
        limits = {"memory_mb": self.memory_limit_mb, "max_descriptors": self.descriptor_limit}
        # The bounds of the test stay where the settings cannot state them.
        known = {key: value for key, value in limits.items() if key in Limits.model_fields}
        self.deployment = Deployment(
            runners=1, nodes=1, limits=known, runner_args=["--step_ms", "1", "--slots", "100"]
        )
        await self.deployment.wait_up()
        await self.deployment.publish()
        await self.deployment.wait_ready()
        node = self.deployment.nodes["n0"]
        self.pid, self.port = node.pid, int(node.address.rpartition(":")[2])
        self.watch()

    async def stop_node(self) -> None:
        self.close_crowd()
        self.end_watch()
        if self.deployment is not None:
            self.deployment.close()
            self.deployment = None

    def has_ended(self) -> bool:
        return self.deployment is None or self.deployment.nodes["n0"].popen.poll() is not None

    def ordinary_request(self) -> bytes:
        return chat()

    def log_text(self) -> str:
        return self.deployment.nodes["n0"].log.read_text() if self.deployment else ""


class TestBodies(GatewayHostileCase):
    """Guards against bodies that exhaust the memory of a node."""

    async def test_whole_bodies_short_of_their_end(self) -> None:
        start = head(f"Content-Length: {BODY_BYTES}")
        await self.run_case(
            "whole bodies", CROWD, body_case(start, repeat(FILLER[10:], BODY_BYTES))
        )

    async def test_bodies_piece_by_piece(self) -> None:
        start = head(f"Content-Length: {BODY_BYTES}")
        send = body_case(start, repeat(FILLER[:16384], BODY_BYTES - 16384))
        await self.run_case("pieces of 16 KB", CROWD, send)

    async def test_bodies_in_chunks_of_64_kb(self) -> None:
        send = body_case(head("Transfer-Encoding: chunked"), repeat(chunk(PIECE), BODY_BYTES))
        await self.run_case("chunks of 64 KB", CROWD, send)

    async def test_bodies_in_chunks_of_one_byte(self) -> None:
        send = body_case(head("Transfer-Encoding: chunked"), small_chunks(1))
        await self.run_case("chunks of 1 byte", CROWD, send)

    async def test_bodies_announced_far_over_the_limit(self) -> None:
        send = body_case(head(f"Content-Length: {HUGE}"), repeat(PIECE, HUGE))
        await self.run_case("announced far over", CROWD, send)

    async def test_bodies_sent_far_over_the_limit(self) -> None:
        send = body_case(head("Transfer-Encoding: chunked"), repeat(chunk(PIECE), 8 * BODY_BYTES))
        await self.run_case("sent far over", CROWD, send)

    async def test_bodies_to_a_path_that_takes_none(self) -> None:
        start = head(f"Content-Length: {BODY_BYTES}", "/healthz", "GET")
        send = body_case(start, repeat(FILLER[10:], BODY_BYTES))
        await self.run_case("bodies to /healthz", CROWD, send)

    async def test_bodies_with_very_many_values(self) -> None:
        request = many_values()

        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(request)
            await writer.drain()

        await self.run_case("bodies with very many values", MANY_VALUES, send)

    async def test_memory_is_given_back(self) -> None:
        # Guards against a node that stays as large as its worst moment.
        await self.start_node()
        before = self.memory_mb("VmRSS:")
        start = head(f"Content-Length: {BODY_BYTES}")
        await self.crowd(CROWD, body_case(start, repeat(FILLER[10:], BODY_BYTES)))
        self.close_crowd()
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
        text = "x" * (BODY_BYTES - 200)
        body = {"model": "colour", "messages": [{"role": "user", "content": text}]}
        body |= {"metadata": {"output_tokens": 2}, "max_tokens": 2}
        data = json.dumps(body).encode()
        self.assertLessEqual(len(data), BODY_BYTES)

        def chunks(size: int) -> Iterator[bytes]:
            for start in range(0, len(data), size):
                yield chunk(data[start : start + size])
            yield b"0\r\n\r\n"

        for name, request in (
            ("length", head(f"Content-Length: {len(data)}") + data),
            ("chunks", head("Transfer-Encoding: chunked") + b"".join(chunks(64 * 1024))),
            ("small chunks", head("Transfer-Encoding: chunked") + b"".join(chunks(4096))),
        ):
            with self.subTest(name):
                self.assertEqual(await self.exchange(request, 0), 200)
        self.assertLess(max(self.memory_mb(), self.peak_mb), self.memory_limit_mb)


class TestConnections(GatewayHostileCase):
    """Guards against connections that exhaust the descriptors or the memory of a node."""

    async def test_connections_that_bring_no_request(self) -> None:
        async def idle(writer: asyncio.StreamWriter) -> None:
            return None

        async def unfinished_head(writer: asyncio.StreamWriter) -> None:
            writer.write(head("") + b"X-Filler: " + b"y" * 7_000)
            await writer.drain()

        cases: list[tuple[str, Send]] = [
            ("idle connections", idle),
            ("heads that never end", unfinished_head),
        ]
        self.descriptor_limit = 800
        for name, send in cases:
            with self.subTest(name):
                await self.run_case(name, CONNECTIONS, send)

    async def test_clients_that_do_not_read_their_answers(self) -> None:
        request = chat(UNREAD_TOKENS, stream=True)

        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(request)
            await writer.drain()
            await asyncio.sleep(20.0)

        await self.run_case("clients that do not read", NON_READERS, send)


if __name__ == "__main__":
    unittest.main()
