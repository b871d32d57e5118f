"""Entries of the published tables, validated with pydantic when they are parsed."""

import ipaddress
from dataclasses import dataclass, field
from typing import Annotated, ClassVar, Literal

from pydantic import AfterValidator, ConfigDict, Field

ANY = "*"
MAX_TIER = 8
MAX_PARTITIONS = 1024

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
NameOrAny = Annotated[str, Field(pattern=r"^(\*|[A-Za-z0-9][A-Za-z0-9._-]{0,63})$")]
Sha256 = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 < int(port) < 65536:
        raise ValueError("port must be from 1 to 65535")
    return value


Address = Annotated[str, AfterValidator(_check_address)]


@dataclass(frozen=True, slots=True)
class Target:
    """Latency targets of a class, in seconds; None means no target."""

    __pydantic_config__: ClassVar = ConfigDict(extra="forbid")

    first_token_s: Annotated[float, Field(gt=0)] | None = None
    between_tokens_s: Annotated[float, Field(gt=0)] | None = None
    completion_s: Annotated[float, Field(gt=0)] | None = None


@dataclass(frozen=True, slots=True)
class Route:
    """Routes requests of a workspace, class and model to a pool with a tier.

    ``*`` matches everything. The most specific route wins: a match of the workspace takes
    precedence over one of the class, and the class over the model.
    """

    __pydantic_config__: ClassVar = ConfigDict(extra="forbid")

    name: Name
    pool: Name
    tier: Annotated[int, Field(ge=1, le=MAX_TIER)]
    workspace: NameOrAny = ANY
    request_class: NameOrAny = ANY
    model: NameOrAny = ANY
    patience_s: Annotated[float, Field(gt=0, le=3600)] = 30.0
    target: Target = Target()


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint of a pool: a runner or an instance of a plain service.

    ``version`` is that of its software; a stream goes on only at endpoints of the version at which
    it began.
    """

    __pydantic_config__: ClassVar = ConfigDict(extra="forbid")

    name: Name
    address: Address
    availability_zone: Name
    slots: Annotated[int, Field(ge=1, le=4096)] = 8
    cache_blocks: Annotated[int, Field(ge=0)] = 4096
    version: Annotated[str, Field(max_length=200)] = ""


@dataclass(frozen=True, slots=True)
class Pool:
    """A named set of endpoints that serve the same requests.

    ``kind`` is ``model`` for runners and ``service`` for plain services. Calls to a service that is
    not ``repeatable`` need an idempotency key and run at most once.
    """

    __pydantic_config__: ClassVar = ConfigDict(extra="forbid")

    name: Name
    endpoints: list[Endpoint]
    kind: Literal["model", "service"] = "model"
    repeatable: bool = True
    queue_limit: Annotated[int, Field(ge=1)] = 256

    def endpoint(self, name: str) -> Endpoint | None:
        """Return the endpoint with this name, or None."""
        return next((item for item in self.endpoints if item.name == name), None)


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace, the SHA-256 digests of its keys in hex, and its fair-share weight.

    If ``tier`` is set, it overrides the tier of the routes for all requests of the workspace.
    """

    __pydantic_config__: ClassVar = ConfigDict(extra="forbid")

    name: Name
    keys: list[Sha256] = field(default_factory=list)
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    tier: Annotated[int, Field(ge=1, le=MAX_TIER)] | None = None


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Number of claim partitions; only the change that creates version 1 can set it."""

    __pydantic_config__: ClassVar = ConfigDict(extra="forbid")

    partitions: Annotated[int, Field(ge=1, le=MAX_PARTITIONS)] = 1
