"""Finds out whether a stream is whole if its own form does not show it; see ``stream_end``.

The endpoint that wrote it is first asked to go on after the last event, which also tells ends that
always come after the same event. If it adds nothing, endpoints are asked to repeat the last events.
A run that ends with its length or the last chunk proves that the stream is whole. A run without
framing could have been broken off just there, so that it proves nothing by itself. Only several of
them in a row, on connections of their own, leave so little doubt that the stream counts as whole.
"""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass, field

from loguru import logger

from ._recent import remember
from .continuation import may_continue_at
from .dependencies import DispatcherDependencies
from .dispatch import AttemptTimer
from .endpoint import ConnectFailed, EndpointCrashed, EndpointError
from .proxyclient import AttemptWithdrawn, EndpointBusy, EndUnproven, ProxyClient
from .repeated_events import LastEvents, Repeat, RepeatedRun, remaining_doubt
from .request import Grant, Request, proxy_state
from .stream_end import DEADLINE_MARGIN_S, Evidence, log_whole
from .tables import Endpoint

# Runs for the ends of one request, and endpoints that may refuse one.
MAX_RUNS = 16
MAX_REFUSALS = 3
# Doubt that may be left, and after an answer of the same pool was broken off.
MAX_DOUBT = 1 / 300
MAX_DOUBT_IN_TROUBLE = 1 / 20_000
TROUBLE_S = 10.0
MAX_REMEMBERED = 256
# Clients leave after a pause of this time or of some latency targets, whichever is longer. Only
# a share of it is used.
CLIENT_PAUSE_S = 2.0
CLIENT_PAUSE_TARGETS = 4.0
PAUSE_SHARE = 0.85
# Time after a run that was broken off or refused, whose cause may last.
RETRY_PAUSE_S = 0.1


@dataclass(slots=True)
class Verification:
    """Result of the verifications of one request.

    Attributes:
        resume_at: Endpoint that is to go on with the stream, or None.
        goes_on: True if a run showed that the stream goes on.
        runs: How often an endpoint was asked to repeat its last events.
    """

    resume_at: Endpoint | None = None
    goes_on: bool = False
    runs: int = 0


class RunReporter(ABC):
    """Receives what becomes of the runs that repeat events."""

    @abstractmethod
    def report_run(self, req: Request, endpoint: Endpoint) -> None:
        """Record that a request is sent once more.

        Raises:
            LacewingError: If it may not be sent.
        """

    @abstractmethod
    def report_run_answer(self, req: Request, endpoint: Endpoint) -> None:
        """Record that a run has sent its first bytes."""

    @abstractmethod
    def report_run_end(
        self, req: Request, grant: Grant, timer: AttemptTimer, failure: BaseException | None
    ) -> None:
        """Return the slot of a run, and record how it ended."""


@dataclass(slots=True)
class _Search:
    """State of one verification.

    Attributes:
        writer: Endpoint that wrote the end of the stream.
        events: Its last events that runs are asked to repeat.
        until: Loop time at which it is given up, in seconds.
        repeats: Numbers of events that the last runs in a row repeated without framing.
        refused: Names of endpoints that were not reached or took no run.
        elsewhere: Names of other endpoints than the writer that took one.
    """

    writer: Endpoint
    events: LastEvents
    until: float
    repeats: list[int] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)
    elsewhere: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _Reply:
    """What an endpoint said that was asked to repeat events.

    Attributes:
        repeat: Its answer.
        framed: True if it has a length or chunks.
        failure: Why there is none.
    """

    repeat: Repeat
    framed: bool = False
    failure: EndpointError | None = None


