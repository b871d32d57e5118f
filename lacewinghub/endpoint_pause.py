"""Endpoints that asked this node in a refusal to send nothing for some time.

Unlike ``fullrunner``, which guesses from a refusal how long a runner stays full and tells all
nodes, this is the endpoint's own wish towards one node. During a long pause a few single requests
are sent nevertheless: only their answers can show that the wish was wrong or is no longer true.
"""

import asyncio
from dataclasses import dataclass

from loguru import logger

# Time after the wish, and after the first trial, at which a request is sent nevertheless.
TRIAL_PAUSES_S = (30.0, 300.0)


@dataclass(slots=True)
class _Pause:
    """A pause of an endpoint; times are loop times in seconds.

    Attributes:
        until: End of the pause.
        asked_at: Time of the newest refusal that asked for it.
        trial_at: Time from which on the next trial may be sent.
        trials: Number of trials that were sent.
    """

    until: float
    asked_at: float
    trial_at: float
    trials: int = 0

    def on_trial(self, now: float) -> None:
        """Record a trial and determine the time of the next one."""
        self.trials += 1
        is_last = self.trials >= len(TRIAL_PAUSES_S)
        self.trial_at = float("inf") if is_last else now + TRIAL_PAUSES_S[self.trials]


class EndpointPauses:
    """The endpoints to which this node sends nothing, and until when."""

    def __init__(self) -> None:
        self._pauses: dict[str, _Pause] = {}

    def record(self, endpoint: str, pause_s: float) -> None:
        """Record that an endpoint wants no requests.

        Args:
            endpoint: Name of the endpoint.
            pause_s: For how long, in seconds from now.
        """
        now = _now()
        pause = self._running(endpoint, now)
        if pause is None:
            logger.bind(endpoint=endpoint, pause_s=pause_s).info("the endpoint asks for a pause")
            self._pauses[endpoint] = _Pause(now + pause_s, now, now + TRIAL_PAUSES_S[0])
            return
        pause.until = max(pause.until, now + pause_s)
        pause.asked_at = now

    def on_sent(self, endpoint: str) -> None:
        """Record that a request is sent to an endpoint."""
        now = _now()
        pause = self._running(endpoint, now)
        if pause is not None:
            pause.on_trial(now)

    def on_accepted(self, endpoint: str, sent_at: float) -> None:
        """End the pause of an endpoint that has accepted a request after it had asked for it.

        Args:
            endpoint: Name of the endpoint.
            sent_at: Loop time at which the request was sent, in seconds.
        """
        pause = self._running(endpoint, _now())
        if pause is not None and sent_at > pause.asked_at:
            logger.bind(endpoint=endpoint).info("the endpoint accepts requests in its pause")
            self.forget(endpoint)

    def forget(self, endpoint: str) -> None:
        """End the pause of an endpoint that has restarted or is gone."""
        self._pauses.pop(endpoint, None)

    def wait_s(self, endpoint: str) -> float:
        """Return how long this node may send an endpoint nothing, in seconds; 0 if it may."""
        now = _now()
        pause = self._running(endpoint, now)
        return 0.0 if pause is None else max(0.0, min(pause.until, pause.trial_at) - now)

    def _running(self, endpoint: str, now: float) -> _Pause | None:
        pause = self._pauses.get(endpoint)
        if pause is not None and pause.until <= now:
            del self._pauses[endpoint]
            return None
        return pause


def _now() -> float:
    return asyncio.get_running_loop().time()
