"""Measures how well the outcomes of requests are predicted, and corrects the predictions.

The chosen runner is often one whose load is underestimated, so that outcomes are worse than
predicted on average. The correction is a factor for each kind of prompts.
"""

from dataclasses import dataclass, field

from .prediction import Prediction

# Weight of the newest outcome in the sums.
WEIGHT = 0.05
# Range of the factors.
MIN_FACTOR, MAX_FACTOR = 0.7, 3.0
# Predicted and measured time with which the factors start, in seconds.
START_S = 0.3


@dataclass(slots=True)
class _Ratio:
    """Moving averages of predicted and of measured times, in seconds."""

    predicted_s: float = START_S
    measured_s: float = START_S

    def add(self, predicted_s: float, measured_s: float) -> None:
        self.predicted_s += WEIGHT * (predicted_s - self.predicted_s)
        self.measured_s += WEIGHT * (measured_s - self.measured_s)

    @property
    def factor(self) -> float:
        return min(MAX_FACTOR, max(MIN_FACTOR, self.measured_s / max(1e-6, self.predicted_s)))


@dataclass(slots=True)
class _Kind:
    """Ratios of one kind of prompts: until the first event, and from there to the last one."""

    first: _Ratio = field(default_factory=_Ratio)
    rest: _Ratio = field(default_factory=_Ratio)


class PredictionErrors:
    """Compares predictions with outcomes.

    Attributes:
        first_event_s: Mean absolute error of the time to the first event, in seconds.
        finish_s: Mean absolute error of the time to the last event, in seconds.
    """

    def __init__(self) -> None:
        self.first_event_s = 0.0
        self.finish_s = 0.0
        self._kinds = {True: _Kind(), False: _Kind()}

    def correct(self, prediction: Prediction, is_long: bool) -> Prediction:
        """Return a prediction with the usual errors of its kind taken out."""
        kind = self._kinds[is_long]
        first_s = prediction.first_s * kind.first.factor
        rest_s = (prediction.finish_s - prediction.first_s) * kind.rest.factor
        return Prediction(first_s, prediction.pause_s, first_s + rest_s, prediction.harm_s)

    def on_first_event(self, predicted: Prediction, is_long: bool, first_s: float) -> None:
        """Record the time to the first event.

        Args:
            predicted: The prediction without correction.
            is_long: Whether the prompt is long.
            first_s: Time from sending the request, in seconds.
        """
        error_s = abs(self.correct(predicted, is_long).first_s - first_s)
        self.first_event_s += WEIGHT * (error_s - self.first_event_s)
        self._kinds[is_long].first.add(predicted.first_s, first_s)

    def on_finished(
        self, predicted: Prediction, is_long: bool, first_s: float, finish_s: float
    ) -> None:
        """Record the time to the last event.

        Args:
            predicted: The prediction without correction.
            is_long: Whether the prompt is long.
            first_s: Time from sending the request to the first event, in seconds.
            finish_s: Time from sending the request to the last event, in seconds.
        """
        error_s = abs(self.correct(predicted, is_long).finish_s - finish_s)
        self.finish_s += WEIGHT * (error_s - self.finish_s)
        self._kinds[is_long].rest.add(predicted.finish_s - predicted.first_s, finish_s - first_s)