class EndVerifier:
    """Asks endpoints to repeat the last events of streams.

    Args:
        dependencies: Scheduler and tables.
        client: Sends the requests.
        spend_retry: Charges the retry budget for a request; returns False if nothing is left.
        reporter: Receives what becomes of the runs.
    """

    def __init__(
        self,
        dependencies: DispatcherDependencies,
        client: ProxyClient,
        spend_retry: Callable[[Request], bool],
        reporter: RunReporter,
    ) -> None:
        self._deps = dependencies
        self._client = client
        self._spend_retry = spend_retry
        self._reporter = reporter
        # Loop times until which answers of a pool count as likely to be broken off.
        self._troubled: dict[str, float] = {}

    def may_resume(self, req: Request, writer: Endpoint, result: Verification) -> bool:
        """Return whether the endpoint that wrote a stream is asked to go on after the last event.

        If it is, a retry was charged and ``result.resume_at`` is set.
        """
        if result.runs >= MAX_RUNS or not may_continue_at(req, writer):
            return False
        pool = self._deps.tables().pools.get(req.pool)
        if pool is None or pool.endpoint(writer.name) != writer:
            return False
        if not self._deps.scheduler.may_occupy(writer) or not self._spend_retry(req):
            return False
        result.runs += 1
        result.resume_at = writer
        return True

    def occupy(self, req: Request, endpoint: Endpoint) -> Grant:
        """Take a slot of an endpoint that goes on with a stream."""
        return self._deps.scheduler.occupy(req, endpoint, events=1)

    def on_broken_off(self, req: Request) -> None:
        """Record that an answer of a pool was broken off, as others may be at this time."""
        remember(self._troubled, req.pool, _now() + TROUBLE_S, MAX_REMEMBERED)

    async def verify(
        self,
        req: Request,
        writer: Endpoint,
        events: LastEvents | None,
        result: Verification,
        added_nothing: bool,
    ) -> EndpointError | None:
        """Decide whether a stream is whole that ended without a proof.

        Args:
            req: The request.
            writer: Endpoint that wrote the end.
            events: Its last events; None if no run can be asked to repeat them.
            result: ``goes_on`` is set if a run went on after them, and ``resume_at`` if a retry is
                left for its endpoint.
            added_nothing: True if a run without framing was asked to go on after them before.

        Returns:
            None if the stream is whole, otherwise why it counts as broken off.

        Raises:
            LacewingError: If the request may not be sent any more.
        """
        if events is None:
            log_whole(req.id, writer.name, None, "no run can repeat its last events")
            return unproven(writer)
        search = _Search(writer, events, _now() + _patience_s(req))
        if added_nothing:
            search.repeats.append(0)
        while _now() < search.until and result.runs < MAX_RUNS:
            endpoint = self._endpoint_to_ask(req, search)
            if endpoint is None or not self._spend_retry(req):
                break
            result.runs += 1
            reply = await self._ask(req, endpoint, search)
            evidence = self._evidence(req, reply, search)
            if evidence is not None:
                log_whole(req.id, endpoint.name, evidence, f"runs={result.runs}")
                return None
            if reply.repeat is Repeat.GOES_ON:
                result.goes_on = True
                # The run that showed it is closed, and the next one is one more arrival.
                if self._spend_retry(req):
                    result.resume_at = endpoint
                return unproven(writer)
            if reply.repeat is Repeat.UNREACHED and endpoint == writer:
                return reply.failure
            if reply.repeat is not Repeat.ENDS:
                await asyncio.sleep(RETRY_PAUSE_S)
        log_whole(req.id, writer.name, None, f"runs={result.runs} repeats={search.repeats}")
        return unproven(writer)

    def _endpoint_to_ask(self, req: Request, search: _Search) -> Endpoint | None:
        """Return the writer, which has the prompt cached, or another endpoint of its version."""
        pool = self._deps.tables().pools.get(req.pool)
        if pool is None or len(search.refused) >= MAX_REFUSALS:
            return None
        writers = [item for item in pool.endpoints if item == search.writer]
        others = [
            item
            for item in pool.endpoints
            if item != search.writer and item.name not in req.excluded_endpoints
        ]
        for item in [*writers, *random.sample(others, len(others))]:
            if item.name in search.refused or not may_continue_at(req, item):
                continue
            if self._may_be_sent(req, item, search) and self._deps.scheduler.may_occupy(item):
                return item
        return None

    def _may_be_sent(self, req: Request, endpoint: Endpoint, search: _Search) -> bool:
        state = proxy_state(req)
        is_known = endpoint == search.writer or endpoint.name in search.elsewhere
        return is_known or state.sent < state.max_attempts

    async def _ask(self, req: Request, endpoint: Endpoint, search: _Search) -> _Reply:
        run = RepeatedRun(search.events)
        try:
            async with asyncio.timeout_at(search.until):
                framed = await self._run(req, endpoint, run, endpoint == search.writer)
            reply = _Reply(run.end(), framed)
        except TimeoutError:
            reply = _Reply(Repeat.BROKEN_OFF)
        except EndpointBusy as exc:
            reply = _Reply(Repeat.REFUSED, failure=exc)
        except ConnectFailed as exc:
            reply = _Reply(Repeat.UNREACHED, failure=died(endpoint, exc))
        except EndpointError as exc:
            reply = _Reply(Repeat.BROKEN_OFF, failure=exc)
        logger.bind(
            request_id=req.id,
            endpoint=endpoint.name,
            framed=reply.framed,
            repeated=run.count,
            expected=len(search.events.ids),
            outcome=str(reply.repeat),
        ).info("end of stream checked")
        self._record(req, endpoint, reply, search)
        if reply.repeat is Repeat.ENDS and not reply.framed:
            search.repeats.append(run.count)
        return reply

    async def _run(
        self, req: Request, endpoint: Endpoint, run: RepeatedRun, is_writer: bool
    ) -> bool:
        """Send the request so that the last events are repeated; return whether it has framing.

        Raises:
            EndpointError: If the run was refused or broken off.
        """
        state = proxy_state(req)
        self._reporter.report_run(req, endpoint)
        grant = self.occupy(req, endpoint)
        timer = AttemptTimer(endpoint, _now())
        last_event, state.last_event = state.last_event, run.expected.after
        state.answering_since, state.withdrawn = None, False
        failure: BaseException | None = None
        framed = False
        try:
            async with aclosing(self._client.stream(endpoint, req)) as pieces:
                async for piece in pieces:
                    if not isinstance(piece, bytes):
                        framed = piece.framed
                        _check_status(endpoint, piece.status)
                        continue
                    if state.answering_since is None:
                        state.answering_since = _now()
                        self._reporter.report_run_answer(req, endpoint)
                    self._deps.scheduler.on_answer_event(grant)
                    run.feed(piece)
                    if run.goes_on:
                        break
        except BaseException as exc:
            failure = exc
            if is_writer and isinstance(exc, ConnectFailed):
                failure = died(endpoint, exc)
            if state.withdrawn and isinstance(exc, EndpointCrashed):
                failure = AttemptWithdrawn(f"withdrawn from endpoint {endpoint.name!r}")
            raise
        finally:
            state.last_event, state.abort = last_event, None
            self._reporter.report_run_end(req, grant, timer, failure)
        return framed

    def _record(self, req: Request, endpoint: Endpoint, reply: _Reply, search: _Search) -> None:
        if reply.repeat in (Repeat.REFUSED, Repeat.UNREACHED):
            search.refused.add(endpoint.name)
        elif endpoint != search.writer and endpoint.name not in search.elsewhere:
            search.elsewhere.add(endpoint.name)
            proxy_state(req).sent += 1
        if reply.repeat is Repeat.BROKEN_OFF:
            search.repeats.clear()
            search.events = search.events.later_half()
        if reply.repeat in (Repeat.BROKEN_OFF, Repeat.GOES_ON):
            self.on_broken_off(req)

    def _evidence(self, req: Request, reply: _Reply, search: _Search) -> Evidence | None:
        if reply.repeat is not Repeat.ENDS:
            return None
        if reply.framed:
            return Evidence.FRAMED_RUN
        is_troubled = self._troubled.get(req.pool, 0.0) > _now()
        limit = MAX_DOUBT_IN_TROUBLE if is_troubled else MAX_DOUBT
        return Evidence.AGREEING_RUNS if remaining_doubt(search.repeats) <= limit else None


