"""Settings of a node: JSON with comments, validated with pydantic."""

import ipaddress
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import pyjson5
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .errors import SettingsInvalid
from .gateway_connection import DEFAULT_BODY_BYTES, DEFAULT_HEADER_S, DEFAULT_IDLE_S
from .tables import Address, Name, Sha256

# Keys whose values must not appear in error messages.
SECRETS = ("peer_key",)


class Limits(BaseModel):
    """Limits of a node.

    Attributes:
        body_bytes: Largest size of a request body, in bytes.
        grace_s: How long a stopping node keeps accepting requests after ``/readyz`` reports to the
            load balancer that it is leaving, in seconds.
        connect_s: Timeout for connecting to an endpoint, in seconds.
        endpoint_idle_s: Longest time an endpoint may pause within an answer, in seconds.
        header_s: Longest time that a client may take for the headers of a request, in seconds.
        idle_s: Longest time between parts of a body, and for which a client may read nothing of an
            answer, in seconds.
        memory_mb: Memory that the process may have, in MB; the host's if that is less.
        max_descriptors: Descriptors that the process may have; None for the limit of the system.
    """

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)

    body_bytes: Annotated[int, Field(ge=1024, le=256 * 1024 * 1024)] = DEFAULT_BODY_BYTES
    grace_s: Annotated[float, Field(ge=0, le=3600)] = 5.0
    connect_s: Annotated[float, Field(gt=0, le=60)] = 2.0
    endpoint_idle_s: Annotated[float, Field(gt=0, le=3600)] = 30.0
    header_s: Annotated[float, Field(gt=0, le=3600)] = DEFAULT_HEADER_S
    idle_s: Annotated[float, Field(gt=0, le=3600)] = DEFAULT_IDLE_S
    memory_mb: Annotated[int, Field(ge=96)] = 512
    max_descriptors: Annotated[int, Field(ge=64)] | None = None


class PeerTls(BaseModel):
    """Certificate files (PEM) for the connections between nodes.

    Attributes:
        certificate: Certificate of this node, used both as client and as server.
        key: Private key of the certificate.
        ca: Certificate of the authority that signed the certificates of all nodes.
    """

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)

    certificate: str
    key: str
    ca: str


class Settings(BaseModel):
    """Settings of one node.

    Attributes:
        node: Identifier of the node, unique in the deployment.
        availability_zone: Name of the availability zone of its host.
        listen: Address that serves clients, ``IP:port``.
        peer_listen: Address that serves other nodes, ``IP:port``.
        peer_address: Address under which other nodes reach ``peer_listen``; defaults to
            ``peer_listen``. Required when ``peer_listen`` is a wildcard address such as
            ``0.0.0.0``.
        peer_tls: Certificate files, or None for plain TCP between nodes.
        peers: Peer addresses of some other nodes, through which the rest is discovered.
        log: Address of the platform's log, ``IP:port``.
        hosts: Address of the platform's host list, ``IP:port``, or None.
        peer_key: Secret that all nodes of the deployment share.
        operator_keys: SHA-256 digests of the keys of operators, in hex.
        statsd: Address of the statsd daemon, ``IP:port``, or None.
        history_file: File that receives the request events, or None.
        log_level: Lowest level of log lines that are written.
        scheduler: Scheduler implementation.
        limits: Limits and timeouts.
    """

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)

    node: Name
    availability_zone: Name
    listen: Address
    peer_listen: Address
    log: Address
    peer_key: Annotated[str, Field(min_length=16)]
    peer_address: Address | None = None
    peer_tls: PeerTls | None = None
    peers: list[Address] = []
    hosts: Address | None = None
    operator_keys: list[Sha256] = []
    statsd: Address | None = None
    history_file: str | None = None
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    scheduler: Literal["brokered", "local", "naive"] = "brokered"
    limits: Limits = Limits()


