"""Partitioned claims: the owners of each partition, and one claimer per partition of this node."""

import asyncio
from array import array
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import xxhash
from loguru import logger

from ._outbox import AppendPacer
from .claim import APPENDS_PER_S, Claimer
from .claim_index import key_hash, partition_of, stream_of
from .dependencies import Claims, SendCall
from .endpoint import Reply
from .errors import ExecutionStatus, KeyMissing, KeyUnverified, NotReady
from .forward import Forwarder
from .membership import Member, Members
from .request import Request

OWNERS_PER_PARTITION = 3
# A claimer is kept this long after its node lost the partition, for calls and results in progress
# and in case the ownership returns.
GRACE_S = 60.0
CHECK_S = 0.25
# Ranking 330 nodes takes 0.6 ms, so that this many take far less than the time between two tokens.
SLICE_PARTITIONS = 4


class PartitionOwners:
    """Chooses the owners of partitions among the live nodes by rendezvous hashing.

    All nodes with the same view of the live nodes choose the same owners.

    Args:
        partitions: Number of partitions.
    """

    def __init__(self, partitions: int) -> None:
        self._partitions = partitions
        self._scores: dict[str, array[int]] = {}

    def owners_of(self, partition: int, live: list[Member]) -> list[Member]:
        """Return the owners of a partition, sorted by descending score.

        They are in different availability zones if possible. If there are at most
        ``OWNERS_PER_PARTITION`` live nodes, all of them are owners.

        Args:
            partition: Number of the partition.
            live: The live nodes.
        """
        ranked = sorted(live, key=lambda item: self._rank(partition, item.node), reverse=True)
        chosen: list[Member] = []
        zones: set[str] = set()
        for item in ranked:
            if len(chosen) < OWNERS_PER_PARTITION and item.availability_zone not in zones:
                chosen.append(item)
                zones.add(item.availability_zone)
        remaining = [item for item in ranked if item not in chosen]
        return chosen + remaining[: OWNERS_PER_PARTITION - len(chosen)]

    async def partitions_of(self, node: str, live: list[Member]) -> set[int]:
        """Return the partitions that a node owns; yields to the event loop while it computes.

        Args:
            node: Identifier of the node.
            live: The live nodes.
        """
        names = {item.node for item in live}
        if node not in names:
            return set()
        if len(live) <= OWNERS_PER_PARTITION:
            return set(range(self._partitions))
        self._scores = {name: row for name, row in self._scores.items() if name in names}
        for name in names - set(self._scores):
            scores = (_score(number, name) for number in range(self._partitions))
            self._scores[name] = array("Q", scores)
            await asyncio.sleep(0)
        found = set()
        for position, number in enumerate(await self._candidates(node, live)):
            if any(item.node == node for item in self.owners_of(number, live)):
                found.add(number)
            if position % SLICE_PARTITIONS == 0:
                await asyncio.sleep(0)
        return found

    async def _candidates(self, node: str, live: list[Member]) -> Sequence[int]:
        """Return the partitions that a node may own, without ranking all nodes for each of them.

        If there are at least ``OWNERS_PER_PARTITION`` zones, an owner has the highest score of its
        zone, and fewer than ``OWNERS_PER_PARTITION`` other zones have a higher one.
        """
        zones: dict[str, list[array[int]]] = {}
        for item in live:
            zones.setdefault(item.availability_zone, []).append(self._scores[item.node])
        if len(zones) < OWNERS_PER_PARTITION:
            return range(self._partitions)
        own_scores = self._scores[node]
        best: list[Sequence[int]] = []
        for rows in zones.values():
            best.append(list(map(max, *rows)) if len(rows) > 1 else rows[0])
            await asyncio.sleep(0)
        zone = next(item.availability_zone for item in live if item.node == node)
        highest_of_zone = best[list(zones).index(zone)]
        return [
            number
            for number, score in enumerate(own_scores)
            if score == highest_of_zone[number]
            and sum(row[number] > score for row in best) < OWNERS_PER_PARTITION
        ]

    def _rank(self, partition: int, node: str) -> tuple[int, str]:
        row = self._scores.get(node)
        return (_score(partition, node) if row is None else row[partition], node)


@dataclass(slots=True, eq=False)
class _PartitionClaimer:
    """The claimer of a partition.

    Attributes:
        claimer: Claims the keys of the partition.
        task: Runs the claimer while ``PartitionedClaims.run`` is running.
        calls: Number of calls that are using the claimer.
        dropped_at: Loop time after which it may be dropped, or None while the node is an owner.
    """

    claimer: Claimer
    task: asyncio.Task[None] | None = None
    calls: int = 0
    dropped_at: float | None = None


