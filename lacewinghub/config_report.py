"""Prints the result of the check of a configuration, for people or as JSON."""

import json
from dataclasses import asdict
from typing import Any

from .config_check import Change, Finding, Severity, find_changes, find_problems
from .errors import TablesInvalid
from .platform.config import decode


def print_report(
    path: str, document: dict[str, Any], before: dict[str, Any] | None, as_json: bool
) -> None:
    """Check a configuration and print what was found.

    Args:
        path: File that holds it.
        document: The configuration.
        before: The configuration in force, or None not to compare them.
        as_json: Print one JSON object.

    Raises:
        TablesInvalid: If it has errors; warnings and changes are printed only.
    """
    invalid: list[TablesInvalid] = []
    config = decode(json.dumps(document).encode(), invalid)
    found = [_invalid_entry(exc) for exc in invalid] + find_problems(config)
    changes: list[Change] = []
    if before is not None:
        changes = find_changes(decode(json.dumps(before).encode(), []), config)
    if as_json:
        summary = {
            "file": path,
            "kind": "configuration",
            "version": config.version,
            "findings": [asdict(item) for item in found],
            "changes": [asdict(item) for item in changes],
        }
        print(json.dumps(summary, default=str))
    else:
        print("\n".join(_lines(path, config.version, found, changes)))
    errors = sum(item.severity is Severity.ERROR for item in found)
    if errors:
        raise TablesInvalid(f"{path}: {errors} errors", place="document")


def _invalid_entry(exc: TablesInvalid) -> Finding:
    return Finding(Severity.ERROR, "invalid_entry", str(exc.details.get("place")), exc.message)


def _lines(path: str, version: int, found: list[Finding], changes: list[Change]) -> list[str]:
    lines = [f"{path}: configuration, version {version}"]
    lines += [f"{item.severity} {item.place}: {item.message} [{item.code}]" for item in found]
    for change in changes:
        lines.append(f"{change.kind} {change.place}".strip())
        lines += [f"    {key}: {old} -> {new}" for key, (old, new) in change.fields.items()]
    return lines if found or changes else [f"{lines[0]} is valid"]
