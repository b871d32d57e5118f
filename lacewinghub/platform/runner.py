"""Client for the platform's runners: encodes requests and validates responses."""

import asyncio
import contextlib
import json
import re
from collections.abc import AsyncGenerator
from typing import Any
from urllib.parse import quote

from loguru import logger

from ..continuation import continues_stream
from ..endpoint import ConnectFailed, EndpointCrashed
from ..endpoint_statements import EndpointStatements
from ..httpclient import ConnectionBroken, ConnectionFailed, ConnectionPool, HttpConnection
from ..httpmessage import COPIED_BYTES, CRLF, Incoming, encode_headers, end_to_end
from ..incarnations import EndpointRestarted, needs_proof
from ..move_client import MoveAnswer, MoveOutcome, RunMoveClient
from ..proxyclient import EndpointBusy, LinkCut, ProxyClient, ResponseHead
from ..request import ProxyState, Request, RunCopy
from ..tables import Endpoint
from ..tunnel import MAX_PAUSE_S, Statement
from . import names
from .fields import count, decimal
from .report import decode_report

# With this status a runner states that it did not execute the request, also without the header.
_MISDIRECTED = 421
_UNAVAILABLE = 503
# Clients of the platform understand these statuses as a promise that the request was not executed.
_NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# Responses to other requests that are skipped before a connection is closed.
MAX_FOREIGN = 2
# A body that is not passed on is read so that its connection can be reused, up to these limits.
MAX_SKIPPED_BYTES = 64 * 1024
MAX_SKIP_S = 0.5
REPORT_LIMIT_S = 0.5  # Longest wait for a report before a request is sent.
_NO_BODY = frozenset((b"GET", b"HEAD", b"DELETE"))
# A handle becomes a part of a header and of a path.
_HANDLE = re.compile(r"[!-~]{1,200}")
_MOVE_OUTCOMES = {404: MoveOutcome.NO_RUN, 409: MoveOutcome.BUSY}


