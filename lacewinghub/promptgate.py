"""Decides whether a runner may receive another long prompt now.

Each prompt that a runner prefills slows down the generation of all its requests. If long prompts
arrive faster than the runners can prefill them and still generate, every answer becomes too slow to
finish in time. The gate then holds back further long prompts, so that the answers in progress
finish: it compares the event rate of the runner's answers to this node with the time that the
request has left. This handles bursts of long prompts beyond the capacity of their runners.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from .request import Request
from .tables import Endpoint

# Weights of the newest measurement in exponential moving averages. While a runner prefills one
# prompt, all its answers pause together; the weight of the gaps is small, since a single such pause
# says little about the speed of whole answers.
GAP_WEIGHT = 0.02
FIRST_WEIGHT = 0.2
LENGTH_WEIGHT = 0.1
# Assumed for a class until one of its answers has finished.
TOKENS_PER_EVENT = 4.0
# A gap that was measured longer ago than this is ignored.
GAP_AGE_S = 1.0
# An answer must be expected to finish within this share of the time left, on average over all
# runners for long prompts. A single runner is skipped only beyond OUTLIER_SHARE: skipping the
# runner that has cached the shared part of a prompt costs a prefill elsewhere.
TIME_SHARE = 0.8
OUTLIER_SHARE = 1.3
# Maximum number of this node's prompts waiting for prefill at a runner, if it is fast and if it is
# slow to begin its answers.
MAX_PREFILLS = 2
MAX_PREFILLS_SLOW = 1
# A runner is slow if its mean time to the first event exceeds this share of the target.
SLOW_SHARE = 0.5


@dataclass(slots=True)
class _Runner:
    """Measurements of one runner by this node.

    Attributes:
        prefills: Long prompts that were sent and whose answers have not begun.
        gap_s: Mean time between two events of an answer, in seconds.
        first_s: Mean time from sending a long prompt to its first event, in seconds.
        last_event: Loop time of the last event, in seconds.
    """

    prefills: int = 0
    gap_s: float = 0.0
    first_s: float = 0.0
    last_event: float = float("-inf")


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
            endpoints: Runners for long prompts.
            req: The request.
            now: Loop time, in seconds.
        """
        needed_s = [self._needed_s(self._runner(item.name), req, now) for item in endpoints]
        if not endpoints or sum(needed_s) / len(needed_s) > TIME_SHARE * _left_s(req, now):
            return []
        return [item for item in endpoints if self.is_open(item.name, req, now)]

    def is_open(self, endpoint: str, req: Request, now: float) -> bool:
        """Return whether one runner may receive a long prompt.

        Whether the runners are fast enough on average is checked by ``open_runners`` only.

        Args:
            endpoint: Name of the runner.
            req: The request.
            now: Loop time, in seconds.
        """
        runner = self._runner(endpoint)
        target_s = req.target.first_token_s
        slow = target_s is not None and runner.first_s > SLOW_SHARE * target_s
        if runner.prefills >= (MAX_PREFILLS_SLOW if slow else MAX_PREFILLS):
            return False
        return self._needed_s(runner, req, now) <= OUTLIER_SHARE * _left_s(req, now)

    def _needed_s(self, runner: _Runner, req: Request, now: float) -> float:
        """Return how long a runner would need for a whole answer, in seconds; 0 if unknown."""
        if now - runner.last_event > GAP_AGE_S:
            return 0.0
        return runner.first_s + runner.gap_s * self.expected_events(req)

    def expected_events(self, req: Request) -> float:
        """Return the expected number of events of an answer."""
        return self._lengths.get(req.request_class, req.max_tokens / TOKENS_PER_EVENT)

    def on_sent(self, endpoint: str) -> None:
        """Record that a long prompt is sent to a runner."""
        self._runner(endpoint).prefills += 1

    def on_answer_began(self, endpoint: str, first_s: float | None) -> None:
        """Record that the answer to a long prompt began, or that the attempt ended before.

        Args:
            endpoint: Name of the runner.
            first_s: Time from sending the prompt to the first event in seconds, or None if none
                was received.
        """
        runner = self._runner(endpoint)
        runner.prefills = max(0, runner.prefills - 1)
        if first_s is not None:
            runner.first_s += FIRST_WEIGHT * (first_s - runner.first_s)

    def on_answer_event(self, endpoint: str, gap_s: float, now: float) -> None:
        """Record an event of an answer, other than the first one.

        Args:
            endpoint: Name of the runner.
            gap_s: Time since the previous event of the answer, in seconds.
            now: Loop time, in seconds.
        """
        runner = self._runner(endpoint)
        if now - runner.last_event > GAP_AGE_S:
            runner.gap_s = gap_s
        runner.gap_s += GAP_WEIGHT * (gap_s - runner.gap_s)
        runner.last_event = now

    def record_length(self, request_class: str, events: int) -> None:
        """Record the number of events of a complete answer."""
        known = self._lengths.get(request_class)
        if known is None:
            self._lengths[request_class] = float(events)
        else:
            self._lengths[request_class] = known + LENGTH_WEIGHT * (events - known)

    def _runner(self, endpoint: str) -> _Runner:
        return self._runners.setdefault(endpoint, _Runner())


def _left_s(req: Request, now: float) -> float:
    return req.proxy.deadline - now if req.proxy is not None else float("inf")
