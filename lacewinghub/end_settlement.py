"""Settles what becomes of a stream whose end proves nothing; see ``stream_end``."""

from collections.abc import Callable
from dataclasses import dataclass

from .dependencies import DispatcherDependencies
from .endpoint import EndpointError
from .eventstream import EventSplitter
from .movable_run import RunMoved
from .proxyclient import EndpointBusy, EndUnproven, ProxyClient
from .request import Grant, Request
from .stream_end import End, Evidence, StreamEnds, log_whole
from .tables import Endpoint

# How often endpoints are asked whether a stream goes on, for one request.
MAX_QUESTIONS = 16
# Another process answers at the address of the endpoint.
_MISDIRECTED = 421


@dataclass(slots=True)
class Question:
    """Whether the stream of a request goes on.

    Attributes:
        asked: Endpoint that is asked, or None.
        count: How often an endpoint was asked.
    """

    asked: Endpoint | None = None
    count: int = 0


class EndSettlement:
    """Asks endpoints whether their streams go on, or looks whether they live.

    Args:
        dependencies: Scheduler and tables.
        client: Reaches the endpoints.
        spend_retry: Charges the retry budget for a request; returns False if nothing is left.
    """

    def __init__(
        self,
        dependencies: DispatcherDependencies,
        client: ProxyClient,
        spend_retry: Callable[[Request], bool],
    ) -> None:
        self._deps = dependencies
        self._client = client
        self._spend_retry = spend_retry

    def occupy(self, req: Request, endpoint: Endpoint) -> Grant:
        """Take a slot of an endpoint that is asked whether its stream goes on."""
        return self._deps.scheduler.occupy(req, endpoint, events=1)

    async def settle(
        self,
        req: Request,
        endpoint: Endpoint,
        failure: EndpointError,
        question: Question,
        ends: StreamEnds,
        splitter: EventSplitter | None,
    ) -> End:
        """Decide what becomes of a stream after a run that failed, or whose end proves nothing.

        An endpoint that may be asked has the prompt cached. Where it may not, or has no room, the
        stream is whole if the endpoint lives, unless it has gone on after such an end before.

        Args:
            req: The request.
            endpoint: Endpoint of the run.
            failure: How the run ended.
            question: Its endpoint was asked if this run is the answer; set if one is to be asked.
            ends: What the runs so far say together.
            splitter: Splits the stream into events; None if it cannot go on elsewhere.

        Returns:
            ``WHOLE``, ``UNPROVEN`` if an endpoint is to be asked, otherwise ``BROKEN_OFF``.
        """
        was_asked, question.asked = question.asked is not None, None
        evidence = Evidence.CONNECTION
        if isinstance(failure, EndUnproven):
            if splitter is not None and self._may_ask(req, endpoint, question, splitter):
                splitter.restart()
                question.asked = endpoint
                question.count += 1
                return End.UNPROVEN
            lives = not ends.was_misled and await self._client.is_alive(endpoint)
        elif not was_asked or isinstance(failure, RunMoved):
            return End.BROKEN_OFF
        else:
            is_refusal = isinstance(failure, EndpointBusy)
            is_other = failure.details.get("status") == _MISDIRECTED
            lives = is_refusal and not is_other and not ends.was_misled
            evidence = Evidence.REFUSAL
        if lives:
            log_whole(req.id, endpoint.name, evidence)
            return End.WHOLE
        ends.refute()
        return End.BROKEN_OFF

    def _may_ask(
        self, req: Request, endpoint: Endpoint, question: Question, splitter: EventSplitter
    ) -> bool:
        """Return whether an endpoint may be asked; if so, a retry was charged."""
        pool = self._deps.tables().pools.get(req.pool)
        return (
            splitter.can_continue
            and question.count < MAX_QUESTIONS
            and pool is not None
            and pool.endpoint(endpoint.name) == endpoint
            and self._deps.scheduler.may_occupy(endpoint)
            and self._spend_retry(req)
        )
