"""Client of the platform's append-only log."""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

import aiohttp
from pydantic import TypeAdapter, ValidationError

from .errors import LogUnavailable, LogUncertain

REQUEST_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class Record:
    """One record of a stream.

    Attributes:
        offset: Position in the stream; consecutive numbers.
        time: Wall time at which the record was appended, in seconds since the epoch.
        data: JSON object.
    """

    offset: int
    time: float
    data: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Page:
    """Consecutive records of a stream.

    Attributes:
        records: Records in offset order; may be empty.
        first: Offset of the oldest record that the stream still contains.
        next: Offset that the next appended record will get.
        time: Wall time of the log, in seconds since the epoch.
        retention_s: How long the log keeps a record, in seconds.
    """

    records: list[Record]
    first: int
    next: int
    time: float
    retention_s: float


PAGE = TypeAdapter(Page)


class Log(ABC):
    """Client of an append-only log with named streams."""

    @abstractmethod
    async def append(self, stream: str, records: list[dict[str, Any]]) -> list[int]:
        """Append records as one operation.

        Args:
            stream: Name of the stream.
            records: JSON objects.

        Returns:
            The offset of each record.

        Raises:
            LogUnavailable: If the append had no effect and will have none.
            LogUncertain: If the outcome is unknown: the append may have taken effect or may still
                do so.
        """

    @abstractmethod
    async def read(self, stream: str, start: int, limit: int = 500, wait_s: float = 0.0) -> Page:
        """Read records from an offset on.

        Args:
            stream: Name of the stream.
            start: First offset to read; if it has expired, the read starts at the oldest record.
            limit: Largest number of records.
            wait_s: Longest time to wait for a record if there is none yet, in seconds.

        Returns:
            A page, empty if no record came in time.

        Raises:
            LogUnavailable: If the log did not answer.
        """

    async def close(self) -> None:
        """Release the connections."""
        return None


class HttpLog(Log):
    """Client of a log that is served over HTTP.

    Status codes 400 to 499 and 503 mean that nothing was appended; after every other failure once
    the request was sent, the outcome of an append is unknown.

    Args:
        address: Address of the log, ``IP:port``.
        timeout_s: Longest time to wait for a reply, beyond ``wait_s`` of a read, in seconds.
    """

    def __init__(self, address: str, timeout_s: float = REQUEST_TIMEOUT_S) -> None:
        self._base = f"http://{address}/streams/"
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def append(self, stream: str, records: list[dict[str, Any]]) -> list[int]:
        """See ``Log.append``."""
        try:
            async with self._http().post(
                self._base + stream, json={"records": records}, timeout=self._limit(0.0)
            ) as resp:
                if 400 <= resp.status < 500 or resp.status == 503:
                    raise LogUnavailable(f"the log refused the append with status {resp.status}")
                if resp.status != 200:
                    raise LogUncertain(f"the log answered an append with status {resp.status}")
                return _OFFSETS.validate_python((await resp.json())["offsets"])
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise LogUnavailable(f"no connection to the log: {exc}") from exc
        except _FAILURES as exc:
            raise LogUncertain(f"the log did not confirm an append: {exc!r}") from exc

    async def read(self, stream: str, start: int, limit: int = 500, wait_s: float = 0.0) -> Page:
        """See ``Log.read``."""
        params = {"from": start, "limit": limit, "wait_ms": round(wait_s * 1000)}
        try:
            async with self._http().get(
                self._base + stream, params=params, timeout=self._limit(wait_s)
            ) as resp:
                if resp.status != 200:
                    raise LogUnavailable(f"the log answered a read with status {resp.status}")
                return PAGE.validate_python(await resp.json())
        except _FAILURES as exc:
            raise LogUnavailable(f"the log did not answer a read: {exc!r}") from exc

    async def close(self) -> None:
        """See ``Log.close``."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _http(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session

    def _limit(self, wait_s: float) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=self._timeout_s + wait_s, connect=min(CONNECT_TIMEOUT_S, self._timeout_s)
        )


_OFFSETS = TypeAdapter(list[int])
_FAILURES = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    ValidationError,
    ValueError,
    KeyError,
    TypeError,
)
