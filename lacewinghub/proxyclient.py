"""Client of the endpoints to which requests are passed on unchanged, and how it can fail."""

from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator
from dataclasses import dataclass

from .endpoint import ConnectFailed, EndpointError
from .httpmessage import Headers
from .request import Request
from .tables import Endpoint

GATEWAY_TIMEOUT = 504


class LinkCut(ConnectFailed):
    """The connection could not be established, and the endpoint did not cause that.

    ``details["isolated"]`` is true if this node reaches no endpoint at all.
    """

    code = "link_cut"
    neutral = True


class EndpointBusy(EndpointError):
    """The endpoint stated that it did not execute the request."""

    code = "endpoint_busy"
    neutral = True


class EndUnproven(EndpointError):
    """The stream ended after an event, and nothing proves that it is whole."""

    code = "end_unproven"
    neutral = True


class EndContradicted(EndpointError):
    """The endpoint adds nothing to a stream that was broken off."""

    code = "end_contradicted"
    neutral = True


class AttemptWithdrawn(EndpointError):
    """This node closed the connection because the request could crash the endpoint."""

    code = "attempt_withdrawn"
    neutral = True


@dataclass(frozen=True, slots=True)
class Incarnation:
    """What the process at an endpoint says of itself.

    Attributes:
        started: Start time of the process by its own clock, in seconds, as its announcement has it.
        running: Ids of the requests that it executes, as of some hundred milliseconds ago.
    """

    started: float
    running: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an endpoint's response.

    Attributes:
        status: HTTP status.
        headers: Headers to pass on, names in lower case.
        framed: False if the end of the connection ends the body, so that a truncated body cannot
            be recognized.
        whole: True if the body follows in a single piece.
    """

    status: int
    headers: Headers
    framed: bool = True
    whole: bool = False

    @property
    def has_length(self) -> bool:
        """True if the length of the body is known when it is passed on."""
        return self.whole and self.framed

    @property
    def is_event_stream(self) -> bool:
        """True if the body consists of server-sent events."""
        kind = next((value for name, value in self.headers if name == b"content-type"), b"")
        return kind.lower().startswith(b"text/event-stream")

    @property
    def failed(self) -> bool:
        """True if the endpoint executed the request and answered with a server error."""
        return self.status >= 500

    @property
    def counts_as_failure(self) -> bool:
        """True if the failure counts against the endpoint; a deadline that passed does not."""
        return self.failed and self.status != GATEWAY_TIMEOUT


class ProxyClient(ABC):
    """Sends requests unchanged to endpoints."""

    @abstractmethod
    def stream(
        self, endpoint: Endpoint, req: Request
    ) -> AsyncGenerator[ResponseHead | bytes, None]:
        """Send a request to an endpoint.

        Closing the generator closes the connection, so that the endpoint cancels the request.

        Args:
            endpoint: The endpoint.
            req: The request; ``req.proxy.last_event`` is the id of the event after which to resume.

        Yields:
            The head, then pieces of the body. The body is complete if and only if the generator
            ends without an error.

        Raises:
            EndpointError: ``ConnectFailed`` if nothing was sent, ``EndpointBusy`` if the endpoint
                stated that it did not execute the request, otherwise ``EndpointCrashed``.
        """
