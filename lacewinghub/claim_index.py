"""Who owns each idempotency key, as a function of the records of the stream ``claims``."""

import json
import sys
import zlib
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from enum import IntEnum
from typing import Any, Literal

import xxhash
from loguru import logger
from pydantic import TypeAdapter, ValidationError

from .log import Page, Record

CLAIM_STREAM = "claims"
KEY_WINDOW_S = 24 * 3600.0
MAX_ANSWER_BYTES = 16 * 1024
CARRY_PART_BYTES = 256 * 1024
MAX_CARRY_PARTS = 100_000
# Size of an entry in a carry record without its answer.
ROW_BYTES = 160
# Expired entries are kept a little longer, in case that the log's clock steps back.
CLOCK_MARGIN_S = 60.0


class Status(IntEnum):
    """What is known about the execution under a claim."""

    PENDING = 0
    DONE = 1
    UNKNOWN = 2


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Announces that a node wants to execute a key.

    Attributes:
        key: Hash of workspace and idempotency key, 32 hex digits.
        body: Hash of the body, 32 hex digits.
        id: Unique identifier of the claim.
        node: Claimant.
        incarnation: Incarnation of the claimant.
        seen: The claimant had read every record before this offset, and the key was free.
    """

    key: str
    body: str
    id: str
    node: str
    incarnation: int
    seen: int
    kind: Literal["claim"] = "claim"


@dataclass(frozen=True, slots=True)
class ReleaseRecord:
    """States that a claim was not sent to any endpoint and never will be."""

    key: str
    id: str
    kind: Literal["release"] = "release"


@dataclass(frozen=True, slots=True)
class ResultRecord:
    """The end of an execution.

    Attributes:
        key: As in the claim.
        id: Identifier of the claim.
        body: As in the claim.
        node: Claimant.
        incarnation: Incarnation of the claimant.
        claimed: Wall time of the claim record, in seconds since the epoch.
        known: False if the execution may or may not have happened.
        status: HTTP status of the answer.
        kept: False if the answer was too large to be kept.
        answer: Body of the answer.
    """

    key: str
    id: str
    body: str
    node: str
    incarnation: int
    claimed: float
    known: bool
    status: int = 0
    kept: bool = True
    answer: Any = None
    kind: Literal["result"] = "result"


@dataclass(frozen=True, slots=True)
class CarryRecord:
    """One part of the whole index as it was at an offset.

    Attributes:
        id: Identifier of the copy that the part belongs to.
        node: Node that appended it.
        through: Offset of the first record that the copy does not reflect.
        part: Number of this part, from 0.
        parts: Number of parts.
        entries: Members of ``Entry`` with the key in front.
        released: Identifiers of released claims with the time of their release.
    """

    id: str
    node: str
    through: int
    part: int
    parts: int
    entries: list[list[Any]]
    released: list[tuple[str, float]]
    kind: Literal["carry"] = "carry"


_RECORDS: dict[Any, TypeAdapter[Any]] = {
    "claim": TypeAdapter(ClaimRecord),
    "release": TypeAdapter(ReleaseRecord),
    "result": TypeAdapter(ResultRecord),
    "carry": TypeAdapter(CarryRecord),
}


@dataclass(slots=True, eq=False)
class Entry:
    """The owner of a key.

    Attributes:
        id: Identifier of the claim.
        body: Hash of the body, 16 bytes.
        time: Wall time of the claim record, in seconds since the epoch.
        node: Claimant.
        incarnation: Incarnation of the claimant.
        status: What is known about the execution.
        code: HTTP status of the answer.
        answer: Compressed JSON body of the answer, or None if it was not kept.
        blocked: True if an expired record may tell another owner; a release does not free the key.
    """

    id: str
    body: bytes
    time: float
    node: str
    incarnation: int
    status: Status = Status.PENDING
    code: int = 0
    answer: bytes | None = None
    blocked: bool = False


class ClaimIndex:
    """Owner and outcome of every key, in log order.

    The first claim of a key owns it. A claim that is appended while another one owns the key loses
    for good. A release frees the key for later claims. An owner keeps the key for the key window,
    measured between record times, so that every reader decides alike.

    A reader that missed expired records is not ``synced``. It becomes so with a complete copy of
    the index (carry records) that reflects the stream up to an offset from which on every record
    can still be read, or when all missed records are older than the key window.

    Args:
        window_s: Key window in seconds.
        on_claim: Called for each claim record with its identifier and whether it owns the key.
        on_change: Called with each key whose entry got an outcome or was freed.

    Attributes:
        next: Offset of the first record that was not read.
        synced: True if the entries are complete.
        refreshed: Wall time of the record from which on a fresh reader can build the index, or None
            if that is not known.
        entries: Owners by key.
    """

    def __init__(
        self,
        window_s: float = KEY_WINDOW_S,
        on_claim: Callable[[str, bool], None] | None = None,
        on_change: Callable[[bytes], None] | None = None,
    ) -> None:
        self.window_s = window_s
        self.next = 0
        self.synced = True
        self.refreshed: float | None = None
        self.entries: dict[bytes, Entry] = {}
        self._released: dict[str, float] = {}
        self._copies: dict[str, list[CarryRecord | None]] = {}
        self._complete_from = 0
        self._missed_until = 0.0
        self._on_claim = on_claim or (lambda claim_id, owns: None)
        self._on_change = on_change or (lambda key: None)

    def feed(self, page: Page) -> None:
        """Take over the records of a page.

        After the call ``next`` may be smaller than before: records that a copy does not reflect are
        read again.

        Args:
            page: Result of a read from ``next``.
        """
        self._check_gap(page)
        for record in page.records:
            if record.offset < self.next:
                continue
            if record.offset > self.next:
                return
            self.next += 1
            if self._take(record):
                return
        self._expire(page.time)
        if not self.synced:
            self._start_by_time(page)

    def get(self, key: bytes, now: float) -> Entry | None:
        """Return the owner of a key.

        Args:
            key: Hash from ``key_hash``.
            now: Wall time of the log, in seconds since the epoch.

        Returns:
            The owner, or None if the key is free.
        """
        entry = self.entries.get(key)
        if entry is None or now - entry.time > self.window_s:
            return None
        return entry

    def record_result(self, result: ResultRecord) -> None:
        """Take over an outcome, from the log or from this node's own execution."""
        key = bytes.fromhex(result.key)
        entry = self.entries.get(key)
        # Only an owner executes, so the result of an expired claim tells who owns a blocked key.
        if entry is None or (entry.blocked and entry.id != result.id):
            entry = Entry(
                result.id,
                bytes.fromhex(result.body),
                result.claimed,
                sys.intern(result.node),
                result.incarnation,
            )
            self.entries[key] = entry
        if entry.id != result.id or entry.status is not Status.PENDING:
            return
        entry.status = Status.DONE if result.known else Status.UNKNOWN
        entry.code = result.status
        entry.answer = pack(result.answer) if result.known and result.kept else None
        self._on_change(key)

    def copy(self, copy_id: str, node: str) -> Iterator[CarryRecord]:
        """Return the carry records of the current state, in parts of bounded size.

        The entries are encoded while the parts are taken. An outcome or release that arrives
        meanwhile may be reflected early, which its own record then only repeats.
        """
        items = list(self.entries.items())
        released = list(self._released.items())
        through = self.next
        starts = _part_starts(items)
        for part, (start, end) in enumerate(zip(starts, [*starts[1:], len(items)], strict=True)):
            rows = [_to_row(key, entry) for key, entry in items[start:end]]
            yield CarryRecord(
                copy_id, node, through, part, len(starts), rows, released if part == 0 else []
            )

    def _check_gap(self, page: Page) -> None:
        if page.first <= self.next:
            return
        self.synced = False
        self.refreshed = None
        self._copies.clear()
        self._complete_from = self.next = page.first
        self._missed_until = page.time
        if page.retention_s >= self.window_s:
            self._missed_until = page.time - page.retention_s

    def _start_by_time(self, page: Page) -> None:
        if page.time - self._missed_until < self.window_s:
            return
        self._reset(page.first)
        self._complete_from = page.first

    def _reset(self, start: int) -> None:
        self.entries.clear()
        self._released.clear()
        self._copies.clear()
        self.next = start
        self.synced = True

    def _take(self, record: Record) -> bool:
        """Take over a record; True if reading must continue at another offset."""
        parsed = parse_record(record)
        if isinstance(parsed, CarryRecord):
            return self._take_carry(parsed, record)
        if parsed is None or not self.synced:
            return False
        if self.refreshed is None:
            self.refreshed = record.time
        if isinstance(parsed, ClaimRecord):
            self._take_claim(parsed, record)
        elif isinstance(parsed, ReleaseRecord):
            self._take_release(parsed, record)
        else:
            self.record_result(parsed)
        return False

    def _take_claim(self, claim: ClaimRecord, record: Record) -> None:
        key = bytes.fromhex(claim.key)
        owner = self.get(key, record.time)
        if owner is not None and owner.blocked:
            owner.time = record.time
        if owner is None and not self._is_released(claim.id, record.time):
            self.entries.pop(key, None)
            owner = self.entries[key] = Entry(
                claim.id,
                bytes.fromhex(claim.body),
                record.time,
                sys.intern(claim.node),
                claim.incarnation,
                blocked=claim.seen < self._complete_from,
            )
        owns = owner is not None and owner.id == claim.id and not owner.blocked
        self._on_claim(claim.id, owns)

    def _take_release(self, release: ReleaseRecord, record: Record) -> None:
        key = bytes.fromhex(release.key)
        # A claim whose append takes effect late can follow its own release.
        self._released[release.id] = record.time
        owner = self.entries.get(key)
        if owner is None or owner.id != release.id or owner.blocked:
            return
        if owner.status is Status.PENDING:
            del self.entries[key]
            self._on_change(key)

    def _is_released(self, claim_id: str, now: float) -> bool:
        released = self._released.get(claim_id)
        return released is not None and now - released <= self.window_s

    def _take_carry(self, carry: CarryRecord, record: Record) -> bool:
        if carry.through > record.offset or carry.through < self._complete_from:
            return False
        if not 0 < carry.parts <= MAX_CARRY_PARTS:
            return False
        parts = self._copies.setdefault(carry.id, [None] * carry.parts)
        if len(parts) != carry.parts or not 0 <= carry.part < carry.parts:
            return False
        # A synced reader only needs to know that the copy is complete.
        parts[carry.part] = carry if not self.synced else _SEEN
        found = [part for part in parts if part is not None]
        if len(found) < carry.parts:
            return False
        self._copies.clear()
        if self.synced:
            self.refreshed = record.time
            return False
        try:
            entries = dict(_from_row(row) for part in found for row in part.entries)
        except (ValueError, TypeError, AttributeError) as exc:
            logger.error("copy of the claims at offset {} is malformed: {!r}", record.offset, exc)
            return False
        self._reset(carry.through)
        self.refreshed = record.time
        self.entries.update(entries)
        for part in found:
            self._released.update(part.released)
        return True

    def _expire(self, now: float) -> None:
        limit = now - self.window_s - CLOCK_MARGIN_S
        for key in _older(((key, entry.time) for key, entry in self.entries.items()), limit):
            del self.entries[key]
        for claim_id in _older(self._released.items(), limit):
            del self._released[claim_id]


