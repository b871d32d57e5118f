"""Clients of endpoints: runners that stream answers and plain services."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

from .errors import LacewingError
from .request import Request
from .tables import Endpoint


class EndpointError(LacewingError):
    """Base of the failures of one endpoint; the router turns them into caller errors."""

    code, status = "endpoint_error", 502


class ConnectFailed(EndpointError):
    """No connection was made; nothing was sent."""

    code = "endpoint_connect_failed"


class EndpointCrashed(EndpointError):
    """The connection broke or timed out after the request had been sent."""

    code = "endpoint_crashed"


class EndpointLeaving(EndpointError):
    """The endpoint announced that it is leaving and did not take the request."""

    code = "endpoint_leaving"


class EndpointRejected(EndpointError):
    """The endpoint answered with an error status; details carry ``status``."""

    code = "endpoint_rejected"


@dataclass(frozen=True, slots=True)
class Chunk:
    """A piece of a streamed answer.

    Attributes:
        index: Offset of its first token in the whole answer.
        tokens: Texts of its tokens.
        finish: Reason of the end in the last chunk, otherwise None.
        total: Number of tokens of the whole answer in the last chunk, otherwise None.
    """

    index: int
    tokens: tuple[str, ...]
    finish: str | None = None
    total: int | None = None


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer of a plain service."""

    status: int
    body: Any


class EndpointClient(ABC):
    """Sends requests to endpoints."""

    @abstractmethod
    def stream(self, endpoint: Endpoint, req: Request) -> AsyncIterator[Chunk]:
        """Start or resume an answer at a runner.

        Args:
            endpoint: The runner.
            req: The request; ``req.sent_tokens`` tokens were already received.

        Yields:
            Chunks, possibly repeated or out of order.

        Raises:
            EndpointError: One of its subclasses.
        """

    @abstractmethod
    async def call(self, endpoint: Endpoint, req: Request) -> Reply:
        """Call a plain service once.

        Args:
            endpoint: The service.
            req: The request; ``req.key`` is passed on as idempotency key.

        Returns:
            The reply of any status below 500.

        Raises:
            EndpointError: One of its subclasses; only ``ConnectFailed`` and ``EndpointLeaving``
                prove that the call was not executed.
        """

    @abstractmethod
    async def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Stop the generation of an answer; failures are ignored."""

    async def close(self) -> None:
        """Release the connections."""
        return None
