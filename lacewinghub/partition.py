"""Partitions of the claims: their owners, and one claimer per partition that this node reads."""

import asyncio
from array import array
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import xxhash
from loguru import logger

from ._outbox import Pace
from .claim import APPENDS_PER_S, Claimer
from .claim_index import key_hash, partition_of, stream_of
from .dependencies import Claims, Send
from .endpoint import Reply
from .errors import ExecutionStatus, KeyMissing, KeyUnverified, NotReady
from .forward import Forwarder
from .membership import Member, Members
from .request import Request

OWNERS = 3
# Covers calls and results in progress and views of the owners that change back.
GRACE_S = 60.0
CHECK_S = 0.25
# Ranking 330 nodes takes 0.6 ms; a slice stays far below the time between two tokens.
SLICE_PARTITIONS = 4


class Owners:
    """Chooses the owners of partitions among the live nodes, alike at every node.

    Args:
        partitions: Number of partitions.
    """

    def __init__(self, partitions: int) -> None:
        self._partitions = partitions
        self._scores: dict[str, array[int]] = {}

    def of(self, partition: int, live: list[Member]) -> list[Member]:
        """Return the owners of a partition, the highest score first.

        They are from different availability zones as far as possible. With at most ``OWNERS`` live
        nodes, all of them are owners.

        Args:
            partition: Number of the partition.
            live: The live nodes.
        """
        ranked = sorted(live, key=lambda item: self._rank(partition, item.node), reverse=True)
        chosen: list[Member] = []
        zones: set[str] = set()
        for item in ranked:
            if len(chosen) < OWNERS and item.availability_zone not in zones:
                chosen.append(item)
                zones.add(item.availability_zone)
        rest = [item for item in ranked if item not in chosen]
        return chosen + rest[: OWNERS - len(chosen)]

    async def owned_by(self, node: str, live: list[Member]) -> set[int]:
        """Return the partitions that a node owns, with control returned to the loop at times.

        Args:
            node: Identifier of the node.
            live: The live nodes.
        """
        names = {item.node for item in live}
        if node not in names:
            return set()
        if len(live) <= OWNERS:
            return set(range(self._partitions))
        self._scores = {name: row for name, row in self._scores.items() if name in names}
        for name in names - set(self._scores):
            scores = (_score(number, name) for number in range(self._partitions))
            self._scores[name] = array("Q", scores)
            await asyncio.sleep(0)
        found = set()
        for at, number in enumerate(await self._candidates(node, live)):
            if any(item.node == node for item in self.of(number, live)):
                found.add(number)
            if at % SLICE_PARTITIONS == 0:
                await asyncio.sleep(0)
        return found

    async def _candidates(self, node: str, live: list[Member]) -> Sequence[int]:
        """Return the partitions that a node may own, without ranking the nodes of each.

        With three zones or more, an owner has the highest score of its zone, and the highest
        scores of fewer than ``OWNERS`` other zones are above it.
        """
        zones: dict[str, list[array[int]]] = {}
        for item in live:
            zones.setdefault(item.availability_zone, []).append(self._scores[item.node])
        if len(zones) < OWNERS:
            return range(self._partitions)
        own = self._scores[node]
        best: list[Sequence[int]] = []
        for rows in zones.values():
            best.append(list(map(max, *rows)) if len(rows) > 1 else rows[0])
            await asyncio.sleep(0)
        zone = next(item.availability_zone for item in live if item.node == node)
        mine = best[list(zones).index(zone)]
        return [
            number
            for number, score in enumerate(own)
            if score == mine[number] and sum(row[number] > score for row in best) < OWNERS
        ]

    def _rank(self, partition: int, node: str) -> tuple[int, str]:
        row = self._scores.get(node)
        return (_score(partition, node) if row is None else row[partition], node)


@dataclass(slots=True, eq=False)
class _Held:
    """A claimer of this node.

    Attributes:
        claimer: Makes the claims of the partition.
        task: Follows the stream while ``PartitionedClaims.run`` does.
        calls: Number of calls that use the claimer now.
        dropped_at: Loop time after which it may be dropped, or None while the node owns it.
    """

    claimer: Claimer
    task: asyncio.Task[None] | None = None
    calls: int = 0
    dropped_at: float | None = None


