"""The published tables: routes, pools and workspaces.

The tables are checked at the border with pydantic and held as slotted data classes, because a node
keeps an entry for each of thousands of workspaces.
"""

from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field
from typing import Any, ClassVar

from pydantic import ConfigDict, TypeAdapter, ValidationError

from ._entries import (
    ANY,
    MAX_PARTITIONS,
    MAX_TIER,
    Address,
    ClaimSettings,
    Endpoint,
    Name,
    Pool,
    Route,
    Sha256,
    Target,
    Workspace,
)
from ._validation import tables_invalid
from .errors import TablesInvalid, UnknownModel, UnknownPool

__all__ = [
    "ANY",
    "CLAIMS",
    "MAX_PARTITIONS",
    "MAX_TIER",
    "TABLE_NAMES",
    "Address",
    "Change",
    "ClaimSettings",
    "Draft",
    "Endpoint",
    "Name",
    "Pool",
    "Route",
    "Sha256",
    "Tables",
    "Target",
    "Workspace",
]


TABLE_NAMES = ("routes", "pools", "workspaces")
CLAIMS = "claims"


@dataclass(frozen=True, slots=True)
class _Document:
    __pydantic_config__: ClassVar = ConfigDict(extra="forbid")

    routes: list[Route]
    pools: list[Pool]
    workspaces: list[Workspace]
    claims: ClaimSettings = field(default_factory=ClaimSettings)


@dataclass(frozen=True, slots=True)
class Change:
    """One operation on a table entry.

    Attributes:
        table: ``routes``, ``pools``, ``workspaces`` or ``claims``.
        name: Name of the entry; the only entry of ``claims`` is named ``claims``.
        value: The new entry as a JSON object, or None to delete it.
    """

    table: str
    name: str
    value: dict[str, Any] | None = None


_DOCUMENT = TypeAdapter(_Document)


class Tables:
    """One version of the tables, with the look-ups that a node needs.

    Args:
        routes: Routes by name.
        pools: Pools by name.
        workspaces: Workspaces by name.
        version: Version number; 0 means that nothing was published yet.
        claims: How the claims are divided.

    Raises:
        TablesInvalid: If the tables are inconsistent.
    """

    def __init__(
        self,
        routes: Iterable[Route] = (),
        pools: Iterable[Pool] = (),
        workspaces: Iterable[Workspace] = (),
        version: int = 0,
        claims: ClaimSettings = ClaimSettings(),  # noqa: B008
    ) -> None:
        self.version = version
        self.claims = claims
        self.routes: dict[str, Route] = {}
        self.pools: dict[str, Pool] = {}
        self.workspaces: dict[str, Workspace] = {}
        self._index = _Index()
        draft = Draft(self)
        for table, entries in zip(TABLE_NAMES, (routes, pools, workspaces), strict=True):
            draft.insert(table, entries)
        for _ in draft.check():
            pass
        vars(self).update(vars(draft.build(version)))

    @classmethod
    def parse(cls, document: Any, version: int = 0) -> "Tables":
        """Check a JSON document and build the tables.

        Args:
            document: Object with the members ``routes``, ``pools`` and ``workspaces``.
            version: Version number of the tables.

        Returns:
            The tables.

        Raises:
            TablesInvalid: If the document or the tables are wrong; details name the place.
        """
        try:
            doc = _DOCUMENT.validate_python(document)
        except ValidationError as exc:
            raise tables_invalid(exc) from exc
        return cls(doc.routes, doc.pools, doc.workspaces, version, doc.claims)

    def to_document(self) -> dict[str, Any]:
        """Return the tables as a JSON document that ``parse`` accepts."""
        doc = _Document(
            [*self.routes.values()],
            [*self.pools.values()],
            [*self.workspaces.values()],
            self.claims,
        )
        document = _DOCUMENT.dump_python(doc)
        if self.claims == ClaimSettings():
            del document[CLAIMS]
        return document

    def diff(self, other: "Tables") -> list[Change]:
        """Return the operations that turn these tables into the other ones."""
        changes = []
        for table in TABLE_NAMES:
            old, new = getattr(self, table), getattr(other, table)
            changes += [Change(table, name) for name in old if name not in new]
            changes += [
                Change(table, name, asdict(item))
                for name, item in new.items()
                if old.get(name) != item
            ]
        if self.claims != other.claims:
            changes.append(Change(CLAIMS, CLAIMS, asdict(other.claims)))
        return changes

    def apply(self, changes: Iterable[Change], version: int) -> "Tables":
        """Apply operations.

        Args:
            changes: Operations, in order.
            version: Version of the result.

        Returns:
            New tables; these stay unchanged.

        Raises:
            TablesInvalid: If an operation is malformed or the result is inconsistent.
        """
        draft = Draft(self)
        draft.apply(changes)
        return draft.build(version)

    def route(self, workspace: str, request_class: str, model: str) -> Route:
        """Find the most specific route.

        Args:
            workspace: Name of the workspace.
            request_class: Name of the class.
            model: Name of the model, or of the pool for a plain service.

        Returns:
            The route.

        Raises:
            UnknownModel: If no route matches.
        """
        for wanted_workspace in (workspace, ANY):
            for wanted_class in (request_class, ANY):
                for wanted_model in (model, ANY):
                    found = self._index.matches.get((wanted_workspace, wanted_class, wanted_model))
                    if found and self._serves(found, model):
                        return found
        raise UnknownModel(f"no route serves model {model!r} in class {request_class!r}")

    def pool(self, name: str) -> Pool:
        """Return a pool by name.

        Raises:
            UnknownPool: If it does not exist.
        """
        pool = self.pools.get(name)
        if pool is None:
            raise UnknownPool(f"pool {name!r} does not exist")
        return pool

    def workspace_of(self, digest: bytes) -> Workspace | None:
        """Return the workspace that a SHA-256 key digest belongs to, or None."""
        name = self._index.keys.get(digest)
        return self.workspaces.get(name) if name is not None else None

    def _serves(self, route: Route, model: str) -> bool:
        return route.model != ANY or model in self._index.models