def load(path: str | Path) -> Settings:
    """Read a settings file.

    Args:
        path: Path of the file.

    Returns:
        The settings.

    Raises:
        SettingsInvalid: If the file cannot be read or is invalid; details give ``line``, ``key``
            and ``allowed``.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsInvalid(f"cannot read settings file {str(path)!r}: {exc}") from exc
    return parse(text)


def parse(text: str) -> Settings:
    """Parse and validate the text of a settings file.

    Args:
        text: JSON with comments.

    Returns:
        The settings.

    Raises:
        SettingsInvalid: If the text is invalid; details give ``line``, ``key`` and ``allowed``.
    """
    try:
        document = pyjson5.decode(text)
    except pyjson5.Json5Exception as exc:
        raise _syntax_error(text, exc) from exc
    lines = _key_lines(text)
    if isinstance(document, dict):
        _check_duplicate_keys(lines)
    try:
        cfg = Settings.model_validate(document)
    except ValidationError as exc:
        raise _validation_error(lines, exc.errors(include_url=False)[0]) from exc
    _check_peer_address(cfg, dict(lines))
    return cfg


def _check_peer_address(cfg: Settings, lines: dict[str, int]) -> None:
    key = "peer_address" if cfg.peer_address else "peer_listen"
    address = cfg.peer_address or cfg.peer_listen
    if ipaddress.ip_address(address.rpartition(":")[0].strip("[]")).is_unspecified:
        raise SettingsInvalid(
            f"line {lines.get(key, 1)}: key {key!r}: other nodes cannot connect to {address!r}",
            line=lines.get(key, 1),
            key="peer_address",
            allowed="an address IP:port of one host",
        )


def _syntax_error(text: str, exc: Exception) -> SettingsInvalid:
    offset_match = re.search(r"near (\d+)", str(exc))
    position = min(int(offset_match.group(1)), len(text)) if offset_match else len(text)
    line = text.count("\n", 0, position) + 1
    reason = re.sub(r"b'(\w+)'", r"\1", str(exc.args[0]))
    return SettingsInvalid(
        f"line {line}: not JSON with comments: {reason}",
        line=line,
        key="",
        allowed="a JSON object, with // and /* */ comments",
    )


def _check_duplicate_keys(lines: list[tuple[str, int]]) -> None:
    seen: dict[str, int] = {}
    for key, line in lines:
        if key in seen:
            raise SettingsInvalid(
                f"line {line}: key {key!r} is already set in line {seen[key]}",
                line=line,
                key=key,
                allowed="each key once",
            )
        seen[key] = line


def _validation_error(lines: list[tuple[str, int]], error: Any) -> SettingsInvalid:
    path = [str(part) for part in error["loc"]]
    key = ".".join(path)
    line_by_path = dict(lines)
    known_path = list(path)
    while known_path and ".".join(known_path) not in line_by_path:
        known_path.pop()
    line = line_by_path.get(".".join(known_path), 1)
    allowed = _allowed(error, path)
    subject = f"key {key!r}" if key else "the document"
    return SettingsInvalid(
        f"line {line}: {subject}: {_reason(error)}; allowed: {allowed}",
        line=line,
        key=key,
        allowed=allowed,
    )


def _reason(error: Any) -> str:
    if error["type"] == "extra_forbidden":
        return "unknown key"
    if error["type"] == "missing":
        return "required key is missing"
    if error["loc"] and error["loc"][0] in SECRETS:
        return "the value is not accepted"
    if error["type"] == "value_error":
        return f"{error['input']!r} is not accepted: {error['ctx']['error']}"
    return f"{error['input']!r} is not accepted"


def _allowed(error: Any, path: list[str]) -> str:
    if error["type"] == "extra_forbidden":
        sections: dict[str, type[BaseModel]] = {"limits": Limits, "peer_tls": PeerTls}
        model = sections.get(path[0], Settings) if path[1:] else Settings
        return ", ".join(model.model_fields)
    if error["type"] == "value_error":
        return "an address IP:port"
    if error["type"] == "string_pattern_mismatch":
        return f"a string that matches {error['ctx']['pattern']}"
    if error["type"] == "literal_error":
        return str(error["ctx"]["expected"])
    if error["type"] == "missing":
        return "a value; the key has no default"
    return str(error["msg"]).removeprefix("Input should be ")


_TOKEN = re.compile(
    r"""
    (?P<skip>\s+ | //[^\n\r]* | \#[^\n\r]* | /\*.*?\*/)
  | (?P<string>"(?:\\.|[^"\\])*" | '(?:\\.|[^'\\])*')
  | (?P<mark>[{}\[\]:,])
  | (?P<word>[^\s{}\[\]:,"'/]+)
    """,
    re.VERBOSE | re.DOTALL,
)


def _key_lines(text: str) -> list[tuple[str, int]]:
    """Return the dotted path and line of each key and list item, in the order of the text."""
    key_lines: list[tuple[str, int]] = []
    _scan_value(_tokens(text), "", key_lines)
    return key_lines


def _tokens(text: str) -> Iterator[tuple[str, int]]:
    line = 1
    for match in _TOKEN.finditer(text):
        if match.lastgroup != "skip":
            yield match.group(), line
        line += match.group().count("\n")


def _scan_value(
    tokens: Iterator[tuple[str, int]], path: str, key_lines: list[tuple[str, int]]
) -> str:
    """Scan one value; return the token that follows it or that closes its container."""
    token, line = next(tokens, ("", 0))
    if path and token not in ("]", "}"):
        key_lines.append((path, line))
    if token == "{":
        _scan_object(tokens, path, key_lines)
    elif token == "[":
        _scan_list(tokens, path, key_lines)
    elif token in ("]", "}", ""):
        return token
    return next(tokens, ("", 0))[0]


def _scan_object(tokens: Iterator[tuple[str, int]], path: str, key_lines: list[Any]) -> None:
    separator = ","
    while separator == ",":
        key, _ = next(tokens, ("}", 0))
        if key == "}":
            return
        name = str(pyjson5.decode(key)) if key[0] in "\"'" else key
        next(tokens, None)
        separator = _scan_value(tokens, f"{path}.{name}" if path else name, key_lines)


def _scan_list(tokens: Iterator[tuple[str, int]], path: str, key_lines: list[Any]) -> None:
    separator, index = ",", 0
    while separator == ",":
        separator = _scan_value(tokens, f"{path}.{index}", key_lines)
        index += 1
