"""Stand-ins and helpers of the scripts in review/6 to review/10.

A script starts the project's node as a process of its own, with the `run` line of the deploy file.
The store is the project's stand-in (lacewinghub.fakes.platform_store); runners and clients are the
small ones below. All addresses are loopback addresses, all times those of the real clock.
"""

import asyncio
import contextlib
import os
import random
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from lacewinghub.fakes.platform_store import FakeStore  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
METRICS_PORT = 9464  # Fixed in the node, on the host of its readiness address.
READY_S = 30.0
DESCRIPTORS = 4096  # Of this process and of each node; a crowd and its runners need about 1,500.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run, which says nothing of the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._started = time.monotonic()
        self._out = (folder / "record.txt").open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        self._out.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
        self._out.flush()


class Request:
    """A request that a stand-in has read: method, target, headers by name in lower case, body."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, _ = line.split(" ", 2)
        self.headers, self.body = headers, body

    @property
    def id(self) -> str:
        return self.headers.get("lacewinghub-attempt-id", "")

    @property
    def deadline_ms(self) -> int:
        return int(self.headers.get("lacewinghub-deadline-ms", "0"))


class Exchange:
    """The connection on which a runner answers one request."""

    def __init__(self, writer: asyncio.StreamWriter, reader: asyncio.StreamReader) -> None:
        self.writer, self.reader = writer, reader
        self.served = 0
        self.close = False

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()


def head(status: int, phrase: str, headers: list[tuple[str, str]]) -> bytes:
    lines = [f"HTTP/1.1 {status} {phrase}", *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_request(reader: asyncio.StreamReader) -> Request:
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *rest = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(first, headers, body)


class Runner:
    """A runner that announces itself in the store, as the protocol page tells.

    `answer` is called with each request that begins to run and the connection to answer on. A
    request that expects another instance gets 421, and counts as not run.
    """

    def __init__(
        self,
        name: str,
        service: str,
        record: Record,
        answer: Callable[[Request, Exchange], Awaitable[None]],
        slots: int = 6,
    ) -> None:
        self.name, self.service, self.slots = name, service, slots
        self.runs: list[str] = []
        self.born = int(time.time() * 1000)
        self.address = ""
        self._record, self._answer = record, answer
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._sequence = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def announce(self, store: FakeStore, state: str = "ready") -> None:
        self._sequence += 1
        store.put(
            "keyed.servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": "z",
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
                "born": self.born,
            },
        )

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        exchange = Exchange(writer, reader)
        try:
            while not exchange.close:
                req = await read_request(reader)
                wanted = req.headers.get("lacewinghub-expect-instance", self.name)
                if wanted != self.name:
                    await exchange.send(head(421, "Misdirected Request", [("Content-Length", "0")]))
                    continue
                self.runs.append(req.id)
                self._record(
                    f"runner {self.name} runs {req.id} {req.method} {req.target[:60]}"
                    f" deadline_ms={req.deadline_ms} (request {exchange.served + 1} on its"
                    " connection)"
                )
                await self._answer(req, exchange)
                exchange.served += 1
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # The caller has closed the connection, or the case is over.
        finally:
            self._writers.discard(writer)
            writer.close()


class Answer:
    """What a client got: status 0 without a head; `end` tells how the answer ended."""

    def __init__(self) -> None:
        self.status = 0
        self.line = ""
        self.headers: list[tuple[str, str]] = []
        self.body = b""
        self.end = "nothing"  # whole, closed, reset, broken, timeout, nothing
        self.took_s = 0.0

    def header(self, name: str) -> str | None:
        return next((value for key, value in self.headers if key == name), None)

    def __str__(self) -> str:
        return (
            f"status={self.status} end={self.end} after={self.took_s:.3f}s"
            f" seal={self.header('lacewinghub-response-seal')} body={self.body[:100]!r}"
        )


class Client:
    """A client with one kept connection."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self) -> "Client":
        self.reader, self.writer = await asyncio.open_connection(*self._address, limit=1 << 20)
        return self

    def close(self) -> None:
        self.writer.close()

    async def request(
        self,
        method: str,
        path: str,
        attempt: str,
        deadline_ms: int,
        wait_s: float,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Answer:
        """Send one request and read its answer; a HEAD request has an answer without a body."""
        fields = [
            ("Host", HOST),
            ("Lacewinghub-Attempt-Id", attempt),
            ("Lacewinghub-Deadline-Ms", str(deadline_ms)),
            ("Authorization", f"Token {KEY}"),
            *headers,
        ]
        if body:
            fields.append(("Content-Length", str(len(body))))
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields)]
        started = time.monotonic()
        answer = Answer()
        try:
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            async with asyncio.timeout(wait_s):
                await self._read(answer, method)
        except TimeoutError:
            answer.end = "timeout"
        except ConnectionError:
            answer.end = "reset"
        except asyncio.IncompleteReadError as exc:
            answer.body += exc.partial if answer.status else b""
            answer.end = "closed"
        except (asyncio.LimitOverrunError, ValueError) as exc:
            answer.end = f"broken: {exc}"
        answer.took_s = time.monotonic() - started
        return answer

    async def _read(self, answer: Answer, method: str) -> None:
        raw = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        answer.line, *rest = raw.split("\r\n")
        if not answer.line.startswith("HTTP/1.1 "):
            raise ValueError(f"no status line: {answer.line[:60]!r}")
        answer.status = int(answer.line.split(" ")[1])
        for line in rest:
            name, _, value = line.partition(":")
            if name:
                answer.headers.append((name.strip().lower(), value.strip()))
        if method == "HEAD" or answer.status in (204, 304):
            answer.end = "whole"
            return
        length = answer.header("content-length")
        if length is not None:
            answer.body = await self.reader.readexactly(int(length))
            answer.end = "whole"
        elif "chunked" in (answer.header("transfer-encoding") or ""):
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                answer.body += (await self.reader.readexactly(size + 2))[:-2]
                if size == 0:
                    answer.end = "whole"
                    return
        else:  # The answer ends with its connection; an orderly end is a whole answer.
            while data := await self.reader.read(65536):
                answer.body += data
            answer.end = "whole"


