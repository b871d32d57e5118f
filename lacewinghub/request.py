"""Requests, slot grants and attempt results, and the classification of request bodies."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .errors import (
    BadJson,
    BadRequest,
    KeyMissing,
    OriginNotRecorded,
    UnknownModel,
    UnknownPool,
)
from .tables import Pool, Route, Tables, Target, Workspace

BLOCK_WORDS = 64
# 65,536 words; only this part of a longer prompt is matched with cached prefixes.
MAX_BLOCKS = 1024
MAX_KEY_CHARS = 255
DEFAULT_CLASS = "default"
# Memory of a JSON value with its place in its container, of a member of an object beside its value,
# and of a character.
VALUE_BYTES = 48
MEMBER_BYTES = 120
MAX_CHAR_BYTES = 4
DEFAULT_MAX_TOKENS = 1024


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request that is passed on unchanged.

    Attributes:
        method: Method.
        target: Path and query.
        headers: Headers to pass on, names in lower case.
        body: The body.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes | bytearray


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share; parts are listed in prompt order."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RunCopy:
    """State of a run that was stopped so that another endpoint can continue it.

    Attributes:
        source: Address of the endpoint that stopped the run.
        handle: Id of the state at that endpoint; it can be used once.
    """

    source: str
    handle: str


@dataclass(slots=True)
class ProxyState:
    """State of a request that is passed on unchanged.

    Attributes:
        request: The request as the client sent it, without hop-by-hop headers.
        streaming: True if the response is a stream of events.
        repeatable: True if the request may be executed more than once.
        resumable: True if another runner may continue the stream after the last event.
        max_attempts: Largest number of endpoints to which it may be sent.
        deadline: Loop time until which the client must have a final response, in seconds:
            ``client_deadline``, or the end of the route's timeout if that is earlier.
        client_deadline: Loop time until which the client waits, in seconds.
        route_timeout_s: Timeout of the route, in seconds.
        parts: Parts of the prompt.
        prompt_tokens: Length of the prompt in tokens.
        sent: Number of endpoints to which it was sent.
        refused: Number of those that refused to go on with its stream.
        may_have_run: True unless every endpoint to which it was sent stated that it did not execute
            it.
        last_event: Id of the last event that was passed on, or None.
        unnumbered: True if a part of the body was passed on after that event, which no id states;
            known only for streams whose run may be moved.
        answering_since: Loop time of the first bytes of the body at the current endpoint, in
            seconds; None before them.
        abort: Closes the connection to the current endpoint; None without one.
        withdrawn: True once the current attempt was aborted because the request is refused.
        continued: State of its run with which the current endpoint continues it; None for a run
            that an endpoint begins.
        is_take_up: True if the client continues a stream of an earlier attempt.
        resumes: Id of the attempt that brought the first event of that stream; empty if the client
            does not say.
        origin: Software version at which the stream began; None before its first event.
        promised: Software version under which the stream was last recorded before its first event;
            None if it is not recorded. It may still begin at another one, which is recorded first.
        unrecorded: Why the stream may begin at no other version than ``promised``; None if it may.
        pools: Names of the pools among which the requests of the route are split.
    """

    request: HttpRequest
    streaming: bool = False
    repeatable: bool = False
    resumable: bool = False
    max_attempts: int = 1
    deadline: float = float("inf")
    client_deadline: float = float("inf")
    route_timeout_s: float = float("inf")
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    sent: int = 0
    refused: int = 0
    may_have_run: bool = False
    last_event: bytes | None = None
    unnumbered: bool = False
    answering_since: float | None = None
    abort: Callable[[], None] | None = None
    withdrawn: bool = False
    continued: RunCopy | None = None
    is_take_up: bool = False
    resumes: str = ""
    origin: str | None = None
    promised: str | None = None
    unrecorded: OriginNotRecorded | None = None
    pools: tuple[str, ...] = ()

    @property
    def runs(self) -> int:
        """Number of endpoints that count towards ``max_attempts``."""
        return self.sent - self.refused

    @property
    def required_version(self) -> str | None:
        """Only software version at which the stream may begin or go on, or None."""
        if self.origin is None and self.unrecorded is not None:
            return self.promised
        return self.origin

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts of the prompt that other requests may have; the last one is the request's own."""
        return self.parts[:-1]


