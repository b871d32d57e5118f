"""How a node reaches endpoints: its links, tunnels through other nodes, and tunnels for them."""

from collections.abc import Callable
from dataclasses import dataclass

from .connector import ConnectionFailed, Connector, DirectConnector
from .directory import EndpointDirectory
from .endpoint_pause import EndpointPauses
from .failover_connector import FailoverConnector, MeasuredConnector, RefusalListener
from .link_probe import LinkProber
from .link_state import LinkState
from .membership import Members
from .message import TunnelOffer
from .supervisor import Supervisor
from .tables import Endpoint
from .tunnel import MAX_PAUSE_S, RefusalReason, Statement, TunnelRefusal
from .tunnel_client import TunnelClient
from .tunnel_peers import TunnelPeers
from .tunnel_server import TunnelServer, TunnelTargets


class DirectoryTargets(TunnelTargets, RefusalListener):
    """The endpoints of the directory, as targets of tunnels.

    Args:
        directory: The known endpoints.
        pauses: Times for which endpoints want no requests.
        link: State of the links.
    """

    def __init__(
        self, directory: EndpointDirectory, pauses: EndpointPauses, link: LinkState
    ) -> None:
        self._directory = directory
        self._pauses = pauses
        self._link = link

    def refusal(self, endpoint: str, address: str) -> TunnelRefusal | None:
        """Return why this node does not connect to an endpoint; see ``TunnelTargets``."""
        if self._link.is_cut:
            return TunnelRefusal(reason=RefusalReason.LINKS_CUT)
        if self._directory.address(endpoint) != address:
            return TunnelRefusal(reason=RefusalReason.UNKNOWN)
        announced = self._directory.announced_start(endpoint) or 0.0
        if self._directory.is_leaving(endpoint):
            return TunnelRefusal(reason=RefusalReason.LEAVING, started=announced)
        if self._directory.started(endpoint) is None:
            return TunnelRefusal(reason=RefusalReason.UNKNOWN)
        pause_s = self._pauses.wait_s(endpoint)
        if pause_s > 0.0:
            return TunnelRefusal(
                reason=RefusalReason.PAUSED, pause_s=min(pause_s, MAX_PAUSE_S), started=announced
            )
        return None

    def explain(self, address: str, exc: ConnectionFailed) -> RefusalReason:
        """Return why an endpoint was not reached; see ``TunnelTargets``."""
        if self._link.is_cut:
            return RefusalReason.LINKS_CUT
        if exc.details.get("exhausted"):
            return RefusalReason.NO_ROOM
        timed_out = bool(exc.details.get("timeout"))
        if not self._link.is_confident(timed_out):
            return RefusalReason.UNSURE
        # Other nodes ask for the endpoints that are down, one after the other.
        self._link.on_judged(address)
        return RefusalReason.TIMED_OUT if timed_out else RefusalReason.CONNECTION_REFUSED

    def on_statement(self, endpoint: str, statement: Statement) -> None:
        """Take over what an endpoint stated to another node."""
        if statement.leaving:
            self.on_leaving(endpoint)
        if statement.pause_s is not None:
            self.on_paused(endpoint, statement.pause_s)

    def is_current(self, endpoint: str, started: float) -> bool:
        """Return whether an endpoint is announced with a start time; see ``RefusalListener``."""
        return self._directory.announced_start(endpoint) == started

    def on_leaving(self, endpoint: str) -> None:
        """Send an endpoint nothing new, because another node knows that it leaves."""
        self._directory.mark_leaving(endpoint)

    def on_paused(self, endpoint: str, pause_s: float) -> None:
        """Send an endpoint nothing for some time, because it asked another node for that."""
        self._pauses.record(endpoint, pause_s)


@dataclass(frozen=True, slots=True)
class ReachSettings:
    """Settings of a node.

    Attributes:
        node: Its name.
        zone: Its availability zone.
        tunnel: Address for tunnels of other nodes; port 0 stands for a free one.
        max_descriptors: Descriptors that the process may have; None if unknown.
    """

    node: str
    zone: str
    tunnel: str
    max_descriptors: int | None = None


class EndpointReach:
    """Creates and starts what a node needs to reach endpoints.

    Args:
        cfg: Settings of the node.
        key: Shared secret of the nodes.
        members: View of the live nodes.
        directory: The known endpoints.
        pauses: Times for which endpoints want no requests.

    Attributes:
        link: State of the links.
        direct: Opens direct connections.
        connector: Opens connections in the way that works.
        peers: Exchanges offers of tunnels through heartbeats.
        server: Serves tunnels.
    """

    def __init__(
        self,
        cfg: ReachSettings,
        key: bytes,
        members: Members,
        directory: EndpointDirectory,
        pauses: EndpointPauses,
    ) -> None:
        self._cfg = cfg
        self._directory = directory
        self._address: str | None = None
        self.link = LinkState(lambda: len(self._endpoints()))
        self.direct = MeasuredConnector(DirectConnector(), self.link)
        targets = DirectoryTargets(directory, pauses, self.link)
        self.server = TunnelServer(key, targets, self.direct, cfg.max_descriptors)
        self.client = TunnelClient(key, cfg.node)
        self.peers = TunnelPeers(cfg.zone, members, self._offer)
        self.connector: Connector = FailoverConnector(
            self.direct, self.link, self.peers, self.client, targets
        )
        self._prober = LinkProber(self.link, self.direct, self.connector, self._endpoints)
        directory.listen(lambda _: self.link.retain(item.address for item in self._endpoints()))

    async def start(self, supervisor: Supervisor) -> int:
        """Listen for other nodes and begin to probe.

        Returns:
            The port for tunnels.

        Raises:
            OSError: If the address cannot be bound.
        """
        host, _, port = self._cfg.tunnel.rpartition(":")
        bound = await self.server.start(host.strip("[]"), int(port))
        self._address = f"{host}:{bound}"
        supervisor.on_stop(self.server.close)
        supervisor.start("link probes", self._prober.run)
        return bound

    def update_gauges(self, set_gauge: Callable[[str, float], None]) -> None:
        """Write the state of links and tunnels to the metrics page."""
        set_gauge("links_cut", float(self.link.is_cut))
        set_gauge("tunnels_open", self.client.open_tunnels)
        set_gauge("tunnels_opened", self.client.opened)
        set_gauge("tunnels_serving", self.server.open_tunnels)
        set_gauge("tunnels_served", self.server.served)

    def _endpoints(self) -> list[Endpoint]:
        pools = self._directory.tables.pools.values()
        return [item for pool in pools for item in pool.endpoints]

    def _offer(self) -> TunnelOffer | None:
        if self._address is None:
            return None
        return TunnelOffer(self._address, self.link.is_cut, self.server.room)
