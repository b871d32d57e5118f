"""Predicts what becomes of a request at a runner, and what it costs the requests running there.

A runner prefills prompts in chunks between the tokens of its running requests, one prompt after the
other. All functions are pure; ``runner_state`` estimates the state that they start from.
"""

import math
from dataclasses import dataclass

from .tables import Target

# Share of its time in a slot for which a running request is still being prefilled, as assumed for
# the requests of other nodes.
PREFILL_SHARE = 0.15
# Typical error of the number of free slots, as a share of all: requests of other nodes since the
# last observation.
LOAD_ERROR_SHARE = 1 / 6
# Increase of the time between two events for each other request in the batch.
STEP_SHARE = 0.02
# Tokens of a prompt that a runner prefills between two steps of its batch.
CHUNK_TOKENS = 2_048.0
# A running stream that pauses for a second loses this much as seen by its client, in seconds: most
# pauses are shorter than the longest permitted one.
PAUSE_HARM = 0.3
# Cost of each second beyond a limit, relative to a second of waiting within it.
LATE_COST = 3.0
# An answer that ends after its deadline is worth nothing, so this much is added, in seconds.
EXPIRED_COST_S = 5.0
# Predictions are compared with this share of a limit, since they are rough.
TARGET_SHARE = 0.8
# Cost of a second between the first and the last event, for which a slot is occupied.
HOLD_COST = 0.25


@dataclass(frozen=True, slots=True)
class RunnerLoad:
    """Estimated state of a runner at the time of the decision.

    Attributes:
        slots: Requests that it processes at once.
        running: Requests in its batch.
        waiting: Requests in its own queue.
        slowness: Time that work takes, relative to the usual time.
        gap_s: Time between two events of an answer, in seconds.
        unread_tokens: Prompt tokens that are to be prefilled first.
    """

    slots: int
    running: float
    waiting: float
    slowness: float
    gap_s: float
    unread_tokens: float = 0.0

    @property
    def free_slots(self) -> float:
        """Slots that are probably free; negative if requests wait."""
        return self.slots - self.running - self.waiting


@dataclass(frozen=True, slots=True)
class UsualWork:
    """What a request of the same kind usually takes at a runner of usual speed.

    Attributes:
        prefill_s: Time to prefill 1,000 prompt tokens, in seconds.
        hold_s: Time for which a request occupies a slot, in seconds.
    """

    prefill_s: float
    hold_s: float


@dataclass(frozen=True, slots=True)
class Prediction:
    """Predicted outcome of a request at a runner, in seconds from now.

    Attributes:
        first_s: Time until the first event.
        pause_s: Longest time between two events.
        finish_s: Time until the last event.
        harm_s: Cost to the other requests of the runner, in seconds of waiting.
    """

    first_s: float
    pause_s: float
    finish_s: float
    harm_s: float


def predict(load: RunnerLoad, usual: UsualWork, new_tokens: float, events: float) -> Prediction:
    """Predict the outcome of a request.

    Args:
        load: The runner.
        usual: What requests of this kind usually take.
        new_tokens: Prompt tokens that the runner has not cached.
        events: Expected number of events of the answer.
    """
    token_s = usual.prefill_s / 1000 * load.slowness
    # Slots become free one after the other, each after the time for which a request holds one. The
    # number of free ones is uncertain, so that the wait grows gradually.
    error = LOAD_ERROR_SHARE * load.slots
    missing = (1.0 - load.free_slots) / error
    ahead = error * (missing if missing > 30.0 else math.log1p(math.exp(missing)))
    slot_s = ahead * usual.hold_s * load.slowness / load.slots
    prefill_s = new_tokens * token_s
    first_s = slot_s + load.unread_tokens * token_s + prefill_s + load.gap_s
    others = min(load.running, load.slots - 1.0)
    gap_s = load.gap_s * (1.0 + STEP_SHARE)
    chunks_s = min(CHUNK_TOKENS, load.unread_tokens) * token_s
    harm_s = PAUSE_HARM * others * (prefill_s + STEP_SHARE * load.gap_s * events)
    return Prediction(first_s, gap_s + chunks_s, first_s + gap_s * max(0.0, events - 1.0), harm_s)


def loss_s(prediction: Prediction, target: Target, left_s: float, waited_s: float = 0.0) -> float:
    """Return the cost of an outcome in seconds of waiting; the least is the best.

    Args:
        prediction: The outcome.
        target: Latency targets of the request.
        left_s: Time until its deadline, in seconds.
        waited_s: Time since its arrival, in seconds.
    """
    loss = prediction.first_s + HOLD_COST * (prediction.finish_s - prediction.first_s)
    loss += prediction.harm_s
    if target.first_token_s is not None:
        limit_s = max(0.0, TARGET_SHARE * target.first_token_s - waited_s)
        loss += LATE_COST * max(0.0, prediction.first_s - limit_s)
    if target.between_tokens_s is not None:
        loss += LATE_COST * max(0.0, prediction.pause_s - TARGET_SHARE * target.between_tokens_s)
    loss += LATE_COST * max(0.0, prediction.finish_s - TARGET_SHARE * left_s)
    return loss + (EXPIRED_COST_S if prediction.finish_s > left_s else 0.0)
