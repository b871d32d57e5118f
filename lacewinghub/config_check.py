"""Checks a configuration before it is sent, and compares it with the one in force.

A node applies every configuration that it can decode. What it cannot tell is whether the operator
meant it: an entry that can never match, or limits that contradict each other. These are found here.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Any

from .deployment import DeploymentConfig
from .directory import PoolSpec
from .pathroute import PathRoute


class Severity(StrEnum):
    """How serious a finding is: an error breaks requests, a warning is probably not intended."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Finding:
    """Something that is wrong with a configuration.

    Attributes:
        severity: How serious it is.
        code: Stable name of the kind of finding.
        place: Entry that it concerns.
        message: Explanation for the operator.
    """

    severity: Severity
    code: str
    place: str
    message: str


class ChangeKind(StrEnum):
    """How an entry differs from the version in force."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Change:
    """A difference between two configurations.

    Attributes:
        kind: How the entry differs.
        place: The entry.
        fields: Values before and after, by name, of the fields that differ.
    """

    kind: ChangeKind
    place: str
    fields: Mapping[str, tuple[Any, Any]]


def find_problems(config: DeploymentConfig) -> list[Finding]:
    """Return what is wrong with a configuration, errors first."""
    routes = list(config.routes.routes)
    found = [
        *_duplicates("route", (item.name for item in routes)),
        *_duplicates("pool", (item.name for item in config.pools)),
        *_unreachable_routes(routes),
        *(item for route in routes for item in _route_problems(route, config)),
        *_unused_pools(routes, config.pools),
        *(item for pool in config.pools for item in _scaling_problems(pool)),
        *_limit_problems(config),
    ]
    return sorted(found, key=lambda item: item.severity is Severity.WARNING)


def find_changes(before: DeploymentConfig, after: DeploymentConfig) -> list[Change]:
    """Return the differences of a configuration from the one in force."""
    return [
        *_compare("route", _routes_by_name(before), _routes_by_name(after)),
        *_compare("pool", _pools_by_name(before), _pools_by_name(after)),
        *_compare("workspace", _workspaces(before), _workspaces(after)),
        *_compare("limits", {"": asdict(before.limits)}, {"": asdict(after.limits)}),
    ]


def _duplicates(kind: str, names: Iterable[str]) -> Iterator[Finding]:
    for name, count in Counter(names).items():
        if count > 1:
            yield _error("duplicate_name", f"{kind} {name}", f"the name is used {count} times")


def _unreachable_routes(routes: list[PathRoute]) -> Iterator[Finding]:
    last: dict[tuple[str, str], PathRoute] = {}
    for route in routes:
        other = last.get((route.host, route.prefix))
        if other is not None:
            message = f"never matches: route {route.name} has the same host and prefix"
            yield _error("never_matches", f"route {other.name}", message)
        last[route.host, route.prefix] = route
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            message = f"never matches: prefix {route.prefix!r} must start and end with a slash"
            yield _error("never_matches", f"route {route.name}", message)


def _route_problems(route: PathRoute, config: DeploymentConfig) -> Iterator[Finding]:
    place = f"route {route.name}"
    known = {item.name for item in config.pools}
    for item in route.pools:
        if item.pool not in known:
            yield _error("unknown_pool", place, f"pool {item.pool} is not configured")
    if config.keyed and not route.public and not config.workspaces:
        yield _error("never_permitted", place, "it needs a key, but no workspace has one")
    first_s = route.target.first_token_s or route.target.completion_s
    if first_s is not None and first_s >= route.timeout_s:
        message = f"the target of {first_s:g} s is not below the timeout of {route.timeout_s:g} s"
        yield _warning("target_beyond_timeout", place, message)
    if route.target.between_tokens_s and route.target.between_tokens_s >= route.timeout_s:
        yield _warning("pause_beyond_timeout", place, "the longest pause is not below the timeout")
    if route.repeatable and route.max_attempts == 1:
        yield _warning(
            "no_retry", place, "requests may be repeated, but only one attempt is allowed"
        )


def _unused_pools(routes: list[PathRoute], pools: Iterable[PoolSpec]) -> Iterator[Finding]:
    used = {item.pool for route in routes for item in route.pools}
    for pool in pools:
        if pool.name not in used:
            yield _warning("unused_pool", f"pool {pool.name}", "no route leads to it")


def _scaling_problems(pool: PoolSpec) -> Iterator[Finding]:
    rule, place = pool.scaling, f"pool {pool.name}"
    if rule is None:
        return
    if rule.minimum > rule.maximum:
        message = f"minimum {rule.minimum} is above maximum {rule.maximum}"
        yield _error("scaling_bounds", place, message)
    if rule.maximum == 0:
        yield _error("scaling_bounds", place, "a maximum of 0 leaves no runner")
    if not rule.zone_prices:
        yield _warning("no_zone_prices", place, "without prices all zones count as equal")
    if rule.spot_price > 1:
        message = f"spot runners cost {rule.spot_price:g} times as much as ordinary ones"
        yield _warning("spot_price", place, message)


def _limit_problems(config: DeploymentConfig) -> Iterator[Finding]:
    limits = config.limits
    if limits.header_bytes <= 0 or limits.body_bytes < 0:
        yield _error("size_limits", "limits", "no request fits into the size limits")
    if limits.header_s <= 0 or limits.idle_s <= 0:
        yield _error("time_limits", "limits", "no client is fast enough for the time limits")
    if limits.header_s > limits.idle_s:
        message = "a client may take longer for its headers than it may be idle"
        yield _warning("time_limits", "limits", message)


def _compare(
    kind: str, before: Mapping[str, dict[str, Any]], after: Mapping[str, dict[str, Any]]
) -> Iterator[Change]:
    for name in sorted({*before, *after}):
        place = f"{kind} {name}".strip()
        old, new = before.get(name), after.get(name)
        if old is None or new is None:
            yield Change(ChangeKind.ADDED if old is None else ChangeKind.REMOVED, place, {})
            continue
        fields = {key: (old[key], new[key]) for key in new if old.get(key) != new[key]}
        if fields:
            yield Change(ChangeKind.CHANGED, place, fields)


def _routes_by_name(config: DeploymentConfig) -> dict[str, dict[str, Any]]:
    return {item.name: asdict(item) for item in config.routes.routes}


def _pools_by_name(config: DeploymentConfig) -> dict[str, dict[str, Any]]:
    return {item.name: asdict(item) for item in config.pools}


def _workspaces(config: DeploymentConfig) -> dict[str, dict[str, Any]]:
    """Return tier and number of keys by workspace; keys themselves are not shown."""
    keys: dict[str, list[str]] = {}
    for digest, item in config.workspaces.items():
        keys.setdefault(item.name, []).append(digest.hex()[:8])
    tiers = {item.name: item.tier for item in config.workspaces.values()}
    return {
        name: {"tier": tiers[name], "key_digests": sorted(found)} for name, found in keys.items()
    }


def _error(code: str, place: str, message: str) -> Finding:
    return Finding(Severity.ERROR, code, place, message)


def _warning(code: str, place: str, message: str) -> Finding:
    return Finding(Severity.WARNING, code, place, message)
