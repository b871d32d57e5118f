"""Clients for endpoints: runners, which stream answers, and plain services."""

import asyncio
import json
from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator, Callable, Coroutine
from dataclasses import dataclass
from itertools import chain
from typing import Any, ClassVar

import aiohttp
from pydantic_core import from_json

from .errors import LacewingError
from .request import Request
from .service_reply import is_whole
from .tables import Endpoint

CONNECT_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 30.0
CANCEL_TIMEOUT_S = 1.0
# An event of a stream has a few hundred bytes; one above this limit is an error of the endpoint.
MAX_EVENT_BYTES = 1024 * 1024
_LEAVING_CODES = ("leaving", "draining")
_DONE = b"[DONE]"


class EndpointError(LacewingError):
    """Base class of endpoint failures; the router translates them into errors for the client.

    Attributes:
        neutral: True if the failure says nothing about the health of the endpoint.
    """

    code, status = "endpoint_error", 502
    neutral: ClassVar[bool] = False


class ConnectFailed(EndpointError):
    """The connection could not be established; nothing was sent."""

    code = "endpoint_connect_failed"


class EndpointCrashed(EndpointError):
    """The connection broke or timed out after the request had been sent."""

    code = "endpoint_crashed"


class EndpointStalled(EndpointError):
    """The endpoint sent nothing for too long and the attempt was abandoned."""

    code = "endpoint_stalled"


class EndpointLeaving(EndpointError):
    """The endpoint is leaving and did not accept the request."""

    code = "endpoint_leaving"


class EndpointRejected(EndpointError):
    """The endpoint answered with an error status, which is in ``details["status"]``."""

    code = "endpoint_rejected"


@dataclass(frozen=True, slots=True)
class Chunk:
    """A piece of a streamed answer.

    Attributes:
        index: Offset of its first token in the whole answer.
        tokens: Texts of its tokens.
        finish: Finish reason in the last chunk, otherwise None.
        total: Number of tokens of the whole answer in the last chunk, otherwise None.
    """

    index: int
    tokens: tuple[str, ...]
    finish: str | None = None
    total: int | None = None


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer of a plain service."""

    status: int
    body: Any


class StallPolicy(ABC):
    """Decides when an endpoint that sends nothing counts as stalled."""

    @abstractmethod
    def timeout_s(self, started: bool) -> float:
        """Return the time without data after which an endpoint may be stalled, in seconds.

        Args:
            started: True after the first token, False before it.
        """

    @abstractmethod
    def should_abandon(self) -> bool:
        """Tell whether to abandon the endpoint, which sent nothing for ``timeout_s``.

        If the result is False, the time starts again.
        """


class EndpointClient(ABC):
    """Sends requests to endpoints."""

    @abstractmethod
    def stream(
        self, endpoint: Endpoint, req: Request, stall_policy: StallPolicy | None = None
    ) -> AsyncGenerator[Chunk, None]:
        """Start or resume an answer at a runner.

        Args:
            endpoint: The runner.
            req: The request; ``req.sent_tokens`` tokens were already received.
            stall_policy: Decides when the runner is stalled; None leaves that to the idle timeout.

        Yields:
            Chunks, possibly repeated or out of order.

        Raises:
            EndpointError: One of its subclasses; ``EndpointStalled`` if ``stall_policy`` says so.
        """

    @abstractmethod
    async def call(self, endpoint: Endpoint, req: Request) -> Reply:
        """Call a plain service once.

        Args:
            endpoint: The service.
            req: The request; ``req.key`` is passed on as the idempotency key.

        Returns:
            The reply, whose status is below 500.

        Raises:
            EndpointError: One of its subclasses; only ``ConnectFailed`` and ``EndpointLeaving``
                prove that the call was not executed.
        """

    @abstractmethod
    async def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Stop the generation of an answer; failures are ignored."""

    async def close(self) -> None:
        """Release the connections."""
        return None


