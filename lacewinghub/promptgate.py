"""Decides whether a runner may receive another long prompt now.

Each prompt that a runner prefills slows the tokens of all its requests. When long prompts arrive
faster than their runners can read them and still generate, every answer becomes too slow to end in
time. The gate then holds further long prompts back, so that those under way end: it compares the
pace at which the runner's answers to this node advance with the time that the request has left.
This answers bursts of long prompts beyond the capacity of their runners.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from .request import Request
from .tables import Endpoint

# Weight of the newest measurement in a mean. Several answers of a runner pause together while it
# reads one prompt; a single such pause says little about the pace of whole answers.
PACE_WEIGHT = 0.02
FIRST_WEIGHT = 0.2
LENGTH_WEIGHT = 0.1
# Assumed of a class until one of its answers has ended.
TOKENS_PER_EVENT = 4.0
# A pace that was not measured for this long says nothing any more.
PACE_AGE_S = 1.0
# Share of the time left within which an answer must be expected to end, over all runners of long
# prompts. A single runner is left out only beyond OUTLIER_SHARE: leaving the runner that caches the
# shared part of a prompt costs a prefill elsewhere.
TIME_SHARE = 0.8
OUTLIER_SHARE = 1.3
# Prompts of this node that a runner may have unread, while it answers promptly and otherwise.
UNREAD_PROMPT = 2
UNREAD_SLOW = 1
# A runner is slow if it took longer than this share of the target to its last first events.
SLOW_SHARE = 0.5


@dataclass(slots=True)
class _Runner:
    """What this node sees of one runner.

    Attributes:
        unread: Long prompts that were sent and whose answers have not begun.
        gap_s: Mean time between two events of an answer, in seconds.
        first_s: Mean time from sending a long prompt to its first event, in seconds.
        measured: Loop time of the last event, in seconds.
    """

    unread: int = 0
    gap_s: float = 0.0
    first_s: float = 0.0
    measured: float = float("-inf")


class PromptGate:
    """Holds long prompts back from runners whose answers advance too slowly."""

    def __init__(self) -> None:
        self._runners: dict[str, _Runner] = {}
        self._lengths: dict[str, float] = {}

    def open_runners(
        self, endpoints: Sequence[Endpoint], req: Request, now: float
    ) -> list[Endpoint]:
        """Return the runners that may receive a long prompt.

        Args:
            endpoints: Runners of long prompts.
            req: The request.
            now: Loop time, in seconds.
        """
        paces = [self._needed_s(self._of(item.name), req, now) for item in endpoints]
        if not endpoints or sum(paces) / len(paces) > TIME_SHARE * _left_s(req, now):
            return []
        return [item for item in endpoints if self.is_open(item.name, req, now)]

    def is_open(self, endpoint: str, req: Request, now: float) -> bool:
        """Tell whether a runner of a side that is fast enough may receive a long prompt.

        Args:
            endpoint: Name of the runner.
            req: The request.
            now: Loop time, in seconds.
        """
        runner = self._of(endpoint)
        target_s = req.target.first_token_s
        slow = target_s is not None and runner.first_s > SLOW_SHARE * target_s
        if runner.unread >= (UNREAD_SLOW if slow else UNREAD_PROMPT):
            return False
        return self._needed_s(runner, req, now) <= OUTLIER_SHARE * _left_s(req, now)

    def _needed_s(self, runner: _Runner, req: Request, now: float) -> float:
        """Return how long a runner would need for a whole answer, in seconds; 0 if unknown."""
        if now - runner.measured > PACE_AGE_S:
            return 0.0
        length = self._lengths.get(req.request_class, req.max_tokens / TOKENS_PER_EVENT)
        return runner.first_s + runner.gap_s * length

    def sent(self, endpoint: str) -> None:
        """Note that a long prompt goes to a runner."""
        self._of(endpoint).unread += 1

    def read(self, endpoint: str, first_s: float | None) -> None:
        """Note that a long prompt was read or given up.

        Args:
            endpoint: Name of the runner.
            first_s: Time from sending it to its first event in seconds, or None if none came.
        """
        runner = self._of(endpoint)
        runner.unread = max(0, runner.unread - 1)
        if first_s is not None:
            runner.first_s += FIRST_WEIGHT * (first_s - runner.first_s)

    def advanced(self, endpoint: str, gap_s: float, now: float) -> None:
        """Note that an answer of a runner advanced by one event.

        Args:
            endpoint: Name of the runner.
            gap_s: Time since the event before it, in seconds.
            now: Loop time, in seconds.
        """
        runner = self._of(endpoint)
        if now - runner.measured > PACE_AGE_S:
            runner.gap_s = gap_s
        runner.gap_s += PACE_WEIGHT * (gap_s - runner.gap_s)
        runner.measured = now

    def ended(self, request_class: str, events: int) -> None:
        """Note the number of events of a whole answer."""
        known = self._lengths.get(request_class)
        if known is None:
            self._lengths[request_class] = float(events)
        else:
            self._lengths[request_class] = known + LENGTH_WEIGHT * (events - known)

    def _of(self, endpoint: str) -> _Runner:
        return self._runners.setdefault(endpoint, _Runner())


def _left_s(req: Request, now: float) -> float:
    return req.proxy.deadline - now if req.proxy is not None else float("inf")
