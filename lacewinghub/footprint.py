"""Measures messages, processor time and traffic of the components of a node.

Every measurement returns lines fitted through at least four points, as those of ``capacity`` do.
``python -m lacewinghub.capacity NAME`` runs them.
"""

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from functools import partial
from typing import Any

import aiohttp
import uvloop

from .broker import START_S, Broker
from .brokered import BrokeredScheduler
from .capacity import LinearFit, fit_line
from .codec import encode
from .group import Groups, PoolSplit, broker_of, split_pool
from .health import EndpointHealth
from .lease import GrantSetDigest
from .membership import Member, Members, MemberState
from .memory_transport import MemoryNetwork
from .mesh import MESH_SIZES, SampleState, measure_mesh, measure_overlay
from .message import (
    Demand,
    GrantItem,
    Grants,
    Heartbeat,
    HeldGrant,
    MembershipGossip,
    MembershipUpdate,
    Message,
)
from .poll import MAX_POLLED, SPREAD_POLL_S, EndpointPoller
from .prefix import PrefixCacheIndex
from .request import AttemptResult, Request
from .scheduler import TablesView
from .selection import LoadReports
from .sim_components import new_loop
from .tables import Pool, Tables, Target

GROUP_SIZE = 18
GROUP_COUNTS = (1, 5, 10, 20, 40, 80)
HELD_GRANTS = (0, 50, 100, 200, 400)
NODE_COUNTS = (30, 90, 180, 330)
POLLED_ENDPOINTS = (4, 9, 18, 36)
SMALL_COUNTS = (1, 2, 4, 8)
OVERLAY_SIZES = (16, 36, 81, 162, 330)
REQUESTS = 100
REQUEST_INTERVAL_S = 0.05
GRANT_HOLD_S = 0.02
# An address that refuses connections, so that polls of a measured node fail at once.
CLOSED_ADDRESS = "127.0.0.1:9"
_LOAD = b'{"running": 3, "waiting": 0, "state": "live"}'
_EVENTS = b'{"events": [{"op": "evict", "block": 1}], "next": 1}'


class FixedMembers(Members):
    """Membership with fixed live nodes, which only ``replace`` changes."""

    def __init__(self, count: int, zones: int = 11) -> None:
        self._members = [
            Member(f"node-{n:03}", "", f"zone-{n % zones}", 1, MemberState.LIVE)
            for n in range(count)
        ]

    def live(self) -> list[Member]:
        """Return the live nodes."""
        return self._members

    def replace(self, members: list[Member]) -> None:
        """Replace the live nodes."""
        self._members = members

    def state(self, node: str) -> MemberState:
        """Return ``LIVE`` for every node."""
        return MemberState.LIVE


def demand_size(sizes: Sequence[int] = HELD_GRANTS) -> list[LinearFit]:
    """Measure the size of demand messages, with and without a list of grants, and of grants."""
    full = [(float(n), _size(_demand(9_000, n, True))) for n in sizes]
    renewals = [(float(n), _size(_demand(9_000, n, False))) for n in sizes]
    grants = [
        (float(n), _size(Grants("model-0/17", [_grant_item(i) for i in range(n)]))) for n in sizes
    ]
    return [
        fit_line("full demand size per grant held", "bytes", full),
        fit_line("renewal size per grant held", "bytes", renewals),
        fit_line("size of grants per slot", "bytes", grants),
    ]


def demand_time(sizes: Sequence[int] = HELD_GRANTS, repeats: int = 1_000) -> list[LinearFit]:
    """Measure the broker's time per demand message by grants that the sender holds."""
    return [
        fit_line(
            "broker time per full demand and grant held",
            "s",
            run(_demand_times(sizes, repeats, True)),
        ),
        fit_line(
            "broker time per renewal and grant held", "s", run(_demand_times(sizes, repeats, False))
        ),
    ]


def request_groups(sizes: Sequence[int] = GROUP_COUNTS) -> list[LinearFit]:
    """Measure messages, bytes and time per request by the number of runner groups of the pool.

    One node sends all requests. The node and three others in the same process are the brokers, so
    the time includes both sides; the time of the idle nodes is subtracted. Messages that a node
    sends to itself, those for a quarter of the groups, are not counted.
    """
    rows = [(float(n), run(_serve_requests(n))) for n in sizes]
    names = (
        ("client messages per request and group", "messages"),
        ("client bytes per request and group", "bytes"),
        ("broker bytes per request and group", "bytes"),
        ("time of client and brokers per request and group", "s"),
    )
    return [
        fit_line(name, unit, [(size, row[index]) for size, row in rows])
        for index, (name, unit) in enumerate(names)
    ]


