"""The settings file that the platform gives each process."""

import os
import tomllib
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..errors import SettingsInvalid
from .names import SETTINGS_PATH, SETTINGS_VARIABLE

_IGNORE_EXTRA = ConfigDict(extra="ignore", frozen=True)


class Listen(BaseModel):
    """Addresses to serve on, as ``IP:port``.

    Attributes:
        front: For clients.
        ready: For the readiness checks of the load balancer.
    """

    model_config = _IGNORE_EXTRA

    front: str
    ready: str


class Bounds(BaseModel):
    """Limits that the platform sets; the units are in the names."""

    model_config = _IGNORE_EXTRA

    grace_s: float = Field(default=8.0, gt=0)
    drain_ms: int = Field(default=2000, ge=0)
    config_apply_ms: int = Field(default=2000, gt=0)
    retry_budget_ratio: float = Field(default=0.2, ge=0)
    budget_window_s: float = Field(default=10.0, gt=0)
    budget_min_retries: int = Field(default=10, ge=0)


class Store(BaseModel):
    """The metadata store."""

    model_config = _IGNORE_EXTRA

    address: str


class Boot(BaseModel):
    """The fields of the settings file that a node uses; further fields are ignored.

    Attributes:
        node_name: Name of the machine.
        zone: Availability zone.
        listen: Addresses to serve on.
        platform: The metadata store.
        bounds: Limits that the platform sets.
        internal_ports: First and last port for traffic between nodes.
        seeds: Addresses of at most three machines, which may no longer exist.
    """

    model_config = _IGNORE_EXTRA

    node_name: str
    zone: str
    listen: Listen
    platform: Store
    bounds: Bounds = Bounds()
    internal_ports: tuple[int, int] = (0, 0)
    seeds: list[str] = []


def find_settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH))


def load(path: Path) -> Boot:
    """Read and check a settings file.

    Raises:
        SettingsInvalid: If it cannot be read, or if a field is missing or invalid; ``key`` is then
            the field.
    """
    try:
        document: dict[str, Any] = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        raise SettingsInvalid(f"cannot read {path}: {exc}") from exc
    try:
        return Boot.model_validate(document)
    except ValidationError as exc:
        first = exc.errors(include_url=False, include_input=False)[0]
        key = ".".join(str(part) for part in first["loc"])
        raise SettingsInvalid(f"{path}: {key}: {first['msg']}", key=key) from exc
