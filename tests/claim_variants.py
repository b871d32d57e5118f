"""Claimers that each lack one mechanism, to show that the tests detect its absence."""

import asyncio
from typing import Any

from lacewinghub.claim import Claimer
from lacewinghub.claim_index import ClaimIndex, ClaimStatus
from lacewinghub.errors import NotRun
from lacewinghub.log import Page
from lacewinghub.permit import SendPermit


class NoReadBack(Claimer):
    """Assumes that its claim owns the key as soon as the log confirmed it."""

    async def _wait_decision(self, attempt: Any, item: Any) -> bool:
        await asyncio.wait([item.confirmed])
        attempt.claimed = self._log_now()
        return True


class NoTimeLimit(Claimer):
    """Sends under a claim of any age."""

    def _permit(self) -> SendPermit:
        return SendPermit(lambda: 0.0, lambda: 1.0)


class ReadyAtOnce(Claimer):
    """Starts without a complete index."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.index = _IncompleteIndex(self.index.window_s, self._on_claim, self._notify_waiters)


class _IncompleteIndex(ClaimIndex):
    def _check_gap(self, page: Page) -> None:
        self.next = max(self.next, page.first)


class NoTombstones(Claimer):
    """Ignores a release that precedes its claim in the log."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.index = _NoTombstonesIndex(self.index.window_s, self._on_claim, self._notify_waiters)


class _NoTombstonesIndex(ClaimIndex):
    def _is_released(self, claim_id: str, now: float) -> bool:
        return False


class NoReplay(Claimer):
    """Accepts requests as if its index were empty."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.index.get = lambda key, now: None  # type: ignore[method-assign]


class TakesOverClaims(Claimer):
    """Claims a key again if the claimant died without a result."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        get = self.index.get
        self.index.get = lambda key, now: self._unless_dead(get(key, now))  # type: ignore

    def _unless_dead(self, entry: Any) -> Any:
        if entry is None or entry.status is not ClaimStatus.PENDING or self._is_alive(entry):
            return entry
        return None


class NoCopies(ReadyAtOnce):
    """Neither appends copies of the index nor waits for a complete one."""

    def _start_copy(self, page: Page) -> None:
        return None


class ReleaseThenSend(Claimer):
    """Releases a claim that the log did not confirm in time, but sends the request nevertheless."""

    async def _claim(self, attempt: Any, timeout_s: float) -> bool:
        try:
            return await super()._claim(attempt, timeout_s)
        except NotRun:
            attempt.permit = SendPermit(lambda: 0.0, lambda: 1.0)
            return True