def route(name: str, service: str, kind: str, **members: Any) -> dict[str, Any]:
    """Return a route below /NAME/, with the fields that `fleetbench wire` shows."""
    base: dict[str, Any] = {
        "name": f"r-{name}",
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 100,
        "priority": 2,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
    }
    return base | members


def config(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with the limits that `fleetbench wire` shows."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk-app", "health_path": "/health", "max_connections": 110},
            {"name": "desk-model", "health_path": "/health", "engine": {"slots": 64}},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def _free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def _free_host() -> str:
    """Return a loopback address at which the node's fixed metrics port is free."""
    for _ in range(50):
        host = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        with socket.socket() as sock:
            try:
                sock.bind((host, METRICS_PORT))
                return host
            except OSError:
                continue
    raise CannotRun("no loopback address has a free metrics port")


class Node:
    """The project's node: a process with the run line of deploy/system.toml."""

    def __init__(self, store_address: str, folder: Path, record: Record, grace_s: int = 8) -> None:
        self._record, self._folder = record, folder
        self._store_address = store_address
        self.host = _free_host()
        self.front = f"{self.host}:{_free_port(self.host)}"
        self.ready = f"{self.host}:{_free_port(self.host)}"
        self._peer = _free_port(self.host)
        self.settings = folder / f"boot-{self.host}.toml"
        self.log = folder / f"node-{self.host}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.write_settings(grace_s)

    def write_settings(self, grace_s: int) -> None:
        """Write the settings file, with the fields of DEPLOY.md and the bounds of awa-respray."""
        text = f"""node_name = "front-{self.host}"
role = "node"
machine_class = "front"
serves = ["front"]
ip = "{self.host}"
zone = "z"
region = "r"
internal_ports = [{self._peer}, {self._peer}]
seeds = []
discovery = "platform"
heartbeat_ms = 1200
[listen]
front = "{self.front}"
ready = "{self.ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[bounds]
stability_window_ms = 3000
drain_ms = 2000
grace_s = {grace_s}
loss_slack_ms = 200
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_min_retries = 58
[platform]
address = "{self._store_address}"
form = "log"
"""
        temporary = self.settings.with_suffix(".new")
        temporary.write_text(text, encoding="utf-8")
        temporary.replace(self.settings)

    async def launch(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        words = deploy["roles"]["node"]["run"].split(" ")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["LACEWINGHUB_BOOT"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=out, stderr=out
            )
        self._record(f"node started, front {self.front}, pid {self.process.pid}")

    async def start(self) -> None:
        """Start the process and wait until it says that it is ready."""
        await self.launch()
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            if await self.is_ready() and await self._accepts():
                self._record("node is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"the node was not ready within {READY_S:g} s")

    async def _accepts(self) -> bool:
        """Tell whether the node takes connections of clients; it may say so a moment before."""
        host, _, port = self.front.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True

    async def is_ready(self, wait_s: float = 1.0) -> bool:
        """Ask the readiness address like the platform does."""
        host, _, port = self.ready.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(wait_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                return line.startswith(b"HTTP/1.1 200")
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self._record(f"{number.name} to the node")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    @property
    def returncode(self) -> int | None:
        return None if self.process is None else self.process.returncode

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


def memory_mb(node: Node) -> float:
    """Return the resident memory of a node."""
    assert node.process is not None
    text = Path(f"/proc/{node.process.pid}/status").read_text(encoding="ascii")
    line = next(item for item in text.splitlines() if item.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


class Case:
    """The parts of a case; all of them are ended when it is over."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.store = FakeStore()
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.runners: list[Runner] = []
        self.nodes: list[Node] = []
        self.store_address = ""

    async def open_store(self, first: dict[str, Any]) -> None:
        listener = await self.store.open_listener()
        self.store_address = listener.address
        self.store.put("keyed.op", "config", first)

    async def add_runner(
        self,
        name: str,
        service: str,
        answer: Callable[[Request, Exchange], Awaitable[None]],
        slots: int = 6,
    ) -> Runner:
        runner = Runner(name, service, self.record, answer, slots)
        await runner.start()
        runner.announce(self.store)
        self.runners.append(runner)
        return runner

    def add_node(self, grace_s: int = 8) -> Node:
        node = Node(self.store_address, self.temporary, self.record, grace_s)
        self.nodes.append(node)
        return node

    async def close(self) -> None:
        for node in self.nodes:
            await node.end()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()
        if os.environ.get("KEEP_LOGS") == "1":
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def main(folder: Path, play: Callable[[Case], Awaitable[bool]], limit_s: float = 100.0) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    Args:
        folder: Folder of the case.
        play: Plays it and returns whether the rule held.
        limit_s: Longest time that it may take, in seconds.
    """

    async def run() -> int:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        wanted = DESCRIPTORS if hard == resource.RLIM_INFINITY else min(DESCRIPTORS, hard)
        if soft != resource.RLIM_INFINITY and soft < wanted:
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
        case = Case(folder)
        case.record(f"TROUBLE={int(TROUBLE)}")
        try:
            async with asyncio.timeout(limit_s):
                held = await play(case)
        except (CannotRun, TimeoutError, OSError) as exc:
            case.record(f"the case could not run: {exc!r}")
            return NOT_RUN
        finally:
            await case.close()
        case.record("the rule held" if held else "the rule was broken")
        return HELD if held else BROKEN

    sys.exit(asyncio.run(run()))
