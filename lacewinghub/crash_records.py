"""Keeps the evidence of the causes of crashes in a topic of the log, for the loss of all nodes.

Nodes learn of crashes from each other's heartbeats. The topic is written once for each cause and
read once at the start of a node. After the log came back from an older copy it is written again.
"""

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from functools import partial

from loguru import logger
from pydantic import TypeAdapter, ValidationError

from ._backoff import Backoff
from .crash_evidence import Cause
from .crash_guard import CAUSE_RETENTION_S, CrashGuard
from .errors import LogUnavailable
from .follower import KeyedRecord
from .membership import Members, is_among_first
from .message import CrashSuspect
from .nodelist import MALFORMED_RECORD, WritableKeyedTopic

WRITERS = 2  # Number of nodes that write the same record, in case that one of them is lost.
BACKOFF_FIRST_S = 0.3
BACKOFF_LIMIT_S = 3.0
_SUSPECTS = TypeAdapter(list[CrashSuspect])


class CrashRecords:
    """Stores the evidence of causes, and restores it at the start.

    Args:
        node: Identifier of this node.
        members: View of the live nodes.
        topic: Topic that holds one record per cause.
        guard: Finds the causes.
        wall: Returns the wall time, in seconds since the epoch.
    """

    def __init__(
        self,
        node: str,
        members: Members,
        topic: WritableKeyedTopic,
        guard: CrashGuard,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._node = node
        self._members = members
        self._topic = topic
        self._guard = guard
        self._wall = wall
        self._stored: set[str] = set()
        self._pending: asyncio.Queue[Cause] = asyncio.Queue()
        guard.listen(self._pending.put_nowait)

    async def run(self) -> None:
        """Restore the stored evidence, then write that of new causes until cancelled."""
        await self._until_available(self._restore)
        while True:
            cause = await self._pending.get()
            key = f"{cause.trait:x}"
            if key not in self._stored and self._is_writer(key):
                await self._until_available(partial(self._write, key, cause))

    def renew(self) -> None:
        """Write the records of all known causes again, because the log has lost some of them."""
        self._stored.clear()
        for cause in self._guard.causes:
            self._pending.put_nowait(cause)

    async def _until_available(self, action: Callable[[], Awaitable[None]]) -> None:
        backoff = Backoff(random.Random(), BACKOFF_FIRST_S, BACKOFF_LIMIT_S)
        while True:
            try:
                return await action()
            except LogUnavailable as exc:
                logger.bind(reason=exc.message).info("crash records not available")
                await backoff.pause()

    async def _restore(self) -> None:
        page = await self._topic.newest()
        found = [item for record in page.records for item in self._decode(record)]
        self._stored |= {record.key for record in page.records}
        self._guard.restore(found)

    async def _write(self, key: str, cause: Cause) -> None:
        suspects = [asdict(item) for item in self._guard.evidence_of(cause)]
        value = {"recorded": self._wall(), "suspects": suspects}
        await self._topic.put(key, json.dumps(value).encode())
        self._stored.add(key)

    def _is_writer(self, key: str) -> bool:
        names = (item.node for item in self._members.live())
        return is_among_first(self._node, key, names, WRITERS)

    def _decode(self, record: KeyedRecord) -> list[CrashSuspect]:
        """Return the suspects of a record; none if it is malformed or too old."""
        try:
            value = json.loads(record.value or b"")
            if self._wall() - float(value["recorded"]) > CAUSE_RETENTION_S:
                return []
            return _SUSPECTS.validate_python(value["suspects"])
        except (*MALFORMED_RECORD, ValidationError) as exc:
            logger.bind(key=record.key).warning("record holds no crashes: {!r}", exc)
            return []
