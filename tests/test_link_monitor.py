"""Tests of which broken connections count against endpoints, on a simulated clock."""

import asyncio
import unittest

from lacewinghub.dependencies import EndpointMonitor
from lacewinghub.link_monitor import JUDGE_S, LinkAwareMonitor
from lacewinghub.link_state import LinkState
from lacewinghub.request import AttemptResult

from .clock import simulate

BROKEN = AttemptResult(ok=False, crashed=True)


class _Blamed(EndpointMonitor):
    def __init__(self) -> None:
        self.results: list[AttemptResult] = []

    def on_attempt_ended(self, pool: str, endpoint: str, seen: AttemptResult) -> None:
        self.results.append(seen)

    def on_endpoint_leaving(self, endpoint: str) -> None:
        raise AssertionError


def _cut(link: LinkState) -> None:
    for address in ("x", "y"):
        link.on_direct_failed(address, timed_out=True)
        link.on_reached_by_other(address)


class TestBrokenConnections(unittest.TestCase):
    """Guards against links that are blamed for endpoints which have failed, and the reverse."""

    def test_whom_a_broken_connection_is_blamed_on(self) -> None:
        cases = (
            # Cut before, cut meanwhile, another node reaches the endpoint, the endpoint is blamed.
            (False, False, False, True),
            (False, True, False, False),
            (False, True, True, False),
            (True, False, True, False),
            (True, False, False, True),
        )
        for before, meanwhile, reached, blamed in cases:

            async def scenario(
                before: bool = before, meanwhile: bool = meanwhile, reached: bool = reached
            ) -> int:
                link = LinkState(lambda: 10)

                async def is_reachable(endpoint: str) -> bool:
                    await asyncio.sleep(0.1)
                    (link.on_reached_by_other if reached else link.on_unreached_by_other)("a")
                    if meanwhile:
                        _cut(link)
                    return reached

                if before:
                    _cut(link)
                    await asyncio.sleep(1.0)
                monitor = _Blamed()
                LinkAwareMonitor([monitor], link, lambda _: "a", is_reachable).on_attempt_ended(
                    "p", "e", BROKEN
                )
                await asyncio.sleep(2 * JUDGE_S)
                return len(monitor.results)

            with self.subTest(before=before, meanwhile=meanwhile, reached=reached):
                self.assertEqual(simulate(scenario), int(blamed))


if __name__ == "__main__":
    unittest.main()
