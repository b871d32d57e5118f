"""Which endpoints of a pool can be used.

Outlier ejection follows the scheme of Envoy's outlier detection: consecutive failures, doubling
ejection time and an upper bound on the ejected share of a pool.
"""

import asyncio
import statistics
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from loguru import logger

from .dependencies import EndpointMonitor
from .membership import HeartbeatContributor
from .message import EndpointLeaveState, Heartbeat
from .request import AttemptResult
from .scheduler import TablesView
from .tables import Endpoint, Pool, Tables

FAILURE_LIMIT = 3
OUTLIER_FACTOR = 3.0
# Smaller differences between endpoints are noise of the measurement and the network.
FIRST_TOKEN_MARGIN_S = 0.05
BETWEEN_TOKENS_MARGIN_S = 0.005
SAMPLES = 16
MIN_SAMPLES = 5
SAMPLE_AGE_S = 30.0
EVALUATE_S = 0.1
EJECTION_S = 5.0
EJECTION_LIMIT_S = 60.0
# Without a new ejection for this long, the next one starts at EJECTION_S again.
FORGIVE_S = 120.0
# Load reports lag by up to a few seconds: an earlier "live" may still describe the time before.
RETURN_REPORT_S = 5.0
# The host list shows a leaving host as live for up to a minute.
RETURN_LISTED_S = 60.0
LEAVING_S = 600.0
NEW_MARK_S = 3.0
# Renewed well within RETURN_LISTED_S, so that the host list does not end a mark that still holds.
RENEW_MARK_S = 30.0
FULL_EVERY = 20


@dataclass(slots=True)
class _Sample:
    time: float
    first_token_s: float | None
    between_tokens_s: float | None


@dataclass(slots=True)
class _Status:
    failures: int = 0
    samples: deque[_Sample] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    ejections: int = 0
    ejected_until: float = float("-inf")
    version: int = 0
    changed: float = float("-inf")
    left: float = float("-inf")
    witnessed: float = float("-inf")

    @property
    def rank(self) -> tuple[int, bool]:
        """Order of the states of an endpoint; of two nodes the larger one is in force."""
        return self.version, self.left > float("-inf")

    def change(self, version: int, left: float, now: float) -> None:
        self.version, self.left, self.changed = version, left, now

    def is_leaving(self, now: float) -> bool:
        return now - self.left < LEAVING_S

    def is_ejected(self, now: float) -> bool:
        return now < self.ejected_until


@dataclass(slots=True)
class _Usable:
    pool: Pool
    generation: int
    until: float
    endpoints: list[Endpoint]
    names: frozenset[str]

    def is_valid(self, generation: int, now: float) -> bool:
        return self.generation == generation and now < self.until


