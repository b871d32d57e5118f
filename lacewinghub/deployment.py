"""The configuration of a node that passes requests on unchanged, as of one version."""

from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from .directory import PoolSpec
from .errors import Unauthorized
from .httpserver import HttpLimits
from .keys import digest
from .pathroute import PathRoute, PathRoutes
from .tables import Workspace


@dataclass(frozen=True, slots=True)
class DeploymentConfig:
    """One version of the configuration.

    Attributes:
        version: Version; 0 means that none is known yet.
        routes: Routes by host and path.
        pools: Pools without their endpoints.
        workspaces: Workspaces by the SHA-256 digest of each of their keys.
        limits: Limits on what a caller sends.
        keyed: True if callers need a key, except on public routes.
    """

    version: int = 0
    routes: PathRoutes = field(default_factory=PathRoutes)
    pools: tuple[PoolSpec, ...] = ()
    workspaces: dict[bytes, Workspace] = field(default_factory=dict)
    limits: HttpLimits = field(default_factory=HttpLimits)
    keyed: bool = False

    def tier(self, route: PathRoute, workspace: Workspace | None) -> int:
        """Return the tier of a request: that of its workspace first, then that of its route.

        Args:
            route: Route of the request.
            workspace: Workspace of the caller, or None.
        """
        if workspace is None or workspace.tier is None:
            return route.tier
        return (workspace.tier - 1) * self.routes.lowest_tier + route.tier

    def workspace(self, route: PathRoute, key: str | None) -> Workspace | None:
        """Find the workspace of a caller.

        Args:
            route: Route of the request.
            key: Key that the caller sent, or None.

        Returns:
            The workspace, or None for a route or a deployment without keys.

        Raises:
            Unauthorized: If the route needs a key and the key is missing or unknown.
        """
        found = self.workspaces.get(digest(key)) if key else None
        if found is None and self.keyed and not route.public:
            raise Unauthorized("the key is missing or belongs to no workspace")
        return found


class CurrentConfig:
    """Holds the newest version; an older one never replaces it.

    Attributes:
        current: The version in force.
    """

    def __init__(self) -> None:
        self.current = DeploymentConfig()
        self._listeners: list[Callable[[DeploymentConfig], None]] = []

    def listen(self, listener: Callable[[DeploymentConfig], None]) -> None:
        """Call a function with each version that comes into force."""
        self._listeners.append(listener)

    def replace_if_newer(self, deployment: DeploymentConfig) -> bool:
        """Put a version into force unless the one in force is as new.

        Returns:
            True if it is in force now.
        """
        before = self.current.version
        if deployment.version <= before:
            return False
        self.current = deployment
        logger.bind(version=deployment.version, before=before).info("configuration in force")
        for listener in self._listeners:
            listener(deployment)
        return True
