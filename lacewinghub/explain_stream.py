"""Explains from log lines at which software version a stream began, and where it went on.

What two software versions write does not fit together, so that a stream goes on only at endpoints
of the version that began it.
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .explain import LogLine

_BEGUN = "request dispatched"
_RESUMED = "request resumed"
DISPATCH_MESSAGES = frozenset((_BEGUN, _RESUMED))
_ORIGIN_FOUND = "stream origin found"
_ORIGIN_UNKNOWN = "stream origin unknown"
_ATTEMPT_FAILED = "attempt failed"
_FINISHED = "request finished"


def stream_course(lines: Sequence["LogLine"], dispatches: Sequence["LogLine"]) -> list[str]:
    """Describe where the stream of a request began, went on, and did not go on.

    Args:
        lines: Log lines of the request, oldest first.
        dispatches: Log lines of all requests with one of ``DISPATCH_MESSAGES``.

    Returns:
        Sentences; none if the lines name no software version.
    """
    course = [text for line in lines if (text := _describe(line))]
    origin = _origin(lines)
    if origin is None or not _was_interrupted(lines):
        return course
    return course + _others(lines, dispatches, origin)


def _describe(line: "LogLine") -> str:
    members = line.members
    attempt = members.get("resumes")
    stream = f"the stream of attempt {attempt}" if attempt else "a stream of an unnamed attempt"
    if line.message == _ORIGIN_FOUND:
        found = f"version {members.get('version')} (found in: {members.get('source')})"
        return f"The client continues {stream}, which began at {found}."
    if line.message == _ORIGIN_UNKNOWN:
        return f"The client continues {stream}; its origin is unknown: {members.get('reason')}."
    if line.message not in DISPATCH_MESSAGES or "version" not in members:
        return ""
    verb = "sent to" if line.message == _BEGUN else "continued at"
    return f"It was {verb} endpoint {members.get('endpoint')}, version {members['version']}."


def _origin(lines: Sequence["LogLine"]) -> str | None:
    """Return the version that began the stream: the last one before it was first continued."""
    origin: str | None = None
    for line in lines:
        if line.message == _ORIGIN_FOUND:
            return str(line.members.get("version"))
        if line.message == _RESUMED:
            break
        if line.message == _BEGUN and "version" in line.members:
            origin = str(line.members["version"])
    return origin


def _was_interrupted(lines: Sequence["LogLine"]) -> bool:
    if any(line.message == _ORIGIN_FOUND for line in lines):
        return lines[-1].message != _FINISHED
    return any(line.message.startswith(_ATTEMPT_FAILED) for line in lines)


def _others(lines: Sequence["LogLine"], dispatches: Sequence["LogLine"], origin: str) -> list[str]:
    """Describe the endpoints of its pool at which the stream did not go on."""
    pools = {line.members["pool"] for line in lines if "pool" in line.members}
    used = {line.members.get("endpoint") for line in lines if line.message in DISPATCH_MESSAGES}
    versions = {
        str(line.members.get("endpoint")): str(line.members["version"])
        for line in dispatches
        if line.members.get("pool") in pools and "version" in line.members
    }
    unused = {name: version for name, version in versions.items() if name not in used}
    foreign = [f"{name} ({unused[name]})" for name in sorted(unused) if unused[name] != origin]
    same = [name for name in sorted(unused) if unused[name] == origin]
    sentences = []
    if foreign:
        sentences.append(f"Not at endpoints of other versions: {', '.join(foreign)}.")
    if same:
        sentences.append(f"Other endpoints of version {origin} in these logs: {', '.join(same)}.")
    else:
        sentences.append(f"These logs show no other endpoint of version {origin}.")
    return sentences
