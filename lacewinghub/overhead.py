"""Measures the latency that a node adds to a stream, compared with a minimal proxy.

A server writes tokens that carry the time at which they were written. A client reads them directly,
through a minimal proxy (on the same libraries, sanic and aiohttp, without parsing the stream) and
through a node. Each component runs as a process of its own on loopback. Prints one JSON object per
run.
"""

import argparse
import asyncio
import contextlib
import hashlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from .log import HttpLog
from .publish import publish

KEY = "overhead"
STREAMS = (1, 100, 500)
INTERVAL_S = 0.05
SECONDS = 5.0
STREAM_STARTS_PER_S = 100.0
WARM_UP_S = 1.0
FLOOD_STREAMS = 20
FLOOD_TOKENS = 3000
START_TIMEOUT_S = 15.0
RUN_TIMEOUT_S = 120.0
_TIMESTAMP = re.compile(rb'"content":"T(\d+)"')
_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n"
_DONE_EVENT = b"data: [DONE]\n\n"


class _TokenServer(asyncio.Protocol):
    """Token server for one connection; ``metadata`` of the body sets number and rate of tokens."""

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._buffer = b""
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        head, found, body = self._buffer.partition(b"\r\n\r\n")
        if not found or self._task is not None:
            return
        length = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
        if not head.startswith(b"POST /v1/chat") or length is None:
            self._transport.write(b"HTTP/1.1 404 No\r\ncontent-length: 0\r\n\r\n")
            self._transport.close()
        elif len(body) >= int(length.group(1)):
            metadata = json.loads(body)["metadata"]
            self._task = asyncio.get_running_loop().create_task(self._send(**metadata))

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _send(self, tokens: int, interval_s: float) -> None:
        self._transport.write(_RESPONSE_HEAD)
        due = time.monotonic()
        for index in range(tokens):
            await self._writable.wait()
            stamp = time.monotonic_ns()
            self._transport.write(
                b'data: {"id":"r","object":"chat.completion.chunk","model":"m","index":%d,'
                b'"choices":[{"index":0,"delta":{"content":"T%d"},"finish_reason":null}]}\n\n'
                % (index, stamp)
            )
            due += interval_s
            if interval_s:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
        self._transport.write(
            b'data: {"index":%d,"total":%d,"choices":[{"index":0,"delta":{},'
            b'"finish_reason":"stop"}]}\n\n' % (tokens, tokens)
        )
        self._transport.write(_DONE_EVENT)
        self._transport.close()


class _StreamClient(asyncio.Protocol):
    """Client of one stream, with little enough overhead not to limit the measurement."""

    def __init__(self, request: bytes) -> None:
        self.done = asyncio.get_running_loop().create_future()
        self.first_s = -1.0
        self.complete = False
        self.delays: list[float] = []
        self._request = request
        self._incomplete_line = b""

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._sent = time.monotonic()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        now = time.monotonic()
        data = self._incomplete_line + data
        cut = data.rfind(b"\n") + 1
        for match in _TIMESTAMP.finditer(data, 0, cut):
            if self.first_s < 0:
                self.first_s = now - self._sent
            else:
                self.delays.append(now - int(match.group(1)) / 1e9)
        self._incomplete_line = data[cut:]
        if _DONE_EVENT in data:
            self.complete = True
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(None)


@dataclass(slots=True)
class Load:
    """Load of one run.

    Attributes:
        streams: Number of concurrent streams.
        tokens: Number of tokens per stream.
        interval_s: Time between tokens in seconds; 0 sends as fast as the client reads.
    """

    streams: int
    tokens: int
    interval_s: float


@dataclass(slots=True)
class LoadResult:
    """Result of one run; ``first_ms`` and ``token_ms`` are quantiles in milliseconds."""

    via: str
    streams: int
    offered_tokens_s: float
    tokens: int
    complete: bool
    first_ms: dict[str, float]
    token_ms: dict[str, float]
    tokens_s: float
    cpu_s: float
    tokens_per_core_s: float
    seconds: float = field(default=0.0)


