"""Connects a node to the platform, and runs it as a program."""

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from .. import logs
from ..conditional_topic import ConditionalTopic
from ..control_api import ControlApi
from ..decisionlog import LineWriter
from ..deployment import CurrentConfig
from ..directory import EndpointDirectory
from ..duty_services import DutySettings
from ..endpoint_statements import EndpointStatements
from ..httpclient import ConnectionPool
from ..httpserver import HttpHandler
from ..limit import RetryRule
from ..node_adapter import Adapter, ProxySettings, TopicSource
from ..nodelist import WritableKeyedTopic
from ..plain_topic import PlainTopic
from ..proxyclient import ProxyClient
from ..proxygateway import ProxyCodec
from ..proxynode import ProxyNode
from . import names
from .boot import Boot, find_settings_path, load
from .caller import ConfigSink, PlatformCodec
from .control_api import HttpControlApi
from .entry import ReadyHandler
from .registry import RunnerRegistry, announcement_of
from .runner import RunnerClient
from .store import StoreClient, StorePlainTopic, StoreTopic

METRICS_PORT = 9464
BYTES_PER_MB = 1024 * 1024
GC_THRESHOLD = 20_000


class PlatformAdapter(Adapter):
    """Connects a node to the platform.

    Args:
        boot: Settings of the process, or None to read them from the platform's file.
        metrics_port: Port for the metrics.
    """

    def __init__(self, boot: Boot | None = None, metrics_port: int = METRICS_PORT) -> None:
        self._boot = boot
        self._metrics_port = metrics_port
        first = boot or load(find_settings_path())
        self._store = StoreClient(first.platform.address)
        self._control_api: HttpControlApi | None = None
        if first.cloud_api is not None and _duties(first) is not None:
            self._control_api = HttpControlApi(first.cloud_api.address, first.node_name)

    def settings(self) -> ProxySettings:
        """Read the settings of the process."""
        boot = self._boot or load(find_settings_path())
        bounds = boot.bounds
        host = boot.listen.ready.rpartition(":")[0]
        return ProxySettings(
            node=boot.node_name,
            availability_zone=boot.zone,
            front=boot.listen.front,
            ready=boot.listen.ready,
            metrics=f"{host}:{self._metrics_port}",
            grace_s=bounds.grace_s,
            retries=RetryRule(
                bounds.retry_budget_ratio, bounds.budget_min_retries, bounds.budget_window_s
            ),
            drain_s=bounds.drain_ms / 1000,
            config_s=bounds.config_apply_ms / 1000,
            peer=f"{host}:{boot.internal_ports[0]}",
            tunnel=f"{host}:{_tunnel_port(boot)}",
            seeds=tuple(
                f"{seed.rpartition(':')[0]}:{boot.internal_ports[0]}" for seed in boot.seeds
            ),
            duties=_duties(boot),
            memory_bytes=_bytes(boot.limits.memory_mb),
            max_descriptors=_whole(boot.limits.max_fds),
            is_first_start=boot.bootstrap,
        )

    def settings_path(self) -> Path:
        """Return the path of the platform's settings file."""
        return find_settings_path()

    def codec(self) -> ProxyCodec:
        """Return the codec for the requests of the platform's clients."""
        return PlatformCodec()

    def client(self, pool: ConnectionPool, statements: EndpointStatements) -> ProxyClient:
        """Return the client for the platform's runners."""
        return RunnerClient(pool, statements)

    def config(self, current_config: CurrentConfig) -> TopicSource:
        """Return the topic with the operator's configuration."""
        return TopicSource(
            StoreTopic(self._store, names.OPERATOR_TOPIC), ConfigSink(current_config)
        )

    def endpoints(self, directory: EndpointDirectory) -> TopicSource:
        """Return the topic with the announcements of the runners."""
        topic = StoreTopic(self._store, names.RUNNERS_TOPIC)
        return TopicSource(topic, RunnerRegistry(directory), announcement_of)

    def nodes(self) -> WritableKeyedTopic:
        """Return the topic to which the nodes announce themselves."""
        return StoreTopic(self._store, names.NODES_TOPIC)

    def crashes(self) -> WritableKeyedTopic:
        """Return the topic for the evidence of what crashes runners."""
        return StoreTopic(self._store, names.CRASHES_TOPIC)

    def versions(self) -> WritableKeyedTopic:
        """Return the topic for the software versions of the services."""
        return StoreTopic(self._store, names.VERSIONS_TOPIC)

    def streams(self) -> PlainTopic:
        """Return the topic for the software versions at which streams began."""
        return StorePlainTopic(self._store, names.STREAMS_TOPIC)

    def duty_topic(self) -> ConditionalTopic | None:
        """Return the topic for the lease of the singleton duties, if the platform has any."""
        if self._control_api is None:
            return None
        return StoreTopic(self._store, names.DUTIES_TOPIC)

    def control_api(self) -> ControlApi | None:
        """Return the client for the platform's control API, if it has one."""
        return self._control_api

    def peer_key(self) -> bytes:
        """Return a constant, because the platform provides no secret to its processes."""
        return names.PEER_KEY

    def readiness(self, is_ready: Callable[[], bool]) -> HttpHandler:
        """Return the handler for the readiness checks of the platform's load balancer."""
        return ReadyHandler(is_ready)

    async def close(self) -> None:
        """Close the connections to the store and the control API."""
        await self._store.close()
        if self._control_api is not None:
            await self._control_api.close()


def _tunnel_port(boot: Boot) -> int:
    """Return the second of the internal ports; 0, for a free one, if there is only one."""
    first, last = boot.internal_ports
    return first + 1 if last > first else 0


def _duties(boot: Boot) -> DutySettings | None:
    """Return the settings of the singleton duties, or None if the platform has none."""
    api = boot.cloud_api
    if api is None or not {names.USAGE_DUTY, names.SCALE_DUTY} & set(api.duties):
        return None
    return DutySettings(
        usage=names.USAGE_DUTY in api.duties,
        autoscale=names.SCALE_DUTY in api.duties,
        lease_s=boot.bounds.lease_ms / 1000,
        window_s=boot.bounds.report_window_s,
        usage_late_s=boot.bounds.usage_late_s,
        calls_per_s=api.duty_per_s,
    )


def _bytes(megabytes: float | None) -> int | None:
    return None if megabytes is None else int(megabytes * BYTES_PER_MB)


def _whole(number: float | None) -> int | None:
    return None if number is None else int(number)


async def run_node(adapter: Adapter) -> None:
    """Run a node until SIGTERM, then stop it within the grace period."""
    node = ProxyNode(adapter)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, node.request_stop)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    await node.run()


def serve() -> None:
    """Run the node that the platform's settings file describes, on uvloop without io_uring.

    Raises:
        SettingsInvalid: If the settings are invalid.
        AddressUnavailable: If the node cannot listen on one of its addresses.
    """
    boot = load(find_settings_path())
    logs.setup("INFO", boot.node_name, out=LineWriter(sys.stdout.fileno(), boot.node_name))
    # uvloop reads the variable when the loop is created.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    uvloop.run(run_node(PlatformAdapter()))
