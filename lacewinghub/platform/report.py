"""Decodes the reports of runners about themselves."""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..proxyclient import Incarnation
from .registry import MAX_UNIX_MS


class _Report(BaseModel):
    """The members of a report that are used."""

    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)

    # Start of the runner, in Unix milliseconds.
    born: Annotated[int, Field(ge=1, le=MAX_UNIX_MS)]
    # Rows that begin with the id of a request.
    runs: list[list[Any]]


def decode_report(data: bytes) -> Incarnation | None:
    """Decode the report of a runner.

    Args:
        data: JSON as the runner wrote it.

    Returns:
        Its incarnation, or None if the report does not state it.
    """
    try:
        report = _Report.model_validate_json(data)
    except ValidationError:
        return None
    ids = [row[0] for row in report.runs if row]
    if not all(isinstance(item, str) for item in ids):
        return None  # Which requests it executes is unknown.
    return Incarnation(report.born / 1000, frozenset(ids))
