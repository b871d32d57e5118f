"""Publishing of tables by operators."""

import asyncio
import random
import uuid
from dataclasses import asdict, dataclass
from typing import Any

from ._backoff import Backoff
from ._steps import in_steps
from .config import CONFIG_STREAM, AcceptedChange, ChangeRecord, ConfigState
from .errors import LogUnavailable, LogUncertain, PublishLost
from .log import Log
from .tables import Tables

PUBLISH_TIMEOUT_S = 30.0
BACKOFF_FIRST_S = 0.1


@dataclass(frozen=True, slots=True)
class PublishResult:
    """An accepted change.

    Attributes:
        version: Version of the published tables.
        author: Name of the operator.
        change_id: Identifier of the change, empty if the tables were already in force.
        changes: Number of entries that were put or deleted.
    """

    version: int
    author: str
    change_id: str
    changes: int


class _Reader:
    """Follows the stream and remembers the accepted changes since a version."""

    def __init__(self, log: Log) -> None:
        self.state = ConfigState()
        self.accepted: list[AcceptedChange] = []
        self._log = log

    async def to_tail(self) -> None:
        while True:
            page = await self._log.read(CONFIG_STREAM, self.state.next)
            self.accepted += await in_steps(self.state.apply_page_steps(page))
            if self.state.next >= page.next:
                return

    def find(self, change_id: str) -> AcceptedChange | None:
        return next((item for item in self.accepted if item.id == change_id), None)

    def winner(self, version: int) -> AcceptedChange | None:
        return next((item for item in self.accepted if item.version == version), None)


async def publish(
    log: Log,
    document: dict[str, Any],
    author: str,
    *,
    base: int | None = None,
    timeout_s: float = PUBLISH_TIMEOUT_S,
) -> PublishResult:
    """Publish tables and wait until the change is accepted or lost.

    Args:
        log: The platform's log.
        document: The tables as a JSON document.
        author: Name of the operator.
        base: Version that the document was edited from; defaults to the current one.
        timeout_s: How long to try while the log does not answer, in seconds.

    Returns:
        The accepted change.

    Raises:
        TablesInvalid: If the document is wrong or changes the number of claim partitions; nothing
            was published.
        PublishLost: If another change was accepted first; details give ``winner``, its author, and
            ``version``. This change was not accepted and never will be.
        LogUnavailable: If the log did not answer in time; nothing was published.
        LogUncertain: If the log did not confirm the append in time; it may still be accepted.
    """
    wanted = Tables.parse(document)
    deadline = asyncio.get_running_loop().time() + timeout_s
    reader = _Reader(log)
    await _read_current(reader, deadline)
    current = reader.state.tables
    if base is not None and base != current.version:
        raise _lost(reader, base)
    changes = current.diff(wanted)
    if not changes:
        return PublishResult(current.version, author, "", 0)
    current.apply(changes, current.version + 1)
    record = ChangeRecord(current.version, current.version + 1, author, uuid.uuid4().hex, changes)
    return await _append(reader, log, record, deadline)


async def _read_current(reader: _Reader, deadline: float) -> None:
    backoff = _backoff()
    while True:
        try:
            await reader.to_tail()
            if reader.state.synced:
                return
            problem = LogUnavailable("the log holds no snapshot of the tables yet")
        except LogUnavailable as exc:
            problem = exc
        await _pause(backoff, deadline, problem)


async def _append(
    reader: _Reader, log: Log, record: ChangeRecord, deadline: float
) -> PublishResult:
    sent = False
    gaps = reader.state.gaps
    backoff = _backoff()
    while True:
        problem: LogUnavailable | LogUncertain
        try:
            # The same record may be appended twice: only one of the two finds its base version.
            await log.append(CONFIG_STREAM, [asdict(record)])
            sent = True
            problem = LogUncertain("the change was appended but could not be read back")
        except LogUncertain as exc:
            sent, problem = True, exc
        except LogUnavailable as exc:
            problem = LogUncertain(exc.message) if sent else exc
        try:
            await reader.to_tail()
        except LogUnavailable:
            await _pause(backoff, deadline, problem)
            continue
        found = reader.find(record.id)
        if found is not None:
            return PublishResult(found.version, record.author, record.id, len(record.changes))
        if reader.state.gaps > gaps:
            raise LogUncertain("records expired before the change was read back")
        if reader.state.tables.version > record.base:
            raise _lost(reader, record.base)
        await _pause(backoff, deadline, problem)


def _lost(reader: _Reader, base: int) -> PublishLost:
    winner = reader.winner(base + 1)
    name = winner.author if winner is not None else ""
    shown = f"{name!r} published version {base + 1}" if name else f"version {base} is not current"
    return PublishLost(
        f"{shown} first; the current version is {reader.state.tables.version}",
        winner=name,
        version=reader.state.tables.version,
    )


def _backoff() -> Backoff:
    return Backoff(random.Random(), BACKOFF_FIRST_S)


async def _pause(backoff: Backoff, deadline: float, problem: Exception) -> None:
    pause = backoff.draw()
    if asyncio.get_running_loop().time() + pause > deadline:
        raise problem
    await asyncio.sleep(pause)
    backoff.grow()
