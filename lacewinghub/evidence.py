"""Records of one run: histories of the nodes, calls as callers saw them, ledgers of services.

All times are wall times of one clock, in seconds since the epoch.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter, ValidationError

from .errors import ExecutionStatus, HistoryInvalid
from .history import Event, EventKind


class CallEnd(StrEnum):
    """How a call ended for its caller."""

    FINISHED = "finished"
    ERROR = "error"
    BROKEN = "broken"
    NOT_CONNECTED = "not_connected"
    LEFT = "left"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class CallRecord:
    """What one caller saw of one request.

    Attributes:
        sent: When the request was sent.
        ended: When its answer, error or connection ended.
        end: How it ended; ``finished`` needs the end mark of the answer, ``silent`` is an answer
            that ended without end mark and error.
        node: Node that the caller addressed.
        request: Request identifier from the answer, if known.
        key: Idempotency key, or empty.
        code: Error code.
        run: What the error said about the execution.
        answer: Text or JSON text of the answer that was received.
        expected: What the endpoint generates for this request.
    """

    sent: float
    ended: float
    end: CallEnd
    node: str = ""
    request: str = ""
    key: str = ""
    code: str = ""
    run: ExecutionStatus = ExecutionStatus.NONE
    answer: str = ""
    expected: str = ""


@dataclass(frozen=True, slots=True)
class Execution:
    """One entry of the ledger of a service."""

    key: str
    time: float
    endpoint: str = ""


@dataclass(slots=True)
class Evidence:
    """Everything that was recorded in one run."""

    events: list[Event] = field(default_factory=list)
    calls: list[CallRecord] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)

    def events_of(self, *kinds: EventKind) -> Iterator[Event]:
        """Iterate over the events of some kinds, in order of time."""
        return (event for event in self.events if event.kind in kinds)


_EVENT, _CALL, _EXECUTION = TypeAdapter(Event), TypeAdapter(CallRecord), TypeAdapter(Execution)


def read_records(paths: Iterable[str | Path]) -> Evidence:
    """Read JSON-lines files of events (``kind``), calls (``sent``) and executions (the others).

    The last line of a file may be cut off, as a killed process leaves it.

    Args:
        paths: Files in any order.

    Returns:
        The evidence.

    Raises:
        HistoryInvalid: If a line is not a valid record; details give file and line.
    """
    evidence = Evidence()
    for path in paths:
        text = Path(path).read_text(encoding="utf-8")
        lines = text.split("\n")
        for number, line in enumerate(lines[:-1], 1):
            if line:
                _take(evidence, line, str(path), number)
    return evidence


def write_records(path: str | Path, records: Iterable[CallRecord | Execution | Event]) -> None:
    """Append records to a JSON-lines file that ``read_records`` accepts."""
    with open(path, "a", encoding="utf-8") as out:
        out.writelines(json.dumps(asdict(record)) + "\n" for record in records)


def _take(evidence: Evidence, line: str, path: str, number: int) -> None:
    try:
        record: Any = json.loads(line)
        if "kind" in record:
            evidence.events.append(_EVENT.validate_python(record))
        elif "sent" in record:
            evidence.calls.append(_CALL.validate_python(record))
        else:
            evidence.executions.append(_EXECUTION.validate_python(record))
    except (ValueError, TypeError, ValidationError) as exc:
        raise HistoryInvalid(f"{path}:{number}: {exc}", file=path, line=number) from exc
