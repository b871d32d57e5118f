"""Decisions of the lease of the singleton duties, without I/O.

The lease is the newest record of one key of a topic with conditional appends. Two rules keep it
with one node at a time. A node takes it from another one only after it has seen the same record for
longer than the lease lasts, and the append succeeds only if nothing was appended meanwhile. The
holder counts the lease from the moment at which it sent the last append that is confirmed.

Each time that the log comes back from an older copy of itself, a new era of its offsets begins.
Offsets and records of different eras prove nothing about each other.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from .duties import CALL_MARGIN_S, LeaseTaken
from .follower import KeyedPage, KeyedRecord
from .nodelist import MALFORMED_RECORD

LEASE_KEY = "lease"
# Added to the time for which a candidate must have seen the same record. It covers clocks that do
# not run at the same rate, and a holder that is late to notice the end of its lease.
WAIT_SLACK_S = 0.5
RENEWALS_PER_LEASE = 3
# Intervals of the reads of the first candidate, and of the others. Each read costs a call.
READ_EVERY_S = 1.0
LATER_READ_EVERY_S = 1.5
# A node that has just started knows few others, and may falsely count itself among the candidates.
SETTLE_S = 2.0
# Delay by which each candidate lets the one before it go first, which saves refused appends.
RANK_DELAY_S = 0.3
ERA_SHIFT = 32
# Holder of a record that cannot be decoded.
UNKNOWN_HOLDER = "?"


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Value of the key ``LEASE_KEY``.

    Attributes:
        holder: Identifier of the holder; empty if it has resigned.
        incarnation: Its incarnation.
        token: Its fencing token.
        era: Era in which the record was to be appended.
        nonce: Identifies the call that appended it.
        rewound: True if the log lost records before the lease was taken, and no record of the
            duties was appended since.
    """

    holder: str
    incarnation: int
    token: int
    era: int
    nonce: str
    rewound: bool = False

    def encode(self) -> bytes:
        """Return the value of the record."""
        value = {
            "holder": self.holder,
            "incarnation": self.incarnation,
            "token": self.token,
            "era": self.era,
            "nonce": self.nonce,
            "rewound": self.rewound,
        }
        return json.dumps(value).encode()

    @classmethod
    def decode(cls, data: bytes) -> "LeaseRecord":
        """Decode a value; a malformed one is the record of an unknown holder."""
        try:
            value = json.loads(data)
            return cls(
                str(value["holder"]),
                int(value["incarnation"]),
                int(value["token"]),
                int(value["era"]),
                str(value["nonce"]),
                bool(value.get("rewound", False)),
            )
        except (*MALFORMED_RECORD, AttributeError):
            return cls(UNKNOWN_HOLDER, 0, 0, -1, "")


class Step(StrEnum):
    """What a node does next about the lease."""

    IDLE = "idle"
    READ = "read"
    APPEND = "append"


@dataclass(frozen=True, slots=True)
class LeaseStep:
    """The next step, and the time at which it is due, in seconds."""

    step: Step
    due: float


