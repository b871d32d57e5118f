"""Clients of endpoints: runners that stream answers and plain services."""

import asyncio
import json
from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator, Callable, Coroutine
from dataclasses import dataclass
from typing import Any, ClassVar

import aiohttp
from pydantic_core import from_json

from .errors import LacewingError
from .request import Request
from .tables import Endpoint

CONNECT_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 30.0
CANCEL_TIMEOUT_S = 1.0
# A chunk of a stream is some hundred bytes; a longer event is a fault of the endpoint.
MAX_EVENT_BYTES = 1024 * 1024
_LEAVING_CODES = ("leaving", "draining")
_DONE = b"[DONE]"


class EndpointError(LacewingError):
    """Base of the failures of one endpoint; the router turns them into caller errors.

    Attributes:
        neutral: True if the failure says nothing about the health of the endpoint.
    """

    code, status = "endpoint_error", 502
    neutral: ClassVar[bool] = False


class ConnectFailed(EndpointError):
    """No connection was made; nothing was sent."""

    code = "endpoint_connect_failed"


class EndpointCrashed(EndpointError):
    """The connection broke or timed out after the request had been sent."""

    code = "endpoint_crashed"


class EndpointStalled(EndpointError):
    """The endpoint sent nothing for too long and was given up."""

    code = "endpoint_stalled"


class EndpointLeaving(EndpointError):
    """The endpoint announced that it is leaving and did not take the request."""

    code = "endpoint_leaving"


class EndpointRejected(EndpointError):
    """The endpoint answered with an error status; details carry ``status``."""

    code = "endpoint_rejected"


