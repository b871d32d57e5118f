"""Errors about malformed tables."""

from pydantic import ValidationError

from .errors import TablesInvalid


def tables_invalid(exc: ValidationError, *place: str, start: int = 0) -> TablesInvalid:
    """Convert the first error that pydantic reported.

    Args:
        exc: Errors reported by pydantic.
        place: Path of the validated value within the tables.
        start: Index, within its table, of the first entry of a validated list.

    Returns:
        The error, whose details give ``place``.
    """
    first = exc.errors(include_url=False)[0]
    loc = list(first["loc"])
    if start:
        loc[0] = start + int(loc[0])
    path = ".".join([*place, *(str(part) for part in loc)]) or "document"
    return TablesInvalid(f"{path}: {first['msg']}", place=path)