_SEEN = CarryRecord("", "", 0, 0, 1, [], [])


def parse_record(record: Record) -> Any:
    """Check a record of the stream.

    Returns:
        A ``ClaimRecord``, ``ReleaseRecord``, ``ResultRecord`` or ``CarryRecord``, or None if it is
        malformed and every node ignores it.
    """
    adapter = _RECORDS.get(str(record.data.get("kind")))
    if adapter is None:
        logger.warning("claim record at offset {} has an unknown kind", record.offset)
        return None
    try:
        parsed = adapter.validate_python(record.data)
        if not isinstance(parsed, CarryRecord):
            bytes.fromhex(parsed.key)
        if isinstance(parsed, ClaimRecord | ResultRecord):
            bytes.fromhex(parsed.body)
        return parsed
    except (ValidationError, ValueError) as exc:
        logger.warning("claim record at offset {} is malformed: {}", record.offset, exc)
        return None


def partition_of(key: bytes, partitions: int) -> int:
    """Return the partition that the claims of a key belong to.

    Args:
        key: Hash from ``key_hash``.
        partitions: Number of partitions.
    """
    return int.from_bytes(key, "big") % partitions


def stream_of(partition: int, partitions: int) -> str:
    """Return the name of the stream that holds the claims of a partition."""
    return CLAIM_STREAM if partitions == 1 else f"{CLAIM_STREAM}-{partition}"


