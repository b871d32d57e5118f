"""Versions of the configuration of a node that proxies HTTP requests unchanged."""

from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from .directory import PoolSpec
from .errors import Unauthorized
from .httpserver import HttpLimits
from .keys import key_digest
from .pathroute import PathRoute, PathRoutes
from .tables import Workspace


@dataclass(frozen=True, slots=True)
class DeploymentConfig:
    """One version of the configuration.

    Attributes:
        version: Version number; 0 before a configuration is known.
        routes: Routes by host and path.
        pools: Pools, without their endpoints.
        workspaces: Workspaces by the SHA-256 digest of each of their keys.
        limits: Limits on the requests of clients.
        keyed: True if clients need a key, except on public routes.
    """

    version: int = 0
    routes: PathRoutes = field(default_factory=PathRoutes)
    pools: tuple[PoolSpec, ...] = ()
    workspaces: dict[bytes, Workspace] = field(default_factory=dict)
    limits: HttpLimits = field(default_factory=HttpLimits)
    keyed: bool = False

    def tier(self, route: PathRoute, workspace: Workspace | None) -> int:
        """Return the tier of a request; the tier of its workspace outranks that of its route.

        Args:
            route: Route of the request.
            workspace: Workspace of the client, or None.
        """
        if workspace is None or workspace.tier is None:
            return route.tier
        return (workspace.tier - 1) * self.routes.lowest_tier + route.tier

    def workspace(self, route: PathRoute, key: str | None) -> Workspace | None:
        """Find the workspace of a client.

        Args:
            route: Route of the request.
            key: Key that the client sent, or None.

        Returns:
            The workspace, or None without a known key if the route or the deployment requires none.

        Raises:
            Unauthorized: If the route needs a key and the key is missing or unknown.
        """
        found = self.workspaces.get(key_digest(key)) if key else None
        if found is None and self.keyed and not route.public:
            raise Unauthorized("the key is missing or belongs to no workspace")
        return found


class CurrentConfig:
    """Holds the newest version of the configuration.

    Attributes:
        current: The version in force.
    """

    def __init__(self) -> None:
        self.current = DeploymentConfig()
        self._listeners: list[Callable[[DeploymentConfig], None]] = []

    def listen(self, listener: Callable[[DeploymentConfig], None]) -> None:
        """Register a function that is called with each version that comes into force."""
        self._listeners.append(listener)

    def replace_if_newer(self, config: DeploymentConfig) -> bool:
        """Replace the version in force by a newer one.

        Returns:
            False if the version in force is as new or newer.
        """
        before = self.current.version
        if config.version <= before:
            return False
        self.current = config
        logger.bind(version=config.version, before=before).info("configuration in force")
        for listener in self._listeners:
            listener(config)
        return True
