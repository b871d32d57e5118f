"""A topic of the platform's log that nodes can also read from each other.

A node that cannot read from the log asks its peers for the missing records. Heartbeats contain the
offset up to which a node has read, so that a node whose reads hang detects that it lags behind. A
node answers with the newest record of each key, which is all that a follower needs.
"""

import asyncio
import contextlib
import math
import random
import zlib
from collections.abc import Callable, Coroutine, Hashable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from loguru import logger

from .errors import LogUnavailable
from .follower import KeyedPage, KeyedRecord, KeyedTopic, RecordsExpired
from .freshness import Freshness
from .membership import HeartbeatContributor
from .message import Heartbeat, RecordItem, RecordsReply, RecordsRequest, TopicOffset
from .transport import Peer, Transport

# Start offset that requests the records of all keys.
ALL_RECORDS = -1
# Number of peers that are asked at the same time; some of them may be unable to read from
# the log as well.
MAX_PEERS_ASKED = 3
# Number of requests to peers whose late replies are dated.
MAX_DATED_REQUESTS = 64
# Time to wait for the replies of the peers.
REPLY_TIMEOUT_S = 0.4
# How often it is checked during a read of the log whether this node lags behind its peers.
CHECK_INTERVAL_S = 0.25
# A node that lags behind its peers for this long asks them for the records.
LAG_BEFORE_REQUEST_S = 0.3
# A peer that read from the log within this time has its newest records.
RECENT_READ_S = 2.0
# Values from this size on are compressed for peers. Many nodes with slow links fetch each version
# of a large configuration.
MIN_PACKED_BYTES = 1024
PACK_LEVEL = 1
MAX_VALUE_BYTES = 4 * 1024 * 1024
# How long after an outage peers are told of it together with the records.
OUTAGE_NEWS_S = 2.0
# Number of stored records, including deleted keys, above which the deleted keys are dropped.
MAX_STORED_RECORDS = 4096

ReadLog = Callable[[], Coroutine[Any, Any, KeyedPage]]
# Returns what a record means, so that records that only renew their predecessor can be recognized.
Meaning = Callable[[KeyedRecord], Hashable]


@dataclass(frozen=True, slots=True)
class _PeerPage:
    """Records of a peer.

    Attributes:
        page: The records.
        known_at: Loop time before which all changes were made that the peer knows, in seconds.
    """

    page: KeyedPage
    known_at: float


class ReadFailures:
    """Tells the topics of a node that a read failed: other connections may be dead as well."""

    def __init__(self) -> None:
        self._last = float("-inf")

    def record(self) -> None:
        """Record that a read of a topic failed."""
        self._last = _now()

    def is_suspect(self, sent_at: float) -> bool:
        """Return whether a read failed after the loop time at which another one was sent."""
        return self._last > sent_at


