"""Tests of the usage reports with real nodes and a stand-in for the control API."""

import asyncio
import itertools
import json
import time
from collections import Counter
from collections.abc import Iterator

from aiohttp import web

from lacewinghub.proxynode import ProxyNode

from .platform_cluster import KEY, PlatformCase, free_port

WINDOW_S = 1.0
NODES = 3


class TestUsageNodes(PlatformCase):
    nodes = NODES

    async def asyncSetUp(self) -> None:
        self.calls: list[tuple[int, str, bytes]] = []  # Token, holder and body.
        self.answers: Iterator[int] = itertools.repeat(200)
        app = web.Application()
        app.router.add_post("/usage", self.on_usage)
        self.site = web.AppRunner(app)
        await self.site.setup()
        port = free_port()
        await web.TCPSite(self.site, "127.0.0.1", port).start()
        self.settings = {
            "bounds": {
                "budget_min_retries": 1200,
                "lease_ms": 1500,
                "report_window_s": WINDOW_S,
            },
            "cloud_api": {"address": f"127.0.0.1:{port}", "duties": ["usage_report"]},
        }
        await super().asyncSetUp()

    async def asyncTearDown(self) -> None:
        await super().asyncTearDown()
        await self.site.cleanup()

    async def on_usage(self, request: web.Request) -> web.Response:
        names = ("Lacewinghub-Fencing-Token", "Lacewinghub-Duty-Holder")
        token, holder = (request.headers[name] for name in names)
        self.calls.append((int(token), holder, await request.read()))
        return web.Response(status=next(self.answers))

    async def holder(self) -> ProxyNode:
        def held() -> list[ProxyNode]:
            nodes = self.members
            return [node for node in nodes if node._duties and node._duties.lease.held_token()]

        async def is_held() -> bool:
            return bool(held())

        await self.until(is_held, 8.0)
        return held()[0]

    async def send(self, nodes: list[int], seconds: float) -> None:
        """Send requests, and count those that began by window."""
        end = time.time() + seconds
        for number in itertools.count():
            path = ("/lookup/x", "/chat/x", "/open/x")[number % 3]
            # Without a key, which the third route does not require, there is no workspace.
            key = None if path == "/open/x" else KEY
            response = await self.ask(path, node=nodes[number % len(nodes)], key=key)
            self.assertEqual(response.status, 200)
            self.began += key is not None
            await asyncio.sleep(0.03)
            if time.time() > end:
                return

    async def test_each_window_is_reported_once_while_the_holder_is_lost(self) -> None:
        # Guards against counts that are lost, counted twice or sent in two versions when the duty
        # moves, and against calls that the control API answered with an error.
        self.began = 0
        first = await self.holder()
        lost = self.members.index(first)
        others = [number for number in range(NODES) if number != lost]
        await self.send(others, 3.5)
        self.answers = itertools.chain([500, 200, 429], itertools.repeat(200))
        await self.send(others, 1.5)
        self.tasks[lost].cancel()
        await self.send(others, 5.0)
        last = int(time.time() / WINDOW_S)
        await self.until(lambda: self.is_reported(last), 8.0)
        windows: dict[int, set[bytes]] = {}
        for _, _, body in self.calls:
            windows.setdefault(json.loads(body)["window_id"], set()).add(body)
        self.assertEqual(list(windows), list(range(min(windows), max(windows) + 1)))
        self.assertTrue(all(len(bodies) == 1 for bodies in windows.values()))
        total = Counter[str]()
        for (body,) in windows.values():
            total.update(json.loads(body)["counts"])
        self.assertEqual(total, {"tenant-a": self.began})
        tokens = [token for token, _, _ in self.calls]
        self.assertEqual(tokens, sorted(tokens))
        self.assertEqual(len({holder for _, holder, _ in self.calls}), 2)

    async def is_reported(self, window: int) -> bool:
        return any(json.loads(body)["window_id"] >= window for _, _, body in self.calls)
