"""HTTP/1.1 messages as they are on the wire, parsed with httptools.

Sanic and aiohttp decode and rewrite messages. A proxy needs the original bytes of targets and
headers, and has to know exactly how a response ended.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]

# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that describe the framing of the body.
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
# Largest number of bytes of headers, chunk sizes, chunk extensions and trailers that may arrive
# beyond those that belong to a body: a stream of single bytes takes six bytes of framing for each.
MAX_FRAMING_BYTES = 64 * 1024
MAX_FRAMING_RATIO = 16
# Memory of a message beside its headers and its body, and of a header beside its text: three
# objects and their place in a list.
MESSAGE_BYTES = 512
HEADER_BYTES = 160
# A read with more framing than this has about a thousand chunks or more.
EXPENSIVE_FRAMING_BYTES = 8 * 1024
# Larger bodies are not copied when they are read.
COPIED_BYTES = 64 * 1024


def end_to_end(headers: Headers, without: frozenset[bytes] = frozenset()) -> Headers:
    """Return the end-to-end headers, which a proxy passes on.

    Args:
        headers: Names in lower case, with values.
        without: Names of further headers to drop.
    """
    connection_headers = {
        item.strip().lower()
        for key, value in headers
        if key == b"connection"
        for item in value.split(b",")
    }
    return [
        (key, value)
        for key, value in headers
        if key not in HOP_HEADERS and key not in without and key not in connection_headers
    ]


def encode_headers(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the headers as lines that end with CRLF."""
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
        body: Received bytes of the body that were not read yet; later pieces are appended to it.
        size: Number of bytes of the body received so far.
        announced: Length of the body that the headers state, in bytes.
        head_size: Number of bytes of target and headers received so far.
        headers_complete: True once all headers were received.
        complete: True once the body ended according to its framing.
        keep_alive: True if the connection may carry another message after this one.
        framed: True if the body has a length or is chunked; False if the end of the connection ends
            it.
        takes_chunks: False if the sender of a request does not understand a chunked response.
        decoded_size: Number of bytes that its decoded form takes beside it.
    """

    headers: Headers = field(default_factory=list)
    target: bytes = b""
    method: bytes = b""
    status: int = 0
    body: bytes | bytearray = b""
    size: int = 0
    announced: int = 0
    head_size: int = 0
    headers_complete: bool = False
    complete: bool = False
    keep_alive: bool = False
    framed: bool = True
    takes_chunks: bool = True
    decoded_size: int = 0

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, whose name is in lower case, or None."""
        return next((value for key, value in self.headers if key == name), None)

    def take_body(self) -> bytes:
        """Remove and return the part of the body that has arrived."""
        data, self.body = self.body, b""
        return bytes(data)

    def detach_body(self) -> bytes | bytearray:
        """Remove and return the body like ``take_body``, without a copy of a large one."""
        if len(self.body) <= COPIED_BYTES:
            return self.take_body()
        data, self.body = self.body, b""
        return data

    def drop(self) -> None:
        """Release what the message holds; it is not served."""
        self.headers = []
        self.target = self.body = b""
        self.size = self.head_size = self.decoded_size = 0


def held_by(message: Incoming) -> int:
    """Return the number of bytes that a message holds, also if its body was taken."""
    text = message.head_size + message.size
    objects = MESSAGE_BYTES + HEADER_BYTES * len(message.headers)
    return text + objects + message.decoded_size


class MessageReceiver:
    """Collects messages from the callbacks of an httptools parser.

    The parser keeps a header or a chunk extension until it is complete, without a limit. ``count``
    and ``overhead`` tell how many bytes arrived that belong to no body. What a body permits of them
    has to come with it: a long one does not permit more framing afterwards.

    Attributes:
        messages: Messages in order of arrival; the last one may be incomplete.
    """

    def __init__(self) -> None:
        self.messages: deque[Incoming] = deque()
        self._received = 0
        self._unsettled = 0
        self._settled_size = 0
        self._excess = 0
        self._framing = 0
        # True if a message ended in the piece of the wire that is being parsed.
        self._has_ended = False
        # True once the head of the last message has been settled.
        self._is_head_settled = False

    @property
    def overhead(self) -> int:
        """Number of bytes of the last message that are not part of its body."""
        return self._received - self.messages[-1].size if self.messages else self._received

    @property
    def has_excessive_framing(self) -> bool:
        """True if far more other bytes arrived lately than bytes of a body."""
        return self._excess > MAX_FRAMING_BYTES

    @property
    def framing(self) -> int:
        """Number of bytes of the last piece of the wire that belong to no head and no body."""
        return self._framing

    @property
    def held(self) -> int:
        """Number of bytes that the messages hold, also if their bodies were taken."""
        held = sum(map(held_by, self.messages))
        if self.messages and not self.messages[-1].headers_complete:
            # The parser holds an unfinished header.
            held += max(0, self._received - self.messages[-1].head_size)
        return held

    @property
    def buffered(self) -> int:
        """Number of bytes of all bodies that were not read yet."""
        return sum(len(item.body) for item in self.messages)

    def count(self, size: int) -> None:
        """Count received bytes; called before they are parsed."""
        self._received += size
        self._unsettled += size

    def settle(self) -> None:
        """Compare what was counted with the body that it brought; called after it was parsed."""
        last = self.messages[-1] if self.messages else None
        size = last.size if last is not None else 0
        body = size - self._settled_size
        framing = self._unsettled - body
        if self._is_head_settled or last is None:
            self._framing = framing
        elif last.headers_complete:
            # A head is no framing of chunks. What of it came with earlier pieces is not known, so
            # that this may count too little once for each message.
            self._framing = framing = max(0, framing - last.head_size)
            self._excess = 0
            self._is_head_settled = True
        else:
            self._framing = 0  # Only a head without end is excessive.
        self._excess = max(0, self._excess + framing - MAX_FRAMING_RATIO * body)
        self._unsettled, self._settled_size, self._has_ended = 0, size, False

    def on_message_begin(self) -> None:
        """Start a message."""
        self.messages.append(Incoming())
        if self._has_ended:
            # How much of this piece belongs to the previous message is not known.
            self._unsettled = 0
        self._received = self._unsettled
        self._settled_size = self._excess = 0
        self._is_head_settled = False

    def on_url(self, data: bytes) -> None:
        """Add a piece of the target."""
        last = self.messages[-1]
        last.target += data
        last.head_size += len(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped."""
        last = self.messages[-1]
        last.head_size += len(name) + len(value) + 4
        if not last.headers_complete:
            last.headers.append((name.lower(), value))

    def on_body(self, data: bytes) -> None:
        """Add a piece of the body."""
        last = self.messages[-1]
        last.size += len(data)
        if not last.body:
            last.body = data
            return
        if not isinstance(last.body, bytearray):
            last.body = bytearray(last.body)
        # Chunks of a few bytes would take far more memory as objects of their own.
        last.body += data

    def on_message_complete(self) -> None:
        """Mark the message as complete."""
        self.messages[-1].complete = True
        self._has_ended = True