class PeerFallbackTopic(KeyedTopic, HeartbeatContributor):
    """Reads a topic from the log, or from peers while the log does not answer.

    Args:
        name: Name of the topic in messages between nodes.
        topic: The topic in the log.
        transport: Connections to the other nodes.
        rng: Source of randomness for the choice of peers.
        meaning: Returns what a record means; by default its value.
        failures: Failed reads of all topics of this node.
        renewal_age_s: Age of the knowledge of this node from which on it asks its peers during a
            read of the log as well, in seconds; infinite for never.
    """

    def __init__(
        self,
        name: str,
        topic: KeyedTopic,
        transport: Transport,
        rng: random.Random | None = None,
        meaning: Meaning = lambda record: record.value,
        failures: ReadFailures | None = None,
        renewal_age_s: float = float("inf"),
    ) -> None:
        self.name = name
        self._topic = topic
        self._transport = transport
        self._rng = rng or random.Random()
        self._meaning = meaning
        self._failures = failures or ReadFailures()
        self._renewal_age_s = renewal_age_s
        # The record of each key with which its meaning last changed.
        self._records: dict[str, KeyedRecord] = {}
        self._meanings: dict[str, Hashable] = {}
        # The items with which the records are sent to peers, by key.
        self._items: dict[str, RecordItem] = {}
        # All changes from this offset on are stored.
        self._base = 0
        # All changes before this offset are known.
        self._end = ALL_RECORDS
        self._changed = ALL_RECORDS
        # Era of the log to which all offsets here belong.
        self._era = 0
        self._freshness = Freshness(self._rng)
        # This node knows all changes that were made before this loop time. An answer may wait for a
        # long time before it is processed, so that a read counts from the time of its request on.
        self._known_at = float("-inf")
        self._restored_at = float("-inf")
        self._rewind_listeners: list[Callable[[], None]] = []
        self._renewal_listeners: list[Callable[[float], None]] = []
        self._behind_since: float | None = None
        self._replies: asyncio.Queue[RecordsReply] = asyncio.Queue()
        # Loop times of the latest requests to peers, by their number.
        self._asked_at: dict[int, float] = {}
        self._requests = 0
        transport.subscribe(RecordsRequest, self._on_request)
        transport.subscribe(RecordsReply, self._on_reply)

    def on_rewind(self, listener: Callable[[], None]) -> None:
        """Register a function that is called when the log came back from an older copy."""
        self._rewind_listeners.append(listener)

    def on_renewal(self, listener: Callable[[float], None]) -> None:
        """Register a function that is called when newer knowledge replaces that of this node.

        Its argument is the value of ``knowledge_age_s`` until then.
        """
        self._renewal_listeners.append(listener)

    @property
    def knowledge_age_s(self) -> float:
        """Time since the request of the newest read of the log whose result this node has.

        In seconds; infinite if there was none. The read may be one of a peer.
        """
        return _now() - self._known_at

    async def newest(self) -> KeyedPage:
        """Read the newest record of each key."""
        try:
            page = await self._read_or_ask_peers(self._newest_in_log, ALL_RECORDS)
        except RecordsExpired as exc:
            raise LogUnavailable(f"topic {self.name!r}: {exc.message}") from exc
        return self._replace(page)

    async def read(self, start: int, wait_s: float) -> KeyedPage:
        """Read records from an offset on."""
        page = await self._read_or_ask_peers(lambda: self._read_in_log(start, wait_s), start)
        return self._merge(page)

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add what this node knows of the topic."""
        heartbeat.ends.append(self._offset())

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store what a peer knows of the topic."""
        for item in heartbeat.ends:
            if item.topic == self.name:
                self._on_offset(heartbeat.node, item)

    def _on_offset(self, node: str, item: TopicOffset) -> None:
        """Record since when a peer has known a change that this node does not know."""
        if (item.era, item.changed) > (self._era, self._end) and self._behind_since is None:
            self._behind_since = _now()

    def _offset(self) -> TopicOffset:
        fresh = self._freshness
        return TopicOffset(
            self.name,
            self._end,
            self._changed,
            self._base,
            fresh.age_ms,
            fresh.read.reader,
            fresh.read.number,
            self._era,
        )

    async def _newest_in_log(self) -> KeyedPage:
        page = await self._topic.newest()
        self._check_era(page)
        return page

    async def _read_in_log(self, start: int, wait_s: float) -> KeyedPage:
        page = await self._topic.read(start, wait_s)
        self._check_era(page)
        if page.era > self._era:
            raise RecordsExpired(f"the log came back from a copy, era {page.era}")
        return page

    def _check_era(self, page: KeyedPage) -> None:
        if page.era < self._era:
            raise LogUnavailable(f"an answer from era {page.era}, before era {self._era}")

    def _replace(self, page: KeyedPage) -> KeyedPage:
        """Store the newest record of each key; what happened before is not known.

        Returns:
            The page, marked if it is the first one of a new era.
        """
        rewound = page.era > self._era and self._end != ALL_RECORDS
        self._era = page.era
        self._records.clear()
        self._meanings.clear()
        self._items.clear()
        self._store(page.records)
        self._changed = ALL_RECORDS
        self._base = self._end = page.end
        if not rewound:
            return page
        logger.bind(topic=self.name, era=page.era, end=page.end).warning(
            "the log came back from an older copy"
        )
        for listener in self._rewind_listeners:
            listener()
        return replace(page, rewound=True)

    def _merge(self, page: KeyedPage) -> KeyedPage:
        """Store changes and return the page without the records that change nothing."""
        changes = self._store(page.records)
        self._end = max(self._end, page.end)
        self._drop_deleted_keys()
        return replace(page, records=changes, end=self._end)

    def _store(self, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Store records and return those that change the meaning of their keys."""
        changes: list[KeyedRecord] = []
        for item in records:
            meaning = None if item.value is None else self._meaning(item)
            if item.key in self._records and meaning == self._meanings.get(item.key):
                continue
            self._records[item.key] = item
            self._meanings[item.key] = meaning
            self._changed = max(self._changed, item.offset + 1)
            changes.append(item)
        return changes

    async def _read_or_ask_peers(self, read: ReadLog, start: int) -> KeyedPage:
        """Read from the log, or from peers if it does not answer or this node lags behind."""
        task, sent_at = asyncio.create_task(read()), _now()
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=CHECK_INTERVAL_S)
                page = await self._page_during_read(task, start)
                if page is not None:
                    return page
                if not task.done() and self._failures.is_suspect(sent_at):
                    await _cancel(task)
                    task, sent_at = asyncio.create_task(read()), _now()
            page = task.result()
        except LogUnavailable as exc:
            self._on_log_failed(exc)
            await asyncio.sleep(CHECK_INTERVAL_S * self._rng.random())
            found = await self._read_from_peers(start)
            if found is None:
                raise
            return found
        finally:
            await _cancel(task)
        self._on_log_read(sent_at)
        return page

    def _on_log_read(self, sent_at: float) -> None:
        """Record that the log answered a request that was sent at a loop time."""
        self._freshness.on_read()
        self._renew(sent_at)
        self._behind_since = None

    def _renew(self, known_at: float) -> None:
        """Record that this node knows all changes that were made before a loop time."""
        if known_at <= self._known_at:
            return
        age_s = self.knowledge_age_s
        self._known_at = known_at
        for listener in self._renewal_listeners:
            listener(age_s)

    def _on_log_failed(self, exc: LogUnavailable) -> None:
        """Handle that the log did not answer this node."""
        self._failures.record()
        age_ms = self._freshness.age_ms
        logger.bind(topic=self.name, age_ms=age_ms, end=self._end, reason=exc.message).info(
            "read of the topic failed"
        )

    def _lags_behind(self) -> bool:
        return (
            self._behind_since is not None and _now() - self._behind_since >= LAG_BEFORE_REQUEST_S
        )

    async def _page_during_read(
        self, task: asyncio.Task[KeyedPage], start: int
    ) -> KeyedPage | None:
        """Ask peers during a read of the log if this node lags behind or its knowledge is old.

        Returns:
            Records of a peer, for which the read was cancelled, or None if the read goes on.

        Raises:
            RecordsExpired: If the peer no longer has all changes from the offset ``start`` on.
        """
        lags_behind = self._lags_behind()
        if task.done() or not (lags_behind or self._is_renewal_due()):
            return None
        found = await self._ask_peers(start)
        if found is None or task.done():
            return None
        if not (lags_behind or found.page.records or start == ALL_RECORDS):
            # The peer has read the log and knows that nothing changed.
            self._renew(found.known_at)
            return None
        await _cancel(task)
        return self._accept(found)

    def _is_renewal_due(self) -> bool:
        """Return whether the knowledge of this node, if it has any, is too old to wait longer."""
        return self._renewal_age_s < self.knowledge_age_s < float("inf")

    async def _read_from_peers(self, start: int) -> KeyedPage | None:
        """Ask some peers for records.

        Returns:
            The records of a peer that has access to the log or has read further, or None.

        Raises:
            RecordsExpired: If the peer no longer has all changes from this offset on.
        """
        found = await self._ask_peers(start)
        return None if found is None else self._accept(found)

    async def _ask_peers(self, start: int) -> _PeerPage | None:
        """Ask some peers for records, which the caller may still reject; see _read_from_peers."""
        reply = await self._best_reply(start, self._transport.peers())
        if reply is None:
            return None
        known_at = _now() - reply.age_ms / 1000 if reply.age_ms >= 0 else float("-inf")
        return _PeerPage(self._page_of(reply, start), known_at)

    def _accept(self, found: _PeerPage) -> KeyedPage:
        """Renew the knowledge of this node, which now has the records of a peer."""
        self._renew(found.known_at)
        return found.page

    def _page_of(self, reply: RecordsReply, start: int) -> KeyedPage:
        """Return the page of a peer's reply.

        Raises:
            RecordsExpired: If the peer no longer has all changes from the offset ``start`` on.
        """
        self._behind_since = None
        if start != ALL_RECORDS and (reply.whole or reply.era != self._era):
            raise RecordsExpired(f"records from offset {start} on are gone at the peers")
        logger.bind(topic=self.name, start=start, end=reply.end, fresh=reply.fresh).info(
            "records taken from a peer"
        )
        records = [KeyedRecord(item.key, _unpack(item), item.offset) for item in reply.items]
        if reply.outage_ms >= 0:
            self._restored_at = max(self._restored_at, _now() - reply.outage_ms / 1000)
        after_outage = _now() - self._restored_at < OUTAGE_NEWS_S
        return KeyedPage(records, reply.end, after_outage, reply.era)

    async def _best_reply(self, start: int, peers: list[Peer]) -> RecordsReply | None:
        self._replies = asyncio.Queue()
        request = self._new_request(start)
        asked = 0
        for peer in self._rng.sample(peers, min(MAX_PEERS_ASKED, len(peers))):
            asked += self._transport.send(peer.node, request)
        best: RecordsReply | None = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                for _ in range(asked):
                    reply = await self._replies.get()
                    if reply.start != start or reply.era < self._era:
                        continue  # The late reply to an earlier request.
                    if reply.fresh:
                        return self._dated(reply)
                    known = (best.era, best.end) if best else (self._era, start)
                    if (reply.era, reply.end) > known:
                        best = reply
        return None if best is None else self._dated(best)

    def _new_request(self, start: int) -> RecordsRequest:
        self._requests += 1
        self._asked_at[self._requests] = _now()
        self._asked_at.pop(self._requests - MAX_DATED_REQUESTS, None)
        return RecordsRequest(self.name, start, self._era, self._requests)

    def _dated(self, reply: RecordsReply) -> RecordsReply:
        """Return a reply with the age that it has now, or -1 if that is unknown.

        It may have been on its way for long, as in a cut of the network, but was sent after its
        request. A node of an earlier build does not tell to which request it replies.
        """
        asked_at = self._asked_at.get(reply.request_no)
        if reply.age_ms < 0 or asked_at is None:
            return replace(reply, age_ms=-1)
        return replace(reply, age_ms=reply.age_ms + math.ceil((_now() - asked_at) * 1000))

    def _on_request(self, sender: str, request: RecordsRequest) -> None:
        if request.topic != self.name or self._end == ALL_RECORDS or request.era > self._era:
            return
        whole = request.start < self._base or request.era < self._era
        items = [
            self._item(item)
            for item in self._records.values()
            if (whole and item.value is not None) or (not whole and item.offset >= request.start)
        ]
        known = self._freshness
        fresh = known.age_s < RECENT_READ_S and (whole or self._end >= request.start)
        reply = RecordsReply(
            self.name,
            request.start,
            whole,
            fresh,
            self._end,
            items,
            known.age_ms,
            _age_ms(self._restored_at),
            known.read.reader,
            known.read.number,
            self._era,
            request.request_no,
        )
        self._transport.send(sender, reply)

    def _item(self, record: KeyedRecord) -> RecordItem:
        """Return a record as it is sent to peers; a large value is compressed once."""
        item = self._items.get(record.key)
        if item is None or item.offset != record.offset:
            item = self._items[record.key] = _pack(record)
        return item

    def _on_reply(self, sender: str, reply: RecordsReply) -> None:
        if reply.topic == self.name:
            self._replies.put_nowait(reply)

    def _drop_deleted_keys(self) -> None:
        """Remove the records of deleted keys if more than ``MAX_STORED_RECORDS`` are stored."""
        if len(self._records) <= MAX_STORED_RECORDS:
            return
        gone = [item for item in self._records.values() if item.value is None]
        self._base = max([self._base, *(item.offset + 1 for item in gone)])
        for item in gone:
            del self._records[item.key], self._meanings[item.key]
            self._items.pop(item.key, None)


async def _cancel(task: asyncio.Task[KeyedPage]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError, LogUnavailable, RecordsExpired):
        await task


def _pack(record: KeyedRecord) -> RecordItem:
    if record.value is None or len(record.value) < MIN_PACKED_BYTES:
        return RecordItem(record.key, record.value, record.offset)
    return RecordItem(record.key, zlib.compress(record.value, PACK_LEVEL), record.offset, True)


def _unpack(item: RecordItem) -> bytes | None:
    """Return the value of a record from a peer.

    Raises:
        LogUnavailable: If it is not what ``_pack`` makes, or too large.
    """
    if item.value is None or not item.packed:
        return item.value
    unpacker = zlib.decompressobj()
    try:
        value = unpacker.decompress(item.value, MAX_VALUE_BYTES)
    except zlib.error as exc:
        raise LogUnavailable(f"the record {item.key!r} of a peer is malformed: {exc}") from exc
    if not unpacker.eof:
        raise LogUnavailable(f"the record {item.key!r} of a peer is too large")
    return value


def _age_ms(at: float) -> int:
    """Return the time since a loop time in milliseconds, or -1 if it is not set."""
    return -1 if at == float("-inf") else max(0, round((_now() - at) * 1000))


def _now() -> float:
    return asyncio.get_running_loop().time()
