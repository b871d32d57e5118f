"""Settings of a node: JSON with comments, checked with pydantic."""

import ipaddress
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import pyjson5
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .errors import SettingsInvalid
from .gateway import DEFAULT_BODY_BYTES
from .tables import Address, Name, Sha256

# Keys whose values never appear in error messages.
SECRETS = ("peer_key",)


class Limits(BaseModel):
    """Limits of a node.

    Attributes:
        body_bytes: Largest size of a caller's body, in bytes.
        grace_s: How long a stopping node keeps taking requests after ``/readyz`` tells the load
            balancer, in seconds.
        connect_s: Longest wait for a connection to an endpoint, in seconds.
        endpoint_idle_s: Longest pause of an endpoint within an answer, in seconds.
    """

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)

    body_bytes: Annotated[int, Field(ge=1024, le=256 * 1024 * 1024)] = DEFAULT_BODY_BYTES
    grace_s: Annotated[float, Field(ge=0, le=3600)] = 5.0
    connect_s: Annotated[float, Field(gt=0, le=60)] = 2.0
    endpoint_idle_s: Annotated[float, Field(gt=0, le=3600)] = 30.0


class PeerTls(BaseModel):
    """Certificate files in PEM format for the connections between nodes.

    Attributes:
        certificate: Certificate of this node, for both sides of a connection.
        key: Its private key.
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
        listen: Address for callers, ``IP:port``.
        peer_listen: Address for other nodes, ``IP:port``.
        peer_address: Address under which other nodes reach ``peer_listen``; by default the same.
            It is required when ``peer_listen`` names no single host, as ``0.0.0.0`` does.
        peer_tls: Certificate files, or None for plain TCP between nodes.
        peers: Peer addresses of some other nodes, to find the rest.
        log: Address of the platform's log, ``IP:port``.
        hosts: Address of the platform's host list, ``IP:port``, or None.
        peer_key: Secret that all nodes of the deployment share.
        operator_keys: SHA-256 digests of operators' keys, in hex.
        statsd: Address of the statsd daemon, ``IP:port``, or None.
        history_file: File to which events of requests are written, or None.
        log_level: Lowest level of log lines.
        scheduler: Version of the scheduler.
        limits: Limits.
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
        SettingsInvalid: If the file cannot be read or is wrong; details give ``line``, ``key`` and
            ``allowed``.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsInvalid(f"cannot read settings file {str(path)!r}: {exc}") from exc
    return parse(text)


def parse(text: str) -> Settings:
    """Check the text of a settings file.

    Args:
        text: JSON with comments.

    Returns:
        The settings.

    Raises:
        SettingsInvalid: If the text is wrong; details give ``line``, ``key`` and ``allowed``.
    """
    try:
        document = pyjson5.decode(text)
    except pyjson5.Json5Exception as exc:
        raise _syntax_error(text, exc) from exc
    lines = _lines_of_keys(text)
    if isinstance(document, dict):
        _check_repeated(lines)
    try:
        cfg = Settings.model_validate(document)
    except ValidationError as exc:
        raise _invalid(lines, exc.errors(include_url=False)[0]) from exc
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
    found = re.search(r"near (\d+)", str(exc))
    position = min(int(found.group(1)), len(text)) if found else len(text)
    line = text.count("\n", 0, position) + 1
    reason = re.sub(r"b'(\w+)'", r"\1", str(exc.args[0]))
    return SettingsInvalid(
        f"line {line}: not JSON with comments: {reason}",
        line=line,
        key="",
        allowed="a JSON object, with // and /* */ comments",
    )


def _check_repeated(lines: list[tuple[str, int]]) -> None:
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


def _invalid(lines: list[tuple[str, int]], error: Any) -> SettingsInvalid:
    place = [str(part) for part in error["loc"]]
    key = ".".join(place)
    known = dict(lines)
    wanted = list(place)
    while wanted and ".".join(wanted) not in known:
        wanted.pop()
    line = known.get(".".join(wanted), 1)
    allowed = _allowed(error, place)
    what = f"key {key!r}" if key else "the document"
    return SettingsInvalid(
        f"line {line}: {what}: {_reason(error)}; allowed: {allowed}",
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


def _allowed(error: Any, place: list[str]) -> str:
    if error["type"] == "extra_forbidden":
        sections: dict[str, type[BaseModel]] = {"limits": Limits, "peer_tls": PeerTls}
        model = sections.get(place[0], Settings) if place[1:] else Settings
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


def _lines_of_keys(text: str) -> list[tuple[str, int]]:
    """Return the dotted path and the line of each key and list item, in the order of the text."""
    found: list[tuple[str, int]] = []
    _scan_value(_tokens(text), "", found)
    return found


def _tokens(text: str) -> Iterator[tuple[str, int]]:
    line = 1
    for match in _TOKEN.finditer(text):
        if match.lastgroup != "skip":
            yield match.group(), line
        line += match.group().count("\n")


def _scan_value(tokens: Iterator[tuple[str, int]], path: str, found: list[tuple[str, int]]) -> str:
    """Read one value and return the mark that follows it, or that closes its container."""
    token, line = next(tokens, ("", 0))
    if path and token not in ("]", "}"):
        found.append((path, line))
    if token == "{":
        _scan_object(tokens, path, found)
    elif token == "[":
        _scan_list(tokens, path, found)
    elif token in ("]", "}", ""):
        return token
    return next(tokens, ("", 0))[0]


def _scan_object(tokens: Iterator[tuple[str, int]], path: str, found: list[Any]) -> None:
    mark = ","
    while mark == ",":
        key, _ = next(tokens, ("}", 0))
        if key == "}":
            return
        name = str(pyjson5.decode(key)) if key[0] in "\"'" else key
        next(tokens, None)
        mark = _scan_value(tokens, f"{path}.{name}" if path else name, found)


def _scan_list(tokens: Iterator[tuple[str, int]], path: str, found: list[Any]) -> None:
    mark, index = ",", 0
    while mark == ",":
        mark = _scan_value(tokens, f"{path}.{index}", found)
        index += 1