class RunnerClient(ProxyClient, RunMoveClient):
    """Sends requests to runners, and moves their runs.

    Args:
        pool: Connections to runners.
        statements: Receives what runners state in their responses.
    """

    def __init__(self, pool: ConnectionPool, statements: EndpointStatements) -> None:
        self._pool = pool
        self._statements = statements
        # Set once a runner has been asked for its incarnation; by its address.
        self._asking: dict[str, asyncio.Event] = {}

    async def stream(
        self, endpoint: Endpoint, req: Request
    ) -> AsyncGenerator[ResponseHead | bytes, None]:
        """Send a request to a runner; see ``ProxyClient.stream``."""
        state = req.proxy
        assert state is not None
        # A request that is sent again may meet a late copy of the answer to its first sending.
        is_repeat = state.sent > 1 or state.continued is not None or bool(state.last_event)
        conn = await self._connect(endpoint, req, fresh=not state.repeatable or is_repeat)
        if conn.via:
            logger.bind(request_id=req.id, endpoint=endpoint.name, via=conn.via).info(
                "attempt goes through another node"
            )
        response: Incoming | None = None
        state.abort = conn.close
        conn.may_give_up = state.repeatable or state.resumable
        conn.expects_body = state.request.method != b"HEAD"
        sent_at = asyncio.get_running_loop().time()
        try:
            for data in _encode(endpoint, req, state):
                conn.send(data)
            response = await self._matching_response(conn, req)
            self._report_statements(endpoint, req.pool, response, sent_at)
            _share_statement(conn, response)
            await self._check_response(conn, endpoint, response)
            conn.may_give_up = state.resumable
            yield ResponseHead(response.status, end_to_end(response.headers), response.framed)
            while data := await conn.read_body(response):
                yield data
        except ConnectionBroken as exc:
            response = None
            blameless = self._is_blameless(endpoint, conn, exc)
            raise EndpointCrashed(
                f"endpoint {endpoint.name!r}: {exc.message}",
                endpoint=endpoint.name,
                ended=exc.details.get("ended", False) and not blameless,
                blameless=blameless,
            ) from exc
        finally:
            if response is not None and response.complete and conn.discard(response):
                self._pool.put(endpoint.address, conn, response)
            else:
                conn.close()

    async def _connect(self, endpoint: Endpoint, req: Request, fresh: bool) -> HttpConnection:
        """Return a connection to a runner; to the announced process if the request depends on it.

        Raises:
            ConnectFailed: If there is none.
        """
        conn: HttpConnection | None = None
        try:
            conn = await self._pool.get(endpoint.address, fresh, endpoint.name)
            if not needs_proof(req) or self._is_proven(endpoint, conn):
                return conn
            if conn.reused:
                conn.close()  # The runner may be closing it just now.
                conn = await self._pool.get(endpoint.address, True, endpoint.name)
            if await self._needs_no_call(endpoint, conn, req):
                return conn
            return await self._ask_for_proof(endpoint, conn, req)
        except ConnectionFailed as exc:
            raise _connect_error(endpoint, exc) from exc
        except ConnectionBroken as exc:
            if conn is not None and self._is_blameless(endpoint, conn, exc):
                raise LinkCut(exc.message, endpoint=endpoint.name) from exc
            raise ConnectFailed(exc.message, endpoint=endpoint.name) from exc

    def _is_proven(self, endpoint: Endpoint, conn: HttpConnection) -> bool:
        """Return whether the process of a connection is the announced one, as far as it can tell.

        Raises:
            EndpointRestarted: If the endpoint is announced with other software by now.
        """
        try:
            return not self._statements.incarnations.is_needed(endpoint, conn)
        except EndpointRestarted:
            conn.close()
            raise

    async def _needs_no_call(self, endpoint: Endpoint, conn: HttpConnection, req: Request) -> bool:
        """Wait for a call that is under way on another connection to the runner.

        Many connections that are opened at once need one call. Like after a call of its own, a new
        stream begins if there is no answer in time.

        Raises:
            ConnectionBroken: If the connection ended meanwhile.
            EndpointRestarted: If the endpoint is announced with other software by now.
        """
        asked = self._asking.get(endpoint.address)
        if asked is None or conn.via:
            return False
        is_answered = True
        try:
            async with asyncio.timeout(REPORT_LIMIT_S):
                await asked.wait()
        except TimeoutError:
            is_answered = False
        if not conn.is_idle:
            conn.close()
            raise ConnectionBroken("the connection ended before it was used")
        if self._is_proven(endpoint, conn):
            return True
        return not is_answered and not continues_stream(req)

    async def _ask_for_proof(
        self, endpoint: Endpoint, conn: HttpConnection, req: Request
    ) -> HttpConnection:
        """Ask the process of a new connection for its incarnation.

        Returns:
            A connection to the same process, not a proven one if a new stream got no whole answer.

        Raises:
            ConnectionFailed: If the runner closed this connection and accepts no other one.
            ConnectionBroken: If the connection ended, or a stream that goes on got no whole answer.
            EndpointRestarted: If it is not the announced process.
        """
        keeps = False
        asked = self._asking[endpoint.address] = asyncio.Event()
        try:
            async with asyncio.timeout(REPORT_LIMIT_S):
                response, data = await _exchange(conn, endpoint.address, b"GET", names.REPORT_PATH)
            if response.status == 200 and not response.framed and not _is_json(data):
                # It may state the start in the part that was cut off.
                if continues_stream(req):
                    raise ConnectionBroken("the report of the runner was cut off")
            else:
                incarnation = decode_report(data) if response.status == 200 else None
                self._statements.incarnations.check(endpoint, conn, incarnation)
                keeps = response.keep_alive and response.framed and conn.discard(response)
        except TimeoutError as exc:
            if continues_stream(req):
                raise ConnectionBroken("the runner does not report its incarnation") from exc
        finally:
            asked.set()
            if self._asking.get(endpoint.address) is asked:
                del self._asking[endpoint.address]
            if not keeps:
                conn.close()
        return conn if keeps else await self._pool.get(endpoint.address, True, endpoint.name)

    def _is_blameless(
        self, endpoint: Endpoint, conn: HttpConnection, exc: ConnectionBroken
    ) -> bool:
        """Return whether a connection broke for another reason than its runner."""
        if exc.details.get("lost_tunnel"):
            return True
        explains = self._pool.connector.explains_break(endpoint.address, conn.via)
        return bool(exc.details.get("lost")) and explains

    async def move_run(
        self, source: Endpoint, req: Request, target: Endpoint, timeout_s: float
    ) -> MoveAnswer:
        """Ask a runner to move a run; see ``RunMoveClient.move_run``."""
        order = {"id": req.id, "target": target.address, "last": True}
        body = json.dumps(order, separators=(",", ":")).encode()
        try:
            async with asyncio.timeout(timeout_s):
                response, data = await self._call(
                    source.address, b"POST", names.KV_MOVE_PATH, body, source.name
                )
        except ConnectionFailed:
            return MoveAnswer(MoveOutcome.UNREACHED)
        except (ConnectionBroken, TimeoutError):
            return MoveAnswer(MoveOutcome.UNANSWERED)
        return _move_answer(source, response.status, data, response.framed)

    async def free_copy(self, copy: RunCopy, timeout_s: float) -> None:
        """Free a copied state; see ``RunMoveClient.free_copy``."""
        path = names.KV_HANDLE_PATH + quote(copy.handle, safe="").encode()
        with contextlib.suppress(ConnectionFailed, ConnectionBroken, TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._call(copy.source, b"DELETE", path)

    async def _call(
        self, address: str, method: bytes, path: bytes, body: bytes = b"", endpoint: str = ""
    ) -> tuple[Incoming, bytes]:
        """Send a call that is no client's request; return the head and the body of its answer.

        Without the name of its endpoint the connection is direct.

        Raises:
            ConnectionFailed: If nothing was sent.
            ConnectionBroken: If the connection ended before the answer.
        """
        conn = await self._pool.get(address, True, endpoint)
        try:
            return await _exchange(conn, address, method, path, body)
        finally:
            conn.close()

    async def _matching_response(self, conn: HttpConnection, req: Request) -> Incoming:
        """Wait for the response that has the request's id; skip late responses to others."""
        for _ in range(MAX_FOREIGN + 1):
            response = await conn.read_head()
            attempt_id = response.header(names.ATTEMPT_ID)
            if attempt_id is None:
                # Only a refusal may lack the id, and not where it could be the copy of an earlier
                # one. Any other response without it could belong to another request.
                if _is_refusal(response) and not conn.reused:
                    return response
                raise ConnectionBroken("a response without the id of its request")
            if attempt_id.decode("latin-1") == req.id:
                return response
            await _skip_body(conn, response)
            conn.discard(response)
        raise ConnectionBroken("only responses to other requests")

    async def _check_response(
        self, conn: HttpConnection, endpoint: Endpoint, response: Incoming
    ) -> None:
        """Raise an error for a response that must not be passed on."""
        status = response.status
        if _is_refusal(response):
            with contextlib.suppress(ConnectionBroken):
                await _skip_body(conn, response)
            raise EndpointBusy(f"endpoint {endpoint.name!r} answered {status}", status=status)
        if status in _NOT_EXECUTED_STATUSES:
            raise ConnectionBroken(f"status {status} without the header that it was not executed")
        if status < 300 and response.header(names.RESPONSE_SEAL) is None:
            raise ConnectionBroken("a successful response without a seal")
        if response.header(b"content-encoding") is not None:
            raise ConnectionBroken("an encoded body")

    def _report_statements(
        self, endpoint: Endpoint, pool: str, response: Incoming, sent_at: float
    ) -> None:
        """Record what the runner states of itself; the answer is passed on whatever becomes of it.

        Args:
            endpoint: The runner.
            pool: Name of its pool.
            response: Its response.
            sent_at: Loop time at which the request was sent, in seconds.
        """
        try:
            if not _is_refusal(response):
                self._statements.pauses.on_accepted(endpoint.name, sent_at)
            self._report_load(endpoint, response)
            self._report_limit(endpoint, response)
            self._report_brittle(endpoint, pool, response)
            self._report_leaving(endpoint, response)
            self._report_pause(endpoint, response)
        except Exception:
            logger.bind(endpoint=endpoint.name).exception("unexpected error in a statement")

    def _report_load(self, endpoint: Endpoint, response: Incoming) -> None:
        """Record the stated load: running, waiting, slots and perhaps how slow its host is.

        The fourth figure is the time that work takes now, in hundredths of the usual time.
        """
        text = (response.header(names.SERVER_LOAD) or b"").decode("latin-1")
        figures = [count(item) for item in text.split(",")]
        running, waiting = (*figures, None, None)[:2]
        if running is not None and waiting is not None and None not in figures:
            now = asyncio.get_running_loop().time()
            slowness = figures[3] / 100 if len(figures) > 3 and figures[3] else None
            self._statements.loads.update(endpoint.name, running, waiting, now, slowness)

    def _report_limit(self, endpoint: Endpoint, response: Incoming) -> None:
        """Record the stated rate of requests, a decimal number."""
        text = response.header(names.SERVER_LIMIT)
        if text is None:
            self._statements.quotas.record(endpoint.name, None)
            return
        per_s = decimal(text.decode("latin-1"))
        if per_s is not None:
            self._statements.quotas.record(endpoint.name, per_s)

    def _report_brittle(self, endpoint: Endpoint, pool: str, response: Incoming) -> None:
        """Record the stated number of refusals; a 421 comes from another runner at the address."""
        if self._statements.brittle is None or response.status == _MISDIRECTED:
            return
        text = response.header(names.SERVER_BRITTLE)
        bears_per_s = None if text is None else decimal(text.decode("latin-1"))
        if text is None or bears_per_s is not None:
            self._statements.brittle.record(pool, endpoint.name, bears_per_s)

    def _report_leaving(self, endpoint: Endpoint, response: Incoming) -> None:
        """Record that the runner leaves."""
        if _states_leaving(response):
            self._statements.on_leaving(endpoint.name)

    def _report_pause(self, endpoint: Endpoint, response: Incoming) -> None:
        """Record for how long a runner that refuses a request wants none of this node."""
        pause_s = _stated_pause_s(response)
        if pause_s is not None:
            self._statements.pauses.record(endpoint.name, pause_s)


async def _exchange(
    conn: HttpConnection, address: str, method: bytes, path: bytes, body: bytes = b""
) -> tuple[Incoming, bytes]:
    """Send a call that is no client's request; return the head and the body of its answer.

    Nothing shows that the body is whole if it has no framing, apart from what it says.

    Raises:
        ConnectionBroken: If the connection ended before the answer.
    """
    headers = [(b"host", address.encode())]
    if body:
        headers.append((b"content-type", b"application/json"))
        headers.append((b"content-length", str(len(body)).encode()))
    line = method + b" " + path + b" HTTP/1.1\r\n"
    conn.send(line + encode_headers(headers) + CRLF + body)
    response = await conn.read_head()
    answer = b""
    while data := await conn.read_body(response):
        answer += data
        if len(answer) > MAX_SKIPPED_BYTES:
            raise ConnectionBroken("the answer to a call is too long")
    return response, answer


async def _skip_body(conn: HttpConnection, response: Incoming) -> None:
    """Read the rest of a body that is not passed on.

    Raises:
        ConnectionBroken: If the body is too long or does not end in time.
    """
    skipped = 0
    try:
        async with asyncio.timeout(MAX_SKIP_S):
            while data := await conn.read_body(response):
                skipped += len(data)
                if skipped > MAX_SKIPPED_BYTES:
                    raise ConnectionBroken("the body of another response is too long")
    except TimeoutError as exc:
        raise ConnectionBroken("the body of another response does not end") from exc


def _connect_error(endpoint: Endpoint, exc: ConnectionFailed) -> ConnectFailed:
    if not exc.details.get("blameless"):
        return ConnectFailed(exc.message, endpoint=endpoint.name)
    isolated = exc.details.get("isolated", False)
    return LinkCut(exc.message, endpoint=endpoint.name, isolated=isolated)


def _share_statement(conn: HttpConnection, response: Incoming) -> None:
    """Tell the node through which a response came that its runner leaves or wants a pause."""
    tunnel = conn.tunnel
    if tunnel is None:
        return
    leaving, pause_s = _states_leaving(response), _stated_pause_s(response)
    if leaving or pause_s is not None:
        pause_s = None if pause_s is None else min(pause_s, MAX_PAUSE_S)
        tunnel.send_statement(Statement(leaving=leaving, pause_s=pause_s))


def _states_leaving(response: Incoming) -> bool:
    """Tell whether the runner leaves; a 421 comes from another runner at its address."""
    return response.header(names.SERVER_LEAVING) == b"1" and response.status != _MISDIRECTED


def _stated_pause_s(response: Incoming) -> float | None:
    """Return for how long a runner that refuses a request wants none, in seconds."""
    text = response.header(names.RETRY_AFTER)
    if response.status != _UNAVAILABLE or text is None:
        return None
    return decimal(text.decode("latin-1"))


def _is_refusal(response: Incoming) -> bool:
    """Tell whether a runner states that it did not execute the request."""
    return response.header(names.NOT_EXECUTED) is not None or response.status == _MISDIRECTED


def _move_answer(source: Endpoint, status: int, data: bytes, framed: bool = True) -> MoveAnswer:
    """Decode the answer to a call that moves a run.

    Args:
        source: The called runner.
        status: Status of its answer.
        data: Body of its answer.
        framed: False if the end of the connection ended the body.
    """
    if status in _MOVE_OUTCOMES:
        return MoveAnswer(_MOVE_OUTCOMES[status])
    copy = _copy(source, data)
    if status == 200:
        # Without its handle the run can be continued nowhere, like one whose answer was lost.
        return MoveAnswer(MoveOutcome.MOVED if copy else MoveOutcome.UNANSWERED, copy)
    if status == _UNAVAILABLE:
        if copy is not None:
            return MoveAnswer(MoveOutcome.NOT_COPIED, copy)
        # The handle of a stopped run may be missing only because the body was cut off.
        is_whole = framed or _is_json(data)
        return MoveAnswer(MoveOutcome.REFUSED if is_whole else MoveOutcome.UNANSWERED)
    return MoveAnswer(MoveOutcome.UNANSWERED if status >= 500 else MoveOutcome.REFUSED)


def _is_json(data: bytes) -> bool:
    try:
        json.loads(data)
    except ValueError:
        return False
    return True


def _copy(source: Endpoint, data: bytes) -> RunCopy | None:
    """Decode the handle of a copied state; None if there is none that could be sent on."""
    try:
        body: Any = json.loads(data)
    except ValueError:
        return None
    handle = body.get("handle") if isinstance(body, dict) else None
    text = str(handle) if isinstance(handle, str | int) else ""
    return RunCopy(source.address, text) if _HANDLE.fullmatch(text) else None


def _encode(
    endpoint: Endpoint, req: Request, state: ProxyState
) -> tuple[bytes, ...] | tuple[bytes, bytes | bytearray]:
    """Return the request in pieces; a large body is not copied."""
    request = state.request
    remaining_s = state.deadline - asyncio.get_running_loop().time()
    headers = request.headers
    if state.last_event:
        headers = [item for item in headers if item[0] != names.LAST_EVENT_ID]
    headers = [
        *headers,
        (names.DEADLINE_MS, str(max(1, int(remaining_s * 1000))).encode()),
        (names.EXPECT_INSTANCE, endpoint.name.encode()),
        (names.REQUEST_URGENCY, str(min(names.LOWEST_URGENCY, req.tier - 1)).encode()),
    ]
    if req.workspace:
        headers.append((names.TENANT_ID, req.workspace.encode()))
    if state.last_event:
        headers.append((names.LAST_EVENT_ID, state.last_event))
    if state.continued is not None:
        copy = state.continued
        headers.append((names.KV_FROM, f"{copy.source}/{copy.handle}".encode()))
    if request.body or request.method not in _NO_BODY:
        headers.append((b"content-length", str(len(request.body)).encode()))
    line = request.method + b" " + request.target + b" HTTP/1.1\r\n"
    head = line + encode_headers(headers) + CRLF
    if len(request.body) <= COPIED_BYTES:
        return (head + request.body,)
    return head, request.body
