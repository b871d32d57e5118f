"""Splits the endpoints of a pool into runner groups and finds their brokers."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from .errors import UnknownPool
from .membership import Member, Members, rendezvous
from .scheduler import PoolView
from .tables import Endpoint, Pool

GROUP_SIZE = 18  # Endpoints per group; keeps the work of a broker independent of the pool's size.


@dataclass(frozen=True, slots=True)
class Group:
    """Endpoints whose slots one broker hands out."""

    name: str
    pool: str
    endpoints: tuple[Endpoint, ...]


def split(pool: Pool) -> list[Group]:
    """Split a pool; all nodes with the same tables get the same groups.

    Args:
        pool: The pool.

    Returns:
        Groups of at most ``GROUP_SIZE`` endpoints, named ``POOL/NUMBER``.
    """
    count = max(1, -(-len(pool.endpoints) // GROUP_SIZE))
    names = [f"{pool.name}/{number}" for number in range(count)]
    parts: dict[str, list[Endpoint]] = {name: [] for name in names}
    for item in sorted(pool.endpoints, key=lambda item: item.name):
        open_names = [name for name in names if len(parts[name]) < GROUP_SIZE]
        parts[max(open_names, key=lambda name: _weight(item.name, name))].append(item)
    return [Group(name, pool.name, tuple(items)) for name, items in parts.items() if items]


class Groups:
    """Groups of the pools in force.

    Args:
        view: Pools and usable endpoints.
    """

    def __init__(self, view: PoolView) -> None:
        self._view = view
        self._split: dict[str, tuple[Pool, list[Group]]] = {}

    def of(self, pool: str) -> list[Group]:
        """Return the groups of a pool."""
        current = self._view.pool(pool)
        known = self._split.get(pool)
        if known is None or known[0] is not current:
            known = self._split[pool] = (current, split(current))
        return known[1]

    def find(self, name: str) -> Group | None:
        """Return a group by name, or None if the tables in force have no such group."""
        try:
            return next((item for item in self.of(pool_of(name)) if item.name == name), None)
        except UnknownPool:
            return None

    def usable(self, group: Group) -> list[Endpoint]:
        """Return the usable endpoints of a group."""
        usable = self._view.usable(group.pool)
        if len(self.of(group.pool)) == 1:
            return usable
        names = {item.name for item in group.endpoints}
        return [item for item in usable if item.name in names]


def pool_of(group: str) -> str:
    """Return the pool's name of a group's name."""
    return group.rpartition("/")[0]


def broker_of(group: Group, members: Members) -> str | None:
    """Choose the node that is the broker of a group, or None without live nodes."""
    live = members.live()
    zones = {item.availability_zone for item in group.endpoints}
    near = [member for member in live if zones == {member.availability_zone}]
    return rendezvous(group.name, _names(near or live))


def _names(members: Iterable[Member]) -> list[str]:
    return [member.node for member in members]


def _weight(endpoint: str, group: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{endpoint}|{group}".encode())