class EndpointHealth:
    """Failures, outlier ejection and leaving marks of all endpoints, as this node sees them.

    An endpoint is leaving when it refuses work for that reason, says so in its load report, or is
    listed as leaving by the platform. A mark ends when the endpoint itself reports to be live
    ``RETURN_REPORT_S`` after the last evidence, when the host list shows it as live
    ``RETURN_LISTED_S`` after it, or after ``LEAVING_S``.

    Marks and their ends travel from node to node through heartbeats. Each change raises a version,
    and a node takes over and passes on each version at most once, so that nothing circulates for
    ever. A node that has seen an endpoint leave itself, less than ``RETURN_REPORT_S`` ago,
    contradicts its return.

    Attributes:
        contributor: Shares the leaving marks through heartbeats.
    """

    def __init__(self) -> None:
        self._status: dict[str, _Status] = {}
        self._usable: dict[str, _Usable] = {}
        self._generation = 0
        self.contributor = LeaveStateSync(self)

    def usable(self, pool: Pool) -> list[Endpoint]:
        """Return the endpoints of a pool that may receive new work.

        Leaving endpoints are never included. Ejected ones are left out, but never more than half
        of those that are not leaving; of more, the ones whose ejection ends first are used.

        Args:
            pool: The pool.

        Returns:
            Endpoints in the order of the pool; empty if all are leaving.
        """
        return list(self._usable_of(pool).endpoints)

    def usable_names(self, pool: Pool) -> frozenset[str]:
        """Return the names of the endpoints that ``usable`` returns."""
        return self._usable_of(pool).names

    def _usable_of(self, pool: Pool) -> "_Usable":
        now = _now()
        known = self._usable.get(pool.name)
        if known and known.pool is pool and known.is_valid(self._generation, now):
            return known
        self._evaluate(pool, now)
        present = [item for item in pool.endpoints if not self._is_leaving(item.name, now)]
        ejected = [item for item in present if self._is_ejected(item.name, now)]
        ejected.sort(key=lambda item: self._status[item.name].ejected_until, reverse=True)
        out = {item.name for item in ejected[: len(present) // 2]}
        endpoints = [item for item in present if item.name not in out]
        names = frozenset(item.name for item in endpoints)
        found = _Usable(pool, self._generation, now + EVALUATE_S, endpoints, names)
        self._usable[pool.name] = found
        return found

    def observe(self, endpoint: str, seen: AttemptResult) -> None:
        """Take over what a request measured.

        Args:
            endpoint: Name of the endpoint.
            seen: The measurement; times in seconds.
        """
        status = self._of(endpoint)
        now = _now()
        if seen.first_token_s is not None or seen.between_tokens_s is not None:
            status.samples.append(_Sample(now, seen.first_token_s, seen.between_tokens_s))
        if seen.ok:
            status.failures = 0
            return
        status.failures += 1
        if status.failures >= FAILURE_LIMIT and not status.is_ejected(now):
            self._eject(endpoint, f"{status.failures} consecutive failures", now)

    def eject(self, endpoint: str, reason: str) -> None:
        """Leave an endpoint out for a while.

        Args:
            endpoint: Name of the endpoint.
            reason: What was seen, for the log.
        """
        self._eject(endpoint, reason, _now())

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint, which has started anew."""
        self._status.pop(endpoint, None)
        self._generation += 1

    def mark_leaving(self, endpoint: str) -> None:
        """Mark an endpoint that itself refused work because it is leaving.

        Args:
            endpoint: Name of the endpoint.
        """
        status, now = self._of(endpoint), _now()
        before = status.is_leaving(now)
        fresh = now - status.left < RETURN_REPORT_S and now - status.changed < RENEW_MARK_S
        status.witnessed = now
        if before and fresh:
            status.left = now
            return
        status.change(status.version + 1, now, now)
        self._note(endpoint, before, True)

    def apply_load_report(self, endpoint: str, leaving: bool) -> None:
        """Take over the state from a load report of the endpoint.

        Args:
            endpoint: Name of the endpoint.
            leaving: True if it reports that it is leaving.
        """
        if leaving:
            self.mark_leaving(endpoint)
            return
        self._unmark(endpoint, RETURN_REPORT_S)

    def apply_host_list(self, states: Mapping[str, str]) -> None:
        """Take over an answer of the platform's host list.

        Args:
            states: ``live`` or ``leaving`` by endpoint name. Endpoints that are missing keep their
                state.
        """
        for endpoint, state in states.items():
            if state == "leaving":
                self.mark_leaving(endpoint)
            elif state == "live":
                self._unmark(endpoint, RETURN_LISTED_S)

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether an endpoint is marked as leaving."""
        return self._is_leaving(endpoint, _now())

    def is_ejected(self, endpoint: str) -> bool:
        """Return whether an endpoint is ejected; it may still be in use, see ``usable``."""
        return self._is_ejected(endpoint, _now())

    def retain(self, endpoints: set[str]) -> None:
        """Forget all endpoints except those named, which the tables in force hold."""
        for name in set(self._status) - endpoints:
            del self._status[name]
        self._usable.clear()

    def marks(self, full: bool) -> list[EndpointLeaveState]:
        """Return the endpoints that leave or have returned.

        Args:
            full: False to return only those that this node learned within ``NEW_MARK_S``.
        """
        now = _now()
        limit_s = LEAVING_S if full else NEW_MARK_S
        return [
            (
                EndpointLeaveState(name, status.version, True, int((now - status.left) * 1000))
                if status.rank[1]
                else EndpointLeaveState(name, status.version, False, 0)
            )
            for name, status in self._status.items()
            if now - status.changed < limit_s
        ]

    def heard(self, mark: EndpointLeaveState) -> bool:
        """Take over a mark of a peer.

        Args:
            mark: The mark.

        Returns:
            True if it was new.
        """
        status, now = self._of(mark.endpoint), _now()
        if (mark.version, mark.leaving) <= status.rank:
            if mark.version < status.version and now - status.changed >= NEW_MARK_S:
                # The peer, perhaps restarted, does not know the later state: share it again.
                status.changed = now
            return False
        before = status.is_leaving(now)
        left = float("-inf")
        if mark.leaving:
            left = now - max(0, mark.age_ms) / 1000
        elif now - status.witnessed < RETURN_REPORT_S:
            left = status.left
        status.change(mark.version, left, now)
        self._note(mark.endpoint, before, status.is_leaving(now))
        return True

    def _of(self, endpoint: str) -> _Status:
        status = self._status.get(endpoint)
        if status is None:
            status = self._status[endpoint] = _Status()
        return status

    def _is_leaving(self, endpoint: str, now: float) -> bool:
        status = self._status.get(endpoint)
        return status is not None and status.is_leaving(now)

    def _is_ejected(self, endpoint: str, now: float) -> bool:
        status = self._status.get(endpoint)
        return status is not None and status.is_ejected(now)

    def _note(self, endpoint: str, before: bool, after: bool) -> None:
        if before != after:
            logger.info("endpoint {} is {}", endpoint, "leaving" if after else "live again")
            self._generation += 1

    def _unmark(self, endpoint: str, after_s: float) -> None:
        status = self._status.get(endpoint)
        now = _now()
        if status is None or not status.is_leaving(now) or now - status.left < after_s:
            return
        status.change(status.version + 1, float("-inf"), now)
        self._note(endpoint, True, False)

    def _eject(self, endpoint: str, reason: str, now: float) -> None:
        status = self._of(endpoint)
        if now - status.ejected_until > FORGIVE_S:
            status.ejections = 0
        duration = min(EJECTION_S * 2**status.ejections, EJECTION_LIMIT_S)
        status.ejections = min(status.ejections + 1, 16)
        status.ejected_until = now + duration
        status.failures = 0
        status.samples.clear()
        self._generation += 1
        logger.info("endpoint {} ejected for {} s: {}", endpoint, duration, reason)

    def _evaluate(self, pool: Pool, now: float) -> None:
        """Eject the endpoints whose times are far above the median of the pool."""
        measures: tuple[tuple[str, Callable[[_Sample], float | None], float], ...] = (
            ("first token", lambda item: item.first_token_s, FIRST_TOKEN_MARGIN_S),
            ("between tokens", lambda item: item.between_tokens_s, BETWEEN_TOKENS_MARGIN_S),
        )
        names = [item.name for item in pool.endpoints if not self._is_leaving(item.name, now)]
        for label, measure, margin_s in measures:
            times = self._medians(names, measure, now)
            if len(times) < 2:
                continue
            typical = statistics.median_low(times.values())
            limit = max(typical * OUTLIER_FACTOR, typical + margin_s)
            for name, value in times.items():
                if value > limit and not self._is_ejected(name, now):
                    reason = f"{label} {value:.3f} s, median of pool {pool.name} {typical:.3f} s"
                    self._eject(name, reason, now)

    def _medians(
        self, names: list[str], measure: Callable[[_Sample], float | None], now: float
    ) -> dict[str, float]:
        found = {}
        for name in names:
            status = self._status.get(name)
            if status is None:
                continue
            recent = [item for item in status.samples if now - item.time < SAMPLE_AGE_S]
            values = [value for item in recent if (value := measure(item)) is not None]
            if len(values) >= MIN_SAMPLES:
                found[name] = statistics.median(values)
        return found


class LeaveStateSync(HeartbeatContributor):
    """Shares the leaving marks: new ones with each heartbeat, all of them from time to time.

    Args:
        health: Where the marks are kept.
        forward: Passes on news of a peer without waiting for the next heartbeat.
    """

    def __init__(self, health: EndpointHealth, forward: Callable[[], None] | None = None) -> None:
        self._health = health
        self._forward = forward
        self._beats = 0
        self._peers: dict[str, int] = {}
        self._full_due = False

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Write the marks; all of them in every ``FULL_EVERY``-th beat or when a peer joined."""
        self._beats += 1
        full = self._full_due or self._beats % FULL_EVERY == 0
        self._full_due = False
        heartbeat.marks.extend(self._health.marks(full))

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take over the marks of a peer."""
        if self._peers.get(heartbeat.node) != heartbeat.incarnation:
            self._peers[heartbeat.node] = heartbeat.incarnation
            self._full_due = True
        news = [mark for mark in heartbeat.marks if self._health.heard(mark)]
        if news and self._forward is not None:
            self._forward()


class HealthMonitor(EndpointMonitor):
    """Passes on what the router learns of endpoints.

    Args:
        health: Receives the measurements and refusals.
    """

    def __init__(self, health: EndpointHealth) -> None:
        self._health = health

    def on_attempt_ended(self, pool: str, endpoint: str, seen: AttemptResult) -> None:
        """Note what was measured during one attempt."""
        self._health.observe(endpoint, seen)

    def on_endpoint_leaving(self, endpoint: str) -> None:
        """Note that the endpoint announced that it is leaving."""
        self._health.mark_leaving(endpoint)


class HealthyPools(TablesView):
    """Pools of the tables in force without leaving and ejected endpoints.

    Args:
        tables: Returns the tables in force.
        health: State of the endpoints.
    """

    def __init__(self, tables: Callable[[], Tables], health: EndpointHealth) -> None:
        super().__init__(tables)
        self._health = health

    def usable(self, name: str) -> list[Endpoint]:
        """Return the usable endpoints of a pool."""
        return self._health.usable(self.pool(name))

    def usable_of(self, name: str, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return those of some endpoints of a pool that are usable."""
        names = self._health.usable_names(self.pool(name))
        return [item for item in endpoints if item.name in names]


def _now() -> float:
    return asyncio.get_running_loop().time()