def broker_choice(sizes: Sequence[int] = NODE_COUNTS) -> list[LinearFit]:
    """Measure the time to select the broker of a group by the number of live nodes."""
    group = split_pool(_pool(GROUP_SIZE))[0]
    points = [
        (float(count), _cpu_seconds(partial(broker_of, group, FixedMembers(count)), 200))
        for count in sizes
    ]
    return [fit_line("time to choose a broker per live node", "s", points)]


def broker_open(sizes: Sequence[int] = GROUP_COUNTS, members: int = 330) -> list[LinearFit]:
    """Measure the time in which a broker finds its own groups, by groups of all pools.

    A broker does so on startup and after a change of the members or pools.
    """
    rows = [(float(count), *run(_group_search_times(count, members))) for count in sizes]
    return [
        fit_line(
            "time to look for own groups per group, at the start", "s", [(n, t) for n, t, _ in rows]
        ),
        fit_line(
            "time to look for own groups per group, a member more or less",
            "s",
            [(n, t) for n, _, t in rows],
        ),
    ]


def split_time(sizes: Sequence[int] = GROUP_COUNTS) -> list[LinearFit]:
    """Measure the time to split a new pool, by its groups squared, and a changed one, by groups."""
    fresh, changed = [], []
    for count in sizes:
        pools = [_pool(count * GROUP_SIZE - n) for n in (0, 1)]
        fresh.append((float(count * count), _cpu_seconds(partial(split_pool, pools[0]), 1)))
        kept, alternating = PoolSplit(), itertools.cycle(pools)
        changed.append(
            (float(count), _cpu_seconds(lambda: kept.update(next(alternating)), 10))  # noqa: B023
        )
    return [
        fit_line("time to split a pool per group squared", "s", fresh),
        fit_line("time to split a pool with one endpoint more or less per group", "s", changed),
    ]


def heartbeat_size(sizes: Sequence[int] = SMALL_COUNTS) -> list[LinearFit]:
    """Measure heartbeat size by pools, tiers and brokered groups, and gossip size by nodes."""
    return [
        fit_line(
            "heartbeat size per pool", "bytes", [(n, _heartbeat_size(pools=n)) for n in sizes]
        ),
        fit_line(
            "heartbeat size per tier", "bytes", [(n, _heartbeat_size(tiers=n)) for n in sizes]
        ),
        fit_line(
            "heartbeat size per group", "bytes", [(n, _heartbeat_size(groups=n)) for n in sizes]
        ),
        fit_line(
            "rumours size per node",
            "bytes",
            [(n, _size(MembershipGossip(_membership_updates(n)))) for n in sizes],
        ),
    ]


def mesh_links(sizes: Sequence[int] = MESH_SIZES) -> list[LinearFit]:
    """Measure traffic and processor share of the connections of one node in a full mesh."""
    costs = [run(measure_mesh(n, 3.0)) for n in sizes]
    return [
        fit_line(
            "mesh payload per second and node", "bytes/s", [(c.nodes, c.bytes_per_s) for c in costs]
        ),
        fit_line(
            "mesh wire bytes per second and node",
            "bytes/s",
            [(c.nodes, c.wire_bytes_per_s) for c in costs],
        ),
        fit_line("mesh share of a core per node", "cores", [(c.nodes, c.core) for c in costs]),
    ]


def overlay_links(sizes: Sequence[int] = OVERLAY_SIZES, seconds: float = 4.0) -> list[LinearFit]:
    """Measure traffic and time of one node in the overlay, on an in-process network.

    Each node is the broker of a group. Under pressure, every node has an admission threshold for
    every pool. The time includes encoding and decoding but no sockets.
    """
    found = []
    for label, floor in (("", 8), (" under pressure", 4)):
        rows = []
        for count in sizes:
            with asyncio.Runner(loop_factory=new_loop) as runner:
                rows.append((float(count), *runner.run(measure_overlay(count, seconds, floor))))
        found += [
            fit_line(
                f"overlay payload per second and node{label}", "bytes/s", [r[:2] for r in rows]
            ),
            fit_line(f"overlay messages per second and node{label}", "1/s", [r[::2] for r in rows]),
            fit_line(f"overlay time per second and node{label}", "s", [r[::3] for r in rows]),
        ]
    return found


def poll_cost(sizes: Sequence[int] = POLLED_ENDPOINTS, rounds: int = 100) -> list[LinearFit]:
    """Measure bytes in both directions and time of endpoint polls, by endpoints.

    Measures one poll of each endpoint, where the time includes the server, and the traffic per
    second of a node with more than ``MAX_POLLED`` endpoints.
    """
    rows = [(float(n), *run(_poll(n, rounds))) for n in sizes]
    spread = [(float(n), run(_poll_spread(n))) for n in sizes]
    return [
        fit_line("bytes per poll and endpoint", "bytes", [(n, size) for n, size, _ in rows]),
        fit_line("time per poll and endpoint", "s", [(n, spent) for n, _, spent in rows]),
        fit_line("bytes per second and endpoint of own groups", "bytes/s", spread),
    ]


