"""Second part of the demo: a node on the users' platform during an outage of its store."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable
from typing import Any

import aiohttp

from ..platform.boot import Boot
from ..platform.node import PlatformAdapter
from ..proxynode import ProxyNode
from .platform_runner import FakeRunner, RunnerFault, response_seal
from .platform_store import FakeStore, StoreFault, StoreListener

HOST = "desk.example"
SECONDS = 3.0
INTERVAL_S = 0.05
STORE_DOWN_AT_S, STORE_DOWN_FOR_S = 1.0, 1.0
ROUTES = {"booking": ("non_idempotent", "apps"), "draft": ("streaming", "models")}


async def run(report: Callable[[str], None]) -> dict[str, Any]:
    """Send bookings and drafts through one node and count the outcomes.

    Args:
        report: Called with each progress message.

    Returns:
        ``requests``, ``answered``, ``wrong`` (answers whose body does not match the
        response seal) and ``double_runs`` (bookings that were executed more than once).
    """
    store = FakeStore()
    listener = await store.open_listener()
    runners = [FakeRunner(f"m-{number}", "models") for number in (1, 2)]
    runners += [FakeRunner(f"a-{number}", "apps") for number in (1, 2)]
    for runner in runners:
        await runner.start()
        runner.announce(store)
    store.put("keyed.op", "config", _config())
    node = ProxyNode(PlatformAdapter(_boot(listener), metrics_port=0))
    task = asyncio.create_task(node.run())
    try:
        await node.started.wait()
        report(
            "started a node on the users' platform with a store, 2 runners and 2 booking services"
        )
        return await _serve(node, listener, runners, report)
    finally:
        task.cancel()
        await asyncio.wait([task])
        for runner in runners:
            await runner.stop()
        await store.stop()


async def _serve(
    node: ProxyNode,
    listener: StoreListener,
    runners: list[FakeRunner],
    report: Callable[[str], None],
) -> dict[str, Any]:
    outcomes: Counter[str] = Counter()
    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
        faults = group.create_task(_inject_faults(listener, runners, report))
        for number in range(int(SECONDS / INTERVAL_S)):
            kind = list(ROUTES)[number % 2]
            group.create_task(_send_request(session, node.ports["front"], kind, number, outcomes))
            await asyncio.sleep(INTERVAL_S)
        await faults
    runs = Counter(
        itertools.chain.from_iterable(
            [run.attempt for run in runner.runs] for runner in runners if runner.service == "apps"
        )
    )
    double_runs = sum(count > 1 for count in runs.values())
    report(
        f"{outcomes['answered']} of {sum(outcomes.values())} requests answered, "
        f"{outcomes['wrong']} with a wrong seal; {double_runs} bookings executed twice"
    )
    return {
        "requests": sum(outcomes.values()),
        "answered": outcomes["answered"],
        "wrong": outcomes["wrong"],
        "double_runs": double_runs,
    }


async def _inject_faults(
    listener: StoreListener, runners: list[FakeRunner], report: Callable[[str], None]
) -> None:
    await asyncio.sleep(STORE_DOWN_AT_S)
    report(f"store is unavailable for {STORE_DOWN_FOR_S:g} s; a runner truncates two answers")
    listener.fail(StoreFault.RESET)
    runners[0].fail(RunnerFault.CUT, RunnerFault.CUT)
    await asyncio.sleep(STORE_DOWN_FOR_S)
    listener.fail(StoreFault.NONE)


async def _send_request(
    session: aiohttp.ClientSession, port: int, kind: str, number: int, outcomes: Counter[str]
) -> None:
    headers = {
        "Host": HOST,
        "Lacewinghub-Attempt-Id": f"{kind}-{number}",
        "Lacewinghub-Deadline-Ms": "3000",
    }
    if kind == "draft":
        headers["Lacewinghub-Token-Count"] = "6000,20"
    url = f"http://127.0.0.1:{port}/{kind}/x"
    try:
        async with session.post(url, data=b"...", headers=headers) as resp:
            body = await resp.read()
            if resp.status != 200:
                outcomes["failed"] += 1
                return
            sealed = resp.headers.get("Lacewinghub-Response-Seal") == response_seal(body)
            outcomes["answered" if sealed else "wrong"] += 1
    except aiohttp.ClientError:
        outcomes["failed"] += 1


def _boot(listener: StoreListener) -> Boot:
    return Boot.model_validate(
        {
            "node_name": "demo",
            "zone": "zone-a",
            "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"},
            "platform": {"address": listener.address},
            "bounds": {"budget_min_retries": 240},
        }
    )


def _config() -> dict[str, Any]:
    routes = [
        {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 3000,
            "service": service,
            "max_attempts": 2,
            "public": True,
            "resumable": kind == "streaming",
        }
        for name, (kind, service) in ROUTES.items()
    ]
    services = [{"name": "models", "engine": {}}, {"name": "apps"}]
    return {"version": 1, "routes": routes, "services": services}
