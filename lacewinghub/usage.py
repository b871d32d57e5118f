"""Counts, by window of the wall clock, the requests of each workspace that began to run here."""

import math
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from .duties import ReportContributor
from .message import LeaderReport, WindowUsage
from .suspend import boot_time_s

# A different wall clock is adopted after this time; a shorter step is an error of the clock.
STEP_HOLD_S = 60.0
# Smaller differences between the clocks do not move requests into another window.
STEP_TOLERANCE_S = 0.1
# A holder of the duty that is new to this node gets the counts of all windows for this time, and
# later only those of windows that may still be undecided.
NEW_HOLDER_S = 5.0
# Time to commit and send a decision, and to repeat the call once, before the report is due.
SEND_S = 1.5
# Windows whose report is late by more than this are given up.
GIVE_UP_S = 10.0


class WindowClock:
    """Wall clock that ignores short steps: it is read once and advanced by a steady clock.

    Args:
        window_s: Length of a window, in seconds.
        wall: Returns the wall time, in seconds since the epoch.
        steady: Returns a time that never steps and includes suspensions, in seconds.
    """

    def __init__(
        self,
        window_s: float,
        wall: Callable[[], float] = time.time,
        steady: Callable[[], float] = boot_time_s,
    ) -> None:
        self.window_s = window_s
        self._wall = wall
        self._steady = steady
        self._offset = wall() - steady()
        self._new_offset = self._offset
        self._stepped_at = steady()

    def now(self) -> float:
        """Return the time, in seconds since the epoch."""
        return self._offset + self._steady()

    def steady(self) -> float:
        """Return a time that never steps, in seconds."""
        return self._steady()

    def window(self, time_s: float) -> int:
        """Return the window that contains a time, in seconds since the epoch."""
        return math.floor(time_s / self.window_s)

    def current(self) -> int:
        """Return the window that contains the present."""
        return self.window(self.now())

    def end_of(self, window: int) -> float:
        """Return when a window ends, in seconds since the epoch."""
        return (window + 1) * self.window_s

    def check_step(self) -> None:
        """Adopt the wall clock if it has differed by the same amount for ``STEP_HOLD_S``."""
        steady = self._steady()
        offset = self._wall() - steady
        if abs(offset - self._new_offset) > STEP_TOLERANCE_S:
            self._new_offset, self._stepped_at = offset, steady
        if abs(self._new_offset - self._offset) <= STEP_TOLERANCE_S:
            return
        if steady - self._stepped_at >= STEP_HOLD_S:
            logger.bind(step_s=round(offset - self._offset, 3)).warning("wall clock stepped")
            self._offset = offset


@dataclass(frozen=True, slots=True)
class UsageSettings:
    """Settings of the usage reports.

    Attributes:
        window_s: Length of a window, in seconds.
        late_s: Time after its end at which the report of a window is due, in seconds.
    """

    window_s: float
    late_s: float

    @property
    def give_up_s(self) -> float:
        """Time after its end at which a window is no longer reported, in seconds."""
        return self.late_s + GIVE_UP_S

    @property
    def recent_s(self) -> float:
        """Time after its end for which the counts of a window are repeated, in seconds.

        A node that was cut off and comes back reports the windows that wait for it.
        """
        return max(NEW_HOLDER_S, self.late_s - SEND_S)


class UsageMeter(ABC):
    """Counts the requests that began to run."""

    @abstractmethod
    def count(self, workspace: str) -> None:
        """Count a request that begins now."""


class UsageCounts(UsageMeter, ReportContributor):
    """The counts of this node; those of the windows that may still be reported are kept.

    Args:
        settings: Settings of the usage reports.
        clock: Tells the window; None for the clocks of the host.
        holder: Returns what identifies the current holder of the duty, as far as it is known.

    Attributes:
        settings: The settings.
        clock: The clock.
    """

    def __init__(
        self,
        settings: UsageSettings,
        clock: WindowClock | None = None,
        holder: Callable[[], object] = lambda: None,
    ) -> None:
        self.settings = settings
        self.clock = clock or WindowClock(settings.window_s)
        # The window in which the period begins and the current one are not complete.
        self._kept = math.ceil(settings.give_up_s / settings.window_s) + 2
        self._counts: dict[int, dict[str, int]] = {}
        self._holder = holder
        self._last_holder: object = None
        # Infinite until a report was sent to the holder.
        self._all_until = float("inf")

    def count(self, workspace: str) -> None:
        """Count a request that begins now; one without a workspace is not counted."""
        if not workspace:
            return
        window = self.clock.current()
        counts = self._counts.get(window)
        if counts is None:
            counts = self._counts[window] = {}
            self._forget(window)
        counts[workspace] = counts.get(workspace, 0) + 1

    def fill_report(self, report: LeaderReport) -> None:
        """Write the counts into a report; those of the windows that have ended are final."""
        self.clock.check_step()
        current = self.clock.current()
        self._forget(current)
        first = self._first_to_report()
        report.last_window = current - 1
        report.usage = [
            WindowUsage(window, dict(counts))
            for window, counts in self._counts.items()
            if window >= first
        ]

    def on_sent(self) -> None:
        """Begin the time in which a new holder gets all windows, with the first report to it."""
        self._all_until = min(self._all_until, self.clock.steady() + NEW_HOLDER_S)

    def _first_to_report(self) -> int:
        holder, now = self._holder(), self.clock.steady()
        if holder != self._last_holder:
            self._last_holder = holder
            self._all_until = float("inf")
        if now < self._all_until:
            return 0
        return self.clock.window(self.clock.now() - self.settings.recent_s)

    def _forget(self, current: int) -> None:
        for window in [item for item in self._counts if item <= current - self._kept]:
            del self._counts[window]