MEASUREMENTS: dict[str, Callable[[], list[LinearFit]]] = {
    "demand-size": demand_size,
    "demand-time": demand_time,
    "request-groups": request_groups,
    "broker-choice": broker_choice,
    "broker-open": broker_open,
    "split-time": split_time,
    "heartbeat-size": heartbeat_size,
    "mesh-links": mesh_links,
    "overlay-links": overlay_links,
    "poll-cost": poll_cost,
}


def run(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a new uvloop event loop."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(work)


def _cpu_seconds(run: Callable[[], Any], repeats: int) -> float:
    run()
    start = time.process_time()
    for _ in range(repeats):
        run()
    return (time.process_time() - start) / repeats


def _size(message: Message) -> float:
    return float(len(encode(message)))


def _held(n: int) -> HeldGrant:
    return HeldGrant(0x12345600 + n, f"runner-{1000 + n % GROUP_SIZE}", 1 + n % 8)


def _grant_item(n: int) -> GrantItem:
    return GrantItem(0x12345600 + n, f"runner-{1000 + n % GROUP_SIZE}", 1 + n % 8)


def _membership_updates(count: int) -> list[MembershipUpdate]:
    return [
        MembershipUpdate(
            f"node-{n:03}", 1_780_000_000_000, 1, "live", "zone-10", "10.100.100.100:7100"
        )
        for n in range(count)
    ]


def _heartbeat_size(pools: int = 4, tiers: int = 8, groups: int = 1) -> float:
    heartbeat = Heartbeat("node-123", 1_780_000_000_000, 100_000, str(MemberState.LIVE))
    SampleState(pools, tiers, groups).fill_heartbeat(heartbeat)
    return _size(heartbeat)


def _pool(endpoints: int, address: str = CLOSED_ADDRESS) -> Pool:
    return _tables(1, endpoints, address).pools["model-0"]


def sample_tables(workspaces: int, endpoints: int, address: str) -> dict[str, Any]:
    """Return a configuration document with up to four pools and a route per workspace.

    All endpoints have the same address.
    """
    pools = min(4, endpoints)
    return {
        "pools": [
            {
                "name": f"model-{pool}",
                "queue_limit": 1000,
                "endpoints": [
                    {
                        "name": f"runner-{n}",
                        "address": address,
                        "availability_zone": f"zone-{n % 11}",
                        "slots": 32,
                    }
                    for n in range(pool, endpoints, pools)
                ],
            }
            for pool in range(pools)
        ],
        "routes": [
            {
                "name": f"route-{n}",
                "pool": f"model-{n % pools}",
                "tier": 1 + n % 8,
                "workspace": f"workspace-{n}",
            }
            for n in range(workspaces)
        ],
        "workspaces": [
            {"name": f"workspace-{n}", "keys": [f"{n:064x}"]} for n in range(workspaces)
        ],
    }


def _tables(workspaces: int, endpoints: int, address: str = CLOSED_ADDRESS) -> Tables:
    document = sample_tables(workspaces, endpoints, address)
    if workspaces == 1:  # A single pool with all endpoints.
        first = document["pools"][0]
        first["endpoints"] = [item for pool in document["pools"] for item in pool["endpoints"]]
        document["pools"] = [first]
    return Tables.parse(document, 1)


def _demand(seq: int, held: int, full: bool) -> Demand:
    items, summary = [_held(n) for n in range(held)], GrantSetDigest()
    for item in items:
        summary.add(item.id)
    taken = items if full else []
    return Demand("model-0/0", seq, [], [], taken, summary.count, summary.digest, full)


async def _demand_times(
    sizes: Sequence[int], repeats: int, full: bool
) -> list[tuple[float, float]]:
    """Return the broker's time per demand message, by grants held."""
    tables = _tables(1, GROUP_SIZE)
    points = []
    for count in sizes:
        network = MemoryNetwork(encode_messages=False)
        members = FixedMembers(3)
        Broker(network.transport("node-000"), members, TablesView(lambda: tables))
        sender = network.transport("node-001")
        demands = [_demand(seq, count, full or seq == 0) for seq in range(repeats + 10)]
        start = 0.0
        for demand in demands:
            if demand.seq == 10:
                start = time.process_time()
            sender.send("node-000", demand)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        points.append((float(count), (time.process_time() - start) / repeats))
    return points


async def _serve_requests(groups: int) -> tuple[float, float, float, float]:
    """Return messages sent, bytes sent, bytes received and time per request."""
    tables = _tables(1, groups * GROUP_SIZE)
    network, members = MemoryNetwork(), FixedMembers(4, zones=1)
    transports = [network.transport(item.node) for item in members.live()]
    schedulers = [
        BrokeredScheduler(TablesView(lambda: tables), LoadReports(), t, members) for t in transports
    ]
    tasks = [asyncio.create_task(scheduler.run()) for scheduler in schedulers]
    await asyncio.sleep(START_S + 0.2)
    await _send_requests(schedulers[0], 5)
    idle = time.process_time()
    await asyncio.sleep(REQUESTS * REQUEST_INTERVAL_S / 2)
    idle = 2 * (time.process_time() - idle)
    before = [t.traffic.total() for t in transports]
    spent = time.process_time()
    await _send_requests(schedulers[0], REQUESTS)
    spent = time.process_time() - spent - idle
    after = [t.traffic.total() for t in transports]
    received = sum(b.sent_bytes - a.sent_bytes for a, b in zip(before[1:], after[1:], strict=True))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    sent, size = after[0].sent - before[0].sent, after[0].sent_bytes - before[0].sent_bytes
    return sent / REQUESTS, size / REQUESTS, received / REQUESTS, spent / REQUESTS


async def _send_requests(scheduler: BrokeredScheduler, count: int) -> None:
    loop = asyncio.get_running_loop()
    calls = []
    for n in range(count):
        calls.append(asyncio.create_task(_send_request(scheduler, n, loop.time())))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*calls)


