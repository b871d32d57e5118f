"""A topic of the log that few nodes of a large deployment read and hand on to the others.

A node that learns of a change tells its peers at once; each of them fetches the records and tells
its own peers. Between changes, heartbeats carry the age of what the sender knows, so that a node
whose peers all became silent or outdated reads the log itself (see ``readturns``). With few nodes
each one reads for itself, as in ``PeerFallbackTopic``.
"""

import asyncio
import contextlib
import random

from loguru import logger

from .errors import LogUnavailable
from .follower import KeyedPage, KeyedTopic, RecordsExpired
from .freshness import LogRead
from .message import RecordsReply, TopicNews, TopicOffset
from .readturns import ReadTurns
from .sharedtopic import ALL_RECORDS, Meaning, PeerFallbackTopic, ReadFailures
from .transport import Peer, Transport

# Knowledge that is older than this does not end an outage.
CURRENT_S = 1.0
# Number of peers that are asked for the records of a change.
MAX_SOURCES = 1
# The turn to read is checked at least this often, since it depends on the live nodes, and counts as
# reached a little earlier, since timers are not exact.
MAX_WAIT_S = 0.5
MIN_WAIT_S = 0.001


class RelayedTopic(PeerFallbackTopic):
    """Reads a topic from the log in turns with the other nodes, and from peers between the turns.

    Args:
        name: Name of the topic in messages between nodes.
        topic: The topic in the log.
        transport: Connections to the other nodes.
        turns: Decides when this node reads the log.
        meaning: Returns what a record means.
        rng: Source of randomness for the choice of peers.
        failures: Failed reads of all topics of this node.
        renewal_age_s: Age of the knowledge of this node from which on it asks its peers during a
            read of the log as well, in seconds; infinite for never.
    """

    def __init__(
        self,
        name: str,
        topic: KeyedTopic,
        transport: Transport,
        turns: ReadTurns,
        meaning: Meaning = lambda record: record.value,
        rng: random.Random | None = None,
        failures: ReadFailures | None = None,
        renewal_age_s: float = float("inf"),
    ) -> None:
        super().__init__(name, topic, transport, rng, meaning, failures, renewal_age_s)
        self._turns = turns
        # Peers that know a change which this node does not know, the latest one last, with the
        # offset after that change.
        self._sources: dict[str, int] = {}
        self._heard = asyncio.Event()
        # Peers that know a later state, but not all changes since the one of this node, with the
        # era of the log and the offset from which on they know all changes.
        self._ahead: dict[str, tuple[int, int]] = {}
        self._lost = False
        transport.subscribe(TopicNews, self._on_news)

    async def newest(self) -> KeyedPage:
        """Read the newest record of each key, from peers if they know a later state."""
        if self._turns.are_shared() and self._peers_ahead():
            page = await self._fetch_all()
            if page is not None:
                return page
        return await super().newest()

    async def read(self, start: int, wait_s: float) -> KeyedPage:
        """Read changes; returns when there is one, or when this node has read the log.

        Raises:
            RecordsExpired: If records from this offset on have been removed, or if the peers know a
                later state but not all changes since the one of this node.
            LogUnavailable: If neither the log nor a peer answered.
        """
        if not self._turns.are_shared():
            return await super().read(start, wait_s)
        while True:
            if any(era > self._era for era, _ in self._ahead.values()):
                raise RecordsExpired("the log came back from a copy, as the peers know")
            if any(changed > self._end for changed in self._sources.values()):
                page = await self._fetch_change()
                if page is not None:
                    return page
            if self._lost and self._turns.age_s() < CURRENT_S:
                self._lost = False
                return KeyedPage([], self._end)
            delay_s = self._turns.due() - _now()
            if delay_s < MIN_WAIT_S or (self._lags_behind() and self._turns.may_read()):
                return await self._read_in_turn()
            self._heard.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(delay_s, MAX_WAIT_S)):
                    await self._heard.wait()

    def on_resume(self, suspended_s: float) -> None:
        """Count the time for which the host was suspended to the age of this node's knowledge."""
        self._turns.on_resume(suspended_s)
        self._freshness.on_resume(suspended_s)
        self._known_at -= suspended_s
        self._asked_at.clear()

    @property
    def age_s(self) -> float:
        """Age of this node's knowledge of the log, in seconds; infinite if there is none."""
        return self._freshness.age_s

    async def _read_in_turn(self) -> KeyedPage:
        if self._peers_ahead():
            raise RecordsExpired(f"topic {self.name!r}: the peers know a later state")
        if not self._turns.is_reader():
            logger.bind(topic=self.name, age_s=round(self.age_s, 2), end=self._end).info(
                "topic read out of turn"
            )
        return await self._read_log()

    def _on_offset(self, node: str, item: TopicOffset) -> None:
        super()._on_offset(node, item)
        if self._end == ALL_RECORDS or not self._turns.are_shared() or item.era < self._era:
            return
        if item.era > self._era:
            self._ahead[node] = (item.era, item.base)
            self._heard.set()
        elif item.base > self._end:
            # Whether anything changed between the two states is not known to this peer.
            if 0 <= item.age_ms < CURRENT_S * 1000:
                self._ahead[node] = (item.era, item.base)
        elif item.changed > self._end:
            self._sources.pop(node, None)
            self._sources[node] = item.changed
            self._heard.set()
        elif item.age_ms >= 0:
            self._end = max(self._end, item.end)
            self._on_read_of_peer(item)

    def _on_read_of_peer(self, news: TopicOffset | RecordsReply) -> None:
        """Record that this node knows the result of a read of the log that a peer tells of."""
        read = LogRead(news.reader, news.read_no)
        if news.age_ms < 0 or not self._freshness.on_news(read, news.age_ms):
            return
        self._turns.on_news(self._freshness.read_at)
        self._renew(self._freshness.read_at)
        if self._lost and self._turns.age_s() < CURRENT_S:
            self._heard.set()

    def _on_news(self, sender: str, message: TopicNews) -> None:
        for item in message.offset:
            if item.topic == self.name:
                self._on_offset(sender, item)

    def _peers_ahead(self) -> list[Peer]:
        """Return the peers that know a later state, but not all changes since this node's."""
        known = (self._era, self._end)
        self._ahead = {node: place for node, place in self._ahead.items() if place > known}
        return [peer for peer in self._transport.peers() if peer.node in self._ahead]

    async def _fetch_all(self) -> KeyedPage | None:
        """Fetch the newest record of each key from a peer that knows a later state."""
        sources = self._peers_ahead()
        self._ahead.clear()
        reply = await self._best_reply(ALL_RECORDS, sources[-MAX_SOURCES:])
        if reply is None or (reply.era, reply.end) <= (self._era, self._end):
            return None
        page = self._replace(self._page_of(reply, ALL_RECORDS))
        self._on_read_of_peer(reply)
        return page

    def _replace(self, page: KeyedPage) -> KeyedPage:
        replaced = super()._replace(page)
        if replaced.rewound:
            self._sources.clear()
            self._tell_peers()
        return replaced

    async def _fetch_change(self) -> KeyedPage | None:
        """Fetch the change that peers told of; None if none of them answers."""
        known = {peer.node: peer for peer in self._transport.peers()}
        latest_first = [known[node] for node in reversed(self._sources) if node in known]
        self._sources.clear()
        start = self._end
        reply = await self._best_reply(start, latest_first[:MAX_SOURCES])
        if reply is None or (reply.era, reply.end) <= (self._era, start):
            return None
        changed = self._changed
        merged = self._merge(self._page_of(reply, start))
        self._on_read_of_peer(reply)
        self._lost = False
        if self._changed > changed:
            self._tell_peers()
        return merged

    async def _read_log(self) -> KeyedPage:
        """Read the log; a node that it turns away asks its peers."""
        end, changed = self._end, self._changed
        was_lost = self._lost
        try:
            page = await self._read_or_ask_peers(
                lambda: self._read_in_log(end, self._turns.wait_s), end
            )
        except LogUnavailable:
            self._lost = True
            raise
        self._lost = False
        merged = self._merge(page)
        if was_lost or self._changed > changed:
            self._tell_peers()
        return merged

    def _on_log_read(self, sent_at: float) -> None:
        super()._on_log_read(sent_at)
        self._turns.on_read()
        if self._lost:
            self._restored_at = _now()

    def _on_log_failed(self, exc: LogUnavailable) -> None:
        super()._on_log_failed(exc)
        self._turns.on_failure()

    def _tell_peers(self) -> None:
        nodes = [peer.node for peer in self._transport.peers()]
        self._transport.broadcast(nodes, TopicNews([self._offset()]))


def _now() -> float:
    return asyncio.get_running_loop().time()
