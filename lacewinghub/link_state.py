"""Whether this node reaches the endpoints over its own links; decides without any network.

An endpoint that this node does not reach may have failed itself, or the links of this node may be
cut. What another node found at the same time tells them apart.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger

# Evidence is forgotten after this time.
EVIDENCE_S = 3.0
# A failed direct connection leaves doubt about all of them for this long.
DOUBT_S = 1.0
# After another node has not reached an endpoint either, it is not asked again for this long.
VERDICT_S = 0.5
# A node that has reached some endpoint directly in this time can tell whether another one failed;
# after a time-out, it reached it while it was waiting.
CONFIDENT_S = 0.1
CONFIDENT_AFTER_TIMEOUT_S = 0.25
# Endpoints that only other nodes reach, from which on the node's links are cut.
REACHED_BY_OTHERS_LIMIT = 2
# Endpoints that nobody is known to reach, from which on they are, unless there are fewer.
UNREACHED_LIMIT = 3
# The links are back after direct connections to this many endpoints in a row, over this time.
BACK_COUNT = 3
BACK_S = 1.0


@dataclass(slots=True)
class _Endpoint:
    """Evidence about the endpoint at one address; loop times in seconds.

    Attributes:
        ok_at: Last direct connection.
        failed_at: Last failed direct connection.
        reached_at: Last connection through another node.
        unreached_at: Last failed connection through a node that is not cut itself.
        judged_at: Last failed direct connection that was not due to the links.
        timed_out: True if the last failed direct connection was not answered.
    """

    ok_at: float = float("-inf")
    failed_at: float = float("-inf")
    reached_at: float = float("-inf")
    unreached_at: float = float("-inf")
    judged_at: float = float("-inf")
    timed_out: bool = False

    @property
    def has_failed(self) -> bool:
        return self.failed_at > self.ok_at

    @property
    def is_reached_by_others(self) -> bool:
        return self.reached_at > self.unreached_at


class LinkState:
    """What this node knows of its links to the endpoints.

    Args:
        known: Returns the number of known endpoints.

    Attributes:
        is_cut: True if the links of the node as a whole are cut.
        hangs: True if cut links are silent, so that open connections are, too.
    """

    def __init__(self, known: Callable[[], int]) -> None:
        self.is_cut = False
        self.hangs = False
        self._known = known
        self._endpoints: dict[str, _Endpoint] = {}
        self._ok_at = float("-inf")
        self._failed_at = float("-inf")
        self._cut_at = float("-inf")
        self._back_since: float | None = None
        self._back: set[str] = set()
        self._listeners: list[Callable[[], None]] = []
        self._failure_listeners: list[Callable[[], None]] = []

    def listen(self, listener: Callable[[], None]) -> None:
        """Register a function that is called after the links were cut or are back."""
        self._listeners.append(listener)

    def on_failure(self, listener: Callable[[], None]) -> None:
        """Register a function that is called after each direct connection that failed."""
        self._failure_listeners.append(listener)

    def is_unreached_here(self, address: str) -> bool:
        """Return whether only other nodes reach an endpoint."""
        item = self._endpoints.get(address)
        if item is None or not item.has_failed or not item.is_reached_by_others:
            return False
        if item.failed_at < self._cut_at:
            return False  # The cut explains it.
        return _now() - max(item.reached_at, item.failed_at) < EVIDENCE_S

    def prefers_tunnel(self, address: str) -> bool:
        """Return whether a new connection goes through another node without a direct attempt."""
        if self.is_cut:
            item = self._endpoints.get(address)
            return item is None or item.ok_at < self._cut_at or item.has_failed
        return self.is_unreached_here(address)

    def is_in_doubt(self) -> bool:
        """Return whether a direct attempt and one through another node should run side by side."""
        return self._failed_at > self._ok_at and _now() - self._failed_at < DOUBT_S

    @property
    def is_isolated(self) -> bool:
        """True if the links are cut and no direct connection has succeeded since then."""
        return self.is_cut and self._ok_at < self._cut_at

    def is_confident(self, timed_out: bool) -> bool:
        """Return whether the links of this node worked while a direct attempt failed.

        Args:
            timed_out: True if the attempt timed out.
        """
        span_s = CONFIDENT_AFTER_TIMEOUT_S if timed_out else CONFIDENT_S
        return not self.is_cut and _now() - self._ok_at < span_s

    @property
    def is_returning(self) -> bool:
        """True while the links are cut and direct connections succeed again."""
        return self.is_cut and self._back_since is not None

    def has_failed(self, address: str) -> bool:
        """Return whether the last direct connection to an endpoint failed."""
        item = self._endpoints.get(address)
        return item is not None and item.has_failed

    def has_verdict(self, address: str) -> bool:
        """Return whether other nodes did not reach an endpoint a moment ago, either."""
        item = self._endpoints.get(address)
        return (
            item is not None
            and item.unreached_at > item.reached_at
            and _now() - item.unreached_at < VERDICT_S
        )

    def was_cut_since(self, time: float) -> bool:
        """Return whether the links were cut at some time since a loop time, in seconds."""
        return self.is_cut or self._cut_at >= time

    def unreached_here(self) -> list[str]:
        """Return the addresses of endpoints that only other nodes reach."""
        return [address for address in self._endpoints if self.is_unreached_here(address)]

    def on_direct_ok(self, address: str) -> None:
        """Record a direct connection."""
        now = _now()
        self._endpoint(address).ok_at = self._ok_at = now
        if not self.is_cut:
            return
        if self._back_since is None:
            self._back_since = now
        self._back.add(address)
        if self._has_reached_enough() and now - self._back_since >= BACK_S:
            self._set_back()

    def on_direct_failed(self, address: str, timed_out: bool) -> None:
        """Record that a direct connection could not be opened."""
        item = self._endpoint(address)
        item.failed_at = self._failed_at = _now()
        item.timed_out = timed_out
        if not self.is_cut:
            self._evaluate()
        elif address in self._back or not self._has_reached_enough():
            # Otherwise the endpoint itself may be down, and would keep the links cut for good.
            self._back_since = None
            self._back.clear()
        for listener in self._failure_listeners:
            listener()

    def on_reached_by_other(self, address: str) -> None:
        """Record that another node reached an endpoint."""
        self._endpoint(address).reached_at = _now()
        self._evaluate()

    def on_unreached_by_other(self, address: str) -> None:
        """Record that another node, whose links work, did not reach an endpoint either."""
        self._endpoint(address).unreached_at = _now()

    def on_judged(self, address: str) -> None:
        """Record that an endpoint was not reached just now although the links of this node work."""
        self._endpoint(address).judged_at = _now()

    def retain(self, addresses: Iterable[str]) -> None:
        """Forget all endpoints but those at the given addresses."""
        kept = set(addresses)
        self._endpoints = {name: item for name, item in self._endpoints.items() if name in kept}

    def _has_reached_enough(self) -> bool:
        """Return whether enough endpoints were reached directly for the links to be back.

        One of a few endpoints may be down.
        """
        return len(self._back) >= min(BACK_COUNT, max(1, self._known() - 1))

    def _evaluate(self) -> None:
        if self.is_cut:
            return
        now = _now()
        failed = [
            item
            for item in self._endpoints.values()
            if item.failed_at > self._ok_at and now - item.failed_at < EVIDENCE_S
        ]
        reached_by_others = sum(
            item.reached_at > self._ok_at and not _is_down(item) for item in failed
        )
        unreached = sum(not _is_down(item) for item in failed)
        limit = min(UNREACHED_LIMIT, max(REACHED_BY_OTHERS_LIMIT, self._known()))
        if reached_by_others >= REACHED_BY_OTHERS_LIMIT or unreached >= limit:
            self._set_cut(failed, reached_by_others, unreached)

    def _set_cut(self, failed: list[_Endpoint], reached_by_others: int, unreached: int) -> None:
        timeouts = sum(item.timed_out for item in failed)
        self.is_cut, self._cut_at = True, _now()
        self.hangs = 2 * timeouts >= len(failed)
        self._back_since = None
        self._back.clear()
        logger.bind(
            reached_by_others=reached_by_others,
            unreached=unreached,
            timeouts=timeouts,
            refused=len(failed) - timeouts,
        ).warning("link cut")
        self._notify()

    def _set_back(self) -> None:
        duration_s = round(_now() - self._cut_at, 3)
        logger.bind(reached=len(self._back), duration_s=duration_s).warning("link back")
        self.is_cut = self.hangs = False
        self._cut_at = _now()
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def _endpoint(self, address: str) -> _Endpoint:
        found = self._endpoints.get(address)
        if found is None:
            found = self._endpoints[address] = _Endpoint()
        return found


def _is_down(item: _Endpoint) -> bool:
    """Tell whether the last failure at about the same time was found to be the endpoint's fault."""
    found_at = max(item.unreached_at, item.judged_at)
    return found_at > item.reached_at and found_at >= item.failed_at - VERDICT_S


def _now() -> float:
    return asyncio.get_running_loop().time()
