"""Protocol of the tunnels through which one node reaches endpoints over the links of another.

A tunnel is one TCP connection. The server sends a nonce at once. The client proves with it that it
has the key of the nodes and names an endpoint. Once the server has connected to it, both sides send
frames: a kind (1 byte), a length (4 bytes, big-endian) and that many bytes. Each frame has its own
kind for how the connection of the endpoint ended, so that the loss of the tunnel is not mistaken
for the end of an answer.
"""

import hashlib
import hmac
import json
import struct
from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .errors import LacewingError

MAGIC = b"LWT1"
NONCE_BYTES = 16
HELLO_BYTES = len(MAGIC) + NONCE_BYTES
# Time for each side of the handshake, in seconds.
HANDSHAKE_S = 2.0
# Longer data is divided into several frames.
DATA_BYTES = 16 * 1024
MAX_FRAME_BYTES = 32 * 1024
MAX_HANDSHAKE_BYTES = 2048
# With this many unsent bytes on one side, the other side is not read.
HIGH_WATER_BYTES = 32 * 1024
MAX_PAUSE_S = 86_400.0
_HEADER = struct.Struct(">BI")

ModelT = TypeVar("ModelT", bound=BaseModel)


class TunnelError(LacewingError):
    """The other side does not keep to the protocol."""

    code, status = "tunnel_error", 502


class TunnelLost(ConnectionError):
    """The tunnel ended without saying how the connection of the endpoint ended."""


class FrameKind(IntEnum):
    """Kind of a frame."""

    OPEN = 1
    OPENED = 2
    REFUSED = 3
    DATA = 4
    # The endpoint ended its connection in order.
    ENDED = 5
    # The endpoint's connection broke: it was reset.
    BROKEN = 6
    # The endpoint's connection broke: its host is silent.
    SILENT = 7
    STATEMENT = 8


class RefusalReason(StrEnum):
    """Why a node opens no tunnel."""

    CONNECTION_REFUSED = "connection refused"
    TIMED_OUT = "timed out"
    LINKS_CUT = "links cut"
    UNKNOWN = "unknown endpoint"
    LEAVING = "leaving endpoint"
    PAUSED = "paused endpoint"
    NO_ROOM = "no room"
    STOPPING = "stopping"
    # Not reached, by a node that has not reached any other endpoint just before.
    UNSURE = "unsure"


# The endpoint itself does not accept connections, as seen from another node.
UNREACHABLE = frozenset((RefusalReason.CONNECTION_REFUSED, RefusalReason.TIMED_OUT))
# The endpoint itself stated why.
STATED = frozenset((RefusalReason.LEAVING, RefusalReason.PAUSED))
# Nothing was learnt about the endpoint, but about the other node.
UNABLE = frozenset((RefusalReason.LINKS_CUT, RefusalReason.NO_ROOM, RefusalReason.STOPPING))


