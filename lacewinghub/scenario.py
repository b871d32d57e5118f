"""Benchmark scenarios: deployments, request classes, traffic and faults."""

import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import xxhash

from .sim_components import RunnerSpeed
from .tables import Endpoint, Pool, Route, Tables, Target, Workspace

WARMUP_S = 5.0
TRAFFIC_S = 90.0
COOLDOWN_S = 10.0  # Requests that arrive this late generate load but are not measured.
WORKSPACES = 10
WORKSPACE_SIZES = (0.3, 0.22, 0.12, 0.08, 0.07, 0.06, 0.05, 0.04, 0.03, 0.03)
NODES_PER_ZONE = 3
BLOCK_TOKENS = 64


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with common lengths and targets.

    Attributes:
        name: Name of the class and of its route.
        pool: Pool that serves it.
        tier: Priority tier; 1 is the highest.
        share: Fraction of the pool's capacity that it uses at load 1.
        prompt: Mean prompt length in tokens.
        output: Mean output length in tokens.
        target: Latency targets.
        patience_s: Maximum wait in the queue, in seconds.
        repeatable: False for calls that must be executed at most once.
    """

    name: str
    pool: str
    tier: int
    share: float
    prompt: int
    output: int
    target: Target
    patience_s: float
    repeatable: bool = True


@dataclass(frozen=True, slots=True)
class Deployment:
    """Zones, runners and request classes of a deployment of one of the first users.

    Attributes:
        name: Name of the deployment.
        zones: Availability zones.
        same_zone_delay_s: One-way network delay within a zone, in seconds.
        cross_zone_delay_s: One-way network delay between zones, in seconds.
        runners: Number of runners by pool.
        slots: Slots of each runner by pool.
        classes: Request classes.
    """

    name: str
    zones: tuple[str, ...]
    same_zone_delay_s: float
    cross_zone_delay_s: float
    runners: dict[str, int]
    slots: dict[str, int]
    classes: tuple[RequestClass, ...]

    def tables(self, cache_blocks: int) -> Tables:
        """Return the configuration tables of the deployment."""
        pools = []
        number = itertools.count(1)
        for pool, count in self.runners.items():
            items = [
                Endpoint(
                    f"{pool}-{index}",
                    f"127.0.0.1:{9000 + next(number)}",
                    self.zones[index % len(self.zones)],
                    self.slots[pool],
                    cache_blocks,
                )
                for index in range(count)
            ]
            repeatable = all(item.repeatable for item in self.classes if item.pool == pool)
            kind = "model" if repeatable else "service"
            pools.append(Pool(pool, items, kind, repeatable))  # type: ignore[arg-type]
        routes = [
            Route(
                item.name,
                item.pool,
                item.tier,
                request_class=item.name,
                patience_s=item.patience_s,
                target=item.target,
            )
            for item in self.classes
        ]
        return Tables(routes, pools, [Workspace(name) for name in workspaces()])

    def top_tiers(self) -> dict[str, int]:
        """Return the highest priority tier of each pool."""
        return {
            pool: min(item.tier for item in self.classes if item.pool == pool)
            for pool in self.runners
        }


TRUST = Deployment(
    "trust",
    ("north-a", "north-b", "north-c"),
    0.00025,
    0.0005,
    {"assistant": 6, "booking": 3},
    {"assistant": 8, "booking": 4},
    (
        RequestClass("quick", "assistant", 1, 0.2, 200, 60, Target(1.0, 0.061, 6.0), 0.7),
        RequestClass("quote", "assistant", 2, 0.3, 400, 150, Target(2.0, 0.07, 15.0), 1.4),
        RequestClass("draft", "assistant", 4, 0.3, 600, 300, Target(6.0, 0.09, 40.0), 4.0),
        RequestClass("batch", "assistant", 6, 0.2, 800, 400, Target(15.0, 0.1, 60.0), 10.0),
        RequestClass("booking", "booking", 1, 0.6, 20, 15, Target(None, None, 2.0), 1.0, False),
        RequestClass("calendar", "booking", 3, 0.4, 20, 15, Target(None, None, 4.0), 2.5, False),
    ),
)

CONSORTIUM = Deployment(
    "consortium",
    ("sohar", "barka", "rustaq"),
    0.0005,
    0.001,
    {"shared": 9, "gate": 3},
    {"shared": 8, "gate": 4},
    (
        RequestClass("verdict", "shared", 1, 0.15, 800, 20, Target(1.2, 0.08, 4.0), 0.8),
        RequestClass("question", "shared", 2, 0.3, 150, 80, Target(1.6, 0.07, 8.0), 1.1),
        RequestClass("history", "shared", 5, 0.35, 4000, 400, Target(8.0, 0.1, 60.0), 5.0),
        RequestClass("digest", "shared", 7, 0.2, 1000, 300, Target(15.0, 0.1, 60.0), 10.0),
        RequestClass("dispatch", "gate", 1, 0.6, 20, 15, Target(None, None, 2.0), 1.0, False),
        RequestClass("inspect", "gate", 3, 0.4, 20, 15, Target(None, None, 4.0), 2.5, False),
    ),
)

DEPLOYMENTS = {item.name: item for item in (TRUST, CONSORTIUM)}


@dataclass(frozen=True, slots=True)
class Scenario:
    """Traffic and faults of one benchmark run.

    Attributes:
        name: Name of the scenario.
        load: Demand of all classes relative to capacity.
        burst: Factor on the rate of one class from ``burst_from_s`` to ``burst_to_s``.
        burst_class: Index of that class in the deployment; -1 for none.
        output_tail: Shape of the Pareto distribution of output lengths; 0 for a log-normal one.
        prefix_share: Fraction of each prompt that is a prefix shared within its workspace.
        report_lag_s: Age of load reports when they arrive, in seconds.
        stragglers: Number of runners of the first pool that are slowed down.
        slowdown: Factor on the step time of these runners.
        crash_every_s: Interval of runner crashes in the first pool, in seconds; 0 for none.
        restart_s: Downtime of a crashed runner, in seconds.
        zone_lost_s: Time at which the last availability zone fails, in seconds; 0 for never.
        log_unavailable: True if the platform's log does not answer.
        cache_blocks: Size of the prefix cache of each runner, in blocks.
        traffic_s: Length of the traffic in seconds.
    """

    name: str
    load: float
    burst: float = 1.0
    burst_class: int = -1
    burst_from_s: float = 0.0
    burst_to_s: float = math.inf
    output_tail: float = 0.0
    prefix_share: float = 0.0
    report_lag_s: float = 0.2
    stragglers: int = 0
    slowdown: float = 3.0
    crash_every_s: float = 0.0
    restart_s: float = 3.0
    zone_lost_s: float = 0.0
    log_unavailable: bool = False
    cache_blocks: int = 1024
    traffic_s: float = TRAFFIC_S

    @property
    def measured(self) -> tuple[float, float]:
        """Start and end of the measured interval, in seconds from the start of the traffic."""
        return WARMUP_S, self.traffic_s - COOLDOWN_S


SCENARIOS = (
    Scenario("steady", 0.7),
    Scenario("capacity", 1.0),
    Scenario("burst", 0.5, burst=10.0, burst_class=2, burst_from_s=12.0, burst_to_s=27.0),
    Scenario("overload", 1.5),
    Scenario("stragglers", 0.5, stragglers=2),
    Scenario("crashes", 0.6, crash_every_s=10.0),
    Scenario("late-reports", 0.85, report_lag_s=2.0),
    Scenario("heavy-tail", 0.8, output_tail=1.5),
    Scenario("prefixes", 0.9, prefix_share=0.8),
    Scenario("zone-lost", 0.5, zone_lost_s=15.0),
    Scenario("log-away", 0.7, log_unavailable=True),
    Scenario("top-burst", 0.7, burst=15.0, burst_class=0, burst_from_s=3.0),
)
QUICK = ("overload", "crashes")


@dataclass(slots=True)
class SimulatedRequest:
    """A request of a simulated client.

    Attributes:
        time: Time of arrival, in seconds from the start.
        request_class: Its class.
        workspace: Name of the workspace.
        prompt: Number of prompt tokens.
        output: Number of tokens that the runner will generate.
        prefix: Block hashes of the prompt.
        placement: Number from 0 to 1 that selects the node.
    """

    time: float
    request_class: RequestClass
    workspace: str
    prompt: int
    output: int
    prefix: tuple[int, ...] = field(default_factory=tuple)
    placement: float = 0.0


def workspaces() -> list[str]:
    """Return the names of the workspaces, largest first."""
    return [f"workspace-{number}" for number in range(WORKSPACES)]


def generate_requests(
    scenario: Scenario, deployment: Deployment, seed: int, speed: RunnerSpeed
) -> list[SimulatedRequest]:
    """Generate the requests, independent of the scheduler version.

    Args:
        scenario: The scenario.
        deployment: The deployment.
        seed: Seed of the random numbers.
        speed: Speed of the runners, from which the capacity is computed.

    Returns:
        Requests in order of arrival.
    """
    found: list[SimulatedRequest] = []
    for number, request_class in enumerate(deployment.classes):
        rng = random.Random(f"{seed}|{scenario.name}|{deployment.name}|{request_class.name}")
        found.extend(_class_requests(scenario, deployment, number, speed, rng))
    found.sort(key=lambda request: request.time)
    return found


def _class_requests(
    scenario: Scenario, deployment: Deployment, number: int, speed: RunnerSpeed, rng: random.Random
) -> Iterator[SimulatedRequest]:
    request_class = deployment.classes[number]
    cost = speed.cost_s(
        request_class.prompt, request_class.output, deployment.slots[request_class.pool]
    )
    base = scenario.load * request_class.share * deployment.runners[request_class.pool] / cost
    bursts = number == scenario.burst_class
    peak = base * (scenario.burst if bursts else 1.0)
    time = 0.0
    while (time := time + rng.expovariate(peak)) < scenario.traffic_s:
        inside = scenario.burst_from_s <= time < scenario.burst_to_s
        if bursts and not inside and rng.random() * scenario.burst > 1.0:
            continue
        yield _request(scenario, request_class, time, rng)


def _request(
    scenario: Scenario, request_class: RequestClass, time: float, rng: random.Random
) -> SimulatedRequest:
    workspace = rng.choices(workspaces(), WORKSPACE_SIZES)[0]
    prompt = max(16, int(rng.gauss(request_class.prompt, request_class.prompt / 5)))
    request = SimulatedRequest(
        time, request_class, workspace, prompt, _output_length(scenario, request_class, rng)
    )
    request.placement = rng.random()
    if scenario.prefix_share:
        blocks = int(scenario.prefix_share * request_class.prompt / BLOCK_TOKENS)
        request.prefix = tuple(
            xxhash.xxh3_64_intdigest(f"{workspace}|{request_class.name}|{block}".encode())
            for block in range(blocks)
        )
    return request


def _output_length(scenario: Scenario, request_class: RequestClass, rng: random.Random) -> int:
    if not request_class.repeatable:
        return request_class.output
    if scenario.output_tail:
        scale = request_class.output * (scenario.output_tail - 1) / scenario.output_tail
        return max(
            1, min(int(scale * rng.paretovariate(scenario.output_tail)), 20 * request_class.output)
        )
    sigma = 0.5
    return max(1, int(rng.lognormvariate(math.log(request_class.output) - sigma**2 / 2, sigma)))


def shortened(scenario: Scenario) -> Scenario:
    """Return a scenario with less traffic, for tests."""
    return replace(scenario, traffic_s=25.0)
