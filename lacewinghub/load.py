"""Load generator: open-loop traffic of several classes from a scenario file.

Arrivals follow a Poisson process that does not depend on the answers, so that a slow node does not
reduce its own load. The duration and the number of requests of a run are bounded.
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
# Latencies from one microsecond to one hour with three significant digits.
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
    """A period in which the arrival rate of a class is multiplied by ``factor``."""

    __pydantic_config__ = ConfigDict(extra="forbid")

    at_s: Annotated[float, Field(ge=0)]
    length_s: Annotated[float, Field(gt=0)]
    factor: Annotated[float, Field(ge=0, le=1000)]


@dataclass(slots=True)
class LoadClass:
    """Traffic of one class.

    Attributes:
        name: Name of the class.
        rate_s: Mean arrivals per second.
        model: Model for chat completions; empty for calls of a service.
        service: Pool for calls of a service; empty for chat completions.
        prompt_words: Minimum and maximum number of random words in a prompt.
        prefix_words: Length of the prefix that all prompts of a workspace share, in words.
        output_tokens: Minimum and maximum length of an answer.
        stream: True to request streamed answers.
        repeat: Share of service calls that are sent again with the same idempotency key, to
            another node.
        disconnect: Share of requests whose client may disconnect before the answer is complete.
        target: Latency targets from which the attainment is computed.
        bursts: Periods with a different arrival rate.
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
        """Return the factor of the arrival rate at a time in seconds since the start."""
        active = [item for item in self.bursts if item.at_s <= time_s < item.at_s + item.length_s]
        return active[0].factor if active else 1.0


@dataclass(slots=True)
class LoadWorkspace:
    """A workspace that sends requests; ``share`` is its relative share of the traffic."""

    __pydantic_config__ = ConfigDict(extra="forbid")

    name: Name
    key: str
    share: Annotated[float, Field(gt=0)] = 1.0


@dataclass(slots=True)
class LoadScenario:
    """A scenario file: the traffic of one run.

    Attributes:
        name: Name of the scenario.
        duration_s: Time during which requests arrive, in seconds.
        classes: Traffic by class.
        workspaces: Workspaces that send the requests.
        seed: Random seed for arrivals and bodies.
        max_requests: Maximum number of requests.
        check_answers: True to compare every answer with the text that a fake runner generates;
            only for runs against fake runners.
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
    """Parse a scenario.

    Args:
        text: JSON with comments.
        name: Name of the file, for errors.

    Returns:
        The scenario.

    Raises:
        BadRequest: If it is invalid; the message gives the place.
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
        BadRequest: If it cannot be read or is invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise BadRequest(f"scenario {path!r} cannot be read: {exc}") from exc
    return parse_scenario(text, path)


