"""Load tool: open-loop traffic of several classes from a scenario file.

Arrivals follow a Poisson process whose rate does not depend on the answers, so that a slow node
does not slow down its own load. A run is bounded in time and in requests.
"""

import asyncio
import ipaddress
import random
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import pyjson5
from hdrh.histogram import HdrHistogram
from pydantic import AfterValidator, ConfigDict, Field, TypeAdapter, ValidationError

from .errors import BadRequest, ExecutionStatus
from .node_client import OUTCOME_OK, CallResult, NodeClient
from .tables import Address, Name, Target

MAX_REQUESTS = 200_000
MAX_IN_FLIGHT = 4_000
MAX_DURATION_S = 3_600.0
DRAIN_S = 60.0
# Latencies from 1 microsecond to one hour with three significant digits.
HISTOGRAM = (1, 3_600_000_000, 3)
PERCENTILES = (50.0, 90.0, 95.0, 99.0)
OUTCOME_NOT_SENT = "not_sent"


def _check_span(value: list[int]) -> list[int]:
    if value[0] > value[1]:
        raise ValueError("the first number must not exceed the second")
    return value


Share = Annotated[float, Field(ge=0, le=1)]
Span = Annotated[
    list[Annotated[int, Field(ge=1, le=100_000)]],
    Field(min_length=2, max_length=2),
    AfterValidator(_check_span),
]


@dataclass(slots=True)
class Burst:
    """A time in which the rate of a class is multiplied."""

    __pydantic_config__ = ConfigDict(extra="forbid")

    at_s: Annotated[float, Field(ge=0)]
    length_s: Annotated[float, Field(gt=0)]
    factor: Annotated[float, Field(ge=0, le=1000)]


@dataclass(slots=True)
class LoadClass:
    """Traffic of one class.

    Attributes:
        name: Class.
        rate_s: Mean arrivals per second.
        model: Model of chat completions; empty for calls of a service.
        service: Pool of plain calls; empty for chat completions.
        prompt_words: Smallest and largest length of the caller's own part of the prompt.
        prefix_words: Length of the part that all prompts of a workspace share.
        output_tokens: Smallest and largest length of an answer.
        stream: True to read answers as streams.
        repeat: Share of calls that are sent a second time with the same key, to another node.
        disconnect: Share of requests whose caller leaves before the answer is complete.
        target: Latency targets for the attainment.
        bursts: Times of higher rate.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    name: Name
    rate_s: Annotated[float, Field(gt=0, le=100_000)]
    model: str = ""
    service: str = ""
    prompt_words: Span = field(default_factory=lambda: [20, 100])
    prefix_words: Annotated[int, Field(ge=0, le=100_000)] = 0
    output_tokens: Span = field(default_factory=lambda: [10, 100])
    stream: bool = True
    repeat: Share = 0.0
    disconnect: Share = 0.0
    target: Target = field(default_factory=Target)
    bursts: list[Burst] = field(default_factory=list)

    def factor(self, time_s: float) -> float:
        """Return the factor of the rate at a time after the start, in seconds."""
        found = [item for item in self.bursts if item.at_s <= time_s < item.at_s + item.length_s]
        return found[0].factor if found else 1.0


@dataclass(slots=True)
class LoadWorkspace:
    """A workspace that sends requests; ``share`` is its weight among the workspaces."""

    __pydantic_config__ = ConfigDict(extra="forbid")

    name: Name
    key: str
    share: Annotated[float, Field(gt=0)] = 1.0


@dataclass(slots=True)
class LoadScenario:
    """What a run sends.

    Attributes:
        name: Name of the scenario.
        duration_s: Time during which requests arrive, in seconds.
        classes: Traffic by class.
        workspaces: Callers.
        seed: Seed of arrivals and bodies.
        max_requests: Largest number of requests.
        check_answers: True to compare every answer with the text that the stand-in of a runner
            generates; only for runs against stand-ins.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    name: Name
    duration_s: Annotated[float, Field(gt=0, le=MAX_DURATION_S)]
    classes: Annotated[list[LoadClass], Field(min_length=1)]
    workspaces: Annotated[list[LoadWorkspace], Field(min_length=1)]
    seed: int = 1
    max_requests: Annotated[int, Field(ge=1, le=MAX_REQUESTS)] = MAX_REQUESTS
    check_answers: bool = False


_SCENARIO = TypeAdapter(LoadScenario)


def parse_scenario(text: str, name: str = "scenario") -> LoadScenario:
    """Read a scenario.

    Args:
        text: JSON with comments.
        name: Name of the file, for errors.

    Returns:
        The scenario.

    Raises:
        BadRequest: If it is wrong; the message names the place.
    """
    try:
        scenario = _SCENARIO.validate_python(pyjson5.decode(text))
    except pyjson5.Json5Exception as exc:
        raise BadRequest(f"{name} is not JSON: {exc}") from exc
    except ValidationError as exc:
        first = exc.errors(include_url=False)[0]
        place = ".".join(str(part) for part in first["loc"]) or "document"
        raise BadRequest(f"{name}: {place}: {first['msg']}", place=place) from exc
    for number, item in enumerate(scenario.classes):
        if bool(item.model) == bool(item.service):
            raise BadRequest(f"{name}: classes.{number} needs either a model or a service")
    return scenario


