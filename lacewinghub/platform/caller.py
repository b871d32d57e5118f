"""Requests of the platform's callers, decoded into the product's requests."""

import random

from loguru import logger

from ..deployment import CurrentConfig, DeploymentConfig
from ..errors import TablesInvalid
from ..follower import KeyedRecord, KeyedSink
from ..httpmessage import Incoming, end_to_end
from ..pathroute import PathRoute
from ..proxygateway import Decoded, ProxyCodec
from ..request import DEFAULT_MAX_TOKENS, HttpRequest, PromptPart, ProxyState, Request
from . import config, names


class CallerCodec(ProxyCodec):
    """Reads the platform's headers.

    Args:
        rng: Divides requests between the pools of a route.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()

    def decode(self, incoming: Incoming, deployment: DeploymentConfig, arrived: float) -> Decoded:
        """Classify a request."""
        path = incoming.target.partition(b"?")[0].decode("latin-1")
        route = deployment.routes.match(_text(incoming, b"host"), path)
        workspace = deployment.workspace(route, _key(incoming))
        req = Request(
            id=self.request_id(incoming),
            workspace=workspace.name if workspace else "",
            request_class=route.name,
            tier=deployment.tier(route, workspace),
            pool=route.choose_pool(self._rng),
            body={},
            arrived=arrived,
            patience_s=route.timeout_s,
            target=route.target,
        )
        req.proxy = _state(incoming, route, arrived)
        req.patience_s = req.proxy.deadline - arrived
        req.max_tokens = _output_tokens(incoming)
        return Decoded(req, route)

    def request_id(self, incoming: Incoming) -> str:
        """Return the id of the caller's attempt."""
        return _text(incoming, names.ATTEMPT_ID)

    def retry_header(self, retry_after_s: float) -> tuple[bytes, bytes]:
        """Return ``Retry-After``, which may hold fractions of a second here."""
        return names.RETRY_AFTER, f"{retry_after_s:.3f}".encode()


class ConfigSink(KeyedSink):
    """Puts the operator's configurations into force.

    Args:
        deployments: Receives the configurations.
    """

    def __init__(self, deployments: CurrentConfig) -> None:
        self._deployments = deployments

    def replace_all(self, records: list[KeyedRecord]) -> None:
        """Take over the newest configuration."""
        for record in records:
            self.apply_record(record)

    def apply_record(self, record: KeyedRecord) -> None:
        """Take over one record."""
        if record.key != names.CONFIG_KEY or record.value is None:
            return
        try:
            self._deployments.replace_if_newer(config.decode(record.value))
        except TablesInvalid as exc:
            logger.error("configuration cannot be read: {}", exc.message)


def _state(incoming: Incoming, route: PathRoute, arrived: float) -> ProxyState:
    deadline_ms = _number(incoming, names.DEADLINE_MS)
    caller_expires = arrived + (deadline_ms / 1000 if deadline_ms else route.timeout_s)
    headers = end_to_end(incoming.headers, names.ROUTER_HEADERS)
    return ProxyState(
        call=HttpRequest(incoming.method, incoming.target, headers, incoming.take_body()),
        streaming=route.streaming,
        repeatable=route.repeatable,
        resumable=route.resumable,
        max_attempts=route.max_attempts,
        deadline=min(caller_expires, arrived + route.timeout_s),
        caller_expires=caller_expires,
        route_timeout_s=route.timeout_s,
        parts=_parts(incoming),
        prompt_tokens=int(_counts(incoming)[0]),
    )


def _key(incoming: Incoming) -> str | None:
    scheme, _, key = _text(incoming, names.AUTHORIZATION).strip().partition(" ")
    return key.strip() if scheme.lower() == names.AUTHORIZATION_SCHEME else None


def _parts(incoming: Incoming) -> tuple[PromptPart, ...]:
    """Decode the prompt's parts: comma-separated ``ID:TOKENS``."""
    parts = []
    for item in _text(incoming, names.PROMPT_PREFIX).split(","):
        part_id, _, tokens = item.strip().partition(":")
        if tokens.isdigit():
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _counts(incoming: Incoming) -> tuple[float, float]:
    """Decode the lengths of prompt and longest output, in tokens; 0 if absent."""
    prompt, _, output = _text(incoming, names.TOKEN_COUNT).partition(",")
    return float(prompt) if prompt.isdigit() else 0.0, float(output) if output.isdigit() else 0.0


def _output_tokens(incoming: Incoming) -> int:
    """Return the expected length of the output: the caller's estimate, or the upper bound."""
    most = _counts(incoming)[1]
    hint = _number(incoming, names.LENGTH_HINT)
    return int(hint or most or DEFAULT_MAX_TOKENS)


def _number(incoming: Incoming, name: bytes) -> float:
    text = _text(incoming, name)
    try:
        return max(0.0, float(text)) if text else 0.0
    except ValueError:
        return 0.0


def _text(incoming: Incoming, name: bytes) -> str:
    return (incoming.header(name) or b"").decode("latin-1")
