"""Decodes the records with which runners announce themselves."""

from typing import Annotated, Literal

from loguru import logger
from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from ..directory import Announcement, EndpointDirectory
from ..follower import KeyedRecord, KeyedSink
from ..tables import Address, Endpoint, Name

MAX_SLOTS = 2**31
MAX_UNIX_MS = 2**53
MAX_LEAVES_MS = 24 * 3600 * 1000
MAX_VERSION_CHARS = 200
# Begins the versions of runners that state none; a runner cannot state one that begins like this.
UNSTATED_PREFIX = "unstated:"


def _stated_version(value: object) -> str:
    """Return the software version that a record states; empty if that is none."""
    if not isinstance(value, str) or len(value) > MAX_VERSION_CHARS:
        return ""
    return "" if value.startswith(UNSTATED_PREFIX) else value


class _Record(BaseModel):
    """The value of a record, whose key is the id of the runner."""

    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)

    service: Name
    address: Address
    zone: Name
    slots: Annotated[int, Field(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    # Version of its software.
    version: Annotated[str, BeforeValidator(_stated_version)] = ""
    # Start of the runner, in Unix milliseconds.
    born: Annotated[int, Field(ge=0, le=MAX_UNIX_MS)] = 0
    # True for a runner that costs less and may be reclaimed.
    spot: bool = False
    # Time until a leaving runner ends.
    leaves_ms: Annotated[float, Field(ge=0, le=MAX_LEAVES_MS, strict=False)] | None = None


def decode(key: str, data: bytes) -> Announcement | None:
    """Decode a record.

    Args:
        key: Id of the runner.
        data: JSON as the runner wrote it.

    Returns:
        The announcement, or None if the record is malformed.
    """
    try:
        record = _Record.model_validate_json(data)
    except ValidationError as exc:
        first = exc.errors(include_url=False, include_input=False)[0]
        place = ".".join(str(part) for part in first["loc"])
        logger.bind(endpoint=key).warning("record names no runner: {}: {}", place, first["msg"])
        return None
    return Announcement(
        Endpoint(
            key,
            record.address,
            record.zone,
            record.slots,
            # No other runner has a version that is not stated, so that no stream goes on there.
            version=record.version or f"{UNSTATED_PREFIX}{key}:{record.born}",
        ),
        record.service,
        record.state == "draining",
        record.born / 1000,
        record.spot,
        None if record.leaves_ms is None else record.leaves_ms / 1000,
    )


def announcement_of(record: KeyedRecord) -> Announcement | None:
    """Return the announcement of a record; a runner that renews its record repeats it."""
    return decode(record.key, record.value) if record.value is not None else None


class RunnerRegistry(KeyedSink):
    """Updates a directory of endpoints from the records of the runners.

    Args:
        directory: Receives the announcements.
    """

    def __init__(self, directory: EndpointDirectory) -> None:
        self._directory = directory

    def replace_all(self, records: list[KeyedRecord]) -> None:
        """Replace all announcements by those of the records."""
        for record in records:
            self.apply_record(record)
        self._directory.retain(item.key for item in records if item.value is not None)

    def apply_record(self, record: KeyedRecord) -> None:
        """Apply one record; a deletion or a malformed record withdraws the runner."""
        announcement = announcement_of(record)
        if announcement is None:
            self._directory.withdraw(record.key)
        else:
            self._directory.announce(announcement)

    def on_topic_lost(self) -> None:
        """Record that the topic cannot be read."""
        self._directory.source_lost()

    def on_topic_restored(self) -> None:
        """Record that the topic can be read again."""
        self._directory.source_returned()

    def on_topic_rewound(self) -> None:
        """Record that the records come from an older copy."""
        self._directory.source_rewound()
