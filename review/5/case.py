"""A runner stops in the middle of an event, and ends its body in chunks."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import TROUBLE, Deployment, Runner, ask, main, route  # noqa: E402

EVENTS = 20
STREAMS = 10
STOPS_AT = 8


async def case(deployment: Deployment) -> list[str]:
    """Play the case and return the breaches."""
    record = deployment.record
    framing = "stopped" if TROUBLE else "chunked"
    runners = [
        Runner(record, f"i-{n}", "models", events=EVENTS, framing=framing, stops_at=STOPS_AT)
        for n in (1, 2)
    ]
    routes = [route("draft", "models", "streaming", resumable=True)]
    await deployment.start(routes, runners, nodes=2)
    asked = [
        asyncio.create_task(
            ask(
                record,
                deployment.nodes[number % 2].front,
                "/draft/1",
                f"{number:016x}",
                deadline_s=15.0,
                stream=True,
            )
        )
        for number in range(STREAMS)
    ]
    broken = []
    for answer in await asyncio.gather(*asked):
        whole = list(range(1, EVENTS + 1))
        if answer.status == 200 and answer.end in ("whole", "closed") and answer.events != whole:
            broken.append(
                f"ORDER, MIXED: {answer.attempt} got 200, {len(answer.events)} of {EVENTS} events, "
                f"a part of an event ({answer.body[-20:]!r}) and the end of a whole body"
            )
        elif not TROUBLE and answer.events != whole:
            broken.append(f"{answer.attempt} was not answered although nothing was disturbed")
    return broken


main(case, FOLDER)
