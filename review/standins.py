"""Stand-ins of the users' platform for the scripts of this review; standard library only.

They follow PROTOCOL.md: a store (append-only log with keyed topics), runners, an operator and
clients. The nodes are the project's own program, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "tenant-a"
HEARTBEAT_S = 1.2
READY_LIMIT_S = 30.0
WRONG_DIGITS = 400
MAX_ENDLESS_PIECES = 20_000  # Of 64 KB each; the callers of a case close long before.


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, as JSON lines, to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def write(self, what: str, **members: Any) -> None:
        """Write one line."""
        line = {"t": round(time.monotonic() - self._started, 3), "what": what, **members}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


@dataclass
class Head:
    """Head of an HTTP message; names of headers in lower case."""

    line: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    pairs = (item.split(":", 1) for item in lines[1:] if ":" in item)
    return Head(lines[0], {name.strip().lower(): value.strip() for name, value in pairs})


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read the body of a request."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


class Store:
    """The platform's store: an append-only log whose keyed topics keep the newest of each key."""

    def __init__(self) -> None:
        self.address = ""
        self._topics: dict[str, list[tuple[bytes, bytes]]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a record with a JSON value; None drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self._append(topic, key.encode(), data)

    def _append(self, topic: str, key: bytes, data: bytes) -> int:
        records = self._topics.setdefault(topic, [])
        records.append((key, data))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                path, _, query = head.line.split(" ")[1].partition("?")
                args = {name: found[0] for name, found in parse_qs(query).items()}
                status, kind, answer = await self._answer(path, args, body)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nStore-Era: 0\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer
                )
                await writer.drain()
        writer.close()

    async def _answer(self, path: str, args: dict[str, str], body: bytes) -> tuple[int, str, bytes]:
        topic = args.get("topic", "")
        records = self._topics.setdefault(topic, [])
        as_json = "application/json"
        if path == "/v1/log-newest":
            newest = {key: (at, data) for at, (key, data) in enumerate(records)}
            items = [
                {
                    "key": key.decode(),
                    "value": base64.b64encode(data).decode(),
                    "offset": at,
                }
                for key, (at, data) in sorted(newest.items())
                if data
            ]
            page = {"items": items, "has_more": False, "end": len(records)}
            return 200, as_json, json.dumps(page).encode()
        if path == "/v1/log-read":
            start, wait_s = int(args["from"]), int(args.get("wait_ms", "0")) / 1000
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    while start >= len(records):
                        await self._changed.wait()
            if start > len(records):
                return 410, as_json, b'{"first":0}'
            found = struct.pack(">QQ", len(records), 0)
            for key, data in records[start:]:
                record = bytes([len(key)]) + key + data
                found += struct.pack(">I", len(record)) + record
            return 200, "application/octet-stream", found
        if path == "/v1/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, as_json, b"{}"
            at = first = 0
            while at < len(body):
                (length,) = struct.unpack_from(">I", body, at)
                record = body[at + 4 : at + 4 + length]
                end = 1 + record[0]
                first = self._append(topic, record[1:end], record[end:])
                at += 4 + length
            page = {"offset": first, "end": len(records)}
            return 200, as_json, json.dumps(page).encode()
        return 404, as_json, b"{}"


@dataclass
class Run:
    """A request that a runner runs."""

    attempt: str
    runner: str
    began: float
    ended: float | None = None
    how: str = ""
    pieces: int = 0


