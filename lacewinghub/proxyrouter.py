"""Router of the HTTP proxy: passes requests on unchanged, and retries or resumes after failures.

A repeatable request is retried at another endpoint after a failure. If it is also resumable, the
other endpoint continues the response after the last complete event. Any other request is retried
only if the failed endpoint certainly did not execute it.
"""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import replace
from functools import partial

from loguru import logger

from .answer_progress import (
    AnswerProgress,
    answering_s,
    client_error,
    correct_run,
    lacks_capacity,
    log_end,
    lost_response,
)
from .answer_time import AnswerTimes
from .continuation import continues_stream
from .dependencies import DispatcherDependencies
from .dispatch import MAX_ATTEMPTS, AttemptTimer, Dispatcher
from .end_verification import EndVerifier, RunReporter, died, unproven
from .endpoint import ConnectFailed, EndpointCrashed, EndpointError
from .errors import DeadlineExceeded, LacewingError, StreamVersionGone
from .eventstream import EventSplitter
from .history import EventKind
from .movable_run import RunMoved
from .observer import LatencyTimer
from .proxyclient import (
    AttemptWithdrawn,
    EndContradicted,
    EndpointBusy,
    EndUnproven,
    ProxyClient,
    ResponseHead,
)
from .recorded_slots import RecordedSlots
from .repeated_events import EventHistory
from .request import Grant, Request, proxy_state
from .run_move import RunMover
from .stream_end import End, StreamEnds, plain_end
from .tables import Endpoint

# A response that is not a stream is passed on when it is complete, so that a failed attempt can be
# retried. A larger one is passed on as it arrives.
MAX_BUFFERED_BYTES = 256 * 1024


