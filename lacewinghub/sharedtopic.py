"""A topic of the platform's log that nodes can also read from each other.

A node that cannot read from the log asks its peers for the missing records. Heartbeats contain the
offset up to which a node has read, so that a node whose reads hang detects that it lags behind. A
node answers with the newest record of each key, which is all that a follower needs.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from .errors import LogUnavailable
from .follower import KeyedPage, KeyedRecord, KeyedTopic, RecordsExpired
from .membership import HeartbeatContributor
from .message import Heartbeat, RecordItem, RecordsReply, RecordsRequest, TopicOffset
from .transport import Transport

# Start offset that requests the records of all keys.
ALL_RECORDS = -1
# Number of peers that are asked at the same time; some of them may be unable to read from
# the log as well.
MAX_PEERS_ASKED = 3
# Time to wait for the replies of the peers.
REPLY_TIMEOUT_S = 0.4
# How often it is checked during a read of the log whether this node lags behind its peers.
CHECK_INTERVAL_S = 0.25
# A node that lags behind its peers for this long asks them for the records.
LAG_BEFORE_REQUEST_S = 0.6
# A peer that read from the log within this time has its newest records.
RECENT_READ_S = 2.0
# A read of the log waits this long for a change if there are peers, in seconds. A broken connection
# that stays silent is detected only after this time if those of the peers are silent as well.
READ_WAIT_S = 2.5
# Number of stored records, including deleted keys, above which the deleted keys are dropped.
MAX_STORED_RECORDS = 4096

ReadLog = Callable[[], Coroutine[Any, Any, KeyedPage]]


class PeerFallbackTopic(KeyedTopic, HeartbeatContributor):
    """Reads a topic from the log, or from peers while the log does not answer.

    Args:
        name: Name of the topic in messages between nodes.
        topic: The topic in the log.
        transport: Connections to the other nodes.
        rng: Source of randomness for the choice of peers.
    """

    def __init__(
        self,
        name: str,
        topic: KeyedTopic,
        transport: Transport,
        rng: random.Random | None = None,
    ) -> None:
        self.name = name
        self._topic = topic
        self._transport = transport
        self._rng = rng or random.Random()
        self._records: dict[str, KeyedRecord] = {}
        # All changes from this offset on are stored.
        self._base = 0
        self._end = ALL_RECORDS
        self._last_read = float("-inf")
        self._behind_since: float | None = None
        self._replies: asyncio.Queue[RecordsReply] = asyncio.Queue()
        transport.subscribe(RecordsRequest, self._on_request)
        transport.subscribe(RecordsReply, self._on_reply)

    async def newest(self) -> KeyedPage:
        """Read the newest record of each key."""
        try:
            page = await self._read_or_ask_peers(self._topic.newest, ALL_RECORDS)
        except RecordsExpired as exc:
            raise LogUnavailable(f"topic {self.name!r}: {exc.message}") from exc
        self._records = {item.key: item for item in page.records}
        self._base = self._end = page.end
        return page

    async def read(self, start: int, wait_s: float) -> KeyedPage:
        """Read records from an offset on; if there are peers, the read may wait longer."""
        if self._transport.peers():
            wait_s = max(wait_s, READ_WAIT_S)
        page = await self._read_or_ask_peers(lambda: self._topic.read(start, wait_s), start)
        for item in page.records:
            self._records[item.key] = item
        self._end = page.end
        self._drop_deleted_keys()
        return page

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the offset up to which this node has read."""
        heartbeat.ends.append(TopicOffset(self.name, self._end))

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record since when a peer has read further than this node."""
        for item in heartbeat.ends:
            if item.topic == self.name and item.end > self._end and self._behind_since is None:
                self._behind_since = _now()

    async def _read_or_ask_peers(self, read: ReadLog, start: int) -> KeyedPage:
        """Read from the log, or from peers if it does not answer or this node lags behind."""
        task = asyncio.create_task(read())
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=CHECK_INTERVAL_S)
                if not task.done() and self._lags_behind():
                    page = await self._read_from_peers(start)
                    if page is not None and not task.done():
                        return page
            page = task.result()
        except LogUnavailable:
            await asyncio.sleep(CHECK_INTERVAL_S * self._rng.random())
            found = await self._read_from_peers(start)
            if found is None:
                raise
            return found
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, LogUnavailable, RecordsExpired):
                await task
        self._last_read = _now()
        self._behind_since = None
        return page

    def _lags_behind(self) -> bool:
        return (
            self._behind_since is not None and _now() - self._behind_since >= LAG_BEFORE_REQUEST_S
        )

    async def _read_from_peers(self, start: int) -> KeyedPage | None:
        """Ask some peers for records.

        Returns:
            The records of a peer that has access to the log or has read further, or None.

        Raises:
            RecordsExpired: If the peer no longer has all changes from this offset on.
        """
        reply = await self._best_reply(start)
        if reply is None:
            return None
        self._behind_since = None
        if reply.whole and start != ALL_RECORDS:
            raise RecordsExpired(f"records from offset {start} on are gone at the peers")
        logger.bind(topic=self.name, start=start, end=reply.end, fresh=reply.fresh).info(
            "records taken from a peer"
        )
        records = [KeyedRecord(item.key, item.value, item.offset) for item in reply.items]
        return KeyedPage(records, reply.end)

    async def _best_reply(self, start: int) -> RecordsReply | None:
        peers = self._transport.peers()
        self._replies = asyncio.Queue()
        asked = 0
        for peer in self._rng.sample(peers, min(MAX_PEERS_ASKED, len(peers))):
            asked += self._transport.send(peer.node, RecordsRequest(self.name, start))
        best: RecordsReply | None = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                for _ in range(asked):
                    reply = await self._replies.get()
                    if reply.fresh:
                        return reply
                    if reply.end > max(start, best.end if best else ALL_RECORDS):
                        best = reply
        return best

    def _on_request(self, sender: str, request: RecordsRequest) -> None:
        if request.topic != self.name or self._end == ALL_RECORDS:
            return
        whole = request.start < self._base
        items = [
            RecordItem(item.key, item.value, item.offset)
            for item in self._records.values()
            if (whole and item.value is not None) or (not whole and item.offset >= request.start)
        ]
        fresh = _now() - self._last_read < RECENT_READ_S and self._end >= request.start
        reply = RecordsReply(self.name, request.start, whole, fresh, self._end, items)
        self._transport.send(sender, reply)

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
            del self._records[item.key]


def _now() -> float:
    return asyncio.get_running_loop().time()
