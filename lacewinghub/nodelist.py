"""Discovery of the nodes of a deployment through a topic of the platform's log.

Each node writes a record of itself and then reads those of the others. Of two nodes, the one that
writes later finds the record of the other, so that they are connected in whatever order they start.
Whether a node is alive is known from its heartbeats; records only provide addresses to try.
"""

import asyncio
import contextlib
import json
import random
import time
from abc import abstractmethod
from collections.abc import Callable

from loguru import logger

from ._backoff import Backoff
from .errors import LogUnavailable
from .follower import KeyedRecord, KeyedTopic
from .transport import Peer

# A record is renewed this often, so that the records of hosts that are gone become stale.
RENEW_S = 100.0
# A record that was not renewed for this long is of a host that is gone.
STALE_S = 330.0
RENEW_SPREAD_S = 1.0
BACKOFF_FIRST_S = 0.3
BACKOFF_LIMIT_S = 3.0
# What the decoding of a malformed JSON record raises.
MALFORMED_RECORD = (ValueError, KeyError, TypeError, OverflowError, RecursionError)


class WritableKeyedTopic(KeyedTopic):
    """A keyed topic to which nodes can write."""

    @abstractmethod
    async def put(self, key: str, value: bytes | None) -> None:
        """Append a record; None deletes the key.

        Raises:
            LogUnavailable: If the log did not answer; the record may have been written.
        """


class NodeDiscovery:
    """Announces this node and discovers the addresses of the others.

    Args:
        identity: This node.
        topic: Topic that holds one record per node.
        listener: Called with the addresses of the other nodes after each read.
        wall: Returns the wall time, in seconds since the epoch.
    """

    def __init__(
        self,
        identity: Peer,
        topic: WritableKeyedTopic,
        listener: Callable[[list[str]], None],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._identity = identity
        self._topic = topic
        self._listener = listener
        self._wall = wall
        self._due = asyncio.Event()

    def renew(self) -> None:
        """Write the record again soon, because the log has lost it."""
        self._due.set()

    async def run(self) -> None:
        """Renew the record and read those of the others periodically, until cancelled."""
        backoff = Backoff(random.Random(), BACKOFF_FIRST_S, BACKOFF_LIMIT_S)
        while True:
            try:
                await self._announce_and_read()
            except LogUnavailable as exc:
                logger.bind(reason=exc.message).info("node record not written")
                await backoff.pause()
                continue
            backoff.reset()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RENEW_S * random.uniform(0.8, 1.0)):
                    await self._due.wait()
                    # All nodes notice at the same time that their records are lost.
                    await asyncio.sleep(random.uniform(0.0, RENEW_SPREAD_S))
            self._due.clear()

    async def withdraw(self) -> None:
        """Delete the record of this node; if the log is unavailable, it becomes stale later."""
        try:
            await self._topic.put(self._identity.node, None)
        except LogUnavailable as exc:
            logger.bind(reason=exc.message).info("record of this node not deleted")

    async def _announce_and_read(self) -> None:
        own = self._identity
        value = {"address": own.address, "announced": self._wall()}
        await self._topic.put(own.node, json.dumps(value).encode())
        page = await self._topic.newest()
        found = [self._address(item) for item in page.records if item.key != own.node]
        self._listener([address for address in found if address is not None])

    def _address(self, record: KeyedRecord) -> str | None:
        try:
            value = json.loads(record.value or b"")
            age_s = self._wall() - float(value["announced"])
            return str(value["address"]) if age_s < STALE_S else None
        except MALFORMED_RECORD as exc:
            logger.bind(key=record.key).warning("record names no node: {!r}", exc)
            return None