@dataclass(slots=True)
class _Index:
    """Look-ups that are derived from the entries.

    Attributes:
        matches: Routes by workspace, class and model.
        models: Number of routes by the model that they serve.
        users: Number of routes by pool.
        addresses: Address of each endpoint and the number of pools that list it.
        keys: Workspace names by key digest.
    """

    matches: dict[tuple[str, str, str], Route] = field(default_factory=dict)
    models: dict[str, int] = field(default_factory=dict)
    users: dict[str, int] = field(default_factory=dict)
    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)
    keys: dict[bytes, str] = field(default_factory=dict)


class Draft:
    """Tables under change.

    A change costs as much as the entries that it names, and ``build`` as much as the tables that
    were changed since the last one, without looking at their entries.

    Args:
        tables: Tables to start from; they stay unchanged.
    """

    def __init__(self, tables: Tables) -> None:
        self._tables = tables
        self._maps: dict[str, dict[Any, Any]] = {
            name: getattr(tables, name) for name in TABLE_NAMES
        } | {name: getattr(tables._index, name) for name in _Index.__slots__}
        self._maps[CLAIMS] = {CLAIMS: tables.claims}
        self._is_new = tables.version == 0
        self._owned: set[str] = set()
        self._journal: list[tuple[str, Any, Any]] = []

    def apply(self, changes: Iterable[Change]) -> None:
        """Apply operations; if they fail, the draft is as before.

        Args:
            changes: Operations, in order. Only the result of all must be consistent.

        Raises:
            TablesInvalid: If an operation is malformed or the result is inconsistent.
        """
        try:
            touched: dict[tuple[str, str], Any] = {}
            for change in changes:
                entry = _parse_change(change)
                if change.table == CLAIMS:
                    self.set_claims(entry)
                    continue
                old = self._maps[change.table].get(change.name)
                touched.setdefault((change.table, change.name), old)
                self._set(change.table, change.name, entry)
            for (table, _), old in touched.items():
                if old is not None:
                    self._remove(table, old)
            for table, name in touched:
                entry = self._maps[table].get(name)
                if entry is not None:
                    self._add(table, entry)
            for table, name in touched:
                if table == "pools" and name not in self._maps["pools"]:
                    self._check_unused(name)
        except TablesInvalid:
            for table, key, value in reversed(self._journal):
                self._put(table, key, value)
            raise
        else:
            self._is_new = False
        finally:
            # It is as large as the tables after the first change.
            self._journal.clear()

    def build(self, version: int) -> Tables:
        """Return the tables as they are now.

        Args:
            version: Version of the tables.
        """
        tables = Tables.__new__(Tables)
        tables.version = version
        tables.claims = self._maps[CLAIMS][CLAIMS]
        for name in TABLE_NAMES:
            setattr(tables, name, self._maps[name])
        tables._index = _Index(**{name: self._maps[name] for name in _Index.__slots__})
        self._owned.clear()
        return tables

    def insert(self, table: str, entries: Iterable[Any]) -> None:
        """Put entries with new names; ``check`` must follow before ``build``."""
        for item in entries:
            if item.name in self._maps[table]:
                raise TablesInvalid(
                    f"{table} lists {item.name!r} twice", place=f"{table}.{item.name}"
                )
            self._put(table, item.name, item)

    def check(self, size: int = 500) -> Iterator[None]:
        """Check all inserted entries and build the look-ups, with a pause after each slice.

        Args:
            size: Number of entries in a slice.

        Raises:
            TablesInvalid: If the tables are inconsistent.
        """
        for table in TABLE_NAMES:
            for number, entry in enumerate(self._maps[table].values(), 1):
                self._add(table, entry)
                if number % size == 0:
                    self._journal.clear()
                    yield
        self._journal.clear()

    def set_claims(self, claims: ClaimSettings | None) -> None:
        """Set how the claims are divided; None for the default.

        Raises:
            TablesInvalid: If there is a version with another number of partitions.
        """
        claims = claims or ClaimSettings()
        # With another number a key would be looked up in a stream that does not hold its claim.
        if claims != self._maps[CLAIMS][CLAIMS] and not self._is_new:
            raise TablesInvalid(
                "only the change that creates version 1 can set the number of partitions",
                place="claims.partitions",
            )
        self._set(CLAIMS, CLAIMS, claims)

    def _set(self, table: str, key: Any, value: Any) -> None:
        self._journal.append((table, key, self._maps[table].get(key)))
        self._put(table, key, value)

    def _put(self, table: str, key: Any, value: Any) -> None:
        if table not in self._owned:
            self._maps[table] = dict(self._maps[table])
            self._owned.add(table)
        if value is None:
            self._maps[table].pop(key, None)
        else:
            self._maps[table][key] = value

    def _count(self, table: str, key: str, by: int) -> None:
        self._set(table, key, (self._maps[table].get(key, 0) + by) or None)

    def _add(self, table: str, entry: Any) -> None:
        if table == "routes":
            self._add_route(entry)
        elif table == "pools":
            self._add_pool(entry)
        else:
            self._add_workspace(entry)

    def _remove(self, table: str, entry: Any) -> None:
        if table == "routes":
            self._set("matches", _match(entry), None)
            self._count("models", _model(entry), -1)
            self._count("users", entry.pool, -1)
        elif table == "pools":
            for item in entry.endpoints:
                address, pools = self._maps["addresses"][item.name]
                self._set("addresses", item.name, (address, pools - 1) if pools > 1 else None)
        else:
            for key in entry.keys:
                self._set("keys", bytes.fromhex(key), None)

    def _add_route(self, route: Route) -> None:
        other = self._maps["matches"].get(_match(route))
        if other is not None:
            raise TablesInvalid(
                f"routes {other.name!r} and {route.name!r} match the same requests",
                place=f"routes.{route.name}",
            )
        if route.pool not in self._maps["pools"]:
            raise _dangling(route)
        self._set("matches", _match(route), route)
        self._count("models", _model(route), 1)
        self._count("users", route.pool, 1)

    def _add_pool(self, pool: Pool) -> None:
        names = {item.name for item in pool.endpoints}
        if len(names) != len(pool.endpoints):
            raise TablesInvalid(
                f"pool {pool.name!r} lists an endpoint twice", place=f"pools.{pool.name}"
            )
        for item in pool.endpoints:
            address, pools = self._maps["addresses"].get(item.name, (item.address, 0))
            if address != item.address:
                raise TablesInvalid(
                    f"endpoint {item.name!r} has two addresses", place=f"pools.{pool.name}"
                )
            self._set("addresses", item.name, (address, pools + 1))

    def _add_workspace(self, workspace: Workspace) -> None:
        for key in workspace.keys:
            digest = bytes.fromhex(key)
            if self._maps["keys"].get(digest, workspace.name) != workspace.name:
                raise TablesInvalid(
                    f"workspace {workspace.name!r} shares a key with another workspace",
                    place=f"workspaces.{workspace.name}.keys",
                )
            self._set("keys", digest, workspace.name)

    def _check_unused(self, pool: str) -> None:
        if pool in self._maps["users"]:
            raise _dangling(
                next(item for item in self._maps["routes"].values() if item.pool == pool)
            )


