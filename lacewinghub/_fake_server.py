"""HTTP server of the fake endpoints, with the faults that all of them share.

Every fake serves on a loopback port in the running event loop. Faults are injected through methods
or over HTTP: ``POST /control/{action}`` with the arguments of the method as a JSON object.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
from collections.abc import Callable
from typing import Any

from sanic import HTTPResponse, Request, Sanic
from sanic.response import json as json_response

STATE_HEADER = "X-Endpoint-State"
LEAVING = "leaving"
LIVE = "live"
# Loop iterations after which asyncio has passed every accepted socket to a protocol.
ACCEPT_ITERATIONS = 3

_server_numbers = itertools.count(1)


class FakeServer:
    """A fake endpoint that serves HTTP and can crash, freeze and leave.

    While it is leaving, it refuses new requests with status 503, adds the header
    ``X-Endpoint-State: leaving`` to every response, and completes requests in progress.

    Args:
        name: Name of the endpoint.
        host: IP address to bind.
        port: Port to bind; 0 picks a free one, which is kept across restarts.
    """

    def __init__(self, name: str, host: str = "127.0.0.1", port: int = 0) -> None:
        self.name = name
        self.host = host
        self.port = port
        self.leaving = False
        self.crashes = 0
        self._app = self._build_app()
        self._server: Any = None
        self._socket: socket.socket | None = None
        self._closing: asyncio.Task[None] | None = None
        self._started = False
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._timers: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """``IP:port`` of the server."""
        return f"{self.host}:{self.port}"

    @property
    def up(self) -> bool:
        """True while the server accepts connections."""
        return self._server is not None

    async def start(self) -> None:
        """Bind the port and serve.

        Raises:
            OSError: If the port is in use.
        """
        await self._wait_closed()
        sock = socket.socket(socket.AF_INET6 if ":" in self.host else socket.AF_INET)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.host, self.port))
        self.port = sock.getsockname()[1]
        server: Any = await self._app.create_server(sock=sock, return_asyncio_server=True)
        if not self._started:
            await server.startup()
            self._started = True
        self._server, self._socket = server, sock

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        for task in list(self._timers):
            task.cancel()
        self._close_server()
        self._on_crash()
        with contextlib.suppress(Exception):
            Sanic.unregister_app(self._app)
        await self._wait_closed()

    def crash(self, for_s: float | None = None) -> None:
        """Abort all connections and refuse new ones.

        Args:
            for_s: Restart after this many seconds; None: only through ``restart``.
        """
        if not self.up:
            return
        self.crashes += 1
        self._close_server()
        self._on_crash()
        self.thaw()
        if for_s is not None:
            self._call_later(for_s, self.restart)

    async def restart(self) -> None:
        """Serve again on the same port, without state of earlier requests."""
        if not self.up:
            self.leaving = False
            await self.start()

    def freeze(self, for_s: float | None = None) -> None:
        """Stop all processing but keep connections open.

        Args:
            for_s: Continue after this many seconds; None: only through ``thaw``.
        """
        self._thawed.clear()
        if for_s is not None:
            self._call_later(for_s, self._thaw)

    def thaw(self) -> None:
        """Continue processing after ``freeze``."""
        self._thawed.set()

    def leave(self) -> None:
        """Refuse new requests and report the state ``leaving``; requests in progress complete."""
        self.leaving = True

    def stay(self) -> None:
        """Accept new requests again after ``leave``."""
        self.leaving = False

    def _routes(self, app: Sanic) -> None:
        """Register the routes of the fake."""

    def _controls(self) -> dict[str, Callable[..., Any]]:
        """Return the fault commands by name."""
        return {
            "crash": self.crash,
            "freeze": self.freeze,
            "thaw": self.thaw,
            "leave": self.leave,
            "stay": self.stay,
        }

    def _on_crash(self) -> None:
        """Discard the state that a crashed process would lose."""

    async def _thaw(self) -> None:
        self.thaw()

    def _call_later(self, delay_s: float, action: Callable[[], Any]) -> None:
        async def wait() -> None:
            await asyncio.sleep(delay_s)
            await action()

        task = asyncio.get_running_loop().create_task(wait())
        self._timers.add(task)
        task.add_done_callback(self._timers.discard)

    def _close_server(self) -> None:
        server, self._server = self._server, None
        if server is None or self._socket is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        self._socket.shutdown(socket.SHUT_RDWR)
        _abort_connections(server)
        self._closing = loop.create_task(_close(server))

    async def _wait_closed(self) -> None:
        if self._closing is not None:
            await self._closing

    def _headers(self) -> dict[str, str]:
        return {STATE_HEADER: LEAVING} if self.leaving else {}

    def _reply(self, body: Any, status: int = 200) -> HTTPResponse:
        return json_response(body, status=status, headers=self._headers())

    def _refuse_leaving(self) -> HTTPResponse:
        return self._reply(
            {"error": {"code": "leaving", "message": f"{self.name} is leaving"}}, 503
        )

    async def _control(self, request: Request, action: str) -> HTTPResponse:
        command = self._controls().get(action)
        if command is None:
            return self._reply({"error": {"message": f"unknown action {action!r}"}}, 404)
        arguments = json.loads(request.body) if request.body else {}
        try:
            loop = asyncio.get_running_loop()
            (
                loop.call_later(0.005, lambda: command(**arguments))
                if action == "crash"
                else command(**arguments)
            )
        except TypeError as exc:
            return self._reply({"error": {"message": str(exc)}}, 400)
        return self._reply({"done": action})

    def _build_app(self) -> Sanic:
        app: Sanic = Sanic(f"fake-{os.getpid()}-{next(_server_numbers)}", configure_logging=False)
        # Sanic patches its own methods on startup, which fails for a second app in the process.
        app.config.TOUCHUP = False
        app.config.ACCESS_LOG = False
        app.config.RESPONSE_TIMEOUT = 3600
        app.config.REQUEST_MAX_SIZE = 64 * 1024 * 1024
        app.config.KEEP_ALIVE_TIMEOUT = 120
        app.add_route(self._control, "/control/<action:str>", methods=["POST"], name="control")
        self._routes(app)
        return app


async def _close(server: Any) -> None:
    """Close a server that has stopped accepting connections.

    If a server closes while asyncio has accepted a socket but not yet passed it to a protocol, the
    socket stays open without an owner and its peer waits until it times out. Hence the pause.
    """
    for _ in range(ACCEPT_ITERATIONS):
        await asyncio.sleep(0)
    server.close()
    _abort_connections(server)


def _abort_connections(server: Any) -> None:
    for conn in list(server.connections):
        conn.abort()


def run_process(build: Callable[[argparse.Namespace], FakeServer], parser: Any) -> None:
    """Run a fake endpoint as a process until SIGTERM or SIGINT.

    The first line of output is a JSON object with its name and address.

    Args:
        build: Creates the fake from the parsed arguments.
        parser: Argument parser; ``--name``, ``--host`` and ``--port`` are added to it.
    """
    parser.add_argument("--name", default="fake")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    args = parser.parse_args()

    async def serve() -> None:
        server = build(args)
        await server.start()
        print(json.dumps({"name": server.name, "address": server.address}), flush=True)
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        await stopped.wait()
        await server.stop()

    asyncio.run(serve())
