"""Asks an endpoint, after the end of a stream, whether the process that wrote it has ended it.

The end of a connection says nothing of who ended it. The process that wrote the stream is known
by its start: if it answers after the end, it did not die, and if it no longer executes the request,
it has ended the run. That does not show what ended the connection between two living hosts: once a
stream went on after such an end, further ends of that process prove nothing for some time.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum

from ._recent import remember
from .proxyclient import ProxyClient
from .shared_reports import SharedReports
from .stream_end import DEADLINE_MARGIN_S
from .tables import Endpoint

# Reports are some hundred milliseconds old, and a process that stops ends its connections before it
# is gone: only this long after the end of a stream a report speaks of the time after it.
SETTLED_S = 0.5
# A sound endpoint may be silent for a second; clients leave after two without an event.
MAX_WAIT_S = 1.7
# Share of the time left that is spent on it at most, so that another endpoint can go on; unless it
# is too short for an answer.
WAIT_SHARE = 0.6
ANSWER_S = 0.1
# A process that was not reached is asked once more: it may have had too many connections.
MAX_FAILURES = 2
POLL_S = 0.1
# Time for which the ends of an endpoint's connections count as misleading after one was.
DISTRUST_S = 60.0
MAX_REMEMBERED = 1024


class Testimony(StrEnum):
    """What is known of the process that wrote a stream, after the stream has ended."""

    FINISHED = "the process that wrote it has ended the run"
    RUNNING = "the process that wrote it still executes the run"
    OTHER_PROCESS = "another process has its address"
    SILENT = "no process says that it wrote it"


class EndWitness:
    """Finds out what the process that wrote a stream says after its end.

    Args:
        client: Asks the endpoints.
        started: Returns the start time that an endpoint has announced, by its name, in seconds;
            None if it is unknown.
    """

    def __init__(self, client: ProxyClient, started: Callable[[str], float | None]) -> None:
        self._reports = SharedReports(client)
        self._started = started
        # Start times that processes stated, by endpoint; announcements may be older.
        self._stated: dict[str, float] = {}
        # Loop times until which ends prove nothing, by endpoint and start of its process.
        self._distrusted: dict[tuple[str, float | None], float] = {}

    def started(self, endpoint: Endpoint) -> float | None:
        """Return the start time of an endpoint's process, in seconds; None if unknown."""
        announced = self._started(endpoint.name)
        return None if announced is None else max(announced, self._stated.get(endpoint.name, 0.0))

    def distrust(self, endpoint: Endpoint, started: float | None) -> None:
        """Record that a stream went on after this process's connection had ended in order."""
        remember(self._distrusted, (endpoint.name, started), _now() + DISTRUST_S, MAX_REMEMBERED)

    def is_distrusted(self, endpoint: Endpoint, started: float | None) -> bool:
        """Return whether ends of this process's connections prove nothing now."""
        return self._distrusted.get((endpoint.name, started), 0.0) > _now()

    async def testify(
        self,
        request_id: str,
        endpoint: Endpoint,
        started: float | None,
        left_s: float,
        agrees: bool = False,
    ) -> Testimony:
        """Return what the process says that wrote the stream of a request.

        Args:
            request_id: Id of the request.
            endpoint: Endpoint that wrote the stream.
            started: Start time of its process as known when the run began, in seconds.
            left_s: Time until the deadline of the request, in seconds.
            agrees: True if two runs agree, so that the process may be asked earlier if time is
                short, and need only live: it may still list the first run under the same id.
        """
        usable_s = left_s - DEADLINE_MARGIN_S
        limit_s = min(MAX_WAIT_S, max(WAIT_SHARE * left_s, min(SETTLED_S + ANSWER_S, usable_s)))
        settled_s = min(SETTLED_S, limit_s / 2) if agrees else SETTLED_S
        if limit_s <= settled_s:
            # An earlier report would say nothing of the time after the end.
            return Testimony.SILENT
        limit = _now() + limit_s
        found = Testimony.SILENT
        failures = 0
        await asyncio.sleep(settled_s)
        if _now() >= limit:
            # This node was frozen meanwhile. The deadline of the request still ends the call.
            limit = _now() + ANSWER_S
        while (wait_s := limit - _now()) > 0.0 and failures < MAX_FAILURES:
            incarnation = await self._reports.ask(endpoint, wait_s)
            if incarnation is None:
                found = Testimony.SILENT
                failures += 1
            elif started is None or incarnation.started != started:
                remember(self._stated, endpoint.name, incarnation.started, MAX_REMEMBERED)
                return Testimony.OTHER_PROCESS
            elif agrees or request_id not in incarnation.running:
                return Testimony.FINISHED
            else:
                # The report is some hundred milliseconds old.
                found = Testimony.RUNNING
            await asyncio.sleep(min(POLL_S, max(0.0, limit - _now())))
        return found


def _now() -> float:
    return asyncio.get_running_loop().time()
