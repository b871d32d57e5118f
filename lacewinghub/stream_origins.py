"""Remembers at which software version streams began, for clients that take them up again."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

import xxhash
from loguru import logger

from .errors import OriginNotRecorded, OriginUncertain, StreamOriginUnknown
from .request import ProxyState, Request
from .tables import Endpoint
from .version_history import KEEP_S, VersionHistory

MAX_REMEMBERED = 32_768  # Number of streams.
MAX_READS = 2  # Reads of the store for one take-up.
LOOKUP_LIMIT_S = 1.0
# Longest wait between the two reads; in a large deployment the writers' interval is longer.
MAX_READ_INTERVAL_S = 0.3
MIN_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Origin:
    """Where a stream began.

    Attributes:
        pool: Name of the pool.
        version: Software version of the endpoint.
    """

    pool: str
    version: str


def origin_id(attempt: str, req: Request) -> int:
    """Return the origin id of a stream, a number of 64 bits.

    Args:
        attempt: Id of the attempt that brought its first event.
        req: A request for the stream; another workspace or route gives another id.
    """
    text = "\n".join((attempt, req.workspace, req.request_class))
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))


class OriginMemory:
    """Origins by origin id, each kept for ``KEEP_S``; the oldest ones of too many are dropped.

    Args:
        limit: Largest number of origins.
    """

    def __init__(self, limit: int = MAX_REMEMBERED) -> None:
        self._limit = limit
        self._items: dict[int, tuple[Origin, float]] = {}
        self._drop_listeners: list[Callable[[int, Origin], None]] = []

    def __len__(self) -> int:
        return len(self._items)

    def on_drop(self, listener: Callable[[int, Origin], None]) -> None:
        """Register a function that is called with each origin that is dropped."""
        self._drop_listeners.append(listener)

    def add(self, key: int, origin: Origin) -> None:
        """Add an origin, or keep a known one for longer."""
        known = self._items.pop(key, None)
        if known is not None and known[0] != origin:
            self._notify_dropped(key, known[0])
        self._items[key] = (origin, _now())
        self.drop_expired()
        while len(self._items) > self._limit:
            self._drop_oldest()

    def get(self, key: int) -> Origin | None:
        """Return an origin, or None if it is not known."""
        origin, at = self._items.get(key, (None, float("-inf")))
        return origin if _now() - at < KEEP_S else None

    def items(self) -> list[tuple[int, Origin]]:
        """Return all origins, oldest first."""
        self.drop_expired()
        return [(key, origin) for key, (origin, _) in self._items.items()]

    def drop_expired(self) -> None:
        """Drop the origins that were not added again for ``KEEP_S``."""
        oldest = _now() - KEEP_S
        while self._items and next(iter(self._items.values()))[1] <= oldest:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        key = next(iter(self._items))
        origin, _ = self._items.pop(key)
        self._notify_dropped(key, origin)

    def _notify_dropped(self, key: int, origin: Origin) -> None:
        for listener in self._drop_listeners:
            listener(key, origin)


class OriginStore(ABC):
    """Shares the origins of all nodes through a store."""

    @property
    @abstractmethod
    def interval_s(self) -> float:
        """Time within which a node writes the origins of new streams, in seconds."""

    @abstractmethod
    def add(self, key: int, origin: Origin, urgent: bool = False) -> None:
        """Write the origin of a stream soon, if other nodes need it; an urgent one out of turn."""

    @abstractmethod
    async def replace(self, key: int, origin: Origin, former: Origin) -> bool:
        """Remember another origin of a stream, and write it out of turn.

        Args:
            key: Its origin id.
            origin: The other origin.
            former: The origin that was added before.

        Returns:
            False if other nodes may read the former one instead.
        """

    @abstractmethod
    def restore(self, key: int, origin: Origin) -> bool:
        """Return to a former origin of a stream, whose replacement was not written.

        Returns:
            False if other nodes may read another one.
        """

    @abstractmethod
    def get(self, key: int) -> Origin | None:
        """Return an origin that was read, or None."""

    @abstractmethod
    async def refresh(self) -> bool:
        """Read all origins that were written before the call; callers share reads.

        Returns:
            False if the store did not answer.
        """


class OriginPeers(ABC):
    """Asks other nodes for the origins that they remember."""

    @abstractmethod
    async def find(self, key: int) -> Origin | None:
        """Return the origin of a stream that a peer passed on, or None if none tells in time."""


class OriginTable:
    """Finds the software versions at which streams began.

    Args:
        history: Software versions of the pools.
        memory: Origins of this node's streams.
        store: Origins of all nodes; None without a store.
        peers: Asked if the store does not answer; None without peers.

    Attributes:
        memory: Origins of this node's streams.
        found: Number of take-ups whose origin was found.
        unknown: Number of take-ups whose origin is unknown.
    """

    def __init__(
        self,
        history: VersionHistory,
        memory: OriginMemory | None = None,
        store: OriginStore | None = None,
        peers: OriginPeers | None = None,
    ) -> None:
        self.memory = memory if memory is not None else OriginMemory()
        self.found = 0
        self.unknown = 0
        self._history = history
        self._store = store
        self._peers = peers

    def began(self, req: Request, endpoint: Endpoint) -> None:
        """Record that the first event of a request's answer was passed on.

        Args:
            req: The request; its ``ProxyState.origin`` is set, unless it is already.
            endpoint: The endpoint that sent the event.
        """
        state = req.proxy
        if state is None:
            return
        if state.origin is None:
            state.origin = endpoint.version
        if state.resumable:
            self._remember(req, state.origin, urgent=False)

    async def promise(self, req: Request, endpoint: Endpoint) -> None:
        """Record that a stream will begin at an endpoint, if its pool has several versions.

        The store then has the record by the first event, in most cases. If the stream was to begin
        at another version, which failed or refused it, the new record is awaited: after the loss of
        this node, others would take the former one for true.

        Raises:
            OriginUncertain: If the store may have the new record; the stream may begin nowhere.
            OriginNotRecorded: If it does not; the stream may begin at the former version.
        """
        state = req.proxy
        if state is None or state.is_take_up or not (state.streaming and state.resumable):
            return
        former, version = state.promised, endpoint.version
        if state.origin is not None or former == version:
            return
        if former is None and not self._history.is_mixed(req.pool):
            return
        state.promised = version
        if former is None or self._store is None:
            self._remember(req, version, urgent=False)
            return
        key, restored = origin_id(req.id, req), Origin(req.pool, former)
        if await self._store.replace(key, Origin(req.pool, version), restored):
            return
        is_restored = self._store.restore(key, restored)
        if is_restored:
            state.promised = former
            self.memory.add(key, restored)
        failure = OriginNotRecorded if is_restored else OriginUncertain
        raise failure(
            f"the software version that is to begin the stream was not recorded: {version!r}",
            retry_after_s=MIN_RETRY_AFTER_S,
        )

    def renew(self, req: Request) -> None:
        """Remember the origin of a stream that was broken off for another ``KEEP_S``.

        Other nodes may need it at once.

        Args:
            req: The request, whose ``ProxyState.origin`` is set.
        """
        state = req.proxy
        if state is not None and state.resumable and state.origin is not None:
            self._remember(req, state.origin, urgent=True)

    def _remember(self, req: Request, version: str, urgent: bool) -> None:
        state = req.proxy
        assert state is not None
        attempt = state.resumes if state.is_take_up else req.id
        if not attempt:
            return  # No take-up can name the stream.
        key, origin = origin_id(attempt, req), Origin(req.pool, version)
        self.memory.add(key, origin)
        if self._store is not None:
            self._store.add(key, origin, urgent)

    async def find(self, req: Request) -> str:
        """Return the software version at which the stream of a take-up began.

        Sets ``req.pool`` to the pool in which it began, if the route is split between pools.

        Raises:
            StreamOriginUnknown: If it is not known; it is never guessed.
        """
        state = req.proxy
        if state is None or not state.resumes:
            return self._sole_version(req, "the client names no attempt")
        key = origin_id(state.resumes, req)
        origin = self.memory.get(key)
        if origin is not None:
            return self._accept(req, origin, "memory")
        if not self._is_mixed(req):
            return self._sole_version(req, "")
        if self._store is None:
            return self._sole_version(req, "there is no store")
        return await self._find_in_store(req, key, self._store)

    async def _find_in_store(self, req: Request, key: int, store: OriginStore) -> str:
        """Read the store for an origin that was not heard of yet; ask peers if it is away."""
        answered = False
        try:
            async with asyncio.timeout(LOOKUP_LIMIT_S):
                for number in range(MAX_READS):
                    if number:
                        await asyncio.sleep(min(store.interval_s, MAX_READ_INTERVAL_S))
                    # An origin that was read before may have been replaced before the first event.
                    is_current = await store.refresh()
                    answered = answered or is_current
                    origin = store.get(key)
                    if is_current and origin is not None:
                        return self._accept(req, origin, "store")
                    if not is_current and self._peers is not None and not number:
                        origin = await self._peers.find(key)
                        if origin is not None:
                            return self._accept(req, origin, "peer")
        except TimeoutError:
            pass
        return self._sole_version(
            req, "it is not in the store" if answered else "the store does not answer"
        )

    def _accept(self, req: Request, origin: Origin, source: str) -> str:
        if origin.pool not in _pools(req):
            raise self._refuse(req, f"it began in pool {origin.pool!r}")
        req.pool = origin.pool
        return self._count_found(req, origin.version, source)

    def _sole_version(self, req: Request, reason: str) -> str:
        """Return the only version that can have begun the stream.

        Raises:
            StreamOriginUnknown: With the reason, if it is not certain.
        """
        version = self._history.sole_version(req.pool)
        if version is None or self._is_mixed(req):
            raise self._refuse(req, reason)
        return self._count_found(req, version, "history")

    def _is_mixed(self, req: Request) -> bool:
        """Return whether streams of the route may have begun at several versions of a pool."""
        return any(self._history.sole_version(pool) is None for pool in _pools(req))

    def _count_found(self, req: Request, version: str, source: str) -> str:
        self.found += 1
        logger.bind(
            request_id=req.id, pool=req.pool, version=version, source=source, resumes=_resumes(req)
        ).info("stream origin found")
        return version

    def _refuse(self, req: Request, reason: str) -> StreamOriginUnknown:
        self.unknown += 1
        history = self._history
        logger.bind(
            request_id=req.id,
            pool=req.pool,
            reason=reason,
            resumes=_resumes(req),
            versions=len(history.versions(req.pool)),
            history_complete=history.is_complete(req.pool),
        ).info("stream origin unknown")
        interval_s = self._store.interval_s if self._store is not None else 0.0
        return StreamOriginUnknown(
            f"the software version that began the stream is unknown: {reason}",
            retry_after_s=max(MIN_RETRY_AFTER_S, interval_s),
        )


def _pools(req: Request) -> tuple[str, ...]:
    """Return the pools among which the requests of a request's route are split."""
    state = req.proxy
    return state.pools if state is not None and state.pools else (req.pool,)


def _resumes(req: Request) -> str:
    state: ProxyState | None = req.proxy
    return state.resumes if state is not None else ""


def _now() -> float:
    return asyncio.get_running_loop().time()
