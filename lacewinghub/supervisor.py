"""Supervision tree: tasks that are restarted when they fail and stopped in order."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from loguru import logger

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
# A task that ran for this long before it failed is restarted after the shortest backoff.
STABLE_S = 30.0

Work = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs tasks and further supervisors.

    A task that raises an exception is restarted after a jittered exponential backoff; a task that
    returns has ended. ``stop`` ends the parts in reverse order of their start.

    Args:
        name: Name used in log lines.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.restarts = 0
        self._parts: list[asyncio.Task[None] | Supervisor | Work] = []
        self._stopping = False

    def start(self, name: str, work: Work, restart: bool = True) -> asyncio.Task[None]:
        """Start a task.

        Args:
            name: Name of the task.
            work: Called at each start; its result is awaited.
            restart: False if the task is not restarted after an exception.

        Returns:
            The task, which ends when ``work`` returns or the supervisor stops.
        """
        if self._stopping:
            raise RuntimeError(f"supervisor {self.name!r} is stopping")
        full_name = f"{self.name}/{name}"
        task = asyncio.get_running_loop().create_task(
            self._run_supervised(full_name, work, restart), name=full_name
        )
        self._parts.append(task)
        return task

    def child(self, name: str) -> "Supervisor":
        """Add a supervisor that is stopped with this one."""
        part = Supervisor(f"{self.name}/{name}")
        self._parts.append(part)
        return part

    def on_stop(self, close: Work) -> None:
        """Register a function that ``stop`` awaits, in reverse order with the other parts."""
        self._parts.append(close)

    async def stop(self) -> None:
        """End all parts in reverse order of their start, also if some of them fail to stop."""
        self._stopping = True
        while self._parts:
            part = self._parts.pop()
            try:
                if isinstance(part, Supervisor):
                    await part.stop()
                elif isinstance(part, asyncio.Task):
                    await _end(part)
                else:
                    await part()
            except Exception:
                logger.exception("supervisor {}: a part failed to stop", self.name)

    async def _run_supervised(self, name: str, work: Work, restart: bool) -> None:
        loop = asyncio.get_running_loop()
        backoff_s = MIN_BACKOFF_S
        while True:
            started = loop.time()
            try:
                await work()
                return
            except Exception:
                logger.exception("task {} failed", name)
            if not restart or self._stopping:
                return
            if loop.time() - started > STABLE_S:
                backoff_s = MIN_BACKOFF_S
            self.restarts += 1
            await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)


async def _end(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.wait([task])
