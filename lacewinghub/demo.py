"""Demo: a complete deployment in one process, with a traffic burst and a runner crash.

The configuration is that of the Te Awa Kitchen Renewal Trust in ``examples/trust-tables.json``; its
endpoints are fakes. The demo ends by itself within a minute.
"""

import asyncio
import json
import sys
from importlib import resources
from pathlib import Path
from typing import Any

import pyjson5

from . import logs
from .embedded import EmbeddedDeployment, EmbeddedSettings, workspace_key
from .errors import BadRequest, LacewingError
from .fakes import platform_demo
from .load import Burst, LoadClass, LoadRun, LoadScenario, LoadWorkspace
from .node_client import OUTCOME_OK
from .tables import Tables

TABLES_FILE = "trust-tables.json"
# 15 s of arrivals, then at most 20 s to complete the requests; the whole demo ends within a minute.
DURATION_S = 15.0
DRAIN_TIMEOUT_S = 20.0
TIMEOUT_S = 55.0
BURST_AT_S = 5.0
BURST_LENGTH_S = 4.0
BURST_FACTOR = 6.0
CRASH_AT_S = 7.0
CRASH_FOR_S = 2.0
CONFIG_CHANGE_AT_S = 11.0
CRASHED_RUNNER = "assistant-2"
TRAFFIC_BY_CLASS = {
    "painter-question": (3.0, [15, 60], [8, 24]),
    "quote": (2.0, [60, 200], [30, 80]),
    "draft": (2.0, [100, 300], [60, 120]),
}
BOOKING_RATE_S = 2.0
BOOKING_REPEAT_PROBABILITY = 0.3
MAX_DOUBLE_RUNS = 0


def example_tables() -> dict[str, Any]:
    """Return the configuration of the Trust as a JSON document.

    Raises:
        BadRequest: If the file is missing.
    """
    try:
        text = resources.files("lacewinghub").joinpath("examples", TABLES_FILE).read_text()
    except (FileNotFoundError, NotADirectoryError):
        path = Path(__file__).resolve().parent.parent / "examples" / TABLES_FILE
        try:
            text = path.read_text(encoding="utf-8")
        except OSError as exc:
            raise BadRequest(f"example tables cannot be read: {exc}") from exc
    document = pyjson5.decode(text)
    assert isinstance(document, dict)
    return document


def scenario(document: dict[str, Any]) -> LoadScenario:
    """Return the traffic of the demo."""
    tables = Tables.parse(document)
    routes = {route.request_class: route for route in tables.routes.values()}
    classes = [
        LoadClass(
            name=name,
            rate_s=rate_s,
            model=routes[name].model,
            prompt_words=words,
            prefix_words=128,
            output_tokens=tokens,
            target=routes[name].target,
        )
        for name, (rate_s, words, tokens) in TRAFFIC_BY_CLASS.items()
    ]
    classes[-1].bursts = [Burst(BURST_AT_S, BURST_LENGTH_S, BURST_FACTOR)]
    booking = tables.routes["booking"]
    classes.append(
        LoadClass(
            name="booking",
            rate_s=BOOKING_RATE_S,
            service=booking.pool,
            repeat=BOOKING_REPEAT_PROBABILITY,
            target=booking.target,
        )
    )
    workspaces = [
        LoadWorkspace(item.name, workspace_key(item.name), item.weight)
        for item in tables.workspaces.values()
    ]
    return LoadScenario("demo", DURATION_S, classes, workspaces, check_answers=True)


async def run() -> dict[str, Any]:
    """Run the demo and print its progress.

    Returns:
        The totals: ``requests``, ``answered``, ``not_run``, ``unknown``, ``double_runs``,
        ``attainment`` by class and further totals.

    Raises:
        LacewingError: If a component does not start or a guarantee is violated.
    """
    async with asyncio.timeout(TIMEOUT_S):
        document = example_tables()
        deployment = EmbeddedDeployment(EmbeddedSettings(document))
        _print_progress(
            "starting 3 nodes, an append-only log, 6 model runners and 3 booking services"
        )
        try:
            await deployment.start()
            result = await _serve(deployment, scenario(document))
        finally:
            await deployment.stop()
        result["platform"] = await platform_demo.run(_print_progress)
    _print_progress("all components stopped")
    return result


