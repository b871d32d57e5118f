"""Refuses the requests that would crash further endpoints.

The cause may be a request that comes again, or a part of a prompt that many different requests
share. Nodes tell each other which requests were at an endpoint when it crashed and which of these
are above suspicion; ``crash_evidence`` finds the cause. Unlike ``quarantine``, this holds back no
request that is merely a suspect: an interrupted stream cannot wait, and most suspects are harmless.

A broken connection alone is no crash: a network resets connections, too. The node therefore tries
whether the endpoint still accepts connections, and does not depend on other requests to show that.
A verdict that is wrong nevertheless is found out by ``crash_trial``.
"""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import xxhash
from loguru import logger

from .crash_evidence import Cause, CrashEvidence
from .crash_trial import CrashTrials
from .dependencies import PoisonRequestGuard
from .errors import CrashesEndpoints
from .membership import HeartbeatContributor, Members
from .message import ClearedTrait, CrashSuspect, CrashTrial, Heartbeat
from .request import AttemptResult, Request

# Refused clients are told to retry after this; a part that crashes endpoints goes on doing so.
RETRY_AFTER_S = 60.0
# An answer that has been under way for this long did not crash its endpoint by beginning.
BEGUN_S = 0.5
# A trait of a request that was answered this shortly before a crash is not its cause.
CLEARED_S = 2.0
# Time in which the other nodes can clear suspects, with direct and with relayed heartbeats.
CONFIRM_S = 0.5
RELAYED_CONFIRM_S = 1.0
# An endpoint that answers within this span after its connection broke has not crashed: one that
# crashed needs longer to start again, and bytes that it sent before may arrive a little later.
ALIVE_SPAN_S = (0.1, 1.5)
# An endpoint that has a new start time or is gone this shortly after its connections broke crashed.
RESTART_SPAN_S = 5.0
NEW_S = 0.6  # How long a new fact is part of every heartbeat.
FULL_EVERY = 20  # Number of heartbeats after which one contains the evidence of all causes again.
MAX_SHARED = 512  # Facts in one heartbeat.
CAUSE_RETENTION_S = 86_400.0  # How long the crashes of a cause are remembered.
SUSPECT_RETENTION_S = 600.0  # How long other crashes are remembered.
# A node that joins hears of the causes and of the crashes of this last span.
RECENT_S = 60.0
MAX_TRAITS = 8192  # Traits of which it is remembered when they were answered.

# What nodes tell each other; a text is the identifier of a crash that was none.
Fact = CrashSuspect | ClearedTrait | CrashTrial | str


@dataclass(slots=True)
class _Attempt:
    """An attempt of a request of this node at an endpoint, with the traits of the request."""

    req: Request
    endpoint: str
    parts: tuple[int, ...]
    _request: int | None = None

    @property
    def request(self) -> int:
        """Trait of the request as a whole; hashing the body is put off until it is needed."""
        if self._request is None:
            self._request = request_trait(self.req)
        return self._request

    @property
    def traits(self) -> frozenset[int]:
        """All traits."""
        return frozenset((*self.parts, self.request))

    def has_begun(self, now: float) -> bool:
        """Return whether the answer has been under way for ``BEGUN_S``."""
        assert self.req.proxy is not None
        since = self.req.proxy.answering_since
        return since is not None and now - since >= BEGUN_S


