"""Fake of the platform's metadata store.

Topics whose name begins with ``keyed.`` keep the newest record per key, others have no keys.

Faults are set per listener. Each listener has an address of its own, so that the store can fail for
some nodes and serve others.
"""

import asyncio
import base64
import copy
import json
import struct
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any
from urllib.parse import parse_qs

from ..httpmessage import Incoming
from ..httpserver import ClientConnection, HttpHandler, HttpServer
from ..responder import Responder

PAGE_ITEMS = 500
PAGE_KB = 1024  # Size of a page of records, unless the caller names another one.
KEYED_PREFIX = "keyed."


class StoreFault(StrEnum):
    """Fault that a listener injects into every call."""

    NONE = "none"
    BUSY = "busy"  # 503, without any effect.
    MANY = "many"  # 429, without any effect.
    RESET = "reset"  # Closes the connection.
    SILENT = "silent"  # Never responds.
    SLOW = "slow"  # Delays the response by ``slow_s``.


@dataclass(slots=True)
class _Topic:
    """Records from offset ``first`` on, and the newest record per key, which never expires."""

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class FakeStore:
    """In-memory store.

    Attributes:
        calls: Number of HTTP calls by path.
        era: Number of times the store came back from a copy, stated in each answer.
    """

    def __init__(self) -> None:
        self.calls: dict[str, int] = {}
        self.era = 0
        self._topics: dict[str, _Topic] = {}
        self._changed = asyncio.Event()
        self._listeners: list[StoreListener] = []

    async def open_listener(self, host: str = "127.0.0.1") -> "StoreListener":
        """Start a listener with faults of its own."""
        listener = StoreListener(self)
        await listener.start(host)
        self._listeners.append(listener)
        return listener

    async def stop(self) -> None:
        """Stop all listeners."""
        for listener in self._listeners:
            await listener.stop()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a record with a JSON value; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self.put_raw(topic, key, data)

    def put_raw(self, topic: str, key: str, data: bytes) -> None:
        """Append a record with raw bytes; an empty value deletes the key."""
        found = self._topic(topic)
        if data:
            found.newest[key] = (found.end, data)
        else:
            found.newest.pop(key, None)
        self.append_plain(topic, bytes([len(key)]) + key.encode() + data)

    def append_plain(self, topic: str, record: bytes) -> None:
        """Append a record as it is, without any key."""
        self._topic(topic).records.append(record)
        self._changed.set()
        self._changed = asyncio.Event()

    def append(self, topic: str, data: bytes, at: int | None = None) -> tuple[int | None, int]:
        """Append encoded records, all or none.

        Args:
            topic: Name of the topic.
            data: Records of length and content; that of a keyed topic is key length, key and value.
            at: Offset at which the topic has to end; None for any.

        Returns:
            The offset of the first record, or None if the condition does not hold, and the end.
        """
        offset = self._topic(topic).end
        if at is not None and at != offset:
            return None, offset
        position = 0
        while position < len(data):
            (length,) = struct.unpack_from(">I", data, position)
            record = data[position + 4 : position + 4 + length]
            if topic.startswith(KEYED_PREFIX):
                key_end = 1 + record[0]
                self.put_raw(topic, record[1:key_end].decode(), record[key_end:])
            else:
                self.append_plain(topic, record)
            position += 4 + length
        return offset, self._topic(topic).end

    def copy(self) -> dict[str, _Topic]:
        """Return a copy of all topics."""
        return copy.deepcopy(self._topics)

    def restore(self, topics: dict[str, _Topic]) -> None:
        """Lose all records that are not part of a copy; their offsets are given out again."""
        self._topics = copy.deepcopy(topics)
        self.era += 1

    def compact(self, topic: str) -> None:
        """Expire all records; the newest one per key stays available through ``newest``."""
        found = self._topic(topic)
        found.first = found.end
        found.records.clear()

    def newest(self, topic: str, after: str) -> dict[str, Any]:
        """Return a page of the newest records per key, in order of keys after ``after``."""
        found = self._topic(topic)
        keys = sorted(key for key in found.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(found.newest[key][1]).decode(),
                "offset": found.newest[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        return {"items": items, "has_more": len(keys) > PAGE_ITEMS, "end": found.end}

    def first(self, topic: str) -> int:
        """Return the first offset that has not expired."""
        return self._topic(topic).first

    async def read(
        self, topic: str, start: int, wait_s: float, max_kb: int = PAGE_KB
    ) -> bytes | None:
        """Return records from an offset on, or None if the log does not have that offset."""
        found = self._topic(topic)
        if start >= found.end and wait_s > 0:
            changed = self._changed
            try:
                async with asyncio.timeout(wait_s):
                    while start >= found.end:
                        await changed.wait()
                        changed = self._changed
            except TimeoutError:
                pass
        found = self._topic(topic)  # The store may have been restored meanwhile.
        if not found.first <= start <= found.end:
            return None
        page = [struct.pack(">QQ", found.end, found.first)]
        size = 0
        for record in found.records[start - found.first :]:
            size += len(record)
            if size > max_kb * 1024 and len(page) > 1:
                break
            page.append(struct.pack(">I", len(record)) + record)
        return b"".join(page)

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())


class StoreListener(HttpHandler):
    """HTTP listener of the store with faults of its own.

    Attributes:
        fault: Fault that is injected into every call.
        address: ``IP:port``.
    """

    def __init__(self, store: FakeStore) -> None:
        self.fault = StoreFault.NONE
        self.slow_s = 0.25
        self.address = ""
        self._store = store
        self._server = HttpServer(self)
        self._severed: set[ClientConnection] = set()

    async def start(self, host: str) -> None:
        """Listen on a free port and serve."""
        self.address = f"{host}:{await self._server.start(host, 0)}"

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.close()

    def fail(self, fault: StoreFault) -> None:
        """Inject a fault from now on, also into calls that are waiting."""
        self.fault = fault
        if fault is StoreFault.RESET:
            for conn in list(self._server.connections):
                conn.abort()

    def sever(self) -> None:
        """Let all open connections fall silent for good; new ones are served."""
        self._severed |= self._server.connections

    async def handle(self, incoming: Incoming, out: Responder) -> None:
        """Serve one call."""
        path, _, query = incoming.target.decode().partition("?")
        self._store.calls[path] = self._store.calls.get(path, 0) + 1
        if await self._inject_fault(out):
            return
        args = {key: values[0] for key, values in parse_qs(query).items()}
        if path == "/v1/log-newest":
            page = self._store.newest(args["topic"], args.get("after", ""))
            self._respond(out, 200, json.dumps(page).encode())
        elif path == "/v1/log-read":
            wait_s = int(args.get("wait_ms", "0")) / 1000
            max_kb = int(args.get("max_kb", PAGE_KB))
            data = await self._store.read(args["topic"], int(args["from"]), wait_s, max_kb)
            if await self._inject_fault(out):
                return
            if data is None:
                first = self._store.first(args["topic"])
                self._respond(out, 410, json.dumps({"first": first}).encode())
            else:
                self._respond(out, 200, data)
        elif path == "/v1/log-append":
            at = int(args["at"]) if "at" in args else None
            offset, end = self._store.append(args["topic"], incoming.take_body(), at)
            if offset is None:
                self._respond(out, 412, json.dumps({"end": end}).encode())
            else:
                self._respond(out, 200, json.dumps({"offset": offset, "end": end}).encode())
        else:
            self._respond(out, 404, b"")

    def _respond(self, out: Responder, status: int, body: bytes) -> None:
        headers = [
            (b"content-type", b"application/json"),
            (b"store-era", b"%d" % self._store.era),
        ]
        out.send(status, headers, body)

    async def _inject_fault(self, out: Responder) -> bool:
        if out.conn in self._severed:
            await asyncio.Event().wait()
        if self.fault is StoreFault.SLOW:
            await asyncio.sleep(self.slow_s)
        elif self.fault is StoreFault.SILENT:
            await asyncio.Event().wait()
        elif self.fault is StoreFault.RESET:
            out.conn.abort()
            return True
        elif self.fault in (StoreFault.BUSY, StoreFault.MANY):
            self._respond(out, 503 if self.fault is StoreFault.BUSY else 429, b"")
            return True
        return False
