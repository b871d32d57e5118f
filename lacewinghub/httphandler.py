"""Handlers of HTTP requests, and the limits on the requests of clients."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .httpmessage import Incoming, MessageReceiver
from .responder import Responder

# Method, version and separators, which the limit on target and headers does not include.
REQUEST_LINE_BYTES = 1024


@dataclass(slots=True)
class HttpLimits:
    """Limits on the requests of clients.

    Attributes:
        header_bytes: Largest size of target and headers.
        body_bytes: Largest size of a body.
        header_s: Longest time from the first byte of a request to the end of its headers, in
            seconds.
        idle_s: Longest time between requests or between pieces of a body, in seconds.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class HttpHandler(ABC):
    """Handles the requests of a server."""

    @abstractmethod
    async def handle(self, incoming: Incoming, out: Responder) -> None:
        """Handle one request.

        The call is cancelled when the client disconnects. If the response is not finished when the
        call ends, the connection is closed, so that the client does not take it for complete.
        """

    def limits(self) -> HttpLimits:
        """Return the current limits."""
        return HttpLimits()

    def is_closing(self) -> bool:
        """Tell whether connections are to be closed after their next response."""
        return False

    def on_malformed_request(self, status: int) -> None:  # noqa: B027
        """Called when the server refused a request that is malformed, too large or too slow."""


def error_status(
    current: Incoming, receiver: MessageReceiver, limits: HttpLimits, malformed: bool
) -> int | None:
    """Return the status with which a message is refused, or None.

    Args:
        current: The message.
        receiver: Receives it; if the message is incomplete, it is the last one.
        limits: Limits on the requests of clients.
        malformed: True if the parser found an error in the last message.
    """
    if current.head_size > limits.header_bytes:
        return 431
    if max(current.size, current.announced) > limits.body_bytes:
        return 413
    if current.complete:
        return None
    if malformed:
        return 400
    if not current.headers_complete:
        is_too_large = receiver.overhead > limits.header_bytes + REQUEST_LINE_BYTES
        return 431 if is_too_large else None
    return 400 if receiver.has_excessive_framing else None
