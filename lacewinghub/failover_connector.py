"""Connects to endpoints directly, or through another node while the own links are cut."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from loguru import logger

from .connector import ConnectionFailed, Connector, ProtocolT
from .link_state import LinkState
from .tunnel import STATED, UNABLE, UNREACHABLE, RefusalReason
from .tunnel_client import OPEN_S, TunnelClient, TunnelRefused
from .tunnel_peers import TunnelPeers

# A direct connection that takes longer is raced by one through another node.
HEAD_START_S = 0.1
# A time-out that is noticed later than this says nothing about the links.
LATE_S = 0.05
# Nodes that are asked for a tunnel, one after the other, and the time for all of them.
MAX_PEERS = 3
ALL_PEERS_S = 1.0


class RefusalListener(ABC):
    """Receives what other nodes know of endpoints."""

    @abstractmethod
    def is_current(self, endpoint: str, started: float) -> bool:
        """Return whether an endpoint is announced with a start time, in seconds."""

    @abstractmethod
    def on_leaving(self, endpoint: str) -> None:
        """Record that an endpoint leaves."""

    @abstractmethod
    def on_paused(self, endpoint: str, pause_s: float) -> None:
        """Record that an endpoint wants no requests for some time, in seconds."""


class MeasuredConnector(Connector):
    """Opens direct connections and records in the state of the links how that went.

    Args:
        direct: Opens the connections.
        link: State of the links.
    """

    def __init__(self, direct: Connector, link: LinkState) -> None:
        self.direct = direct
        self._link = link

    async def connect(
        self, factory: Callable[[], ProtocolT], address: str, endpoint: str, timeout_s: float
    ) -> ProtocolT:
        """Open a direct connection; see ``Connector.connect``."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        try:
            protocol = await self.direct.connect(factory, address, endpoint, timeout_s)
        except ConnectionFailed as exc:
            timed_out = bool(exc.details.get("timeout"))
            # A process that is this late may have left the answer unread.
            is_late = timed_out and loop.time() >= until + LATE_S
            if not is_late and not exc.details.get("exhausted"):
                self._link.on_direct_failed(address, timed_out)
            raise
        self._link.on_direct_ok(address)
        return protocol


