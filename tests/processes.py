"""Starts the processes of a deployment on loopback addresses."""

import asyncio
import hashlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import aiohttp

from lacewinghub.log import HttpLog
from lacewinghub.publish import publish

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0  # Up to nine nodes start at the same time on a possibly busy machine.
WORKSPACE_KEY = "key-of-the-trust"
OPERATOR_KEY = "key-of-the-operator"

_reserved: list[socket.socket] = []


def sha256(key: str) -> str:
    """Return the SHA-256 digest of a key in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def free_port() -> int:
    """Return a free loopback port and reserve it until this process ends.

    The socket stays bound without listening: the system assigns the port to no other socket, but a
    server with ``SO_REUSEADDR`` can still bind it.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _reserved.append(sock)
    return sock.getsockname()[1]


def child_pids(pid: int) -> list[int]:
    """Return the ids of the child processes of ``pid``, from /proc."""
    found = []
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rsplit(")", 1)[1].split()
        except OSError:
            continue
        if int(fields[1]) == pid:
            found.append(int(path.parent.name))
    return found


def descriptors(pid: int) -> list[str]:
    """Return the targets of the open file descriptors of a process, from /proc."""
    found = []
    for path in Path(f"/proc/{pid}/fd").iterdir():
        try:
            found.append(os.readlink(path))
        except OSError:
            continue
    return found


class Process:
    """A process whose first line of output contains its address.

    Args:
        module: Name of a module of lacewinghub, or full name of any other module.
        args: Command line arguments.
        log: File that receives standard error.
        announces: False if it prints no address.
    """

    def __init__(self, module: str, args: list[str], log: Path, announces: bool = True) -> None:
        self.log = log
        self._err = log.open("ab")
        self.popen = subprocess.Popen(
            [sys.executable, "-m", module if "." in module else f"lacewinghub.{module}", *args],
            cwd=ROOT,
            stdout=subprocess.PIPE if announces else subprocess.DEVNULL,
            stderr=self._err,
        )
        self.address = ""
        if announces:
            assert self.popen.stdout is not None
            line = self.popen.stdout.readline().decode()
            found = re.search(r"\d+\.\d+\.\d+\.\d+:\d+", line)
            if found is None:
                raise AssertionError(f"{module} did not start: {log.read_text()}")
            self.address = found.group()

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.popen.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait(10)
        if self.popen.stdout is not None:
            self.popen.stdout.close()
        self._err.close()