def check_addresses(text: str, remote: bool = False) -> list[str]:
    """Parse a list of node addresses.

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
            raise BadRequest(f"{address} is not a loopback address; use --remote to allow it")
    if not addresses:
        raise BadRequest("no node address is given")
    return addresses


@dataclass(slots=True)
class PlannedRequest:
    """A planned request.

    Attributes:
        time_s: When it is sent, in seconds since the start.
        load: Class of the request.
        workspace: Workspace that sends it.
        body: Request body.
        node: Number that selects the node, modulo the number of nodes.
        key: Idempotency key, or empty.
        disconnect_after_s: Time after sending at which the client disconnects, in seconds; None if
            it waits for the answer.
    """

    time_s: float
    load: LoadClass
    workspace: LoadWorkspace
    body: dict[str, Any]
    node: int
    key: str = ""
    disconnect_after_s: float | None = None


def plan_requests(scenario: LoadScenario) -> list[PlannedRequest]:
    """Generate all requests of a scenario; the same seed gives the same requests.

    Args:
        scenario: The scenario.

    Returns:
        Requests ordered by time, at most ``max_requests``.
    """
    requests: list[PlannedRequest] = []
    for item in scenario.classes:
        rng = random.Random(f"{scenario.seed}:{item.name}")
        requests += _class_requests(scenario, item, rng)
    requests.sort(key=lambda request: request.time_s)
    return requests[: scenario.max_requests]


def _class_requests(
    scenario: LoadScenario, load_class: LoadClass, rng: random.Random
) -> Iterator[PlannedRequest]:
    weights = [workspace.share for workspace in scenario.workspaces]
    for number, time_s in enumerate(_arrivals(load_class, scenario.duration_s, rng)):
        workspace = rng.choices(scenario.workspaces, weights)[0]
        request = PlannedRequest(time_s, load_class, workspace, {}, rng.randrange(1 << 16))
        if load_class.service:
            request.body = {"number": number, "class": load_class.name}
            request.key = f"{scenario.name}-{scenario.seed}-{load_class.name}-{number}"
        else:
            request.body = _chat_body(load_class, workspace, rng)
        if rng.random() < load_class.disconnect:
            request.disconnect_after_s = rng.uniform(0.05, 0.5)
        yield request
        if load_class.service and rng.random() < load_class.repeat:
            later_s = time_s + rng.choice([0.0, 0.05, 0.5])
            yield PlannedRequest(
                later_s, load_class, workspace, request.body, request.node + 1, request.key
            )


def _arrivals(load_class: LoadClass, duration_s: float, rng: random.Random) -> Iterator[float]:
    """Generate Poisson arrivals at the peak rate, thinned to the rate at each time."""
    peak = max([1.0, *(burst.factor for burst in load_class.bursts)])
    time_s = rng.expovariate(load_class.rate_s * peak)
    while time_s < duration_s:
        if rng.random() < load_class.factor(time_s) / peak:
            yield time_s
        time_s += rng.expovariate(load_class.rate_s * peak)


def _chat_body(
    load_class: LoadClass, workspace: LoadWorkspace, rng: random.Random
) -> dict[str, Any]:
    words = " ".join(
        f"{rng.randrange(1 << 20):05x}" for _ in range(rng.randint(*load_class.prompt_words))
    )
    messages = [{"role": "user", "content": words}]
    if load_class.prefix_words:
        prefix = " ".join(f"{workspace.name}-{number}" for number in range(load_class.prefix_words))
        messages.insert(0, {"role": "system", "content": prefix})
    tokens = rng.randint(*load_class.output_tokens)
    body = {
        "model": load_class.model,
        "messages": messages,
        "max_tokens": load_class.output_tokens[1],
        # Length of the answer of a fake runner; other runners ignore it.
        "metadata": {"output_tokens": tokens},
    }
    return body | {"stream": True} if load_class.stream else body


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
        self._histograms = {
            name: HdrHistogram(*HISTOGRAM)
            for name in ("first_token", "between_tokens", "completion")
        }

    @property
    def requests(self) -> int:
        """Number of requests whose client did not disconnect."""
        return self.outcomes.total()

    def add(self, result: CallResult) -> None:
        """Add a result."""
        self.outcomes[result.outcome] += 1
        if result.outcome != OUTCOME_OK:
            self.runs[str(result.run)] += 1
            return
        self.tokens += result.tokens
        self.met += meets_targets(self.target, result)
        for name, histogram in self._histograms.items():
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
            **{f"{name}_ms": _percentiles(item) for name, item in self._histograms.items()},
        }


def meets_targets(target: Target, result: CallResult) -> bool:
    """Return whether an answer met all latency targets."""
    pairs = (
        (target.first_token_s, result.first_token_s),
        (target.between_tokens_s, result.between_tokens_s),
        (target.completion_s, result.completion_s),
    )
    return all(limit is None or measured is None or measured <= limit for limit, measured in pairs)


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    if histogram.get_total_count() == 0:
        return {}
    values = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
    return values | {"max": histogram.get_max_value() / 1000}


class LoadRun:
    """One run of a scenario.

    Args:
        scenario: The scenario.
        nodes: Addresses of nodes; requests are spread over them.
        on_result: Called with each request and its result.
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
            drain_s: Longest time to wait for answers after the last request, in seconds.

        Returns:
            The totals as a JSON object.
        """
        loop = asyncio.get_running_loop()
        requests = plan_requests(self.scenario)
        started = loop.time()
        async with NodeClient() as client:
            for request in requests:
                await asyncio.sleep(max(0.0, started + request.time_s - loop.time()))
                self._send(client, request)
            if self._tasks:
                _, pending = await asyncio.wait(self._tasks, timeout=drain_s)
                for task in pending:
                    task.cancel()
                await asyncio.gather(*pending, return_exceptions=True)
        self._seconds = loop.time() - started
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

    def _send(self, client: NodeClient, planned: PlannedRequest) -> None:
        if len(self._tasks) >= MAX_IN_FLIGHT:
            self._record_result(
                planned, CallResult(outcome=OUTCOME_NOT_SENT, run=ExecutionStatus.NOT_RUN)
            )
            return
        task = asyncio.get_running_loop().create_task(self._run_request(client, planned))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_request(self, client: NodeClient, planned: PlannedRequest) -> None:
        address = self._nodes[planned.node % len(self._nodes)]
        load, key = planned.load, planned.workspace.key
        if load.service:
            request = client.call(address, key, load.service, planned.body, planned.key, load.name)
        else:
            request = client.chat(address, key, planned.body, load.name)
        try:
            result = await asyncio.wait_for(request, planned.disconnect_after_s)
        except TimeoutError:
            self.totals[load.name].disconnected += 1
            return
        except asyncio.CancelledError:
            self._record_result(planned, CallResult())
            raise
        self._record_result(planned, result)

    def _record_result(self, planned: PlannedRequest, result: CallResult) -> None:
        totals = self.totals[planned.load.name]
        totals.add(result)
        if (
            self.scenario.check_answers
            and not planned.load.service
            and result.outcome == OUTCOME_OK
        ):
            from .fake_runner import expected_text

            if result.text != expected_text(planned.body):
                totals.wrong += 1
                self.wrong.append(planned)
        if self._on_result is not None:
            self._on_result(planned, result)
