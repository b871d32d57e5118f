"""Leases on the granted slots of one runner group, and their comparison with what nodes hold."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import xxhash

from .message import Demand, HeldGrant

LEASE_S = 2.0
_MASK = (1 << 64) - 1  # Identifiers may be negative.


@dataclass(slots=True)
class Lease:
    """A slot that a node may use.

    Attributes:
        endpoint: Name of the endpoint.
        tier: Tier that it was granted for.
        granted: Loop time of the grant, in seconds.
        expires: Loop time at which it ends unless its holder renews its leases, in seconds.
    """

    endpoint: str
    tier: int
    granted: float
    expires: float


class GrantSetDigest:
    """Number and digest of a set of grants, updated in constant time."""

    def __init__(self) -> None:
        self.count = 0
        self.digest = 0

    def add(self, number: int) -> None:
        """Count a grant that is not in the set."""
        self.count += 1
        self.digest ^= _mixed(number)

    def remove(self, number: int) -> None:
        """Count off a grant that is in the set."""
        self.count -= 1
        self.digest ^= _mixed(number)


@dataclass(slots=True)
class _Holder:
    """Leases of one node.

    ``offered`` are those that the node has not reported yet, since the grant or the demand is on
    its way or was lost. Only ``held`` ones are compared with its demands and renewed by them.
    """

    offered: dict[int, Lease] = field(default_factory=dict)
    held: dict[int, Lease] = field(default_factory=dict)
    summary: GrantSetDigest = field(default_factory=GrantSetDigest)
    expires: float = 0.0


class Leases:
    """All leases of one group, by node and number of the grant."""

    def __init__(self) -> None:
        self._holders: dict[str, _Holder] = {}
        self._changes: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return the number of leases."""
        return sum(len(item.offered) + len(item.held) for item in self._holders.values())

    def __iter__(self) -> Iterator[tuple[str, int]]:
        """Iterate over node and number of each lease."""
        for node, holder in self._holders.items():
            for number in (*holder.offered, *holder.held):
                yield node, number

    def changes(self) -> Counter[str]:
        """Take the changes of the number of leases by endpoint since the last call."""
        found, self._changes = self._changes, Counter()
        return found

    def offer(self, node: str, number: int, endpoint: str, tier: int, now: float) -> None:
        """Begin a lease for a grant that is about to be sent."""
        lease = Lease(endpoint, tier, now, now + LEASE_S)
        self._holder(node).offered[number] = lease
        self._changes[endpoint] += 1

    def offered_tiers(self, node: str) -> list[int]:
        """Return the tiers of the grants that a node has not reported yet."""
        holder = self._holders.get(node)
        return [lease.tier for lease in holder.offered.values()] if holder else []

    def find(self, node: str, number: int) -> Lease | None:
        """Return a lease, or None if there is none of this number."""
        holder = self._holders.get(node)
        return (holder.offered.get(number) or holder.held.get(number)) if holder else None

    def end(self, node: str, number: int) -> Lease | None:
        """End a lease.

        Returns:
            The lease, or None if there is none of this number.
        """
        holder = self._holders.get(node)
        if holder is None:
            return None
        lease = holder.offered.pop(number, None)
        if lease is None:
            lease = holder.held.pop(number, None)
            if lease is None:
                return None
            holder.summary.remove(number)
        self._changes[lease.endpoint] -= 1
        return lease

    def take(self, node: str, demand: Demand, now: float) -> bool:
        """Take over what a demand says about held grants.

        All held leases of the node are renewed if their number and digest agree with the demand.

        Args:
            node: Sender of the demand.
            demand: The demand; a full one lists all held grants.
            now: Loop time, in seconds.

        Returns:
            False if they differ, so that the full list is needed.
        """
        holder = self._holder(node)
        if demand.full:
            listed = {item.id for item in demand.taken}
            for number in [number for number in holder.held if number not in listed]:
                self.end(node, number)
        self._confirm(holder, demand.taken, now)
        summary = holder.summary
        if (summary.count, summary.digest) != (demand.held, demand.digest):
            return False
        holder.expires = now + LEASE_S
        return True

    def expire(self, now: float) -> None:
        """End the leases that nobody renewed in time."""
        for node, holder in list(self._holders.items()):
            groups = [holder.offered] if holder.expires > now else [holder.offered, holder.held]
            for number in [n for group in groups for n, x in group.items() if x.expires <= now]:
                self.end(node, number)
            if not holder.offered and not holder.held:
                del self._holders[node]

    def _confirm(self, holder: _Holder, taken: Iterable[HeldGrant], now: float) -> None:
        for item in taken:
            if item.id in holder.held:
                continue
            lease = holder.offered.pop(item.id, None)
            if lease is None:
                lease = Lease(item.endpoint, item.tier, now, now)
                self._changes[item.endpoint] += 1
            lease.expires = now + LEASE_S
            holder.held[item.id] = lease
            holder.summary.add(item.id)

    def _holder(self, node: str) -> _Holder:
        found = self._holders.get(node)
        if found is None:
            found = self._holders[node] = _Holder()
        return found


def _mixed(number: int) -> int:
    return xxhash.xxh32_intdigest((number & _MASK).to_bytes(8, "big"))
