"""Measures the processor time per request and per event of both request paths through a node.

One path is the chat completions gateway, the other the HTTP proxy of a node on the platform. Each
runs as a process of its own on loopback and gets the same number of requests and events. Prints one
JSON object per path.
"""

import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp

from ..overhead import Load, Processes, cpu_seconds, measure, stream_tables
from .platform_runner import FakeRunner
from .platform_store import FakeStore

REQUESTS = 400
STREAMS = 50
EVENTS = 100
INTERVAL_S = 0.05
HOST = "raw.example"
START_S = 2.0

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": HOST,
            "path_prefix": "/r/",
            "kind": "streaming",
            "timeout_ms": 60_000,
            "service": "models",
            "public": True,
        }
    ],
    "services": [{"name": "models", "health_path": "/health", "engine": {}}],
}


async def _cpu_cost(pid: int, work: Callable[[], Awaitable[None]]) -> float:
    """Return the processor time in seconds that a process uses while ``work`` runs."""
    before = cpu_seconds(pid)
    await work()
    return cpu_seconds(pid) - before


async def _report(
    path: str,
    pid: int,
    send_request: Callable[[int], Awaitable[None]],
    stream: Callable[[], Awaitable[None]],
) -> None:
    async def requests() -> None:
        for number in range(REQUESTS):
            await send_request(number)

    per_request = await _cpu_cost(pid, requests) / REQUESTS
    streams = await _cpu_cost(pid, stream) - STREAMS * per_request
    per_event = streams / (STREAMS * EVENTS)
    print(json.dumps({"way": path, "request_us": per_request * 1e6, "event_us": per_event * 1e6}))


async def _measure_chat(folder: Path) -> None:
    processes = Processes(folder)
    try:
        source, _ = processes.start("overhead", "--serve", "source")
        log, _ = processes.start("fake_log")
        address, pid = await processes.start_node(log, stream_tables(source))

        async def send_request(number: int) -> None:
            await measure("chat", address, pid, Load(1, 2, 0.0))

        async def stream() -> None:
            await measure("chat", address, pid, Load(STREAMS, EVENTS, INTERVAL_S))

        await asyncio.sleep(START_S)
        await _report("chat completions", pid, send_request, stream)
    finally:
        await asyncio.to_thread(processes.stop)


async def _measure_proxy(folder: Path) -> None:
    store = FakeStore()
    listener = await store.open_listener()
    runner = FakeRunner("m-1", "models", events=2, work_s=0.0)
    await runner.start()
    runner.announce(store, slots=1000)
    store.put("keyed.op", "config", CONFIG)
    front = f"127.0.0.1:{_free_port()}"
    path = folder / "boot.toml"
    path.write_text(
        f'node_name = "n"\nzone = "z"\n[listen]\nfront = "{front}"\nready = "127.0.0.1:0"\n'
        f'[platform]\naddress = "{listener.address}"\n'
    )
    proc = subprocess.Popen(
        [sys.executable, "-m", "lacewinghub.platform"],
        env=os.environ | {"LACEWINGHUB_BOOT": str(path)},
        stdout=subprocess.DEVNULL,
    )
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, force_close=True))

    async def send_request(number: int) -> None:
        headers = {
            "Host": HOST,
            "Lacewinghub-Attempt-Id": f"a{number}",
            "Lacewinghub-Token-Count": "10,10",
            "Lacewinghub-Deadline-Ms": "60000",
        }
        url = f"http://{front}/r/x"
        async with session.post(url, data=b"question", headers=headers) as resp:
            resp.raise_for_status()
            await resp.read()

    async def stream() -> None:
        runner.events, runner.work_s = EVENTS, INTERVAL_S
        await asyncio.gather(*(send_request(10_000 + number) for number in range(STREAMS)))

    try:
        await asyncio.sleep(START_S)
        await _report("raw requests", proc.pid, send_request, stream)
    finally:
        await session.close()
        proc.kill()
        proc.wait()
        await runner.stop()
        await store.stop()


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


async def run() -> None:
    """Measure both paths, one after the other."""
    with tempfile.TemporaryDirectory() as folder:
        await _measure_chat(Path(folder))
        await _measure_proxy(Path(folder))


if __name__ == "__main__":
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    uvloop.run(run())
