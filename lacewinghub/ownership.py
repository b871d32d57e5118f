"""Measures the cost of partitioned claims for a node, as part of ``capacity``."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence

from .capacity import (
    PAGE_RECORDS,
    LinearFit,
    _allocated,
    _claim_pages,
    _cpu_seconds,
    _fill_index,
    _page_bytes,
    _pages,
    fit_line,
)
from .claim_index import ClaimIndex, partition_of
from .log import Page, Record
from .membership import Member, MemberState
from .partition import PartitionOwners

LIVE_NODES = (30, 90, 180, 330)
PARTITIONS = (128, 256, 512, 1024)
TOTAL_PARTITIONS = 16
ZONES = 11


def claim_share(sizes: Sequence[int] = (1, 2, 4, 8), claims: int = 20_000) -> list[LinearFit]:
    """Measure memory and log traffic of a node by its number of ``TOTAL_PARTITIONS`` partitions.

    Args:
        sizes: Numbers of owned partitions.
        claims: Number of claims with results in all partitions.

    Returns:
        Memory and bytes of JSON read, by share of the partitions.
    """
    memory, read = [], []
    for owned in sizes:
        memory.append((owned / TOTAL_PARTITIONS, _allocated(_indexes, claims, owned)))
        read.append((owned / TOTAL_PARTITIONS, sum(map(_page_bytes, _owned_pages(claims, owned)))))
    return [
        fit_line("memory by share of the partitions", "bytes", memory),
        fit_line("log bytes by share of the partitions", "bytes", read),
    ]


def owned_partitions(sizes: Sequence[int] = PARTITIONS, live: int = 330) -> LinearFit:
    """Measure the largest number of partitions of one node, by the total number of partitions."""
    points = []
    for count in sizes:
        owners, members = PartitionOwners(count), _members_in_zones(live)
        owned = Counter(item.node for n in range(count) for item in owners.owners_of(n, members))
        points.append((float(count), float(max(owned.values()))))
    return fit_line("most partitions of a node by partition", "partitions", points)


def owner_time(
    live: Sequence[int] = LIVE_NODES, partitions: int = PARTITIONS[-1]
) -> list[LinearFit]:
    """Measure the time to find the partitions of a node, initially and after one node left."""
    first, again = [], []
    for count in live:
        owners, members = PartitionOwners(partitions), _members_in_zones(count)
        first.append((float(count), _cpu_seconds(_find_partitions, owners, members)))
        again.append((float(count), _cpu_seconds(_find_partitions, owners, members[:-1])))
    return [
        fit_line("first search for owned partitions by node", "s", first),
        fit_line("search for owned partitions by node", "s", again),
    ]


def _owned_pages(claims: int, owned: int) -> list[list[Page]]:
    streams: list[list[Record]] = [[] for _ in range(TOTAL_PARTITIONS)]
    for page in _claim_pages(claims, answered=True):
        for item in page.records:
            stream = streams[partition_of(bytes.fromhex(item.data["key"]), TOTAL_PARTITIONS)]
            stream.append(Record(len(stream), 0.0, item.data))
    return [_pages(stream, PAGE_RECORDS) for stream in streams[:owned]]


def _indexes(claims: int, owned: int) -> list[ClaimIndex]:
    return [_fill_index(pages) for pages in _owned_pages(claims, owned)]


def _members_in_zones(count: int) -> list[Member]:
    return [Member(f"n{n}", "", f"zone-{n % ZONES}", 0, MemberState.LIVE) for n in range(count)]


def _find_partitions(owners: PartitionOwners, members: list[Member]) -> None:
    asyncio.run(owners.partitions_of("n0", members))


MEASUREMENTS: dict[str, Callable[[], Sequence[LinearFit]]] = {
    "claim-share": claim_share,
    "owned-partitions": lambda: [owned_partitions()],
    "owner-time": owner_time,
}