class Runner:
    """A runner that answers with streams of events, or with one body.

    Args:
        record: Receives what it does.
        name: Its id.
        service: Its service.
        slots: Number of requests that it runs at once; it queues as many again.
        events: Number of events of a stream, or 0 for a plain answer.
        pause_s: Time between two events, or that a plain request takes.
        framing: ``chunked``, ``unframed`` (the answer ends with the connection), ``endless``
            (after its head, a stream is empty lines without end until the caller closes), or
            ``stopped`` (a stream in chunks that stops inside event ``stops_at`` and is then closed
            as a whole body; what goes on at Last-Event-Id runs to its end).
        stops_at: See ``framing``.
        first_s: Time until the first event, in addition.
        spoils_each: It spoils the header with its load in each so-many-th answer; 0 for none.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        service: str,
        *,
        slots: int = 64,
        events: int = 0,
        pause_s: float = 0.05,
        framing: str = "chunked",
        stops_at: int = 0,
        first_s: float = 0.0,
        spoils_each: int = 0,
    ) -> None:
        self.spoils_each, self._answers = spoils_each, 0
        self.first_s = first_s
        self._writers: set[asyncio.StreamWriter] = set()
        self.name, self.service, self.address = name, service, ""
        self.slots, self.events, self.pause_s = slots, events, pause_s
        self.framing, self.stops_at = framing, stops_at
        self.runs: list[Run] = []
        self._record = record
        self._places = asyncio.Semaphore(slots)
        self._inside = 0
        self._born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self, host: str, store: Store) -> None:
        """Serve, and register in the store from now on."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self._task = asyncio.create_task(self._register(store))

    def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """End as a process that is killed: nothing is said to the store."""
        self._record.write("runner crashes", runner=self.name)
        self.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def reset_half(self) -> None:
        """Reset every second open connection, as a network does; the runner goes on."""
        for writer in list(self._writers)[::2]:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            self._record.write("connection reset", runner=self.name)

    async def _register(self, store: Store) -> None:
        for sequence in range(1, 1000):
            store.put(
                "keyed.servers",
                self.name,
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": "zone-a",
                    "version": "v1",
                    "slots": self.slots,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "sequence": sequence,
                    "born": self._born,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await read_head(reader)
                await read_body(reader, head)
                if not await self._handle(head, reader, writer):
                    break
        self._writers.discard(writer)
        writer.close()

    async def _handle(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        attempt = head.headers.get("lacewinghub-attempt-id", "")
        expected = head.headers.get("lacewinghub-expect-instance", self.name)
        load = f"{self._inside},0,{self.slots}"
        self._answers += 1
        if self.spoils_each and self._answers % self.spoils_each == 0:
            load = f"{'7' * WRONG_DIGITS},0,{self.slots}"
            self._record.write(
                "runner spoils the header with its load", attempt=attempt, runner=self.name
            )
        base = f"Lacewinghub-Attempt-Id: {attempt}\r\nLacewinghub-Server-Load: {load}\r\n"
        if expected != self.name:
            writer.write(
                f"HTTP/1.1 421 X\r\nLacewinghub-Instance-Id: {self.name}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        if self._inside >= 2 * self.slots:
            self._record.write("runner rejects", attempt=attempt, runner=self.name)
            writer.write(
                f"HTTP/1.1 503 X\r\n{base}Lacewinghub-Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        self._inside += 1
        gone = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(self._work(head, base, attempt, writer))
        try:
            await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await work
                return False
            return await work
        finally:
            self._inside -= 1
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await gone

    async def _work(
        self, head: Head, base: str, attempt: str, writer: asyncio.StreamWriter
    ) -> bool:
        async with self._places:
            run = Run(attempt, self.name, time.monotonic())
            self.runs.append(run)
            self._record.write("runner runs", attempt=attempt, runner=self.name)
            try:
                keep = await self._answer(head, base, run, writer)
                run.how = "done"
                return keep
            except BaseException as exc:
                run.how = f"broken off: {type(exc).__name__}"
                raise
            finally:
                run.ended = time.monotonic()
                self._record.write(
                    "run ends", attempt=attempt, runner=self.name, how=run.how, pieces=run.pieces
                )

    async def _answer(self, head: Head, base: str, run: Run, writer: asyncio.StreamWriter) -> bool:
        sealed = f"HTTP/1.1 200 OK\r\n{base}Lacewinghub-Response-Seal: seal-of-{run.attempt}\r\n"
        if not self.events:
            await asyncio.sleep(self.pause_s)
            body = f"done:{run.attempt}".encode()
            writer.write(f"{sealed}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
            return True
        chunked = self.framing != "unframed"
        framing = "Transfer-Encoding: chunked\r\n" if chunked else ""
        after = int(head.headers.get("last-event-id", "0"))
        await asyncio.sleep(self.first_s)
        writer.write(f"{sealed}Content-Type: text/event-stream\r\n{framing}\r\n".encode())
        if self.framing == "endless":
            self._record.write("runner sends empty lines without end", attempt=run.attempt)
            for _ in range(MAX_ENDLESS_PIECES):
                writer.write(as_chunk(b"\n" * 65536))
                await writer.drain()
            return False
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.pause_s)
            data = event(number)
            if self.framing == "stopped" and not after and number == self.stops_at:
                writer.write(as_chunk(data[: len(data) // 2]) + b"0\r\n\r\n")
                await writer.drain()
                return True
            writer.write(as_chunk(data) if chunked else data)
            await writer.drain()
            run.pieces += 1
        if chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return chunked


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: piece %d of the answer\n\n" % (number, number)


def as_chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass
class Answer:
    """What a client got.

    Attributes:
        status: Status, or 0 without an answer.
        end: ``whole`` (length or last chunk), ``closed`` (an answer without framing whose
            connection was closed in order), ``cut`` (framing says that the body is incomplete),
            ``reset``, or ``none`` (no answer).
    """

    attempt: str
    status: int = 0
    body: bytes = b""
    end: str = "none"
    headers: dict[str, str] = field(default_factory=dict)
    after_s: float = 0.0

    @property
    def looks_complete(self) -> bool:
        """True if the client must take the answer for the whole one."""
        inside = self.headers.get("content-type") == "text/event-stream" and not (
            self.body.endswith(b"\n\n")
        )
        return self.end in ("whole", "closed") and not inside

    @property
    def events(self) -> list[int]:
        """Numbers of the complete events."""
        lines = [part.split(b"\n") for part in self.body.split(b"\n\n")[:-1]]
        return [int(item[0].removeprefix(b"id: ")) for item in lines if item[0][:3] == b"id:"]


async def ask(
    record: Record,
    address: str,
    path: str,
    attempt: str,
    *,
    deadline_s: float,
    stream: bool = False,
    method: str = "POST",
    part: str = "5c1e07a2",
    tokens: int = 400,
) -> Answer:
    """Send one request on a new connection and read its answer until the client's deadline."""
    found = Answer(attempt)
    started = time.monotonic()
    record.write("client sends", attempt=attempt, path=path, node=address)
    writer: asyncio.StreamWriter | None = None
    body = b"b" * 64 if method == "POST" else b""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Lacewinghub-Attempt-Id: {attempt}",
        f"Lacewinghub-Deadline-Ms: {round(deadline_s * 1000)}",
        f"Authorization: Token {KEY}",
        f"Content-Length: {len(body)}",
    ]
    if stream:
        lines += [
            "Lacewinghub-Model-Name: m",
            f"Lacewinghub-Token-Count: {tokens},80",
            f"Lacewinghub-Prompt-Prefix: {part}:{tokens - 100},{attempt}:100",
        ]
    try:
        async with asyncio.timeout(deadline_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await _read_answer(reader, found)
    except TimeoutError:
        found.end = "cut" if found.status else "none: the client's deadline"
    except ConnectionResetError:
        found.end = "reset" if found.status else "none: reset"
    except (OSError, asyncio.IncompleteReadError) as exc:
        found.end = "cut" if found.status else f"none: {type(exc).__name__}"
    finally:
        if writer is not None:
            writer.close()
    found.after_s = time.monotonic() - started
    record.write(
        "client gets",
        attempt=attempt,
        status=found.status,
        end=found.end,
        events=len(found.events),
        bytes=len(found.body),
        after_s=round(found.after_s, 3),
        retry_after=found.headers.get("retry-after"),
    )
    return found


async def _read_answer(reader: asyncio.StreamReader, found: Answer) -> None:
    head = await read_head(reader)
    found.status, found.headers = int(head.line.split(" ")[1]), head.headers
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readexactly(2)
                break
            found.body += (await reader.readexactly(size + 2))[:size]
        found.end = "whole"
    elif "content-length" in head.headers:
        length = int(head.headers["content-length"])
        while len(found.body) < length:
            data = await reader.read(length - len(found.body))
            if not data:
                raise asyncio.IncompleteReadError(found.body, length)
            found.body += data
        found.end = "whole"
    else:
        while data := await reader.read(65536):
            found.body += data
        found.end = "closed"


class Node:
    """A node, started with the command of the deploy file.

    Args:
        folder: Folder for its settings file and its log.
        name: Name of the machine.
        host: Loopback address of the machine.
        store: Address of the store.
        peers: First and last port for traffic between nodes.
        seeds: Addresses of some machines.
        grace_s: Time between SIGTERM and SIGKILL.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        host: str,
        store: str,
        peers: int,
        seeds: list[str],
        grace_s: int = 8,
    ) -> None:
        self.name, self.grace_s = name, grace_s
        self.front, self.ready = f"{host}:{free_port(host)}", f"{host}:{free_port(host)}"
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            f'node_name = "{name}"\nrole = "node"\nmachine_class = "front"\nserves = ["front"]\n'
            f'ip = "{host}"\nzone = "zone-a"\nregion = "r"\n'
            f"internal_ports = [{peers}, {peers + 15}]\nseeds = {json.dumps(seeds)}\n"
            f'bootstrap = true\ndiscovery = "platform"\nheartbeat_ms = 1200\n'
            f'[zones]\nzone-a = "r"\n[listen]\nfront = "{self.front}"\nready = "{self.ready}"\n'
            f"[limits]\nmemory_mb = 300\nmax_fds = 4100\n"
            f"[bounds]\nstability_window_ms = 3000\ndrain_ms = 2000\ngrace_s = {grace_s}\n"
            f"loss_slack_ms = 200\nconfig_apply_ms = 2000\nretry_budget_ratio = 0.2\n"
            f"budget_window_s = 10\nbudget_min_retries = 58\n"
            f'[platform]\naddress = "{store}"\nform = "log"\n'
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split(" ")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {
            "LACEWINGHUB_BOOT": str(self._settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                host, _, port = self.ready.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head.line.split(" ")[1] == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Stop as the platform does: SIGTERM, then SIGKILL after ``grace_s``."""
        assert self.process is not None
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(self.grace_s):
                await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


def free_port(host: str) -> int:
    """Return a free port below those of outgoing connections."""
    for _ in range(200):
        port = random.randrange(15_000, 30_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((host, port))
            return port
    raise CannotRun("no free port")


def route(name: str, service: str, kind: str, **members: Any) -> dict[str, Any]:
    """Return a route below ``/NAME/``, as in ``fleetbench wire``."""
    base = {
        "name": f"r-{name}",
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 15000,
        "target_latency_ms": 600,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
    }
    return base | members


class Deployment:
    """A small deployment: a store, runners, an operator, and nodes."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.runners: list[Runner] = []
        self.nodes: list[Node] = []
        self._folder = folder
        self._net = f"127.{random.randrange(20, 120)}.{random.randrange(1, 250)}"
        self._peers = random.randrange(30_100, 31_900)

    async def start(
        self, routes: list[dict[str, Any]], runners: list[Runner], nodes: int, grace_s: int = 8
    ) -> None:
        """Start everything and wait until all nodes are ready."""
        await self.store.start("127.0.0.1")
        self.runners = runners
        for runner in runners:
            await runner.start("127.0.0.1", self.store)
        services: dict[str, dict[str, Any]] = {}
        for item in runners:
            services[item.service] = {"name": item.service, "health_path": "/health"}
            if item.events:
                services[item.service]["engine"] = {"slots": item.slots}
        self.config: dict[str, Any] = {
            "version": 7,
            "routes": routes,
            "services": list(services.values()),
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        }
        self.store.put("keyed.op", "config", self.config)
        seeds = [f"{self._net}.{number}:8229" for number in range(1, min(3, nodes) + 1)]
        for number in range(1, nodes + 1):
            node = Node(
                self._folder,
                f"front-{number}",
                f"{self._net}.{number}",
                self.store.address,
                self._peers,
                seeds,
                grace_s,
            )
            self.nodes.append(node)
            await node.start()
        for node in self.nodes:
            await self._until_ready(node)
        # The nodes hear of all runners with the next heartbeat at the latest.
        await asyncio.sleep(2.0)

    async def _until_ready(self, node: Node) -> None:
        limit = time.monotonic() + READY_LIMIT_S
        while not await node.is_ready():
            assert node.process is not None
            if time.monotonic() > limit or node.process.returncode is not None:
                raise CannotRun(f"{node.name} isn't ready: {node.log.read_text()[-2000:]}")
            await asyncio.sleep(0.1)

    def runs_of(self, attempt: str) -> list[Run]:
        """Return the runs of a request."""
        return [run for item in self.runners for run in item.runs if run.attempt == attempt]

    async def close(self) -> None:
        """End everything that was started."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.send_signal(signal.SIGKILL)
                await node.process.wait()
        for runner in self.runners:
            runner.close()
        self.store.close()


def main(case: Any, folder: Path, limit_s: float = 110.0) -> None:
    """Run a case and exit: 1 if it returned broken rules, 0 if none, 2 if it couldn't run.

    Args:
        case: Coroutine function that gets a ``Deployment`` and returns a list of breaches.
        folder: Folder of the case, for ``record.txt``.
        limit_s: Longest time for the case.
    """
    # Connections that are still open when the loop ends are no fault of the case.
    sys.unraisablehook = lambda _: None
    record = Record(folder / "record.txt")
    record.write("case", trouble=TROUBLE)
    work = Path(tempfile.mkdtemp(prefix="review-"))

    async def play() -> list[str]:
        deployment = Deployment(work, record)
        # The processes that the case started end with it, also when it is told to stop.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                return await case(deployment)
        finally:
            await deployment.close()

    status = 2
    try:
        broken = asyncio.run(play())
        status = 1 if broken else 0
        for item in broken[:20]:
            record.write("rule broken", detail=item)
            print(item)
        print(f"{len(broken)} breaches; trouble: {TROUBLE}")
        record.write("result", breaches=len(broken))
    except (CannotRun, OSError, TimeoutError, AssertionError, asyncio.CancelledError) as exc:
        record.write("case could not run", detail=f"{exc!r}")
        print(f"could not run: {exc!r}")
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {work.name}")
        else:
            shutil.rmtree(work, ignore_errors=True)
    sys.exit(status)
