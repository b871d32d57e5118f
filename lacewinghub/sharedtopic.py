"""A topic of the platform's log that nodes also read from each other.

A node that the log turns away asks the other nodes for the records that it misses. Nodes state with
their heartbeats up to which offset they have read, so that a node whose reads hang notices that it
is behind. A node answers from the newest record of each key, which is all that a follower needs.
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

# Asks for all records.
WHOLE = -1
# Peers that are asked at once; one of them may be cut off as well.
ASKED = 3
ANSWER_S = 0.4
# How often a waiting read looks whether the peers are ahead.
LOOK_S = 0.25
# A node that is behind its peers for this long takes the records from them.
BEHIND_S = 0.6
# A peer that read the log within this time knows its newest records.
FRESH_S = 2.0
# A read waits this long for a change while there are peers, in seconds. A connection that is silent
# for good goes unnoticed for as long if those of the peers are silent as well.
LONG_WAIT_S = 2.5
MAX_HELD = 4096

Read = Callable[[], Coroutine[Any, Any, KeyedPage]]


class PeerFallbackTopic(KeyedTopic, HeartbeatContributor):
    """Reads a topic from the log, or from other nodes while the log does not answer.

    Args:
        name: Name of the topic between nodes.
        topic: The topic in the log.
        transport: Connections to the other nodes.
        rng: Chooses the peers that are asked.
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
        self._held: dict[str, KeyedRecord] = {}
        # All changes from this offset on are held.
        self._base = 0
        self._end = WHOLE
        self._read = float("-inf")
        self._behind: float | None = None
        self._replies: asyncio.Queue[RecordsReply] = asyncio.Queue()
        transport.subscribe(RecordsRequest, self._on_request)
        transport.subscribe(RecordsReply, self._on_reply)

    async def newest(self) -> KeyedPage:
        """Read the newest record of each key."""
        try:
            page = await self._or_peers(self._topic.newest, WHOLE)
        except RecordsExpired as exc:
            raise LogUnavailable(f"topic {self.name!r}: {exc.message}") from exc
        self._held = {item.key: item for item in page.records}
        self._base = self._end = page.end
        return page

    async def read(self, start: int, wait_s: float) -> KeyedPage:
        """Read records from an offset on; with peers a read may wait for longer."""
        if self._transport.peers():
            wait_s = max(wait_s, LONG_WAIT_S)
        page = await self._or_peers(lambda: self._topic.read(start, wait_s), start)
        for item in page.records:
            self._held[item.key] = item
        self._end = page.end
        self._bound()
        return page

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """State up to which offset this node has read."""
        heartbeat.ends.append(TopicOffset(self.name, self._end))

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Note whether a peer has read further."""
        for item in heartbeat.ends:
            if item.topic == self.name and item.end > self._end and self._behind is None:
                self._behind = _now()

    async def _or_peers(self, read: Read, start: int) -> KeyedPage:
        """Read from the log, or from peers if it does not answer or this node falls behind."""
        task = asyncio.create_task(read())
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=LOOK_S)
                if not task.done() and self._is_behind():
                    page = await self._ask(start)
                    if page is not None and not task.done():
                        return page
            page = task.result()
        except LogUnavailable:
            await asyncio.sleep(LOOK_S * self._rng.random())
            found = await self._ask(start)
            if found is None:
                raise
            return found
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, LogUnavailable, RecordsExpired):
                await task
        self._read = _now()
        self._behind = None
        return page

    def _is_behind(self) -> bool:
        return self._behind is not None and _now() - self._behind >= BEHIND_S

    async def _ask(self, start: int) -> KeyedPage | None:
        """Ask some peers for records.

        Returns:
            The records of a peer that reads the log or has read further, or None.

        Raises:
            Expired: If the peer no longer holds all changes from this offset on.
        """
        reply = await self._best_reply(start)
        if reply is None:
            return None
        self._behind = None
        if reply.whole and start != WHOLE:
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
        for peer in self._rng.sample(peers, min(ASKED, len(peers))):
            asked += self._transport.send(peer.node, RecordsRequest(self.name, start))
        best: RecordsReply | None = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_S):
                for _ in range(asked):
                    reply = await self._replies.get()
                    if reply.fresh:
                        return reply
                    if reply.end > max(start, best.end if best else WHOLE):
                        best = reply
        return best

    def _on_request(self, sender: str, request: RecordsRequest) -> None:
        if request.topic != self.name or self._end == WHOLE:
            return
        whole = request.start < self._base
        items = [
            RecordItem(item.key, item.value, item.offset)
            for item in self._held.values()
            if (whole and item.value is not None) or (not whole and item.offset >= request.start)
        ]
        fresh = _now() - self._read < FRESH_S and self._end >= request.start
        reply = RecordsReply(self.name, request.start, whole, fresh, self._end, items)
        self._transport.send(sender, reply)

    def _on_reply(self, sender: str, reply: RecordsReply) -> None:
        if reply.topic == self.name:
            self._replies.put_nowait(reply)

    def _bound(self) -> None:
        """Drop the oldest dropped keys when too many are held."""
        if len(self._held) <= MAX_HELD:
            return
        gone = [item for item in self._held.values() if item.value is None]
        self._base = max([self._base, *(item.offset + 1 for item in gone)])
        for item in gone:
            del self._held[item.key]


def _now() -> float:
    return asyncio.get_running_loop().time()
