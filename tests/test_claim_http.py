"""Claims of several nodes over HTTP on a real event loop."""

import asyncio
import unittest
from collections import Counter

from lacewinghub.claim import Claimer
from lacewinghub.dependencies import Check
from lacewinghub.endpoint import Reply
from lacewinghub.errors import ExecutionStatus, LacewingError
from lacewinghub.fake_log import LogServer, MemoryLog
from lacewinghub.log import HttpLog
from lacewinghub.request import Request
from lacewinghub.tables import Target
from tests import clock  # noqa: F401  Silences the log lines.

NODES = 3
KEYS = 40


class ClaimHttpTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a double run that only real connections and lost replies cause."""

    async def asyncSetUp(self) -> None:
        self.memory = MemoryLog(seed=4)
        server = LogServer(self.memory)
        address = await server.start()
        self.addAsyncCleanup(server.stop)
        self.runs: Counter[str] = Counter()
        self.sent: set[str] = set()
        self.nodes: list[Claimer] = []
        for n in range(NODES):
            log = HttpLog(address, timeout_s=0.5)
            self.addAsyncCleanup(log.close)
            node = Claimer(f"n{n}", log)
            task = asyncio.create_task(node.run())
            self.addCleanup(task.cancel)
            self.nodes.append(node)
        while not all(node.ready for node in self.nodes):
            await asyncio.sleep(0.01)

    async def _ask(self, node: Claimer, key: str, turn: int) -> str:
        req = Request(
            id=f"{key}-{turn}",
            workspace="trust",
            request_class="booking",
            tier=1,
            pool="booking",
            body={"kitchen": key},
            arrived=asyncio.get_running_loop().time(),
            patience_s=3.0,
            target=Target(),
            key=key,
        )

        async def send(check: Check) -> Reply:
            check()
            self.runs[key] += 1
            self.sent.add(req.id)
            await asyncio.sleep(0.01)
            return Reply(200, req.id)

        try:
            return f"ok {(await node.execute(req, send)).body}"
        except LacewingError as exc:
            if exc.run is ExecutionStatus.NOT_RUN:
                self.assertNotIn(req.id, self.sent, f"{req.id} ran but {exc.code} denies it")
            return exc.code

    async def test_racing_repeats_over_a_lossy_log_run_once(self) -> None:
        for faults in ({"lose_share": 0.4}, {"slow_s": 0.05}, {"late_appends": 10, "late_s": 0.2}):
            with self.subTest(**faults):
                self.memory.set_faults(**faults)
                asks = [
                    self._ask(node, f"{min(faults)}-{n}", turn)
                    for n in range(KEYS)
                    for turn, node in enumerate(self.nodes)
                ]
                answers = await asyncio.gather(*asks)
                self.assertLessEqual(max(self.runs.values()), 1)
                self.memory.set_faults()
                for at in range(0, len(answers), NODES):
                    served = {item for item in answers[at : at + NODES] if item.startswith("ok")}
                    self.assertLessEqual(len(served), 1)
        self.assertGreater(sum(self.runs.values()), KEYS)
