"""Fake of the platform's log, in memory or served over HTTP, with fault injection."""

import argparse
import asyncio
import contextlib
import itertools
import random
import socket
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from pydantic import ConfigDict, TypeAdapter, ValidationError
from sanic import Request, Sanic
from sanic.response import HTTPResponse, json

from .errors import BadRequest, LacewingError, LogUnavailable, LogUncertain
from .log import Log, Page, Record

DEFAULT_RETENTION_S = 86_400.0
DEFAULT_APPEND_LIMIT = 400.0
MAX_WAIT_S = 30.0


@dataclass(slots=True)
class LogFaults:
    """Faults of a log; each count is decremented when its fault occurs.

    Attributes:
        unavailable: True to fail every operation with ``LogUnavailable``.
        slow_s: Delay before every operation takes effect, in seconds.
        lose_replies: Number of appends that take effect but get no reply.
        lose_appends: Number of appends that have no effect and get no reply.
        late_appends: Number of appends that get no reply and take effect ``late_s`` later.
        late_s: Delay of late appends in seconds.
        lose_share: Fraction of appends, from 0 to 1, that take effect but get no reply.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    unavailable: bool = False
    slow_s: float = 0.0
    lose_replies: int = 0
    lose_appends: int = 0
    late_appends: int = 0
    late_s: float = 1.0
    lose_share: float = 0.0


_FAULTS = TypeAdapter(LogFaults)


class _Stream:
    def __init__(self) -> None:
        self.records: list[Record] = []
        self.next = 0
        self.appended = asyncio.Event()

    @property
    def first(self) -> int:
        return self.records[0].offset if self.records else self.next

    def append(self, data: list[dict[str, Any]], now: float) -> list[int]:
        offsets = list(range(self.next, self.next + len(data)))
        self.records += [Record(at, now, item) for at, item in zip(offsets, data, strict=True)]
        self.next += len(data)
        self.appended.set()
        self.appended = asyncio.Event()
        return offsets

    def expire(self, oldest: float) -> None:
        kept = next((i for i, item in enumerate(self.records) if item.time >= oldest), None)
        if kept is None:
            self.records = []
        elif kept:
            del self.records[:kept]


class MemoryLog(Log):
    """An append-only log in memory.

    Args:
        retention_s: Time after which a record expires, in seconds.
        append_limit: Rate limit of appends per second (token bucket that holds one second).
        clock: Wall clock in seconds.
        seed: Seed of the random faults.

    Attributes:
        faults: Active faults; may be replaced or changed at any time.
        appends: Number of appends that took effect.
    """

    def __init__(
        self,
        retention_s: float = DEFAULT_RETENTION_S,
        append_limit: float = DEFAULT_APPEND_LIMIT,
        clock: Callable[[], float] = time.time,
        seed: int = 0,
    ) -> None:
        self.faults = LogFaults()
        self.appends = 0
        self.retention_s = retention_s
        self._append_limit = append_limit
        self._clock = clock
        self._random = random.Random(seed)
        self._streams: dict[str, _Stream] = {}
        self._tokens = append_limit
        self._refilled = clock()

    def set_faults(self, **members: Any) -> None:
        """Replace the active faults; members not given are reset to their defaults."""
        self.faults = LogFaults(**members)

    async def append(self, stream: str, records: list[dict[str, Any]]) -> list[int]:
        """See ``Log.append``."""
        self._check_available()
        self._consume_append_token()
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
            self._check_available()
        faults = self.faults
        if faults.lose_appends > 0:
            faults.lose_appends -= 1
            raise LogUncertain("the append got no reply and had no effect")
        if faults.late_appends > 0:
            faults.late_appends -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(faults.late_s, self._append, stream, records)
            raise LogUncertain("the append got no reply yet and takes effect later")
        offsets = self._append(stream, records)
        if faults.lose_replies > 0:
            faults.lose_replies -= 1
            raise LogUncertain("the reply to the append was lost")
        if faults.lose_share and self._random.random() < faults.lose_share:
            raise LogUncertain("the reply to the append was lost")
        return offsets

    async def read(self, stream: str, start: int, limit: int = 500, wait_s: float = 0.0) -> Page:
        """See ``Log.read``."""
        self._check_available()
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
            self._check_available()
        found = self._stream(stream)
        if start >= found.next and wait_s > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(found.appended.wait(), min(wait_s, MAX_WAIT_S))
            self._check_available()
        return self._page(stream, start, limit)

    def records(self, stream: str) -> list[Record]:
        """Return the records of a stream that have not expired, without injecting faults."""
        return list(self._stream(stream).records)

    def _check_available(self) -> None:
        if self.faults.unavailable:
            raise LogUnavailable("the log is unavailable")

    def _consume_append_token(self) -> None:
        now = self._clock()
        grown = self._tokens + max(0.0, now - self._refilled) * self._append_limit
        self._tokens, self._refilled = min(self._append_limit, grown), now
        if self._tokens < 1:
            raise LogUnavailable("the rate limit of appends is exceeded")
        self._tokens -= 1

    def _stream(self, name: str) -> _Stream:
        found = self._streams.setdefault(name, _Stream())
        found.expire(self._clock() - self.retention_s)
        return found

    def _append(self, stream: str, records: list[dict[str, Any]]) -> list[int]:
        self.appends += 1
        return self._stream(stream).append(records, self._clock())

    def _page(self, stream: str, start: int, limit: int) -> Page:
        found = self._stream(stream)
        skip = max(0, start - found.first)
        records = found.records[skip : skip + limit]
        return Page(records, found.first, found.next, self._clock(), self.retention_s)


_server_numbers = itertools.count(1)


class LogServer:
    """Serves a ``MemoryLog`` over HTTP in the running event loop.

    ``POST /faults`` with the members of ``LogFaults`` replaces the active faults, ``GET /faults``
    returns them.

    Args:
        log: The log to serve.
    """

    def __init__(self, log: MemoryLog) -> None:
        self.log = log
        self.address = ""
        self._app = Sanic(f"fake_log_{next(_server_numbers)}", configure_logging=False)
        # Sanic patches its protocol class on startup, which fails for a second app in the process.
        self._app.config.TOUCHUP = False
        self._app.add_route(self._append, "/streams/<stream:str>", methods=["POST"])
        self._app.add_route(self._read, "/streams/<stream:str>", methods=["GET"])
        self._app.add_route(self._set_faults, "/faults", methods=["POST"])
        self._app.add_route(self._get_faults, "/faults", methods=["GET"], name="get_faults")
        self._server: Any = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen and serve.

        Args:
            host: IP address.
            port: Port; 0 picks a free one.

        Returns:
            Address of the server, ``IP:port``.
        """
        sock = socket.create_server((host, port))
        self.address = f"{host}:{sock.getsockname()[1]}"
        self._server = await self._app.create_server(
            sock=sock, return_asyncio_server=True, access_log=False
        )
        await self._server.startup()
        return self.address

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is None:
            return
        self._server.close()
        for conn in list(self._server.connections):
            conn.abort()
        await self._server.wait_closed()
        self._server = None

    async def _append(self, request: Request, stream: str) -> HTTPResponse | None:
        body = request.json
        records = body.get("records") if isinstance(body, dict) else None
        if not isinstance(records, list) or not all(isinstance(item, dict) for item in records):
            return _refuse(BadRequest("records must be a list of objects"))
        # An append that was received takes effect even if its client disconnects.
        task = asyncio.ensure_future(self.log.append(stream, records))
        try:
            return json({"offsets": await asyncio.shield(task)})
        except LogUnavailable as exc:
            return _refuse(exc)
        except LogUncertain:
            if request.transport is not None:
                request.transport.close()
            return None

    async def _read(self, request: Request, stream: str) -> HTTPResponse:
        try:
            page = await self.log.read(
                stream,
                int(request.args.get("from", 0)),
                int(request.args.get("limit", 500)),
                int(request.args.get("wait_ms", 0)) / 1000,
            )
        except ValueError as exc:
            return _refuse(BadRequest(str(exc)))
        except LogUnavailable as exc:
            return _refuse(exc)
        return json(asdict(page))

    async def _set_faults(self, request: Request) -> HTTPResponse:
        try:
            self.log.faults = _FAULTS.validate_python(request.json)
        except ValidationError as exc:
            return _refuse(BadRequest(str(exc)))
        return json(asdict(self.log.faults))

    async def _get_faults(self, _request: Request) -> HTTPResponse:
        return json(asdict(self.log.faults))


def _refuse(exc: LacewingError) -> HTTPResponse:
    return json(exc.to_body(), status=exc.status)


async def _serve(host: str, port: int, log: MemoryLog) -> None:
    server = LogServer(log)
    print(f"fake_log serves {await server.start(host, port)}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Serve a log until the process is terminated."""
    parser = argparse.ArgumentParser(prog="python -m lacewinghub.fake_log", description=__doc__)
    parser.add_argument("--host", default="127.0.0.1", help="IP address to listen on")
    parser.add_argument("--port", type=int, default=0, help="port; 0 picks a free one")
    parser.add_argument("--retention", type=float, default=DEFAULT_RETENTION_S, help="seconds")
    parser.add_argument("--append-limit", type=float, default=DEFAULT_APPEND_LIMIT, help="per s")
    args = parser.parse_args()
    asyncio.run(_serve(args.host, args.port, MemoryLog(args.retention, args.append_limit)))


if __name__ == "__main__":
    main()
