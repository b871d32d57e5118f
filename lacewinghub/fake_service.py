"""Fake of a plain service whose calls have side effects.

``POST /run`` executes every call and ignores whether its ``Idempotency-Key`` is known, so that a
call that was sent twice appears as two entries of ``GET /ledger``.
"""

import argparse
import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from sanic import HTTPResponse, Request, Sanic

from ._fake_server import LEAVING, LIVE, FakeServer, run_process
from .evidence import Execution, write_records


@dataclass(slots=True)
class ServiceFaults:
    """Fault probabilities per call.

    Attributes:
        fail_before: Status 500 without execution.
        fail_after: Status 500 after execution.
        lose_reply: The connection is closed after execution, without a response.
        lose_request: The connection is closed without execution.
        delay_s: Duration of an execution in seconds; not a probability.
    """

    fail_before: float = 0.0
    fail_after: float = 0.0
    lose_reply: float = 0.0
    lose_request: float = 0.0
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ExecutedCall:
    """An executed call; ``time`` is wall time in seconds since the epoch."""

    number: int
    key: str
    time: float
    body: Any


class FakeService(FakeServer):
    """A plain service with a ledger of the calls that it executed.

    The ledger survives crashes, as the side effects of a real service do.

    Args:
        name: Name of the endpoint.
        host: IP address to bind.
        port: Port to bind; 0 picks a free one.
        faults: Fault probabilities.
        slots: Number of concurrent calls that it reports as its capacity.
        seed: Seed of the random faults.
        ledger_file: File to which each executed call is appended as a line that
            ``evidence.read_records`` accepts, or None. It outlives a killed process.
    """

    def __init__(
        self,
        name: str = "service",
        host: str = "127.0.0.1",
        port: int = 0,
        faults: ServiceFaults | None = None,
        slots: int = 8,
        seed: int = 1,
        ledger_file: str | None = None,
    ) -> None:
        super().__init__(name, host, port)
        self.faults = faults or ServiceFaults()
        self.ledger: list[ExecutedCall] = []
        self._ledger_file = ledger_file
        self._slots = slots
        self._running = 0
        self._random = random.Random(f"{seed}:{name}")

    def set_faults(self, **members: float) -> None:
        """Replace the faults; members of ``ServiceFaults`` not given are reset to 0."""
        self.faults = ServiceFaults(**members)

    def double_runs(self) -> int:
        """Return the number of executions beyond the first one per idempotency key."""
        counts = Counter(run.key for run in self.ledger if run.key)
        return sum(count - 1 for count in counts.values())

    def _routes(self, app: Sanic) -> None:
        app.add_route(self._run, "/run", methods=["POST"], name="run")
        app.add_route(self._get_ledger, "/ledger", name="ledger")
        app.add_route(self._get_load, "/load", name="load")

    def _controls(self) -> dict[str, Callable[..., Any]]:
        return super()._controls() | {"faults": self.set_faults}

    async def _run(self, request: Request) -> HTTPResponse | None:
        await self._thawed.wait()
        if self.leaving:
            return self._refuse_leaving()
        faults = self.faults
        if self._occurs(faults.lose_request):
            self._drop(request)
            return None
        if self._occurs(faults.fail_before):
            return self._reply({"error": {"message": "injected failure before execution"}}, 500)
        self._running += 1
        try:
            # An execution that has started completes even if the client disconnects.
            run = await asyncio.shield(self._execute(request, faults.delay_s))
        finally:
            self._running -= 1
        if self._occurs(faults.lose_reply):
            self._drop(request)
            return None
        if self._occurs(faults.fail_after):
            return self._reply({"error": {"message": "injected failure after execution"}}, 500)
        return self._reply({"run": run.number, "key": run.key, "result": run.body})

    async def _execute(self, request: Request, delay_s: float) -> ExecutedCall:
        key = request.headers.get("Idempotency-Key", "")
        body = request.json
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        await self._thawed.wait()
        run = ExecutedCall(len(self.ledger) + 1, key, time.time(), body)
        self.ledger.append(run)
        if self._ledger_file is not None:
            write_records(self._ledger_file, [Execution(run.key, run.time, self.name)])
        return run

    def _drop(self, request: Request) -> None:
        transport: Any = request.transport
        if transport is not None:
            transport.abort()

    def _occurs(self, probability: float) -> bool:
        return probability > 0 and self._random.random() < probability

    async def _get_ledger(self, request: Request) -> HTTPResponse:
        return self._reply(
            {"runs": [asdict(run) for run in self.ledger], "double_runs": self.double_runs()}
        )

    async def _get_load(self, request: Request) -> HTTPResponse:
        await self._thawed.wait()
        return self._reply(
            {
                "running": self._running,
                "waiting": 0,
                "slots": self._slots,
                "state": LEAVING if self.leaving else LIVE,
                "time": asyncio.get_running_loop().time(),
            }
        )


def main() -> None:
    """Run one fake service as a process."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--delay_s", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ledger", help="file to which each executed call is appended")

    def build(args: argparse.Namespace) -> FakeServer:
        faults = ServiceFaults(delay_s=args.delay_s)
        return FakeService(
            args.name, args.host, args.port, faults, seed=args.seed, ledger_file=args.ledger
        )

    run_process(build, parser)


if __name__ == "__main__":
    main()
