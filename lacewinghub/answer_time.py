"""How long answers take, by class of request.

A node that stops asks whether an answer would still be complete in time before it sends a request.
"""

from collections import deque

WINDOW = 32  # Number of latest answers that count, per class.
# Share of the answers that take at most the returned time.
QUANTILE = 0.9
MAX_CLASSES = 1024


class AnswerTimes:
    """Times from sending a request to the end of its answer."""

    def __init__(self) -> None:
        self._times: dict[str, deque[float]] = {}

    def record(self, request_class: str, answer_s: float) -> None:
        """Record a complete answer.

        Args:
            request_class: Class of the request.
            answer_s: Time from its sending to the end of the answer, in seconds.
        """
        found = self._times.get(request_class)
        if found is None:
            if len(self._times) >= MAX_CLASSES:
                del self._times[next(iter(self._times))]
            found = self._times[request_class] = deque(maxlen=WINDOW)
        found.append(answer_s)

    def expected_s(self, request_class: str) -> float:
        """Return how long an answer takes at most as a rule, in seconds; infinite if unknown."""
        found = sorted(self._times.get(request_class, ()))
        return found[int(QUANTILE * (len(found) - 1))] if found else float("inf")