@dataclass(slots=True, eq=False)
class Request:
    """One classified request.

    Attributes:
        id: Unique identifier, also sent to the endpoint.
        workspace: Name of the client's workspace.
        request_class: Class name, such as ``field-question``.
        tier: Priority; 1 is the highest.
        pool: Name of the pool that serves it.
        body: Decoded JSON body as the client sent it.
        arrived: Loop time of arrival, in seconds.
        patience_s: Longest useful wait in the queue, in seconds.
        target: Latency targets of the route.
        key: Idempotency key, or None for a repeatable request.
        fingerprint: Hash of workspace, model and body.
        prefix: Hashes of the prompt prefix, one per block, longest last.
        max_tokens: Expected or largest length of the output, in tokens.
        weight: Fair-share weight of the workspace.
        excluded_endpoints: Names of endpoints that already failed this request.
        sent_tokens: Number of tokens already received, which is the offset of a resume.
        failovers: Number of stalled endpoints from which the request failed over.
        forwarded: True if another node received the request and forwarded it to this one.
        proxy: State of a request that is passed on unchanged, otherwise None.
    """

    id: str
    workspace: str
    request_class: str
    tier: int
    pool: str
    body: dict[str, Any]
    arrived: float
    patience_s: float
    target: Target
    key: str | None = None
    fingerprint: int = 0
    prefix: tuple[int, ...] = ()
    max_tokens: int = 1024
    weight: float = 1.0
    excluded_endpoints: set[str] = field(default_factory=set)
    sent_tokens: int = 0
    failovers: int = 0
    forwarded: bool = False
    proxy: ProxyState | None = None


