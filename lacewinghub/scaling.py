"""What the configuration says of pools whose runners are ordered, and of their engines."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ScalingRule:
    """Limits and prices of the runners of a pool that can be ordered.

    Attributes:
        minimum: Smallest number of runners in a zone, of both kinds together.
        maximum: Largest number of runners in a zone, of both kinds together.
        boot_s: Time until a new runner serves, in seconds.
        spot_price: Price of a spot runner as a share of that of an ordinary one.
        zone_prices: Price of an ordinary runner per second, by availability zone.
    """

    minimum: int
    maximum: int
    boot_s: float
    spot_price: float
    zone_prices: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What the runners of a pool can do.

    Attributes:
        kv_tokens: Size of their memory in tokens; 0 if unknown.
        moves: True if runs can be moved to another runner with their memory.
        handle_s: Time for which the copy of a moved run is kept, in seconds.
    """

    kv_tokens: int = 0
    moves: bool = False
    handle_s: float = 5.0


@dataclass(frozen=True, slots=True)
class RunnerInfo:
    """A runner of a pool as it announced itself.

    Attributes:
        name: Name of the endpoint.
        address: ``IP:port``.
        availability_zone: Its availability zone.
        slots: Requests that it processes at once.
        spot: True if it may be reclaimed.
        leaving: True if it accepts no new requests.
        leaves_at: Loop time at which it ends, in seconds; None if unknown.
    """

    name: str
    address: str
    availability_zone: str
    slots: int
    spot: bool = False
    leaving: bool = False
    leaves_at: float | None = None
