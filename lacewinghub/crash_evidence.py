"""Finds what the requests that crash endpoints have in common.

When an endpoint crashes, the requests whose answers it had not begun are suspects. A suspect is
described by its traits: the parts of its prompt that other requests may share, and the request as a
whole. A trait is cleared of the crashes known so far when a request that has it is answered. The
trait that accounts for the most crashes is taken as the cause of these; other traits are then
judged by the remaining crashes only, so that requests which were merely nearby are not blamed.

All nodes add the same facts, in any order and repeatedly, and come to the same result.
"""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field

# Fewer crashes are too likely to be a coincidence.
MIN_CRASHES = 3
# A part is blamed only if this many different requests with it were suspects. Otherwise it may be
# just that request.
MIN_REQUESTS = 2
MAX_CRASHES = 128
MAX_SUSPECTS = 256  # Per crash.


@dataclass(frozen=True, slots=True)
class Cause:
    """A trait that crashes endpoints.

    Attributes:
        trait: The trait.
        refused: Traits of the requests to refuse. A request is refused if it has all of them.
            These are more than ``trait`` alone while other traits always occurred with it.
        crashes: The crashes that it accounts for.
    """

    trait: int
    refused: frozenset[int]
    crashes: frozenset[str]


@dataclass(slots=True)
class _Crash:
    """A crash, when this node learned of it, and the shared parts of each suspect's prompt."""

    known_at: float
    suspects: dict[int, tuple[int, ...]] = field(default_factory=dict)


@dataclass(slots=True)
class _Tally:
    """The crashes and suspects that have a trait."""

    trait: int
    is_part: bool
    crashes: set[str] = field(default_factory=set)
    suspects: set[tuple[str, int]] = field(default_factory=set)
    depth: int = 0

    @property
    def requests(self) -> int:
        """Number of different requests."""
        return len({request for _, request in self.suspects})

    @property
    def is_sufficient(self) -> bool:
        """True if a coincidence is unlikely."""
        enough = not self.is_part or self.requests >= MIN_REQUESTS
        return enough and len(self.crashes) >= MIN_CRASHES