class ProxyRouter(Dispatcher, RunReporter):
    """Passes requests on to endpoints, with retries and resumes.

    Args:
        dependencies: The objects that the router uses.
        client: Sends the requests.
        mover: Moves runs between endpoints; None if that is not possible.
    """

    def __init__(
        self,
        dependencies: DispatcherDependencies,
        client: ProxyClient,
        mover: RunMover | None = None,
    ) -> None:
        super().__init__(dependencies)
        self._client = client
        self._mover = mover
        self._slots = RecordedSlots(dependencies, self._acquire)
        self._verifier = EndVerifier(dependencies, client, self._spend_retry, self)
        self._answer_times = AnswerTimes()

    def expected_answer_s(self, req: Request) -> float:
        """Return how long the answer of such a request takes, in seconds; infinite if unknown."""
        return self._answer_times.expected_s(req.request_class)

    async def stream(self, req: Request) -> AsyncGenerator[ResponseHead | bytes, None]:
        """Pass on a request and its response.

        Closing the generator cancels the request.

        Args:
            req: The request; its field ``proxy`` is set.

        Yields:
            The head, then the body. The response is complete if and only if the generator ends
            without an error.

        Raises:
            LacewingError: If the request failed; only ``AnswerIncomplete`` may follow the head.
        """
        state = proxy_state(req)
        progress = AnswerProgress(
            run=self._mover.track(req) if self._mover else None,
            ends=StreamEnds(state.is_take_up),
        )
        complete = False
        demand = self._dispatch_deps.demand
        on_first = None if demand is None else partial(demand.record_first_event, req)
        latency_timer = LatencyTimer(req.arrived, req.target, on_first)
        self._report_arrival(req)
        if demand is not None:
            demand.record_arrival(req)
        try:
            attempt = 0
            await self._slots.find_origin(req)
            while True:
                self._check_quarantine(req)
                target = self._next_target(req, progress)
                attempt += target is None
                grant, endpoint = target or await self._slots.acquire(req)
                failure: EndpointError | None = None
                try:
                    answer = self._attempt(req, grant, endpoint, progress)
                    async with aclosing(answer) as pieces:
                        async for piece in pieces:
                            if isinstance(piece, bytes):
                                latency_timer.add_tokens(1)
                            yield piece
                except EndpointError as exc:
                    failure = exc
                if failure is None:
                    complete = True
                    break
                if isinstance(failure, EndpointCrashed):
                    self._verifier.on_broken_off(req)
                if isinstance(failure, EndUnproven):
                    failure = await self._verify_end(req, endpoint, progress)
                    if failure is None:
                        complete = True
                        break
                    if progress.verification.resume_at is not None:
                        continue
                if not _continues(failure, progress):
                    if target is None and _is_refused_stream(req, failure):
                        state.refused += 1
                    self._prepare_retry(req, endpoint, failure, attempt, progress)
        except LacewingError as exc:
            if demand is not None and lacks_capacity(exc):
                demand.record_refusal(req)
            error = correct_run(state, exc, progress)
            # The cause says more than that the answer is incomplete.
            self._report_failure(req, exc if isinstance(exc, StreamVersionGone) else error, 0)
            raise error from exc
        except (asyncio.CancelledError, GeneratorExit):
            if asyncio.get_running_loop().time() >= state.deadline:
                if on_first is not None and not latency_timer.has_begun:
                    on_first(float("inf"))
                self._record(EventKind.FAILED, req, code=DeadlineExceeded.code)
            else:
                self._record(EventKind.CANCELLED, req)
            self._report_dropped(req)
            raise
        finally:
            if progress.run is not None:
                progress.run.close(complete)
            if progress.begun and not complete:
                self._slots.on_broken_off(req)
        self._record(EventKind.FINISHED, req, tokens=state.sent, **latency_timer.finish())

    async def _verify_end(
        self, req: Request, endpoint: Endpoint, progress: AnswerProgress
    ) -> EndpointError | None:
        """Return why a stream counts as broken off that ended without a proof, None if it does not.

        Afterwards ``progress.verification.resume_at`` may name an endpoint that goes on with it.
        """
        if progress.run is not None:
            progress.run.drop_state()
        if progress.splitter is not None:
            progress.splitter.restart()
        ended = asyncio.get_running_loop().time()
        ends, events, result = progress.ends, progress.last_events(), progress.verification
        if ends.adds_events and events and self._verifier.may_resume(req, endpoint, result):
            return unproven(endpoint)
        added_nothing = not ends.adds_events and not ends.framed
        failure = await self._verifier.verify(req, endpoint, events, result, added_nothing)
        if failure is None:
            self._record_answer_time(req, progress, ended)
        if result.goes_on:
            ends.break_off()
            result.goes_on = False
        return failure

    def _record_answer_time(self, req: Request, progress: AnswerProgress, ended: float) -> None:
        """Record how long a whole answer took that ended at a loop time, in seconds."""
        started = progress.run.progress.started if progress.run else progress.started
        self._answer_times.record(req.request_class, ended - started)

    def report_run(self, req: Request, endpoint: Endpoint) -> None:
        """Record that a run is to repeat events; see ``RunReporter``."""
        self._check_quarantine(req)
        self._report_start(req, endpoint, resumed=True)

    def report_run_answer(self, req: Request, endpoint: Endpoint) -> None:
        """Record that such a run is answered; see ``RunReporter``."""
        self._report_answer(req, endpoint)

    def report_run_end(
        self, req: Request, grant: Grant, timer: AttemptTimer, failure: BaseException | None
    ) -> None:
        """Record how such a run ended; see ``RunReporter``."""
        self._report_end(req, grant, timer, failure is None, failure)

    def _next_target(self, req: Request, progress: AnswerProgress) -> tuple[Grant, Endpoint] | None:
        """Return a slot of the endpoint that is to go on with the stream, None to choose one."""
        resume_at = progress.verification.resume_at
        if resume_at is not None:
            return self._verifier.occupy(req, resume_at), resume_at
        if self._mover is None or progress.run is None:
            return None
        endpoint = progress.run.next_target()
        return None if endpoint is None else (self._mover.occupy(progress.run, endpoint), endpoint)

    def _pieces(
        self, req: Request, endpoint: Endpoint, progress: AnswerProgress, goes_on: bool
    ) -> AsyncGenerator[ResponseHead | bytes, None]:
        pieces = self._client.stream(endpoint, req)
        if progress.run is None:
            return pieces
        return progress.run.attempt(endpoint, pieces, goes_on=goes_on)

    async def _attempt(
        self, req: Request, grant: Grant, endpoint: Endpoint, progress: AnswerProgress
    ) -> AsyncGenerator[ResponseHead | bytes, None]:
        """Send the request to one endpoint and yield what the client has not received yet."""
        state = proxy_state(req)
        loop = asyncio.get_running_loop()
        # No times are recorded: the time to the first event depends on the prompt far more than on
        # the endpoint, so that runners with long prompts would look like outliers.
        attempt_timer = AttemptTimer(endpoint, loop.time())
        head: ResponseHead | None = None
        buffered: list[bytes] = []
        buffered_bytes = 0
        ends = progress.ends
        # A run that continues at an endpoint that has it counts as the same attempt.
        goes_on = progress.verification.resume_at is not None
        progress.verification.resume_at = None
        continues = state.continued is not None or goes_on
        if not continues:
            state.sent += 1
        if not goes_on:
            progress.started = attempt_timer.started
        state.answering_since, state.withdrawn = None, False
        progress.deadline = state.deadline
        may_have_run_before, state.may_have_run = state.may_have_run, True
        resumed = progress.head_sent or continues
        self._report_start(req, endpoint, resumed=resumed)
        failure: BaseException | None = None
        try:
            async with aclosing(self._pieces(req, endpoint, progress, goes_on)) as pieces:
                async for piece in pieces:
                    if isinstance(piece, ResponseHead):
                        if not state.streaming:
                            self._count_usage(req, progress)
                        self._on_head(req, endpoint, piece, progress)
                        head = piece
                        ends.begin(head.framed, head.is_event_stream)
                        if not progress.head_sent and state.streaming and head.status == 200:
                            progress.head_sent = True
                            # Where no endpoint can be asked, the end promises no more than it did.
                            yield replace(head, framed=head.framed or state.resumable)
                        continue
                    if state.answering_since is None:
                        state.answering_since = loop.time()
                        self._report_answer(req, endpoint)
                        if head is not None and head.status == 200:
                            self._count_usage(req, progress)
                    self._dispatch_deps.scheduler.on_answer_event(grant)
                    ends.receive(piece)
                    if not progress.head_sent:
                        buffered.append(piece)
                        buffered_bytes += len(piece)
                        if buffered_bytes <= MAX_BUFFERED_BYTES:
                            continue
                        assert head is not None
                        progress.head_sent = True
                        yield head
                        piece = b"".join(buffered)
                        buffered.clear()
                    data = progress.splitter.feed(piece) if progress.splitter else piece
                    if progress.splitter is not None:
                        state.last_event = progress.splitter.last_event_id
                    if data:
                        ends.pass_on(data)
                        if goes_on and ends.adds_events:
                            goes_on = False
                            self._verifier.on_broken_off(req)
                        if progress.history is not None:
                            progress.history.record(data)
                        if state.streaming and ends.adds_events and not progress.begun:
                            progress.begun = True
                            self._slots.on_begun(req, endpoint)
                        if progress.run is not None:
                            splitter = progress.splitter
                            state.unnumbered = splitter is None or splitter.ends_without_id
                        yield data
            if head is not None:
                self._check_end(req, endpoint, head, progress, resumed)
            if not progress.head_sent:
                # The whole response was buffered, so that a failed attempt could be retried.
                assert head is not None
                progress.head_sent = True
                yield replace(head, whole=True)
                yield b"".join(buffered)
            if progress.splitter is not None and (rest := progress.splitter.take_remainder()):
                yield rest
            self._record_answer_time(req, progress, loop.time())
        except BaseException as exc:
            failure = exc
            if head is not None and isinstance(exc, EndpointCrashed):
                ends.break_off()
            if lost_response(state, exc):
                self._count_usage(req, progress)
            if goes_on and isinstance(exc, ConnectFailed):
                failure = died(endpoint, exc)
                raise failure from exc
            if state.withdrawn and isinstance(exc, EndpointCrashed):
                failure = AttemptWithdrawn(f"withdrawn from endpoint {endpoint.name!r}")
                raise failure from exc
            if isinstance(exc, ConnectFailed) and not continues:
                state.sent -= 1
            if goes_on and isinstance(exc, EndpointBusy):
                exc.details["has_run"] = True
            # An endpoint also refuses to continue a run whose state has expired.
            if isinstance(exc, EndpointBusy) and state.continued is None:
                self._dispatch_deps.scheduler.on_endpoint_full(grant)
            if isinstance(exc, ConnectFailed | EndpointBusy):
                state.may_have_run = may_have_run_before
            raise
        finally:
            state.abort = None
            counts_as_failure = head is not None and head.counts_as_failure
            self._report_end(
                req, grant, attempt_timer, failure is None and not counts_as_failure, failure
            )

    def _on_head(
        self, req: Request, endpoint: Endpoint, head: ResponseHead, progress: AnswerProgress
    ) -> None:
        state = proxy_state(req)
        if progress.head_sent:
            if head.status != 200:
                raise EndpointCrashed(
                    f"endpoint {endpoint.name!r} answered {head.status} to a resume",
                    endpoint=endpoint.name,
                )
            return
        if (
            head.failed
            and state.repeatable
            and state.runs < state.max_attempts
            and self._spend_retry(req)
        ):
            failed = _AnsweredFailure if head.counts_as_failure else _AnsweredTimeout
            raise failed(f"endpoint {endpoint.name!r} answered {head.status}", paid=True)
        may_move = progress.run is not None and head.is_event_stream
        if (state.resumable or may_move) and head.status == 200:
            progress.splitter = EventSplitter(state.last_event)
            if state.resumable:
                progress.history = EventHistory(state.last_event)

    def _check_end(
        self,
        req: Request,
        endpoint: Endpoint,
        head: ResponseHead,
        progress: AnswerProgress,
        resumed: bool,
    ) -> None:
        """Raise an error if a response that ended is not whole, or if nothing proves that it is.

        Raises:
            EndUnproven: If nothing proves that the stream is whole.
            EndpointCrashed: If the response was broken off.
        """
        state = proxy_state(req)
        # The endpoint knows the deadline that it was sent, also if it was changed since.
        deadline = min(state.deadline, progress.deadline)
        left_s = deadline - asyncio.get_running_loop().time()
        ends = progress.ends
        if state.streaming and head.status == 200:
            splitter = progress.splitter
            end = ends.judge(left_s, splitter is not None and splitter.falls_short)
            log_end(req, endpoint, ends, resumed, end)
            if end is End.UNPROVEN:
                raise unproven(endpoint)
            if end is End.BROKEN_OFF and ends.framed and not ends.is_inside_event:
                raise EndContradicted(
                    f"endpoint {endpoint.name!r} adds nothing to a stream that was broken off",
                    endpoint=endpoint.name,
                )
        else:
            end = plain_end(head.framed, left_s)
        if end is End.BROKEN_OFF:
            raise EndpointCrashed(
                f"endpoint {endpoint.name!r}: the response ended before it was whole",
                endpoint=endpoint.name,
                ended=True,
            )

    def _count_usage(self, req: Request, progress: AnswerProgress) -> None:
        """Count a request that began to run, once for all its attempts."""
        if self._dispatch_deps.usage is not None and not progress.counted:
            progress.counted = True
            self._dispatch_deps.usage.count(req.workspace)

    def _prepare_retry(
        self,
        req: Request,
        endpoint: Endpoint,
        exc: EndpointError,
        attempt: int,
        progress: AnswerProgress,
    ) -> None:
        """Return if the request may be retried, otherwise raise the error for the client."""
        state = proxy_state(req)
        req.excluded_endpoints.add(endpoint.name)
        if progress.splitter is not None:
            progress.splitter.restart()
        if progress.run is not None:
            progress.run.drop_state()
        # Only a stream of events continues after the part that the client has received.
        resumes = not progress.head_sent or (progress.splitter is not None and state.resumable)
        if progress.begun and not (progress.splitter and progress.splitter.can_continue):
            resumes = False  # Another endpoint would repeat events.
        if progress.run is not None and progress.run.stopped and not state.repeatable:
            resumes = False  # Whatever the endpoint says of this attempt, the run has begun.
        retries = resumes and attempt < MAX_ATTEMPTS and self._may_retry(req, exc)
        logger.bind(
            request_id=req.id,
            endpoint=endpoint.name,
            code=exc.code,
            sent=state.sent,
            refused=state.refused,
            max_attempts=state.max_attempts,
            may_have_run=state.may_have_run,
            answering_s=answering_s(state),
            outcome="repeat" if retries else "give up",
        ).info("attempt failed: {}", exc.message)
        if not retries:
            raise client_error(state, exc, progress) from exc

    def _may_retry(self, req: Request, exc: EndpointError) -> bool:
        state = proxy_state(req)
        if isinstance(exc, ConnectFailed):
            return not exc.details.get("isolated")
        # The endpoint did not run it, unless it was asked to go on with its own stream.
        if _is_refused_stream(req, exc) and not exc.details.get("has_run"):
            return self._spend_retry(req)
        if state.runs >= state.max_attempts:
            return False
        if not isinstance(exc, EndpointBusy) and not state.repeatable:
            return False
        return bool(exc.details.get("paid")) or self._spend_retry(req)


class _AnsweredFailure(EndpointError):
    """The endpoint executed the request and failed; the budget was already charged for a retry."""

    code = "endpoint_answered_failure"


class _AnsweredTimeout(_AnsweredFailure):
    """The endpoint executed the request until its deadline passed."""

    neutral = True


def _is_refused_stream(req: Request, failure: EndpointError) -> bool:
    """Return whether an endpoint refused to go on with a stream that its client holds a part of."""
    return isinstance(failure, EndpointBusy) and continues_stream(req)


def _continues(failure: EndpointError, progress: AnswerProgress) -> bool:
    """Return whether another endpoint is asked to continue a run that was stopped to be moved.

    An endpoint that failed in any other way than by a refusal may have begun to continue it.
    """
    if progress.run is None or not progress.run.has_target:
        return False
    if progress.splitter is not None:
        progress.splitter.restart()
    return isinstance(failure, RunMoved | ConnectFailed | EndpointBusy)