class Deployment:
    """A deployment of one log and several runners, services and nodes, each a process.

    Args:
        runners: Number of runners.
        nodes: Number of nodes; more can be started later.
        limits: Member ``limits`` of the nodes' settings.
        runner_args: Additional arguments of the runners.
        service_args: Additional arguments of the services.
        members: Settings of all nodes, which override those of ``add_node``.
        without: Mechanism that is disabled in the nodes, see ``node_without``.
        services: Number of services.
        tables: Additional members of the tables.
    """

    def __init__(
        self,
        runners: int = 2,
        nodes: int = 3,
        limits: dict[str, Any] | None = None,
        runner_args: list[str] | None = None,
        service_args: list[str] | None = None,
        members: dict[str, Any] | None = None,
        without: str = "",
        services: int = 1,
        tables: dict[str, Any] | None = None,
    ) -> None:
        self.tables = tables or {}
        self._dir = tempfile.TemporaryDirectory()
        self.path = Path(self._dir.name)
        self.limits = limits or {}
        self.members = members or {}
        self.without = without
        self.processes: list[Process] = []
        self.log = self._start("fake_log", [], "log")
        self._runner_args, self._service_args = runner_args or [], service_args or []
        self.runners = [self.start_runner(f"r{i}") for i in range(runners)]
        self.services = [self.start_service(f"s{i}") for i in range(services)]
        self.settings: dict[str, dict[str, Any]] = {}
        self.nodes: dict[str, Process] = {}
        peers = [f"127.0.0.1:{free_port()}" for _ in range(nodes)]
        for index, peer in enumerate(peers):
            self.add_node(f"n{index}", peer_listen=peer, peers=peers)

    def add_node(self, name: str, **members: Any) -> Process:
        """Start a node.

        Args:
            name: Identifier of the node.
            members: Settings that override those of the deployment.
        """
        cfg = {
            "node": name,
            "availability_zone": "north-a",
            "listen": f"127.0.0.1:{free_port()}",
            "peer_listen": f"127.0.0.1:{free_port()}",
            "log": self.log.address,
            "peer_key": "peer-key-of-the-tests",
            "operator_keys": [sha256(OPERATOR_KEY)],
            "history_file": str(self.path / f"{name}.history"),
            "limits": self.limits,
        }
        cfg |= self.members | members
        path = self.path / f"{name}.json5"
        path.write_text("// Settings of a test.\n" + json.dumps(cfg, indent=1))
        self.settings[name] = cfg
        command = ["tests.node_without", self.without] if self.without else ["node"]
        log = self.path / f"{name}.log"
        node = Process(command[0], [*command[1:], str(path)], log, announces=False)
        node.address = cfg["listen"]
        self.processes.append(node)
        self.nodes[name] = node
        return node

    def add_zones(
        self, zones: Sequence[str], each: int, own: dict[str, dict[str, Any]] | None = None
    ) -> None:
        """Start nodes in several availability zones, each with the addresses of all as peers.

        Args:
            zones: Names of the availability zones.
            each: Nodes per availability zone; their identifiers are ``ZONE-NUMBER``.
            own: Settings by identifier that override those of the deployment.
        """
        hosts = [(zone, f"{zone}-{number}") for zone in zones for number in range(each)]
        peers = [f"127.0.0.1:{free_port()}" for _ in hosts]
        for (zone, name), peer in zip(hosts, peers, strict=True):
            members = {"availability_zone": zone, "peer_listen": peer, "peers": peers}
            self.add_node(name, **(members | (own or {}).get(name, {})))

    def start_runner(self, name: str) -> Process:
        """Start a runner that is not part of the tables yet."""
        return self._start("fake_runner", ["--name", name, *self._runner_args], name)

    def start_service(self, name: str) -> Process:
        """Start a service that is not part of the tables yet; its ledger is kept when it ends."""
        ledger = ["--ledger", str(self.path / f"{name}.ledger")]
        return self._start("fake_service", ["--name", name, *ledger, *self._service_args], name)

    def add_hosts(self) -> Process:
        """Start an empty host list."""
        return self._start("fake_hosts", [], "hosts")

    def document(self) -> dict[str, Any]:
        """Return the tables of the deployment."""
        zone = {"availability_zone": "north-a"}
        runners = [
            {"name": f"r{i}", "address": item.address} | zone for i, item in enumerate(self.runners)
        ]
        services = [
            {"name": f"s{i}", "address": item.address} | zone
            for i, item in enumerate(self.services)
        ]
        return self.tables | {
            "pools": [
                {"name": "assistant", "endpoints": runners},
                {"name": "booking", "kind": "service", "repeatable": False, "endpoints": services},
                {"name": "prices", "kind": "service", "endpoints": services},
            ],
            "routes": [
                {"name": "chat", "pool": "assistant", "tier": 2, "model": "colour"},
                {"name": "book", "pool": "booking", "tier": 1, "model": "booking"},
                {"name": "price", "pool": "prices", "tier": 3, "model": "prices"},
            ],
            "workspaces": [{"name": "trust", "keys": [sha256(WORKSPACE_KEY)]}],
        }

    async def publish(self, document: dict[str, Any] | None = None) -> None:
        """Publish tables; defaults to those of the deployment."""
        log = HttpLog(self.log.address)
        try:
            await publish(log, document or self.document(), "test")
        finally:
            await log.close()

    async def wait_ready(self, *names: str) -> None:
        """Wait until nodes answer ``/readyz`` with 200; defaults to all nodes."""
        async with aiohttp.ClientSession() as http:
            for name in names or tuple(self.nodes):
                await self._wait_status(http, name, "/readyz", (200,))

    async def wait_up(self, *names: str) -> None:
        """Wait until nodes answer ``/healthz`` with 200; defaults to all nodes."""
        async with aiohttp.ClientSession() as http:
            for name in names or tuple(self.nodes):
                await self._wait_status(http, name, "/healthz", (200,))

    def close(self) -> None:
        """Kill all processes and delete their files."""
        for process in self.processes:
            process.kill()
        self._dir.cleanup()

    def history(self, name: str) -> list[dict[str, Any]]:
        """Return the events in the history file of a node."""
        lines = (self.path / f"{name}.history").read_text().splitlines()
        return [json.loads(line) for line in lines]

    def _start(self, module: str, args: list[str], name: str) -> Process:
        process = Process(module, args, self.path / f"{name}.log")
        self.processes.append(process)
        return process

    async def _wait_status(
        self, http: aiohttp.ClientSession, name: str, path: str, expected: tuple[int, ...]
    ) -> None:
        node = self.nodes[name]
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                async with http.get(f"http://{node.address}{path}") as resp:
                    if resp.status in expected:
                        return
            except aiohttp.ClientError:
                pass
            if node.popen.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise AssertionError(f"node {name} does not answer {path}: {node.log.read_text()[-2000:]}")
