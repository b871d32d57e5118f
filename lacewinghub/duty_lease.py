"""The lease of the singleton duties, kept in a topic of the platform's log."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import xxhash
from loguru import logger

from ._backoff import Backoff
from .conditional_topic import AppendConflict, ConditionalTopic
from .duties import CALL_MARGIN_S, DutyHolder, DutyRecords, LeaseTaken
from .duty_lease_state import Attempt, LeaseLost, LeaseState, Step
from .errors import LogUnavailable
from .membership import Members
from .suspend import boot_time_s
from .transport import Peer

# Number of live nodes, chosen by hash, that read the topic and may take the lease.
CANDIDATES = 3
# Membership and clocks are looked at this often; the clock of the event loop stops while the host
# is suspended.
POLL_S = 0.25
MIN_PAUSE_S = 0.001
BACKOFF_FIRST_S = 0.1
BACKOFF_LIMIT_S = 1.0
# A commit appends once more if an append was not executed.
COMMIT_APPENDS = 2
NONCE_BITS = 64


class DutyLease(DutyHolder):
    """Takes, renews and gives up the lease.

    Args:
        identity: This node.
        members: View of the live nodes.
        topic: Topic that holds the lease and the records of the duties.
        lease_s: Time for which the lease lasts without a renewal, in seconds.
        clock: Time in seconds that goes on while the host is suspended.
        rng: Source of the identifiers of the calls.

    Attributes:
        changes: Number of times that this node took or lost the lease.
    """

    def __init__(
        self,
        identity: Peer,
        members: Members,
        topic: ConditionalTopic,
        lease_s: float,
        clock: Callable[[], float] = boot_time_s,
        rng: random.Random | None = None,
    ) -> None:
        self.changes = 0
        self._node = identity.node
        self._members = members
        self._topic = topic
        self._clock = clock
        self._random = rng or random.Random()
        self._state = LeaseState(identity.node, identity.incarnation, lease_s, clock())
        self._duties: list[DutyRecords] = []
        # The calls to the log follow one another, so that each knows the result of the one before.
        self._lock = asyncio.Lock()
        self._begun = 0
        self._confirmed = 0

    def token(self, margin_s: float = CALL_MARGIN_S) -> int | None:
        """Return the fencing token, or None if the lease ends within ``margin_s``."""
        return self._state.token(self._clock(), margin_s)

    def held_token(self) -> int | None:
        """Return the fencing token while the lease is held, for display and for hints only."""
        return self._state.held_token(self._clock())

    def attach(self, duty: DutyRecords) -> None:
        """Add a duty whose records are appended with the renewals."""
        self._duties.append(duty)

    async def commit(self) -> bool:
        """Append the pending records now, which also renews the lease.

        Returns:
            True if the log has confirmed them; False if this is not known, or the lease is lost.
        """
        asked = self._begun
        async with self._lock:
            if self._confirmed > asked:
                return True  # A renewal that began after this call has appended the records.
            return await self._append_until_known(COMMIT_APPENDS)

    async def run(self) -> None:
        """Take and renew the lease until cancelled."""
        backoff = Backoff(self._random, BACKOFF_FIRST_S, BACKOFF_LIMIT_S)
        while True:
            now = self._clock()
            plan = self._state.plan(now, self._rank())
            self._report_changes()
            if plan.step is Step.IDLE or plan.due > now:
                await asyncio.sleep(min(POLL_S, max(MIN_PAUSE_S, plan.due - now)))
                continue
            try:
                async with self._lock:
                    await self._perform()
                backoff.reset()
            except LogUnavailable as exc:
                logger.bind(reason=exc.message).debug("the log of the duties is unavailable")
                await backoff.pause()

    async def resign(self) -> None:
        """Give out no more tokens, let calls finish and give the lease up."""
        self._state.resigning = True
        wait_s = self._state.acted_at + CALL_MARGIN_S - self._clock()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        backoff = Backoff(self._random, BACKOFF_FIRST_S, BACKOFF_LIMIT_S)
        while self.held_token() is not None:
            async with self._lock:
                if await self._append_until_known(1, resign=True):
                    return
            await backoff.pause()

    async def _perform(self) -> None:
        """Do the next step, which another call may have done meanwhile."""
        now = self._clock()
        plan = self._state.plan(now, self._rank())
        if plan.due > now:
            return
        if plan.step is Step.READ:
            await self._read()
        elif plan.step is Step.APPEND:
            await self._append()

    async def _read(self) -> None:
        page = await self._topic.newest()
        if not self._state.on_page(page, self._clock()):
            raise LogUnavailable("the log answered from an earlier era")
        self._report_changes()

    async def _append(self) -> None:
        """Renew the lease, or try to take it.

        Raises:
            LogUnavailable: If nothing is known of the append.
        """
        attempt = self._begin(self._clock())
        if attempt is not None:
            await self._send(attempt)

    async def _append_until_known(self, appends: int, resign: bool = False) -> bool:
        """Append up to ``appends`` times while the lease is held; return whether it succeeded."""
        for _ in range(appends):
            now = self._clock()
            attempt = self._begin(now, resign) if self._state.held_token(now) is not None else None
            if attempt is None:
                return False
            try:
                with contextlib.suppress(LogUnavailable):
                    if await self._send(attempt):
                        return True
                await self._read()
            except LogUnavailable as exc:
                logger.bind(reason=exc.message).info("records of the duties not appended")
                return False
            if self._state.is_newest(attempt):
                return True
        return False

    def _begin(self, now: float, resign: bool = False) -> Attempt | None:
        duties: list[tuple[str, bytes]] = []
        self._begun += 1
        for duty in self._duties if self._state.held_token(now) is not None else ():
            try:
                duties += duty.pending_records()
            except Exception:
                logger.exception("{} has no records", type(duty).__name__)
        nonce = f"{self._random.getrandbits(NONCE_BITS):x}"
        return self._state.begin_append(now, nonce, duties, resign)

    async def _send(self, attempt: Attempt) -> bool:
        """Send an append; return whether the log confirmed it.

        Raises:
            LogUnavailable: If nothing is known of it.
        """
        begun = self._begun
        try:
            done = await self._topic.append_at(attempt.at, attempt.records())
        except AppendConflict:
            self._state.on_conflict(attempt)
            return False
        except BaseException:
            self._state.on_unanswered(attempt)
            raise
        self._state.on_appended(attempt, done.end, done.era, self._clock())
        self._report_changes()
        if not self._state.is_newest(attempt):
            return False
        self._confirmed = begun
        return True

    def _rank(self) -> int | None:
        """Return the place of this node among the candidates, or None if it is none of them."""
        ranked = sorted((item.node for item in self._members.live()), key=_weight, reverse=True)
        return next((at for at, name in enumerate(ranked[:CANDIDATES]) if name == self._node), None)

    def _report_changes(self) -> None:
        """Tell the duties and the log what has changed."""
        changes, self._state.changes = self._state.changes, []
        for change in changes:
            self.changes += 1
            if isinstance(change, LeaseTaken):
                logger.bind(token=change.token, rewound=change.rewound).info("duty lease taken")
            elif change.reason == "resigned":
                logger.bind(token=change.token).info("duty lease resigned")
            else:
                logger.bind(token=change.token, reason=change.reason).warning("duty lease lost")
            for duty in self._duties:
                _tell(duty, change)


def _tell(duty: DutyRecords, change: LeaseTaken | LeaseLost) -> None:
    try:
        if isinstance(change, LeaseTaken):
            duty.on_taken(change)
        else:
            duty.on_lost()
    except Exception:
        logger.exception("{} could not handle a change of the lease", type(duty).__name__)


def _weight(node: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"duties|{node}".encode()), node
