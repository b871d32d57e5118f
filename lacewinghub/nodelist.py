"""Discovery of the nodes of a deployment through a topic of the platform's log.

Each node writes a record of itself and then reads those of the others. Of two nodes, the one that
writes later finds the record of the other, so that they are connected in whatever order they start.
Whether a node is alive is known from its heartbeats; records only provide addresses to try, and
tell which incarnations of nodes there may be.
"""

import asyncio
import contextlib
import json
import random
import time
from abc import abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from ._backoff import Backoff
from .errors import LogUnavailable
from .follower import KeyedRecord, KeyedTopic
from .transport import Peer

# A record is renewed this often, so that the records of hosts that are gone become stale.
RENEW_S = 100.0
# A record that was not renewed for this long is of a host that is gone.
STALE_S = 330.0
# A record that was renewed within this time is not stale by the clock of any node.
RENEWED_S = 300.0
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


@dataclass(frozen=True, slots=True)
class AnnouncedNode:
    """The record of a node.

    Attributes:
        node: Its name.
        address: Address on which it accepts peers.
        incarnation: Its incarnation; None from builds that do not write it.
    """

    node: str
    address: str
    incarnation: int | None


@dataclass(frozen=True, slots=True)
class NodeList:
    """The other nodes that have announced themselves.

    Attributes:
        others: Their records.
        requested_at: Loop time at which the read was sent, in seconds.
        era: Era of the log from which they were read.
    """

    others: list[AnnouncedNode]
    requested_at: float
    era: int = 0


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
        self._must_renew = True
        self._is_withdrawn = False
        # Loop times of the first and the last confirmation that the log has the record, in seconds.
        self._announced_at: float | None = None
        self._renewed_at = float("-inf")
        self._announced = asyncio.Event()
        self._list_listeners: list[Callable[[NodeList], None]] = []

    def listen(self, listener: Callable[[NodeList], None]) -> None:
        """Register a function that is called with the other nodes after each read."""
        self._list_listeners.append(listener)

    @property
    def announced_s(self) -> float:
        """Time for which all who read the log have found this node there, in seconds.

        Negative infinity if they may not find it.
        """
        if self._announced_at is None or _now() - self._renewed_at > RENEWED_S:
            return float("-inf")
        return _now() - self._announced_at

    async def wait_announced(self, timeout_s: float) -> None:
        """Wait until this node has announced itself, or for some time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._announced.wait()

    def renew(self) -> None:
        """Write the record again soon, because the log has lost it."""
        self._announced_at, self._must_renew = None, True
        self._due.set()

    def read_soon(self) -> None:
        """Read the records of the others soon."""
        self._due.set()

    async def run(self) -> None:
        """Renew the record and read those of the others periodically, until cancelled."""
        backoff = Backoff(random.Random(), BACKOFF_FIRST_S, BACKOFF_LIMIT_S)
        while True:
            try:
                await self._announce()
                await self._read()
                backoff.reset()
                await self._read_until_renewal()
            except LogUnavailable as exc:
                logger.bind(reason=exc.message).info("nodes not announced or not read")
                await backoff.pause()

    async def withdraw(self) -> None:
        """Delete the record of this node; if the log is unavailable, it becomes stale later."""
        self._announced_at, self._is_withdrawn = None, True
        try:
            await self._topic.put(self._identity.node, None)
        except LogUnavailable as exc:
            logger.bind(reason=exc.message).info("record of this node not deleted")

    async def _announce(self) -> None:
        own = self._identity
        value = {
            "address": own.address,
            "announced": self._wall(),
            "incarnation": own.incarnation,
        }
        self._must_renew = False
        await self._topic.put(own.node, json.dumps(value).encode())
        if self._must_renew or self._is_withdrawn:
            return  # The record may have been lost or deleted meanwhile.
        self._renewed_at = _now()
        if self._announced_at is None:
            self._announced_at = _now()
        self._announced.set()

    async def _read(self) -> None:
        self._due.clear()
        requested_at = _now()
        page = await self._topic.newest()
        found = [self._node(item) for item in page.records if item.key != self._identity.node]
        others = [item for item in found if item is not None]
        self._listener([item.address for item in others])
        for listener in self._list_listeners:
            listener(NodeList(others, requested_at, page.era))

    async def _read_until_renewal(self) -> None:
        """Read the records of the others when asked to, until that of this node is renewed."""
        renewal_at = _now() + RENEW_S * random.uniform(0.8, 1.0)
        while not self._must_renew:
            try:
                async with asyncio.timeout_at(renewal_at):
                    await self._due.wait()
            except TimeoutError:
                return
            if not self._must_renew:
                await self._read()
        # All nodes notice at the same time that their records are lost.
        await asyncio.sleep(random.uniform(0.0, RENEW_SPREAD_S))

    def _node(self, record: KeyedRecord) -> AnnouncedNode | None:
        try:
            value = json.loads(record.value or b"")
            age_s = self._wall() - float(value["announced"])
            incarnation = value.get("incarnation")
            found = AnnouncedNode(
                record.key,
                str(value["address"]),
                None if incarnation is None else int(incarnation),
            )
            return found if age_s < STALE_S else None
        except MALFORMED_RECORD as exc:
            logger.bind(key=record.key).warning("record names no node: {!r}", exc)
            return None


def _now() -> float:
    return asyncio.get_running_loop().time()