class HttpEndpoint(EndpointClient):
    """HTTP client for runners (server-sent events) and plain services.

    Every request opens a new connection. Thus a failed connect proves that nothing was sent, and an
    idle connection that the endpoint closes cannot be mistaken for a crash.

    Args:
        connect_timeout_s: Longest wait for a connection, in seconds.
        idle_timeout_s: Longest time without data before and during a response, in seconds.
    """

    def __init__(
        self,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout_s, sock_read=idle_timeout_s
        )
        self._session_or_none: aiohttp.ClientSession | None = None

    async def stream(
        self, endpoint: Endpoint, req: Request, stall_policy: StallPolicy | None = None
    ) -> AsyncGenerator[Chunk, None]:
        """Start or resume an answer at a runner; see ``EndpointClient.stream``."""
        body = req.body | {
            "stream": True,
            "priority": req.tier,
            "request_id": req.id,
            "resume_from": req.sent_tokens,
        }
        stall_timer = _StallTimer(endpoint, stall_policy)
        try:
            resp = await stall_timer.run_request(
                self._post(endpoint, "/v1/chat/completions", body, {})
            )
        except BaseException:
            stall_timer.close()
            raise
        stall_timer.abort_by_closing(resp)
        try:
            await _check_status(endpoint, resp, accept_below=300)
            reader = _ChunkReader(endpoint)
            async for data in resp.content.iter_any():
                stall_timer.on_data()
                for chunk in reader.feed(data):
                    yield chunk
                if reader.failure is not None:
                    raise reader.failure
                if reader.ended:
                    return
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise stall_timer.stall_error() or _crashed(endpoint, exc) from exc
        finally:
            stall_timer.close()
            resp.close()

    async def call(self, endpoint: Endpoint, req: Request) -> Reply:
        """Call a plain service once; see ``EndpointClient.call``."""
        headers = {} if req.key is None else {"Idempotency-Key": req.key}
        resp = await self._post(endpoint, "/run", req.body, headers)
        try:
            await _check_status(endpoint, resp, accept_below=500)
            data = await resp.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise _crashed(endpoint, exc) from exc
        finally:
            resp.close()
        if not is_whole(resp, data):
            raise _crashed_in_reply(endpoint)
        return Reply(resp.status, _decode(data))

    async def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Stop the generation of an answer; failures are ignored."""
        url = f"http://{endpoint.address}/cancel/{request_id}"
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S), self._session().post(url):
                return
        except (aiohttp.ClientError, OSError, TimeoutError):
            return

    async def close(self) -> None:
        """Release the connections."""
        if self._session_or_none is not None:
            await self._session_or_none.close()
            self._session_or_none = None

    async def _post(
        self, endpoint: Endpoint, path: str, body: dict[str, Any], headers: dict[str, str]
    ) -> aiohttp.ClientResponse:
        url = f"http://{endpoint.address}{path}"
        data = json.dumps(body, separators=(",", ":")).encode()
        headers = headers | {"Content-Type": "application/json"}
        try:
            return await self._session().post(
                url, data=data, headers=headers, allow_redirects=False
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise ConnectFailed(
                f"endpoint {endpoint.name!r} at {endpoint.address} does not accept connections",
                endpoint=endpoint.name,
            ) from exc
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise _crashed(endpoint, exc) from exc

    def _session(self) -> aiohttp.ClientSession:
        if self._session_or_none is None:
            self._session_or_none = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                timeout=self._timeout,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._session_or_none


class _StallTimer:
    """Aborts an attempt when the stall policy says that the endpoint is stalled.

    There is one timer per attempt, which is not reset for each chunk: chunks are the hot path.

    Args:
        endpoint: The endpoint.
        stall_policy: The policy; with None the attempt is never aborted.
    """

    def __init__(self, endpoint: Endpoint, stall_policy: StallPolicy | None) -> None:
        self._endpoint = endpoint
        self._policy = stall_policy
        self._loop = asyncio.get_running_loop()
        self._last_data = self._loop.time()
        self._started = False
        self._stalled = False
        self._abort: Callable[[], object] = lambda: None
        self._timer: asyncio.TimerHandle | None = None
        self._schedule()

    async def run_request(
        self, post: Coroutine[Any, Any, aiohttp.ClientResponse]
    ) -> aiohttp.ClientResponse:
        """Wait for the head of the response.

        Raises:
            EndpointError: The error of ``post``, or ``EndpointStalled``.
        """
        try:
            async with asyncio.timeout(None) as limit:
                self._abort = lambda: limit.reschedule(self._loop.time())
                return await post
        except TimeoutError as exc:
            raise self.stall_error() or _crashed(self._endpoint, exc) from exc

    def abort_by_closing(self, resp: aiohttp.ClientResponse) -> None:
        """Abort by closing this response, which ends the wait for its next bytes."""
        self._abort = resp.close

    def on_data(self) -> None:
        """Record that bytes of the response arrived."""
        self._last_data = self._loop.time()
        if not self._started:
            self._started = True
            self.close()
            self._schedule()

    def stall_error(self) -> EndpointStalled | None:
        """Return the error if the attempt was aborted, otherwise None."""
        if not self._stalled:
            return None
        name = self._endpoint.name
        return EndpointStalled(f"endpoint {name!r} sent nothing for too long", endpoint=name)

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        if self._policy is not None:
            due = self._last_data + self._policy.timeout_s(self._started)
            self._timer = self._loop.call_at(due, self._on_timer, self._policy)

    def _on_timer(self, stall_policy: StallPolicy) -> None:
        if self._loop.time() - self._last_data >= stall_policy.timeout_s(self._started):
            if stall_policy.should_abandon():
                self._stalled = True
                self._abort()
                return
            self._last_data = self._loop.time()
        self._schedule()


def _crashed(endpoint: Endpoint, exc: BaseException) -> EndpointCrashed:
    timeout = isinstance(exc, TimeoutError)
    what = "sent nothing for too long" if timeout else "broke the connection"
    return EndpointCrashed(
        f"endpoint {endpoint.name!r} {what}", endpoint=endpoint.name, timeout=timeout
    )


def _crashed_in_reply(endpoint: Endpoint) -> EndpointCrashed:
    name = endpoint.name
    return EndpointCrashed(
        f"endpoint {name!r} perhaps ended its reply early", endpoint=name, timeout=False
    )


async def _check_status(
    endpoint: Endpoint, resp: aiohttp.ClientResponse, accept_below: int
) -> None:
    if resp.status < accept_below:
        return
    reply = _decode(await resp.read())
    error = reply.get("error") if isinstance(reply, dict) else None
    code, message = "", resp.reason or ""
    if isinstance(error, dict):
        code, message = str(error.get("code", "")), str(error.get("message", message))
    if resp.status == 503 and code in _LEAVING_CODES:
        raise EndpointLeaving(f"endpoint {endpoint.name!r} is leaving", endpoint=endpoint.name)
    raise EndpointRejected(
        f"endpoint {endpoint.name!r} answered {resp.status}: {message}",
        endpoint=endpoint.name,
        status=resp.status,
        reason=message,
    )


class _ChunkReader:
    """Parses the events of one stream, however its bytes are split.

    Attributes:
        ended: True after the event ``[DONE]``.
        failure: The error in the stream, or None.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.ended = False
        self.failure: EndpointRejected | None = None
        self._endpoint = endpoint
        self._pieces: list[bytes] = []  # Of the line that is not complete yet.
        self._size = 0

    def feed(self, data: bytes) -> list[Chunk]:
        """Add bytes and return the chunks that they complete.

        Adjacent chunks are merged: on a busy node a read returns several, and the cost of passing
        on a chunk does not depend on its size.
        """
        runs: list[list[Chunk]] = []
        try:
            for line in self._complete_lines(data):
                if line.startswith(b"data:"):
                    self._add_event(line[5:].strip(), runs)
            if self._size > MAX_EVENT_BYTES:
                raise self._rejected(f"sent an event of more than {MAX_EVENT_BYTES} bytes")
        except EndpointRejected as exc:
            self.failure = exc
        return [_merge(run) for run in runs]

    def _complete_lines(self, data: bytes) -> list[bytes]:
        """Return the lines that the bytes complete, and keep the rest."""
        self._pieces.append(data)
        self._size += len(data)
        if b"\n" not in data:
            return []
        *lines, rest = b"".join(self._pieces).split(b"\n")
        self._pieces, self._size = [rest], len(rest)
        return lines

    def _add_event(self, payload: bytes, runs: list[list[Chunk]]) -> None:
        """Add the chunk of an event to the last run of adjacent chunks, or to a new run."""
        if payload == _DONE or self.ended:
            self.ended = True
            return
        chunk = self._parse(payload)
        last = runs[-1][-1] if runs else None
        if last is None or last.finish is not None or last.index + len(last.tokens) != chunk.index:
            runs.append([chunk])
        else:
            runs[-1].append(chunk)

    def _parse(self, payload: bytes) -> Chunk:
        try:
            event = from_json(payload)
            if "error" in event:
                raise self._rejected(f"ended the answer: {event['error']}")
            choice = event["choices"][0]
            tokens = event.get("tokens")
            if tokens is None:
                text = choice.get("delta", {}).get("content")
                tokens = [text] if text else []
            elif not isinstance(tokens, list):
                raise TypeError("the tokens are not a list")
            finish, total = choice.get("finish_reason"), event.get("total")
            # An empty reason states no end.
            chunk = Chunk(event["index"], tuple(tokens), None if finish == "" else finish, total)
            _check_chunk(chunk)
            return chunk
        except (ValueError, KeyError, IndexError, TypeError, AttributeError) as exc:
            raise self._rejected("sent a malformed chunk") from exc

    def _rejected(self, what: str) -> EndpointRejected:
        name = self._endpoint.name
        return EndpointRejected(f"endpoint {name!r} {what}", endpoint=name, status=500)


def _check_chunk(chunk: Chunk) -> None:
    """Check the types and offsets of a chunk, which decide where its answer ends.

    Raises:
        ValueError: If one of them is wrong.
    """
    for offset in (chunk.index, 0 if chunk.total is None else chunk.total):
        if type(offset) is not int or offset < 0:
            raise ValueError("an offset is not a natural number")
    for text in (*chunk.tokens, "" if chunk.finish is None else chunk.finish):
        if not isinstance(text, str):
            raise ValueError("a token or the finish reason is not a text")


def _merge(run: list[Chunk]) -> Chunk:
    """Return one chunk for a run of adjacent ones."""
    if len(run) == 1:
        return run[0]
    tokens = tuple(chain.from_iterable(item.tokens for item in run))
    return Chunk(run[0].index, tokens, run[-1].finish, run[-1].total)


def _decode(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return data.decode("utf-8", "replace")
