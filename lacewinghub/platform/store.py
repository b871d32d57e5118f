"""Client of the platform's metadata store, which is an append-only log."""

import base64
import json
import struct
from typing import Any

import aiohttp

from ..errors import LogUnavailable
from ..follower import KeyedPage, KeyedRecord, RecordsExpired
from ..nodelist import WritableKeyedTopic
from .names import LOG_APPEND_PATH, LOG_NEWEST_PATH, LOG_READ_PATH

CONNECT_TIMEOUT_S = 0.5
# A slow store answers within a quarter of a second; a silent connection is given up after this.
ANSWER_TIMEOUT_S = 1.0
PART = 0  # The keyed topics have one partition.
_ENDS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class StoreClient:
    """Makes calls to the store.

    Args:
        address: ``IP:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._session_or_none: aiohttp.ClientSession | None = None

    async def get(self, path: str, query: dict[str, Any], timeout_s: float) -> bytes:
        """Make a reading call.

        Raises:
            Expired: If the store answered that the records are gone.
            LogUnavailable: If it did not answer, or refused.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session().get(
                self._base + path, params=query, timeout=timeout
            ) as resp:
                data = await resp.read()
                if resp.status == 410:
                    raise RecordsExpired(f"{path} {query}")
                if resp.status != 200:
                    raise LogUnavailable(f"the store answered {resp.status}")
                return data
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise LogUnavailable(f"the store did not answer: {exc!r}") from exc

    async def post(self, path: str, query: dict[str, Any], body: bytes) -> None:
        """Make a writing call.

        Raises:
            LogUnavailable: If the store refused, or did not answer; it may then have written.
        """
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session().post(
                self._base + path, params=query, data=body, timeout=timeout
            ) as resp:
                await resp.read()
                if resp.status != 200:
                    raise LogUnavailable(f"the store answered {resp.status}")
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise LogUnavailable(f"the store did not answer: {exc!r}") from exc

    async def close(self) -> None:
        """Release the connections."""
        if self._session_or_none is not None:
            await self._session_or_none.close()

    def _session(self) -> aiohttp.ClientSession:
        if self._session_or_none is None:
            self._session_or_none = aiohttp.ClientSession()
        return self._session_or_none


class StoreTopic(WritableKeyedTopic):
    """A topic that keeps the newest record of each key.

    Args:
        client: Makes the calls.
        topic: Name of the topic.
    """

    def __init__(self, client: StoreClient, topic: str) -> None:
        self._client = client
        self._topic = topic

    async def newest(self) -> KeyedPage:
        """Read the newest record of each key."""
        records: list[KeyedRecord] = []
        end: int | None = None
        after: str | None = None
        while True:
            query: dict[str, Any] = {"topic": self._topic, "part": PART}
            if after is not None:
                query["after"] = after
            data = await self._client.get(LOG_NEWEST_PATH, query, ANSWER_TIMEOUT_S)
            page = _json(data)
            # The pages are no snapshot: later changes are read again from the first page's end.
            end = int(page["end"]) if end is None else end
            items = page["items"]
            records += [
                KeyedRecord(item["key"], base64.b64decode(item["value"]), int(item["offset"]))
                for item in items
            ]
            if not page["has_more"] or not items:
                return KeyedPage(records, end)
            after = items[-1]["key"]

    async def read(self, start: int, wait_s: float) -> KeyedPage:
        """Read records from an offset on."""
        query = {"topic": self._topic, "part": PART, "from": start, "wait_ms": int(wait_s * 1000)}
        data = await self._client.get(LOG_READ_PATH, query, wait_s + ANSWER_TIMEOUT_S)
        return _decode_records(data, start)

    async def put(self, key: str, value: bytes | None) -> None:
        """Append a record; None drops the key."""
        name = key.encode()
        record = bytes([len(name)]) + name + (value or b"")
        query = {"topic": self._topic, "part": PART}
        await self._client.post(LOG_APPEND_PATH, query, _LENGTH.pack(len(record)) + record)


def _json(data: bytes) -> dict[str, Any]:
    try:
        return json.loads(data)
    except ValueError as exc:
        raise LogUnavailable(f"the store's answer cannot be read: {exc}") from exc


def _decode_records(data: bytes, start: int) -> KeyedPage:
    """Decode a page: end and first offset, then records of length, key length, key and value."""
    try:
        _, first = _ENDS.unpack_from(data)
        if first > start:
            raise RecordsExpired(f"records before offset {first} are gone")
        at = _ENDS.size
        records: list[KeyedRecord] = []
        while at < len(data):
            (length,) = _LENGTH.unpack_from(data, at)
            at += _LENGTH.size
            record = data[at : at + length]
            if len(record) < length:
                raise ValueError("a record is cut short")
            at += length
            key_end = 1 + record[0]
            key, value = record[1:key_end].decode(), record[key_end:] or None
            records.append(KeyedRecord(key, value, start + len(records)))
    except (struct.error, ValueError, IndexError) as exc:
        raise LogUnavailable(f"the store's answer cannot be read: {exc}") from exc
    return KeyedPage(records, start + len(records))
