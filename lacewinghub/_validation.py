"""Errors of tables that do not have the published form."""

from pydantic import ValidationError

from .errors import TablesInvalid


def tables_invalid(exc: ValidationError, *place: str, start: int = 0) -> TablesInvalid:
    """Describe the first fault that pydantic found.

    Args:
        exc: The faults.
        place: Where in the tables the checked value stands.
        start: Index in its table of the first entry of a checked list.

    Returns:
        The error, which names the place.
    """
    first = exc.errors(include_url=False)[0]
    loc = list(first["loc"])
    if start:
        loc[0] = start + int(loc[0])
    where = ".".join([*place, *(str(part) for part in loc)]) or "document"
    return TablesInvalid(f"{where}: {first['msg']}", place=where)
