"""The tables of a node, replicated through the stream ``config`` of the log."""

import asyncio
import base64
import random
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any, Literal

from loguru import logger
from pydantic import TypeAdapter, ValidationError

from ._backoff import Backoff
from ._refresh import RefreshTimer
from ._steps import Steps, at_once, in_steps
from .document import read_steps, write_steps
from .errors import LogUnavailable, LogUncertain, TablesInvalid
from .history import EventKind, History
from .log import Log, Page, Record
from .membership import HeartbeatContributor
from .message import ConfigReply, ConfigRequest, Heartbeat
from .tables import Change, Draft, Tables
from .transport import Transport

CONFIG_STREAM = "config"
READ_WAIT_S = 2.0
# A peer's version spreads with heartbeats faster than a record through a slow log; a node that
# lags for a shorter time gets the change from the log soon.
LAG_BEFORE_REQUEST_S = 0.5
REQUEST_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """A change of the tables.

    Attributes:
        base: Version that the change starts from.
        version: Version after the change; always ``base + 1``.
        author: Name of the operator.
        id: Unique identifier of the change.
        changes: Operations.
    """

    base: int
    version: int
    author: str
    id: str
    changes: list[Change]
    kind: Literal["change"] = "change"


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """Full tables.

    Attributes:
        version: Version of the tables.
        through: Offset of the first record that the tables do not reflect.
        node: Node that appended it.
        document: The tables as a JSON document, compressed with zlib and in base 64. Readers that
            need no snapshot skip it without decoding megabytes.
    """

    version: int
    through: int
    node: str
    document: str
    kind: Literal["snapshot"] = "snapshot"


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """A change that was accepted, by its identifier, author and resulting version."""

    id: str
    author: str
    version: int


_RECORDS: dict[Any, TypeAdapter[Any]] = {
    "change": TypeAdapter(ChangeRecord),
    "snapshot": TypeAdapter(SnapshotRecord),
}


class ConfigState:
    """The tables as a function of the records of the stream, in log order.

    Two states that reflect the stream up to the same offset are equal. After a gap the state is not
    ``synced``: it holds the changes that it reads until a snapshot tells the tables at an offset
    from which on it has read every record.

    ``apply_page_steps`` and ``apply_snapshot_steps`` pause while they read a document and may then
    run side by side. The state is consistent at every pause: it changes between two pauses only,
    and what was decided before a document was read is decided again after it.

    Attributes:
        tables: Tables at ``next`` if synced, otherwise the last known ones.
        next: Offset of the first record that was not read.
        synced: True if the tables reflect every record before ``next``.
        refreshed: Wall time of the record from which on a fresh reader can build the tables, or
            None if that is not known.
        gaps: Number of times that records expired before they were read.
    """

    def __init__(self) -> None:
        self.tables = Tables()
        self.next = 0
        self.synced = True
        self.refreshed: float | None = None
        self.gaps = 0
        self._draft = Draft(self.tables)
        self._version = 0
        self._pending: list[tuple[int, ChangeRecord]] = []
        self._unbroken_from = 0

    def apply_page(self, page: Page) -> list[AcceptedChange]:
        """Take over the records of a page at once; see ``apply_page_steps``."""
        return at_once(self.apply_page_steps(page))

    def apply_page_steps(self, page: Page) -> Steps[list[AcceptedChange]]:
        """Take over the records of a page, in steps.

        Args:
            page: Result of a read from ``next`` or from a smaller offset.

        Returns:
            The changes that were accepted, in log order.
        """
        self._check_gap(page)
        accepted: list[AcceptedChange] = []
        for record in page.records:
            if record.offset < self.next:
                continue
            accepted += yield from self._take(record)
        self._build()
        return accepted

    def apply_snapshot(
        self, version: int, document: bytes, through: int
    ) -> list[AcceptedChange] | None:
        """Take over the tables at an offset at once; see ``apply_snapshot_steps``."""
        return at_once(self.apply_snapshot_steps(version, document, through))

    def apply_snapshot_steps(
        self, version: int, document: bytes, through: int
    ) -> Steps[list[AcceptedChange] | None]:
        """Take over the tables at an offset, in steps.

        Args:
            version: Version of the tables.
            document: The tables as a JSON document, compressed with zlib.
            through: Offset of the first record that they do not reflect.

        Returns:
            The held changes that were accepted on top, or None if the tables are not usable:
            records between them and ``next`` were not read, or this state is newer.

        Raises:
            TablesInvalid: If the document is wrong.
        """
        if not self._usable(version, through):
            return None
        tables = yield from read_steps(document, version)
        if not self._usable(version, through):
            return None
        self.tables = tables
        self._draft, self._version = Draft(self.tables), version
        self.next = max(self.next, through)
        self.synced = True
        pending, self._pending = self._pending, []
        accepted = [
            done for at, change in pending if at >= through for done in self._apply_change(change)
        ]
        self._build()
        return accepted

    def _usable(self, version: int, through: int) -> bool:
        if through <= self.next and (self.synced or through < self._unbroken_from):
            return False
        return version >= self._version

    def _check_gap(self, page: Page) -> None:
        start = page.records[0].offset if page.records else page.first
        if start <= self.next:
            return
        self.synced = False
        self.refreshed = None
        self.gaps += 1
        self._pending = []
        self._unbroken_from = self.next = start

    def _take(self, record: Record) -> Steps[list[AcceptedChange]]:
        self.next = record.offset + 1
        parsed = parse_record(record)
        if isinstance(parsed, ChangeRecord):
            if not self.synced:
                self._pending.append((record.offset, parsed))
                return []
            if self.refreshed is None:
                self.refreshed = record.time
            return self._apply_change(parsed)
        if isinstance(parsed, SnapshotRecord):
            return (yield from self._take_snapshot(parsed, record))
        return []

    def _take_snapshot(
        self, snapshot: SnapshotRecord, record: Record
    ) -> Steps[list[AcceptedChange]]:
        if snapshot.through > record.offset:
            logger.error("snapshot at offset {} claims to reflect later records", record.offset)
            return []
        try:
            document = base64.b64decode(snapshot.document)
            accepted = yield from self.apply_snapshot_steps(
                snapshot.version, document, snapshot.through
            )
        except (TablesInvalid, ValueError) as exc:
            logger.error("snapshot of version {} is invalid: {}", snapshot.version, exc)
            return []
        if accepted is not None or (self.synced and snapshot.version == self._version):
            self.refreshed = record.time
        return accepted or []

    def _apply_change(self, change: ChangeRecord) -> list[AcceptedChange]:
        if change.base != self._version or change.version != change.base + 1:
            return []
        try:
            self._draft.apply(change.changes)
        except TablesInvalid as exc:
            logger.warning("change {} of {} is invalid: {}", change.id, change.author, exc)
            return []
        self._version = change.version
        return [AcceptedChange(change.id, change.author, change.version)]

    def _build(self) -> None:
        """Make the tables of all changes since the last call; one copy serves many changes."""
        if self._version != self.tables.version:
            self.tables = self._draft.build(self._version)


