"""Tests of the measurements behind the capacity page."""

import unittest

from lacewinghub import capacity


class FitTest(unittest.TestCase):
    """Guards against a fitted line that does not match its points."""

    def test_points_on_a_line_have_no_error(self) -> None:
        line = capacity.fit_line(
            "memory", "bytes", [(x, 3.0 + 2.0 * x) for x in (1.0, 2.0, 5.0, 9.0)]
        )
        self.assertAlmostEqual(line.slope, 2.0)
        self.assertAlmostEqual(line.intercept, 3.0)
        self.assertAlmostEqual(line.error, 0.0)

    def test_error_grows_with_the_scatter(self) -> None:
        points = [(1.0, 1.0), (2.0, 4.0), (3.0, 1.0), (4.0, 4.0)]
        self.assertAlmostEqual(capacity.fit_line("x", "", points).error, 0.72**0.5)

    def test_fewer_than_four_sizes_are_refused(self) -> None:
        with self.assertRaises(ValueError):
            capacity.fit_line("x", "", [(1.0, 1.0), (2.0, 2.0), (3.0, 3.0), (3.0, 3.0)])


class MeasureTest(unittest.IsolatedAsyncioTestCase):
    """Guards against costs beyond the limits for control overhead at the target size."""

    def test_memory_of_the_target_size_fits(self) -> None:
        sizes = (500, 1_000, 2_000, 4_000)
        workspace = capacity.workspace_memory(sizes)
        route = capacity.route_memory(sizes)
        claim = capacity.claim_memory(sizes)
        tables = workspace.intercept + 13_000 * (workspace.slope + route.slope)
        self.assertLess(tables, 20e6)
        self.assertLess(claim.slope, 600)

    def test_changes_are_cheap_to_apply_and_to_replay(self) -> None:
        # At 10,000 changes a day, 1.1% of a core is 95 ms per change; a full rebuild took 20 ms.
        sizes = (10, 1_000, 3_000, 13_000)
        self.assertLess(capacity.change_time(sizes, 10).points[-1][1], 0.01)
        replay = capacity.change_replay((100, 200, 400, 800))
        self.assertLess(replay.points[-1][1], 0.4)

    async def test_nodes_share_the_append_budget_of_the_log(self) -> None:
        rates, batches = await capacity.append_rates(
            (1, 3, 6, 9), claims_per_s=50.0, duration_s=0.5
        )
        self.assertLess(max(rate for _, rate in rates.points), 250.0)
        self.assertGreater(batches.points[-1][1], batches.points[0][1])

    def test_snapshot_of_the_target_size_is_small_enough_for_a_record(self) -> None:
        line = capacity.snapshot_size((10, 500, 1_000, 2_000))
        self.assertLess(line.intercept + 13_000 * line.slope, 4e6)
