"""Tests of configuration versions, routes by path, and workspaces by key."""

import random
import unittest

from lacewinghub.deployment import CurrentConfig, DeploymentConfig
from lacewinghub.errors import NotFound, Unauthorized
from lacewinghub.keys import key_digest
from lacewinghub.pathroute import PathRoute, PathRoutes, WeightedPool
from lacewinghub.tables import Workspace


def path_route(name: str, prefix: str, host: str = "h", **members: object) -> PathRoute:
    """Return a route."""
    return PathRoute(name, host, prefix, (WeightedPool("p"),), **members)  # type: ignore[arg-type]


class TestPathRoutes(unittest.TestCase):
    def test_match(self) -> None:
        routes = PathRoutes(
            [
                path_route("root", "/"),
                path_route("a", "/a/"),
                path_route("ab", "/a/b/"),
                path_route("other", "/a/", host="g"),
            ]
        )
        cases = [
            ("h", "/a/b/c", "ab"),
            ("h", "/a/b/", "ab"),
            ("h", "/a/b", "a"),
            ("h", "/a", "root"),
            ("H:80", "/a/x", "a"),
            ("g", "/a/b/c", "other"),
            ("g", "/b/", None),
            ("x", "/a/", None),
            ("h", "no-slash", None),
        ]
        for host, path, expected in cases:
            with self.subTest(host=host, path=path):
                if expected is None:
                    with self.assertRaises(NotFound):
                        routes.match(host, path)
                else:
                    self.assertEqual(routes.match(host, path).name, expected)

    def test_the_work_does_not_grow_with_the_slashes_of_a_path(self) -> None:
        # Guards against a path that stops the event loop: each copied prefix costs its length.
        class CountingPath(str):
            copies = 0

            def __getitem__(self, key: object) -> str:
                CountingPath.copies += 1
                return str.__getitem__(self, key)  # type: ignore[index]

        routes = PathRoutes([path_route("a", "/a/"), path_route("b", "/b/c/")])
        with self.assertRaises(NotFound):
            routes.match("h", CountingPath("/" * 15_000))
        self.assertLessEqual(CountingPath.copies, 2)

    def test_shares_follow_their_weights(self) -> None:
        route = PathRoute("r", "h", "/", (WeightedPool("p", 90), WeightedPool("q", 10)))
        rng = random.Random(1)
        chosen = [route.choose_pool(rng) for _ in range(2000)]
        self.assertAlmostEqual(chosen.count("q") / 2000, 0.1, delta=0.03)


class TestDeployments(unittest.TestCase):
    def test_an_older_version_never_returns(self) -> None:
        # Guards against a return to an older configuration after a compaction or a new reader.
        current_config = CurrentConfig()
        seen_versions: list[int] = []
        current_config.listen(lambda item: seen_versions.append(item.version))
        accepted = [
            current_config.replace_if_newer(DeploymentConfig(version)) for version in (3, 2, 3, 7)
        ]
        self.assertEqual(accepted, [True, False, False, True])
        self.assertEqual((seen_versions, current_config.current.version), ([3, 7], 7))

    def test_the_tier_of_the_workspace_takes_precedence_over_that_of_the_route(self) -> None:
        # Guards against requests of a low route tier that get the same tier as the urgent ones of
        # their workspace, so that a runner keeps the former and stops the latter. A hunt on
        # bgc-sluice found the fault (day scale-2, seed 827437945246).
        routes = [path_route(f"r{tier}", f"/{tier}/", tier=tier) for tier in (1, 2, 3)]
        deployment = DeploymentConfig(1, PathRoutes(routes))
        order = [
            deployment.tier(route, workspace)
            for workspace in (Workspace("a", tier=1), Workspace("b", tier=2))
            for route in routes
        ]
        self.assertEqual(order, [1, 2, 3, 4, 5, 6])
        for workspace in (None, Workspace("c")):
            tiers = [deployment.tier(route, workspace) for route in routes]
            self.assertEqual(tiers, [1, 2, 3])

    def test_workspaces(self) -> None:
        known = {key_digest("k"): Workspace("w", tier=2)}
        private, public = path_route("r", "/"), path_route("o", "/", public=True)
        cases = [
            ("known key", DeploymentConfig(1, workspaces=known, keyed=True), private, "k", "w"),
            ("unknown key", DeploymentConfig(1, workspaces=known, keyed=True), private, "x", None),
            ("no key", DeploymentConfig(1, workspaces=known, keyed=True), private, None, None),
            (
                "public without key",
                DeploymentConfig(1, workspaces=known, keyed=True),
                public,
                None,
                "",
            ),
            (
                "public with key",
                DeploymentConfig(1, workspaces=known, keyed=True),
                public,
                "k",
                "w",
            ),
            ("all keys taken away", DeploymentConfig(1, keyed=True), private, "k", None),
            ("no keys configured", DeploymentConfig(1), private, None, ""),
        ]
        for name, deployment, route, key, expected in cases:
            with self.subTest(name):
                if expected is None:
                    with self.assertRaises(Unauthorized):
                        deployment.workspace(route, key)
                else:
                    found = deployment.workspace(route, key)
                    self.assertEqual(found.name if found else "", expected)
