"""Decodes the requests of the platform's clients and the operator's configuration records."""

import random
import re

import xxhash
from loguru import logger

from ..deployment import CurrentConfig, DeploymentConfig
from ..errors import BadResumes, TablesInvalid
from ..follower import KeyedRecord, KeyedSink
from ..httpmessage import Incoming, end_to_end
from ..pathroute import PathRoute
from ..proxygateway import DecodedRequest, ProxyCodec
from ..request import DEFAULT_MAX_TOKENS, HttpRequest, PromptPart, ProxyState, Request
from . import config, names
from .fields import count, decimal

# Memory of a request that is being served, without its text, and of each part of its prompt: an
# object, a text and a number, and what is remembered of them elsewhere.
REQUEST_BYTES = 8 * 1024
PART_BYTES = 200
# Longer ids of parts are replaced by their digests inside the system.
MAX_PART_ID_CHARS = 32
# Visible ASCII characters without commas, which separate the values of a repeated header.
_RESUMED_ATTEMPT = re.compile(rb"[!-+\--~]{1,200}")


class PlatformCodec(ProxyCodec):
    """Decodes requests with the platform's headers.

    Args:
        rng: Source of randomness for the choice among the pools of a route.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()

    def decode(
        self, incoming: Incoming, deployment: DeploymentConfig, arrived: float
    ) -> DecodedRequest:
        """Classify a request."""
        path = incoming.target.partition(b"?")[0].decode("latin-1")
        route = deployment.routes.match(_header_text(incoming, b"host"), path)
        workspace = deployment.workspace(route, _api_key(incoming))
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
        req.proxy = _proxy_state(incoming, route, arrived)
        req.patience_s = req.proxy.deadline - arrived
        req.max_tokens = _output_tokens(incoming)
        return DecodedRequest(req, route)

    def decoded_bytes(self, incoming: Incoming) -> int:
        """Return how much memory a decoded request takes, for the most part for its prompt."""
        parts = (incoming.header(names.PROMPT_PREFIX) or b"").count(b",")
        return REQUEST_BYTES + PART_BYTES * parts

    def request_id(self, incoming: Incoming) -> str:
        """Return the id of the client's attempt."""
        return _header_text(incoming, names.ATTEMPT_ID)

    def retry_header(self, retry_after_s: float) -> tuple[bytes, bytes]:
        """Return ``Retry-After``; on this platform its value may have a fraction of a second."""
        return names.RETRY_AFTER, f"{retry_after_s:.3f}".encode()


class ConfigSink(KeyedSink):
    """Applies the operator's configurations.

    Args:
        current_config: Receives the decoded configurations.
    """

    def __init__(self, current_config: CurrentConfig) -> None:
        self._current_config = current_config

    def replace_all(self, records: list[KeyedRecord]) -> None:
        """Apply the newest configuration."""
        for record in records:
            self.apply_record(record)

    def apply_record(self, record: KeyedRecord) -> None:
        """Apply one record."""
        if record.key != names.CONFIG_KEY or record.value is None:
            return
        try:
            self._current_config.replace_if_newer(config.decode(record.value))
        except TablesInvalid as exc:
            logger.error("configuration cannot be read: {}", exc.message)


def _proxy_state(incoming: Incoming, route: PathRoute, arrived: float) -> ProxyState:
    deadline_ms = _header_number(incoming, names.DEADLINE_MS)
    client_deadline = arrived + (deadline_ms / 1000 if deadline_ms else route.timeout_s)
    headers = end_to_end(incoming.headers, names.ROUTER_HEADERS)
    continuable = route.streaming and route.resumable
    resumes = _resumed_attempt(incoming) if continuable else ""
    last_events = _header_values(incoming, names.LAST_EVENT_ID) if continuable else []
    return ProxyState(
        request=HttpRequest(incoming.method, incoming.target, headers, incoming.detach_body()),
        streaming=route.streaming,
        repeatable=route.repeatable,
        resumable=route.resumable,
        max_attempts=route.max_attempts,
        deadline=min(client_deadline, arrived + route.timeout_s),
        client_deadline=client_deadline,
        route_timeout_s=route.timeout_s,
        parts=_prompt_parts(incoming),
        prompt_tokens=_token_counts(incoming)[0],
        last_event=last_events[0] if len(last_events) == 1 and last_events[0] else None,
        is_take_up=any(last_events),
        resumes=resumes,
        pools=tuple(item.pool for item in route.pools),
    )


def _resumed_attempt(incoming: Incoming) -> str:
    """Return the id of the attempt whose stream a client continues; empty if it names none.

    Raises:
        BadResumes: If the id is malformed or there is more than one.
    """
    values = _header_values(incoming, names.RESUMES)
    if not values:
        return ""
    if len(values) > 1:
        raise BadResumes("more than one header Resumes")
    if not _RESUMED_ATTEMPT.fullmatch(values[0]):
        raise BadResumes("Resumes is not an id of 1 to 200 visible ASCII characters without commas")
    return values[0].decode("ascii")


def _api_key(incoming: Incoming) -> str | None:
    scheme, _, key = _header_text(incoming, names.AUTHORIZATION).strip().partition(" ")
    return key.strip() if scheme.lower() == names.AUTHORIZATION_SCHEME else None


def _prompt_parts(incoming: Incoming) -> tuple[PromptPart, ...]:
    """Decode the parts of the prompt, which are comma-separated ``ID:TOKENS``."""
    parts = []
    for item in _header_text(incoming, names.PROMPT_PREFIX).split(","):
        part_id, _, tokens = item.strip().partition(":")
        length = count(tokens)
        if length is not None:
            parts.append(PromptPart(_short_id(part_id), length))
    return tuple(parts)


def _short_id(part_id: str) -> str:
    """Return an id that is short enough to be remembered and told to other nodes."""
    if len(part_id) <= MAX_PART_ID_CHARS:
        return part_id
    return xxhash.xxh3_128_hexdigest(part_id.encode())


def _token_counts(incoming: Incoming) -> tuple[int, int]:
    """Decode the length of the prompt and the longest output, in tokens; 0 if absent."""
    prompt, _, output = _header_text(incoming, names.TOKEN_COUNT).partition(",")
    return count(prompt) or 0, count(output) or 0


def _output_tokens(incoming: Incoming) -> int:
    """Return the expected output length: the client's estimate, the upper bound or the default."""
    most = _token_counts(incoming)[1]
    hint = count(_header_text(incoming, names.LENGTH_HINT))
    return hint or most or DEFAULT_MAX_TOKENS


def _header_number(incoming: Incoming, name: bytes) -> float:
    return decimal(_header_text(incoming, name)) or 0.0


def _header_values(incoming: Incoming, name: bytes) -> list[bytes]:
    """Return all values of a header, without the white space around them."""
    return [value.strip(b" \t") for key, value in incoming.headers if key == name]


def _header_text(incoming: Incoming, name: bytes) -> str:
    return (incoming.header(name) or b"").decode("latin-1")
