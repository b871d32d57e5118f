"""Requests that crash the runners they run on.

Every request in flight at a runner when it crashes becomes a suspect with one count per crashed
runner. At ``CRASH_LIMIT`` counts identical requests are refused at every node; a finished run
clears the request of the crashes known until then.

A poison request crashes at most ``max(CRASH_LIMIT, w)`` runners, where ``w`` is the number of
runners to which its copies had been sent when the news of the first crash arrived, within one
message delay. Sent to nine nodes one after the other it crashes 2 runners, sent to nine nodes at
the same moment at most 9. This holds while heartbeats arrive within ``PROPAGATION_S``, for a poison
that crashes its runner within ``TRIAL_S``, and for callers of ``hold``.

Beyond a full mesh the nodes pass on crashes and trials, each at once, and the news of the first
crash take up to ``RELAYED_PROPAGATION_S``. The limit is the same: 2 runners if copies arrive later
than that, otherwise as many as copies had been sent to within that time.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from loguru import logger

from .dependencies import PoisonRequestGuard
from .errors import Quarantined, QuarantinedAfterRun
from .membership import HeartbeatContributor, Members, MemberState, rendezvous
from .message import Heartbeat, SuspectRequest
from .relay import TrialRelay
from .request import AttemptResult, Request

CRASH_LIMIT = 2
# Nodes notice the same crash at slightly different times; a runner takes longer to start again.
SAME_CRASH_MS = 2000
# Two heartbeats: by then the live nodes know of a crash or of a trial elsewhere.
PROPAGATION_S = 0.6
# With relayed heartbeats: 5 hops of 50 ms and their delays, and one lost heartbeat.
RELAYED_PROPAGATION_S = 1.0
TRIAL_S = 5.0
# A suspect that has run for this long no longer keeps others off its endpoint: longer waits would
# cost the innocent ones more than another count.
PROBATION_S = 1.5
# Longest pause of an innocent answer when there are more suspects than endpoints.
CROWDED_S = 2.4
POLL_S = 0.05
SUSPECT_MS = 600_000
REFUSED_MS = 86_400_000
MAX_CASES = 4096
MAX_SHARED = 256
NEW_S = 3.0
FULL_EVERY = 20
WAITING = "?"
RUNNING = "!"


@dataclass(slots=True)
class _Case:
    """What is known about one fingerprint; both sets only grow."""

    crashes: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    changed: float = 0.0
    count: int = 0

    def recount(self) -> None:
        """Count crashed runners, taking reports of one runner close in time as one crash."""
        groups: list[tuple[str, int, bool]] = []
        for name, when, crash in sorted((*_split(item), item) for item in self.crashes):
            cleared = crash in self.cleared
            if groups and groups[-1][0] == name and when - groups[-1][1] < SAME_CRASH_MS:
                groups[-1] = (name, groups[-1][1], groups[-1][2] or cleared)
            else:
                groups.append((name, when, cleared))
        self.count = sum(not cleared for _, _, cleared in groups)

    def last_ms(self) -> int:
        """Return the wall time of the last crash in milliseconds."""
        return max((_split(item)[1] for item in self.crashes), default=0)


@dataclass(slots=True)
class _Trial:
    request: str
    announced: float
    plan: str = ""
    started: float | None = None

    def where(self) -> str:
        if self.started is None:
            return WAITING + self.plan
        return RUNNING if self.is_probated() else self.plan

    def is_probated(self) -> bool:
        return self.started is not None and _now() - self.started > PROBATION_S


class Quarantine(PoisonRequestGuard, HeartbeatContributor):
    """Suspects and refused requests, shared with the other nodes through heartbeats.

    Args:
        node: Identifier of this node.
        members: View of the live nodes.
        announce: Sends a heartbeat at once, so that the others hear of a crash without delay.
        forward: Passes on news of a peer without waiting for the next heartbeat.
        wall: Returns the wall time in seconds.
    """

    def __init__(
        self,
        node: str,
        members: Members,
        announce: Callable[[], None] | None = None,
        wall: Callable[[], float] = time.time,
        forward: Callable[[], None] | None = None,
    ) -> None:
        self._node = node
        self._members = members
        self._announce = announce
        self._forward = forward
        self._wall = wall
        self._cases: dict[int, _Case] = {}
        self._ran: dict[str, float] = {}
        self._trials: dict[int, _Trial] = {}
        self._relay = TrialRelay()
        self._incarnations: dict[str, int] = {}
        self._beats = 0
        self._full_due = False
        self._announcing = False

    def check(self, req: Request) -> None:
        """Refuse a request whose fingerprint has crashed several runners.

        Args:
            req: The request.

        Raises:
            Quarantined: If the count of its fingerprint is at the limit.
        """
        count = self.count(req.fingerprint)
        if count >= CRASH_LIMIT:
            error = QuarantinedAfterRun if req.id in self._ran else Quarantined
            raise error(
                f"identical requests crashed {count} endpoints", fingerprint=f"{req.fingerprint:x}"
            )

    def count(self, fingerprint: int) -> int:
        """Return the number of crashed runners that the fingerprint is suspected of."""
        case = self._cases.get(fingerprint)
        return case.count if case else 0

    async def wait_if_suspect(self, req: Request, endpoints: Iterable[str] = ()) -> None:
        """Wait until a request may be queued for an endpoint; only suspects wait.

        Of the copies of a suspect at all nodes one runs at a time, and of different suspects each
        gets an endpoint of its own for ``PROBATION_S``: all others are added to
        ``req.excluded_endpoints``. The wait ends after ``TRIAL_S`` per copy that is ahead, or
        ``CROWDED_S`` for a free endpoint.

        Args:
            req: The request.
            endpoints: Names of the usable endpoints of its pool.

        Raises:
            Quarantined: If the fingerprint reaches the limit.
        """
        started = _now()
        names = set(endpoints)
        while True:
            self.check(req)
            if not self.count(req.fingerprint):
                return
            trial = self._announced(req, names)
            ahead = self._ahead(req)
            limit_s = self._settle_s() + (TRIAL_S * ahead or CROWDED_S)
            waited = _now() - started >= limit_s
            placed = trial.plan in names or not names
            if self._is_settled(req, trial) and (waited or (not ahead and placed)):
                break
            await asyncio.sleep(POLL_S)
        own = trial.request == req.id and trial.plan in names
        others = names - {trial.plan} if own else set()
        req.excluded_endpoints |= others | self._crashed_endpoints(req.fingerprint)

    def on_dispatched(self, req: Request, endpoint: str) -> None:
        """Note that a request is being sent to an endpoint."""
        if self.count(req.fingerprint):
            trial = self._trials.setdefault(req.fingerprint, _Trial(req.id, _now()))
            if trial.request == req.id:
                trial.plan, trial.started = endpoint, _now()

    def on_attempt_ended(self, req: Request, endpoint: str, seen: AttemptResult) -> None:
        """Note that a request no longer is at an endpoint, with what was measured there."""
        if seen.crashed:
            self._ran[req.id] = _now()
            self.crashed(endpoint, [req.fingerprint])
        elif seen.ok:
            self.finished(req.fingerprint)
        self.on_request_done(req)

    def on_request_done(self, req: Request) -> None:
        """Note that a request is given up or has ended, so that the next copy may run."""
        trial = self._trials.get(req.fingerprint)
        if trial is not None and trial.request == req.id:
            del self._trials[req.fingerprint]

    def crashed(self, endpoint: str, fingerprints: Iterable[int]) -> None:
        """Suspect the requests that were in flight at an endpoint when it crashed.

        Args:
            endpoint: Name of the endpoint.
            fingerprints: Their fingerprints; 0 is ignored.
        """
        now_ms = int(self._wall() * 1000)
        for fingerprint in fingerprints:
            case = self._cases.get(fingerprint)
            known = [_split(item) for item in case.crashes] if case else []
            if any(name == endpoint and now_ms - at < SAME_CRASH_MS for name, at in known):
                continue
            self._merge(fingerprint, {f"{endpoint}@{now_ms}"}, set())
            self._announce_soon()

    def finished(self, fingerprint: int) -> None:
        """Clear a fingerprint that has run to its end."""
        case = self._cases.get(fingerprint)
        if case is not None and case.count:
            self._merge(fingerprint, set(), set(case.crashes))
            self._announce_soon()

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Share new cases and trials, and all cases at times and after a peer has joined."""
        self._beats += 1
        full = self._full_due or self._beats % FULL_EVERY == 0
        self._full_due = False
        if full:
            self._expire()
        limit = float("-inf") if full else _now() - NEW_S
        shared = [
            (fingerprint in self._trials, case.changed, fingerprint)
            for fingerprint, case in self._cases.items()
            if case.changed > limit or fingerprint in self._trials
        ]
        for *_, fingerprint in sorted(shared, reverse=True)[:MAX_SHARED]:
            case, trial = self._cases[fingerprint], self._trials.get(fingerprint)
            heartbeat.suspects.append(
                SuspectRequest(
                    fingerprint,
                    sorted(case.crashes),
                    sorted(case.cleared),
                    trial.where() if trial else "",
                )
            )
        if self._members.is_partial_mesh():
            self._relay.write(heartbeat, _now())

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take over the cases and trials of a peer."""
        if self._incarnations.get(heartbeat.node) != heartbeat.incarnation:
            self._incarnations[heartbeat.node] = heartbeat.incarnation
            self._full_due = True
        now = _now()
        trials = {item.fingerprint: item.trial for item in heartbeat.suspects if item.trial}
        news = self._relay.take(
            heartbeat.node, heartbeat.incarnation, heartbeat.seq, trials, now, direct=True
        )
        for told in heartbeat.trials:
            if told.node != self._node:
                trials = {item.fingerprint: item.where for item in told.items}
                news |= self._relay.take(told.node, told.incarnation, told.seq, trials, now)
        for item in heartbeat.suspects:
            news |= self._merge(item.fingerprint, set(item.crashes), set(item.cleared))
        if news and self._forward is not None:
            self._forward()

    def status(self) -> dict[str, int]:
        """Return the numbers of suspects and of refused fingerprints."""
        counts = Counter(min(case.count, CRASH_LIMIT) for case in self._cases.values())
        return {"suspects": counts[1], "quarantined": counts[CRASH_LIMIT]}

    def _announced(self, req: Request, names: set[str]) -> _Trial:
        """Announce a trial of this request, or return the earlier one of another copy."""
        trial = self._trials.get(req.fingerprint)
        if trial is None or self._is_stale(trial):
            trial = self._trials[req.fingerprint] = _Trial(req.id, _now())
            self._announce_soon()
        if trial.request == req.id:
            self._place(req, trial, names)
        return trial

    def _place(self, req: Request, trial: _Trial, names: set[str]) -> None:
        """Plan a trial for an endpoint that no other suspect uses.

        Of two nodes that plan for the same endpoint, the one with the larger identifier plans anew.
        """
        if trial.plan and trial.plan not in self._busy(req.fingerprint, rivals=False):
            return
        taken = self._busy(req.fingerprint) | self._crashed_endpoints(req.fingerprint)
        trial.plan = rendezvous(str(req.fingerprint), names - taken) or ""
        if trial.plan:
            trial.announced = _now()
            self._announce_soon()

    def _is_settled(self, req: Request, trial: _Trial) -> bool:
        """Return whether the others know of the last crash and of the trial."""
        announced = trial.announced if trial.request == req.id else float("-inf")
        return _now() - max(announced, self._cases[req.fingerprint].changed) >= self._settle_s()

    def _settle_s(self) -> float:
        return RELAYED_PROPAGATION_S if self._members.is_partial_mesh() else PROPAGATION_S

    def _is_stale(self, trial: _Trial) -> bool:
        return trial.started is None and _now() - trial.announced > TRIAL_S

    def _ahead(self, req: Request) -> int:
        """Count the trials of the same fingerprint that come first."""
        own = self._trials.get(req.fingerprint)
        ahead = int(own is not None and own.request != req.id and not self._is_stale(own))
        for node, trials in self._live_trials():
            where = trials.get(req.fingerprint)
            if where is not None:
                ahead += not where.startswith(WAITING) or node < self._node
        return ahead

    def _busy(self, fingerprint: int, rivals: bool = True) -> set[str]:
        """Return the endpoints that other suspects use or are planned for.

        Args:
            fingerprint: The fingerprint that looks for an endpoint.
            rivals: False to leave out plans that give way to those of this node.
        """
        found = {
            trial.plan
            for other, trial in self._trials.items()
            if other != fingerprint and rivals and not trial.is_probated()
        }
        for node, trials in self._live_trials():
            for other, where in trials.items():
                yields = where.startswith(WAITING) and node > self._node
                if other != fingerprint and (rivals or not yields):
                    found.add(where.removeprefix(WAITING))
        return found - {"", RUNNING}

    def _live_trials(self) -> list[tuple[str, dict[int, str]]]:
        known = self._relay.active_trials(_now())
        return [item for item in known if self._members.state(item[0]) is MemberState.LIVE]

    def _crashed_endpoints(self, fingerprint: int) -> set[str]:
        case = self._cases.get(fingerprint)
        return {_split(item)[0] for item in case.crashes - case.cleared} if case else set()

    def _merge(self, fingerprint: int, crashes: set[str], cleared: set[str]) -> bool:
        """Add crashes to a case and return whether any is new."""
        if not fingerprint:
            return False
        case = self._cases.get(fingerprint)
        if case is None:
            if not self._is_recent(crashes | cleared):
                return False
            self._make_room()
            case = self._cases[fingerprint] = _Case()
        if crashes <= case.crashes and cleared <= case.cleared:
            return False
        before = case.count
        case.crashes |= crashes
        case.cleared |= cleared
        case.changed = _now()
        case.recount()
        if before < CRASH_LIMIT <= case.count:
            logger.warning("fingerprint {:x} is quarantined: {}", fingerprint, sorted(case.crashes))
        return True

    def _is_recent(self, crashes: set[str]) -> bool:
        newest = max((_split(item)[1] for item in crashes), default=0)
        limit_ms = REFUSED_MS if len(crashes) >= CRASH_LIMIT else SUSPECT_MS
        return self._wall() * 1000 - newest < limit_ms

    def _expire(self) -> None:
        for fingerprint, case in list(self._cases.items()):
            if not self._is_recent(case.crashes | case.cleared):
                del self._cases[fingerprint]
        limit = _now() - SUSPECT_MS / 1000
        for request in [item for item, crashed in self._ran.items() if crashed < limit]:
            del self._ran[request]
        for fingerprint, trial in list(self._trials.items()):
            if self._is_stale(trial):
                del self._trials[fingerprint]

    def _make_room(self) -> None:
        """Drop an eighth of the cases when there are too many: the oldest, refused ones last."""
        if len(self._cases) < MAX_CASES:
            return
        order = sorted(
            self._cases,
            key=lambda item: (self._cases[item].count >= CRASH_LIMIT, self._cases[item].last_ms()),
        )
        for fingerprint in order[: MAX_CASES // 8]:
            del self._cases[fingerprint]

    def _announce_soon(self) -> None:
        """Send one heartbeat for all changes of this loop iteration."""
        if self._announce is None or self._announcing:
            return
        self._announcing = True
        asyncio.get_running_loop().call_soon(self._announce_now)

    def _announce_now(self) -> None:
        self._announcing = False
        if self._announce is not None:
            self._announce()


def _split(crash: str) -> tuple[str, int]:
    name, _, when = crash.rpartition("@")
    return name, int(when) if when.isdigit() else 0


def _now() -> float:
    return asyncio.get_running_loop().time()
