"""Client for the platform's metadata store, which is an append-only log."""

import asyncio
import base64
import json
import struct
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

import aiohttp

from ..conditional_topic import AppendConflict, Appended, ConditionalTopic
from ..errors import LogRefused, LogUnavailable
from ..follower import KeyedPage, KeyedRecord, RecordsExpired
from ..nodelist import WritableKeyedTopic
from ..plain_topic import PlainPage, PlainTopic
from .fields import count
from .names import LOG_APPEND_PATH, LOG_NEWEST_PATH, LOG_READ_PATH, STORE_ERA

CONNECT_TIMEOUT_S = 0.5
# A slow store answers within 0.25 s. A call without an answer times out after this.
ANSWER_TIMEOUT_S = 0.8
# Connections that are no longer used for new calls are closed after this; no call takes longer.
RETIRE_S = 10.0
# A page of records has at most 1 MB, a read at most as much as this node asks for by default.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
PARTITION = 0  # All topics have one partition.
_ENDS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
# Statuses with which the store states that it did nothing.
_REFUSALS = (429, 503, 507)


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Answer of the store.

    Attributes:
        data: The body.
        era: Number of times the store came back from an older copy of itself.
    """

    data: bytes
    era: int


class StoreClient:
    """Sends requests to the store.

    Args:
        address: ``IP:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._session_or_none: aiohttp.ClientSession | None = None
        self._retired: set[asyncio.Task[None]] = set()

    async def get(self, path: str, query: dict[str, Any], timeout_s: float) -> StoreAnswer:
        """Send a GET request.

        Raises:
            RecordsExpired: If the store answered that the records have expired.
            LogUnavailable: If the store refused or did not answer.
        """
        return await self._call("GET", path, query, timeout_s)

    async def post(self, path: str, query: dict[str, Any], body: bytes) -> StoreAnswer:
        """Send a POST request.

        Raises:
            AppendConflict: If a condition of the request does not hold; nothing was written.
            LogRefused: If the store refused, or was not reached; nothing was written.
            LogUnavailable: If it did not answer; the data may have been written.
        """
        return await self._call("POST", path, query, ANSWER_TIMEOUT_S, body)

    async def close(self) -> None:
        """Release the connections."""
        for task in list(self._retired):
            task.cancel()
        await asyncio.gather(*self._retired, return_exceptions=True)
        if self._session_or_none is not None:
            await self._session_or_none.close()

    async def _call(
        self, method: str, path: str, query: dict[str, Any], timeout_s: float, body: bytes = b""
    ) -> StoreAnswer:
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        session = self._session()
        try:
            async with session.request(
                method, self._base + path, params=query, data=body or None, timeout=timeout
            ) as resp:
                data = await _read_answer(resp)
                if resp.status == 410 and method == "GET":
                    raise RecordsExpired(f"{path} {query}", first=_first_offset(data))
                if resp.status == 412:
                    raise AppendConflict(f"{path} {query}")
                if resp.status in _REFUSALS:
                    raise LogRefused(f"the store answered {resp.status}")
                if resp.status != 200:
                    raise LogUnavailable(f"the store answered {resp.status}")
                return StoreAnswer(data, _era(resp))
        except aiohttp.ClientConnectorError as exc:
            raise LogRefused(f"the store was not reached: {exc!r}") from exc
        except TimeoutError as exc:
            self._retire(session)
            raise LogUnavailable(f"the store did not answer: {exc!r}") from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise LogUnavailable(f"the store did not answer: {exc!r}") from exc

    def _retire(self, session: aiohttp.ClientSession) -> None:
        """Use the other connections of a session no longer: they have probably fallen silent, too.

        Calls that are under way on them go on.
        """
        if self._session_or_none is not session:
            return
        self._session_or_none = None
        task = asyncio.get_running_loop().create_task(_close_later(session))
        self._retired.add(task)
        task.add_done_callback(self._retired.discard)

    def _session(self) -> aiohttp.ClientSession:
        if self._session_or_none is None:
            self._session_or_none = aiohttp.ClientSession()
        return self._session_or_none


async def _close_later(session: aiohttp.ClientSession) -> None:
    try:
        await asyncio.sleep(RETIRE_S)
    finally:
        await session.close()


def _era(resp: aiohttp.ClientResponse) -> int:
    text = resp.headers.get(STORE_ERA, "0")
    era = count(text)
    if era is None:
        raise LogUnavailable(f"the store's era is malformed: {text[:40]!r}")
    return era


def _first_offset(data: bytes) -> int:
    """Return the first offset that a topic has, from an answer that records have expired."""
    try:
        return max(0, int(json.loads(data)["first"]))
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return 0


async def _read_answer(resp: aiohttp.ClientResponse) -> bytes:
    """Read a body of at most ``MAX_ANSWER_BYTES``.

    Raises:
        LogUnavailable: If it is longer.
    """
    pieces: list[bytes] = []
    size = 0
    async for piece in resp.content.iter_any():
        pieces.append(piece)
        size += len(piece)
        if size > MAX_ANSWER_BYTES:
            resp.close()
            raise LogUnavailable(f"the store's answer has more than {MAX_ANSWER_BYTES} bytes")
    return b"".join(pieces)


