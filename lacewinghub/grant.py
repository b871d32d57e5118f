"""Demands slots from the brokers of runner groups for the waiting requests of a node."""

import asyncio
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from .group import Groups
from .lease import GrantSetDigest
from .message import Demand, GrantItem, Grants, HeldGrant, Release, ReleaseItem, WaitingCount
from .queue import Waiter
from .request import AttemptResult
from .tables import MAX_TIER
from .transport import Transport

COALESCE_S = 0.005  # Minimum interval between two demands to a broker.
RENEW_S = 0.25  # Interval at which leases are renewed.
REPEAT_S = 0.1  # Interval at which an unanswered demand is repeated.
SILENCE_S = 0.3  # Without an answer for this long, the node dispatches directly.

OnGrant = Callable[[str, GrantItem], None]
OnForecast = Callable[[str, list[int]], None]
Waiters = Callable[[str], Iterable[Waiter]]


@dataclass(slots=True)
class _GroupDemand:
    """Demands for one group; times are loop times in seconds.

    Attributes:
        seq: Number of the last demand.
        full_seq: Number of the last demand that listed all held grants; 0 if the next one must.
        broker: Node to which the last demand was addressed, or None.
        sent_at: Time of the last demand.
        unanswered_since: Time of the first demand without an answer, or None.
        scheduled: True if a demand is about to be sent.
        held: Held grants by number.
        unreported: Held grants that no demand has listed yet.
        summary: Number and digest of ``held``.
    """

    seq: int = 0
    full_seq: int = 0
    broker: str | None = None
    sent_at: float = float("-inf")
    unanswered_since: float | None = None
    scheduled: bool = False
    held: dict[int, HeldGrant] = field(default_factory=dict)
    unreported: dict[int, HeldGrant] = field(default_factory=dict)
    summary: GrantSetDigest = field(default_factory=GrantSetDigest)


