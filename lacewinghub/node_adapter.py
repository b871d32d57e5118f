"""Settings of a node of the HTTP proxy, and what connects it to the platform on which it runs."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from .conditional_topic import ConditionalTopic
from .control_api import ControlApi
from .deployment import CurrentConfig
from .directory import EndpointDirectory
from .duty_services import DutySettings
from .endpoint_statements import EndpointStatements
from .follower import KeyedSink, KeyedTopic
from .httpclient import ConnectionPool
from .httpserver import HttpHandler
from .limit import RetryRule
from .nodelist import WritableKeyedTopic
from .plain_topic import PlainTopic
from .proxyclient import ProxyClient
from .proxygateway import ProxyCodec
from .sharedtopic import Meaning


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """Settings of a node.

    Attributes:
        node: Name of the node.
        availability_zone: Its availability zone.
        front: Address for clients, ``IP:port``.
        ready: Address for readiness checks.
        metrics: Address of the metrics page.
        grace_s: Time between the request to stop and the end of the process, in seconds.
        retries: Retry budget of all nodes together.
        drain_s: Time within which a leaving endpoint must stop receiving requests, in seconds.
        config_s: Time within which a new configuration must be in force, in seconds.
        peer: Address for other nodes.
        tunnel: Address for tunnels of other nodes to endpoints.
        seeds: Addresses of some other nodes, which may no longer exist.
        duties: Singleton duties; None if the platform has none.
        memory_bytes: Memory above which the process is killed; None if unknown.
        max_descriptors: Descriptors that the process may have; None if unknown.
        is_first_start: True if the whole system starts for the first time.
    """

    node: str
    availability_zone: str
    front: str
    ready: str
    metrics: str
    grace_s: float
    retries: RetryRule
    drain_s: float
    config_s: float
    peer: str
    tunnel: str = "127.0.0.1:0"
    seeds: tuple[str, ...] = ()
    duties: DutySettings | None = None
    memory_bytes: int | None = None
    max_descriptors: int | None = None
    is_first_start: bool = True


@dataclass(frozen=True, slots=True)
class TopicSource:
    """A topic of the log and the sink that processes its records.

    Attributes:
        topic: The topic.
        sink: Receives its records.
        meaning: Returns what a record means; two records that mean the same change nothing.
    """

    topic: KeyedTopic
    sink: KeyedSink
    meaning: Meaning = lambda record: record.value


class Adapter(ABC):
    """Connects a node to the platform on which it runs."""

    @abstractmethod
    def settings(self) -> ProxySettings:
        """Read the settings.

        Raises:
            SettingsInvalid: If they are invalid.
        """

    @abstractmethod
    def settings_path(self) -> Path:
        """Return the path of the settings file."""

    @abstractmethod
    def codec(self) -> ProxyCodec:
        """Return the codec for the requests of clients."""

    @abstractmethod
    def client(self, pool: ConnectionPool, statements: EndpointStatements) -> ProxyClient:
        """Return the client for the endpoints."""

    @abstractmethod
    def config(self, current_config: CurrentConfig) -> TopicSource:
        """Return the source of the configuration."""

    @abstractmethod
    def endpoints(self, directory: EndpointDirectory) -> TopicSource:
        """Return the source of the endpoints."""

    @abstractmethod
    def nodes(self) -> WritableKeyedTopic:
        """Return the topic to which the nodes announce themselves."""

    @abstractmethod
    def crashes(self) -> WritableKeyedTopic:
        """Return the topic for the evidence of what crashes endpoints."""

    @abstractmethod
    def versions(self) -> WritableKeyedTopic:
        """Return the topic for the software versions of the pools."""

    @abstractmethod
    def streams(self) -> PlainTopic:
        """Return the topic for the software versions at which streams began."""

    def duty_topic(self) -> ConditionalTopic | None:
        """Return the topic for the lease of the singleton duties, or None if there are none."""
        return None

    def control_api(self) -> ControlApi | None:
        """Return the client for the control API, or None if the platform has none."""
        return None

    @abstractmethod
    def peer_key(self) -> bytes:
        """Return the shared secret of the nodes."""

    @abstractmethod
    def readiness(self, is_ready: Callable[[], bool]) -> HttpHandler:
        """Return the handler for the readiness checks of the load balancer."""

    async def close(self) -> None:
        """Release connections."""
        return None
