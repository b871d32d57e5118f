"""Decodes the operator's configuration into a deployment."""

import math
from typing import Annotated, Any, Literal, Self, TypeVar

from loguru import logger
from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from .._validation import tables_invalid
from ..deployment import DeploymentConfig
from ..directory import PoolSpec
from ..errors import TablesInvalid
from ..httpserver import HttpLimits
from ..keys import key_digest
from ..pathroute import PathRoute, PathRoutes, WeightedPool
from ..scaling import EngineSpec, ScalingRule
from ..tables import MAX_TIER, Target, Workspace

_IGNORE_EXTRA = ConfigDict(extra="ignore", frozen=True)


def _truncate(value: Any) -> Any:
    return int(value) if isinstance(value, float) and math.isfinite(value) else value


# The platform may state an integer as a fraction where it scales a deployment.
_Whole = Annotated[int, BeforeValidator(_truncate)]
_Finite = Annotated[float, Field(allow_inf_nan=False)]


class _Weight(BaseModel):
    model_config = _IGNORE_EXTRA

    service: str
    weight: Annotated[_Finite, Field(ge=0)] = 1.0


class _Route(BaseModel):
    model_config = _IGNORE_EXTRA

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: Annotated[_Finite, Field(gt=0)]
    target_latency_ms: _Finite | None = None
    # Priority of its requests; 0 is the highest.
    priority: _Whole = 0
    service: str | None = None
    traffic_split: list[_Weight] = []
    max_attempts: _Whole = 1
    public: bool = False
    resumable: bool = False
    # Latency target for the time between two events.
    gap_aim_ms: _Finite | None = None

    @model_validator(mode="after")
    def _check_services(self) -> Self:
        if self.service is None and not any(item.weight > 0 for item in self.traffic_split):
            raise ValueError("no service")
        return self


class _Engine(BaseModel):
    model_config = _IGNORE_EXTRA

    kv_capacity_tokens: Annotated[_Whole, Field(ge=0)] = 0
    moves: bool = False
    handle_s: Annotated[_Finite, Field(gt=0)] = 5.0


class _Scaling(BaseModel):
    model_config = _IGNORE_EXTRA

    min: Annotated[_Whole, Field(ge=0)] = 0
    max: Annotated[_Whole, Field(ge=0)]
    boot_s: Annotated[_Finite, Field(ge=0)] = 0.0
    spot_price: Annotated[_Finite, Field(ge=0)] = 1.0
    zone_prices: dict[str, Annotated[_Finite, Field(ge=0)]] = {}


class _Service(BaseModel):
    model_config = _IGNORE_EXTRA

    name: str
    # Present for services whose runners are model engines.
    engine: _Engine | None = None
    # Present for services whose runners can be ordered.
    scaling: _Scaling | None = None


class _Limits(BaseModel):
    model_config = _IGNORE_EXTRA

    max_header_bytes: _Whole = 16 * 1024
    max_body_bytes: _Whole = 4 * 1024 * 1024
    header_timeout_ms: _Finite = 3000
    idle_timeout_ms: _Finite = 15000


class _Tenant(BaseModel):
    model_config = _IGNORE_EXTRA

    name: str
    api_keys: list[str] = []
    # Takes precedence over the priority of the routes; see ``DeploymentConfig.tier``.
    priority: _Whole | None = None


class _Config(BaseModel):
    """The whole configuration; the entries of its lists are checked one by one."""

    model_config = _IGNORE_EXTRA

    version: int
    routes: list[Any]
    services: list[Any]
    limits: _Limits = _Limits()
    tenants: list[Any] = []


_Item = TypeVar("_Item", _Route, _Service, _Tenant)


def is_config(document: Any) -> bool:
    """Tell whether a JSON document is a configuration of the operator."""
    return isinstance(document, dict) and "services" in document


def decode(data: bytes, problems: list[TablesInvalid] | None = None) -> DeploymentConfig:
    """Decode a configuration; a malformed route, service or tenant is left out.

    Args:
        data: JSON as the operator wrote it.
        problems: Receives an error for each entry that is left out; None to log them.

    Raises:
        TablesInvalid: If the configuration is malformed as a whole, or if none of its routes or
            none of its services is valid.
    """
    try:
        config = _Config.model_validate_json(data)
    except ValidationError as exc:
        raise tables_invalid(exc) from exc
    routes = _valid_items(_Route, config.routes, "routes", problems)
    services = _valid_items(_Service, config.services, "services", problems)
    tenants = _valid_items(_Tenant, config.tenants, "tenants", problems)
    return DeploymentConfig(
        version=config.version,
        routes=PathRoutes([_route(item) for item in routes]),
        pools=tuple(_pool(item) for item in services),
        workspaces={
            key_digest(key): Workspace(item.name, tier=_tier(item.priority))
            for item in tenants
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


def _valid_items(
    model: type[_Item], items: list[Any], table: str, problems: list[TablesInvalid] | None
) -> list[_Item]:
    """Return the valid entries of a list.

    Raises:
        TablesInvalid: If there are entries and none of them is valid.
    """
    found: list[_Item] = []
    error: TablesInvalid | None = None
    for number, item in enumerate(items):
        try:
            found.append(model.model_validate(item))
        except ValidationError as exc:
            error = tables_invalid(exc, table, str(number))
            if problems is not None:
                problems.append(error)
                continue
            logger.bind(place=error.details["place"]).error("entry left out: {}", error.message)
    if error is not None and not found:
        raise error
    return found


def _route(item: _Route) -> PathRoute:
    pools = tuple(
        WeightedPool(part.service, part.weight) for part in item.traffic_split if part.weight > 0
    )
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
        max_attempts=max(1, item.max_attempts),
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


def _pool(item: _Service) -> PoolSpec:
    return PoolSpec(item.name, _kind(item), _scaling(item.scaling), _engine(item.engine))


def _kind(item: _Service) -> Literal["model", "service"]:
    return "service" if item.engine is None else "model"


def _engine(item: _Engine | None) -> EngineSpec:
    if item is None:
        return EngineSpec()
    return EngineSpec(item.kv_capacity_tokens, item.moves, item.handle_s)


def _scaling(item: _Scaling | None) -> ScalingRule | None:
    if item is None:
        return None
    return ScalingRule(item.min, item.max, item.boot_s, item.spot_price, item.zone_prices)


def _tier(priority: int | None) -> int | None:
    return None if priority is None else min(MAX_TIER, max(0, priority) + 1)
