"""The burn report as one HTML page with plots."""

import html
import io
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from .errors import BadRequest
from .report import ClassReport, duration, runs_out
from .service_level import ServiceLevels

MAX_POINTS = 60
FIGURE_INCHES = (9.0, 3.2)

_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem }
table { border-collapse: collapse } th, td { padding: .25rem .7rem; text-align: right }
th:first-child, td:first-child { text-align: left } tr:nth-child(even) { background: #f3f5f7 }
.page { color: #b00020; font-weight: 600 } .ticket { color: #9a6700; font-weight: 600 }
svg { max-width: 100%; height: auto }
"""


def write_page(
    path: str, reports: list[ClassReport], levels: ServiceLevels, source: str = ""
) -> None:
    """Write the page.

    Args:
        path: File to write.
        reports: The classes.
        levels: Counts that the plots show over time.
        source: Where the counts come from, for the heading.

    Raises:
        BadRequest: If the file cannot be written.
    """
    try:
        Path(path).write_text(render(reports, levels, source), encoding="utf-8")
    except OSError as exc:
        raise BadRequest(f"page {path!r} cannot be written: {exc}") from exc


def render(reports: list[ClassReport], levels: ServiceLevels, source: str = "") -> str:
    """Return the page as text; it loads nothing from elsewhere."""
    begin, end = (_time(value) for value in (levels.first, levels.last))
    plots = "".join(
        f"<h2>{title}</h2>{_figure(draw, reports, levels)}"
        for title, draw in (
            ("Attainment over time", _attainment),
            ("Burn rate by window", _burn),
            ("Error budget spent over time", _budget),
        )
    )
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>Service-level burn</title><style>{_STYLE}</style></head><body>"
        f"<h1>Service-level burn by class</h1><p>{html.escape(source)} {begin} to {end}. "
        "A burn rate of 1 spends the error budget in exactly one period.</p>"
        f"{_table(reports)}{plots}</body></html>\n"
    )


def _time(value: float) -> str:
    return datetime.fromtimestamp(value, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")


def _table(reports: list[ClassReport]) -> str:
    windows = [duration(item.length_s) for item in reports[0].windows] if reports else []
    heads = ["class", "objective", "requests", "attained", *windows, "budget left", "runs out"]
    rows = []
    for item in reports:
        cells = [
            html.escape(item.name),
            f"{item.objective:.2%}",
            str(item.requests),
            f"{item.attainment:.2%}",
            *(f"{window.burn:.1f}" if window.requests else "-" for window in item.windows),
            f"{item.budget_left:.1%}",
            runs_out(item),
        ]
        row = "".join(f"<td>{cell}</td>" for cell in cells)
        rows.append(f'<tr>{row}<td class="{item.alert}">{item.alert or "-"}</td></tr>')
    head = "".join(f"<th>{cell}</th>" for cell in [*heads, "alert"])
    return f"<table><tr>{head}</tr>{''.join(rows)}</table>"


Draw = Callable[[Any, list[ClassReport], ServiceLevels], None]


def _figure(draw: Draw, reports: list[ClassReport], levels: ServiceLevels) -> str:
    # The figure is used without pyplot, which would keep it alive and choose a display.
    try:
        from matplotlib.figure import Figure
    except ImportError as exc:
        raise BadRequest("plots need matplotlib, which the single file leaves out") from exc

    figure = Figure(figsize=FIGURE_INCHES, layout="constrained")
    axes = figure.subplots()
    draw(axes, reports, levels)
    axes.grid(alpha=0.3)
    if reports:
        axes.legend(fontsize="small", loc="best")
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _attainment(axes: Any, reports: list[ClassReport], levels: ServiceLevels) -> None:
    for item in reports:
        points = _points(levels, item.name)
        times = [time for time, good, bad in points if good + bad]
        shares = [good / (good + bad) for _, good, bad in points if good + bad]
        axes.plot(times, shares, label=item.name, marker=".", linewidth=1)
    axes.set_ylim(-0.02, 1.02)
    axes.set_xlabel("seconds since the first request")
    axes.set_ylabel("share of good requests")


def _burn(axes: Any, reports: list[ClassReport], levels: ServiceLevels) -> None:
    count = max(len(reports), 1)
    for number, item in enumerate(reports):
        places = [place + (number - count / 2) * 0.8 / count for place in range(len(item.windows))]
        burns = [window.burn for window in item.windows]
        axes.bar(places, burns, width=0.8 / count, align="edge", label=item.name)
    if reports:
        names = [duration(window.length_s) for window in reports[0].windows]
        axes.set_xticks(range(len(names)), names)
    axes.axhline(1.0, color="black", linewidth=1, linestyle="--")
    axes.set_ylabel("burn rate")


def _budget(axes: Any, reports: list[ClassReport], levels: ServiceLevels) -> None:
    for item in reports:
        points = _points(levels, item.name)
        bad_total = sum(bad for _, _, bad in points)
        spent, total = [], 0
        for _, _, bad in points:
            total += bad
            spent.append((1 - item.budget_left) * total / bad_total if bad_total else 0.0)
        axes.plot([time for time, _, _ in points], spent, label=item.name, drawstyle="steps-post")
    axes.set_xlabel("seconds since the first request")
    axes.set_ylabel("share of the budget")


def _points(levels: ServiceLevels, name: str) -> list[tuple[float, int, int]]:
    """Sum the counts into at most ``MAX_POINTS`` points of (seconds, good, bad)."""
    series = levels.finest()
    length_s = max(levels.last - levels.first, series.bucket_s)
    step = max(1, round(length_s / series.bucket_s / MAX_POINTS))
    sums: dict[int, list[int]] = {}
    for number, count in series.counts.get(name, {}).items():
        point = sums.setdefault(number // step, [0, 0])
        point[0] += count.good
        point[1] += count.bad
    begin = int(levels.first // series.bucket_s) // step
    return [
        ((number - begin) * step * series.bucket_s, good, bad)
        for number, (good, bad) in sorted(sums.items())
    ]