@dataclass(frozen=True, slots=True)
class Grant:
    """The right to use one slot of one endpoint.

    Attributes:
        id: Number that is unique within the node that holds the grant.
        pool: Name of the pool.
        endpoint: Name of the endpoint.
        brokered: False if the node uses the slot without a grant of the broker.
    """

    id: int
    pool: str
    endpoint: str
    brokered: bool = True


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result and measurements of one attempt.

    Attributes:
        ok: True if the endpoint completed the request.
        first_token_s: Time to the first token in seconds, or None.
        between_tokens_s: Mean time between tokens in seconds, or None.
        tokens: Number of tokens received.
        crashed: True if the connection to the endpoint broke.
        ended: True if it broke because the endpoint closed or reset it.
    """

    ok: bool
    first_token_s: float | None = None
    between_tokens_s: float | None = None
    tokens: int = 0
    crashed: bool = False
    ended: bool = False


class _Message(BaseModel):
    model_config = ConfigDict(extra="allow")

    role: str
    content: str | list[dict[str, Any]] | None = None


class _ChatBody(BaseModel):
    """The members of a chat completion that the router reads; others are passed on unchanged."""

    model_config = ConfigDict(extra="allow", strict=True)

    model: str
    messages: list[_Message] = Field(min_length=1)
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1)
    max_completion_tokens: int | None = Field(default=None, ge=1)
    n: int | None = Field(default=None, ge=1, le=1)
    stream_options: dict[str, Any] | None = None


def proxy_state(req: Request) -> ProxyState:
    """Return the state of a request of the HTTP proxy, which always has one."""
    assert req.proxy is not None
    return req.proxy


def decoded_bytes(data: bytes | bytearray) -> int:
    """Return an upper estimate of the memory that a decoded JSON body takes.

    Args:
        data: The body as received.

    Returns:
        Number of bytes, with the copy that is sent to an endpoint.
    """
    values = sum(map(data.count, (b",", b"[", b"{")))
    objects = VALUE_BYTES * values + MEMBER_BYTES * data.count(b":")
    # One character outside ASCII makes all characters of its text wider.
    is_narrow = data.isascii() and b"\\u" not in data
    return len(data) * (2 if is_narrow else 1 + MAX_CHAR_BYTES) + objects


def decode_body(data: bytes | bytearray) -> dict[str, Any]:
    """Decode a JSON body.

    Args:
        data: The body as received.

    Returns:
        The JSON object.

    Raises:
        BadJson: If it is not a JSON object.
    """
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise BadJson(f"the body is not JSON: {exc}") from exc
    if not isinstance(body, dict):
        raise BadJson(f"the body is a JSON {type(body).__name__}, not an object")
    return body


def fingerprint(workspace: str, model: str, body: dict[str, Any]) -> int:
    """Hash a request independently of spacing and member order.

    Args:
        workspace: Name of the workspace.
        model: Name of the model, or of the pool for a plain call.
        body: Decoded JSON body.

    Returns:
        A number of 64 bits.
    """
    text = json.dumps([workspace, model, body], sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_64_intdigest(text.encode())


def prefix_hashes(model: str, messages: list[dict[str, Any]]) -> tuple[int, ...]:
    """Hash the prompt in blocks of 64 words; each hash covers the prompt up to its block's end.

    Args:
        model: Name of the model.
        messages: Messages of a chat completion.

    Returns:
        One number of 64 bits per full block, at most ``MAX_BLOCKS``.
    """
    words: list[str] = []
    for message in messages:
        words.extend(_content_text(message.get("content")).split())
        if len(words) >= BLOCK_WORDS * MAX_BLOCKS:
            break
    hashes = []
    last = xxhash.xxh3_64_intdigest(model.encode("utf-8", "surrogatepass"))
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS)[:MAX_BLOCKS]:
        block = " ".join(words[end - BLOCK_WORDS : end])
        last = xxhash.xxh3_64_intdigest(f"{last}|{block}".encode("utf-8", "surrogatepass"))
        hashes.append(last)
    return tuple(hashes)


def prompt_words(messages: list[dict[str, Any]]) -> int:
    """Count the words of a prompt."""
    return sum(len(_content_text(message.get("content")).split()) for message in messages)


def classify_chat(
    tables: Tables,
    workspace: Workspace,
    request_class: str | None,
    body: dict[str, Any],
    *,
    request_id: str,
    arrived: float,
) -> Request:
    """Check a chat completion and find its route.

    Args:
        tables: The current tables.
        workspace: Workspace of the client.
        request_class: Class that the client requested, or None.
        body: Decoded JSON body.
        request_id: Unique identifier.
        arrived: Loop time of arrival, in seconds.

    Returns:
        The request.

    Raises:
        BadRequest: If a member of the body has a wrong type or value.
        UnknownModel: If no route to a pool of runners serves the model.
    """
    try:
        chat = _ChatBody.model_validate(body)
    except ValidationError as exc:
        first = exc.errors(include_url=False, include_input=False)[0]
        place = ".".join(str(part) for part in first["loc"])
        raise BadRequest(f"{place}: {first['msg']}", place=place) from exc
    name = request_class or DEFAULT_CLASS
    route = tables.route(workspace.name, name, chat.model)
    if tables.pool(route.pool).kind != "model":
        raise UnknownModel(f"{chat.model!r} is a service, not a model")
    req = _request(route, workspace, name, body, request_id, arrived)
    req.fingerprint = fingerprint(workspace.name, chat.model, body)
    req.prefix = prefix_hashes(chat.model, body["messages"])
    req.max_tokens = chat.max_completion_tokens or chat.max_tokens or DEFAULT_MAX_TOKENS
    return req


def classify_call(
    tables: Tables,
    workspace: Workspace,
    request_class: str | None,
    name: str,
    key: str | None,
    body: dict[str, Any],
    *,
    request_id: str,
    arrived: float,
) -> Request:
    """Check a plain call and find its route.

    Args:
        tables: The current tables.
        workspace: Workspace of the client.
        request_class: Class that the client requested, or None.
        name: Name of the pool in the path.
        key: Idempotency key, or None.
        body: Decoded JSON body.
        request_id: Unique identifier.
        arrived: Loop time of arrival, in seconds.

    Returns:
        The request.

    Raises:
        BadRequest: If the key is malformed.
        KeyMissing: If the service is not repeatable and there is no key.
        UnknownPool: If no route to a service has this name.
    """
    class_name = request_class or DEFAULT_CLASS
    route, pool = _service_route(tables, workspace.name, class_name, name)
    if key is not None and not (0 < len(key) <= MAX_KEY_CHARS and key.isprintable()):
        raise BadRequest(f"Idempotency-Key must have 1 to {MAX_KEY_CHARS} printable characters")
    if key is None and not pool.repeatable:
        raise KeyMissing(f"service {pool.name!r} requires the header Idempotency-Key")
    req = _request(route, workspace, class_name, body, request_id, arrived)
    req.key = key
    req.fingerprint = fingerprint(workspace.name, name, body)
    return req


def _service_route(
    tables: Tables, workspace: str, request_class: str, name: str
) -> tuple[Route, Pool]:
    try:
        route = tables.route(workspace, request_class, name)
    except UnknownModel as exc:
        raise UnknownPool(f"no route serves {name!r} in class {request_class!r}") from exc
    pool = tables.pool(route.pool)
    if pool.kind != "service":
        raise UnknownPool(f"{name!r} is served by runners, not by a service")
    return route, pool


def _request(
    route: Route,
    workspace: Workspace,
    request_class: str,
    body: dict[str, Any],
    request_id: str,
    arrived: float,
) -> Request:
    return Request(
        id=request_id,
        workspace=workspace.name,
        request_class=request_class,
        tier=workspace.tier or route.tier,
        pool=route.pool,
        body=body,
        arrived=arrived,
        patience_s=route.patience_s,
        target=route.target,
        weight=workspace.weight,
    )


def _content_text(content: Any) -> str:
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return " ".join(str(part.get("text", "")) for part in content if isinstance(part, dict))
    return ""
