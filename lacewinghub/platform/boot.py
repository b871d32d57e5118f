"""The settings file that the platform gives each process."""

import os
import tomllib
from pathlib import Path
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..errors import SettingsInvalid
from .names import SETTINGS_PATH, SETTINGS_VARIABLE

_IGNORE_EXTRA = ConfigDict(extra="ignore", frozen=True)

# The platform states any of its limits as an integer or as a fraction.
_Number = Annotated[float, Field(strict=True, allow_inf_nan=False, ge=0)]
_Positive = Annotated[float, Field(strict=True, allow_inf_nan=False, gt=0)]
_Port = Annotated[int, Field(ge=0, le=65535)]


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

    grace_s: _Positive = 8.0
    drain_ms: _Number = 2000
    config_apply_ms: _Positive = 2000
    retry_budget_ratio: _Number = 0.2
    budget_window_s: _Positive = 10.0
    budget_min_retries: _Number = 10
    lease_ms: _Positive = 3000
    report_window_s: _Positive = 5.0
    usage_late_s: _Positive = 10.0


class Limits(BaseModel):
    """Limits of the machine; None if the platform states none."""

    model_config = _IGNORE_EXTRA

    memory_mb: _Positive | None = None
    max_fds: _Positive | None = None


class ControlApiSettings(BaseModel):
    """The platform's control API.

    Attributes:
        address: ``IP:port``.
        duties: Names of the calls that one node makes at a time.
        duty_per_s: Calls per second of all nodes together.
    """

    model_config = _IGNORE_EXTRA

    address: str
    duties: list[str] = []
    duty_per_s: _Positive = 10.0


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
        limits: Limits of the machine.
        cloud_api: The control API; None if there is none.
        bootstrap: True if the whole system starts for the first time.
    """

    model_config = _IGNORE_EXTRA

    node_name: str
    zone: str
    listen: Listen
    platform: Store
    bounds: Bounds = Bounds()
    internal_ports: tuple[_Port, _Port] = (0, 0)
    seeds: list[str] = []
    limits: Limits = Limits()
    cloud_api: ControlApiSettings | None = None
    bootstrap: bool = True


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
        first = exc.errors(include_url=False)[0]
        key = ".".join(str(part) for part in first["loc"])
        value = "" if first["type"] == "missing" else f", got {first['input']!r}"
        raise SettingsInvalid(f"{path}: {key}: {first['msg']}{value}", key=key) from exc