@dataclass(frozen=True, slots=True)
class Chunk:
    """A piece of a streamed answer.

    Attributes:
        index: Offset of its first token in the whole answer.
        tokens: Texts of its tokens.
        finish: Reason of the end in the last chunk, otherwise None.
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
    """Decides when a silent endpoint is given up."""

    @abstractmethod
    def timeout_s(self, started: bool) -> float:
        """Return the longest silence before (False) or after the first token, in seconds."""

    @abstractmethod
    def should_abandon(self) -> bool:
        """Tell whether to give up the endpoint, which has been silent for the limit.

        After False the silence is measured from now on.
        """


class EndpointClient(ABC):
    """Sends requests to endpoints."""

    @abstractmethod
    def stream(
        self, endpoint: Endpoint, req: Request, silence: StallPolicy | None = None
    ) -> AsyncGenerator[Chunk, None]:
        """Start or resume an answer at a runner.

        Args:
            endpoint: The runner.
            req: The request; ``req.sent_tokens`` tokens were already received.
            silence: Decides when the runner is given up; None leaves that to the idle timeout.

        Yields:
            Chunks, possibly repeated or out of order.

        Raises:
            EndpointError: One of its subclasses; ``EndpointStalled`` if ``silence`` gave it up.
        """

    @abstractmethod
    async def call(self, endpoint: Endpoint, req: Request) -> Reply:
        """Call a plain service once.

        Args:
            endpoint: The service.
            req: The request; ``req.key`` is passed on as idempotency key.

        Returns:
            The reply of any status below 500.

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
    """Client of runners (server-sent events) and plain services over HTTP.

    Every request has a connection of its own: after a failed connect it is certain that nothing
    was sent, and a kept connection that the endpoint closes meanwhile is not mistaken for a crash.

    Args:
        connect_timeout_s: Longest wait for a connection, in seconds.
        idle_timeout_s: Longest pause within an answer or before its begin, in seconds.
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
        self, endpoint: Endpoint, req: Request, silence: StallPolicy | None = None
    ) -> AsyncGenerator[Chunk, None]:
        """Start or resume an answer at a runner; see ``EndpointClient.stream``."""
        body = req.body | {
            "stream": True,
            "priority": req.tier,
            "request_id": req.id,
            "resume_from": req.sent_tokens,
        }
        watch = _Watch(endpoint, silence)
        try:
            resp = await watch.run(self._post(endpoint, "/v1/chat/completions", body, {}))
        except BaseException:
            watch.close()
            raise
        watch.close_on_silence(resp)
        try:
            await _check_status(endpoint, resp, accept_below=300)
            reader = _ChunkReader(endpoint)
            async for data in resp.content.iter_any():
                watch.heard()
                for chunk in reader.feed(data):
                    yield chunk
                if reader.failure is not None:
                    raise reader.failure
                if reader.ended:
                    return
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise watch.stalled() or _crashed(endpoint, exc) from exc
        finally:
            watch.close()
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


class _Watch:
    """Ends the wait for an endpoint when its silence has been too long.

    A timer runs per attempt and not per chunk, since chunks are the hot path.

    Args:
        endpoint: The endpoint.
        silence: Decides; None never ends the wait.
    """

    def __init__(self, endpoint: Endpoint, silence: StallPolicy | None) -> None:
        self._endpoint = endpoint
        self._silence = silence
        self._loop = asyncio.get_running_loop()
        self._heard = self._loop.time()
        self._started = False
        self._expired = False
        self._end: Callable[[], object] = lambda: None
        self._timer: asyncio.TimerHandle | None = None
        self._arm()

    async def run(
        self, post: Coroutine[Any, Any, aiohttp.ClientResponse]
    ) -> aiohttp.ClientResponse:
        """Wait for the head of the response.

        Raises:
            EndpointError: The error of ``post``, or ``EndpointStalled``.
        """
        try:
            async with asyncio.timeout(None) as limit:
                self._end = lambda: limit.reschedule(self._loop.time())
                return await post
        except TimeoutError as exc:
            raise self.stalled() or _crashed(self._endpoint, exc) from exc

    def close_on_silence(self, resp: aiohttp.ClientResponse) -> None:
        """Close a response from now on, which ends the wait for its next bytes."""
        self._end = resp.close

    def heard(self) -> None:
        """Note that bytes of the answer have arrived."""
        self._heard = self._loop.time()
        if not self._started:
            self._started = True
            self.close()
            self._arm()

    def stalled(self) -> EndpointStalled | None:
        """Return the error if the endpoint was given up."""
        if not self._expired:
            return None
        name = self._endpoint.name
        return EndpointStalled(f"endpoint {name!r} sent nothing for too long", endpoint=name)

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _arm(self) -> None:
        if self._silence is not None:
            due = self._heard + self._silence.timeout_s(self._started)
            self._timer = self._loop.call_at(due, self._check, self._silence)

    def _check(self, silence: StallPolicy) -> None:
        if self._loop.time() - self._heard >= silence.timeout_s(self._started):
            if silence.should_abandon():
                self._expired = True
                self._end()
                return
            self._heard = self._loop.time()
        self._arm()


def _crashed(endpoint: Endpoint, exc: BaseException) -> EndpointCrashed:
    timeout = isinstance(exc, TimeoutError)
    what = "sent nothing for too long" if timeout else "broke the connection"
    return EndpointCrashed(
        f"endpoint {endpoint.name!r} {what}", endpoint=endpoint.name, timeout=timeout
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
        ended: True after the closing event.
        failure: What is wrong with the stream, or None.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.ended = False
        self.failure: EndpointRejected | None = None
        self._endpoint = endpoint
        self._rest = b""

    def feed(self, data: bytes) -> list[Chunk]:
        """Take bytes and return the chunks that they complete.

        Chunks that follow each other are joined: on a busy node a read brings several, and the
        cost of passing on a chunk does not depend on its size.
        """
        *lines, self._rest = (self._rest + data).split(b"\n")
        chunks: list[Chunk] = []
        try:
            for line in lines:
                if line.startswith(b"data:"):
                    self._take(line[5:].strip(), chunks)
            if len(self._rest) > MAX_EVENT_BYTES:
                raise self._rejected(f"sent an event of more than {MAX_EVENT_BYTES} bytes")
        except EndpointRejected as exc:
            self.failure = exc
        return chunks

    def _take(self, payload: bytes, chunks: list[Chunk]) -> None:
        if payload == _DONE or self.ended:
            self.ended = True
            return
        chunk = self._parse(payload)
        last = chunks[-1] if chunks else None
        if last is None or last.finish is not None or last.index + len(last.tokens) != chunk.index:
            chunks.append(chunk)
        else:
            tokens = last.tokens + chunk.tokens
            chunks[-1] = Chunk(last.index, tokens, chunk.finish, chunk.total)

    def _parse(self, payload: bytes) -> Chunk:
        try:
            event = from_json(payload)
            if "error" in event:
                raise self._rejected(f"ended the answer: {event['error']}")
            choice = event["choices"][0]
            tokens = event.get("tokens")
            if tokens is None:
                text = choice.get("delta", {}).get("content")
                tokens = (text,) if text else ()
            finish, total = choice.get("finish_reason"), event.get("total")
            return Chunk(event["index"], tuple(tokens), finish, total)
        except (ValueError, KeyError, IndexError, TypeError, AttributeError) as exc:
            raise self._rejected("sent a malformed chunk") from exc

    def _rejected(self, what: str) -> EndpointRejected:
        name = self._endpoint.name
        return EndpointRejected(f"endpoint {name!r} {what}", endpoint=name, status=500)


def _decode(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return data.decode("utf-8", "replace")
