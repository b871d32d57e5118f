"""For 5.5 s, a runner spoils the header with its load in one of forty answers."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import TROUBLE, Answer, Deployment, Runner, ask, main, route  # noqa: E402

LENGTH_S = 60.0
EVERY_S = 0.0125
# `garble`: share = .5 is the default of `fleetbench kinds`; x = .0252 and for_s = 5.5 are the largest
# of the site file without a variant.
SPOILS_EACH = 40
SPOILS_FROM_S = 1.0
SPOILS_FOR_S = 5.5


async def case(deployment: Deployment) -> list[str]:
    """Play the case and return the breaches."""
    record = deployment.record
    runners = [
        Runner(record, "i-1", "apps", slots=6, pause_s=0.005),
        Runner(record, "i-2", "apps", slots=6, pause_s=0.005),
        Runner(record, "i-3", "models", events=3, pause_s=0.01),
        Runner(record, "i-4", "models", events=3, pause_s=0.01),
    ]
    routes = [
        route("book", "apps", "non_idempotent", timeout_ms=1000, target_latency_ms=125),
        route("chat", "models", "streaming"),
    ]
    await deployment.start(routes, runners, nodes=2)
    sent: list[tuple[str, asyncio.Task[Answer]]] = []
    started = time.monotonic()
    if TROUBLE:
        loop = asyncio.get_running_loop()
        loop.call_later(SPOILS_FROM_S, setattr, runners[0], "spoils_each", SPOILS_EACH)
        loop.call_later(SPOILS_FROM_S + SPOILS_FOR_S, setattr, runners[0], "spoils_each", 0)
    while time.monotonic() < started + LENGTH_S:
        number = len(sent)
        for kind in ("book", "chat"):
            found = ask(
                record,
                deployment.nodes[number // 2 % 2].front,
                f"/{kind}/1",
                f"{len(sent):016x}",
                deadline_s=1.0 if kind == "book" else 5.0,
                stream=kind == "chat",
            )
            sent.append((kind, asyncio.create_task(found)))
        await asyncio.sleep(EVERY_S)
    served = {"book": [0, 0], "chat": [0, 0]}
    for kind, task in sent:
        answer = await task
        served[kind][0] += answer.status == 200 and answer.looks_complete
        served[kind][1] += 1
    record.write("served of asked", **served)
    print(served)
    share = {kind: good / asked for kind, (good, asked) in served.items()}
    total = sum(good for good, _ in served.values()) / len(sent)
    return [
        f"Starved: {kind} is served {found:.2f}, all requests {total:.2f}"
        for kind, found in share.items()
        if found < total / 4
    ]


main(case, FOLDER)
