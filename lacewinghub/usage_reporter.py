"""Reports the usage of the workspaces to the platform, at the node that holds the duty.

A window is reported in three steps: its counts are decided, the decision is committed to the log
under the lease, and only then is it sent, with the same bytes until the platform accepts it. A
holder that takes over finds the decision and repeats it, so that no window has two sets of counts.
Until a window is decided, a checkpoint of its counts by node is written with each renewal.
"""

import asyncio
import json
import random
import zlib
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from loguru import logger

from ._backoff import Backoff
from .control_api import CallOutcome, ControlApi, UsageReport
from .duties import DutyHolder, DutyRecords, LeaseTaken, NodeReports, ReceivedReport
from .message import LeaderReport, WindowUsage
from .nodelist import MALFORMED_RECORD
from .usage import SEND_S, UsageSettings, WindowClock

STEP_S = 0.1
# With this many reports of the last seconds, a window must have ended for half of them, so that a
# holder whose wall clock is ahead does not decide windows that go on.
MEDIAN_REPORTS = 3
FRESH_S = 2.0
# The last reports of nodes that stop are on their way when a window ends.
MIN_WAIT_S = 1.0
# Time in which the nodes find a new holder, if they can reach it.
ALL_FIND_HOLDER_S = 4.0
# A holder that takes over when a report is almost due waits for the nodes to find it.
FIND_HOLDER_S = 1.5
# A holder that waits for a node decides this long before a new holder has to, so that another one
# can still take over.
SPARE_S = 1.5
# A report that is refused this often for a reason that no repetition cures is given up, since the
# windows after it wait for it.
MAX_REFUSALS = 2
RETRY_MIN_S = 0.5
RETRY_MAX_S = 2.0
DECISION_KEY = "usage"
# A checkpoint is divided into records of at most this size before compression. The log accepts
# records of 262,144 bytes, and compression never adds more than a few bytes in a thousand.
MAX_PART_BYTES = 200_000
_MALFORMED = (*MALFORMED_RECORD, AttributeError, zlib.error)


@dataclass(frozen=True, slots=True)
class Decision:
    """The counts of a window, which never change.

    Attributes:
        window: The window; no earlier one is decided any more.
        counts: Requests by workspace.
        sent: True once the platform has accepted them, or if they are not to be sent.
    """

    window: int
    counts: Mapping[str, int]
    sent: bool = False


@dataclass(slots=True)
class UsageTable:
    """Counts by window, incarnation of a node, and workspace."""

    _windows: dict[int, dict[tuple[str, int], dict[str, int]]] = field(default_factory=dict)

    @property
    def windows(self) -> Iterable[int]:
        """Windows with counts."""
        return self._windows.keys()

    def add(self, node: str, incarnation: int, usage: WindowUsage) -> None:
        """Merge counts of one incarnation, which only grow, so that the largest one is newest."""
        nodes = self._windows.setdefault(usage.window, {})
        counts = nodes.setdefault((node, incarnation), {})
        for workspace, requests in usage.requests.items():
            counts[workspace] = max(requests, counts.get(workspace, 0))

    def keep(self, first: int, last: int) -> None:
        """Forget the windows outside a range."""
        for window in [item for item in self._windows if not first <= item <= last]:
            del self._windows[window]

    def total(self, window: int) -> dict[str, int]:
        """Return the counts of a window by workspace."""
        total: dict[str, int] = {}
        for counts in self._windows.get(window, {}).values():
            for workspace, requests in counts.items():
                total[workspace] = total.get(workspace, 0) + requests
        return dict(sorted(total.items()))

    def encode(self) -> list[bytes]:
        """Return the table in parts of bounded size."""
        parts: list[bytes] = []
        rows: list[str] = []
        size = 0
        for row in self._rows():
            if rows and size + len(row) > MAX_PART_BYTES:
                parts.append(_compress(rows))
                rows, size = [], 0
            rows.append(row)
            size += len(row) + 1
        return [*parts, _compress(rows)] if rows else parts

    def decode(self, part: bytes) -> None:
        """Merge a part of an encoded table.

        Raises:
            ValueError: Or a similar error, if it is malformed.
        """
        for window, node, incarnation, counts in json.loads(zlib.decompress(part)):
            usage = {name: int(count) for name, count in counts.items()}
            self.add(node, incarnation, WindowUsage(int(window), usage))

    def _rows(self) -> Iterator[str]:
        for window, nodes in self._windows.items():
            for (node, incarnation), counts in nodes.items():
                yield json.dumps([window, node, incarnation, counts], separators=(",", ":"))


