"""Counters and latency histograms of requests in the Prometheus text format."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from .errors import StreamOriginUnknown, StreamVersionGone
from .history import Event, EventKind
from .httpmessage import Incoming
from .httpserver import HttpHandler
from .responder import Responder

BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
NOT_CONTINUED = frozenset((StreamOriginUnknown.code, StreamVersionGone.code))
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class MetricPage(HttpHandler):
    """HTTP handler that serves metrics computed from the request events of a node.

    Args:
        gauges: Returns further gauges by name when the page is read.
    """

    def __init__(self, gauges: Callable[[], dict[str, float]] = dict) -> None:
        self._more_gauges = gauges
        self._registry = CollectorRegistry()
        self._events = Counter(
            "lacewinghub_events", "Events of requests", ["kind", "pool"], registry=self._registry
        )
        self._failures = Counter(
            "lacewinghub_failures", "Failed requests", ["code", "pool"], registry=self._registry
        )
        self._not_continued = Counter(
            "lacewinghub_streams_not_continued",
            "Refused requests of clients that continue a stream",
            ["code", "pool"],
            registry=self._registry,
        )
        self._first = Histogram(
            "lacewinghub_first_event_seconds",
            "Time from arrival to the first piece of an answer",
            ["pool", "tier"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._completion = Histogram(
            "lacewinghub_completion_seconds",
            "Time from arrival to the end of an answer",
            ["pool", "tier"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._gauges = Gauge(
            "lacewinghub_state", "State of the node", ["name"], registry=self._registry
        )

    def count_event(self, event: Event) -> None:
        """Update the counters and histograms from an event."""
        self._events.labels(str(event.kind), event.pool).inc()
        if event.code:
            self._failures.labels(event.code, event.pool).inc()
        if event.code in NOT_CONTINUED:
            self._not_continued.labels(event.code, event.pool).inc()
        if event.kind is EventKind.FINISHED:
            labels = (event.pool, str(event.tier))
            if event.first_token_s >= 0:
                self._first.labels(*labels).observe(event.first_token_s)
            if event.completion_s >= 0:
                self._completion.labels(*labels).observe(event.completion_s)

    def set(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges.labels(name).set(value)

    async def handle(self, incoming: Incoming, out: Responder) -> None:
        """Respond with all metrics."""
        for name, value in self._more_gauges().items():
            self.set(name, value)
        out.send(200, [(b"content-type", CONTENT_TYPE)], generate_latest(self._registry))