class CrashEvidence:
    """Crashes, their suspects, and the facts that clear these.

    Attributes:
        version: Number of changes.
        newest: Loop time at which the newest crash became known, in seconds.
    """

    def __init__(self) -> None:
        self.version = 0
        self.newest = float("-inf")
        self._crashes: dict[str, _Crash] = {}
        self._by_trait: dict[int, set[str]] = {}
        self._cleared: dict[int, set[str]] = {}
        self._refuted: set[str] = set()
        self._proved: set[str] = set()

    def add_suspect(self, crash: str, request: int, parts: Iterable[int], now: float) -> bool:
        """Add a request that was at an endpoint when it crashed.

        Args:
            crash: Identifier of the crash.
            request: Trait of the request as a whole.
            parts: Traits of the shared parts of its prompt, in order.
            now: Loop time, in seconds.

        Returns:
            True if this was not known.
        """
        found = self._crashes.get(crash)
        if found is None:
            self._make_room()
            found = self._crashes[crash] = _Crash(now)
            self.newest = max(self.newest, now)
        if request in found.suspects or len(found.suspects) >= MAX_SUSPECTS:
            return False
        found.suspects[request] = tuple(parts)
        for trait in (request, *found.suspects[request]):
            self._by_trait.setdefault(trait, set()).add(crash)
        self.version += 1
        return True

    def clear(self, trait: int, crashes: Iterable[str]) -> bool:
        """Clear a trait of crashes; return False if it was already."""
        known = self._cleared.setdefault(trait, set())
        before = len(known)
        known.update(crashes)
        if len(known) == before:
            return False
        self.version += 1
        return True

    def refute(self, crash: str) -> bool:
        """Record that an endpoint did not crash; return False if this was known or is wrong."""
        if crash in self._refuted or crash in self._proved:
            return False
        self._refuted.add(crash)
        self.version += 1
        return True

    def prove(self, crash: str) -> bool:
        """Record that an endpoint did crash, whatever else was or will be concluded.

        Returns:
            True if the opposite was assumed before.
        """
        self._proved.add(crash)
        if crash not in self._refuted:
            return False
        self._refuted.discard(crash)
        self.version += 1
        return True

    def is_refuted(self, crash: str) -> bool:
        """Return whether a supposed crash turned out to be none."""
        return crash in self._refuted

    def known_at(self, crash: str) -> float | None:
        """Return the loop time at which this node learned of a crash, in seconds, or None."""
        found = self._crashes.get(crash)
        return found.known_at if found else None

    def newest_of(self, crashes: Iterable[str]) -> float:
        """Return the loop time at which the newest of some crashes became known, in seconds."""
        known = (self.known_at(crash) for crash in crashes)
        return max((item for item in known if item is not None), default=float("-inf"))

    def crashes_of(self, trait: int) -> list[str]:
        """Return the crashes of which a trait is suspected and not cleared."""
        suspected = self._by_trait.get(trait, set())
        return sorted(suspected - self._cleared.get(trait, set()) - self._refuted)

    def crashes_since(self, time: float) -> list[str]:
        """Return the crashes that became known after a loop time, in seconds."""
        return [name for name, crash in self._crashes.items() if crash.known_at > time]

    def suspects(
        self, crashes: Iterable[str], trait: int | None = None
    ) -> Iterator[tuple[str, int, tuple[int, ...]]]:
        """Return crash, request and parts of the suspects of some crashes.

        Args:
            crashes: Known crashes.
            trait: Trait that the suspects have, or None for any.
        """
        for name in crashes:
            for request, parts in self._crashes[name].suspects.items():
                if trait is None or trait == request or trait in parts:
                    yield name, request, parts

    def cleared(self, crashes: Iterable[str]) -> Iterator[tuple[int, list[str]]]:
        """Return the traits that are cleared of some of the crashes, each with these."""
        wanted = set(crashes)
        for trait, names in self._cleared.items():
            if found := sorted(names & wanted):
                yield trait, found

    def refuted(self) -> list[str]:
        """Return the supposed crashes that were none."""
        return sorted(self._refuted)

    def causes(self, now: float, min_age_s: float) -> list[Cause]:
        """Return the causes of the crashes, that of the most crashes first.

        Args:
            now: Loop time, in seconds.
            min_age_s: Crashes that became known later than this before ``now`` do not count yet,
                so that facts which clear suspects can arrive.
        """
        open_crashes = {
            name: crash
            for name, crash in self._crashes.items()
            if name not in self._refuted and now - crash.known_at >= min_age_s
        }
        found: list[Cause] = []
        while len(open_crashes) >= MIN_CRASHES:
            tally = _most_likely(self._tallies(open_crashes).values())
            if tally is None:
                break
            found.append(self._cause(tally))
            for name in tally.crashes:
                del open_crashes[name]
        return found

    def drop_before(self, limit: float, keep: Collection[str] = ()) -> None:
        """Forget the crashes that became known before a loop time.

        Args:
            limit: Loop time, in seconds.
            keep: Crashes that are not forgotten.
        """
        for name, crash in list(self._crashes.items()):
            if crash.known_at < limit and name not in keep:
                self._drop(name)

    def _tallies(self, crashes: dict[str, _Crash]) -> dict[int, _Tally]:
        found: dict[int, _Tally] = {}
        for name, crash in crashes.items():
            for request, parts in crash.suspects.items():
                for depth, trait in enumerate((*parts, request)):
                    if name in self._cleared.get(trait, ()):
                        continue
                    is_part = depth < len(parts)
                    tally = found.setdefault(trait, _Tally(trait, is_part))
                    tally.crashes.add(name)
                    tally.suspects.add((name, request))
                    tally.depth = max(tally.depth, depth)
        return found

    def _cause(self, tally: _Tally) -> Cause:
        if not tally.is_part:
            return Cause(tally.trait, frozenset((tally.trait,)), frozenset(tally.crashes))
        common = frozenset.intersection(
            *(frozenset(self._crashes[name].suspects[request]) for name, request in tally.suspects)
        )
        refused = {trait for trait in common if not self._cleared.get(trait)} | {tally.trait}
        return Cause(tally.trait, frozenset(refused), frozenset(tally.crashes))

    def _make_room(self) -> None:
        if len(self._crashes) < MAX_CRASHES:
            return
        blamed = {name for item in self.causes(float("inf"), 0.0) for name in item.crashes}
        oldest = next(iter(self._crashes))
        self._drop(next((name for name in self._crashes if name not in blamed), oldest))
        self._refuted &= self._crashes.keys()
        self._proved &= self._crashes.keys()

    def _drop(self, crash: str) -> None:
        del self._crashes[crash]
        self._refuted.discard(crash)
        self._proved.discard(crash)
        self.version += 1
        for index in (self._cleared, self._by_trait):
            for trait, crashes in list(index.items()):
                crashes.discard(crash)
                if not crashes:
                    del index[trait]


def _most_likely(tallies: Iterable[_Tally]) -> _Tally | None:
    """Return the trait that accounts for the most crashes, or None if none has sufficient evidence.

    Of several, a part goes before a request. Of these, one whose suspects all have another one of
    them, too, goes before that other one: the latter is also in requests that are no cause.
    """
    sufficient = [item for item in tallies if item.is_sufficient]
    if not sufficient:
        return None
    most = max(len(item.crashes) for item in sufficient)
    leading = [item for item in sufficient if len(item.crashes) == most]
    leading = [item for item in leading if item.is_part] or leading
    specific = [
        item
        for item in leading
        if not any(other.suspects < item.suspects for other in leading if other is not item)
    ]
    return max(specific, key=lambda item: (item.requests, item.depth, item.trait))