def key_hash(workspace: str, key: str) -> bytes:
    """Return the 16-byte hash under which an idempotency key of a workspace is claimed."""
    return xxhash.xxh3_128_digest(f"{workspace}\0{key}".encode())


def body_hash(pool: str, body: Any) -> bytes:
    """Return the 16-byte hash of a request's pool and JSON body; member order does not count."""
    text = json.dumps([pool, body], sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_128_digest(text.encode())


def pack(answer: Any) -> bytes:
    """Return an answer as compressed JSON."""
    return zlib.compress(json.dumps(answer).encode(), 1)


def unpack(data: bytes) -> Any:
    """Return the answer that ``pack`` compressed."""
    return json.loads(zlib.decompress(data))


def _part_starts(items: list[tuple[bytes, Entry]]) -> list[int]:
    starts, size = [0], 0
    for at, (_, entry) in enumerate(items):
        size += ROW_BYTES + 2 * len(entry.answer or b"")
        if size > CARRY_PART_BYTES and at > starts[-1]:
            starts.append(at)
            size = 0
    return starts


def _to_row(key: bytes, entry: Entry) -> list[Any]:
    members = asdict(entry)
    members["body"] = entry.body.hex()
    members["answer"] = None if entry.answer is None else entry.answer.hex()
    return [key.hex(), *members.values()]


def _from_row(row: list[Any]) -> tuple[bytes, Entry]:
    key, claim_id, body, time, node, incarnation, status, code, answer, blocked = row
    return bytes.fromhex(key), Entry(
        claim_id,
        bytes.fromhex(body),
        time,
        sys.intern(node),
        incarnation,
        Status(status),
        code,
        None if answer is None else bytes.fromhex(answer),
        blocked,
    )


def _older(items: Any, limit: float) -> list[Any]:
    """Return the keys in front whose time is before the limit; items are nearly in time order."""
    found = []
    for key, time in items:
        if time >= limit:
            break
        found.append(key)
    return found
