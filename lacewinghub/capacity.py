"""Measures how memory, time and message sizes grow, as the basis of the capacity page.

Every measurement returns a line fitted through at least four measured points. Memory is what Python
allocates, in bytes; time is processor time of this process, in seconds.
"""

import argparse
import asyncio
import base64
import gc
import hashlib
import json
import math
import os
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from loguru import logger

from .claim import Claimer
from .claim_index import ClaimIndex, ClaimRecord, ResultRecord
from .config import ChangeRecord, ConfigState
from .dependencies import BeforeSend
from .document import pack_document, unpack_document
from .endpoint import Reply
from .fake_log import MemoryLog
from .log import Page, Record
from .membership import Member, Members, MemberState
from .request import Request
from .tables import Change, Tables, Target

WORKSPACE_COUNTS = (10, 1_000, 5_000, 9_000, 13_000)
CLAIM_COUNTS = (1_000, 5_000, 10_000, 20_000)
CHANGE_COUNTS = (500, 1_000, 2_000, 4_000)
NODE_COUNTS = (1, 3, 5, 7, 9)
POOLS = 4
ENDPOINTS = 5_700
PAGE_RECORDS = 500
RETENTION_S = 86_400.0


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A line fitted to measured points by least squares.

    Attributes:
        name: Name of the measured cost.
        unit: Unit of the cost.
        points: Measured pairs of size and cost.
        slope: Additional cost per unit of size.
        intercept: Cost at size 0.
        error: Standard error of the slope.
    """

    name: str
    unit: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    error: float


def fit_line(name: str, unit: str, points: Sequence[tuple[float, float]]) -> LinearFit:
    """Fit a line by least squares.

    Args:
        name: Name of the measured cost.
        unit: Unit of the cost.
        points: Pairs of size and cost, with at least four different sizes.

    Returns:
        The line and the standard error of its slope.

    Raises:
        ValueError: If there are fewer than four different sizes.
    """
    if len({x for x, _ in points}) < 4:
        raise ValueError("a linear fit needs points of at least four different sizes")
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    rest = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return LinearFit(
        name, unit, tuple(points), slope, intercept, math.sqrt(rest / (n - 2) / spread)
    )


def sample_document(workspaces: int, routes: int, endpoints: int = ENDPOINTS) -> dict[str, Any]:
    """Return a configuration document of a given size with one key per workspace."""
    return {
        "pools": [
            {
                "name": f"pool-{pool}",
                "endpoints": [_endpoint(n) for n in range(pool, endpoints, POOLS)],
            }
            for pool in range(POOLS)
        ],
        "routes": [_route(n) for n in range(routes)],
        "workspaces": [_workspace(n) for n in range(workspaces)],
    }


def workspace_memory(sizes: Sequence[int] = WORKSPACE_COUNTS) -> LinearFit:
    """Measure the memory of the configuration tables by number of workspaces."""
    points = [(float(n), _allocated(_tables, n, 0)) for n in sizes]
    return fit_line("memory per workspace", "bytes", points)


def route_memory(sizes: Sequence[int] = WORKSPACE_COUNTS) -> LinearFit:
    """Measure the memory of the configuration tables by number of routes."""
    points = [(float(n), _allocated(_tables, 0, n)) for n in sizes]
    return fit_line("memory per route", "bytes", points)


def claim_memory(sizes: Sequence[int] = CLAIM_COUNTS, answered: bool = True) -> LinearFit:
    """Measure the memory of the claim index by number of claims, with or without an answer."""
    points = [(float(n), _allocated(_build_index, n, answered)) for n in sizes]
    return fit_line(f"memory per claim {'with' if answered else 'without'} answer", "bytes", points)


def claim_replay(sizes: Sequence[int] = CLAIM_COUNTS) -> LinearFit:
    """Measure the time to replay claims and their results from the log."""
    points = []
    for n in sizes:
        pages = _claim_pages(n, answered=True)
        points.append((float(n), _cpu_seconds(_fill_index, pages)))
    return fit_line("replay per claim and result", "s", points)


def record_size(sizes: Sequence[int] = CHANGE_COUNTS) -> list[LinearFit]:
    """Measure the JSON bytes that a reader of the log receives, by claims and by changes."""
    claims = [(float(n), _page_bytes(_claim_pages(n, answered=True))) for n in sizes]
    state = _loaded_state(13_000)
    changes = [(float(n), _page_bytes(_change_pages(state, n, PAGE_RECORDS))) for n in sizes]
    return [
        fit_line("log bytes per claim and result", "bytes", claims),
        fit_line("log bytes per change", "bytes", changes),
    ]


def change_time(sizes: Sequence[int] = WORKSPACE_COUNTS, repeats: int = 30) -> LinearFit:
    """Measure the time to apply one change by number of workspaces with a route each."""
    points = []
    for n in sizes:
        state = _loaded_state(n)
        pages = _change_pages(state, repeats, 1)
        spent = _cpu_seconds(_apply_pages, state, pages)
        points.append((float(n), spent / repeats))
    return fit_line("time per change and workspace", "s", points)


def change_replay(sizes: Sequence[int] = CHANGE_COUNTS, workspaces: int = 13_000) -> LinearFit:
    """Measure the time to replay changes in pages, as a node does on startup."""
    points = []
    for n in sizes:
        state = _loaded_state(workspaces)
        pages = _change_pages(state, n, PAGE_RECORDS)
        points.append((float(n), _cpu_seconds(_apply_pages, state, pages)))
    return fit_line("replay per change", "s", points)


def snapshot_size(sizes: Sequence[int] = WORKSPACE_COUNTS) -> LinearFit:
    """Measure the size of a snapshot record by number of workspaces with a route each."""
    points = [(float(n), float(len(base64.b64encode(_encode(_tables(n, n)))))) for n in sizes]
    return fit_line("snapshot size per workspace with route", "bytes", points)


def snapshot_write(sizes: Sequence[int] = WORKSPACE_COUNTS) -> LinearFit:
    """Measure the time to create and encode a snapshot."""
    points = []
    for n in sizes:
        tables = _tables(n, n)
        points.append((float(n), _cpu_seconds(_encode, tables)))
    return fit_line("snapshot write per workspace with route", "s", points)


def snapshot_load(sizes: Sequence[int] = WORKSPACE_COUNTS) -> LinearFit:
    """Measure the time to decode a snapshot and build its tables."""
    points = []
    for n in sizes:
        data = _encode(_tables(n, n))
        points.append((float(n), _cpu_seconds(_decode, data)))
    return fit_line("snapshot load per workspace with route", "s", points)


async def append_rates(
    nodes: Sequence[int] = NODE_COUNTS,
    claims_per_s: float = 20.0,
    log_delay_s: float = 0.005,
    duration_s: float = 2.0,
) -> tuple[LinearFit, LinearFit]:
    """Measure the load on the log by number of nodes.

    Args:
        nodes: Numbers of nodes.
        claims_per_s: New idempotency keys per second and node.
        log_delay_s: Delay of each log operation, in seconds.
        duration_s: Duration of each run in seconds.

    Returns:
        Appends per second and records per append, each by number of nodes.
    """
    rates, batches = [], []
    for count in nodes:
        appends, records, spent = await _measure_appends(
            count, claims_per_s, log_delay_s, duration_s
        )
        rates.append((float(count), appends / spent))
        batches.append((float(count), records / appends))
    return (
        fit_line("appends per second and node", "1/s", rates),
        fit_line("records per append and node", "records", batches),
    )


Measurement = Callable[[], Sequence[LinearFit]]


def measurements() -> dict[str, Measurement]:
    """Return all measurements by their name on the command line."""
    from . import footprint, ownership, resident  # Imported late, since they import this module.

    found: dict[str, Measurement] = {
        "workspace-memory": lambda: [workspace_memory()],
        "route-memory": lambda: [route_memory()],
        "claim-memory": lambda: [claim_memory(answered=False), claim_memory(answered=True)],
        "claim-replay": lambda: [claim_replay()],
        "record-size": record_size,
        "change-time": lambda: [change_time()],
        "change-replay": lambda: [change_replay()],
        "snapshot-size": lambda: [snapshot_size()],
        "snapshot-write": lambda: [snapshot_write()],
        "snapshot-load": lambda: [snapshot_load()],
        "append-rates": lambda: asyncio.run(append_rates()),
    }
    return found | footprint.MEASUREMENTS | ownership.MEASUREMENTS | resident.MEASUREMENTS


def main(argv: Sequence[str] | None = None) -> int:
    """Run measurements and print one JSON object per fitted line.

    Args:
        argv: Arguments; by default those of the process.

    Returns:
        Exit status.
    """
    found = measurements()
    parser = argparse.ArgumentParser(prog="python -m lacewinghub.capacity", description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help=f"of: {', '.join(found)}")
    names = parser.parse_args(argv).names
    unknown = [name for name in names if name not in found]
    if unknown:
        parser.error(f"unknown measurement {unknown[0]!r}; choose from {', '.join(found)}")
    os.environ["UV_USE_IO_URING"] = "0"
    for name in names or found:
        for line in found[name]():
            print(json.dumps({"measurement": name, **asdict(line)}), flush=True)
    return 0


def _endpoint(n: int) -> dict[str, Any]:
    address = f"10.{n // 62500}.{n // 250 % 250}.{n % 250 + 1}:8000"
    return {"name": f"runner-{n}", "address": address, "availability_zone": "north-a"}


def _workspace(n: int, weight: float = 1.0) -> dict[str, Any]:
    key = hashlib.sha256(f"key-{n}".encode()).hexdigest()
    return {"name": f"workspace-{n}", "keys": [key], "weight": weight}


def _route(n: int) -> dict[str, Any]:
    return {
        "name": f"route-{n}",
        "pool": f"pool-{n % POOLS}",
        "tier": 1 + n % 8,
        "workspace": f"workspace-{n}",
    }


def _tables(workspaces: int, routes: int) -> Tables:
    return Tables.parse(sample_document(workspaces, routes), 1)


def _encode(tables: Tables) -> bytes:
    return pack_document(tables)


def _decode(data: bytes) -> Tables:
    return unpack_document(data)


def _loaded_state(workspaces: int) -> ConfigState:
    state = ConfigState()
    state.apply_snapshot(1, _encode(_tables(workspaces, workspaces)), 1)
    return state


def _change_pages(state: ConfigState, count: int, page_records: int) -> list[Page]:
    records = []
    size = len(state.tables.workspaces)
    for n in range(count):
        value = _workspace(n % size, weight=2.0 + n % 900)
        version = state.tables.version + n
        change = ChangeRecord(
            version, version + 1, "ana", f"id-{n}", [Change("workspaces", value["name"], value)]
        )
        records.append(Record(state.next + n, 0.0, asdict(change)))
    return _pages(records, page_records)


def _pages(records: list[Record], size: int) -> list[Page]:
    end = records[-1].offset + 1
    return [
        Page(records[at : at + size], 0, end, 0.0, RETENTION_S)
        for at in range(0, len(records), size)
    ]


def _page_bytes(pages: list[Page]) -> float:
    return float(sum(len(json.dumps(asdict(page))) for page in pages))


def _apply_pages(state: ConfigState, pages: list[Page]) -> None:
    accepted = sum(len(state.apply_page(page)) for page in pages)
    if accepted != sum(len(page.records) for page in pages):
        raise RuntimeError("a measured change was rejected")


def _claim_pages(count: int, answered: bool) -> list[Page]:
    data: list[dict[str, Any]] = []
    for n in range(count):
        digest = hashlib.sha256(f"{n}".encode()).hexdigest()
        key, body, claim_id = digest[:32], digest[32:], f"{digest[:16]}-{n}"
        data.append(asdict(ClaimRecord(key, body, claim_id, "n1", 1, 0)))
        if answered:
            answer = {"booking": f"b-{n}", "slot": "2026-12-04T09:00", "kitchen": digest[:12]}
            result = ResultRecord(key, claim_id, body, "n1", 1, 0.0, True, 200, True, answer)
            data.append(asdict(result))
    return _pages([Record(at, 0.0, item) for at, item in enumerate(data)], PAGE_RECORDS)


def _fill_index(pages: list[Page]) -> ClaimIndex:
    index = ClaimIndex()
    for page in pages:
        index.feed(page)
    return index


def _build_index(count: int, answered: bool) -> ClaimIndex:
    return _fill_index(_claim_pages(count, answered))


def _allocated(build: Callable[..., Any], *args: Any) -> float:
    """Return the memory in bytes that the result of a function occupies."""
    build(*args)
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build(*args)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del kept
        return float(after - before)
    finally:
        tracemalloc.stop()


def _cpu_seconds(run: Callable[..., Any], *args: Any) -> float:
    gc.collect()
    start = time.process_time()
    run(*args)
    return time.process_time() - start


async def _measure_appends(
    count: int, claims_per_s: float, log_delay_s: float, duration_s: float
) -> tuple[int, int, float]:
    """Return the number of appends and records and the duration of a run in seconds."""
    log = MemoryLog(append_limit=1e6)
    log.set_faults(slow_s=log_delay_s)
    members = _AlwaysLive(count)
    nodes = [Claimer(f"n{n}", log, members) for n in range(count)]
    tasks = [asyncio.create_task(node.run()) for node in nodes]
    while not all(node.ready for node in nodes):
        await asyncio.sleep(0.01)
    loop = asyncio.get_running_loop()
    start = loop.time()
    calls: list[asyncio.Task[Reply]] = []
    for round_number in range(round(duration_s * claims_per_s)):
        await asyncio.sleep(max(0.0, start + round_number / claims_per_s - loop.time()))
        for node_number, node in enumerate(nodes):
            req = _request(f"{node_number}-{round_number}", loop.time())
            calls.append(asyncio.create_task(node.execute(req, _answer)))
    await asyncio.gather(*calls)
    elapsed_s = loop.time() - start
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return log.appends, len(log.records("claims")), elapsed_s


class _AlwaysLive(Members):
    def __init__(self, count: int) -> None:
        self._members = [Member(f"n{n}", "", "", 0, MemberState.LIVE) for n in range(count)]

    def live(self) -> list[Member]:
        return self._members

    def state(self, node: str) -> MemberState:
        return MemberState.LIVE


def _request(key: str, now: float) -> Request:
    return Request(
        id=key,
        workspace="trust",
        request_class="booking",
        tier=1,
        pool="booking",
        body={"kitchen": key},
        arrived=now,
        patience_s=30.0,
        target=Target(),
        key=key,
    )


async def _answer(check: BeforeSend) -> Reply:
    check()
    return Reply(200, {"booked": True})


if __name__ == "__main__":
    logger.disable("lacewinghub")
    raise SystemExit(main())
