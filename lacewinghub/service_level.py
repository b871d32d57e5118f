"""Counts of good and bad requests by class over time, from which service-level burn is computed.

A request is good if it finished and met all latency targets of its route. It is bad if it finished
late, was shed, or failed through a fault of the service. Cancelled requests and refusals that are
the caller's own fault (status 4xx) do not count.
"""

from dataclasses import dataclass
from typing import Any

from .errors import BadRequest, all_errors
from .history import Event, EventKind

# Resolutions in which a node keeps its counts: (bucket, how long it is kept), in seconds.
NODE_RESOLUTIONS = ((30.0, 3_600.0), (600.0, 259_200.0))


@dataclass(slots=True)
class RequestCount:
    """Good and bad requests."""

    good: int = 0
    bad: int = 0

    @property
    def total(self) -> int:
        """Number of requests."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """Share of bad requests, from 0 to 1; 0 without requests."""
        return self.bad / self.total if self.total else 0.0


class BucketSeries:
    """Counts of each class in buckets of equal length.

    Args:
        bucket_s: Length of a bucket, in seconds.
        keep_s: How long a bucket is kept, in seconds.
    """

    def __init__(self, bucket_s: float, keep_s: float) -> None:
        self.bucket_s = bucket_s
        self.keep_s = keep_s
        self.counts: dict[str, dict[int, RequestCount]] = {}

    def add(self, request_class: str, time: float, good: int, bad: int) -> None:
        """Add requests that ended at a time (wall time, seconds since the epoch)."""
        buckets = self.counts.setdefault(request_class, {})
        number = int(time // self.bucket_s)
        count = buckets.get(number)
        if count is None:
            count = buckets[number] = RequestCount()
            oldest = number - int(self.keep_s // self.bucket_s)
            for old in [key for key in buckets if key < oldest]:
                del buckets[old]
        count.good += good
        count.bad += bad

    def window(self, request_class: str, end: float, length_s: float) -> RequestCount:
        """Sum the buckets that end after ``end - length_s`` and begin before ``end``."""
        found = RequestCount()
        for number, count in self.counts.get(request_class, {}).items():
            begin = number * self.bucket_s
            if begin < end and begin + self.bucket_s > end - length_s:
                found.good += count.good
                found.bad += count.bad
        return found


class ServiceLevels:
    """Counts of each class in several resolutions.

    Args:
        resolutions: Pairs of bucket length and retention in seconds, finest first.
    """

    def __init__(self, resolutions: tuple[tuple[float, float], ...] = NODE_RESOLUTIONS) -> None:
        self.series = [BucketSeries(bucket_s, keep_s) for bucket_s, keep_s in resolutions]
        self.first = 0.0
        self.last = 0.0

    @property
    def classes(self) -> list[str]:
        """Names of the classes, in alphabetical order."""
        return sorted({name for series in self.series for name in series.counts})

    def count_event(self, event: Event) -> None:
        """Count an event of the history if it ends a request."""
        good = is_good(event)
        if good is not None:
            self.add(event.request_class or "default", event.time, int(good), int(not good))

    def add(self, request_class: str, time: float, good: int, bad: int) -> None:
        """Add requests that ended at a time (wall time, seconds since the epoch)."""
        self.first = min(self.first or time, time)
        self.last = max(self.last, time)
        for series in self.series:
            series.add(request_class, time, good, bad)

    def window(self, request_class: str, end: float, length_s: float) -> RequestCount:
        """Count the requests of the last ``length_s`` seconds before ``end``."""
        return self._series(length_s).window(request_class, end, length_s)

    def total(self, request_class: str) -> RequestCount:
        """Count all requests that are kept."""
        series = self.series[-1]
        return series.window(request_class, self.last + series.bucket_s, float("inf"))

    def finest(self) -> BucketSeries:
        """Return the series with the shortest buckets."""
        return self.series[0]

    def to_json(self) -> dict[str, Any]:
        """Return the counts as a JSON object that ``merge_json`` reads."""
        return {
            "first": self.first,
            "last": self.last,
            "series": [
                {
                    "bucket_s": series.bucket_s,
                    "counts": {
                        name: [[number, count.good, count.bad] for number, count in buckets.items()]
                        for name, buckets in series.counts.items()
                    },
                }
                for series in self.series
            ],
        }

    def merge_json(self, data: dict[str, Any]) -> None:
        """Add the counts of a node.

        Args:
            data: Object from ``to_json`` with the same resolutions.

        Raises:
            BadRequest: If it does not have this form.
        """
        try:
            first, last = float(data["first"]), float(data["last"])
            for series, found in zip(self.series, data["series"], strict=True):
                if float(found["bucket_s"]) != series.bucket_s:
                    raise ValueError(f"buckets of {found['bucket_s']} s")
                for name, buckets in found["counts"].items():
                    for number, good, bad in sorted(buckets):
                        series.add(name, number * series.bucket_s, int(good), int(bad))
        except (KeyError, TypeError, ValueError) as exc:
            raise BadRequest(f"unknown form of service-level counts: {exc}") from exc
        if last:
            self.first = min(self.first or first, first)
            self.last = max(self.last, last)

    def _series(self, length_s: float) -> BucketSeries:
        return next((item for item in self.series if item.keep_s >= length_s), self.series[-1])


def is_good(event: Event) -> bool | None:
    """Judge an event.

    Args:
        event: Any event.

    Returns:
        True if a good request ended, False if a bad one did, None if it does not count.
    """
    if event.kind is EventKind.FINISHED:
        return event.met is not False
    if event.kind is EventKind.SHED:
        return False
    if event.kind is EventKind.FAILED:
        error = all_errors().get(event.code)
        return None if error is not None and error.status < 500 else False
    return None