class FailoverConnector(Connector):
    """Opens direct connections, and tunnels where those are in doubt.

    Args:
        direct: Opens direct connections and records how that went.
        link: State of the links.
        peers: The nodes through which tunnels may lead.
        client: Opens tunnels.
        listener: Receives what other nodes know of endpoints.
    """

    def __init__(
        self,
        direct: Connector,
        link: LinkState,
        peers: TunnelPeers,
        client: TunnelClient,
        listener: RefusalListener,
    ) -> None:
        self._direct = direct
        self._link = link
        self._peers = peers
        self._client = client
        self._listener = listener
        self._losers: set[asyncio.Task[Any]] = set()

    async def connect(
        self, factory: Callable[[], ProtocolT], address: str, endpoint: str, timeout_s: float
    ) -> ProtocolT:
        """Open a connection in one of both ways; see ``Connector.connect``."""
        if not endpoint:
            return await self._direct.connect(factory, address, endpoint, timeout_s)
        if not self._link.prefers_tunnel(address):
            return await self._race(factory, address, endpoint, timeout_s)
        try:
            return await self._open_tunnel(factory, address, endpoint)
        except ConnectionFailed as exc:
            if not exc.details.get("unable"):
                raise
            tunnel = exc
        try:
            # No other node could tell anything, so that the direct way is the only one left.
            return await self._direct.connect(factory, address, endpoint, timeout_s)
        except ConnectionFailed as exc:
            raise self._join(exc, tunnel) from tunnel

    def is_usable(self, address: str, via: str) -> bool:
        """Return whether an idle connection may be used again; see ``Connector``."""
        if via:
            return self._link.prefers_tunnel(address)
        return not (self._link.is_cut and self._link.hangs)

    def explains_break(self, address: str, via: str) -> bool:
        """Return whether the own links explain that a connection broke; see ``Connector``."""
        return not via and (self._link.is_cut or self._link.is_unreached_here(address))

    async def _race(
        self, factory: Callable[[], ProtocolT], address: str, endpoint: str, timeout_s: float
    ) -> ProtocolT:
        """Connect directly, and through another node once there is doubt; the first one wins."""
        loop = asyncio.get_running_loop()
        direct = loop.create_task(self._direct.connect(factory, address, endpoint, timeout_s))
        tasks = [direct]
        winner: asyncio.Task[ProtocolT] | None = None
        try:
            head_start_s = 0.0 if self._link.is_in_doubt() else HEAD_START_S
            await asyncio.wait(tasks, timeout=head_start_s)
            winner = _first_open(tasks)
            if winner is not None:
                return winner.result()
            if direct.done() and self._link.has_verdict(address):
                raise _failure(direct)
            tunnel = loop.create_task(self._open_tunnel(factory, address, endpoint))
            tasks.append(tunnel)
            pending = {task for task in tasks if not task.done()}
            while pending:
                _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                winner = _first_open(tasks)
                if winner is not None:
                    return winner.result()
            raise self._join(_failure(direct), _failure(tunnel))
        finally:
            for task in tasks:
                if task is not winner:
                    self._discard(task, cancel=task is not direct)

    def _join(self, direct: ConnectionFailed, tunnel: ConnectionFailed) -> ConnectionFailed:
        """Return the error for an endpoint that was reached in neither way."""
        if direct.details.get("exhausted"):
            return direct
        unable = bool(tunnel.details.get("unable"))
        if unable or tunnel.details.get("unsure"):
            # Meanwhile other attempts may have shown that the links are cut.
            direct.details["blameless"] = self._link.is_cut
            direct.details["isolated"] = unable and self._link.is_isolated
        else:
            direct.details["blameless"] = tunnel.details.get("blameless", False)
        return direct

    async def _open_tunnel(
        self, factory: Callable[[], ProtocolT], address: str, endpoint: str
    ) -> ProtocolT:
        """Connect through one of the other nodes.

        Raises:
            ConnectionFailed: If none opened a tunnel; ``unable`` if none could tell anything of
                the endpoint.
        """
        until = asyncio.get_running_loop().time() + ALL_PEERS_S
        asked: set[str] = set()
        unable = True
        while len(asked) < MAX_PEERS:
            left_s = until - asyncio.get_running_loop().time()
            peer = self._peers.choose(asked)
            if peer is None or left_s <= 0.0:
                break
            asked.add(peer.node)
            timeout_s = min(OPEN_S, left_s)
            try:
                protocol = await self._client.open(
                    factory, peer.node, peer.address, endpoint, address, timeout_s
                )
            except TunnelRefused as exc:
                if exc.reason is None or exc.reason in UNABLE:
                    logger.bind(via=peer.node, reason=exc.reason).debug("no tunnel")
                    self._peers.on_refused(peer.node, exc.reason)
                else:
                    self._on_refused(exc, address, endpoint)
                    unable = False
                continue
            self._link.on_reached_by_other(address)
            return protocol
        raise ConnectionFailed(
            f"no other node connects to {address}",
            unable=unable,
            blameless=self._link.is_cut,
        )

    def _on_refused(self, exc: TunnelRefused, address: str, endpoint: str) -> None:
        """Record what another node knows of an endpoint; return if others may know more.

        Raises:
            ConnectionFailed: If no other node needs to be asked.
        """
        if exc.reason in UNREACHABLE:
            self._link.on_unreached_by_other(address)
            timed_out = exc.reason is RefusalReason.TIMED_OUT
            raise ConnectionFailed(f"cannot connect to {address}: {exc.message}", timeout=timed_out)
        if exc.reason is RefusalReason.UNSURE and not self._link.is_cut:
            # Further nodes would take more time than another endpoint.
            raise ConnectionFailed(f"cannot connect to {address}: {exc.message}", unsure=True)
        refusal = exc.refusal
        if refusal is None or refusal.reason not in STATED:
            return
        if not self._listener.is_current(endpoint, refusal.started):
            return  # It is about a process that has ended, or that is not announced here yet.
        if refusal.reason is RefusalReason.LEAVING:
            self._listener.on_leaving(endpoint)
        else:
            self._listener.on_paused(endpoint, refusal.pause_s)
        raise ConnectionFailed(f"cannot use {address}: {exc.message}", blameless=True)

    def _discard(self, task: "asyncio.Task[ProtocolT]", cancel: bool) -> None:
        """Close the connection of a task, at once or when it is open; nothing was sent on it.

        A direct attempt goes on to its end, which shows whether the own links work.
        """
        if cancel:
            task.cancel()
        self._losers.add(task)
        task.add_done_callback(self._close)

    def _close(self, task: "asyncio.Task[ProtocolT]") -> None:
        self._losers.discard(task)
        if not task.cancelled() and task.exception() is None:
            task.result().close()


def _first_open(tasks: "list[asyncio.Task[ProtocolT]]") -> "asyncio.Task[ProtocolT] | None":
    """Return the first task that has opened a connection, or None."""
    for task in tasks:
        if task.done() and not task.cancelled() and task.exception() is None:
            return task
    return None


def _failure(task: "asyncio.Task[ProtocolT]") -> ConnectionFailed:
    """Return the error of a task; any other than ``ConnectionFailed`` is raised."""
    exc = task.exception()
    if isinstance(exc, ConnectionFailed):
        return exc
    assert exc is not None
    raise exc