class GrantClient:
    """Sends demands and releases to the brokers, and receives their grants.

    Args:
        transport: Sends messages to other nodes.
        groups: Groups of the pools and their brokers.
        waiters: Returns the waiters that are assigned to a group.
        on_grant: Called with the name of the group and each granted slot.
        on_forecast: Called with the name of the group and the expected waits by tier.
    """

    def __init__(
        self,
        transport: Transport,
        groups: Groups,
        waiters: Waiters,
        on_grant: OnGrant,
        on_forecast: OnForecast,
    ) -> None:
        self._transport = transport
        self._groups = groups
        self._waiters = waiters
        self._on_grant = on_grant
        self._on_forecast = on_forecast
        self._demands: dict[str, _GroupDemand] = {}
        self._last_direct = 0
        transport.subscribe(Grants, self._on_grants)

    def schedule_demand(self, group: str) -> None:
        """Schedule a demand, because the waiters or grants of a group have changed."""
        state = self._demand_of(group)
        if state.scheduled:
            return
        state.scheduled = True
        loop = asyncio.get_running_loop()
        wait = max(0.0, state.sent_at + COALESCE_S - loop.time())
        loop.call_later(wait, self._send, group)

    def hold(self, group: str, item: GrantItem, tier: int) -> None:
        """Record that a granted slot is used for a request of a tier."""
        state = self._demand_of(group)
        if item.id not in state.held:
            state.summary.add(item.id)
        state.held[item.id] = state.unreported[item.id] = HeldGrant(item.id, item.endpoint, tier)

    def hold_direct(self, group: str, endpoint: str, tier: int) -> int:
        """Record a slot that is used without a grant, so that the broker learns of it.

        Returns:
            Number of the slot; negative, so that it differs from the numbers of all grants.
        """
        self._last_direct -= 1
        self.hold(group, GrantItem(self._last_direct, endpoint, tier), tier)
        return self._last_direct

    def release(self, group: str, number: int, endpoint: str, result: AttemptResult) -> None:
        """Release a slot and send the outcome of its request to the broker."""
        state = self._demand_of(group)
        if state.held.pop(number, None) is not None:
            state.summary.remove(number)
            state.unreported.pop(number, None)
        item = ReleaseItem(
            number,
            endpoint,
            result.ok,
            _scaled(result.first_token_s, 1e3),
            _scaled(result.between_tokens_s, 1e6),
            result.tokens,
            result.crashed,
        )
        broker = state.broker or self._broker(group)
        if broker is not None:
            self._transport.send(broker, Release(group, [item]))

    def is_broker_silent(self, group: str) -> bool:
        """Return whether the broker of a group has not answered a demand for ``SILENCE_S``."""
        state = self._demands.get(group)
        if state is None or state.unanswered_since is None:
            return False
        return _now() - state.unanswered_since > SILENCE_S

    def tick(self, waiting: Collection[str]) -> None:
        """Renew leases and repeat unanswered demands; called several times per second.

        Args:
            waiting: Names of the groups with waiters.
        """
        now = _now()
        for name, state in self._demands.items():
            waits = name in waiting
            if not waits:
                state.unanswered_since = None
            elapsed = now - state.sent_at
            if (state.unanswered_since is not None and elapsed >= REPEAT_S) or (
                (state.held or waits) and elapsed >= RENEW_S
            ):
                self.schedule_demand(name)

    def _send(self, name: str) -> None:
        state = self._demand_of(name)
        state.scheduled = False
        broker = self._broker(name)
        waiters = list(self._waiters(name))
        now = _now()
        state.seq += 1
        state.sent_at = now
        if broker != state.broker:
            state.broker, state.full_seq = broker, 0
        if state.unanswered_since is None and waiters:
            state.unanswered_since = now
        if broker is None:
            return
        demand = self._demand(name, state, waiters, now)
        if not self._transport.send(broker, demand):
            state.full_seq = 0

    def _demand(self, name: str, state: _GroupDemand, waiters: list[Waiter], now: float) -> Demand:
        counts = Counter((item.req.tier, item.preferred) for item in waiters)
        oldest = [0] * MAX_TIER
        for item in waiters:
            age = int((now - item.since) * 1000)
            oldest[item.req.tier - 1] = max(oldest[item.req.tier - 1], age)
        while oldest and not oldest[-1]:
            oldest.pop()
        full = not state.full_seq
        if full:
            state.full_seq = state.seq
        taken = list((state.held if full else state.unreported).values())
        state.unreported.clear()
        return Demand(
            name,
            state.seq,
            [WaitingCount(tier, preferred, count) for (tier, preferred), count in counts.items()],
            oldest,
            taken,
            state.summary.count,
            state.summary.digest,
            full,
        )

    def _on_grants(self, sender: str, grants: Grants) -> None:
        state = self._demands.get(grants.group)
        if state is None:
            return
        if grants.resend:
            self._send_full_list(grants, sender, state)
            return
        state.unanswered_since = None
        self._on_forecast(grants.group, grants.wait_ms)
        for item in grants.items:
            if item.id not in state.held:
                self._on_grant(grants.group, item)

    def _send_full_list(self, grants: Grants, sender: str, state: _GroupDemand) -> None:
        """Send the full list of held grants, unless it was sent since the demand in question.

        The request of the broker for the list is no answer to the demand: a broker that has just
        started sends it although it does not grant anything yet.
        """
        if sender == state.broker and grants.resend > state.full_seq > 0:
            state.full_seq = 0
            self.schedule_demand(grants.group)

    def _broker(self, name: str) -> str | None:
        group = self._groups.find(name)
        return self._groups.broker(group) if group is not None else None

    def _demand_of(self, group: str) -> _GroupDemand:
        found = self._demands.get(group)
        if found is None:
            found = self._demands[group] = _GroupDemand()
        return found


def _scaled(value: float | None, factor: float) -> int:
    return -1 if value is None else int(value * factor)


def _now() -> float:
    return asyncio.get_running_loop().time()
