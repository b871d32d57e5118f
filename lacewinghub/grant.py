"""Asks the brokers of runner groups for slots on behalf of one node."""

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

COALESCE_S = 0.005
RENEW_S = 0.25
REPEAT_S = 0.1  # Interval at which an unanswered demand is sent again.
SILENCE_S = 0.3  # Without an answer for this long, the node dispatches directly.

OnGrant = Callable[[str, GrantItem], None]
OnForecast = Callable[[str, list[int]], None]
Waiters = Callable[[str], Iterable[Waiter]]


@dataclass(slots=True)
class _Asked:
    """State of the conversation about one group.

    ``taken`` are the held grants that no demand has listed yet. ``listed`` is the number of the
    last demand that listed all held ones; 0 makes the next one do so.
    """

    seq: int = 0
    listed: int = 0
    broker: str | None = None
    sent: float = float("-inf")
    asked: float | None = None
    scheduled: bool = False
    held: dict[int, HeldGrant] = field(default_factory=dict)
    taken: dict[int, HeldGrant] = field(default_factory=dict)
    summary: GrantSetDigest = field(default_factory=GrantSetDigest)


class GrantClient:
    """Sends demands and releases, and receives grants.

    Args:
        transport: Connects the nodes.
        groups: Groups of the pools and their brokers.
        waiters: Returns the waiters assigned to a group.
        on_grant: Receives each granted slot with the name of its group.
        on_forecast: Receives the expected waits by tier with the name of the group.
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
        self._asked: dict[str, _Asked] = {}
        self._last_direct = 0
        transport.subscribe(Grants, self._on_grants)

    def changed(self, group: str) -> None:
        """Send a demand soon, because the waiters or grants of a group changed."""
        state = self._state(group)
        if state.scheduled:
            return
        state.scheduled = True
        loop = asyncio.get_running_loop()
        wait = max(0.0, state.sent + COALESCE_S - loop.time())
        loop.call_later(wait, self._send, group)

    def hold(self, group: str, item: GrantItem, tier: int) -> None:
        """Keep a granted slot for a request of a tier."""
        state = self._state(group)
        if item.id not in state.held:
            state.summary.add(item.id)
        state.held[item.id] = state.taken[item.id] = HeldGrant(item.id, item.endpoint, tier)

    def hold_direct(self, group: str, endpoint: str, tier: int) -> int:
        """Tell the broker about a slot that was taken without it.

        Returns:
            The identifier of the slot; negative, so that it differs from all granted ones.
        """
        self._last_direct -= 1
        self.hold(group, GrantItem(self._last_direct, endpoint, tier), tier)
        return self._last_direct

    def give_back(self, group: str, number: int, endpoint: str, seen: AttemptResult) -> None:
        """Release a slot with what was measured."""
        state = self._state(group)
        if state.held.pop(number, None) is not None:
            state.summary.remove(number)
            state.taken.pop(number, None)
        item = ReleaseItem(
            number,
            endpoint,
            seen.ok,
            _scaled(seen.first_token_s, 1e3),
            _scaled(seen.between_tokens_s, 1e6),
            seen.tokens,
            seen.crashed,
        )
        broker = state.broker or self._broker(group)
        if broker is not None:
            self._transport.send(broker, Release(group, [item]))

    def silent(self, group: str) -> bool:
        """Tell whether a demand has been without an answer for too long."""
        state = self._asked.get(group)
        if state is None or state.asked is None:
            return False
        return _now() - state.asked > SILENCE_S

    def tick(self, waiting: Collection[str]) -> None:
        """Renew leases and repeat unanswered demands; called several times per second.

        Args:
            waiting: Names of the groups that have waiters.
        """
        now = _now()
        for name, state in self._asked.items():
            waits = name in waiting
            if not waits:
                state.asked = None
            elapsed = now - state.sent
            if (state.asked is not None and elapsed >= REPEAT_S) or (
                (state.held or waits) and elapsed >= RENEW_S
            ):
                self.changed(name)

    def _send(self, name: str) -> None:
        state = self._state(name)
        state.scheduled = False
        broker = self._broker(name)
        waiters = list(self._waiters(name))
        now = _now()
        state.seq += 1
        state.sent = now
        if broker != state.broker:
            state.broker, state.listed = broker, 0
        if state.asked is None and waiters:
            state.asked = now
        if broker is None:
            return
        demand = self._demand(name, state, waiters, now)
        if not self._transport.send(broker, demand):
            state.listed = 0

    def _demand(self, name: str, state: _Asked, waiters: list[Waiter], now: float) -> Demand:
        counts = Counter((item.req.tier, item.preferred) for item in waiters)
        oldest = [0] * MAX_TIER
        for item in waiters:
            age = int((now - item.since) * 1000)
            oldest[item.req.tier - 1] = max(oldest[item.req.tier - 1], age)
        while oldest and not oldest[-1]:
            oldest.pop()
        full = not state.listed
        if full:
            state.listed = state.seq
        taken = list((state.held if full else state.taken).values())
        state.taken.clear()
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
        state = self._asked.get(grants.group)
        if state is None:
            return
        if grants.resend:
            self._resend(grants, sender, state)
            return
        state.asked = None
        self._on_forecast(grants.group, grants.wait_ms)
        for item in grants.items:
            if item.id not in state.held:
                self._on_grant(grants.group, item)

    def _resend(self, grants: Grants, sender: str, state: _Asked) -> None:
        """List all held grants, unless a list that answers the question is on its way.

        The question does not count as an answer to the demand: a broker that has just started asks
        it but grants nothing yet.
        """
        if sender == state.broker and grants.resend > state.listed > 0:
            state.listed = 0
            self.changed(grants.group)

    def _broker(self, name: str) -> str | None:
        group = self._groups.find(name)
        return self._groups.broker(group) if group is not None else None

    def _state(self, group: str) -> _Asked:
        found = self._asked.get(group)
        if found is None:
            found = self._asked[group] = _Asked()
        return found


def _scaled(value: float | None, factor: float) -> int:
    return -1 if value is None else int(value * factor)


def _now() -> float:
    return asyncio.get_running_loop().time()
