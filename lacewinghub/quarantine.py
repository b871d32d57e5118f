"""Quarantine of poison requests: requests that crash the runners that execute them.

Every request in flight at a runner when it crashes becomes a suspect, with one count for each
runner that crashed. At ``CRASH_LIMIT`` counts all nodes refuse identical requests, which are
recognized by their fingerprint. A request that finishes is cleared of the crashes known until then.

While a suspect runs again it is on trial: its node announces it in heartbeats, only one of its
copies runs at a time, and other suspects are kept off its runner for a while, so that a further
crash can be attributed.

A poison request crashes at most ``max(CRASH_LIMIT, w)`` runners, where ``w`` is the number of
runners to which copies had been sent by the time the first crash was known, one message delay
later. Sent to nine nodes one after the other it crashes 2 runners; sent to nine nodes at the same
moment, at most 9. This holds if heartbeats arrive within ``PROPAGATION_S``, if the request crashes
its runner within ``TRIAL_S``, and if nodes call ``wait_if_suspect`` before they send a request.

In a partial mesh the nodes forward crashes and trials at once, and a crash is known everywhere
after at most ``RELAYED_PROPAGATION_S``. The limit is the same: 2 runners if further copies arrive
later than that, otherwise as many runners as copies had been sent to within that time.
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
# Reports of crashes of one runner within this time count as one crash. Nodes notice the same crash
# at slightly different times, and a runner takes longer than this to restart.
SAME_CRASH_MS = 2000
# Two heartbeat periods: after this time all live nodes know of a crash or trial at another node.
PROPAGATION_S = 0.6
# The same with relayed heartbeats: 5 hops of 50 ms and their delays, and one lost heartbeat.
RELAYED_PROPAGATION_S = 1.0
TRIAL_S = 5.0  # Maximum time of a trial: how long a copy waits for each other copy ahead of it.
# A suspect that has run for this long no longer keeps others off its endpoint: a longer wait would
# cost innocent suspects more than another count.
PROBATION_S = 1.5
# Maximum wait of a suspect for an endpoint of its own, if there are more suspects than endpoints.
CROWDED_S = 2.4
POLL_S = 0.05
SUSPECT_MS = 600_000  # How long crashes below the limit are remembered.
REFUSED_MS = 86_400_000  # How long identical requests are refused after their last crash.
MAX_CASES = 4096
MAX_SHARED = 256  # Maximum number of cases in one heartbeat.
NEW_S = 3.0  # How long a changed case is part of every heartbeat.
FULL_EVERY = 20  # Number of heartbeats after which one contains all cases again.
# State of a trial in heartbeats: WAITING and the planned endpoint, the endpoint in use, or RUNNING
# after the probation.
WAITING = "?"
RUNNING = "!"


@dataclass(slots=True)
class _Case:
    """Crashes attributed to one fingerprint.

    Attributes:
        crashes: Crashes as ``ENDPOINT@WALL_TIME_MS``; only grows.
        cleared: Crashes of which the fingerprint was cleared; only grows.
        changed: Loop time of the last change, in seconds.
        count: Number of crashed runners, without cleared crashes.
    """

    crashes: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    changed: float = 0.0
    count: int = 0

    def recount(self) -> None:
        """Update the count; reports of one runner within ``SAME_CRASH_MS`` are one crash."""
        groups: list[tuple[str, int, bool]] = []
        for name, when, crash in sorted((*_split_crash(item), item) for item in self.crashes):
            cleared = crash in self.cleared
            if groups and groups[-1][0] == name and when - groups[-1][1] < SAME_CRASH_MS:
                groups[-1] = (name, groups[-1][1], groups[-1][2] or cleared)
            else:
                groups.append((name, when, cleared))
        self.count = sum(not cleared for _, _, cleared in groups)

    def last_ms(self) -> int:
        """Return the wall time of the last crash, in milliseconds."""
        return max((_split_crash(item)[1] for item in self.crashes), default=0)


@dataclass(slots=True)
class _Trial:
    """A suspect of this node that waits for an endpoint or runs again.

    Attributes:
        request: Identifier of the request.
        announced: Loop time at which the trial or its endpoint was announced, in seconds.
        plan: Name of the planned or used endpoint, or empty.
        started: Loop time at which the request was sent, in seconds, or None.
    """

    request: str
    announced: float
    plan: str = ""
    started: float | None = None

    def where(self) -> str:
        """Return the state of the trial as it is written into heartbeats."""
        if self.started is None:
            return WAITING + self.plan
        return RUNNING if self.is_past_probation() else self.plan

    def is_past_probation(self) -> bool:
        return self.started is not None and _now() - self.started > PROBATION_S


class Quarantine(PoisonRequestGuard, HeartbeatContributor):
    """Suspects and refused requests, shared with the other nodes through heartbeats.

    Args:
        node: Identifier of this node.
        members: View of the live nodes.
        announce: Sends a heartbeat at once, so that other nodes learn of a crash without delay.
        forward: Forwards changes of a peer without waiting for the next heartbeat.
        wall: Returns the wall time, in seconds.
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
        self._crashed_requests: dict[str, float] = {}
        self._trials: dict[int, _Trial] = {}
        self._relay = TrialRelay()
        self._incarnations: dict[str, int] = {}
        self._heartbeat_count = 0
        self._full_due = False
        self._announce_scheduled = False

    def check(self, req: Request) -> None:
        """Refuse a request if its fingerprint has crashed ``CRASH_LIMIT`` runners.

        Args:
            req: The request.

        Raises:
            Quarantined: If the count of its fingerprint has reached the limit.
        """
        count = self.count(req.fingerprint)
        if count >= CRASH_LIMIT:
            error = QuarantinedAfterRun if req.id in self._crashed_requests else Quarantined
            raise error(
                f"identical requests crashed {count} endpoints", fingerprint=f"{req.fingerprint:x}"
            )

    def count(self, fingerprint: int) -> int:
        """Return the number of runners that the fingerprint is suspected of having crashed."""
        case = self._cases.get(fingerprint)
        return case.count if case else 0

    async def wait_if_suspect(self, req: Request, endpoints: Iterable[str] = ()) -> None:
        """Wait until a request may be queued; only suspects wait.

        Of the copies of a suspect at all nodes, one runs at a time. Each suspect gets an endpoint
        that no other suspect uses for ``PROBATION_S``: all other endpoints are added to
        ``req.excluded_endpoints``. The wait ends after at most ``TRIAL_S`` for each copy that is
        ahead, or ``CROWDED_S`` if only a free endpoint is missing.

        Args:
            req: The request.
            endpoints: Names of the usable endpoints of its pool.

        Raises:
            Quarantined: If the count of the fingerprint reaches the limit.
        """
        started = _now()
        names = set(endpoints)
        while True:
            self.check(req)
            if not self.count(req.fingerprint):
                return
            trial = self._trial_of(req, names)
            ahead = self._trials_ahead(req)
            limit_s = self._propagation_s() + (TRIAL_S * ahead or CROWDED_S)
            timed_out = _now() - started >= limit_s
            placed = trial.plan in names or not names
            if self._is_propagated(req, trial) and (timed_out or (not ahead and placed)):
                break
            await asyncio.sleep(POLL_S)
        own = trial.request == req.id and trial.plan in names
        others = names - {trial.plan} if own else set()
        req.excluded_endpoints |= others | self._crashed_endpoints(req.fingerprint)

    def on_dispatched(self, req: Request, endpoint: str) -> None:
        """Record that a request is being sent to an endpoint."""
        if self.count(req.fingerprint):
            trial = self._trials.setdefault(req.fingerprint, _Trial(req.id, _now()))
            if trial.request == req.id:
                trial.plan, trial.started = endpoint, _now()

    def on_attempt_ended(self, req: Request, endpoint: str, result: AttemptResult) -> None:
        """Record that the attempt of a request at an endpoint has ended, and its outcome."""
        if result.crashed:
            self._crashed_requests[req.id] = _now()
            self.record_crash(endpoint, [req.fingerprint])
        elif result.ok:
            self.clear_crashes(req.fingerprint)
        self.on_request_done(req)

    def on_request_done(self, req: Request) -> None:
        """End the trial of a request that has ended or was abandoned; the next copy may run."""
        trial = self._trials.get(req.fingerprint)
        if trial is not None and trial.request == req.id:
            del self._trials[req.fingerprint]

    def record_crash(self, endpoint: str, fingerprints: Iterable[int]) -> None:
        """Record a crash against the requests that were in flight at the endpoint.

        Args:
            endpoint: Name of the endpoint.
            fingerprints: Fingerprints of the requests; 0 is ignored.
        """
        now_ms = int(self._wall() * 1000)
        for fingerprint in fingerprints:
            case = self._cases.get(fingerprint)
            known = [_split_crash(item) for item in case.crashes] if case else []
            if any(name == endpoint and now_ms - at < SAME_CRASH_MS for name, at in known):
                continue
            self._merge_case(fingerprint, {f"{endpoint}@{now_ms}"}, set())
            self._announce_soon()

    def clear_crashes(self, fingerprint: int) -> None:
        """Clear a fingerprint of its crashes after one of its requests has finished."""
        case = self._cases.get(fingerprint)
        if case is not None and case.count:
            self._merge_case(fingerprint, set(), set(case.crashes))
            self._announce_soon()

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add trials and changed cases; all cases every ``FULL_EVERY`` times or for a new peer."""
        self._heartbeat_count += 1
        full = self._full_due or self._heartbeat_count % FULL_EVERY == 0
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
            self._relay.fill_heartbeat(heartbeat, _now())

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Merge the cases and trials of a peer."""
        if self._incarnations.get(heartbeat.node) != heartbeat.incarnation:
            self._incarnations[heartbeat.node] = heartbeat.incarnation
            self._full_due = True
        now = _now()
        trials = {item.fingerprint: item.trial for item in heartbeat.suspects if item.trial}
        changed = self._relay.store_trials(
            heartbeat.node, heartbeat.incarnation, heartbeat.seq, trials, now, direct=True
        )
        for relayed in heartbeat.trials:
            if relayed.node != self._node:
                trials = {item.fingerprint: item.where for item in relayed.items}
                changed |= self._relay.store_trials(
                    relayed.node, relayed.incarnation, relayed.seq, trials, now
                )
        for item in heartbeat.suspects:
            changed |= self._merge_case(item.fingerprint, set(item.crashes), set(item.cleared))
        if changed and self._forward is not None:
            self._forward()

    def status(self) -> dict[str, int]:
        """Return the numbers of suspected and of refused fingerprints."""
        counts = Counter(min(case.count, CRASH_LIMIT) for case in self._cases.values())
        return {"suspects": counts[1], "quarantined": counts[CRASH_LIMIT]}

    def _trial_of(self, req: Request, names: set[str]) -> _Trial:
        """Announce a trial of this request, or return the trial of an earlier copy."""
        trial = self._trials.get(req.fingerprint)
        if trial is None or self._is_stale(trial):
            trial = self._trials[req.fingerprint] = _Trial(req.id, _now())
            self._announce_soon()
        if trial.request == req.id:
            self._plan_endpoint(req, trial, names)
        return trial

    def _plan_endpoint(self, req: Request, trial: _Trial, names: set[str]) -> None:
        """Choose an endpoint for a trial that no other suspect uses.

        If two nodes choose the same endpoint, the one with the larger identifier chooses again.
        """
        if trial.plan and trial.plan not in self._occupied_endpoints(req.fingerprint, rivals=False):
            return
        taken = self._occupied_endpoints(req.fingerprint) | self._crashed_endpoints(req.fingerprint)
        trial.plan = rendezvous(str(req.fingerprint), names - taken) or ""
        if trial.plan:
            trial.announced = _now()
            self._announce_soon()

    def _is_propagated(self, req: Request, trial: _Trial) -> bool:
        """Return whether the other nodes know of the last crash and of the trial by now."""
        announced = trial.announced if trial.request == req.id else float("-inf")
        return (
            _now() - max(announced, self._cases[req.fingerprint].changed) >= self._propagation_s()
        )

    def _propagation_s(self) -> float:
        return RELAYED_PROPAGATION_S if self._members.is_partial_mesh() else PROPAGATION_S

    def _is_stale(self, trial: _Trial) -> bool:
        return trial.started is None and _now() - trial.announced > TRIAL_S

    def _trials_ahead(self, req: Request) -> int:
        """Return the number of trials of the same fingerprint that run before this request."""
        own = self._trials.get(req.fingerprint)
        ahead = int(own is not None and own.request != req.id and not self._is_stale(own))
        for node, trials in self._live_trials():
            where = trials.get(req.fingerprint)
            if where is not None:
                ahead += not where.startswith(WAITING) or node < self._node
        return ahead

    def _occupied_endpoints(self, fingerprint: int, rivals: bool = True) -> set[str]:
        """Return the endpoints that are used by or planned for other suspects.

        Args:
            fingerprint: Fingerprint for which an endpoint is sought.
            rivals: False to omit plans over which those of this node take precedence.
        """
        found = {
            trial.plan
            for other, trial in self._trials.items()
            if other != fingerprint and rivals and not trial.is_past_probation()
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
        return {_split_crash(item)[0] for item in case.crashes - case.cleared} if case else set()

    def _merge_case(self, fingerprint: int, crashes: set[str], cleared: set[str]) -> bool:
        """Merge crashes into the case of a fingerprint and return whether it has changed."""
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
        newest = max((_split_crash(item)[1] for item in crashes), default=0)
        limit_ms = REFUSED_MS if len(crashes) >= CRASH_LIMIT else SUSPECT_MS
        return self._wall() * 1000 - newest < limit_ms

    def _expire(self) -> None:
        for fingerprint, case in list(self._cases.items()):
            if not self._is_recent(case.crashes | case.cleared):
                del self._cases[fingerprint]
        limit = _now() - SUSPECT_MS / 1000
        for request in [
            item for item, crashed in self._crashed_requests.items() if crashed < limit
        ]:
            del self._crashed_requests[request]
        for fingerprint, trial in list(self._trials.items()):
            if self._is_stale(trial):
                del self._trials[fingerprint]

    def _make_room(self) -> None:
        """Remove an eighth of the cases if there are too many: the oldest, refused ones last."""
        if len(self._cases) < MAX_CASES:
            return
        order = sorted(
            self._cases,
            key=lambda item: (self._cases[item].count >= CRASH_LIMIT, self._cases[item].last_ms()),
        )
        for fingerprint in order[: MAX_CASES // 8]:
            del self._cases[fingerprint]

    def _announce_soon(self) -> None:
        """Send one heartbeat for all changes within this iteration of the event loop."""
        if self._announce is None or self._announce_scheduled:
            return
        self._announce_scheduled = True
        asyncio.get_running_loop().call_soon(self._announce_now)

    def _announce_now(self) -> None:
        self._announce_scheduled = False
        if self._announce is not None:
            self._announce()


def _split_crash(crash: str) -> tuple[str, int]:
    name, _, when = crash.rpartition("@")
    return name, int(when) if when.isdigit() else 0


def _now() -> float:
    return asyncio.get_running_loop().time()