async def _serve(deployment: EmbeddedDeployment, traffic: LoadScenario) -> dict[str, Any]:
    published = await deployment.publish("demo")
    _print_progress(
        f"published configuration version {published.version}: 5 routes map request classes to 2 "
        "pools; applied by all nodes"
    )
    _print_progress(
        f"sending {DURATION_S:.0f} s of traffic to all nodes: painters' questions (tier 1), quotes "
        "(tier 2), drafts (tier 5), bookings that must not be executed twice"
    )
    load = LoadRun(traffic, deployment.addresses)
    events = asyncio.get_running_loop().create_task(_inject_faults(deployment))
    progress = asyncio.get_running_loop().create_task(_report_progress(load))
    try:
        totals = await load.run(DRAIN_TIMEOUT_S)
    finally:
        progress.cancel()
        events.cancel()
    if events.done() and not events.cancelled():
        events.result()
    return _result(deployment, totals)


async def _inject_faults(deployment: EmbeddedDeployment) -> None:
    await asyncio.sleep(BURST_AT_S)
    _print_progress(f"burst: {BURST_FACTOR:.0f} times as many drafts for {BURST_LENGTH_S:.0f} s")
    await asyncio.sleep(CRASH_AT_S - BURST_AT_S)
    _print_progress(
        f"runner {CRASHED_RUNNER} is down for {CRASH_FOR_S:.0f} s; its answers are resumed on "
        "other runners"
    )
    deployment.runners[CRASHED_RUNNER].crash(CRASH_FOR_S)
    await asyncio.sleep(CONFIG_CHANGE_AT_S - CRASH_AT_S)
    document = json.loads(json.dumps(deployment.document))
    quote = next(item for item in document["routes"] if item["name"] == "quote")
    quote["patience_s"] = 20
    published = await deployment.publish("operator", document)
    _print_progress(
        f"published configuration version {published.version} during traffic; applied by all nodes"
    )


async def _report_progress(load: LoadRun) -> None:
    while True:
        await asyncio.sleep(2.5)
        counts = [
            f"{name} {totals.outcomes[OUTCOME_OK]}/{totals.requests}"
            for name, totals in load.totals.items()
        ]
        _print_progress("answered/finished requests: " + ", ".join(counts))


def _result(deployment: EmbeddedDeployment, totals: dict[str, Any]) -> dict[str, Any]:
    double_runs = deployment.double_runs()
    _print_progress(
        f"{totals['answered']} of {totals['requests']} requests answered; answers that differ from "
        f"what the runner generated: {totals['wrong']}"
    )
    runs = sum(len(service.ledger) for service in deployment.services.values())
    _print_progress(
        f"the booking services executed {runs} bookings, {double_runs} of them repeatedly"
    )
    return {
        "requests": totals["requests"],
        "answered": totals["answered"],
        "not_run": totals["not_run"],
        "unknown": totals["unknown"],
        "double_runs": double_runs,
        "wrong": totals["wrong"],
        "attainment": totals["attainment"],
        "errors": {
            name: item["errors"] for name, item in totals["classes"].items() if item["errors"]
        },
        "seconds": totals["seconds"],
    }


def check(result: dict[str, Any]) -> None:
    """Check the guarantees that the demo shows.

    Raises:
        LacewingError: If an answer is wrong or a booking was executed twice.
    """
    for totals in (result, result.get("platform", {})):
        wrong, double_runs = totals.get("wrong", 0), totals.get("double_runs", 0)
        if wrong or double_runs > MAX_DOUBLE_RUNS:
            raise LacewingError(f"{wrong} wrong answers, {double_runs} bookings executed twice")


def main() -> None:
    """Run the demo; the last line of output is the result as one JSON object.

    Raises:
        LacewingError: If a component does not start or a guarantee is violated.
    """
    import uvloop

    # Injected faults are announced on standard output, so only errors are logged.
    logs.setup("ERROR")
    result = uvloop.run(run())
    print(json.dumps(result), flush=True)
    check(result)


_began: list[float] = []


def _print_progress(text: str) -> None:
    now = asyncio.get_running_loop().time()
    if not _began:
        _began.append(now)
    print(f"[{now - _began[0]:5.1f} s] {text}", flush=True, file=sys.stdout)