@dataclass(frozen=True, slots=True)
class WindowProgress:
    """What a holder knows when it could decide a window.

    Attributes:
        ended_s: Time since the end of the window, in seconds; negative before it.
        held_s: Time since this node took the lease, in seconds.
        final_nodes: Number of nodes whose counts of the window are final, of those expected.
        expected_nodes: Number of nodes that are alive or may only be cut off.
    """

    ended_s: float
    held_s: float
    final_nodes: int
    expected_nodes: int


def is_decidable(progress: WindowProgress, late_s: float) -> bool:
    """Return whether the counts of a window are as good as they will be in time.

    Args:
        progress: The window and the reports received.
        late_s: Time after the end of the window at which its report is due, in seconds.
    """
    if progress.ended_s < MIN_WAIT_S:
        return False
    is_new = progress.held_s < FIND_HOLDER_S
    if progress.final_nodes >= progress.expected_nodes:
        # The first holder of a deployment may still know only itself.
        return not is_new or progress.ended_s >= late_s - SEND_S
    if is_new or progress.ended_s < late_s - SEND_S - SPARE_S:
        return False
    return progress.held_s >= ALL_FIND_HOLDER_S or progress.ended_s >= late_s - SEND_S


class UsageReporter(DutyRecords):
    """Decides the counts of each window and reports them while this node holds the duty.

    Args:
        holder: The lease.
        reports: Reports of the nodes.
        api: Sends the reports to the platform.
        settings: Settings of the usage reports.
        clock: Tells the window.

    Attributes:
        windows_reported: Number of windows that the platform accepted from this node.
        windows_dropped: Number of windows that were not reported, because they were too old, too
            large or refused.
        report_delay_s: Time from the end of the newest reported window until it was accepted.
    """

    def __init__(
        self,
        holder: DutyHolder,
        reports: NodeReports,
        api: ControlApi,
        settings: UsageSettings,
        clock: WindowClock,
    ) -> None:
        self.windows_reported = 0
        self.windows_dropped = 0
        self.report_delay_s = 0.0
        self._holder = holder
        self._reports = reports
        self._api = api
        self._settings = settings
        self._clock = clock
        self._started_window = clock.current()
        self._table = UsageTable()
        self._merged: dict[tuple[str, int], tuple[int, float]] = {}
        self._decision: Decision | None = None
        self._confirmed = False
        self._held = False
        self._term = 0
        self._taken_steady = 0.0
        self._taken_loop = 0.0
        self._ahead_s = 0.0
        self._refusals = 0
        self._offered: Decision | None = None
        self._parts = 0
        self._backoff = Backoff(random.Random(), RETRY_MIN_S, RETRY_MAX_S, jitter=(1.0, 1.0))
        holder.attach(self)

    async def run(self) -> None:
        """Decide and report windows until cancelled."""
        while True:
            await self._step()
            await asyncio.sleep(STEP_S)

    def pending_records(self) -> list[tuple[str, bytes]]:
        """Return the newest decision and the checkpoint of the undecided windows."""
        if not self._held:
            return []
        self._merge(self._reports.reports())
        records: list[tuple[str, bytes]] = []
        if self._decision is not None:
            records.append((DECISION_KEY, _encode_decision(self._decision)))
        parts = self._table.encode()
        # A part without rows replaces one of an earlier, larger checkpoint.
        unused = [_compress([])] * (self._parts - len(parts))
        records += [(_part_key(n), part) for n, part in enumerate([*parts, *unused])]
        self._parts = max(self._parts, len(parts))
        self._offered = self._decision
        return records

    def on_taken(self, taken: LeaseTaken) -> None:
        """Continue from the records of the previous holder."""
        record = taken.records.get(DECISION_KEY)
        found = _decode_decision(record)
        self._held = True
        self._term += 1
        # The clock of the loop, which dates the reports, stops while the host is suspended.
        self._taken_steady = self._clock.steady()
        self._taken_loop = asyncio.get_running_loop().time()
        self._parts = sum(key.startswith(_part_key("")) for key in taken.records)
        self._backoff.reset()
        self._refusals = 0
        self._merged.clear()
        self._table = UsageTable()
        for key, value in taken.records.items():
            if key.startswith(_part_key("")):
                self._restore(key, value)
        self._decision, self._confirmed = found, found is not None
        if taken.rewound or (record is not None and found is None):
            # Another holder may have reported any window that has ended, with other counts.
            self._decision = Decision(self._clock.current() - 1, {}, sent=True)
        logger.bind(
            decided=self._decision and self._decision.window,
            sent=self._decision and self._decision.sent,
            rewound=taken.rewound,
        ).info("usage reports taken over")

    def on_lost(self) -> None:
        """Stop until the lease is taken again."""
        self._held = False
        self._term += 1

    async def _step(self) -> None:
        if not self._held or self._is_early():
            return
        reports = self._reports.reports()
        self._merge(reports)
        self._drop_old()
        if self._decision is None or self._decision.sent:
            self._decide(reports)
        decision, term = self._decision, self._term
        if decision is None or decision.sent:
            return
        if not self._confirmed:
            confirmed = await self._holder.commit()
            if term != self._term:
                return
            # Records that could not be built are not appended with the others.
            self._confirmed = confirmed and self._offered is decision
        if self._confirmed:
            await self._send(decision, term)
        else:
            await self._backoff.pause()

    def _is_early(self) -> bool:
        """Return whether the next window cannot be decided yet."""
        decision = self._decision
        if decision is None or not decision.sent:
            return False
        return self._clock.now() < self._clock.end_of(decision.window + 1) + MIN_WAIT_S

    async def _send(self, decision: Decision, term: int) -> None:
        token = self._holder.token()
        if token is None:
            return
        outcome = await self._api.report_usage(token, UsageReport(decision.window, decision.counts))
        if term != self._term:
            return
        if outcome in (CallOutcome.REJECTED, CallOutcome.UNAVAILABLE):
            self._refusals += 1
            if self._refusals >= MAX_REFUSALS:
                self._refusals = 0
                self._backoff.reset()
                self._decision = replace(decision, sent=True)
                self.windows_dropped += 1
                logger.bind(window=decision.window, outcome=str(outcome)).error(
                    "usage window dropped: the report was refused"
                )
                return
        if outcome is not CallOutcome.ACCEPTED:
            await self._backoff.pause()
            return
        self._refusals = 0
        self._backoff.reset()
        self._decision = replace(decision, sent=True)
        self.windows_reported += 1
        self.report_delay_s = self._clock.now() - self._clock.end_of(decision.window)
        logger.bind(
            window=decision.window,
            requests=sum(decision.counts.values()),
            delay_s=round(self.report_delay_s, 3),
        ).info("usage reported")

    def _now(self) -> float:
        """Return the time in seconds since the epoch, no later than most nodes see it."""
        return self._clock.now() - self._ahead_s

    def _measure_lead(self, reports: Iterable[ReceivedReport]) -> float:
        """Return by how much the clock of this node is ahead of most others, in whole windows."""
        since = asyncio.get_running_loop().time() - FRESH_S
        ended = sorted(
            item.report.last_window
            for item in reports
            if item.live and item.received >= since and item.report.last_window >= 0
        )
        if len(ended) < MEDIAN_REPORTS:
            return 0.0
        median = ended[(len(ended) - 1) // 2]
        return max(0, self._clock.current() - 1 - median) * self._settings.window_s

    def _merge(self, reports: Sequence[ReceivedReport]) -> None:
        """Add the reports that arrived since the last call."""
        self._ahead_s = self._measure_lead(reports)
        # A node whose clock is ahead must not fill the checkpoint.
        first, last = self._oldest(), self._clock.window(self._now()) + 1
        merged = self._merged
        self._merged = {}
        for item in reports:
            report = item.report
            key, newest = (report.node, report.incarnation), (report.seq, item.received)
            self._merged[key] = newest
            if merged.get(key) != newest:
                for usage in report.usage:
                    if first <= usage.window <= last:
                        self._table.add(*key, usage)
        self._table.keep(first, last)

    def _oldest(self) -> int:
        """Return the first window that may still be decided."""
        oldest = self._clock.window(self._now() - self._settings.give_up_s)
        return max(oldest, self._decision.window + 1) if self._decision is not None else oldest

    def _drop_old(self) -> None:
        oldest = self._clock.window(self._now() - self._settings.give_up_s)
        decision = self._decision
        if decision is None:
            return
        first = decision.window + decision.sent
        if first >= oldest:
            return
        self.windows_dropped += oldest - first
        self._decision = Decision(oldest - 1, {}, sent=True)
        logger.bind(first=first, last=oldest - 1).error("usage windows dropped: too old")

    def _decide(self, reports: Sequence[ReceivedReport]) -> None:
        """Decide the next window if that is due."""
        # Reports from before this node took the lease may lack older windows.
        recent = [item for item in reports if item.received >= self._taken_loop]
        window = self._next_window(item.report for item in recent if item.live)
        cut_off = _cut_off(reports)
        final = {
            (item.report.node, item.report.incarnation)
            for item in recent
            if item.report.last_window >= window and (item.live or item in cut_off)
        }
        progress = WindowProgress(
            self._now() - self._clock.end_of(window),
            self._clock.steady() - self._taken_steady,
            len(final),
            self._reports.live_nodes() + len(cut_off),
        )
        if not is_decidable(progress, self._settings.late_s):
            return
        decision = Decision(window, self._table.total(window))
        if len(_encode_decision(decision)) > MAX_PART_BYTES:
            # The log would refuse the record, and with it each renewal of the lease.
            logger.bind(window=window).error("usage window dropped: too many workspaces")
            self.windows_dropped += 1
            decision = Decision(window, {}, sent=True)
        self._decision = decision
        self._confirmed = False
        self._table.keep(window + 1, self._clock.window(self._now()) + 1)
        logger.bind(window=window, final=len(final), expected=progress.expected_nodes).info(
            "usage window decided"
        )

    def _next_window(self, live: Iterable[LeaderReport]) -> int:
        """Return the window to decide: without a decision, that in which the first node started."""
        if self._decision is not None:
            return self._decision.window + 1
        starts = [self._clock.window(item.incarnation / 1000) for item in live]
        return max(self._oldest(), min([self._started_window, *self._table.windows, *starts]))

    def _restore(self, key: str, value: bytes) -> None:
        try:
            self._table.decode(value)
        except _MALFORMED as exc:
            logger.bind(key=key).error("record holds no usage: {!r}", exc)


def _cut_off(reports: Sequence[ReceivedReport]) -> list[ReceivedReport]:
    """Return the reports of nodes that fell silent without a stop, and may come back."""
    newest: dict[str, int] = {}
    for item in reports:
        report = item.report
        newest[report.node] = max(report.incarnation, newest.get(report.node, 0))
    return [
        item
        for item in reports
        if not item.live
        and not item.report.leaving
        and item.report.incarnation == newest[item.report.node]
    ]


def _part_key(part: int | str) -> str:
    return f"usage-counts-{part}"


def _compress(rows: list[str]) -> bytes:
    return zlib.compress(f"[{','.join(rows)}]".encode(), 1)


def _encode_decision(decision: Decision) -> bytes:
    value = {
        "window": decision.window,
        "sent": decision.sent,
        "counts": dict(decision.counts),
    }
    return zlib.compress(json.dumps(value, separators=(",", ":")).encode(), 1)


def _decode_decision(value: bytes | None) -> Decision | None:
    """Return the decision in a record; None if there is none or it is malformed."""
    if value is None:
        return None
    try:
        found: dict[str, Any] = json.loads(zlib.decompress(value))
        counts = {str(name): int(count) for name, count in found["counts"].items()}
        return Decision(int(found["window"]), counts, bool(found["sent"]))
    except _MALFORMED as exc:
        logger.error("record holds no usage decision: {!r}", exc)
        return None