class PartitionedClaims(Claims):
    """Executes keyed calls under claims, at this node or at an owner of the key's partition.

    With one partition every node claims for itself.

    Args:
        node: Identifier of this node.
        zone: Availability zone of this node.
        members: The live nodes.
        make: Returns a claimer for the keyword arguments ``stream`` and ``pace``.
        forwarder: Sends calls to other nodes.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        members: Members,
        make: Callable[..., Claimer],
        forwarder: Forwarder,
    ) -> None:
        self._node = node
        self._zone = zone
        self._members = members
        self._make = make
        self._forwarder = forwarder
        self._count: int | None = None
        self._owners = Owners(1)
        self._held: dict[int, _Held] = {}
        self._wanted: set[int] = {0}
        self._live: list[Member] | None = None
        self._pace = Pace(self._append_interval)

    @property
    def ready(self) -> bool:
        """True while the claims of all partitions that this node owns are complete."""
        held = [self._held.get(number) for number in self._wanted]
        if self._count is None or (self._count > 1 and self._live is None):
            return False
        return all(item and item.claimer.ready for item in held)

    @property
    def owned(self) -> list[int]:
        """Numbers of the partitions that this node owns, in order."""
        return sorted(self._wanted) if self._count is not None else []

    def claimer(self, partition: int) -> Claimer | None:
        """Return the claimer of a partition if this node reads it."""
        held = self._held.get(partition)
        return held.claimer if held is not None else None

    def set_partition_count(self, partitions: int) -> None:
        """Take over the number of partitions from the tables in force; it never changes again.

        Args:
            partitions: Number of partitions.
        """
        if self._count is not None:
            if partitions != self._count:
                logger.error("the number of claim partitions changed to {}", partitions)
            return
        self._count = partitions
        self._owners = Owners(partitions)
        if partitions == 1:
            return
        # The stream of a single partition was read while the number was not known.
        for held in self._held.values():
            _end(held)
        self._held.clear()
        self._wanted = set()

    async def run(self) -> None:
        """Follow the streams of the owned partitions until cancelled."""
        try:
            while True:
                await self._update()
                await asyncio.sleep(CHECK_S)
        finally:
            tasks = [task for held in self._held.values() if (task := _end(held)) is not None]
            await asyncio.gather(*tasks, return_exceptions=True)

    async def execute(self, req: Request, send: Send) -> Reply:
        """Execute a keyed call here or at an owner; see ``Claims.execute``.

        Raises:
            NotReady: If this node does not know the tables, or the call was forwarded to it and its
                claims of the partition are not complete.
            KeyUnverified: If no owner accepted the call.
            LacewingError: As ``Claimer.execute`` and ``Forwarder.call``.
        """
        if req.key is None:
            raise KeyMissing(f"pool {req.pool!r} requires an idempotency key")
        if self._count is None:
            raise NotReady("the node has no configuration yet", run=ExecutionStatus.UNKNOWN)
        partition = partition_of(key_hash(req.workspace, req.key), self._count)
        held = self._held.get(partition)
        if held is not None and (held.claimer.ready or self._count == 1):
            try:
                return await self._claim(held, req, send)
            except NotReady:
                # The call was not sent, so that it may be made at another node.
                if req.forwarded or self._count == 1:
                    raise
        if req.forwarded or self._count == 1:
            raise NotReady("this node has not replayed the claims yet", run=ExecutionStatus.UNKNOWN)
        return await self._forward(partition, req)

    async def flush(self, timeout_s: float) -> bool:
        """Wait until the pending records of all partitions are in the log.

        Args:
            timeout_s: Longest wait in seconds.

        Returns:
            True if nothing is pending.
        """
        claimers = [held.claimer for held in self._held.values()]
        return all(await asyncio.gather(*(item.flush(timeout_s) for item in claimers)))

    async def _claim(self, held: _Held, req: Request, send: Send) -> Reply:
        held.calls += 1
        try:
            return await held.claimer.execute(req, send)
        finally:
            held.calls -= 1

    async def _forward(self, partition: int, req: Request) -> Reply:
        owners = self._owners.of(partition, self._members.live())
        others = [item for item in owners if item.node != self._node]
        for owner in sorted(others, key=lambda item: item.availability_zone != self._zone):
            try:
                return await self._forwarder.call(owner.node, req)
            except NotReady as exc:
                logger.debug("owner {} refused a call: {}", owner.node, exc.message)
        raise KeyUnverified(
            "no owner of this key accepted the call; it was not sent, but an earlier request with "
            "this key may have been executed"
        )

    async def _update(self) -> None:
        """Start and drop claimers as the owners change."""
        if self._count is not None and self._count > 1:
            live = self._members.live()
            if live != self._live:
                self._wanted = await self._owners.owned_by(self._node, live)
                self._live = live
        now = asyncio.get_running_loop().time()
        for number in self._wanted:
            self._keep(number)
        for number in set(self._held) - self._wanted:
            held = self._held[number]
            if held.dropped_at is None:
                held.dropped_at = now + GRACE_S
            if now >= held.dropped_at and held.calls == 0 and held.claimer.idle:
                _end(held)
                del self._held[number]
                logger.info("partition {} of the claims was dropped", number)
        for held in self._held.values():
            if held.task is None:
                held.task = asyncio.create_task(held.claimer.run())
            elif held.task.done():
                # The supervisor counts the failure and starts all claimers again.
                held.task.result()

    def _append_interval(self) -> float:
        """Return the spacing of this node's appends, in seconds.

        The nodes share the appends of the log by the number of partitions that they own, because
        the node that owns most has twice the claims of the mean.
        """
        live, count = len(self._members.live()), self._count or 1
        owners = live if count == 1 else min(live, OWNERS)
        # A leaving node owns nothing but still appends the results of its calls.
        owned = len(self._wanted) or len(self._held) or 1
        return count * owners / owned / APPENDS_PER_S

    def _keep(self, number: int) -> None:
        held = self._held.get(number)
        if held is None:
            held = self._held[number] = _Held(
                self._make(stream=stream_of(number, self._count or 1), pace=self._pace)
            )
            logger.info("partition {} of the claims is read", number)
        held.dropped_at = None


def _end(held: _Held) -> asyncio.Task[None] | None:
    task, held.task = held.task, None
    if task is not None:
        task.cancel()
    return task


def _score(partition: int, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f"claims-{partition}|{node}".encode())
