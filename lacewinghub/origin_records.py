"""Stores the origins of streams and the version history of the pools, for all nodes.

Origins are written only while a pool has more than one software version, in batches: one record of
CBOR, which maps pools to versions to origin ids of 8 bytes. They are read only for a take-up whose
origin a node cannot tell otherwise.
"""

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Callable, Iterator

import cbor2
from loguru import logger
from pydantic import ConfigDict, TypeAdapter, ValidationError

from ._backoff import Backoff
from .errors import LogRefused, LogUnavailable
from .follower import KeyedRecord, RecordsExpired
from .membership import Members, is_among_first
from .nodelist import MALFORMED_RECORD, WritableKeyedTopic
from .plain_topic import PlainPage, PlainTopic
from .stream_origins import Origin, OriginMemory, OriginStore
from .version_history import CLOCK_MARGIN_S, KEEP_S, LastSeen, VersionHistory

FLUSH_S = 0.25
WRITES_PER_S = 120.0  # Of all nodes together.
READ_SPACING_S = 0.1
READS_PER_S = 400.0  # Of all nodes together.
READ_TIMEOUT_S = 0.8
# A take-up needs a read that is sent after it has come. With so many at a time one is sent soon
# enough for a lookup, if each takes less than its timeout.
MAX_CONCURRENT_READS = 4
# Longest wait for the write of an origin that replaces another one.
REPLACE_TIMEOUT_S = 1.0
# Nodes that start together read the topic within this time, before they are asked.
PREFETCH_SPREAD_S = 0.8
READ_KB = 1024
MAX_PAGES = 8  # Number of reads of this size for a lookup.
# Size of the read that only finds the end of the topic.
LOCATE_KB = 4
# Records before the newest ones of this number are older than an origin counts.
RECENT_RECORDS = int((KEEP_S + CLOCK_MARGIN_S) * WRITES_PER_S)
MAX_BATCH = 8192  # Number of origins in a record, of 64 KiB.
MAX_HEARD = 65_536  # Number of origins of other nodes.
ID_BYTES = 8
BACKOFF_FIRST_S = 0.3
BACKOFF_LIMIT_S = 3.0

VERSION_WRITERS = 2  # Number of nodes that write the same record, in case that one of them is lost.
# A node that has just started does not know the other nodes yet, and would write in their place.
SETTLE_S = 1.0
# All nodes read the history again after an outage.
RESTORE_SPREAD_S = 1.0
CHECK_S = 0.5
# A history is read again after this time: just after the store came back from a copy, the other
# nodes have not written theirs yet.
REREAD_S = 2.0

_VERSIONS = TypeAdapter(dict[str, float | None], config=ConfigDict(allow_inf_nan=False))
_MALFORMED_BATCH = (cbor2.CBORError, ValueError, TypeError, OverflowError, RecursionError)

Batch = dict[int, Origin]


def write_interval_s(nodes: int) -> float:
    """Return the time between two writes of one of a number of nodes, in seconds."""
    return max(FLUSH_S, nodes / WRITES_PER_S)


def encode_batch(batch: Batch) -> bytes:
    """Encode origins by origin id."""
    pools: dict[str, dict[str, bytes]] = {}
    for key, origin in batch.items():
        versions = pools.setdefault(origin.pool, {})
        versions[origin.version] = versions.get(origin.version, b"") + key.to_bytes(ID_BYTES, "big")
    return cbor2.dumps(pools)


def decode_batch(data: bytes) -> Batch:
    """Decode origins by origin id.

    Raises:
        ValueError: Or another one of ``_MALFORMED_BATCH``, if the record is malformed.
    """
    return dict(_decode_pairs(cbor2.loads(data)))