def read_scenario(path: str) -> LoadScenario:
    """Read a scenario file.

    Raises:
        BadRequest: If it cannot be read or is wrong.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise BadRequest(f"scenario {path!r} cannot be read: {exc}") from exc
    return parse_scenario(text, path)


def check_addresses(text: str, remote: bool = False) -> list[str]:
    """Read a list of node addresses.

    Args:
        text: ``IP:port`` of one or more nodes, separated by commas.
        remote: True to accept addresses other than loopback ones.

    Returns:
        The addresses.

    Raises:
        BadRequest: If one is malformed, or is not a loopback address and ``remote`` is False.
    """
    addresses = [item.strip() for item in str(text).split(",") if item.strip()]
    for address in addresses:
        try:
            TypeAdapter(Address).validate_python(address)
        except ValidationError as exc:
            raise BadRequest(f"address {address!r} is not IP:port") from exc
        host = address.rpartition(":")[0].strip("[]")
        if not remote and not ipaddress.ip_address(host).is_loopback:
            raise BadRequest(f"{address} is not a loopback address; --remote permits it")
    if not addresses:
        raise BadRequest("no node address is given")
    return addresses


@dataclass(slots=True)
class PlannedRequest:
    """One request of the plan; times in seconds since the start."""

    time_s: float
    load: LoadClass
    caller: LoadWorkspace
    body: dict[str, Any]
    node: int
    key: str = ""
    disconnect_after_s: float | None = None


def plan_requests(scenario: LoadScenario) -> list[PlannedRequest]:
    """Compute all requests of a scenario; the same seed gives the same requests.

    Args:
        scenario: The scenario.

    Returns:
        Requests by time, at most ``max_requests``.
    """
    shots: list[PlannedRequest] = []
    for item in scenario.classes:
        rng = random.Random(f"{scenario.seed}:{item.name}")
        shots += _class_shots(scenario, item, rng)
    shots.sort(key=lambda shot: shot.time_s)
    return shots[: scenario.max_requests]


def _class_shots(
    scenario: LoadScenario, item: LoadClass, rng: random.Random
) -> Iterator[PlannedRequest]:
    weights = [caller.share for caller in scenario.workspaces]
    for number, time_s in enumerate(_arrivals(item, scenario.duration_s, rng)):
        caller = rng.choices(scenario.workspaces, weights)[0]
        shot = PlannedRequest(time_s, item, caller, {}, rng.randrange(1 << 16))
        if item.service:
            shot.body = {"number": number, "class": item.name}
            shot.key = f"{scenario.name}-{scenario.seed}-{item.name}-{number}"
        else:
            shot.body = _chat_body(item, caller, rng)
        if rng.random() < item.disconnect:
            shot.disconnect_after_s = rng.uniform(0.05, 0.5)
        yield shot
        if item.service and rng.random() < item.repeat:
            later_s = time_s + rng.choice([0.0, 0.05, 0.5])
            yield PlannedRequest(later_s, item, caller, shot.body, shot.node + 1, shot.key)


def _arrivals(item: LoadClass, duration_s: float, rng: random.Random) -> Iterator[float]:
    """Poisson arrivals; a higher rate than at the peak is thinned out."""
    peak = max([1.0, *(burst.factor for burst in item.bursts)])
    time_s = rng.expovariate(item.rate_s * peak)
    while time_s < duration_s:
        if rng.random() < item.factor(time_s) / peak:
            yield time_s
        time_s += rng.expovariate(item.rate_s * peak)


def _chat_body(item: LoadClass, caller: LoadWorkspace, rng: random.Random) -> dict[str, Any]:
    words = " ".join(
        f"{rng.randrange(1 << 20):05x}" for _ in range(rng.randint(*item.prompt_words))
    )
    messages = [{"role": "user", "content": words}]
    if item.prefix_words:
        prefix = " ".join(f"{caller.name}-{number}" for number in range(item.prefix_words))
        messages.insert(0, {"role": "system", "content": prefix})
    tokens = rng.randint(*item.output_tokens)
    body = {
        "model": item.model,
        "messages": messages,
        "max_tokens": item.output_tokens[1],
        # Length of the answer of a stand-in runner; other runners ignore it.
        "metadata": {"output_tokens": tokens},
    }
    return body | {"stream": True} if item.stream else body


class ClassTotals:
    """Results of one class.

    Args:
        target: Latency targets.
    """

    def __init__(self, target: Target) -> None:
        self.target = target
        self.outcomes: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.met = 0
        self.disconnected = 0
        self.wrong = 0
        self.tokens = 0
        self._times = {
            name: HdrHistogram(*HISTOGRAM)
            for name in ("first_token", "between_tokens", "completion")
        }

    @property
    def requests(self) -> int:
        """Number of requests whose callers did not leave."""
        return self.outcomes.total()

    def add(self, result: CallResult) -> None:
        """Count a result."""
        self.outcomes[result.outcome] += 1
        if result.outcome != OUTCOME_OK:
            self.runs[str(result.run)] += 1
            return
        self.tokens += result.tokens
        self.met += meets_targets(self.target, result)
        for name, histogram in self._times.items():
            seconds = getattr(result, f"{name}_s")
            if seconds is not None:
                histogram.record_value(max(1, int(seconds * 1e6)))

    def to_json(self) -> dict[str, Any]:
        """Return the totals as a JSON object; latencies in milliseconds."""
        requests = self.requests
        return {
            "requests": requests,
            "answered": self.outcomes[OUTCOME_OK],
            "left": self.disconnected,
            "wrong": self.wrong,
            "not_run": self.runs[ExecutionStatus.NOT_RUN],
            "in_progress": self.runs[ExecutionStatus.IN_PROGRESS],
            "unknown": self.runs[ExecutionStatus.UNKNOWN],
            "attainment": round(self.met / requests, 4) if requests else None,
            "tokens": self.tokens,
            "errors": {code: n for code, n in sorted(self.outcomes.items()) if code != OUTCOME_OK},
            **{f"{name}_ms": _percentiles(item) for name, item in self._times.items()},
        }


def meets_targets(target: Target, result: CallResult) -> bool:
    """Return whether an answer met all latency targets."""
    pairs = (
        (target.first_token_s, result.first_token_s),
        (target.between_tokens_s, result.between_tokens_s),
        (target.completion_s, result.completion_s),
    )
    return all(limit is None or seen is None or seen <= limit for limit, seen in pairs)


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    if histogram.get_total_count() == 0:
        return {}
    found = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
    return found | {"max": histogram.get_max_value() / 1000}


class LoadRun:
    """One run of a scenario.

    Args:
        scenario: The scenario.
        nodes: Addresses of nodes; requests are spread over them.
        on_result: Called with every result.
    """

    def __init__(
        self,
        scenario: LoadScenario,
        nodes: Sequence[str],
        on_result: Callable[[PlannedRequest, CallResult], None] | None = None,
    ) -> None:
        self.scenario = scenario
        self.totals = {item.name: ClassTotals(item.target) for item in scenario.classes}
        self.wrong: list[PlannedRequest] = []
        self._nodes = nodes
        self._on_result = on_result
        self._tasks: set[asyncio.Task[None]] = set()
        self._seconds = 0.0

    async def run(self, drain_s: float = DRAIN_S) -> dict[str, Any]:
        """Send all requests and wait for their answers.

        Args:
            drain_s: Longest wait after the last arrival, in seconds.

        Returns:
            The totals as a JSON object.
        """
        loop = asyncio.get_running_loop()
        shots = plan_requests(self.scenario)
        begin = loop.time()
        async with NodeClient() as client:
            for shot in shots:
                await asyncio.sleep(max(0.0, begin + shot.time_s - loop.time()))
                self._send(client, shot)
            if self._tasks:
                _, pending = await asyncio.wait(self._tasks, timeout=drain_s)
                for task in pending:
                    task.cancel()
                await asyncio.gather(*pending, return_exceptions=True)
        self._seconds = loop.time() - begin
        return self.to_json()

    def to_json(self) -> dict[str, Any]:
        """Return the totals as a JSON object."""
        classes = {name: totals.to_json() for name, totals in self.totals.items()}
        sums = {
            name: sum(item[name] for item in classes.values())
            for name in ("requests", "answered", "left", "wrong", "not_run", "unknown", "tokens")
        }
        return {
            "scenario": self.scenario.name,
            "seed": self.scenario.seed,
            "seconds": round(self._seconds, 3),
            **sums,
            "attainment": {name: item["attainment"] for name, item in classes.items()},
            "classes": classes,
        }

    def _send(self, client: NodeClient, shot: PlannedRequest) -> None:
        if len(self._tasks) >= MAX_IN_FLIGHT:
            self._take(shot, CallResult(outcome=OUTCOME_NOT_SENT, run=ExecutionStatus.NOT_RUN))
            return
        task = asyncio.get_running_loop().create_task(self._shoot(client, shot))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _shoot(self, client: NodeClient, shot: PlannedRequest) -> None:
        address = self._nodes[shot.node % len(self._nodes)]
        load, key = shot.load, shot.caller.key
        if load.service:
            request = client.call(address, key, load.service, shot.body, shot.key, load.name)
        else:
            request = client.chat(address, key, shot.body, load.name)
        try:
            result = await asyncio.wait_for(request, shot.disconnect_after_s)
        except TimeoutError:
            self.totals[load.name].disconnected += 1
            return
        except asyncio.CancelledError:
            self._take(shot, CallResult())
            raise
        self._take(shot, result)

    def _take(self, shot: PlannedRequest, result: CallResult) -> None:
        totals = self.totals[shot.load.name]
        totals.add(result)
        if self.scenario.check_answers and not shot.load.service and result.outcome == OUTCOME_OK:
            from .fake_runner import expected_text

            if result.text != expected_text(shot.body):
                totals.wrong += 1
                self.wrong.append(shot)
        if self._on_result is not None:
            self._on_result(shot, result)
