"""Test case that runs nodes with a fake store and fake runners of the platform in one process."""

import asyncio
import contextlib
import itertools
import random
import socket
import unittest
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from loguru import logger

from lacewinghub.fakes.platform_runner import FakeRunner
from lacewinghub.fakes.platform_store import FakeStore, StoreFault, StoreListener
from lacewinghub.httpmessage import LAST_CHUNK
from lacewinghub.logs import format_line
from lacewinghub.platform.boot import Boot
from lacewinghub.platform.node import PlatformAdapter
from lacewinghub.proxynode import ProxyNode

HOST = "shop.example"
KEY = "key-of-a"
STREAMS = ("/draft/", "/chat/", "/long/")
HOSTS = [f"127.0.0.{number}" for number in range(1, 9)]
_attempts = itertools.count(1)


def route(name: str, service: str, kind: str, **members: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration, below ``/NAME/``."""
    base: dict[str, Any] = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
    }
    return base | members


def config(version: int, routes: list[dict[str, Any]], **members: Any) -> dict[str, Any]:
    """Return a configuration with the services ``models`` and ``apps`` and one tenant."""
    base: dict[str, Any] = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "models", "health_path": "/health", "engine": {"slots": 8}},
            {"name": "apps", "health_path": "/health"},
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 3000,
        },
        "tenants": [{"name": "tenant-a", "api_keys": [KEY], "priority": 0}],
    }
    return base | members


ROUTES = [
    route("once", "apps", "non_idempotent"),
    route("lookup", "apps", "idempotent"),
    route("draft", "models", "streaming", resumable=True),
    route("chat", "models", "streaming"),
    route("open", "apps", "idempotent", public=True),
]


@dataclass(slots=True)
class ClientResponse:
    """Response that a client received; ``status`` is 0 if the connection ended without one."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    complete: bool = True


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """A store, two runners of each service and one node."""

    nodes = 1
    runners = 2
    # Software versions of the runners of the models, in turn.
    versions = ("v1",)
    configuration: dict[str, Any] = config(1, ROUTES)
    # Members of the settings that a test adds or replaces.
    settings: dict[str, Any] = {}  # noqa: RUF012

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.peer_port = free_port()
        self.listeners: list[StoreListener] = []
        self.models = [self.new_model(f"m-{n}") for n in range(self.runners)]
        for runner, version in zip(self.models, itertools.cycle(self.versions), strict=False):
            runner.version = version
        self.apps = [FakeRunner(f"a-{n}", "apps") for n in range(self.runners)]
        for runner in self.models + self.apps:
            await runner.start()
            runner.announce(self.store)
        self.store.put("keyed.op", "config", self.configuration)
        self.members = [await self.start_node() for _ in range(self.nodes)]
        self.session = aiohttp.ClientSession()
        await self.until_ready()

    async def asyncTearDown(self) -> None:
        await self.session.close()
        for task in self.tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for runner in self.models + self.apps:
            await runner.stop()
        await self.store.stop()

    def new_model(self, name: str) -> FakeRunner:
        """Return a runner of the models."""
        return FakeRunner(name, "models")

    async def start_node(self, fault: StoreFault = StoreFault.NONE) -> ProxyNode:
        """Start a node on its own loopback address, with its own listener of the fake store."""
        node = ProxyNode(PlatformAdapter(await self.new_boot(fault), metrics_port=0))
        task = asyncio.create_task(node.run())
        if not hasattr(self, "tasks"):
            self.tasks: list[asyncio.Task[None]] = []
        self.tasks.append(task)
        started = asyncio.create_task(node.started.wait())
        await asyncio.wait({task, started}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            started.cancel()
            task.result()  # Raises the error with which the node ended.
        return node

    async def new_boot(self, fault: StoreFault = StoreFault.NONE) -> Boot:
        """Return the settings of a new node, with a listener of the fake store of its own."""
        listener = await self.store.open_listener()
        listener.fail(fault)
        self.listeners.append(listener)
        host = f"127.0.0.{len(self.listeners)}"
        return Boot.model_validate(
            {
                "node_name": f"node-{len(self.listeners)}",
                "zone": "zone-a",
                "listen": {"front": "127.0.0.1:0", "ready": f"{host}:0"},
                "internal_ports": [self.peer_port, self.peer_port],
                "seeds": ["127.0.0.1:1", "127.0.0.2:1"],
                "platform": {"address": listener.address},
                # A node may spend a twelfth of this. It is large because faults fail a large share
                # of the few requests of a test.
                "bounds": {"budget_min_retries": 1200},
            }
            | self.settings
        )

    async def until_ready(self) -> None:
        """Wait until all nodes are ready."""
        for node in self.members:
            await self.until(lambda node=node: self.is_ready(node))

    async def until_version(self, version: int, limit_s: float = 2.0) -> None:
        """Wait until all nodes use a version; the default limit is that of the platform."""

        async def in_force() -> bool:
            return all(node._current_config.current.version >= version for node in self.members)

        await self.until(in_force, limit_s)

    async def is_ready(self, node: ProxyNode) -> bool:
        """Return whether a node reports that it is ready."""
        host = node.cfg.ready.rpartition(":")[0]
        url = f"http://{host}:{node.ports['ready']}/v1/ready"
        async with self.session.get(url) as resp:
            return resp.status == 200

    async def until(self, check: Any, limit_s: float = 5.0) -> None:
        """Wait until an asynchronous check holds."""
        async with asyncio.timeout(limit_s):
            while not await check():
                await asyncio.sleep(0.02)

    async def ask(
        self,
        path: str,
        *,
        node: int = 0,
        attempt: str = "",
        key: str | None = KEY,
        tokens: str = "",
        headers: dict[str, str] | None = None,
        data: bytes = b"body",
    ) -> ClientResponse:
        """Send a request as a client of the platform."""
        sent = {
            "Host": HOST,
            "Lacewinghub-Attempt-Id": attempt or f"attempt-{next(_attempts)}",
            "Lacewinghub-Deadline-Ms": "3000",
        }
        if key is not None:
            sent["Authorization"] = f"Token {key}"
        if tokens or path.startswith(STREAMS):
            sent["Lacewinghub-Token-Count"] = tokens or "100,40"
            sent["Lacewinghub-Prompt-Prefix"] = "a1:60,b2:40"
        port = self.members[node].ports["front"]
        url = f"http://127.0.0.1:{port}{path}"
        body = b""
        try:
            async with self.session.post(url, data=data, headers=sent | (headers or {})) as resp:
                found = {name.lower(): value for name, value in resp.headers.items()}
                try:
                    async for piece in resp.content.iter_any():
                        body += piece
                except aiohttp.ClientError:
                    return ClientResponse(resp.status, body, found, complete=False)
                return ClientResponse(resp.status, body, found)
        except aiohttp.ClientError:
            return ClientResponse(0, complete=False)

    async def looks_whole(self, path: str, deadline_ms: int = 3000) -> bool:
        """Send a request; return whether the form of its answer says that it is whole.

        The HTTP client of ``ask`` takes a reset for the end of an answer without framing.
        """
        answer, was_reset = await self.exchange(path, deadline_ms)
        return not was_reset and is_whole(answer)

    async def exchange(
        self,
        path: str,
        deadline_ms: int = 3000,
        version: str = "1.1",
        port: int | None = None,
        attempt: str = "raw",
    ) -> tuple[bytes, bool]:
        """Send a request; return the bytes of its answer, and whether the connection was reset."""
        port = port or self.members[0].ports["front"]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = f"POST {path} HTTP/{version}\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
        if path.startswith(STREAMS):
            head += "Lacewinghub-Token-Count: 100,40\r\n"
        head += f"Lacewinghub-Attempt-Id: {attempt}\r\n"
        head += f"Lacewinghub-Deadline-Ms: {deadline_ms}\r\nConnection: close\r\n"
        writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
        answer = b""
        try:
            while data := await reader.read(65536):
                answer += data
        except ConnectionResetError:
            return answer, True
        finally:
            writer.close()
        return answer, False


def is_whole(answer: bytes) -> bool:
    """Tell whether a client takes a response for a whole and successful one."""
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    if not lines[0].startswith(b"http/1.1 200"):
        return False
    if b"transfer-encoding: chunked" in lines:
        return body.endswith(LAST_CHUNK)
    length = next((line for line in lines if line.startswith(b"content-length:")), None)
    return length is None or len(body) == int(length.partition(b":")[2])


def free_port() -> int:
    """Return a port that is free on the loopback addresses of all nodes of a test.

    It is below those that the kernel gives to outgoing connections, which could otherwise take it
    before a node listens.
    """
    while True:
        port = random.randrange(15_000, 30_000)
        with contextlib.ExitStack() as stack:
            try:
                for host in HOSTS:
                    sock = stack.enter_context(socket.socket())
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    sock.bind((host, port))
            except OSError:
                continue
            return port


class LoggedPlatformCase(PlatformCase):
    """Keeps the log lines of the nodes.

    Attributes:
        lines: All lines so far.
    """

    async def asyncSetUp(self) -> None:
        self.lines: list[str] = []
        logger.enable("lacewinghub")
        self.sink = logger.add(
            lambda message: self.lines.append(format_line(message.record)), format="{message}"
        )
        await super().asyncSetUp()

    async def asyncTearDown(self) -> None:
        await super().asyncTearDown()
        logger.remove(self.sink)
        logger.disable("lacewinghub")
