"""Interface for moving runs between endpoints."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from .request import Request, RunCopy
from .tables import Endpoint


class MoveOutcome(StrEnum):
    """Result of asking an endpoint to stop a run and to copy its state to another endpoint."""

    MOVED = "moved"  # The run has stopped, and the target has its state.
    NOT_COPIED = "not_copied"  # The run has stopped, and only the source has its state.
    NO_RUN = "no_run"  # The source has no such run: it has ended or has not begun.
    BUSY = "busy"  # The source is executing another call for the run.
    REFUSED = "refused"  # The run goes on at the source.
    UNREACHED = "unreached"  # Nothing was sent.
    UNANSWERED = "unanswered"  # The run may have stopped, or may stop later.


@dataclass(frozen=True, slots=True)
class MoveAnswer:
    """Answer of an endpoint that was asked to move a run.

    Attributes:
        outcome: The result.
        copy: State of the run if it has stopped and the state is known.
    """

    outcome: MoveOutcome
    copy: RunCopy | None = None


class RunMoveClient(ABC):
    """Asks endpoints to move runs."""

    @abstractmethod
    async def move_run(
        self, source: Endpoint, req: Request, target: Endpoint, timeout_s: float
    ) -> MoveAnswer:
        """Ask an endpoint to stop a run and to copy its state to another endpoint.

        Args:
            source: Endpoint that executes the request.
            req: The request.
            target: Endpoint that is to continue it.
            timeout_s: Longest time to wait for an answer, in seconds.

        Returns:
            The answer. Failures of the call are outcomes, not errors.
        """

    @abstractmethod
    async def free_copy(self, copy: RunCopy, timeout_s: float) -> None:
        """Free a copied state that will not be used; failures are ignored."""
