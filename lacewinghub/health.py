"""Tracks which endpoints are usable: neither leaving nor ejected.

Outlier ejection follows Envoy's outlier detection: ejection after consecutive failures, ejection
times that double, and an upper limit on the ejected share of a pool.
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

FAILURE_LIMIT = 3  # Consecutive failures after which an endpoint is ejected.
OUTLIER_FACTOR = 3.0  # An endpoint is an outlier above this multiple of the median.
# Smaller differences between endpoints are measurement and network noise.
FIRST_TOKEN_MARGIN_S = 0.05
BETWEEN_TOKENS_MARGIN_S = 0.005
SAMPLES = 16
MIN_SAMPLES = 5
SAMPLE_AGE_S = 30.0
EVALUATE_S = 0.1
EJECTION_S = 5.0
EJECTION_LIMIT_S = 60.0
# If an endpoint was not ejected for this long, its next ejection lasts EJECTION_S again.
EJECTION_RESET_S = 120.0
# Load reports lag by up to a few seconds: a report of "live" within this time after the mark may
# describe the state before it.
RETURN_REPORT_S = 5.0
# The host list shows a leaving host as live for up to a minute.
RETURN_LISTED_S = 60.0
LEAVING_S = 600.0  # Maximum age of a leaving mark.
NEW_MARK_S = 3.0  # How long a changed mark is part of every heartbeat.
# A mark is renewed well within RETURN_LISTED_S, so that the host list does not end it while the
# endpoint is still leaving.
RENEW_MARK_S = 30.0
FULL_EVERY = 20  # Number of heartbeats after which one contains all marks again.


@dataclass(slots=True)
class _Sample:
    time: float
    first_token_s: float | None
    between_tokens_s: float | None


@dataclass(slots=True)
class _Status:
    """State of one endpoint; times are loop times in seconds.

    Attributes:
        failures: Number of consecutive failures.
        samples: Recent latencies.
        ejections: Number of recent ejections; doubles the ejection time.
        ejected_until: End of the last ejection.
        version: Version of the leaving mark; grows with each change.
        changed: Time at which the mark last changed at this node.
        left: Time of the last evidence that the endpoint is leaving; ``-inf`` if there is none.
        witnessed: Time at which this node itself last saw the endpoint leave.
    """

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
        """Order of the marks of an endpoint: of two different marks the larger one is valid."""
        return self.version, self.left > float("-inf")

    def change(self, version: int, left: float, now: float) -> None:
        self.version, self.left, self.changed = version, left, now

    def is_leaving(self, now: float) -> bool:
        return now - self.left < LEAVING_S

    def is_ejected(self, now: float) -> bool:
        return now < self.ejected_until


@dataclass(slots=True)
class _Usable:
    """Cached usable endpoints of a pool."""

    pool: Pool
    generation: int
    until: float
    endpoints: list[Endpoint]
    names: frozenset[str]

    def is_valid(self, generation: int, now: float) -> bool:
        return self.generation == generation and now < self.until


class EndpointHealth:
    """Failures, outlier ejection and leaving marks of all endpoints, as known to this node.

    An endpoint is marked as leaving when it refuses work for that reason, says so in its load
    report, or is listed as leaving by the platform. The mark ends when a load report of the
    endpoint shows it as live at least ``RETURN_REPORT_S`` after the last evidence, when the host
    list shows it as live at least ``RETURN_LISTED_S`` after it, or after ``LEAVING_S``.

    Marks and their ends are sent between nodes as ``EndpointLeaveState``. Each change increments a
    version, and a node applies and forwards each version at most once, so that no mark circulates
    for ever. A node that saw the endpoint leave less than ``RETURN_REPORT_S`` ago does not accept
    that it has returned.

    Attributes:
        contributor: Exchanges the leaving marks through heartbeats.
    """

    def __init__(self) -> None:
        self._status: dict[str, _Status] = {}
        self._usable: dict[str, _Usable] = {}
        self._generation = 0
        self.contributor = LeaveStateSync(self)

    def usable(self, pool: Pool) -> list[Endpoint]:
        """Return the endpoints of a pool that may receive new work.

        Leaving endpoints are never included. Ejected ones are excluded, but at most half of those
        that are not leaving; if more are ejected, those whose ejection ends first are included.

        Args:
            pool: The pool.

        Returns:
            Endpoints in the order of the pool; empty if all are leaving.
        """
        return list(self._cached_usable(pool).endpoints)

    def usable_names(self, pool: Pool) -> frozenset[str]:
        """Return the names of the endpoints that ``usable`` returns."""
        return self._cached_usable(pool).names

    def _cached_usable(self, pool: Pool) -> "_Usable":
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

    def record_result(self, endpoint: str, result: AttemptResult) -> None:
        """Record the outcome and latencies of a request.

        Args:
            endpoint: Name of the endpoint.
            result: Outcome and latencies of the request.
        """
        status = self._status_of(endpoint)
        now = _now()
        if result.first_token_s is not None or result.between_tokens_s is not None:
            status.samples.append(_Sample(now, result.first_token_s, result.between_tokens_s))
        if result.ok:
            status.failures = 0
            return
        status.failures += 1
        if status.failures >= FAILURE_LIMIT and not status.is_ejected(now):
            self._eject(endpoint, f"{status.failures} consecutive failures", now)

    def eject(self, endpoint: str, reason: str) -> None:
        """Eject an endpoint for some time.

        Args:
            endpoint: Name of the endpoint.
            reason: Reason for the log.
        """
        self._eject(endpoint, reason, _now())

    def forget(self, endpoint: str) -> None:
        """Remove the state of an endpoint that has restarted."""
        self._status.pop(endpoint, None)
        self._generation += 1

    def mark_leaving(self, endpoint: str) -> None:
        """Mark an endpoint as leaving, on evidence that this node itself received.

        Args:
            endpoint: Name of the endpoint.
        """
        status, now = self._status_of(endpoint), _now()
        before = status.is_leaving(now)
        fresh = now - status.left < RETURN_REPORT_S and now - status.changed < RENEW_MARK_S
        status.witnessed = now
        if before and fresh:
            status.left = now
            return
        status.change(status.version + 1, now, now)
        self._on_mark_changed(endpoint, before, True)

    def apply_load_report(self, endpoint: str, leaving: bool) -> None:
        """Apply the state from a load report of an endpoint.

        Args:
            endpoint: Name of the endpoint.
            leaving: True if it reports that it is leaving.
        """
        if leaving:
            self.mark_leaving(endpoint)
            return
        self._unmark(endpoint, RETURN_REPORT_S)

    def apply_host_list(self, states: Mapping[str, str]) -> None:
        """Apply the states in the host list of the platform.

        Args:
            states: ``live`` or ``leaving`` by endpoint name. Endpoints that are not in the list
                keep their state.
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
        """Return whether an endpoint is ejected; it may be usable nevertheless, see ``usable``."""
        return self._is_ejected(endpoint, _now())

    def retain(self, endpoints: set[str]) -> None:
        """Remove the state of all endpoints except those named, which are in the tables."""
        for name in set(self._status) - endpoints:
            del self._status[name]
        self._usable.clear()

    def marks(self, full: bool) -> list[EndpointLeaveState]:
        """Return the marks of endpoints that are leaving or have returned.

        Args:
            full: False to return only the marks that changed within ``NEW_MARK_S``.
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

    def merge_mark(self, mark: EndpointLeaveState) -> bool:
        """Apply a mark that a peer sent.

        Args:
            mark: The mark.

        Returns:
            True if the mark was new.
        """
        status, now = self._status_of(mark.endpoint), _now()
        if (mark.version, mark.leaving) <= status.rank:
            if mark.version < status.version and now - status.changed >= NEW_MARK_S:
                # The peer, perhaps restarted, does not know the later mark: send it again.
                status.changed = now
            return False
        before = status.is_leaving(now)
        left = float("-inf")
        if mark.leaving:
            left = now - max(0, mark.age_ms) / 1000
        elif now - status.witnessed < RETURN_REPORT_S:
            left = status.left
        status.change(mark.version, left, now)
        self._on_mark_changed(mark.endpoint, before, status.is_leaving(now))
        return True

    def _status_of(self, endpoint: str) -> _Status:
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

    def _on_mark_changed(self, endpoint: str, before: bool, after: bool) -> None:
        if before != after:
            logger.info("endpoint {} is {}", endpoint, "leaving" if after else "live again")
            self._generation += 1

    def _unmark(self, endpoint: str, after_s: float) -> None:
        status = self._status.get(endpoint)
        now = _now()
        if status is None or not status.is_leaving(now) or now - status.left < after_s:
            return
        status.change(status.version + 1, float("-inf"), now)
        self._on_mark_changed(endpoint, True, False)

    def _eject(self, endpoint: str, reason: str, now: float) -> None:
        status = self._status_of(endpoint)
        if now - status.ejected_until > EJECTION_RESET_S:
            status.ejections = 0
        duration = min(EJECTION_S * 2**status.ejections, EJECTION_LIMIT_S)
        status.ejections = min(status.ejections + 1, 16)
        status.ejected_until = now + duration
        status.failures = 0
        status.samples.clear()
        self._generation += 1
        logger.info("endpoint {} ejected for {} s: {}", endpoint, duration, reason)

    def _evaluate(self, pool: Pool, now: float) -> None:
        """Eject the endpoints whose latencies are far above the median of the pool."""
        measures: tuple[tuple[str, Callable[[_Sample], float | None], float], ...] = (
            ("first token", lambda item: item.first_token_s, FIRST_TOKEN_MARGIN_S),
            ("between tokens", lambda item: item.between_tokens_s, BETWEEN_TOKENS_MARGIN_S),
        )
        names = [item.name for item in pool.endpoints if not self._is_leaving(item.name, now)]
        for label, measure, margin_s in measures:
            times = self._medians(names, measure, now)
            if len(times) < 2:
                continue
            median = statistics.median_low(times.values())
            limit = max(median * OUTLIER_FACTOR, median + margin_s)
            for name, value in times.items():
                if value > limit and not self._is_ejected(name, now):
                    reason = f"{label} {value:.3f} s, median of pool {pool.name} {median:.3f} s"
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
    """Exchanges the leaving marks: new ones in each heartbeat, all of them from time to time.

    Args:
        health: Stores the marks.
        forward: Forwards new marks of a peer without waiting for the next heartbeat.
    """

    def __init__(self, health: EndpointHealth, forward: Callable[[], None] | None = None) -> None:
        self._health = health
        self._forward = forward
        self._heartbeat_count = 0
        self._peers: dict[str, int] = {}
        self._full_due = False

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the new marks; all of them every ``FULL_EVERY`` heartbeats or when a peer joined."""
        self._heartbeat_count += 1
        full = self._full_due or self._heartbeat_count % FULL_EVERY == 0
        self._full_due = False
        heartbeat.marks.extend(self._health.marks(full))

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply the marks of a peer."""
        if self._peers.get(heartbeat.node) != heartbeat.incarnation:
            self._peers[heartbeat.node] = heartbeat.incarnation
            self._full_due = True
        new_marks = [mark for mark in heartbeat.marks if self._health.merge_mark(mark)]
        if new_marks and self._forward is not None:
            self._forward()


class HealthMonitor(EndpointMonitor):
    """Passes the outcomes of requests on to the endpoint health.

    Args:
        health: Receives the outcomes and refusals.
    """

    def __init__(self, health: EndpointHealth) -> None:
        self._health = health

    def on_attempt_ended(self, pool: str, endpoint: str, result: AttemptResult) -> None:
        """Record the outcome of an attempt."""
        self._health.record_result(endpoint, result)

    def on_endpoint_leaving(self, endpoint: str) -> None:
        """Mark an endpoint that refused work because it is leaving."""
        self._health.mark_leaving(endpoint)


class HealthyPools(TablesView):
    """Pools of the current tables without leaving and ejected endpoints.

    Args:
        tables: Returns the current tables.
        health: State of the endpoints.
    """

    def __init__(self, tables: Callable[[], Tables], health: EndpointHealth) -> None:
        super().__init__(tables)
        self._health = health

    def usable(self, name: str) -> list[Endpoint]:
        """Return the usable endpoints of a pool."""
        return self._health.usable(self.pool(name))

    def ejected(self, name: str) -> list[Endpoint]:
        """Return the endpoints of a pool that are not usable only since they are ejected."""
        pool = self.pool(name)
        usable = self._health.usable_names(pool)
        return [
            item
            for item in pool.endpoints
            if item.name not in usable and not self._health.is_leaving(item.name)
        ]

    def usable_of(self, name: str, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return which of the given endpoints of a pool are usable."""
        names = self._health.usable_names(self.pool(name))
        return [item for item in endpoints if item.name in names]


def _now() -> float:
    return asyncio.get_running_loop().time()
