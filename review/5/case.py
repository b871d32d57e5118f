"""A node gets SIGTERM while it passes on streams that have neither a length nor chunks."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import TROUBLE, Deployment, Runner, ask, main, route  # noqa: E402

EVENTS = 60
PAUSE_S = 0.2  # The stream takes 12 s of its 15 s.
STREAMS = 8
DEADLINE_S = 15.0
GRACE_S = 8


async def case(deployment: Deployment) -> list[str]:
    """Play the case and return the breaches."""
    record = deployment.record
    runners = [
        Runner(record, f"i-{number}", "models", events=EVENTS, pause_s=PAUSE_S, framing="unframed")
        for number in (1, 2)
    ]
    routes = [route("chat", "models", "streaming", gap_aim_ms=800)]
    await deployment.start(routes, runners, nodes=3, grace_s=GRACE_S)
    node = deployment.nodes[0]
    asked = [
        asyncio.create_task(
            ask(
                record,
                deployment.nodes[number % 2].front,
                "/chat/1",
                f"{number:016x}",
                deadline_s=DEADLINE_S,
                stream=True,
            )
        )
        for number in range(STREAMS)
    ]
    await asyncio.sleep(1.0)
    if TROUBLE:
        record.write("SIGTERM", node=node.name)
        await node.stop()
        record.write("node ended", node=node.name)
    broken = []
    for answer in await asyncio.gather(*asked):
        whole = list(range(1, EVENTS + 1))
        if answer.status == 200 and answer.looks_complete and answer.events != whole:
            broken.append(
                f"MIXED, ORDER: {answer.attempt} got 200, {len(answer.events)} of {EVENTS} events, "
                f"and an end in order ({answer.end})"
            )
        elif not TROUBLE and answer.events != whole:
            broken.append(f"{answer.attempt} was not answered although nothing was disturbed")
    return broken


main(case, FOLDER)
