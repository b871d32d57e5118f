"""Routes by host and path, for requests that are passed on unchanged."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from .errors import NotFound
from .tables import Target


@dataclass(frozen=True, slots=True)
class WeightedPool:
    """A pool of a route and its weight in the random choice."""

    pool: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class PathRoute:
    """Sends requests for a host and a path prefix to pools.

    Attributes:
        name: Unique name.
        host: Value of the header ``Host``, in lower case, without a port.
        prefix: Prefix of the path; starts and ends with a slash.
        pools: Pools among which the requests are split, with their weights.
        tier: Priority; 1 is the highest.
        timeout_s: Longest time until the response is complete, in seconds.
        target: Latency targets.
        max_attempts: Largest number of endpoints to which a request may be sent.
        public: True if requests need no key.
        streaming: True if responses are streams of events.
        repeatable: True if a request may be executed more than once.
        resumable: True if another endpoint may continue the stream.
    """

    name: str
    host: str
    prefix: str
    pools: tuple[WeightedPool, ...]
    tier: int = 1
    timeout_s: float = 30.0
    target: Target = field(default_factory=Target)
    max_attempts: int = 1
    public: bool = False
    streaming: bool = False
    repeatable: bool = False
    resumable: bool = False

    def choose_pool(self, rng: random.Random) -> str:
        """Return a pool that is chosen at random according to the weights."""
        if len(self.pools) == 1:
            return self.pools[0].pool
        weights = [item.weight for item in self.pools]
        return rng.choices(self.pools, weights)[0].pool


@dataclass(slots=True)
class _HostRoutes:
    """Routes of one host.

    Attributes:
        by_prefix: Routes by prefix.
        lengths: Lengths of the prefixes, longest first.
    """

    by_prefix: dict[str, PathRoute]
    lengths: list[int] = field(init=False)

    def __post_init__(self) -> None:
        self.lengths = sorted({len(item) for item in self.by_prefix}, reverse=True)

    def match(self, path: str) -> PathRoute | None:
        """Return the route with the longest prefix of a path, or None.

        The work depends on the prefixes of the configuration, and not on the path of a client.
        """
        for length in self.lengths:
            found = self.by_prefix.get(path[:length])
            if found is not None:
                return found
        return None


@dataclass(slots=True)
class PathRoutes:
    """Look-up of routes by host and longest prefix.

    Args:
        routes: All routes.

    Attributes:
        lowest_tier: Largest tier number of a route.
    """

    routes: Iterable[PathRoute] = ()
    lowest_tier: int = 1
    _hosts: dict[str, _HostRoutes] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.lowest_tier = max((route.tier for route in self.routes), default=1)
        hosts: dict[str, dict[str, PathRoute]] = {}
        for route in self.routes:
            if route.prefix.endswith("/"):
                hosts.setdefault(route.host, {})[route.prefix] = route
        self._hosts = {host: _HostRoutes(prefixes) for host, prefixes in hosts.items()}

    def match(self, host: str, path: str) -> PathRoute:
        """Find the route of a request.

        Args:
            host: Value of the header ``Host``, possibly with a port.
            path: Path without the query.

        Returns:
            The route with the longest matching prefix.

        Raises:
            NotFound: If no route matches.
        """
        name = host.lower()
        routes = self._hosts.get(name) or self._hosts.get(name.partition(":")[0])
        found = routes.match(path) if routes is not None else None
        if found is not None:
            return found
        raise NotFound("no route serves this host and path")

    def by_name(self, name: str) -> PathRoute | None:
        """Return a route by name, or None."""
        return next((item for item in self.routes if item.name == name), None)