class CrashGuard(PoisonRequestGuard, HeartbeatContributor):
    """Shares crashes and their suspects with the other nodes, and refuses what causes crashes.

    Args:
        node: Identifier of this node.
        members: View of the live nodes.
        started: Returns the start time of an endpoint that accepts requests, in seconds; None if it
            is leaving or unknown, so that its end is no crash.
        announce: Sends a heartbeat at once.
        forward: Passes facts of a peer on without waiting for the next heartbeat.
        is_reachable: Tries whether an endpoint accepts connections; it needs at most the part of
            ``CONFIRM_S`` that is left after the lower end of ``ALIVE_SPAN_S``.
    """

    def __init__(
        self,
        node: str,
        members: Members,
        started: Callable[[str], float | None],
        announce: Callable[[], None],
        forward: Callable[[], None],
        is_reachable: Callable[[str], Awaitable[bool]],
    ) -> None:
        self.evidence = CrashEvidence()
        self._trials = CrashTrials(node, members, self._share)
        self._is_reachable = is_reachable
        self._verifications: set[asyncio.Task[None]] = set()
        # Loop times at which endpoints were found alive after their connections had broken.
        self._alive_at: dict[str, float] = {}
        self._members = members
        self._started = started
        self._announce = announce
        self._forward = forward
        self._attempts: dict[str, _Attempt] = {}
        self._answered: OrderedDict[int, float] = OrderedDict()
        self._causes: list[Cause] = []
        self._evaluated_at = float("-inf")
        self._evaluated_version = 0
        self._listeners: list[Callable[[Cause], None]] = []
        self._new: deque[tuple[float, Fact]] = deque()
        self._incarnations: dict[str, int] = {}
        self._heartbeat_count = 0
        self._full_due = False
        self._announce_scheduled = False

    def listen(self, listener: Callable[[Cause], None]) -> None:
        """Register a function that is called with each cause that is found."""
        self._listeners.append(listener)

    @property
    def causes(self) -> list[Cause]:
        """The known causes."""
        return self._causes

    def check(self, req: Request) -> None:
        """Refuse a request that has the traits of a cause, unless it is a trial.

        Raises:
            CrashesEndpoints: If it has.
        """
        if not self._causes or self._trials.is_trial(req.id):
            return
        cause = self._cause_in(_Attempt(req, "", part_traits(req)))
        if cause is not None and not self._trials.try_start(
            cause.trait, req.id, self.evidence.newest_of(cause.crashes)
        ):
            raise CrashesEndpoints(
                f"similar requests crashed {len(cause.crashes)} endpoints",
                retry_after_s=RETRY_AFTER_S,
                trait=f"{cause.trait:x}",
            )

    def on_dispatched(self, req: Request, endpoint: str) -> None:
        """Record that a request is being sent to an endpoint."""
        self._attempts[req.id] = _Attempt(req, endpoint, part_traits(req))
        self._trials.on_sent(req.id)

    def on_answer_began(self, req: Request, endpoint: str) -> None:
        """Record that an endpoint answers, so that it is alive."""
        self._refute_crash(endpoint)

    def on_attempt_ended(self, req: Request, endpoint: str, seen: AttemptResult) -> None:
        """Record whether a request was answered, or was at an endpoint that seems to crash."""
        attempt = self._attempts.pop(req.id, None)
        if attempt is None or req.proxy is None:
            return
        now = _now()
        if self._trials.is_trial(req.id):
            self._on_trial_ended(req, endpoint, seen)
        if seen.ok and req.proxy.answering_since is not None:
            self._refute_crash(endpoint)
            self._on_answered(attempt, now)
        elif attempt.has_begun(now):
            self._on_answered(attempt, now)
        elif seen.ended:
            crash = self._crash_id(endpoint)
            if crash is not None and not self._was_alive(endpoint, now):
                self._add_suspect(endpoint, crash, attempt.request, attempt.parts)

    def on_request_done(self, req: Request) -> None:
        """End the trial of a request that failed or was cancelled."""
        self._trials.end(req.id)

    def on_endpoint_reset(self, endpoint: str) -> None:
        """Take a restart or the end of an endpoint for proof of the crash that was just suspected.

        It may have been reached again so soon that it seemed to be alive all the while.
        """
        started = self._started(endpoint)
        current = None if started is None else _crash_prefix(endpoint, started)
        for crash in self.evidence.crashes_since(_now() - RESTART_SPAN_S):
            if not crash.startswith(f"{endpoint}@"):
                continue
            if current is not None and crash.startswith(current):
                continue
            if self.evidence.prove(crash):
                logger.bind(endpoint=endpoint).info("the endpoint was reached, but had crashed")

    def restore(self, suspects: Iterable[CrashSuspect]) -> None:
        """Add suspects of earlier crashes that were stored."""
        known_at = _now() - RELAYED_CONFIRM_S
        for item in suspects:
            self.evidence.add_suspect(item.crash, item.request, item.parts, known_at)
        self.evaluate()

    def evidence_of(self, cause: Cause) -> list[CrashSuspect]:
        """Return the suspects from which a cause follows."""
        found = self.evidence.suspects(cause.crashes, cause.trait)
        return [CrashSuspect(crash, request, list(parts)) for crash, request, parts in found]

    def evaluate(self) -> None:
        """Find the causes of the known crashes, and withdraw requests that have one."""
        now, evidence = _now(), self.evidence
        confirm_s = RELAYED_CONFIRM_S if self._members.is_partial_mesh() else CONFIRM_S
        is_settled = self._evaluated_at >= evidence.newest + confirm_s
        if is_settled and self._evaluated_version == evidence.version:
            return
        self._evaluated_at, self._evaluated_version = now, evidence.version
        before = {item.trait: item for item in self._causes}
        self._causes = evidence.causes(now, confirm_s)
        after = {item.trait for item in self._causes}
        for trait in before.keys() - after:
            logger.bind(trait=f"{trait:x}").info("requests with a trait are accepted again")
        for cause in self._causes:
            if cause.trait not in before:
                logger.bind(
                    trait=f"{cause.trait:x}",
                    refused=[f"{item:x}" for item in sorted(cause.refused)],
                    crashes=sorted(cause.crashes),
                ).warning("requests with a trait crash endpoints and are refused")
                for listener in self._listeners:
                    listener(cause)
        self._withdraw_attempts()

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add new facts; the evidence of all causes every ``FULL_EVERY`` times."""
        self.evaluate()
        self._heartbeat_count += 1
        limit = _now() - NEW_S
        while self._new and self._new[0][0] < limit:
            self._new.popleft()
        facts: list[Fact] = [item for _, item in self._new]
        if self._full_due:
            facts = self._all_facts()
        elif self._heartbeat_count % FULL_EVERY == 0:
            self._drop_old()
            facts += [item for cause in self._causes for item in self.evidence_of(cause)]
            facts += self._trials.facts()
        self._full_due = False
        for item in facts[-MAX_SHARED:]:
            _add_fact(heartbeat, item)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the facts that a peer sent."""
        if self._incarnations.get(heartbeat.node) != heartbeat.incarnation:
            self._incarnations[heartbeat.node] = heartbeat.incarnation
            self._full_due = True
        new: list[Fact] = []
        for cleared in heartbeat.cleared[:MAX_SHARED]:
            if self.evidence.clear(cleared.trait, cleared.crashes):
                new.append(cleared)
        for crash in heartbeat.refuted[:MAX_SHARED]:
            if self.evidence.refute(crash):
                new.append(crash)
                self._alive_at[crash.rpartition("@")[0]] = _now()
        new += [item for item in heartbeat.crash_trials[:MAX_SHARED] if self._trials.merge(item)]
        for item in heartbeat.crash_suspects[:MAX_SHARED]:
            if self.evidence.add_suspect(item.crash, item.request, item.parts, _now()):
                new.append(item)
                self._clear_if_answered(item)
        if new and self._members.is_partial_mesh():
            self._new.extend((_now(), item) for item in new)
            self._forward()

    def _add_suspect(self, endpoint: str, crash: str, request: int, parts: tuple[int, ...]) -> None:
        is_first = self.evidence.known_at(crash) is None
        if not self.evidence.add_suspect(crash, request, parts, _now()):
            return
        if is_first:
            task = asyncio.get_running_loop().create_task(self._verify_crash(endpoint))
            self._verifications.add(task)
            task.add_done_callback(self._verifications.discard)
        suspect = CrashSuspect(crash, request, list(parts))
        self._share(suspect)
        self._clear_if_answered(suspect)

    async def _verify_crash(self, endpoint: str) -> None:
        """Take a crash back if its endpoint accepts connections.

        A process that dies may accept one for a moment longer, since its sockets are closed one
        after the other.
        """
        await asyncio.sleep(ALIVE_SPAN_S[0])
        try:
            if await self._is_reachable(endpoint):
                self._refute_crash(endpoint)
        except Exception:
            logger.bind(endpoint=endpoint).exception("unexpected error while a crash was verified")

    def _on_trial_ended(self, req: Request, endpoint: str, seen: AttemptResult) -> None:
        """End a trial whose attempt has ended, unless no endpoint received the request."""
        assert req.proxy is not None
        if not (seen.ended or seen.ok or req.proxy.answering_since is not None):
            return
        trait, crash = self._trials.end(req.id), self._crash_id(endpoint)
        if seen.ended and trait is not None and crash is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(CONFIRM_S, self._count_failed_trial, trait, crash)

    def _count_failed_trial(self, trait: int, crash: str) -> None:
        if not self.evidence.is_refuted(crash):
            self._trials.record_failure(trait)

    def _on_answered(self, attempt: _Attempt, now: float) -> None:
        """Record that a request was answered, which clears its traits of all known crashes."""
        traits = attempt.traits if self.evidence.newest > float("-inf") else attempt.parts
        for trait in traits:
            self._answered[trait] = now
            self._answered.move_to_end(trait)
            self._clear(trait, self.evidence.crashes_of(trait))
        while len(self._answered) > MAX_TRAITS:
            self._answered.popitem(last=False)

    def _clear_if_answered(self, suspect: CrashSuspect) -> None:
        """Clear those traits of a suspect that other requests have had answered just before."""
        now = _now()
        for trait in (*suspect.parts, suspect.request):
            answered = now - self._answered.get(trait, float("-inf")) <= CLEARED_S
            if answered or self._is_answering(trait, now):
                self._clear(trait, [suspect.crash])

    def _is_answering(self, trait: int, now: float) -> bool:
        return any(item.has_begun(now) and trait in item.parts for item in self._attempts.values())

    def _clear(self, trait: int, crashes: list[str]) -> None:
        if crashes and self.evidence.clear(trait, crashes):
            self._share(ClearedTrait(trait, crashes))

    def _refute_crash(self, endpoint: str) -> None:
        """Take back the crash of an endpoint that answers."""
        crash = self._crash_id(endpoint)
        known_at = self.evidence.known_at(crash) if crash is not None else None
        if crash is None or known_at is None:
            return
        least_s, most_s = ALIVE_SPAN_S
        if least_s <= _now() - known_at <= most_s and self.evidence.refute(crash):
            self._alive_at[endpoint] = _now()
            logger.bind(endpoint=endpoint).info("connections broke, but the endpoint is alive")
            self._share(crash)

    def _was_alive(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint was just found alive after its connections had broken.

        Where many connections break, each would otherwise be a crash of its own to refute.
        """
        return now - self._alive_at.get(endpoint, float("-inf")) <= ALIVE_SPAN_S[1]

    def _crash_id(self, endpoint: str) -> str | None:
        """Return the identifier of the next crash of an endpoint; it crashes once per start."""
        started = self._started(endpoint)
        if started is None:
            return None
        prefix, number = _crash_prefix(endpoint, started), 0
        while self.evidence.is_refuted(f"{prefix}{number}"):
            number += 1
        return f"{prefix}{number}"

    def _cause_in(self, attempt: _Attempt) -> Cause | None:
        return next((item for item in self._causes if item.refused <= attempt.traits), None)

    def _withdraw_attempts(self) -> None:
        """Close the connections of requests that are now refused and not answered yet."""
        if not self._causes:
            return
        for attempt in list(self._attempts.values()):
            state = attempt.req.proxy
            if state is None or state.abort is None or state.answering_since is not None:
                continue
            if self._trials.is_trial(attempt.req.id):
                continue
            if self._cause_in(attempt) is not None:
                state.withdrawn = True
                state.abort()

    def _all_facts(self) -> list[Fact]:
        """Return what a node that joins needs to know."""
        recent = self.evidence.crashes_since(_now() - RECENT_S)
        crashes = sorted({*recent, *self._blamed()})
        suspects = self.evidence.suspects(crashes)
        return [
            *[CrashSuspect(crash, request, list(parts)) for crash, request, parts in suspects],
            *[ClearedTrait(trait, names) for trait, names in self.evidence.cleared(crashes)],
            *self.evidence.refuted(),
            *self._trials.facts(),
        ]

    def _drop_old(self) -> None:
        now = _now()
        self.evidence.drop_before(now - SUSPECT_RETENTION_S, keep=self._blamed())
        self.evidence.drop_before(now - CAUSE_RETENTION_S)
        self._trials.retain({cause.trait for cause in self._causes})
        limit = now - ALIVE_SPAN_S[1]
        self._alive_at = {name: at for name, at in self._alive_at.items() if at > limit}

    def _blamed(self) -> set[str]:
        """Return the crashes that have a known cause."""
        return {name for cause in self._causes for name in cause.crashes}

    def _share(self, fact: Fact) -> None:
        """Send a new fact to the peers, together with others of this iteration of the loop."""
        self._new.append((_now(), fact))
        if not self._announce_scheduled:
            self._announce_scheduled = True
            asyncio.get_running_loop().call_soon(self._announce_now)

    def _announce_now(self) -> None:
        self._announce_scheduled = False
        self._announce()


def part_traits(req: Request) -> tuple[int, ...]:
    """Return the traits of the shared parts of a request's prompt, in order."""
    parts = req.proxy.shared_parts if req.proxy else ()
    return tuple(xxhash.xxh3_64_intdigest(f"part|{part.id}".encode()) for part in parts)


def request_trait(req: Request) -> int:
    """Return the trait of a request as a whole: workspace, method, target and body."""
    assert req.proxy is not None
    http = req.proxy.request
    head = b"|".join((b"request", req.workspace.encode(), http.method, http.target, b""))
    digest = xxhash.xxh3_64(head)
    digest.update(http.body)
    return digest.intdigest()


def _crash_prefix(endpoint: str, started: float) -> str:
    """Return what the identifiers of all crashes of an endpoint since a start have in common."""
    return f"{endpoint}@{started:.3f}/"


def _add_fact(heartbeat: Heartbeat, fact: Fact) -> None:
    if isinstance(fact, CrashSuspect):
        heartbeat.crash_suspects.append(fact)
    elif isinstance(fact, CrashTrial):
        heartbeat.crash_trials.append(fact)
    elif isinstance(fact, ClearedTrait):
        heartbeat.cleared.append(fact)
    else:
        heartbeat.refuted.append(fact)


def _now() -> float:
    return asyncio.get_running_loop().time()
