"""Lets single requests test whether what is refused still crashes endpoints.

The verdict of ``crash_evidence`` can be wrong: endpoints that lose power together have requests in
common, too. Since refused requests reach no endpoint, none of them could show it. Now and then one
of them is therefore let through. An answer clears its traits; another crash confirms the verdict.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import xxhash
from loguru import logger

from .membership import Members
from .message import CrashTrial

# Time between the newest crash of a cause and its first trial.
FIRST_PAUSE_S = 10.0
# Each further pause is longer by this factor, up to a limit.
PAUSE_FACTOR = 6.0
LONGEST_PAUSE_S = 3_600.0
MAX_PAUSE_STEPS = 4  # The pause has its limit from this number of trials on.
# A verdict that this many trials have confirmed is not tested any more.
MAX_FAILURES = 3
# The nodes may start a trial one after the other, this far apart, so that they start only one.
NODE_STEP_S = 1.0


@dataclass(slots=True)
class _Trials:
    """The trials of one trait, of all nodes.

    Attributes:
        started: Number of trials that were started.
        failed: Number of trials that crashed an endpoint.
        newest: Loop time of the newest start, in seconds.
        request: Id of this node's request that is a trial now, or empty.
        sent: True once that request was sent to an endpoint.
    """

    started: int = 0
    failed: int = 0
    newest: float = float("-inf")
    request: str = ""
    sent: bool = False

    def due(self, newest_crash: float) -> float:
        """Return the loop time from which on another trial may start, in seconds."""
        if self.failed >= MAX_FAILURES:
            return float("inf")
        steps = min(self.started, MAX_PAUSE_STEPS)
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * PAUSE_FACTOR**steps)
        return max(self.newest, newest_crash) + pause_s


class CrashTrials:
    """The trials of all refused traits.

    Args:
        node: Identifier of this node.
        members: View of the live nodes.
        share: Sends a fact to the peers.
    """

    def __init__(self, node: str, members: Members, share: Callable[[CrashTrial], None]) -> None:
        self._node = node
        self._members = members
        self._share = share
        self._trials: dict[int, _Trials] = {}

    def is_trial(self, request: str) -> bool:
        """Return whether a request of this node is a trial now."""
        return any(item.request == request for item in self._trials.values())

    def try_start(self, trait: int, request: str, newest_crash: float) -> bool:
        """Let a request through as a trial if one is due.

        Args:
            trait: Trait of the cause for which the request would be refused.
            request: Id of the request.
            newest_crash: Loop time of the newest crash of the cause, in seconds.
        """
        trials = self._trials.setdefault(trait, _Trials())
        now = _now()
        if now < trials.due(newest_crash) + self._rank(trait) * NODE_STEP_S:
            return False
        trials.started += 1
        trials.newest = now
        trials.request, trials.sent = request, False
        self._tell(trait, trials)
        logger.bind(trait=f"{trait:x}", request_id=request, number=trials.started).info(
            "a request tests whether its trait still crashes endpoints"
        )
        return True

    def on_sent(self, request: str) -> None:
        """Record that a request is sent to an endpoint."""
        for trials in self._trials.values():
            trials.sent |= trials.request == request

    def end(self, request: str) -> int | None:
        """End a trial; return its trait, or None if the request is none."""
        for trait, trials in self._trials.items():
            if trials.request == request:
                trials.request = ""
                # A request that waited in vain has shown nothing and harmed no endpoint.
                trials.started -= not trials.sent
                return trait
        return None

    def record_failure(self, trait: int) -> None:
        """Record that an endpoint crashed with a trial."""
        trials = self._trials.setdefault(trait, _Trials())
        trials.failed += 1
        logger.bind(trait=f"{trait:x}", failed=trials.failed).warning(
            "requests with a trait still crash endpoints"
        )
        self._tell(trait, trials)

    def merge(self, item: CrashTrial) -> bool:
        """Add what a peer knows of the trials of a trait; return whether any of it was new."""
        trials = self._trials.setdefault(item.trait, _Trials())
        if item.started <= trials.started and item.failed <= trials.failed:
            return False
        if item.started > trials.started:
            trials.started, trials.newest = item.started, _now()
        trials.failed = max(trials.failed, item.failed)
        return True

    def facts(self) -> list[CrashTrial]:
        """Return what a node that joins needs to know."""
        return [
            CrashTrial(trait, item.started, item.failed) for trait, item in self._trials.items()
        ]

    def retain(self, traits: set[int]) -> None:
        """Forget the trials of all other traits."""
        self._trials = {trait: item for trait, item in self._trials.items() if trait in traits}

    def _tell(self, trait: int, trials: _Trials) -> None:
        self._share(CrashTrial(trait, trials.started, trials.failed))

    def _rank(self, trait: int) -> int:
        """Return how many live nodes go before this one."""
        own = _weight(trait, self._node)
        return sum(_weight(trait, item.node) < own for item in self._members.live())


def _weight(trait: int, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{trait:x}|{node}".encode())


def _now() -> float:
    return asyncio.get_running_loop().time()
