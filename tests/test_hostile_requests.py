"""Tests of requests inside the limits on a head that take far more memory than their bytes."""

import asyncio
import unittest

from .hostile import PlatformHostileCase, head
from .platform_cluster import route

CROWD = 400
# Parts of one token each; target and headers stay below the largest size of a head.
PARTS = 2600


class TestParsedRequests(PlatformHostileCase):
    """Guards against parsed requests that exhaust the memory of a node."""

    memory_limit_mb = 160
    descriptor_limit = 1638
    routes = [route("lookup", "apps", "idempotent", timeout_ms=30_000)]  # noqa: RUF012

    async def test_prompts_of_many_parts(self) -> None:
        parts = ",".join(f"{number % 256:02x}:1" for number in range(PARTS))
        framing = f"Lacewinghub-Prompt-Prefix: {parts}\r\nContent-Length: 4"

        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(head(framing, "/lookup/held") + b"body")
            await writer.drain()

        await self.run_case(f"prompts of {PARTS} parts", CROWD, send)

    async def test_one_prompt_of_many_parts_is_served(self) -> None:
        # Guards against a limit that a client inside the stated ones meets.
        parts = ",".join(f"{number % 256:02x}:1" for number in range(PARTS))
        framing = f"Lacewinghub-Prompt-Prefix: {parts}\r\nContent-Length: 4"
        await self.start_node()
        self.assertEqual(await self.exchange(head(framing) + b"body", 0), 200)


if __name__ == "__main__":
    unittest.main()
