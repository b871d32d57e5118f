"""Tests of clients whose bytes a node has received and not read, on the smallest host.

A platform counts these bytes toward the memory of the process. The crowd is as in
``test_hostile_clients``; the node has the memory and the descriptors of the smallest host.
"""

import asyncio
import unittest

from .hostile import BODY_BYTES, FILLER, PlatformHostileCase, body_case, head, repeat
from .platform_cluster import route

CROWD = 300
PIECE = FILLER[: 64 * 1024]
HUGE = 64 * BODY_BYTES
BODIES_BEHIND = 4
SERVED_AFTER_S = 1.0


class TestUnread(PlatformHostileCase):
    """Guards against bytes in the kernel that exhaust the memory of a node."""

    memory_limit_mb = 160
    descriptor_limit = 1638
    routes = [route("lookup", "apps", "idempotent", timeout_ms=30_000)]  # noqa: RUF012

    async def test_bodies_behind_a_request_that_is_served(self) -> None:
        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(head("Content-Length: 4", "/lookup/held") + b"body")
            await asyncio.sleep(SERVED_AFTER_S)
            for _ in range(BODIES_BEHIND):
                writer.write(head(f"Content-Length: {BODY_BYTES}") + FILLER)
                await writer.drain()

        await self.run_case("bodies behind a served request", CROWD, send)

    async def test_whole_bodies_short_of_their_end(self) -> None:
        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(head(f"Content-Length: {BODY_BYTES}") + FILLER[10:])
            await writer.drain()

        await self.run_case("whole bodies", CROWD, send)

    async def test_bodies_that_go_on_after_their_refusal(self) -> None:
        send = body_case(head(f"Content-Length: {HUGE}"), repeat(PIECE, HUGE))
        await self.run_case("bodies far over the limit", CROWD, send)


if __name__ == "__main__":
    unittest.main()