class PartitionedClaims(Claims):
    """Executes keyed calls under claims, at this node or at an owner of the key's partition.

    If there is only one partition, every node makes its own claims.

    Args:
        node: Identifier of this node.
        zone: Availability zone of this node.
        members: The live nodes.
        make: Creates a claimer from the keyword arguments ``stream`` and ``pacer``.
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
        self._make_claimer = make
        self._forwarder = forwarder
        self._count: int | None = None
        self._owners = PartitionOwners(1)
        self._claimers: dict[int, _PartitionClaimer] = {}
        self._owned: set[int] = {0}
        self._live: list[Member] | None = None
        self._pacer = AppendPacer(self._append_interval)

    @property
    def ready(self) -> bool:
        """True while the claims of all partitions that this node owns are complete."""
        entries = [self._claimers.get(number) for number in self._owned]
        if self._count is None or (self._count > 1 and self._live is None):
            return False
        return all(item and item.claimer.ready for item in entries)

    @property
    def owned(self) -> list[int]:
        """Numbers of the partitions that this node owns, in order."""
        return sorted(self._owned) if self._count is not None else []

    def claimer(self, partition: int) -> Claimer | None:
        """Return the claimer of a partition, or None if this node has none."""
        entry = self._claimers.get(partition)
        return entry.claimer if entry is not None else None

    def set_partition_count(self, partitions: int) -> None:
        """Set the number of partitions from the tables; further calls cannot change it.

        Args:
            partitions: Number of partitions.
        """
        if self._count is not None:
            if partitions != self._count:
                logger.error("the number of claim partitions changed to {}", partitions)
            return
        self._count = partitions
        self._owners = PartitionOwners(partitions)
        if partitions == 1:
            return
        # While the number was unknown, the node read the stream of a single partition.
        for entry in self._claimers.values():
            _stop(entry)
        self._claimers.clear()
        self._owned = set()

    async def run(self) -> None:
        """Follow the streams of the owned partitions until cancelled."""
        try:
            while True:
                await self._update()
                await asyncio.sleep(CHECK_S)
        finally:
            tasks = [
                task for entry in self._claimers.values() if (task := _stop(entry)) is not None
            ]
            await asyncio.gather(*tasks, return_exceptions=True)

    async def execute(self, req: Request, send: SendCall) -> Reply:
        """Execute a keyed call here or at an owner; see ``Claims.execute``.

        Raises:
            NotReady: If this node has no tables yet, or if the call was forwarded to it and it has
                not replayed the claims of the partition yet.
            KeyUnverified: If no owner accepted the call.
            LacewingError: The errors of ``Claimer.execute`` and ``Forwarder.call``.
        """
        if req.key is None:
            raise KeyMissing(f"pool {req.pool!r} requires an idempotency key")
        if self._count is None:
            raise NotReady("the node has no configuration yet", run=ExecutionStatus.UNKNOWN)
        partition = partition_of(key_hash(req.workspace, req.key), self._count)
        entry = self._claimers.get(partition)
        if entry is not None and (entry.claimer.ready or self._count == 1):
            try:
                return await self._claim(entry, req, send)
            except NotReady:
                # The call was not sent, so that another node may execute it.
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
        claimers = [entry.claimer for entry in self._claimers.values()]
        return all(await asyncio.gather(*(item.flush(timeout_s) for item in claimers)))

    async def _claim(self, entry: _PartitionClaimer, req: Request, send: SendCall) -> Reply:
        entry.calls += 1
        try:
            return await entry.claimer.execute(req, send)
        finally:
            entry.calls -= 1

    async def _forward(self, partition: int, req: Request) -> Reply:
        owners = self._owners.owners_of(partition, self._members.live())
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
        """Start and drop claimers according to the current owners."""
        if self._count is not None and self._count > 1:
            live = self._members.live()
            if live != self._live:
                self._owned = await self._owners.partitions_of(self._node, live)
                self._live = live
        now = asyncio.get_running_loop().time()
        for number in self._owned:
            self._ensure_claimer(number)
        for number in set(self._claimers) - self._owned:
            entry = self._claimers[number]
            if entry.dropped_at is None:
                entry.dropped_at = now + GRACE_S
            if now >= entry.dropped_at and entry.calls == 0 and entry.claimer.idle:
                _stop(entry)
                del self._claimers[number]
                logger.info("stopped reading partition {} of the claims", number)
        for entry in self._claimers.values():
            if entry.task is None:
                entry.task = asyncio.create_task(entry.claimer.run())
            elif entry.task.done():
                # Raises the failure; the supervisor counts it and restarts all claimers.
                entry.task.result()

    def _append_interval(self) -> float:
        """Return the minimum time between two appends of this node, in seconds.

        Each node gets a share of ``APPENDS_PER_S`` that is proportional to its partitions, because
        the node with most partitions has twice the mean number of claims.
        """
        live, count = len(self._members.live()), self._count or 1
        owners = live if count == 1 else min(live, OWNERS_PER_PARTITION)
        # A leaving node owns no partition but still appends the results of its calls.
        owned = len(self._owned) or len(self._claimers) or 1
        return count * owners / owned / APPENDS_PER_S

    def _ensure_claimer(self, number: int) -> None:
        entry = self._claimers.get(number)
        if entry is None:
            entry = self._claimers[number] = _PartitionClaimer(
                self._make_claimer(stream=stream_of(number, self._count or 1), pacer=self._pacer)
            )
            logger.info("reading partition {} of the claims", number)
        entry.dropped_at = None


def _stop(entry: _PartitionClaimer) -> asyncio.Task[None] | None:
    task, entry.task = entry.task, None
    if task is not None:
        task.cancel()
    return task


def _score(partition: int, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f"claims-{partition}|{node}".encode())
