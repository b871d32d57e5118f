"""Requests to the platform's runners and their answers."""

import asyncio
from collections.abc import AsyncGenerator

from ..endpoint import ConnectFailed, EndpointCrashed
from ..httpclient import ConnectionBroken, ConnectionFailed, ConnectionPool, HttpConnection
from ..httpmessage import CRLF, Incoming, encode_headers, end_to_end
from ..proxyrouter import EndpointBusy, ProxyClient, ResponseHead
from ..request import ProxyState, Request
from ..selection import LoadReports
from ..tables import Endpoint
from . import names

# Statuses with which a runner states that it did not run a request, if the header says so too.
_MISDIRECTED = 421
# Statuses that promise a caller that its request did not run.
_PROMISES = frozenset((408, 421, 429, 503))
# Answers to other requests that are skipped before a connection is given up.
MAX_FOREIGN = 2
_NO_BODY = frozenset((b"GET", b"HEAD", b"DELETE"))


class RunnerClient(ProxyClient):
    """Sends requests to runners.

    Args:
        pool: Connections to runners.
        reports: Receives the loads that runners state with their answers.
    """

    def __init__(self, pool: ConnectionPool, reports: LoadReports) -> None:
        self._pool = pool
        self._reports = reports

    async def stream(
        self, endpoint: Endpoint, req: Request
    ) -> AsyncGenerator[ResponseHead | bytes, None]:
        """Send a request to a runner; see ``ProxyClient.stream``."""
        raw = req.proxy
        assert raw is not None
        try:
            conn = await self._pool.get(endpoint.address, fresh=not raw.repeatable)
        except ConnectionFailed as exc:
            raise ConnectFailed(exc.message, endpoint=endpoint.name) from exc
        answer: Incoming | None = None
        try:
            conn.send(_encode(endpoint, req, raw))
            answer = await self._own_answer(conn, req)
            self._note_load(endpoint, answer)
            await self._check(conn, endpoint, answer)
            yield ResponseHead(answer.status, end_to_end(answer.headers), answer.framed)
            while data := await conn.read(answer):
                yield data
        except ConnectionBroken as exc:
            answer = None
            raise EndpointCrashed(
                f"endpoint {endpoint.name!r}: {exc.message}", endpoint=endpoint.name
            ) from exc
        finally:
            if answer is not None and answer.complete and conn.done(answer):
                self._pool.put(endpoint.address, conn, answer)
            else:
                conn.close()

    async def _own_answer(self, conn: HttpConnection, req: Request) -> Incoming:
        """Wait for the answer that carries the request's id; skip late answers to others."""
        for _ in range(MAX_FOREIGN + 1):
            answer = await conn.head()
            attempt_id = answer.header(names.ATTEMPT_ID)
            if attempt_id is None:
                # Refusals may lack the id; nothing else of an unknown request is passed on.
                if _is_refusal(answer):
                    return answer
                raise ConnectionBroken("an answer without the id of its request")
            if attempt_id.decode("latin-1") == req.id:
                return answer
            while await conn.read(answer):
                pass
            conn.done(answer)
        raise ConnectionBroken("answers to other requests")

    async def _check(self, conn: HttpConnection, endpoint: Endpoint, answer: Incoming) -> None:
        """Raise for an answer that is not to be passed on."""
        status = answer.status
        if _is_refusal(answer):
            while await conn.read(answer):
                pass
            raise EndpointBusy(f"endpoint {endpoint.name!r} answered {status}", status=status)
        if status in _PROMISES:
            raise ConnectionBroken(f"status {status} without the statement that it did not run")
        if status < 300 and answer.header(names.RESPONSE_SEAL) is None:
            raise ConnectionBroken("a success without its seal")
        if answer.header(b"content-encoding") is not None:
            raise ConnectionBroken("an encoded body")

    def _note_load(self, endpoint: Endpoint, answer: Incoming) -> None:
        """Take over the load: running, waiting and slots, separated by commas."""
        fields = (answer.header(names.SERVER_LOAD) or b"").split(b",")
        if len(fields) >= 2 and all(item.strip().isdigit() for item in fields):
            now = asyncio.get_running_loop().time()
            self._reports.update(endpoint.name, int(fields[0]), int(fields[1]), now)


def _is_refusal(answer: Incoming) -> bool:
    """Tell whether a runner states that it did not run the request."""
    return answer.header(names.NOT_EXECUTED) is not None or answer.status == _MISDIRECTED


def _encode(endpoint: Endpoint, req: Request, raw: ProxyState) -> bytes:
    call = raw.call
    left_s = raw.deadline - asyncio.get_running_loop().time()
    headers = call.headers
    if raw.last_event:
        headers = [item for item in headers if item[0] != names.LAST_EVENT_ID]
    headers = [
        *headers,
        (names.DEADLINE_MS, str(max(1, int(left_s * 1000))).encode()),
        (names.EXPECT_INSTANCE, endpoint.name.encode()),
        (names.REQUEST_URGENCY, str(min(names.LOWEST_URGENCY, req.tier - 1)).encode()),
    ]
    if req.workspace:
        headers.append((names.TENANT_ID, req.workspace.encode()))
    if raw.last_event:
        headers.append((names.LAST_EVENT_ID, raw.last_event))
    if call.body or call.method not in _NO_BODY:
        headers.append((b"content-length", str(len(call.body)).encode()))
    line = call.method + b" " + call.target + b" HTTP/1.1\r\n"
    return line + encode_headers(headers) + CRLF + call.body
