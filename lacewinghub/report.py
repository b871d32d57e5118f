"""Service-level burn by class over several windows.

The burn rate of a window is its share of bad requests divided by the share that the objective
allows: at 1 the error budget lasts exactly one period, at 14.4 a thirty-day budget loses 2% within
an hour. An alert needs a long and a short window above its limit, so that it starts soon and ends
soon. The pairs and limits are those of the Site Reliability Workbook, chapter 5.
"""

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, TextIO

from .errors import BadRequest, HistoryInvalid
from .history import Event, EventKind
from .service_level import RequestCount, ServiceLevels

DAY_S = 86_400.0
PERIOD_S = 30 * DAY_S
DEFAULT_OBJECTIVE = 0.99
WINDOWS_S = (300.0, 1_800.0, 3_600.0, 21_600.0, DAY_S, 3 * DAY_S)
MIN_TABLE_COLUMNS = 124
# Counts of a history file are kept in buckets of one second.
FILE_RESOLUTIONS = ((1.0, 3 * DAY_S),)


@dataclass(frozen=True, slots=True)
class AlertRule:
    """Fires when both windows burn faster than ``limit``; lengths in seconds."""

    severity: str
    long_s: float
    short_s: float
    limit: float


ALERTS = (
    AlertRule("page", 3_600.0, 300.0, 14.4),
    AlertRule("page", 21_600.0, 1_800.0, 6.0),
    AlertRule("ticket", DAY_S, 7_200.0, 3.0),
    AlertRule("ticket", 3 * DAY_S, 21_600.0, 1.0),
)


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Burn of one window; ``length_s`` in seconds."""

    length_s: float
    requests: int
    bad: int
    burn: float


@dataclass(frozen=True, slots=True)
class ClassReport:
    """Service level of one class.

    Attributes:
        name: Class.
        objective: Wanted share of good requests.
        requests: Requests in the whole history.
        attainment: Share of good requests in the whole history.
        windows: Burn of each window, shortest first.
        budget_left: Share of the period's error budget that is left; negative if overspent.
        runs_out_s: Time until the budget is spent at the burn of the last hour, in seconds; None
            if the class does not burn, 0 if it is spent.
        alert: ``page``, ``ticket`` or empty.
    """

    name: str
    objective: float
    requests: int
    attainment: float
    windows: list[WindowBurn]
    budget_left: float
    runs_out_s: float | None
    alert: str


@dataclass(frozen=True, slots=True)
class Objectives:
    """Wanted share of good requests by class, with a default for the others."""

    default: float = DEFAULT_OBJECTIVE
    by_class: tuple[tuple[str, float], ...] = ()

    def for_class(self, name: str) -> float:
        """Return the objective of a class."""
        return dict(self.by_class).get(name, self.default)


def parse_objectives(text: str) -> Objectives:
    """Read objectives from an option.

    Args:
        text: ``0.99`` for all classes, or ``0.99,quote=0.999,draft=0.95``.

    Returns:
        The objectives.

    Raises:
        BadRequest: If a part is not a share above 0 and below 1.
    """
    default = DEFAULT_OBJECTIVE
    by_class = []
    for part in str(text).split(","):
        name, separator, value = part.strip().rpartition("=")
        try:
            share = float(value)
        except ValueError:
            share = 0.0
        if not 0 < share < 1:
            raise BadRequest(f"objective {part.strip()!r} is not a share above 0 and below 1")
        if separator:
            by_class.append((name, share))
        else:
            default = share
    return Objectives(default, tuple(by_class))


def read_history(lines: Iterable[str], levels: ServiceLevels, name: str = "history") -> int:
    """Count the events of a history file.

    A line that was cut off at the end of the file, as a killed node leaves it, is ignored.

    Args:
        lines: JSON lines.
        levels: Receives the counts.
        name: Name of the file, for errors.

    Returns:
        Number of events.

    Raises:
        HistoryInvalid: If another line is not an event.
    """
    problem: HistoryInvalid | None = None
    number = 0
    for number, line in enumerate(lines, 1):
        if problem is not None:
            raise problem
        if not line.strip():
            continue
        try:
            data = json.loads(line)
            levels.count_event(Event(**{**data, "kind": EventKind(data["kind"])}))
        except (ValueError, TypeError, KeyError) as exc:
            problem = HistoryInvalid(f"line {number} of {name} is not an event: {exc}", line=number)
    return number


def read_files(paths: Iterable[str]) -> ServiceLevels:
    """Count the events of several nodes' history files.

    Raises:
        HistoryInvalid: If a file cannot be read or holds something else.
    """
    levels = ServiceLevels(FILE_RESOLUTIONS)
    for path in paths:
        try:
            with Path(path).open(encoding="utf-8") as file:
                read_history(file, levels, path)
        except (OSError, UnicodeDecodeError) as exc:
            raise HistoryInvalid(f"history file {path!r} cannot be read: {exc}", file=path) from exc
    return levels


def build(
    levels: ServiceLevels,
    objectives: Objectives | None = None,
    windows_s: Iterable[float] = WINDOWS_S,
    period_s: float = PERIOD_S,
    now: float | None = None,
) -> list[ClassReport]:
    """Compute the report.

    Args:
        levels: Counts.
        objectives: Wanted share of good requests.
        windows_s: Lengths of the windows to show, in seconds.
        period_s: Length of the budget period, in seconds.
        now: End of all windows, in wall time; the last event if None.

    Returns:
        One entry per class, in alphabetical order.
    """
    wanted = objectives or Objectives()
    # The last event itself lies inside the windows.
    end = now if now is not None else levels.last + 1e-3
    return [
        _class_report(levels, name, wanted.for_class(name), sorted(windows_s), period_s, end)
        for name in levels.classes
    ]


def _class_report(
    levels: ServiceLevels,
    name: str,
    objective: float,
    windows_s: list[float],
    period_s: float,
    end: float,
) -> ClassReport:
    allowed = 1 - objective
    total = levels.total(name)
    windows = []
    for length_s in windows_s:
        count = levels.window(name, end, length_s)
        windows.append(WindowBurn(length_s, count.total, count.bad, count.bad_share / allowed))
    left = _budget_left(total, levels, allowed, period_s)
    hourly = levels.window(name, end, 3_600.0).bad_share / allowed
    return ClassReport(
        name=name,
        objective=objective,
        requests=total.total,
        attainment=1 - total.bad_share,
        windows=windows,
        budget_left=left,
        runs_out_s=_runs_out(left, hourly, period_s),
        alert=_alert(levels, name, allowed, end),
    )


def _budget_left(
    total: RequestCount, levels: ServiceLevels, allowed: float, period_s: float
) -> float:
    """Budget of the whole period at the observed request rate, less what was spent."""
    covered_s = max(levels.last - levels.first, 1.0)
    expected = total.total * max(1.0, period_s / covered_s)
    return 1 - total.bad / (expected * allowed) if expected else 1.0


def _runs_out(left: float, burn: float, period_s: float) -> float | None:
    if left <= 0:
        return 0.0
    return left * period_s / burn if burn > 0 else None


def _alert(levels: ServiceLevels, name: str, allowed: float, end: float) -> str:
    for rule in ALERTS:
        pair = (rule.long_s, rule.short_s)
        burns = [levels.window(name, end, length_s).bad_share / allowed for length_s in pair]
        if min(burns) > rule.limit:
            return rule.severity
    return ""


def to_json(reports: list[ClassReport]) -> dict[str, Any]:
    """Return the report as one JSON object."""
    return {"classes": {item.name: asdict(item) for item in reports}}


def print_table(reports: list[ClassReport], out: TextIO | None = None) -> None:
    """Print the report as a table.

    Args:
        reports: The classes.
        out: Text stream; standard output if None.
    """
    from rich import box
    from rich.console import Console
    from rich.table import Table

    table = Table(
        box=box.SIMPLE_HEAD,
        pad_edge=False,
        title="Service-level burn by class (1.0 spends the budget in one period)",
    )
    table.add_column("class")
    for title in ("objective", "requests", "attained"):
        table.add_column(title, justify="right")
    for window in reports[0].windows if reports else []:
        table.add_column(duration(window.length_s), justify="right")
    for title in ("budget left", "runs out"):
        table.add_column(title, justify="right")
    table.add_column("alert")
    for item in reports:
        table.add_row(
            item.name,
            f"{item.objective:.2%}",
            str(item.requests),
            f"{item.attainment:.2%}",
            *(f"{window.burn:.1f}" if window.requests else "-" for window in item.windows),
            f"{item.budget_left:.1%}",
            runs_out(item),
            item.alert or "-",
        )
    console = Console(file=out)
    # Narrower columns would cut the figures; a narrow terminal wraps the lines instead.
    console.width = max(console.width, MIN_TABLE_COLUMNS)
    console.print(table)


def runs_out(item: ClassReport) -> str:
    """Say when the budget of a class is spent."""
    if item.runs_out_s is None:
        return "never"
    return f"in {duration(item.runs_out_s)}" if item.runs_out_s > 0 else "spent"


def duration(seconds: float) -> str:
    """Write a duration with one unit, for example ``90 s`` as ``1.5m``."""
    for unit, length_s in (("d", DAY_S), ("h", 3_600.0), ("m", 60.0)):
        if seconds >= length_s:
            return f"{seconds / length_s:.1f}".rstrip("0").rstrip(".") + unit
    return f"{seconds:.1f}".rstrip("0").rstrip(".") + "s"


def parse_duration(text: str) -> float:
    """Read a duration such as ``30s``, ``5m``, ``1h`` or ``3d``.

    Returns:
        Seconds.

    Raises:
        BadRequest: If it has another form.
    """
    units = {"s": 1.0, "m": 60.0, "h": 3_600.0, "d": DAY_S}
    value, unit = str(text).strip()[:-1], str(text).strip()[-1:]
    try:
        seconds = float(value) * units[unit]
    except (KeyError, ValueError):
        seconds = 0.0
    if not seconds > 0:
        raise BadRequest(f"duration {text!r} is not a number with s, m, h or d, such as 5m")
    return seconds
