"""Fake of the platform's host list, which shows changes with a delay."""

import argparse
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from sanic import HTTPResponse, Request, Sanic

from ._fake_server import FakeServer, run_process
from .hosts import Host


@dataclass(frozen=True, slots=True)
class _Change:
    at: float
    address: str
    state: str | None


class FakeHosts(FakeServer):
    """A host list that shows each change ``lag_s`` seconds after it was made.

    Args:
        name: Name of the fake.
        host: IP address to bind.
        port: Port to bind; 0 for one chosen by the system.
        lag_s: Delay of changes in seconds.
        clock: Returns the time, in seconds.
    """

    def __init__(
        self,
        name: str = "hosts",
        host: str = "127.0.0.1",
        port: int = 0,
        lag_s: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(name, host, port)
        self.lag_s = lag_s
        self._clock = clock
        self._changes: list[_Change] = []
        self._shown: dict[str, str] = {}

    def put(self, address: str, state: str = "live") -> None:
        """Set the state of a host.

        Args:
            address: ``IP:port``.
            state: ``live`` or ``leaving``.
        """
        self._changes.append(_Change(self._clock(), address, state))

    def remove(self, address: str) -> None:
        """Remove a host."""
        self._changes.append(_Change(self._clock(), address, None))

    def set_lag(self, lag_s: float) -> None:
        """Set the delay of changes in seconds."""
        self.lag_s = lag_s

    def shown(self) -> list[Host]:
        """Return the hosts that the list shows now."""
        limit = self._clock() - self.lag_s
        while self._changes and self._changes[0].at <= limit:
            change = self._changes.pop(0)
            if change.state is None:
                self._shown.pop(change.address, None)
            else:
                self._shown[change.address] = change.state
        return [Host(address, state) for address, state in self._shown.items()]  # type: ignore[arg-type]

    def _routes(self, app: Sanic) -> None:
        app.add_route(self._get_hosts, "/hosts", name="hosts")

    def _controls(self) -> dict[str, Callable[..., Any]]:
        return super()._controls() | {"put": self.put, "remove": self.remove, "lag": self.set_lag}

    async def _get_hosts(self, _request: Request) -> HTTPResponse:
        await self._thawed.wait()
        return self._reply({"hosts": [asdict(host) for host in self.shown()]})


def main() -> None:
    """Serve a host list until the process is stopped."""
    parser = argparse.ArgumentParser(prog="python -m lacewinghub.fake_hosts", description=__doc__)
    parser.add_argument("--lag", type=float, default=0.0, help="delay of changes in seconds")
    parser.add_argument("addresses", nargs="*", help="addresses of live hosts, IP:port")

    def build(args: argparse.Namespace) -> FakeServer:
        hosts = FakeHosts(args.name, args.host, args.port, args.lag)
        for address in args.addresses:
            hosts.put(address)
        return hosts

    run_process(build, parser)


if __name__ == "__main__":
    main()