async def _send_request(scheduler: BrokeredScheduler, n: int, now: float) -> None:
    req = Request(
        id=f"r{n}",
        workspace="workspace-0",
        request_class="chat",
        tier=1 + n % 8,
        pool="model-0",
        body={},
        arrived=now,
        patience_s=10.0,
        target=Target(),
    )
    grant = await scheduler.acquire(req)
    await asyncio.sleep(GRANT_HOLD_S)
    scheduler.release(grant, AttemptResult(True, 0.2, 0.03, 370))


async def _group_search_times(groups: int, members: int) -> tuple[float, float]:
    """Return the time of the first search and of a search after a change of the members."""
    tables = _tables(1, groups * GROUP_SIZE)
    transport, live = MemoryNetwork().transport("node-000"), FixedMembers(members)
    groups_of_pools = Groups(TablesView(lambda: tables), live)
    broker = Broker(transport, live, TablesView(lambda: tables), groups=groups_of_pools)
    groups_of_pools.for_pool("model-0")
    now, start = asyncio.get_running_loop().time(), time.process_time()
    broker._open_own(now)
    first = time.process_time() - start
    alternating = itertools.cycle([live.live()[:-1], live.live()])

    def change() -> None:
        live.replace(next(alternating))
        broker._open_own(now)

    return first, _cpu_seconds(change, 10)


class _PollServer(asyncio.Protocol):
    """Endpoint that responds to polls and counts bytes in both directions."""

    def __init__(self, counts: list[int]) -> None:
        self._counts = counts

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        body = _EVENTS if b"cache_events" in data else _LOAD
        reply = (
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: "
            b"%d\r\n\r\n%b" % (len(body), body)
        )
        self._counts[0] += len(data) + len(reply)
        self._transport.write(reply)


async def _poll(endpoints: int, rounds: int) -> tuple[float, float]:
    """Return bytes and time of one poll of all endpoints."""
    async with _serve_polls(endpoints) as (tables, counts):
        poller = EndpointPoller(lambda: tables, LoadReports(), EndpointHealth(), PrefixCacheIndex())
        async with aiohttp.ClientSession() as http:
            await poller.poll(http)
            counts[0], start = 0, time.process_time()
            for _ in range(rounds):
                await poller.poll(http)
            spent = time.process_time() - start
        return counts[0] / rounds, spent / rounds


async def _poll_spread(own_runners: int, periods: int = 4) -> float:
    """Return bytes per second of a poller with more than ``MAX_POLLED`` endpoints."""
    names = {f"runner-{n}" for n in range(own_runners)}
    async with _serve_polls(own_runners + MAX_POLLED) as (tables, counts):
        dependencies = LoadReports(), EndpointHealth(), PrefixCacheIndex()
        poller = EndpointPoller(lambda: tables, *dependencies, lambda: names)
        task = asyncio.create_task(poller.run())
        await asyncio.sleep(1.5 * SPREAD_POLL_S)
        counts[0] = 0
        await asyncio.sleep(periods * SPREAD_POLL_S)
        task.cancel()
        return counts[0] / periods / SPREAD_POLL_S


@contextlib.asynccontextmanager
async def _serve_polls(endpoints: int) -> AsyncIterator[tuple[Tables, list[int]]]:
    """Serve polls of endpoints; yield their tables and the byte counter."""
    counts = [0]
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _PollServer(counts), "127.0.0.1", 0)
    yield _tables(1, endpoints, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"), counts
    server.close()