@dataclass(frozen=True, slots=True)
class Attempt:
    """An append that was begun.

    Attributes:
        at: Offset at which the topic has to end.
        record: The record of the lease.
        duties: Records of the duties.
        sent: Time before it was sent, in seconds.
    """

    at: int
    record: LeaseRecord
    duties: tuple[tuple[str, bytes], ...]
    sent: float

    def records(self) -> list[tuple[str, bytes]]:
        """Return keys and values to append."""
        return [(LEASE_KEY, self.record.encode()), *self.duties]


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The node no longer holds the lease, and why."""

    token: int
    reason: str


@dataclass(frozen=True, slots=True)
class _Seen:
    """The newest record of the lease as read; ``offset`` is -1 and ``record`` None without one."""

    era: int
    offset: int
    record: LeaseRecord | None


class LeaseState:
    """What one node knows of the lease, and what follows from it.

    All times are in seconds of a clock that goes on while the host is suspended.

    Args:
        node: Identifier of this node.
        incarnation: Its incarnation.
        lease_s: Time for which the lease lasts without a renewal, in seconds.
        now: Time at which the node started.

    Attributes:
        wait_s: Time for which the same record must have been seen before another node takes the
            lease.
        changes: What happened since the list was last cleared.
        records: Newest records of the duties.
        acted_at: Time at which a token was last given out.
        resigning: True once this node gives out no more tokens, because it stops.
    """

    def __init__(self, node: str, incarnation: int, lease_s: float, now: float) -> None:
        self.wait_s = lease_s + WAIT_SLACK_S
        self.changes: list[LeaseTaken | LeaseLost] = []
        self.records: dict[str, bytes] = {}
        self.acted_at = float("-inf")
        self.resigning = False
        self._node = node
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._started = now
        self._era = 0
        self._end: int | None = None
        self._seen: _Seen | None = None
        self._seen_at = now
        self._read_at = now
        self._must_read = False
        self._attempts: dict[str, Attempt] = {}
        self._sent_at = float("-inf")
        self._token: int | None = None
        self._valid_until = float("-inf")
        self._acts_from = float("-inf")
        self._in_doubt = False
        self._kept: dict[str, bytes] = {}
        self._kept_rewound = False

    def token(self, now: float, margin_s: float) -> int | None:
        """Return the token to act with; None if the lease is not held for ``margin_s`` more."""
        if self._token is None or self._in_doubt or self.resigning or now < self._acts_from:
            return None
        if self._valid_until - now <= margin_s:
            return None
        self.acted_at = now
        return self._token

    def held_token(self, now: float) -> int | None:
        """Return the token if the lease is held, without the right to act with it."""
        return self._token if now < self._valid_until else None

    def plan(self, now: float, rank: int | None) -> LeaseStep:
        """Return the next step.

        Args:
            now: The time.
            rank: Place of this node among the candidates for the lease, from 0; None if it is none.
        """
        self._expire(now)
        if self._token is not None:
            if self._must_read or self._end is None:
                return LeaseStep(Step.READ, now)
            return LeaseStep(
                Step.APPEND, max(now, self._sent_at + self._lease_s / RENEWALS_PER_LEASE)
            )
        if self.resigning:
            return LeaseStep(Step.IDLE, float("inf"))
        if self._is_mine() or self._held_through_rewind(now):
            rank = 0
        if rank is None:
            self._end = None  # Nothing is read any more, so that the end will be another one.
            return LeaseStep(Step.IDLE, float("inf"))
        every_s = READ_EVERY_S if rank == 0 else LATER_READ_EVERY_S
        next_read = now if self._must_read else max(now, self._read_at + every_s)
        if not self._held_through_rewind(now):
            next_read = max(next_read, self._started + SETTLE_S)
        if self._end is None or self._must_read:
            return LeaseStep(Step.READ, next_read)
        take = max(now, self._take_at(now, rank))
        return (
            LeaseStep(Step.APPEND, take) if take <= next_read else LeaseStep(Step.READ, next_read)
        )

    def begin_append(
        self, now: float, nonce: str, duties: Iterable[tuple[str, bytes]] = (), resign: bool = False
    ) -> Attempt | None:
        """Begin to renew the lease or, if it is not held, to take it.

        Args:
            now: The time.
            nonce: Identifier of the call, which no other call has.
            duties: Records to append with a renewal.
            resign: True to give the lease up.

        Returns:
            The append; None if there is nothing to append now.
        """
        self._expire(now)
        if self._end is None:
            return None
        if self._token is not None:
            holder = "" if resign else self._node
            record = LeaseRecord(holder, self._incarnation, self._token, self._era, nonce)
        elif resign or self.resigning or now < self._take_at(now, 0):
            return None
        else:
            record, duties = self._taking_record(now, nonce)
        attempt = Attempt(self._end, record, tuple(duties), now)
        self._attempts[nonce] = attempt
        self._sent_at = now
        return attempt

    def on_appended(self, attempt: Attempt, end: int, era: int, now: float) -> None:
        """Handle that the log confirmed an append, and in which era."""
        if era < self._era:
            return self.on_unanswered(attempt)
        if era > self._era:
            # The log was restored, and by chance ended at the same offset again. The record states
            # another era than its own, so that no node takes it for a lease.
            self._attempts.pop(attempt.record.nonce, None)
            self._rewind(era, now)
            self._must_read = True
            return
        self._end, self._read_at = end, now
        self._seen, self._seen_at = _Seen(era, attempt.at, attempt.record), now
        self.records.update(attempt.duties)
        self._attempts.clear()
        self._confirm(attempt, now)

    def on_conflict(self, attempt: Attempt) -> None:
        """Handle that the topic ended elsewhere: another node has appended, or a late call."""
        self._attempts.pop(attempt.record.nonce, None)
        self._must_read = self._in_doubt = True

    def on_unanswered(self, attempt: Attempt) -> None:
        """Handle that nothing is known of an append, which may be executed later."""
        self._must_read = True
        self._sent_at = float("-inf")  # If it was not executed, the next one is due at once.

    def on_page(self, page: KeyedPage, now: float) -> bool:
        """Handle the newest records of the topic; return False if they are of an earlier era."""
        if page.era < self._era:
            return False
        if page.era > self._era:
            self._rewind(page.era, now)
        self._end, self._read_at = page.end, now
        self._must_read = self._in_doubt = False
        self.records = {
            item.key: item.value
            for item in page.records
            if item.key != LEASE_KEY and item.value is not None
        }
        found = _find_lease(page.records)
        record = None if found is None else LeaseRecord.decode(found.value or b"")
        seen = _Seen(page.era, -1 if found is None else found.offset, record)
        if seen != self._seen:
            self._seen, self._seen_at = seen, now
        own = self._attempts.get(record.nonce) if record is not None else None
        # Appends before the end are executed or never will be, and old ones prove nothing.
        self._attempts = {
            nonce: item
            for nonce, item in self._attempts.items()
            if item.at >= page.end and now < item.sent + self._lease_s
        }
        if own is not None and record is not None and record.era == page.era:
            self._confirm(own, now)
        elif self._token is not None and not (
            self._is_mine() and record is not None and record.token == self._token
        ):
            holder = "nobody" if record is None else record.holder or "nobody"
            self._lose(f"the lease is held by {holder}")
        return True

    def is_newest(self, attempt: Attempt) -> bool:
        """Return whether an append is known to be the newest one and valid in the current era."""
        seen = self._seen
        if seen is None or seen.record != attempt.record:
            return False
        return seen.era == attempt.record.era == self._era

    def _confirm(self, attempt: Attempt, now: float) -> None:
        """Count the lease from when an append was sent that is known to be the newest."""
        record, valid_until = attempt.record, attempt.sent + self._lease_s
        if not record.holder:
            self._lose("resigned")
            return
        self._sent_at = max(self._sent_at, attempt.sent)
        if self._token == record.token:
            self._valid_until = max(self._valid_until, valid_until)
        elif valid_until > now:
            self._token, self._valid_until = record.token, valid_until
            # A call with the token before may still be on its way.
            self._acts_from = self.acted_at + CALL_MARGIN_S
            self._kept = {}
            self.changes.append(LeaseTaken(record.token, dict(self.records), record.rewound))

    def _expire(self, now: float) -> None:
        if self._token is not None and now >= self._valid_until:
            self._lose("not renewed in time")

    def _lose(self, reason: str) -> None:
        if self._token is not None:
            self.changes.append(LeaseLost(self._token, reason))
        self._token, self._valid_until = None, float("-inf")

    def _rewind(self, era: int, now: float) -> None:
        """Enter a new era, in which the lease must be taken anew."""
        self._expire(now)
        valid_until = self._valid_until
        if self._token is not None:
            self._kept = dict(self.records)
            # Without a renewal since, the duties have not yet written what they start from.
            record = self._seen.record if self._seen is not None else None
            self._kept_rewound = record is not None and record.rewound
            self._lose("the log came back from an older copy")
            self._valid_until = valid_until
        self._era, self._end = era, None
        self._attempts.clear()

    def _held_through_rewind(self, now: float) -> bool:
        """Return whether this node held the lease when the log came back from a copy.

        No other node can have held it then, nor can have waited long enough since.
        """
        record = self._seen.record if self._seen is not None else None
        taken = record is not None and record.era >= self._era
        return self._token is None and now < self._valid_until and not taken

    def _is_mine(self) -> bool:
        """Return whether the newest record is of this process and of the current era."""
        seen = self._seen
        if seen is None or seen.record is None or seen.era != self._era:
            return False
        record = seen.record
        mine = (record.holder, record.incarnation) == (self._node, self._incarnation)
        return mine and record.era == self._era

    def _take_at(self, now: float, rank: int) -> float:
        """Return the earliest time to take the lease, with an end that is known."""
        seen = self._seen
        if seen is None:
            return float("inf")
        if self._is_mine() or self._held_through_rewind(now):
            return now
        delay_s = rank * RANK_DELAY_S
        if seen.record is None and self._era == 0:
            return self._seen_at + delay_s  # Nobody has ever held the lease.
        # A record without a holder proves only in its own era that nobody holds the lease.
        is_free = seen.record is not None and not seen.record.holder
        is_free = is_free and seen.record is not None and seen.record.era == self._era
        free_at = self._seen_at + (0.0 if is_free else self.wait_s)
        if seen.record is not None and seen.record.holder == self._node:
            return free_at + delay_s
        # Another node has acted since this one, or may have since an earlier process of this host.
        # The lease must not return to this host too soon.
        acted = max(self._started, self.acted_at + CALL_MARGIN_S)
        return max(free_at + delay_s, acted + self._lease_s)

    def _taking_record(
        self, now: float, nonce: str
    ) -> tuple[LeaseRecord, Iterable[tuple[str, bytes]]]:
        """Return the record that takes the lease, and the records to restore with it."""
        before = self._seen.record if self._seen is not None else None
        rewound = self._era > 0 if before is None else before.era < self._era or before.rewound
        kept: Mapping[str, bytes] = {}
        if self._held_through_rewind(now):
            rewound, kept = self._kept_rewound, self._kept
        token = (self._era << ERA_SHIFT) + (self._end or 0) + 1
        record = LeaseRecord(self._node, self._incarnation, token, self._era, nonce, rewound)
        return record, kept.items()


def _find_lease(records: Iterable[KeyedRecord]) -> KeyedRecord | None:
    return next((item for item in records if item.key == LEASE_KEY), None)