def _decode_pairs(pools: object) -> Iterator[tuple[int, Origin]]:
    for pool, versions in _mapping(pools):
        for version, ids in _mapping(versions):
            if not isinstance(ids, bytes) or len(ids) % ID_BYTES:
                raise ValueError("origin ids are not a string of 8-byte numbers")
            origin = Origin(pool, version)
            for start in range(0, len(ids), ID_BYTES):
                yield int.from_bytes(ids[start : start + ID_BYTES], "big"), origin


def _mapping(value: object) -> Iterator[tuple[str, object]]:
    if not isinstance(value, dict) or not all(isinstance(key, str) for key in value):
        raise ValueError("not a map of texts")
    yield from value.items()


class OriginRecords(OriginStore):
    """Writes the origins of this node's streams, and reads those of all nodes.

    Args:
        node: Identifier of this node.
        members: View of the live nodes.
        topic: Topic that holds the batches.
        memory: Origins of this node's streams.
        history: Tells which pools have more than one version.
        node_count: Returns the number of nodes.
        wall: Returns the wall time, in seconds since the epoch.
    """

    def __init__(
        self,
        node: str,
        members: Members,
        topic: PlainTopic,
        memory: OriginMemory,
        history: VersionHistory,
        node_count: Callable[[], int],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._node = node
        self._members = members
        self._topic = topic
        self._memory = memory
        self._history = history
        self._node_count = node_count
        self._wall = wall
        # Origin ids in ``memory`` that were not written, by pool.
        self._unwritten: dict[str, dict[int, Origin]] = {}
        self._due = asyncio.Event()
        self._urgent = asyncio.Event()
        self._in_flight: Batch = {}
        self._batch_written = asyncio.Event()  # Replaced for each batch.
        # Origins whose write failed; a call without an answer may still be executed.
        self._unacknowledged = OriginMemory()
        self._written = OriginMemory()
        self._prefetch: asyncio.Task[None] | None = None
        self._heard = OriginMemory(MAX_HEARD)
        self._next = 0
        self._end = 0
        self._era: int | None = None
        self._read_at = float("-inf")
        self._reads: set[asyncio.Task[bool]] = set()
        self._unsent_read: asyncio.Task[bool] | None = None
        memory.on_drop(self._forget)
        history.listen(self._on_versions)

    @property
    def interval_s(self) -> float:
        """Time between two writes of a node, in seconds."""
        return write_interval_s(self._node_count())

    def add(self, key: int, origin: Origin, urgent: bool = False) -> None:
        """Write the origin of a stream once its pool has more than one version."""
        former = [origins.pop(key) for origins in self._unwritten.values() if key in origins]
        if (
            not former
            and self._written.get(key) == origin
            and self._possibly_stored(key) == {origin}
        ):
            return
        self._unwritten.setdefault(origin.pool, {})[key] = origin
        if self._history.is_mixed(origin.pool):
            self._due.set()
            if urgent:
                self._urgent.set()

    async def replace(self, key: int, origin: Origin, former: Origin) -> bool:
        """Write another origin of a stream out of turn; return False if that is not certain."""
        is_pending = self._unwritten.get(former.pool, {}).get(key) == former
        if not is_pending and not self._possibly_stored(key):
            self._written.add(key, former)  # Longer ago than that is remembered.
        self._memory.add(key, origin)
        self.add(key, origin, urgent=True)
        try:
            async with asyncio.timeout(REPLACE_TIMEOUT_S):
                while self._possibly_stored(key) - {origin}:
                    await self._batch_written.wait()
        except TimeoutError:
            return False
        return True

    def restore(self, key: int, origin: Origin) -> bool:
        """Return to a former origin of a stream; return False if the store may have another one."""
        if self._possibly_stored(key) - {origin}:
            return False
        self.add(key, origin)
        return True

    def get(self, key: int) -> Origin | None:
        """Return an origin that was read, or None."""
        return self._heard.get(key)

    def renew(self) -> None:
        """Write all remembered origins again, because the log has lost some of them."""
        for key, origin in self._memory.items():
            self._unwritten.setdefault(origin.pool, {})[key] = origin
        if self._history.mixed_pools():
            self._due.set()

    async def run(self) -> None:
        """Write batches until cancelled."""
        backoff = Backoff(random.Random(), BACKOFF_FIRST_S, BACKOFF_LIMIT_S)
        while True:
            await self._due.wait()
            await self._wait_for_turn(self._until_turn_s())
            await self._locate()
            self._due.clear()
            self._urgent.clear()
            self._in_flight = batch = self._next_batch()
            if not batch:
                continue
            try:
                await self._topic.append([encode_batch(batch)])
            except LogUnavailable as exc:
                logger.bind(origins=len(batch), reason=exc.message).info("origins not written")
                self._on_not_written({} if isinstance(exc, LogRefused) else batch)
                self._due.set()
                await asyncio.sleep(max(self.interval_s, backoff.draw()))
                backoff.grow()
                continue
            backoff.reset()
            self._on_written(batch)
            await asyncio.sleep(FLUSH_S)
            # In turns, the next one is awaited; the clock may have been set back a little.
            await self._wait_for_turn(self.interval_s / 2 - FLUSH_S)

    async def refresh(self) -> bool:
        """Read all origins that were written before the call.

        All nodes together read at most ``READS_PER_S`` times a second.
        """
        while self._unsent_read is None and len(self._reads) >= MAX_CONCURRENT_READS:
            await asyncio.wait(self._reads, return_when=asyncio.FIRST_COMPLETED)
        # Reads that were sent before may lack what was written since.
        if self._unsent_read is None or self._unsent_read.done():
            self._unsent_read = asyncio.create_task(self._read_in_turn())
            self._reads.add(self._unsent_read)
            self._unsent_read.add_done_callback(self._reads.discard)
        return await asyncio.shield(self._unsent_read)

    def _on_versions(self, pool: str) -> None:
        if not self._history.is_mixed(pool):
            return
        self._due.set()
        if self._prefetch is None:
            self._prefetch = asyncio.get_running_loop().create_task(self._read_ahead())

    async def _read_ahead(self) -> None:
        """Read the topic once, so that lookups need only what is new.

        After the loss of all nodes they would otherwise all read all of it at the same moment.
        """
        await asyncio.sleep(random.uniform(0.0, PREFETCH_SPREAD_S))
        await self.refresh()

    async def _wait_for_turn(self, limit_s: float) -> None:
        """Wait for a turn, or until an origin is urgent."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, limit_s)):
                await self._urgent.wait()

    def _until_turn_s(self) -> float:
        """Return the time until this node may write, in seconds.

        Many nodes write in turns, since their streams often begin at the same time.
        """
        interval_s = self.interval_s
        names = sorted(item.node for item in self._members.live())
        if interval_s <= FLUSH_S or self._node not in names:
            return 0.0
        turn_s = interval_s * names.index(self._node) / len(names)
        return (turn_s - self._wall()) % interval_s

    def _forget(self, key: int, origin: Origin) -> None:
        """Drop an origin that is not to be written, unless another one has taken its place."""
        origins = self._unwritten.get(origin.pool, {})
        if origins.get(key) == origin:
            del origins[key]
        if not origins:
            self._unwritten.pop(origin.pool, None)

    def _next_batch(self) -> Batch:
        self._memory.drop_expired()
        batch: Batch = {}
        for pool, origins in self._unwritten.items():
            if self._history.is_mixed(pool):
                for key, origin in origins.items():
                    if len(batch) == MAX_BATCH:
                        return batch
                    batch[key] = origin
        return batch

    def _on_written(self, batch: Batch) -> None:
        self._in_flight = {}
        for key, origin in batch.items():
            self._forget(key, origin)
            self._written.add(key, origin)
        self._batch_written.set()
        self._batch_written = asyncio.Event()
        if len(batch) == MAX_BATCH:
            self._due.set()

    def _on_not_written(self, batch: Batch) -> None:
        """Remember origins that the store may have written nevertheless."""
        self._in_flight = {}
        for key, origin in batch.items():
            self._unacknowledged.add(key, origin)

    def _possibly_stored(self, key: int) -> set[Origin]:
        """Return the origins of a stream that another node may read, or has read."""
        found = (self._written.get(key), self._unacknowledged.get(key), self._in_flight.get(key))
        return {origin for origin in found if origin is not None}

    async def _locate(self) -> None:
        """Find the end of the topic by a small read, so that no lookup starts at its beginning."""
        if self._era is None:
            await self._read(LOCATE_KB)

    async def _read_in_turn(self) -> bool:
        spacing_s = max(READ_SPACING_S, self._node_count() / READS_PER_S)
        await asyncio.sleep(max(0.0, self._read_at + spacing_s - _now()))
        self._read_at = _now()
        self._unsent_read = None
        for _ in range(MAX_PAGES):
            if not await self._read(READ_KB):
                return False
            if self._next >= self._end:
                return True
        return False

    async def _read(self, max_kb: int) -> bool:
        try:
            page = await self._read_page(max_kb)
        except (LogUnavailable, RecordsExpired) as exc:
            logger.bind(reason=exc.message).info("origins not read")
            return False
        if self._era is not None and page.era < self._era:
            return False
        self._apply(page)
        return True

    async def _read_page(self, max_kb: int) -> PlainPage:
        start = self._next
        try:
            return await self._topic.read(start, READ_TIMEOUT_S, max_kb)
        except RecordsExpired as exc:
            first = int(exc.details.get("first", 0))
            # Unless the topic has become shorter, another read may have come further.
            self._next = first if first <= start else max(first, self._next)
            return await self._topic.read(self._next, READ_TIMEOUT_S, max_kb)

    def _apply(self, page: PlainPage) -> None:
        """Add the origins of a page; several reads may be under way.

        Records that another read has brought are left out, so that no older origin of a stream
        replaces a newer one.
        """
        records = page.records
        if self._era is not None and page.era > self._era:
            # Offsets were given out again: records before the known offset may be new.
            self._next = max(0, page.end - RECENT_RECORDS)
        else:
            start = page.next - len(records)
            if start <= self._next:
                records = records[self._next - start :]
                self._next = max(self._next, page.next, page.end - RECENT_RECORDS)
            else:
                records = []  # It was requested before the offset was set back.
        self._era, self._end = page.era, page.end
        malformed: list[Exception] = []
        for record in records:
            try:
                batch = decode_batch(record)
            except _MALFORMED_BATCH as exc:
                malformed.append(exc)
                continue
            for key, origin in batch.items():
                self._heard.add(key, origin)
        if malformed:
            logger.bind(records=len(malformed)).warning(
                "records hold no origins: {!r}", malformed[0]
            )


class VersionRecords:
    """Stores the version history of the pools, and restores it at the start.

    Args:
        node: Identifier of this node.
        members: View of the live nodes.
        topic: Topic that holds one record per pool.
        history: The history.
        node_count: Returns the number of nodes.
    """

    def __init__(
        self,
        node: str,
        members: Members,
        topic: WritableKeyedTopic,
        history: VersionHistory,
        node_count: Callable[[], int],
    ) -> None:
        self._node = node
        self._members = members
        self._topic = topic
        self._history = history
        self._node_count = node_count
        self._stored: dict[str, LastSeen] = {}
        self._is_first = True
        # Loop time at which the history is read again, in seconds; None if it need not be.
        self._reread_at: float | None = None
        self._pending: set[str] = set()
        # Pools whose record this node has written; it could lack a later version.
        self._written: set[str] = set()
        self._write_listeners: list[Callable[[], None]] = []
        self._due = asyncio.Event()
        history.listen(self._on_versions)

    def on_write(self, listener: Callable[[], None]) -> None:
        """Register a function that is called when this node has written a record."""
        self._write_listeners.append(listener)

    def is_recorded(self, pool: str, version: str) -> bool:
        """Return whether this node need not write that endpoints of a version are known.

        If that holds at all nodes, the record has the version: one of its writers is among them.
        """
        is_stored = self._stored.get(pool, {}).get(version, 0.0) is None
        return is_stored or not self._must_write(pool)

    def renew(self) -> None:
        """Write the history of all pools again, because the log has lost some of it."""
        self._stored.clear()
        self._pending |= self._history.pools()
        self._due.set()

    async def run(self) -> None:
        """Read the stored history when this node may have missed versions; write changes."""
        settled_at = _now() + SETTLE_S * random.uniform(1.0, 2.0)
        backoff = Backoff(random.Random(), BACKOFF_FIRST_S, BACKOFF_LIMIT_S)
        while True:
            self._due.clear()
            self._history.update()
            try:
                if self._history.needs_restore() and self._history.is_current():
                    if not self._is_first:
                        await asyncio.sleep(random.uniform(0.0, RESTORE_SPREAD_S))
                    await self._restore()
                    self._is_first = False
                    self._reread_at = _now() + REREAD_S + random.uniform(0.0, RESTORE_SPREAD_S)
                if not self._history.needs_restore() and _now() >= settled_at:
                    await self._write_pending()
                if self._is_reread_due() and self._history.is_current():
                    await self._restore()
                    self._reread_at = None
            except LogUnavailable as exc:
                logger.bind(reason=exc.message).info("version history not available")
                await asyncio.sleep(max(write_interval_s(self._node_count()), backoff.draw()))
                backoff.grow()
                continue
            backoff.reset()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_S):
                    await self._due.wait()

    def _on_versions(self, pool: str) -> None:
        self._pending.add(pool)
        self._due.set()

    def _is_reread_due(self) -> bool:
        if self._reread_at is None and self._history.lacks_records():
            self._reread_at = _now() + REREAD_S
        return self._reread_at is not None and _now() >= self._reread_at

    async def _restore(self) -> None:
        interruptions = self._history.interruptions
        page = await self._topic.newest()
        if self._history.interruptions != interruptions:
            return
        decoded = {item.key: self._decode(item) for item in page.records}
        self._stored = {pool: item for pool, item in decoded.items() if item is not None}
        self._history.restore(self._stored)
        self._pending |= self._history.pools()

    async def _write_pending(self) -> None:
        """Write the histories that changed, if this node is one of their writers."""
        for pool in sorted(self._pending):
            versions = self._history.last_seen(pool)
            if not self._history.is_complete(pool):
                continue  # Other nodes would take it for complete.
            if versions != self._stored.get(pool) and self._must_write(pool):
                self._written.add(pool)  # A write that fails may have succeeded.
                await self._topic.put(pool, json.dumps({"versions": versions}).encode())
                self._stored[pool] = versions
                for listener in self._write_listeners:
                    listener()
                await asyncio.sleep(write_interval_s(self._node_count()))
            # A node that is no writer may become one, if the writers are lost before they wrote.
            if self._history.last_seen(pool) == versions == self._stored.get(pool):
                self._pending.discard(pool)

    def _must_write(self, pool: str) -> bool:
        return pool in self._written or self._is_writer(pool)

    def _is_writer(self, pool: str) -> bool:
        # Others may count on this node until they hear that it leaves.
        names = {self._node, *(item.node for item in self._members.live())}
        return is_among_first(self._node, pool, names, VERSION_WRITERS)

    def _decode(self, record: KeyedRecord) -> dict[str, float | None] | None:
        """Return the versions of a record, or None if it is malformed."""
        try:
            return _VERSIONS.validate_python(json.loads(record.value or b"")["versions"])
        except (*MALFORMED_RECORD, ValidationError) as exc:
            logger.bind(key=record.key).warning("record holds no versions: {!r}", exc)
            return None


def _now() -> float:
    return asyncio.get_running_loop().time()
