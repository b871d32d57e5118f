"""Guarantees 1 and 2 over nine node processes in three availability zones under overload."""

import asyncio
import itertools
import time
import unittest
from typing import Any, ClassVar

from lacewinghub.checker import (
    CompleteAnswers,
    FullQueue,
    GuaranteeBounds,
    MinimumShare,
    Rule,
    TierOrder,
)
from lacewinghub.evidence import CallRecord, Evidence
from lacewinghub.history import EventKind
from lacewinghub.node_client import NodeClient

from .cluster import FAST, Cluster, FailureCase

ZONES = ("north-a", "north-b", "north-c")
RUNNERS, SLOTS, STEP_S, TOKENS = 3, 4, 0.02, 30
# Requests per second; a slow machine has less, so the overload is at least the stated one.
CAPACITY = RUNNERS * SLOTS / (STEP_S * TOKENS)
CALLER_TIMEOUT_S = 15.0  # Six times the patience; then the caller leaves.
CLASSES = {"urgent": 1, "quote": 2, "draft": 4, "report": 6}
PATIENCE_S = 2.5
OVERLOAD = dict.fromkeys(CLASSES, 0.4)
OVERLOAD_S = 5.0
# The lower tiers ask for more than their minimum share of 2% of what is served; the naive scheduler
# gives them their part of the arrivals, 1% each.
BURST = {"urgent": 5.0, "quote": 0.05, "draft": 0.05, "report": 0.05}
BURST_S = GuaranteeBounds().share_window_s + 1.0


class TestOverload(FailureCase):
    """Guards against nodes that shed out of tier order or starve a tier, each by its own view."""

    found: ClassVar[dict[str, dict[str, list[str]]]] = {}

    async def test_guarantees_1_and_2_with_nine_nodes(self) -> None:
        await self._run_once()
        current, naive = self.found["brokered"], self.found["naive"]
        for rule in ("tier_order", "full_queue", "minimum_share", "complete_answers"):
            self.assertEqual(current[rule][:3], [], rule)
        print("violations by naive nodes:", {rule: len(found) for rule, found in naive.items()})
        self.assertTrue(naive["tier_order"])
        self.assertTrue(naive["minimum_share"])

    async def test_requests_are_answered_or_refused(self) -> None:
        """Guards against requests outside the quota that wait far beyond their patience.

        A request that was admitted through the quota is never shed and may wait longer.
        """
        await self._run_once()
        self.assertEqual(self.found["brokered"]["given_up"], [])

    async def _run_once(self) -> None:
        """Run both versions at the same time, unless the other test has done so."""
        if not self.found:
            versions = ("brokered", "naive")
            results = await asyncio.gather(*(self._run(version) for version in versions))
            self.found.update(zip(versions, results, strict=True))

    async def _run(self, scheduler: str) -> dict[str, list[str]]:
        """Run both phases and return the violations by rule."""
        cluster = await self.open(
            nodes=0,
            runners=RUNNERS,
            ready=False,
            runner_args=["--slots", str(SLOTS), "--step_ms", str(STEP_S * 1000)],
            limits=FAST,
            members={"scheduler": scheduler},
        )
        cluster.client = NodeClient(CALLER_TIMEOUT_S)
        cluster.deployment.add_zones(ZONES, 3)
        await cluster.start(_document(cluster))
        await cluster.until_live(9)
        calls = await _offer(cluster, OVERLOAD, OVERLOAD_S)
        burst = time.time()
        calls += await _offer(cluster, BURST, BURST_S)
        if scheduler == "brokered":
            await asyncio.gather(*calls)
        else:
            # Naive nodes leave low priorities at the runners for as long as the burst lasts.
            for call in calls:
                call.cancel()
            await asyncio.wait(calls)
        await cluster.check()
        bounds = GuaranteeBounds()
        events = [item for item in cluster.evidence.events if burst <= item.time]
        rules: list[tuple[Rule, Evidence]] = [
            (TierOrder(bounds), cluster.evidence),
            (FullQueue(bounds), cluster.evidence),
            (MinimumShare(bounds), Evidence(events)),
            (CompleteAnswers(bounds), cluster.evidence),
        ]
        found = {rule.name: [item.message for item in rule.check(data)] for rule, data in rules}
        found["given_up"] = _given_up(cluster.evidence)
        self.assertEqual(
            len({event.node for event in cluster.evidence.events_of(EventKind.SHED)}), 9
        )
        await cluster.close()
        return found


def _given_up(evidence: Evidence) -> list[str]:
    """Return the requests outside the quota whose callers left without answer or refusal."""
    admitted = {event.request: event for event in evidence.events_of(EventKind.ADMITTED)}
    dispatched = {event.request: event for event in evidence.events_of(EventKind.DISPATCHED)}
    found = []
    for event in evidence.events_of(EventKind.CANCELLED):
        start, sent = admitted.get(event.request), dispatched.get(event.request)
        if start is not None and not start.quota:
            place = f"sent to {sent.endpoint}" if sent is not None else "waiting"
            found.append(
                f"{start.request_class} request {event.request} at {event.node} was {place}"
                f" {event.time - start.time:.1f} s after its admission"
            )
    return found


async def _offer(
    cluster: Cluster, load: dict[str, float], duration_s: float
) -> list[asyncio.Task[CallRecord]]:
    """Send each class at a multiple of the capacity to all nodes in turn."""
    start = time.monotonic()
    calls: list[asyncio.Task[CallRecord]] = []

    async def send(name: str, rate: float) -> None:
        for number, node in enumerate(itertools.cycle(cluster.names)):
            due = start + number / rate
            if due >= start + duration_s:
                return
            await asyncio.sleep(due - time.monotonic())
            call = cluster.chat(node, f"{name} {number} {start}", TOKENS, request_class=name)
            calls.append(asyncio.create_task(call))

    await asyncio.gather(*(send(name, part * CAPACITY) for name, part in load.items()))
    return calls


def _document(cluster: Cluster) -> dict[str, Any]:
    document = cluster.deployment.document()
    for number, endpoint in enumerate(document["pools"][0]["endpoints"]):
        endpoint |= {"slots": SLOTS, "availability_zone": ZONES[number % len(ZONES)]}
    document["routes"] += [
        {
            "name": name,
            "pool": "assistant",
            "tier": tier,
            "model": "colour",
            "request_class": name,
            "patience_s": PATIENCE_S,
        }
        for name, tier in CLASSES.items()
    ]
    return document


if __name__ == "__main__":
    unittest.main()
