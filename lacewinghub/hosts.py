"""Client of the platform's host list."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

import aiohttp
from loguru import logger
from pydantic import TypeAdapter, ValidationError

from ._backoff import Backoff
from .errors import Unreachable
from .tables import Address

POLL_S = 2.0
BACKOFF_LIMIT_S = 10.0
REQUEST_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Host:
    """A host of the deployment, with its state as listed by the platform, with a delay."""

    address: Address
    state: Literal["live", "leaving"]


@dataclass(frozen=True, slots=True)
class _Reply:
    hosts: list[Host]


_REPLY = TypeAdapter(_Reply)


class HostList:
    """Polls the host list and passes the addresses of live hosts to a listener.

    The list is delayed and may be unavailable; the last answer then stays in use. It only provides
    addresses to try: whether a node is alive is known from its heartbeats.

    Args:
        address: Address of the host list, ``IP:port``.
        listener: Called with the addresses of the live hosts after each answer.
        poll_s: Time between polls in seconds.

    Attributes:
        hosts: The last answer; empty before the first one.
    """

    def __init__(
        self,
        address: str,
        listener: Callable[[list[str]], None] | None = None,
        poll_s: float = POLL_S,
    ) -> None:
        self.hosts: list[Host] = []
        self._url = f"http://{address}/hosts"
        self._listener = listener
        self._poll_s = poll_s
        self._session: aiohttp.ClientSession | None = None

    async def fetch(self) -> list[Host]:
        """Request the hosts once.

        Returns:
            The hosts in the order of the answer.

        Raises:
            Unreachable: If the host list does not answer, or not in the published format.
        """
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
            self._session = aiohttp.ClientSession(timeout=timeout)
        try:
            async with self._session.get(self._url) as resp:
                if resp.status != 200:
                    raise Unreachable(f"the host list answered with status {resp.status}")
                return _REPLY.validate_python(await resp.json()).hosts
        except (aiohttp.ClientError, TimeoutError, ValidationError, ValueError) as exc:
            raise Unreachable(f"the host list did not answer: {exc!r}") from exc

    async def run(self) -> None:
        """Poll until cancelled."""
        backoff = Backoff(random.Random(), self._poll_s, BACKOFF_LIMIT_S, jitter=(0.8, 1.2))
        while True:
            try:
                self.hosts = await self.fetch()
                backoff.reset()
                if self._listener is not None:
                    self._listener([host.address for host in self.hosts if host.state == "live"])
            except Unreachable as exc:
                logger.warning("{}; the last {} hosts stay in use", exc, len(self.hosts))
                backoff.grow()
            await asyncio.sleep(backoff.draw())

    async def close(self) -> None:
        """Release the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None
