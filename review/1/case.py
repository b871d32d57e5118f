"""Half of the connections of one node are reset while it waits for long prompts to be read."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import TROUBLE, Answer, Deployment, Runner, ask, main, route  # noqa: E402

NODES = 9
RUNNERS = 6
FIRST_S = 1.5  # Two prompts of 50,000 tokens, at 66.2 tokens a ms.
AFTER_S = 40.0
EVENTS = 5
DEADLINE_S = 15.0


async def case(deployment: Deployment) -> list[str]:
    """Play the case and return the breaches."""
    record = deployment.record
    runners = [
        Runner(record, f"i-{n}", "models", events=EVENTS, first_s=FIRST_S) for n in range(RUNNERS)
    ]
    kinds = {"draft": "5c1e07a2", "history": "91bd3f06"}
    routes = [
        route(kind, "models", "streaming", resumable=True, target_latency_ms=4000) for kind in kinds
    ]
    await deployment.start(routes, runners, nodes=NODES)
    sent: list[tuple[str, float, asyncio.Task[Answer]]] = []

    def send(kind: str, node: int) -> None:
        found = ask(
            record,
            deployment.nodes[node].front,
            f"/{kind}/1",
            f"{len(sent):016x}",
            deadline_s=DEADLINE_S,
            stream=True,
            part=kinds[kind],
            tokens=50_000,
        )
        sent.append((kind, time.monotonic(), asyncio.create_task(found)))

    for _ in range(6):
        send("draft", 0)
    await asyncio.sleep(0.4)
    if TROUBLE:
        for item in runners:
            item.reset_half()
    await asyncio.sleep(6.0)
    calm = time.monotonic()
    while time.monotonic() < calm + AFTER_S:
        for kind in kinds:
            send(kind, len(sent) // 2 % NODES)
        await asyncio.sleep(1.0)
    early = [(await task).status for _, at, task in sent if at < calm]
    record.write("statuses of the requests that were under way", statuses=early)
    print(f"statuses of the {len(early)} requests that were under way: {early}")
    served = {kind: [0, 0] for kind in kinds}
    for kind, at, task in sent:
        answer = await task
        if at >= calm:
            served[kind][0] += answer.status == 200 and answer.events == list(range(1, EVENTS + 1))
            served[kind][1] += 1
    record.write("served of asked, from 6 s after the reset", **served)
    print(served)
    share = {kind: good / asked for kind, (good, asked) in served.items()}
    total = sum(good for good, _ in served.values()) / sum(asked for _, asked in served.values())
    return [
        f"Starved: {kind} is served {found:.2f}, all requests {total:.2f}"
        for kind, found in share.items()
        if found < total / 4
    ]


main(case, FOLDER)
