"""The composition root: builds one node from its settings and runs it."""

import asyncio
import os
import signal
import sys
from typing import TextIO

from loguru import logger

from . import logs
from .config import ConfigReplica
from .endpoint import HttpEndpoint
from .gateway import Gateway, GatewayParts, Phase
from .history import History
from .local import LocalScheduler
from .log import HttpLog
from .naive import NaiveScheduler
from .router import Parts, Router
from .scheduler import Scheduler, TablesView
from .selection import LoadReports
from .settings import Settings, load
from .supervisor import Supervisor


class Node:
    """One node with all its parts, inside the running event loop.

    Args:
        cfg: Settings of the node.

    Attributes:
        port: Port for callers once the node has started.
    """

    def __init__(self, cfg: Settings) -> None:
        self.cfg = cfg
        self.port = 0
        self._supervisor = Supervisor(cfg.node)
        self._history_out: TextIO | None = None
        self._stop = asyncio.Event()
        self._stopped = False
        self._build()

    async def start(self) -> None:
        """Start all parts.

        Raises:
            OSError: If an address cannot be bound.
        """
        sup = self._supervisor
        sup.on_stop(self._close_history)
        sup.on_stop(self._log.close)
        sup.on_stop(self._client.close)
        sup.start("config", self._config.run)
        sup.start("scheduler", self._scheduler.run)
        sup.on_stop(self._router.close)
        host, _, port = self.cfg.listen.rpartition(":")
        self.port = await self._gateway.start(host.strip("[]"), int(port))
        sup.on_stop(self._gateway.close)
        logger.info("node {} serves callers on {}:{}", self.cfg.node, host, self.port)

    async def run(self) -> None:
        """Start, serve until ``request_stop`` is called, then stop."""
        await self.start()
        await self._stop.wait()
        await self.stop()

    def request_stop(self) -> None:
        """Ask ``run`` for a planned stop; further calls have no effect."""
        self._stop.set()

    async def stop(self) -> None:
        """Stop as planned: tell the load balancer, wait, refuse new requests, finish the others."""
        if self._stopped:
            return
        self._stopped = True
        logger.info("node {} is leaving", self.cfg.node)
        self._gateway.phase = Phase.LEAVING
        await asyncio.sleep(self.cfg.limits.grace_s)
        self._gateway.phase = Phase.DRAINING
        logger.info("node {} drains {} requests", self.cfg.node, self._gateway.in_flight)
        await self._gateway.wait_idle()
        await self._supervisor.stop()
        logger.info("node {} stopped", self.cfg.node)

    async def kill(self) -> None:
        """Stop at once; requests in flight are lost. Tests use it for a crash."""
        self._stopped = True
        await self._supervisor.stop()

    def _build(self) -> None:
        cfg = self.cfg
        if cfg.history_file is not None:
            self._history_out = open(cfg.history_file, "a", encoding="utf-8")  # noqa: SIM115
        self._history = History(cfg.node, self._history_out)
        self._log = HttpLog(cfg.log)
        self._config = ConfigReplica(cfg.node, self._log, None, self._history)
        self._client = HttpEndpoint(cfg.limits.connect_s, cfg.limits.endpoint_idle_s)
        self._scheduler = self._build_scheduler()
        self._router = Router(
            Parts(
                scheduler=self._scheduler,
                client=self._client,
                tables=lambda: self._config.tables,
                history=self._history,
            )
        )
        self._gateway = Gateway(
            GatewayParts(
                node=cfg.node,
                router=self._router,
                tables=lambda: self._config.tables,
                operator_keys=cfg.operator_keys,
                body_bytes=cfg.limits.body_bytes,
            )
        )

    def _build_scheduler(self) -> Scheduler:
        view = TablesView(lambda: self._config.tables)
        reports = LoadReports()
        if self.cfg.scheduler == "naive":
            return NaiveScheduler(view, reports, history=self._history)
        return LocalScheduler(view, reports, lambda: 1, self._history)

    async def _close_history(self) -> None:
        if self._history_out is not None:
            self._history_out.close()


async def run_node(cfg: Settings) -> None:
    """Run a node until SIGTERM or SIGINT, then stop it as planned.

    Args:
        cfg: Settings of the node.

    Raises:
        OSError: If an address cannot be bound.
    """
    node = Node(cfg)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, node.request_stop)
    await node.run()


def serve(path: str) -> None:
    """Run the node of a settings file in this process, on uvloop without io_uring.

    Args:
        path: Path of the settings file.

    Raises:
        SettingsInvalid: If the settings are wrong.
        OSError: If an address cannot be bound.
    """
    cfg = load(path)
    logs.setup(cfg.log_level, cfg.node)
    # uvloop reads the variable when the loop is created.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    uvloop.run(run_node(cfg))


if __name__ == "__main__":
    serve(sys.argv[1])
