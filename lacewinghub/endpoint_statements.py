"""What endpoints state about themselves in their answers, and who is told of it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from .brittle_statements import BrittleStatements
from .endpoint_pause import EndpointPauses
from .endpoint_quota import EndpointQuotas
from .incarnations import IncarnationProofs
from .selection import LoadReports


@dataclass(frozen=True, slots=True)
class EndpointStatements:
    """Receivers of the statements in answers.

    Attributes:
        loads: Numbers of running and waiting requests.
        quotas: Rates of requests that an endpoint takes from all nodes together.
        pauses: Times for which an endpoint wants no requests of this node.
        on_leaving: Called with the name of an endpoint that leaves.
        brittle: Numbers of refusals that make endpoints fall over; None if they are not used.
        incarnations: Connections whose process stated that it is the announced one.
    """

    loads: LoadReports
    quotas: EndpointQuotas
    pauses: EndpointPauses
    on_leaving: Callable[[str], None]
    brittle: BrittleStatements | None = None
    incarnations: IncarnationProofs = field(
        default_factory=lambda: IncarnationProofs(lambda name: None)
    )
