"""Moves of a fake runner: stops runs, copies their state to other fake runners, frees copies."""

import asyncio
import contextlib
import itertools
import json
from dataclasses import dataclass, field
from enum import StrEnum
from typing import ClassVar
from weakref import WeakValueDictionary

from ..httpmessage import Incoming
from ..responder import Responder

MOVE_PATH = b"/v1/kv-move"
HANDLE_PATH = b"/v1/kv-handle/"


class MoveFault(StrEnum):
    """Fault that a runner injects into its answer to one call that moves a run."""

    NO_RUN = "no-run"  # 404, and the run goes on.
    BUSY = "busy"  # 409, and the run goes on.
    NO_ROOM = "no-room"  # 503 with the handle; the run has stopped.
    REFUSED = "refused"  # 503 without a handle, and the run goes on.
    SILENT = "silent"  # No answer, and the run goes on.
    SILENT_STOP = "silent-stop"  # No answer; the run has stopped, and its state is lost.
    LATE = "late"  # No answer to this call; one that follows gets it.
    # 503 without framing that ends before the handle; the run has stopped, and a call that follows
    # gets the handle.
    CUT = "cut"
    EXPIRED = "expired"  # 200, but no runner takes the handle.
    ONLY_SOURCE = "only-source"  # 200, but only the source takes the handle.
    OPEN = "open"  # 200, but the stream stays open.


@dataclass(slots=True, eq=False)
class LiveRun:
    """A run that a runner executes.

    Attributes:
        attempt: Id of its request.
        events: Number of events produced.
        stopped: Set once it was stopped to be moved.
        stays_open: True if its stream is not closed when it stops.
    """

    attempt: str
    events: int = 0
    stopped: asyncio.Event = field(default_factory=asyncio.Event)
    stays_open: bool = False

    async def is_stopped_within(self, seconds: float) -> bool:
        """Wait for some time, or until the run is stopped; return whether it is."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.stopped.wait()
        return self.stopped.is_set()


@dataclass(slots=True, eq=False)
class StateCopy:
    """State of a stopped run.

    Attributes:
        attempt: Id of its request.
        events: Number of events produced.
        usable: True until a run was continued with it, or it was freed or has expired.
        freed: True once it was freed by a call.
        used_by: Name of the runner that continued the run, or an empty string.
    """

    attempt: str
    events: int
    usable: bool = True
    freed: bool = False
    used_by: str = ""


class RunMoves:
    """The moves of one runner.

    Args:
        name: Name of the runner.
        handle_s: Time for which a copy is kept, in seconds.

    Attributes:
        live: Runs that the runner executes, by the id of their request.
        copies: Copies that the runner made, by handle.
        calls: Received calls: method and path, or the target of a move.
        most_at_once: Largest number of calls for moves in progress at once.
        move_s: Time that a move takes, in seconds.
        stop_after_s: Time from a call to the stop of its run, in seconds.
    """

    _by_address: ClassVar[WeakValueDictionary[str, "RunMoves"]] = WeakValueDictionary()
    _handles = itertools.count(1)

    def __init__(self, name: str, handle_s: float = 5.0) -> None:
        self.live: dict[str, LiveRun] = {}
        self.copies: dict[str, StateCopy] = {}
        self.calls: list[str] = []
        self.most_at_once = 0
        self.move_s = 0.005
        self.stop_after_s = 0.0
        self._name = name
        self._handle_s = handle_s
        self._faults: dict[str, MoveFault] = {}
        self._received: dict[str, StateCopy] = {}
        self._in_progress = 0
        self._late: dict[str, str] = {}

    def listen(self, address: str) -> None:
        """Take copies from other runners at an address."""
        self._by_address[address] = self

    def close(self, address: str) -> None:
        """Take no further copies."""
        self._by_address.pop(address, None)

    def fail(self, attempt: str, fault: MoveFault) -> None:
        """Inject a fault into the next call that moves the run of a request."""
        self._faults[attempt] = fault

    def take(self, kv_from: str) -> StateCopy | None:
        """Return the copy that a request names, which cannot be used again, or None."""
        handle = kv_from.rpartition("/")[2]
        copy = self._received.get(handle) or self.copies.get(handle)
        if copy is None or not copy.usable:
            return None
        copy.usable, copy.used_by = False, self._name
        return copy

    async def handle(self, incoming: Incoming, out: Responder) -> bool:
        """Serve a call of this interface; return False for any other request."""
        if incoming.target == MOVE_PATH:
            self._in_progress += 1
            self.most_at_once = max(self.most_at_once, self._in_progress)
            try:
                await self._move(json.loads(incoming.take_body()), out)
            finally:
                self._in_progress -= 1
            return True
        if incoming.target.startswith(HANDLE_PATH):
            self.calls.append("free")
            copy = self.copies.get(incoming.target.rpartition(b"/")[2].decode())
            if copy is not None:
                copy.usable, copy.freed = False, True
            out.send(200 if copy else 404, [], b"")
            return True
        return False

    async def _move(self, order: dict[str, str], out: Responder) -> None:
        self.calls.append(order["target"])
        attempt = order["id"]
        run = self.live.get(attempt)
        fault = None if run is None else self._faults.pop(attempt, None)
        if attempt in self._late:
            self._answer(out, 200, self._late.pop(attempt))
        elif fault is MoveFault.SILENT:
            await asyncio.Event().wait()
        elif run is None or fault is MoveFault.NO_RUN:
            out.send(404, [], b"{}")
        elif fault is MoveFault.BUSY:
            out.send(409, [], b"{}")
        elif fault is MoveFault.REFUSED:
            out.send(503, [], b"{}")
        else:
            await self._stop(run, order["target"], fault, out)

    async def _stop(
        self, run: LiveRun, target: str, fault: MoveFault | None, out: Responder
    ) -> None:
        run.stays_open = fault is MoveFault.OPEN
        if self.stop_after_s:
            await asyncio.sleep(self.stop_after_s)
        run.stopped.set()
        del self.live[run.attempt]
        copy = StateCopy(run.attempt, run.events, usable=fault is not MoveFault.EXPIRED)
        handle = f"copy-{next(self._handles)}"
        await asyncio.sleep(self.move_s)
        if fault is MoveFault.SILENT_STOP:
            await asyncio.Event().wait()
        self.copies[handle] = copy
        asyncio.get_running_loop().call_later(self._handle_s, self._expire, copy)
        if fault in (MoveFault.LATE, MoveFault.CUT):
            self._late[run.attempt] = handle
        if fault is MoveFault.CUT:
            # The server closes the connection in order, because the response has no end.
            out.conn.write(b'HTTP/1.1 503 Service Unavailable\r\n\r\n{"hand')
            return
        other = self._by_address.get(target)
        if other is None or fault is MoveFault.NO_ROOM:
            self._answer(out, 503, handle)
            return
        if fault is not MoveFault.ONLY_SOURCE:
            other._received[handle] = copy
        if fault is MoveFault.LATE:
            await asyncio.Event().wait()
        self._answer(out, 200, handle)

    def _answer(self, out: Responder, status: int, handle: str) -> None:
        body = {"handle": handle, "create_revision": self.copies[handle].events}
        out.send(status, [], json.dumps(body).encode())

    def _expire(self, copy: StateCopy) -> None:
        copy.usable = False