class _Body(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class OpenRequest(_Body):
    """Asks for a tunnel to an endpoint.

    Attributes:
        node: Name of the asking node.
        endpoint: Name of the endpoint.
        address: Address of the endpoint, ``IP:port``.
        mac: Proof of the key, hexadecimal.
    """

    node: str = Field(max_length=256)
    endpoint: str = Field(max_length=256)
    address: str = Field(max_length=256)
    mac: str = Field(max_length=64)


class TunnelRefusal(_Body):
    """Says why there is no tunnel.

    Attributes:
        reason: The reason.
        pause_s: For how long the endpoint wants no requests, in seconds.
        started: Announced start time of the endpoint that leaves or wants a pause, in seconds.
    """

    reason: RefusalReason
    pause_s: float = Field(default=0.0, ge=0.0, le=MAX_PAUSE_S)
    started: float = 0.0


class Statement(_Body):
    """What an endpoint stated in an answer that came through the tunnel.

    Attributes:
        leaving: True if it leaves.
        pause_s: For how long it wants no requests, in seconds; None if it states nothing.
    """

    leaving: bool = False
    pause_s: float | None = Field(default=None, ge=0.0, le=MAX_PAUSE_S)


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame."""

    kind: FrameKind
    data: bytes


class StatementSender(ABC):
    """Tells the node at the other end of a tunnel what an endpoint stated."""

    @abstractmethod
    def send_statement(self, statement: Statement) -> None:
        """Pass a statement on; without effect once the tunnel has ended."""


class FrameDecoder:
    """Divides received bytes into frames.

    Attributes:
        limit: Largest number of bytes of a frame.
    """

    def __init__(self, limit: int = MAX_FRAME_BYTES) -> None:
        self.limit = limit
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that are complete with these bytes.

        Raises:
            TunnelError: If a frame is too long or of no known kind.
        """
        self._buffer += data
        frames: list[Frame] = []
        start = 0
        while len(self._buffer) - start >= _HEADER.size:
            number, length = _HEADER.unpack_from(self._buffer, start)
            if length > self.limit:
                raise TunnelError(f"a frame of {length} bytes, more than {self.limit}")
            try:
                kind = FrameKind(number)
            except ValueError as exc:
                raise TunnelError(f"a frame of kind {number}") from exc
            end = start + _HEADER.size + length
            if end > len(self._buffer):
                break
            frames.append(Frame(kind, bytes(self._buffer[start + _HEADER.size : end])))
            start = end
        del self._buffer[:start]
        return frames


def encode_frame(kind: FrameKind, data: bytes | memoryview = b"") -> bytes:
    """Return one frame."""
    return _HEADER.pack(kind, len(data)) + data


def encode_data(data: bytes | bytearray | memoryview) -> list[bytes]:
    """Return the frames for data of any length."""
    view = memoryview(data)
    return [
        encode_frame(FrameKind.DATA, view[start : start + DATA_BYTES])
        for start in range(0, len(view), DATA_BYTES)
    ]


def encode_body(kind: FrameKind, body: BaseModel) -> bytes:
    """Return a frame with an encoded body."""
    return encode_frame(kind, body.model_dump_json().encode())


def sign(key: bytes, nonce: bytes, node: str, endpoint: str, address: str) -> OpenRequest:
    """Return the request for a tunnel, with the proof of the key."""
    mac = _mac(key, nonce, node, endpoint, address)
    return OpenRequest(node=node, endpoint=endpoint, address=address, mac=mac)


def parse_open(key: bytes, nonce: bytes, frame: Frame) -> OpenRequest:
    """Decode the request for a tunnel.

    Raises:
        TunnelError: If it is none, or if its sender does not have the key.
    """
    if frame.kind is not FrameKind.OPEN:
        raise TunnelError(f"a frame of kind {frame.kind.name} in place of a request")
    req = _decode(OpenRequest, frame, "an invalid request for a tunnel")
    expected = _mac(key, nonce, req.node, req.endpoint, req.address)
    if not hmac.compare_digest(expected.encode(), req.mac.encode()):
        raise TunnelError("a request for a tunnel with a wrong key")
    return req


def parse_refusal(frame: Frame) -> TunnelRefusal:
    """Decode a refusal.

    Raises:
        TunnelError: If it is none.
    """
    return _decode(TunnelRefusal, frame, "an invalid refusal of a tunnel")


def parse_statement(frame: Frame) -> Statement:
    """Decode a statement.

    Raises:
        TunnelError: If it is none.
    """
    return _decode(Statement, frame, "an invalid statement")


def _mac(key: bytes, nonce: bytes, *fields: str) -> str:
    message = nonce + json.dumps(fields).encode()
    return hmac.new(key, message, hashlib.sha256).hexdigest()


def _decode(model: type[ModelT], frame: Frame, reason: str) -> ModelT:
    """Decode the JSON of a frame; the error for invalid data gives the reason."""
    try:
        return model.model_validate_json(frame.data)
    except ValidationError as exc:
        raise TunnelError(reason) from exc
