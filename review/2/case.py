"""A runner in trouble answers one stream with bytes without end."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import TROUBLE, Answer, CannotRun, Deployment, Runner, ask, main, route  # noqa: E402

TIMEOUT_S = 1.0  # The timeout_ms of the bookings' route.
DEADLINE_S = 3.0  # What the bookings' clients state.
BEFORE_S = 3.0
AFTER_S = 20.0
EVERY_S = 0.2
DRAFTS = 6


async def case(deployment: Deployment) -> list[str]:
    """Play the case and return the breaches."""
    record = deployment.record
    runners = [
        Runner(record, "i-1", "models", events=20, framing="endless" if TROUBLE else "chunked"),
        Runner(record, "i-2", "models", events=20),
        Runner(record, "i-3", "apps", slots=6, pause_s=0.02),
        Runner(record, "i-4", "apps", slots=6, pause_s=0.02),
    ]
    routes = [
        route("draft", "models", "streaming", resumable=True),
        route("book", "apps", "non_idempotent", timeout_ms=int(TIMEOUT_S * 1000)),
    ]
    await deployment.start(routes, runners, nodes=3)
    node = deployment.nodes[0]
    booked: list[asyncio.Task[Answer]] = []
    elsewhere: list[asyncio.Task[Answer]] = []
    drafted: list[asyncio.Task[Answer]] = []
    ready: list[bool] = []

    async def check_ready() -> None:
        while True:
            ready.append(await node.is_ready())
            record.write("ready?", node=node.name, ready=ready[-1])
            await asyncio.sleep(1.0)

    checks = asyncio.create_task(check_ready())
    started = time.monotonic()
    number = 0
    while time.monotonic() < started + BEFORE_S + AFTER_S:
        number += 1
        booked.append(
            asyncio.create_task(
                ask(record, node.front, "/book/1", f"{number:016x}", deadline_s=DEADLINE_S)
            )
        )
        # The same at another node shows that runners and clients aren't what is slow.
        elsewhere.append(
            asyncio.create_task(
                ask(
                    record,
                    deployment.nodes[1].front,
                    "/book/1",
                    f"e{number:015x}",
                    deadline_s=DEADLINE_S,
                )
            )
        )
        if not drafted and time.monotonic() >= started + BEFORE_S:
            for item in range(DRAFTS):
                drafted.append(
                    asyncio.create_task(
                        ask(
                            record,
                            node.front,
                            "/draft/1",
                            f"d{item:015x}",
                            deadline_s=15.0,
                            stream=True,
                            part=f"5c1e07a{item}",
                            tokens=400 if item % 2 else 12_000,
                        )
                    )
                )
        await asyncio.sleep(EVERY_S)
    answers = await asyncio.gather(*booked)
    others = await asyncio.gather(*elsewhere)
    in_time = sum(item.status == 200 and item.after_s < TIMEOUT_S for item in others)
    checks.cancel()
    for task in drafted:
        task.cancel()
    still = [item for item in answers if not item.status or item.after_s >= TIMEOUT_S]
    late = [item for item in still if not item.status or item.after_s > TIMEOUT_S + 0.5]
    record.write(
        "bookings",
        asked=len(answers),
        unanswered_at_timeout=len(still),
        half_a_second_later=len(late),
    )
    record.write("readiness checks", asked=len(ready), failed=ready.count(False))
    print(
        f"bookings {len(answers)}, unanswered at timeout_ms {len(still)}, half a second later "
        f"{len(late)}; readiness checks {len(ready)}, failed {ready.count(False)}"
    )
    print(f"at another node {in_time} of {len(others)} bookings were answered in time")
    record.write("bookings at another node", asked=len(others), in_time=in_time)
    if in_time < len(others) * 0.9:
        raise CannotRun("the bookings at another node aren't answered in time either")
    if len(late) >= 8 and len(late) > len(still) / 2:
        return [
            f"CONFIG: of {len(still)} requests that were unanswered at timeout_ms, {len(late)} had "
            "no answer half a second later"
        ]
    return []


main(case, FOLDER)
