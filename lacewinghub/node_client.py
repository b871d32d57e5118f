"""Client of a node, as callers and operators use it."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from .errors import BadRequest, ExecutionStatus, LacewingError, Unreachable, all_errors

OUTCOME_OK = "ok"
# The connection ended before the answer or a coded error was complete.
DISCONNECTED = "disconnected"
# No connection was made, so nothing was sent.
CONNECTION_REFUSED = "connection_refused"
DEFAULT_TIMEOUT_S = 120.0


@dataclass(slots=True)
class CallResult:
    """Result of one request.

    Attributes:
        outcome: ``ok``, the error code, ``disconnected`` or ``connection_refused``.
        run: What is known about the execution.
        status: HTTP status, or 0 without one.
        text: Text of the answer as far as it was received.
        tokens: Number of events that carried text.
        first_token_s: Time to the first token in seconds, or None.
        between_tokens_s: Mean time between tokens in seconds, or None.
        completion_s: Time to the end in seconds.
        body: Decoded body of a plain call or an error.
    """

    outcome: str = DISCONNECTED
    run: ExecutionStatus = ExecutionStatus.UNKNOWN
    status: int = 0
    text: str = ""
    tokens: int = 0
    first_token_s: float | None = None
    between_tokens_s: float | None = None
    completion_s: float = 0.0
    body: Any = None
    request_id: str = ""
    _last: float = field(default=0.0, repr=False)


class NodeClient:
    """Sends requests to nodes.

    Args:
        timeout_s: Longest time that one request may take, in seconds.
    """

    def __init__(self, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def chat(
        self, address: str, key: str, body: dict[str, Any], request_class: str = ""
    ) -> CallResult:
        """Send a chat completions request.

        Args:
            address: ``IP:port`` of a node.
            key: Key of the workspace.
            body: Body; ``stream`` decides how the answer is read.
            request_class: Class, or empty for the default one.

        Returns:
            The result; errors are in it, too.
        """
        headers = _headers(key, request_class)
        return await self._post(address, "/v1/chat/completions", headers, body)

    async def call(
        self,
        address: str,
        key: str,
        pool: str,
        body: dict[str, Any],
        idempotency_key: str = "",
        request_class: str = "",
    ) -> CallResult:
        """Call a plain service.

        Args:
            address: ``IP:port`` of a node.
            key: Key of the workspace.
            pool: Name of the pool.
            body: Body.
            idempotency_key: Key of the call, or empty.
            request_class: Class, or empty for the default one.

        Returns:
            The result; errors are in it, too.
        """
        headers = _headers(key, request_class)
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        return await self._post(address, f"/v1/services/{pool}", headers, body)

    async def status(self, address: str, key: str) -> dict[str, Any]:
        """Read ``/status`` of a node.

        Args:
            address: ``IP:port`` of a node.
            key: Operator key.

        Returns:
            The status as a JSON object.

        Raises:
            Unreachable: If the node does not answer.
            LacewingError: The error with which the node refused.
        """
        try:
            async with self._open().get(
                f"http://{address}/status", headers=_headers(key, "")
            ) as reply:
                body = _decode(await reply.read())
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
            raise Unreachable(f"node {address} does not answer: {exc or type(exc).__name__}") from (
                exc
            )
        if reply.status != 200:
            raise _coded(body, reply.status)
        if not isinstance(body, dict):
            raise BadRequest(f"{address} answered with something else than a status")
        return body

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def __aenter__(self) -> "NodeClient":
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.close()

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=self._timeout_s, connect=5.0),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._session

    async def _post(
        self, address: str, path: str, headers: dict[str, str], body: dict[str, Any]
    ) -> CallResult:
        loop = asyncio.get_running_loop()
        begin = loop.time()
        result = CallResult()
        try:
            async with self._open().post(
                f"http://{address}{path}", headers=headers, json=body
            ) as reply:
                result.status = reply.status
                result.request_id = reply.headers.get("X-Request-Id", "")
                if reply.content_type == "text/event-stream":
                    await _read_stream(reply, result, begin)
                else:
                    _read_body(_decode(await reply.read()), result)
        except aiohttp.ClientConnectorError:
            result.outcome, result.run = CONNECTION_REFUSED, ExecutionStatus.NOT_RUN
        except (aiohttp.ClientError, OSError, TimeoutError):
            result.outcome, result.run = DISCONNECTED, ExecutionStatus.UNKNOWN
        result.completion_s = loop.time() - begin
        if result.tokens > 1 and result.first_token_s is not None:
            streamed_s = result._last - begin - result.first_token_s
            result.between_tokens_s = streamed_s / (result.tokens - 1)
        return result


async def _read_stream(reply: aiohttp.ClientResponse, result: CallResult, begin: float) -> None:
    loop = asyncio.get_running_loop()
    parts: list[str] = []
    async for line in reply.content:
        if not line.startswith(b"data:"):
            continue
        data = line[5:].strip()
        if data == b"[DONE]":
            result.outcome, result.run = OUTCOME_OK, ExecutionStatus.NONE
            break
        event = json.loads(data)
        if "error" in event:
            _read_body(event, result)
            break
        choices = event.get("choices") or [{}]
        text = choices[0].get("delta", {}).get("content")
        if text:
            parts.append(text)
            result._last = loop.time()
            if result.first_token_s is None:
                result.first_token_s = result._last - begin
    result.text, result.tokens = "".join(parts), len(parts)


def _read_body(body: Any, result: CallResult) -> None:
    result.body = body
    error = body.get("error") if isinstance(body, dict) else None
    if isinstance(error, dict) and "code" in error:
        result.outcome = str(error["code"])
        run = error.get("run")
        result.run = (
            ExecutionStatus(run) if run in list(ExecutionStatus) else ExecutionStatus.UNKNOWN
        )
        return
    if result.status >= 400:
        # A service's own refusal is an answer to the caller, passed on by the node.
        result.outcome, result.run = f"status_{result.status}", ExecutionStatus.NONE
        return
    result.outcome, result.run = OUTCOME_OK, ExecutionStatus.NONE
    if isinstance(body, dict) and isinstance(body.get("choices"), list):
        result.text = body["choices"][0]["message"]["content"]
        result.tokens = body.get("usage", {}).get("completion_tokens", 0)


def _headers(key: str, request_class: str) -> dict[str, str]:
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    if request_class:
        headers["X-Request-Class"] = request_class
    return headers


def _decode(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return data.decode("utf-8", "replace")


def _coded(body: Any, status: int) -> LacewingError:
    error = body.get("error") if isinstance(body, dict) else None
    if isinstance(error, dict):
        cls = all_errors().get(str(error.get("code")), LacewingError)
        return cls(str(error.get("message", "")))
    return LacewingError(f"the node answered with status {status}")