def unproven(endpoint: Endpoint) -> EndUnproven:
    """Return the failure of an endpoint that ended a stream without a proof that it is whole."""
    return EndUnproven(
        f"endpoint {endpoint.name!r}: nothing proves that the stream is whole",
        endpoint=endpoint.name,
    )


def died(endpoint: Endpoint, exc: ConnectFailed) -> EndpointCrashed:
    """Return the failure of an endpoint that wrote a stream and is not reached after its end.

    Its process died, and its operating system ended the stream; or nobody knows. The retry that was
    charged for the run that did not begin is left for another endpoint.
    """
    return EndpointCrashed(
        exc.message,
        endpoint=endpoint.name,
        ended=not exc.neutral,
        blameless=exc.neutral,
        paid=True,
    )


def _check_status(endpoint: Endpoint, status: int) -> None:
    if status != 200:
        raise EndpointCrashed(
            f"endpoint {endpoint.name!r} answered {status} to a resume", endpoint=endpoint.name
        )


def _patience_s(req: Request) -> float:
    """Return how long the end of an answer may wait, in seconds."""
    pause_s = max(CLIENT_PAUSE_S, CLIENT_PAUSE_TARGETS * (req.target.first_token_s or 0.0))
    return min(PAUSE_SHARE * pause_s, proxy_state(req).deadline - DEADLINE_MARGIN_S - _now())


def _now() -> float:
    return asyncio.get_running_loop().time()
