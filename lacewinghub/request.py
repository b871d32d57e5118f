"""A request on its way through a node."""

from dataclasses import dataclass, field
from typing import Any

from .tables import Target


@dataclass(slots=True, eq=False)
class Request:
    """One classified request.

    Attributes:
        id: Unique identifier, also sent to the endpoint.
        workspace: Name of the caller's workspace.
        request_class: Class name, such as ``field-question``.
        tier: Priority; 1 is the highest.
        pool: Name of the pool that serves it.
        body: Decoded JSON body as the caller sent it.
        arrived: Loop time of arrival, in seconds.
        patience_s: Longest useful wait in the queue, in seconds.
        target: Latency targets of the route.
        key: Idempotency key, or None for a repeatable request.
        fingerprint: Hash of workspace, model and body.
        prefix: Hashes of the prompt prefix, one per block, longest last.
        max_tokens: Upper bound of the output, in tokens.
        weight: Fair-share weight of the workspace.
        avoid: Names of endpoints that already failed this request.
        sent_tokens: Tokens already received, for a resume.
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
    avoid: set[str] = field(default_factory=set)
    sent_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """The right to use one slot of one endpoint.

    Attributes:
        id: Unique within the node that holds it.
        pool: Name of the pool.
        endpoint: Name of the endpoint.
        brokered: False if the node took the slot without a broker.
    """

    id: int
    pool: str
    endpoint: str
    brokered: bool = True


@dataclass(frozen=True, slots=True)
class Observation:
    """What was measured while a grant was in use.

    Attributes:
        ok: True if the endpoint served the request to its end.
        first_token_s: Time to the first token in seconds, or None.
        between_tokens_s: Mean time between tokens in seconds, or None.
        tokens: Number of tokens received.
        crashed: True if the connection to the endpoint broke.
    """

    ok: bool
    first_token_s: float | None = None
    between_tokens_s: float | None = None
    tokens: int = 0
    crashed: bool = False