def _match(route: Route) -> tuple[str, str, str]:
    return (route.workspace, route.request_class, route.model)


def _model(route: Route) -> str:
    return route.model if route.model != ANY else route.pool


def _dangling(route: Route) -> TablesInvalid:
    return TablesInvalid(
        f"route {route.name!r} names pool {route.pool!r}, which does not exist",
        place=f"routes.{route.name}.pool",
    )


_ENTRIES: dict[str, TypeAdapter[Any]] = {
    "routes": TypeAdapter(Route),
    "pools": TypeAdapter(Pool),
    "workspaces": TypeAdapter(Workspace),
    CLAIMS: TypeAdapter(ClaimSettings),
}


def _parse_change(change: Change) -> Any:
    """Return the new entry of a change, or None if it deletes one."""
    adapter = _ENTRIES.get(change.table)
    if adapter is None:
        raise TablesInvalid(f"table {change.table!r} does not exist", place=change.table)
    if change.value is None:
        return None
    try:
        entry: Any = adapter.validate_python(change.value)
    except ValidationError as exc:
        raise tables_invalid(exc, change.table, change.name) from exc
    name = CLAIMS if change.table == CLAIMS else entry.name
    if name != change.name:
        raise TablesInvalid(f"entry {change.name!r} carries the name {name!r}")
    return entry