def parse_record(record: Record) -> ChangeRecord | SnapshotRecord | None:
    """Check a record of the stream.

    Returns:
        The record, or None if it is malformed and every node ignores it.
    """
    adapter = _RECORDS.get(str(record.data.get("kind")))
    if adapter is None:
        logger.warning("config record at offset {} has an unknown kind", record.offset)
        return None
    try:
        return adapter.validate_python(record.data)
    except ValidationError as exc:
        logger.warning("config record at offset {} is malformed: {}", record.offset, exc)
        return None


class ConfigReplica(HeartbeatContributor):
    """Keeps the tables of one node up to date.

    Args:
        node: Identifier of this node.
        log: The platform's log.
        transport: Messages to peers, or None.
        history: Receives an event for each version in force.
        seed: Seed of the jitter; defaults to the node identifier.

    Attributes:
        tables: Tables in force; version 0 until the first ones are.
    """

    def __init__(
        self,
        node: str,
        log: Log,
        transport: Transport | None = None,
        history: History | None = None,
        seed: int | str | None = None,
    ) -> None:
        self.tables = Tables()
        self._node = node
        self._log = log
        self._transport = transport
        self._history = history
        self._random = random.Random(node if seed is None else seed)
        self._state = ConfigState()
        self._listeners: list[Callable[[Tables], None]] = []
        self._changed = asyncio.Event()
        self._in_force = False
        self._behind_since: float | None = None
        self._requested_at = float("-inf")
        self._refresh_timer = RefreshTimer(self._random)
        self._writing = asyncio.Lock()
        self._readers = 0
        self._document: tuple[int, bytes] | None = None
        self._requests: dict[str, int] = {}
        self._reply: tuple[str, ConfigReply] | None = None
        self._requested, self._replied = asyncio.Event(), asyncio.Event()
        if transport is not None:
            transport.subscribe(ConfigRequest, self._on_request)
            transport.subscribe(ConfigReply, self._on_reply)

    @property
    def ready(self) -> bool:
        """True once tables are in force."""
        return self._in_force and self.tables.version > 0

    def subscribe(self, listener: Callable[[Tables], None]) -> None:
        """Register a function that is called with every new version in force."""
        self._listeners.append(listener)

    async def wait_version(self, version: int) -> Tables:
        """Wait until a version, or a larger one, is in force."""
        while self.tables.version < version:
            await self._changed.wait()
        return self.tables

    async def run(self) -> None:
        """Tail the stream and exchange tables with peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            for work in (self._tail, self._answer_requests, self._take_replies):
                group.create_task(work())

    async def _tail(self) -> None:
        backoff = Backoff(self._random)
        wait_s = 0.0
        while True:
            try:
                page = await self._log.read(CONFIG_STREAM, self._state.next, wait_s=wait_s)
            except LogUnavailable:
                await backoff.pause()
                continue
            backoff.reset()
            await in_steps(self._state.apply_page_steps(page))
            at_tail = self._state.next >= page.next
            if self._state.synced and (at_tail or self._in_force):
                self._put_in_force()
            wait_s = READ_WAIT_S if at_tail else 0.0
            if at_tail:
                await self._refresh(page)

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Write the version in force into an outgoing heartbeat."""
        heartbeat.config_version = self.tables.version

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Ask the peer for its tables if this node stays behind."""
        if self._transport is None or heartbeat.config_version <= self.tables.version:
            return
        now = asyncio.get_running_loop().time()
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < LAG_BEFORE_REQUEST_S:
            return
        if now - self._requested_at < REQUEST_INTERVAL_S:
            return
        self._requested_at = now
        self._transport.send(heartbeat.node, ConfigRequest(self.tables.version))

    def _on_request(self, sender: str, request: ConfigRequest) -> None:
        self._requests[sender] = request.version
        self._requested.set()

    def _on_reply(self, sender: str, reply: ConfigReply) -> None:
        """Keep the newest reply; an older one would be read in vain."""
        if self._reply is None or reply.version >= self._reply[1].version:
            self._reply = (sender, reply)
            self._replied.set()

    async def _answer_requests(self) -> None:
        while True:
            await self._requested.wait()
            self._requested.clear()
            while self._requests:
                sender = next(iter(self._requests))
                await self._answer(sender, self._requests.pop(sender))

    async def _answer(self, sender: str, version: int) -> None:
        state = self._state
        tables, through, refreshed = state.tables, state.next, state.refreshed or 0.0
        if self._transport is None or not self.ready or not state.synced:
            return
        if tables.version <= version:
            return
        document = await self._full_document(tables)
        self._transport.send(sender, ConfigReply(tables.version, document, through, refreshed))

    async def _take_replies(self) -> None:
        while True:
            await self._replied.wait()
            self._replied.clear()
            if self._reply is not None:
                (sender, reply), self._reply = self._reply, None
                await self._take_reply(sender, reply)

    async def _take_reply(self, sender: str, reply: ConfigReply) -> None:
        steps = self._state.apply_snapshot_steps(reply.version, reply.document, reply.through)
        try:
            accepted = await in_steps(steps)
        except TablesInvalid as exc:
            logger.error("peer {} sent invalid tables: {}", sender, exc)
            return
        if accepted is None:
            return
        self._state.refreshed = self._state.refreshed or reply.refreshed
        self._put_in_force()

    def _put_in_force(self) -> None:
        self._in_force = True
        tables = self._state.tables
        if tables.version <= self.tables.version:
            return
        self.tables = tables
        if not self._readers:
            self._document = None
        self._behind_since = None
        self._changed.set()
        self._changed = asyncio.Event()
        if self._history is not None:
            self._history.record(EventKind.CONFIG, version=tables.version)
        for listener in self._listeners:
            listener(tables)

    async def _full_document(self, tables: Tables) -> bytes:
        """Write tables; a second user of the same version waits for the first one's work."""
        self._readers += 1
        try:
            async with self._writing:
                if self._document is None or self._document[0] != tables.version:
                    self._document = None
                    self._document = (tables.version, await in_steps(write_steps(tables)))
                return self._document[1]
        finally:
            self._readers -= 1

    async def _refresh(self, page: Page) -> None:
        """Append a snapshot if the newest one gets old and no other node does so first."""
        if not self._state.synced or self._state.tables.version == 0:
            return
        if not self._refresh_timer.due(page, self._state.refreshed):
            return
        tables, through = self._state.tables, self._state.next
        text = base64.b64encode(await self._full_document(tables)).decode()
        snapshot = SnapshotRecord(tables.version, through, self._node, text)
        if not self._readers:
            self._document = None
        try:
            await self._log.append(CONFIG_STREAM, [asdict(snapshot)])
        except (LogUnavailable, LogUncertain) as exc:
            logger.debug("snapshot of version {} was not confirmed: {}", snapshot.version, exc)
