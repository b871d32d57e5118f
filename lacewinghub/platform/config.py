"""Decodes the operator's configuration into a deployment."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..deployment import DeploymentConfig
from ..directory import PoolSpec
from ..errors import TablesInvalid
from ..httpserver import HttpLimits
from ..keys import key_digest
from ..pathroute import PathRoute, PathRoutes, WeightedPool
from ..tables import MAX_TIER, Target, Workspace

_IGNORE_EXTRA = ConfigDict(extra="ignore", frozen=True)


class _Weight(BaseModel):
    model_config = _IGNORE_EXTRA

    service: str
    weight: float = 1.0


class _Route(BaseModel):
    model_config = _IGNORE_EXTRA

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = Field(gt=0)
    target_latency_ms: float | None = None
    # Priority of its requests; 0 is the highest.
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Weight] = []
    max_attempts: int = Field(default=1, ge=1)
    public: bool = False
    resumable: bool = False
    # Latency target for the time between two events.
    gap_aim_ms: float | None = None


class _Service(BaseModel):
    model_config = _IGNORE_EXTRA

    name: str
    # Present for services whose runners are model engines.
    engine: dict[str, object] | None = None


class _Limits(BaseModel):
    model_config = _IGNORE_EXTRA

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(BaseModel):
    model_config = _IGNORE_EXTRA

    name: str
    api_keys: list[str] = []
    # Takes precedence over the priority of the routes; see ``DeploymentConfig.tier``.
    priority: int | None = None


class _Config(BaseModel):
    model_config = _IGNORE_EXTRA

    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []


def decode(data: bytes) -> DeploymentConfig:
    """Decode a configuration.

    Args:
        data: JSON as the operator wrote it.

    Raises:
        TablesInvalid: If the configuration is malformed.
    """
    try:
        config = _Config.model_validate_json(data)
    except ValidationError as exc:
        first = exc.errors(include_url=False, include_input=False)[0]
        place = ".".join(str(part) for part in first["loc"])
        raise TablesInvalid(f"{place}: {first['msg']}", place=place) from exc
    return DeploymentConfig(
        version=config.version,
        routes=PathRoutes([_route(item) for item in config.routes]),
        pools=tuple(PoolSpec(item.name, _kind(item)) for item in config.services),
        workspaces={
            key_digest(key): Workspace(item.name, tier=_tier(item.priority))
            for item in config.tenants
            for key in item.api_keys
        },
        limits=HttpLimits(
            config.limits.max_header_bytes,
            config.limits.max_body_bytes,
            config.limits.header_timeout_ms / 1000,
            config.limits.idle_timeout_ms / 1000,
        ),
        keyed=bool(config.tenants),
    )


def _route(item: _Route) -> PathRoute:
    pools = tuple(WeightedPool(part.service, part.weight) for part in item.traffic_split)
    if not pools and item.service is not None:
        pools = (WeightedPool(item.service),)
    streaming = item.kind == "streaming"
    return PathRoute(
        name=item.name,
        host=item.host.lower(),
        prefix=item.path_prefix,
        pools=pools,
        tier=_tier(item.priority) or MAX_TIER,
        timeout_s=item.timeout_ms / 1000,
        target=_target(item, streaming),
        max_attempts=item.max_attempts,
        public=item.public,
        streaming=streaming,
        repeatable=item.kind == "idempotent" or (streaming and item.resumable),
        resumable=streaming and item.resumable,
    )


def _target(item: _Route, streaming: bool) -> Target:
    if item.target_latency_ms is None:
        return Target()
    if not streaming:
        return Target(completion_s=item.target_latency_ms / 1000)
    pause_s = item.gap_aim_ms / 1000 if item.gap_aim_ms else None
    return Target(item.target_latency_ms / 1000, pause_s)


def _kind(item: _Service) -> Literal["model", "service"]:
    return "service" if item.engine is None else "model"


def _tier(priority: int | None) -> int | None:
    return None if priority is None else min(MAX_TIER, max(0, priority) + 1)
