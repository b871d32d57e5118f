"""Tests of the measurement of the cost of peer connections."""

import unittest

from lacewinghub.mesh import fit_line, measure_mesh


class TestMesh(unittest.IsolatedAsyncioTestCase):
    async def test_full_mesh_sends_four_heartbeats_per_second_to_each_peer(self) -> None:
        """Guards against measuring a mesh that has not formed or has duplicate connections."""
        cost = await measure_mesh(4, 1.5)
        self.assertAlmostEqual(cost.messages_per_s, 12, delta=2)
        self.assertAlmostEqual(cost.bytes_per_s, 12 * cost.heartbeat_bytes, delta=600)
        self.assertGreater(cost.wire_bytes_per_s, cost.bytes_per_s)
        self.assertGreater(cost.core, 0)


class TestFit(unittest.TestCase):
    def test_line_and_error(self) -> None:
        """Guards against a slope or a limit computed with x and y swapped."""
        line = fit_line([(1, 12), (2, 14), (4, 18)])
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.value_at(330), 670)
        self.assertAlmostEqual(line.x_at(30), 10)
        self.assertAlmostEqual(line.error, 0)
        self.assertAlmostEqual(fit_line([(0, 0), (1, 10), (2, 14)]).error, 2 / 14)
        self.assertEqual(fit_line([(0, 5), (1, 5)]).x_at(9), float("inf"))


if __name__ == "__main__":
    unittest.main()
