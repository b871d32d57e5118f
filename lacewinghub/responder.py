"""Writes HTTP responses so that a client recognizes one that is not whole.

The end of a connection does not show it: the operating system closes the connections of a process
that dies in order, like those of any other. A response therefore has a length or comes in chunks.
Only one whose endpoint gave it neither, and which this node cannot judge, ends with its connection;
the operating system resets that connection if the process dies.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from http import HTTPStatus

from .errors import ResponseTooLarge
from .httpmessage import COPIED_BYTES, CRLF, LAST_CHUNK, Headers, chunk, encode_headers

# Largest body that is collected for an HTTP/1.0 client.
MAX_COLLECTED_BYTES = 256 * 1024
_REASON_PHRASES = {int(item): item.phrase.encode() for item in HTTPStatus}


class ResponseConnection(ABC):
    """Connection on which a response is sent."""

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is being closed or was lost."""

    @abstractmethod
    async def drain(self) -> None:
        """Wait while the client does not read."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection without sending the buffered bytes."""

    @abstractmethod
    def reset_on_close(self, enabled: bool) -> None:
        """Choose whether closing resets the connection, also if the process dies."""

    def reserve(self, size: int) -> bool:
        """Count memory that the current request takes beside its bytes.

        Args:
            size: Number of bytes.

        Returns:
            False if the process has no room for them; the request is then to be refused.
        """
        return True

    @abstractmethod
    def closes_after_response(self) -> bool:
        """Return whether the connection is to be closed after the current response."""


class _Body(ABC):
    """A body that is sent in pieces.

    Args:
        out: The response.
    """

    def __init__(self, out: "Responder") -> None:
        self._out = out

    @abstractmethod
    def start(self, status: int, headers: Headers) -> None:
        """Begin the response."""

    @abstractmethod
    def add(self, data: bytes) -> None:
        """Add a piece of the body."""

    @abstractmethod
    def finish(self) -> None:
        """End a body that is whole."""


class _ChunkedBody(_Body):
    def start(self, status: int, headers: Headers) -> None:
        self._out.send_head(status, [*headers, (b"transfer-encoding", b"chunked")])

    def add(self, data: bytes) -> None:
        self._out.conn.write(chunk(data))

    def finish(self) -> None:
        self._out.conn.write(LAST_CHUNK)


class _CollectedBody(_Body):
    """A body for an HTTP/1.0 client, which does not understand chunks.

    It is sent once it has ended without an error: with its length, or without framing if its
    endpoint gave it none. A length of this node would say that it is whole.

    Args:
        out: The response.
        framed: False to end the body with its connection.
    """

    def __init__(self, out: "Responder", framed: bool) -> None:
        super().__init__(out)
        self._framed = framed

    def start(self, status: int, headers: Headers) -> None:
        self._status, self._headers = status, headers
        self._pieces = bytearray()

    def add(self, data: bytes) -> None:
        if len(self._pieces) + len(data) > MAX_COLLECTED_BYTES:
            raise ResponseTooLarge(
                f"the response has more than {MAX_COLLECTED_BYTES} bytes; use HTTP/1.1"
            )
        self._pieces += data

    def finish(self) -> None:
        body = bytes(self._pieces)
        if self._framed:
            self._out.send(self._status, self._headers, body)
            return
        self._out.keep_alive = False
        self._out.conn.reset_on_close(True)
        self._out.send_head(self._status, self._headers, body)


class _ConnectionBody(_Body):
    """A body that ends with its connection."""

    def start(self, status: int, headers: Headers) -> None:
        self._out.keep_alive = False
        self._out.conn.reset_on_close(True)
        self._out.send_head(status, headers)

    def add(self, data: bytes) -> None:
        self._out.conn.write(data)

    def finish(self) -> None:
        return None


class _OmittedBody(_Body):
    """A body that the client did not ask for."""

    def start(self, status: int, headers: Headers) -> None:
        self._out.send_head(status, headers)

    def add(self, data: bytes) -> None:
        return None

    def finish(self) -> None:
        return None


@dataclass(slots=True)
class Responder:
    """Writes the response to one request.

    Attributes:
        conn: The connection of the client.
        keep_alive: False if the connection is closed after the response.
        takes_chunks: False for an HTTP/1.0 client.
        head_only: True for the response to HEAD, which has no body. Its client would take one for
            the start of the next response.
        started: True once a part of the response was sent.
        finished: True once the whole response was sent.
        framed: False if the end of the connection ends the body.
    """

    conn: ResponseConnection
    keep_alive: bool
    takes_chunks: bool = True
    head_only: bool = False
    started: bool = False
    finished: bool = False
    framed: bool = True
    _body: _Body | None = None

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response with its length."""
        if body or not self.head_only:
            headers = [*headers, (b"content-length", str(len(body)).encode())]
        self.send_head(status, headers, b"" if self.head_only else body)
        self.finished = True

    def start(
        self, status: int, headers: Headers, framed: bool = True, is_stream: bool = False
    ) -> None:
        """Begin a response whose body follows in pieces.

        Args:
            status: HTTP status.
            headers: Headers without those that frame the body.
            framed: False to end the body with the connection, so that nothing says that it is
                whole.
            is_stream: True for a stream of events. An HTTP/1.0 client gets an error in place of one
                that breaks off.
        """
        self.framed = framed or self.head_only
        if self.head_only:
            self._body = _OmittedBody(self)
        elif not self.takes_chunks and (framed or is_stream):
            self._body = _CollectedBody(self, framed)
        else:
            self._body = _ChunkedBody(self) if framed else _ConnectionBody(self)
        self._body.start(status, headers)

    async def write(self, data: bytes) -> None:
        """Send a piece of the body; waits while the client does not read.

        Raises:
            ResponseTooLarge: If an HTTP/1.0 client cannot get the body.
        """
        assert self._body is not None
        if data:
            self._body.add(data)
            await self.conn.drain()

    def finish(self) -> None:
        """End a body that was sent in pieces."""
        assert self._body is not None
        self._body.finish()
        self.finished = True

    def send_head(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send status and headers, with all or the start of the body."""
        self.started = True
        if self.conn.closes_after_response():
            self.keep_alive = False
        phrase = _REASON_PHRASES.get(status, b"Unknown")
        if not self.keep_alive:
            headers = [*headers, (b"connection", b"close")]
        line = b"HTTP/1.1 %d %b\r\n" % (status, phrase)
        head = line + encode_headers(headers) + CRLF
        if len(body) <= COPIED_BYTES:
            self.conn.write(head + body)
        else:
            self.conn.write(head)
            self.conn.write(body)
