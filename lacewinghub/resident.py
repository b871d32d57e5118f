"""Measures resident memory, idle processor time and startup time of real node processes."""

import asyncio
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path

from .capacity import LinearFit, fit_line
from .document import pack_document
from .footprint import CLOSED_ADDRESS, run, sample_tables
from .overhead import Load, Processes, cpu_seconds, stream_tables
from .overhead import measure as measure_streams
from .tables import Tables

WORKSPACE_COUNTS = (10, 4_000, 8_000, 13_000)
ENDPOINT_COUNTS = (18, 1_000, 3_000, 5_700)
STREAM_COUNTS = (1, 50, 100, 200, 400)
IDLE_S = 4.0
STREAM_TOKENS = 100
STREAM_INTERVAL_S = 0.05
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_LOAD_SNAPSHOT = """
import sys
import lacewinghub.node
from lacewinghub.config import ConfigState

def pages():
    return int(open("/proc/self/statm").read().split()[1])

state, data, before = ConfigState(), sys.stdin.buffer.read(), pages()
state.apply_snapshot(1, data, 1)
print(pages() - before)
"""
_MODULES = ("asyncio", "aiohttp", "sanic", "lacewinghub.node")


def node_workspaces(sizes: Sequence[int] = WORKSPACE_COUNTS) -> list[LinearFit]:
    """Measure resident memory of a node by number of workspaces with a route each."""
    rows = [(float(n), *run(_idle_node(n, 2))) for n in sizes]
    return [fit_line("resident memory per workspace", "bytes", [(n, rss) for n, rss, _, _ in rows])]


def node_endpoints(sizes: Sequence[int] = ENDPOINT_COUNTS) -> list[LinearFit]:
    """Measure resident memory, idle processor time and startup time of a node by endpoints.

    The endpoints refuse connections, so that polls fail at once.
    """
    rows = [(float(n), *run(_idle_node(10, n))) for n in sizes]
    return [
        fit_line("resident memory per endpoint", "bytes", [(n, rss) for n, rss, _, _ in rows]),
        fit_line(
            "idle share of a core per endpoint", "cores", [(n, core) for n, _, core, _ in rows]
        ),
        fit_line("time to start per endpoint", "s", [(n, spent) for n, _, _, spent in rows]),
    ]


def node_streams(sizes: Sequence[int] = STREAM_COUNTS) -> list[LinearFit]:
    """Measure resident memory by open streams and processor time by relayed tokens."""
    rows = run(_stream_node(sizes))
    return [
        fit_line("resident memory per open stream", "bytes", [(n, rss) for n, rss, _ in rows]),
        fit_line("processor time per token relayed", "s", [(t, cpu) for _, _, (t, cpu) in rows]),
    ]


def import_memory(sizes: Sequence[int] = (0, 1, 2, 4)) -> list[LinearFit]:
    """Measure the resident memory of an interpreter by the number of imported modules."""
    points = []
    for count in sizes:
        code = "".join(f"import {name}; " for name in _MODULES[:count])
        code += "print(open('/proc/self/statm').read())"
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        points.append((float(count), float(int(done.stdout.split()[1]) * PAGE_BYTES)))
    return [fit_line("resident memory by imports", "bytes", points)]


def snapshot_memory(sizes: Sequence[int] = WORKSPACE_COUNTS) -> list[LinearFit]:
    """Measure the resident memory of a loaded snapshot by workspaces with a route each."""
    points = []
    for n in sizes:
        data = pack_document(Tables.parse(sample_tables(n, 2, CLOSED_ADDRESS)))
        command = [sys.executable, "-c", _LOAD_SNAPSHOT]
        done = subprocess.run(command, input=data, capture_output=True, check=True)
        points.append((float(n), float(int(done.stdout) * PAGE_BYTES)))
    return [fit_line("resident memory of a loaded snapshot per workspace", "bytes", points)]


MEASUREMENTS: dict[str, Callable[[], list[LinearFit]]] = {
    "node-workspaces": node_workspaces,
    "node-endpoints": node_endpoints,
    "node-streams": node_streams,
    "import-memory": import_memory,
    "snapshot-memory": snapshot_memory,
}


async def _idle_node(workspaces: int, endpoints: int) -> tuple[float, float, float]:
    """Return resident bytes, idle share of a core, and processor seconds until ready."""
    with tempfile.TemporaryDirectory() as path:
        processes = Processes(Path(path))
        try:
            log, _ = processes.start("fake_log")
            document = sample_tables(workspaces, endpoints, CLOSED_ADDRESS)
            _, pid = await processes.start_node(log, document, "zone-0", "ERROR")
            started = cpu_seconds(pid)
            await asyncio.sleep(1.0)
            before, began = cpu_seconds(pid), time.monotonic()
            await asyncio.sleep(IDLE_S)
            core = (cpu_seconds(pid) - before) / (time.monotonic() - began)
            return resident(pid), core, started
        finally:
            await asyncio.to_thread(processes.stop)


async def _stream_node(
    sizes: Sequence[int],
) -> list[tuple[float, float, tuple[float, float]]]:
    """Return per size: streams, resident bytes while open, and (tokens, processor seconds)."""
    rows = []
    with tempfile.TemporaryDirectory() as path:
        processes = Processes(Path(path))
        try:
            source, _ = processes.start("overhead", "--serve", "source")
            log, _ = processes.start("fake_log")
            address, pid = await processes.start_node(log, stream_tables(source))
            for count in sizes:
                load = Load(count, STREAM_TOKENS, STREAM_INTERVAL_S)
                run = asyncio.create_task(measure_streams("node", address, pid, load))
                await asyncio.sleep(count / 100 + 0.5)
                memory = resident(pid)
                found = await run
                rows.append((float(count), memory, (float(found.tokens), found.cpu_s)))
        finally:
            await asyncio.to_thread(processes.stop)
    return rows


def resident(pid: int) -> float:
    """Return the resident memory of a process in bytes, as /proc reports it."""
    return float(int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES)