class StoreTopic(WritableKeyedTopic, ConditionalTopic):
    """A topic that keeps the newest record of each key.

    Args:
        client: Sends the requests.
        topic: Name of the topic.
    """

    def __init__(self, client: StoreClient, topic: str) -> None:
        self._client = client
        self._topic = topic

    async def newest(self) -> KeyedPage:
        """Read the newest record of each key."""
        records: list[KeyedRecord] = []
        end: int | None = None
        era: int | None = None
        after: str | None = None
        while True:
            query: dict[str, Any] = {"topic": self._topic, "part": PARTITION}
            if after is not None:
                query["after"] = after
            answer = await self._client.get(LOG_NEWEST_PATH, query, ANSWER_TIMEOUT_S)
            if answer.era != (answer.era if era is None else era):
                raise LogUnavailable("the store came back from a copy between two pages")
            era = answer.era
            page = _decode_newest(answer.data)
            # The pages are not a snapshot. Changes made meanwhile are read later, from the end that
            # the first page states.
            end = page.end if end is None else end
            records += page.records
            if not page.has_more or not page.records:
                return KeyedPage(records, end, era=era)
            after = page.records[-1].key

    async def read(self, start: int, wait_s: float) -> KeyedPage:
        """Read the records from an offset, with a long poll of ``wait_s``."""
        query = {
            "topic": self._topic,
            "part": PARTITION,
            "from": start,
            "wait_ms": int(wait_s * 1000),
        }
        answer = await self._client.get(LOG_READ_PATH, query, wait_s + ANSWER_TIMEOUT_S)
        return replace(_decode_records(answer.data, start), era=answer.era)

    async def put(self, key: str, value: bytes | None) -> None:
        """Append a record; the value None deletes the key."""
        query = {"topic": self._topic, "part": PARTITION}
        await self._client.post(LOG_APPEND_PATH, query, _encode_record(key, value))

    async def append_at(self, end: int, records: Sequence[tuple[str, bytes]]) -> Appended:
        """Append records if the topic ends at an offset; see ``ConditionalTopic.append_at``."""
        query = {"topic": self._topic, "part": PARTITION, "at": end}
        body = b"".join(_encode_record(key, value) for key, value in records)
        answer = await self._client.post(LOG_APPEND_PATH, query, body)
        return Appended(end + len(records), answer.era)


class StorePlainTopic(PlainTopic):
    """A topic without keys.

    Args:
        client: Sends the requests.
        topic: Name of the topic.
    """

    def __init__(self, client: StoreClient, topic: str) -> None:
        self._client = client
        self._topic = topic

    async def append(self, records: Sequence[bytes]) -> Appended:
        """Append records; see ``PlainTopic.append``."""
        query = {"topic": self._topic, "part": PARTITION}
        body = b"".join(_LENGTH.pack(len(item)) + item for item in records)
        answer = await self._client.post(LOG_APPEND_PATH, query, body)
        try:
            return Appended(int(json.loads(answer.data)["end"]), answer.era)
        except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as exc:
            raise LogUnavailable(f"the store's answer is malformed: {exc!r}") from exc

    async def read(self, start: int, timeout_s: float, max_kb: int) -> PlainPage:
        """Read records from an offset on; see ``PlainTopic.read``."""
        query = {"topic": self._topic, "part": PARTITION, "from": start, "max_kb": max_kb}
        answer = await self._client.get(LOG_READ_PATH, query, timeout_s)
        frames = _decode_frames(answer.data, start)
        return PlainPage(frames.records, start + len(frames.records), frames.end, answer.era)


def _encode_record(key: str, value: bytes | None) -> bytes:
    """Encode a record of a keyed topic; the value None deletes the key."""
    name = key.encode()
    record = bytes([len(name)]) + name + (value or b"")
    return _LENGTH.pack(len(record)) + record


@dataclass(frozen=True, slots=True)
class _NewestPage:
    records: list[KeyedRecord]
    end: int
    has_more: bool


def _decode_newest(data: bytes) -> _NewestPage:
    """Decode a page of the newest records of keys."""
    try:
        page = json.loads(data)
        records = [
            KeyedRecord(str(item["key"]), base64.b64decode(item["value"]), int(item["offset"]))
            for item in page["items"]
        ]
        return _NewestPage(records, int(page["end"]), bool(page["has_more"]))
    except (ValueError, KeyError, TypeError, RecursionError) as exc:
        raise LogUnavailable(f"the store's answer is malformed: {exc!r}") from exc


@dataclass(frozen=True, slots=True)
class _Frames:
    records: list[bytes]
    end: int


def _decode_frames(data: bytes, start: int) -> _Frames:
    """Decode an answer to a read: end and first offset of the topic, then records with lengths.

    Raises:
        RecordsExpired: If records from the offset ``start`` on have expired.
        LogUnavailable: If the answer is malformed.
    """
    records: list[bytes] = []
    try:
        end, first = _ENDS.unpack_from(data)
        position = _ENDS.size
        while position < len(data):
            (length,) = _LENGTH.unpack_from(data, position)
            position += _LENGTH.size
            record = data[position : position + length]
            if len(record) < length:
                raise ValueError("a record is truncated")
            position += length
            records.append(record)
    except (struct.error, ValueError) as exc:
        raise LogUnavailable(f"the store's answer is malformed: {exc}") from exc
    if first > start:
        raise RecordsExpired(f"records before offset {first} have expired", first=first)
    return _Frames(records, end)


def _decode_records(data: bytes, start: int) -> KeyedPage:
    """Decode an answer to a read of a keyed topic: records of key length, key and value."""
    records: list[KeyedRecord] = []
    for offset, record in enumerate(_decode_frames(data, start).records, start):
        if not record:
            raise LogUnavailable("the store's answer is malformed: a record has no key")
        key_end = 1 + record[0]
        # A key that is no text names no runner, but must not hide the records after it.
        key, value = record[1:key_end].decode(errors="backslashreplace"), record[key_end:]
        records.append(KeyedRecord(key, value or None, offset))
    return KeyedPage(records, start + len(records))