def quantiles(values: list[float]) -> dict[str, float]:
    """Return the 50th, 95th and 99th percentile of times in seconds, in milliseconds."""
    ordered = sorted(values) or [0.0]
    return {
        f"p{percent}": round(ordered[min(len(ordered) - 1, len(ordered) * percent // 100)] * 1e3, 3)
        for percent in (50, 95, 99)
    }


async def measure(via: str, address: str, pid: int, load: Load) -> LoadResult:
    """Run the streams of a load against one address.

    Args:
        via: Label of the result.
        address: ``IP:port`` of the node, proxy or token server.
        pid: Process whose processor time is measured.
        load: Streams to run.

    Returns:
        The result.
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    request = _request(host, load)
    cpu_before, began = cpu_seconds(pid), time.monotonic()
    streams: list[_StreamClient] = []
    for number in range(load.streams):
        due = began + number / STREAM_STARTS_PER_S
        if load.interval_s:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        _, stream = await loop.create_connection(lambda: _StreamClient(request), host, int(port))
        streams.append(stream)
    async with asyncio.timeout(RUN_TIMEOUT_S):
        await asyncio.gather(*(item.done for item in streams))
    seconds, cpu_s = time.monotonic() - began, cpu_seconds(pid) - cpu_before
    tokens = sum(len(item.delays) + (item.first_s >= 0) for item in streams)
    return LoadResult(
        via,
        load.streams,
        load.streams / load.interval_s if load.interval_s else 0.0,
        tokens,
        all(item.complete for item in streams),
        quantiles([item.first_s for item in streams]),
        quantiles([delay for item in streams for delay in item.delays]),
        round(tokens / seconds, 1),
        round(cpu_s, 3),
        round(tokens / cpu_s, 1) if cpu_s else 0.0,
        round(seconds, 3),
    )


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _request(host: str, load: Load) -> bytes:
    body = json.dumps(
        {
            "model": "colour",
            "stream": True,
            "messages": [{"role": "user", "content": "a question of a few words"}],
            "metadata": {"tokens": load.tokens, "interval_s": load.interval_s},
        }
    )
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nhost: {host}\r\nauthorization: Bearer {KEY}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n{body}"
    ).encode()


async def _serve_tokens() -> None:
    server = await asyncio.get_running_loop().create_server(
        _TokenServer, "127.0.0.1", 0, backlog=1024
    )
    print(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    await _wait_for_sigterm()
    server.close()


async def _serve_proxy(source: str) -> None:
    import sanic

    app = sanic.Sanic("relay", configure_logging=False)
    app.config.TOUCHUP = False
    http = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=None)
    )

    @app.post("/v1/chat/completions")
    async def proxy(request: sanic.Request) -> None:
        url = f"http://{source}/v1/chat/completions"
        async with http.post(url, data=request.body) as resp:
            response = await request.respond(content_type="text/event-stream")
            async for data in resp.content.iter_any():
                await response.send(data)

    sock = socket.create_server(("127.0.0.1", 0))
    server: Any = await app.create_server(
        sock=sock, return_asyncio_server=True, access_log=False, backlog=1024
    )
    await server.startup()
    print(f"127.0.0.1:{sock.getsockname()[1]}", flush=True)
    await _wait_for_sigterm()
    await http.close()


async def _wait_for_sigterm() -> None:
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()


class Processes:
    """Starts and stops the processes of a measurement.

    Args:
        path: Directory for the settings file of the node.
        profile: File for a cProfile profile of the node; empty for none.
    """

    def __init__(self, path: Path, profile: str = "") -> None:
        self._path = path
        self._profile = profile
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self, module: str, *args: str) -> tuple[str, int]:
        """Start a process and read its address from its first line of output."""
        process = self._spawn(["-m", f"lacewinghub.{module}", *args], subprocess.PIPE)
        assert process.stdout is not None
        found = re.search(r"[\d.]+:\d+", process.stdout.readline().decode())
        if found is None:
            raise OSError(f"{module} did not start")
        return found.group(), process.pid

    async def start_node(
        self, log: str, document: dict[str, Any], zone: str = "z", log_level: str = "WARNING"
    ) -> tuple[str, int]:
        """Publish configuration tables, start a node and wait until it is ready.

        Args:
            log: Address of the log.
            document: Configuration document.
            zone: Availability zone of the node.
            log_level: Log level of the node.

        Returns:
            Address and process id of the node.
        """
        client = HttpLog(log)
        await publish(client, document, "overhead")
        await client.close()
        address, peer = (f"127.0.0.1:{_free_port()}" for _ in range(2))
        cfg = {
            "node": "n1",
            "availability_zone": zone,
            "listen": address,
            "peer_listen": peer,
            "log": log,
            "peer_key": "0123456789abcdef",
            "log_level": log_level,
            "limits": {"grace_s": 0.0},
        }
        file = self._path / "node.json"
        file.write_text(json.dumps(cfg))
        profile = ["-m", "cProfile", "-o", self._profile] if self._profile else []
        process = self._spawn([*profile, "-m", "lacewinghub.node", str(file)], subprocess.DEVNULL)
        await _wait_ready(address)
        return address, process.pid

    def stop(self) -> None:
        """Terminate all processes."""
        for process in reversed(self._processes):
            process.send_signal(signal.SIGTERM)
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(10)
            process.kill()
            process.wait()
            if process.stdout is not None:
                process.stdout.close()

    def _spawn(self, args: list[str], stdout: int) -> subprocess.Popen[bytes]:
        process = subprocess.Popen([sys.executable, *args], stdout=stdout)
        self._processes.append(process)
        return process


def stream_tables(source: str) -> dict[str, Any]:
    """Return a configuration document with one route to the token server."""
    endpoint = {"name": "source", "address": source, "availability_zone": "z", "slots": 4096}
    return {
        "pools": [{"name": "assistant", "endpoints": [endpoint], "queue_limit": 4096}],
        "routes": [{"name": "chat", "pool": "assistant", "tier": 1, "model": "colour"}],
        "workspaces": [{"name": "w", "keys": [hashlib.sha256(KEY.encode()).hexdigest()]}],
    }


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


async def _wait_ready(address: str) -> None:
    async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as http:
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with http.get(f"http://{address}/readyz") as resp:
                    if resp.status == 200:
                        return
            await asyncio.sleep(0.05)


def _loads(args: argparse.Namespace) -> Iterator[Load]:
    for count in args.streams:
        yield Load(count, max(2, round(args.seconds / args.interval)), args.interval)
    if args.flood:
        yield Load(FLOOD_STREAMS, FLOOD_TOKENS, 0.0)


async def run(args: argparse.Namespace) -> list[LoadResult]:
    """Start all processes, measure every load over every path, and stop the processes."""
    with tempfile.TemporaryDirectory() as path:
        processes = Processes(Path(path), args.profile)
        results = []
        try:
            source = processes.start("overhead", "--serve", "source")
            paths = {"direct": source}
            if not args.profile:
                paths["relay"] = processes.start(
                    "overhead", "--serve", "relay", "--source", source[0]
                )
            log, _ = processes.start("fake_log")
            paths["node"] = await processes.start_node(log, stream_tables(source[0]))
            for load in _loads(args):
                for via, (address, pid) in paths.items():
                    # An idle broker delays its first grant; that delay is no stream overhead.
                    await measure("warm-up", address, pid, Load(1, 2, 0.01))
                    await asyncio.sleep(WARM_UP_S)
                    found = await measure(via, address, pid, load)
                    print(json.dumps({name: getattr(found, name) for name in LoadResult.__slots__}))
                    sys.stdout.flush()
                    results.append(found)
        finally:
            await asyncio.to_thread(processes.stop)
        return results


def main() -> None:
    """Measure the overhead of a node, one JSON object per run."""
    parser = argparse.ArgumentParser(prog="python -m lacewinghub.overhead", description=__doc__)
    parser.add_argument("--streams", type=int, nargs="+", default=list(STREAMS))
    parser.add_argument("--seconds", type=float, default=SECONDS, help="duration of each stream")
    parser.add_argument("--interval", type=float, default=INTERVAL_S, help="s between tokens")
    parser.add_argument(
        "--flood", action="store_true", help="also measure streams without pauses between tokens"
    )
    parser.add_argument(
        "--profile", default="", help="write a cProfile profile of the node to this file"
    )
    parser.add_argument("--serve", choices=["source", "relay"], help=argparse.SUPPRESS)
    parser.add_argument("--source", default="", help=argparse.SUPPRESS)
    args = parser.parse_args()
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    if args.serve == "source":
        uvloop.run(_serve_tokens())
    elif args.serve == "relay":
        uvloop.run(_serve_proxy(args.source))
    else:
        uvloop.run(run(args))


if __name__ == "__main__":
    main()
