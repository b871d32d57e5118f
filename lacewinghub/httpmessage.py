"""HTTP/1.1 messages as they are on the wire, parsed with httptools.

Sanic and aiohttp decode and rewrite messages; a request that is passed on unchanged needs the bytes
of its target and headers, and an answer needs the exact way in which it ended.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]

# Headers that concern one connection only (RFC 9110, section 7.6.1), and the framing of the body.
HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
CRLF = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def end_to_end(headers: Headers, without: frozenset[bytes] = frozenset()) -> Headers:
    """Return the headers that a router passes on.

    Args:
        headers: Names in lower case, with values.
        without: Further names to leave out.
    """
    named = {
        item.strip().lower()
        for key, value in headers
        if key == b"connection"
        for item in value.split(b",")
    }
    return [
        (key, value)
        for key, value in headers
        if key not in HOP_HEADERS and key not in without and key not in named
    ]


def encode_headers(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return header lines, each with its line end."""
    return b"".join(b"%b: %b\r\n" % item for item in headers)


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass(slots=True)
class Incoming:
    """A message that is being received.

    Attributes:
        headers: Names in lower case, with values.
        target: Path and query of a request.
        method: Method of a request.
        status: Status of a response.
        body: Pieces of the body that were not taken yet.
        size: Bytes of the body received so far.
        head_size: Bytes of target and headers received so far.
        headed: True when all headers are known.
        complete: True when the body ended as its framing says.
        keep_alive: True if the connection may carry another message after this one.
        framed: True if the body has a length or is chunked; otherwise it ends with the connection.
    """

    headers: Headers = field(default_factory=list)
    target: bytes = b""
    method: bytes = b""
    status: int = 0
    body: deque[bytes] = field(default_factory=deque)
    size: int = 0
    head_size: int = 0
    headed: bool = False
    complete: bool = False
    keep_alive: bool = False
    framed: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, whose name is in lower case, or None."""
        return next((value for key, value in self.headers if key == name), None)

    def take_body(self) -> bytes:
        """Remove and return what has arrived of the body."""
        data = b"".join(self.body)
        self.body.clear()
        return data


class MessageReceiver:
    """Collects messages from the callbacks of an httptools parser.

    Attributes:
        messages: Messages in order of arrival; the last one may be incomplete.
    """

    def __init__(self) -> None:
        self.messages: deque[Incoming] = deque()

    def on_message_begin(self) -> None:
        """Begin a message."""
        self.messages.append(Incoming())

    def on_url(self, data: bytes) -> None:
        """Take a piece of the target."""
        last = self.messages[-1]
        last.target += data
        last.head_size += len(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header, or a trailer, which is dropped."""
        last = self.messages[-1]
        last.head_size += len(name) + len(value) + 4
        if not last.headed:
            last.headers.append((name.lower(), value))

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        last = self.messages[-1]
        last.body.append(bytes(data))
        last.size += len(data)

    def on_message_complete(self) -> None:
        """End a message."""
        self.messages[-1].complete = True
