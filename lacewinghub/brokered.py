"""The default scheduler: brokers grant slots; without an answer the node dispatches directly.

Each pool is split into runner groups, and each group has one node as its broker, which grants the
slots of the group's endpoints to all nodes.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .admission import Admission, FloorAdmission
from .broker import Broker
from .errors import UnknownPool
from .grant import GrantClient
from .group import Group, Groups, pool_of
from .history import History
from .length import LengthEstimator
from .local import QueueScheduler
from .membership import HeartbeatContributor, Members
from .message import GRANT_REFUSED, GrantItem, Heartbeat
from .prefix import PrefixCacheIndex
from .queue import TierQueue, Waiter, WaitQueue
from .relay import FreeSlotRelay
from .request import AttemptResult, Grant, Request
from .reserve import Headroom, TrunkReservation
from .scheduler import PoolView
from .selection import Affinity, LoadReports, TwoChoices
from .transport import Transport

TICK_S = 0.1
REGROUP_S = 0.5  # A request that waits longer than this moves to a group with more free slots.
# A group whose broker is in another availability zone is chosen only if it has more than this many
# times the free slots of a group in the node's own zone. This bounds the number of groups whose
# grants a node has to renew.
NEAR_BOUND = 2.0
# A waiting request moves to a random group at this interval, since its own group may be out of
# order. A move takes two messages, so the interval is long.
RANDOM_MOVE_S = 2.0
MEDIAN = 0.5


@dataclass(frozen=True, slots=True)
class _ActiveGrant:
    """A grant in use: its group, its number at the broker, and the request."""

    group: str
    number: int
    req: Request


class BrokeredScheduler(QueueScheduler, HeartbeatContributor):
    """Uses tier queues, admission floors shared between the nodes, and slots granted by brokers.

    Args:
        view: Pools and usable endpoints.
        reports: Reported loads, used for direct dispatch.
        transport: Sends messages to other nodes.
        members: View of the live nodes.
        history: Receives the events ``admitted`` and ``shed``.
        rng: Source of randomness.
        admission: Admission rules; by default ``FloorAdmission``.
        headroom: Creates the slot reservation of each group of which this node is the broker.
    """

    def __init__(
        self,
        view: PoolView,
        reports: LoadReports,
        transport: Transport,
        members: Members,
        history: History | None = None,
        rng: random.Random | None = None,
        admission: Admission | None = None,
        headroom: Callable[[], Headroom] = TrunkReservation,
    ) -> None:
        self.floors = FloorAdmission(members, _now)
        super().__init__(view, TierQueue, admission or self.floors, history)
        self.lengths = LengthEstimator()
        self.prefixes = PrefixCacheIndex()
        self._groups = Groups(view, members)
        self.broker = Broker(transport, members, view, rng, self._groups, headroom)
        self._rng = rng or random.Random()
        self._members = members
        self._node = transport.node
        self._client = GrantClient(
            transport,
            self._groups,
            self._waiters,
            self._on_grant,
            self._on_forecast,
        )
        self._selection = Affinity(self.prefixes, TwoChoices(reports, rng), reports)
        self._held: dict[int, _ActiveGrant] = {}
        self._free = FreeSlotRelay()

    def make_waiter(self, req: Request, fut: asyncio.Future[Grant]) -> Waiter:
        """Estimate the work of a request and choose its group and preferred endpoint."""
        waiter = super().make_waiter(req, fut)
        waiter.cost = self.lengths.quantile(req.request_class, req.workspace, MEDIAN)
        group = self._choose_group(req.pool)
        waiter.group = group.name
        if req.prefix:
            names = [
                item.name for item in group.endpoints if item.name not in req.excluded_endpoints
            ]
            waiter.preferred = self.prefixes.best(req.prefix, names)
        return waiter

    def dispatch(self, pool: str) -> None:
        """Dispatch directly to the groups whose brokers do not answer."""
        for name in {waiter.group for waiter in self.state(pool).queue}:
            self._dispatch_if_silent(name)

    def on_queued(self, waiter: Waiter) -> None:
        """Ask the broker of the waiter's group for a slot, or dispatch directly if it is silent."""
        self._dispatch_if_silent(waiter.group)
        self._client.schedule_demand(waiter.group)

    def on_removed(self, waiter: Waiter) -> None:
        """Send the broker of the waiter's group the reduced demand."""
        self._client.schedule_demand(waiter.group)

    def release(self, grant: Grant, result: AttemptResult) -> None:
        """Return a slot to its broker and update the estimates with what was measured."""
        held = self._held.pop(grant.id, None)
        if held is None:
            return
        in_flight = self.state(grant.pool).in_flight
        in_flight[grant.endpoint] = max(0, in_flight[grant.endpoint] - 1)
        if result.crashed:
            self.prefixes.forget(grant.endpoint)
        elif result.ok and result.tokens:
            total = held.req.sent_tokens or result.tokens
            self.lengths.add(held.req.request_class, held.req.workspace, total)
        self._client.release(held.group, held.number, grant.endpoint, result)
        self._dispatch_if_silent(held.group)

    async def run(self) -> None:
        """Run the broker and the periodic work until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.broker.run())
            tasks.create_task(self._tick())

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the floors, admission ages and free slots of this node."""
        self.floors.fill_heartbeat(heartbeat)
        own = self.broker.free()
        heartbeat.free.extend(own)
        if self._members.is_partial_mesh():
            self._free.fill_heartbeat(heartbeat, own, _now())

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store the floors, admission ages and free slots of a peer."""
        self.floors.on_heartbeat(heartbeat)
        self._free.merge_heartbeat(heartbeat, _now())

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = _now()
            for name in list(self._pools):
                with contextlib.suppress(UnknownPool):
                    self._tick_pool(name, now)
            queues = [state.queue for state in self._pools.values()]
            self._client.tick({waiter.group for queue in queues for waiter in queue})

    def _tick_pool(self, name: str, now: float) -> None:
        queue = self.state(name).queue
        self.admission.update(self.view.pool(name), queue, now)
        if not len(queue):
            return
        self.pump(name)
        groups = self._groups.for_pool(name)
        names = {group.name for group in groups}
        for waiter in queue:
            waited = now - waiter.since
            if waiter.group not in names:
                self._move(waiter, self._choose_group(name).name)
            elif len(groups) > 1 and waited >= RANDOM_MOVE_S and waited % RANDOM_MOVE_S < TICK_S:
                self._move(waiter, self._rng.choice(groups).name)
            elif len(groups) > 1 and waited > REGROUP_S:
                chosen = self._choose_group(name).name
                if self._free.free_slots(chosen) > self._free.free_slots(waiter.group):
                    self._move(waiter, chosen)

    def _move(self, waiter: Waiter, group: str) -> None:
        """Move a waiter to another group and update both brokers."""
        if group != waiter.group:
            old, waiter.group = waiter.group, group
            self._client.schedule_demand(old)
            self._client.schedule_demand(group)

    def _on_grant(self, name: str, item: GrantItem) -> None:
        """Assign a granted slot to a waiter, or return it if none can use it."""
        pool = pool_of(name)
        queue = self.state(pool).queue
        waiter = None
        if self._is_usable(name, item.endpoint):

            def fits(waiter: Waiter) -> int:
                if item.endpoint in waiter.req.excluded_endpoints and self._has_other(
                    pool, waiter.req
                ):
                    return 0
                return 1 + (waiter.preferred == item.endpoint)

            waiter = queue.pop(fits, item.tier if item.only else None)
            if waiter is None and item.only:
                waiter = queue.pop(fits)
        if waiter is None:
            refused = GRANT_REFUSED if len(queue) else 0
            self._client.release(
                name, item.id, item.endpoint, AttemptResult(ok=False, tokens=refused)
            )
            return
        self._client.hold(name, item, waiter.req.tier)
        self._assign_slot(waiter, name, item.id, item.endpoint, brokered=True)
        if waiter.req.tier != item.tier or waiter.group != name:
            self._client.schedule_demand(name)
            self._client.schedule_demand(waiter.group)

    def _is_usable(self, name: str, endpoint: str) -> bool:
        group = self._groups.find(name)
        return group is not None and any(
            item.name == endpoint for item in self._groups.usable(group)
        )

    def _has_other(self, pool: str, req: Request) -> bool:
        """Return whether the pool has a usable endpoint that the request does not exclude."""
        return any(item.name not in req.excluded_endpoints for item in self.view.usable(pool))

    def _on_forecast(self, group: str, wait_ms: list[int]) -> None:
        self.floors.forecast(pool_of(group), group, wait_ms, _now())

    def _dispatch_if_silent(self, name: str) -> None:
        group = self._groups.find(name) if self._client.is_broker_silent(name) else None
        if group is not None:
            self._dispatch(group)

    def _dispatch(self, group: Group) -> None:
        """Dispatch waiters to a group without grants, up to this node's share of the slots."""
        state = self.state(group.pool)
        live_count = max(1, len(self._members.live()))
        while len(state.queue):
            free = [
                item
                for item in self._groups.usable(group)
                if state.in_flight[item.name] < max(1, item.slots // live_count)
            ]
            if not free:
                return
            names = {item.name for item in free}
            waiter = _pop_not_excluding(state.queue, names)
            if waiter is None:
                return
            allowed = [item for item in free if item.name not in waiter.req.excluded_endpoints]
            chosen = self._selection.choose(waiter.req, allowed or free, state.in_flight)
            number = self._client.hold_direct(group.name, chosen.name, waiter.req.tier)
            self._assign_slot(waiter, group.name, number, chosen.name, brokered=False)
            self._client.schedule_demand(group.name)
            self._client.schedule_demand(waiter.group)

    def _assign_slot(
        self, waiter: Waiter, group: str, number: int, endpoint: str, brokered: bool
    ) -> None:
        req = waiter.req
        grant = Grant(self.next_grant(), req.pool, endpoint, brokered)
        self._held[grant.id] = _ActiveGrant(group, number, req)
        if req.prefix:
            item = self.view.pool(req.pool).endpoint(endpoint)
            self.prefixes.record(endpoint, req.prefix, item.cache_blocks if item else 0)
        self.assign(waiter, grant)

    def _waiters(self, group: str) -> Iterator[Waiter]:
        state = self._pools.get(pool_of(group))
        if state is None:
            return iter(())
        return (waiter for waiter in state.queue if waiter.group == group)

    def _choose_group(self, pool: str) -> Group:
        """Choose a group by its free slots, preferably one whose broker is in the own zone."""
        groups = self._groups.for_pool(pool)
        chosen = self._choose_of_two(groups)
        near = self._groups.in_zone_of(pool, self._node) if len(groups) > 1 else []
        if not near:
            return chosen
        own = self._choose_of_two(near)
        return (
            own
            if NEAR_BOUND * self._free.free_slots(own.name) >= self._free.free_slots(chosen.name)
            else chosen
        )

    def _choose_of_two(self, groups: list[Group]) -> Group:
        """Return the one with more free slots of two random groups."""
        pair = groups if len(groups) <= 2 else self._rng.sample(groups, 2)
        return max(pair, key=lambda group: self._free.free_slots(group.name))


def _pop_not_excluding(queue: WaitQueue, names: set[str]) -> Waiter | None:
    """Remove and return the next waiter, preferably one that does not exclude all endpoints."""
    return queue.pop(lambda waiter: not names <= waiter.req.excluded_endpoints) or queue.pop()


def _now() -> float:
    return asyncio.get_running_loop().time()
