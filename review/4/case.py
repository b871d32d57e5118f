"""A node gets SIGTERM while requests that it has read wait for a place at a busy service."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import TROUBLE, Answer, Deployment, Runner, ask, main, route  # noqa: E402

GRACE_S = 8
LOSS_SLACK_S = 0.2
TIMEOUT_S = 12.0  # The route's timeout_ms.
DEADLINE_S = 14.0  # What the clients state.
PER_S = 4.0
BEFORE_S = 11.0  # Traffic before the SIGTERM.


async def case(deployment: Deployment) -> list[str]:
    """Play the case and return the breaches."""
    record = deployment.record
    runners = [Runner(record, f"i-{n}", "apps", slots=2, pause_s=2.0) for n in (1, 2)]
    routes = [route("book", "apps", "non_idempotent", timeout_ms=int(TIMEOUT_S * 1000))]
    await deployment.start(routes, runners, nodes=2, grace_s=GRACE_S)
    node = deployment.nodes[0]
    asked: list[asyncio.Task[tuple[float, float, Answer]]] = []

    async def one(number: int) -> tuple[float, float, Answer]:
        sent = time.monotonic()
        attempt = f"{number:016x}"
        answer = await ask(record, node.front, "/book/1", attempt, deadline_s=DEADLINE_S)
        return sent, time.monotonic(), answer

    for number in range(int(BEFORE_S * PER_S)):
        asked.append(asyncio.create_task(one(number)))
        await asyncio.sleep(1 / PER_S)
    stopped_at = time.monotonic()
    if TROUBLE:
        record.write("SIGTERM", node=node.name)
        await node.stop()
        record.write("node ended", node=node.name, after_s=time.monotonic() - stopped_at)
    broken = []
    for sent, ended, answer in await asyncio.gather(*asked):
        if answer.end == "whole":
            continue
        waited = ended - sent
        runs = deployment.runs_of(answer.attempt)
        # Excused: the deadline or the route's timeout was reached, or the runner was still at work
        # in the last sixth of grace_s.
        timed_out = waited >= TIMEOUT_S
        late = stopped_at + GRACE_S * 5 / 6
        at_work = any(run.ended is None or run.ended >= late for run in runs)
        in_span = not TROUBLE or stopped_at <= ended <= stopped_at + GRACE_S + 1
        if waited > LOSS_SLACK_S and in_span and not timed_out and not at_work:
            broken.append(
                f"LOST: {answer.attempt} was read, waited {waited:.1f} s, ran {len(runs)} times, "
                f"and its connection ended {ended - stopped_at:.1f} s after the SIGTERM without an "
                f"answer ({answer.end})"
            )
    return broken


main(case, FOLDER)
