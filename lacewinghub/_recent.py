"""Bounded maps that keep their newest entries."""

from typing import TypeVar

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")


def remember(values: dict[KeyT, ValueT], key: KeyT, value: ValueT, limit: int) -> None:
    """Set a value as the newest one, and forget the oldest if there are more than ``limit``."""
    values.pop(key, None)
    values[key] = value
    if len(values) > limit:
        del values[next(iter(values))]
