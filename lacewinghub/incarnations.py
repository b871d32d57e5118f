"""Proves that the process at an endpoint is the one that its announcement describes.

An endpoint may restart under its name with other software, and its new announcement follows later.
A process keeps its address until it ends, and its end closes its connections. A connection is
therefore proven once the process has stated its start time on it, or if both it and another proven
connection are direct and the other one was open when it was opened. An end that was lost while the
links were cut shows late, so that earlier proofs do not count afterwards.
"""

import weakref
from collections.abc import Callable

from .continuation import continues_stream
from .directory import Announcement
from .endpoint import ConnectFailed
from .httpclient import HttpConnection
from .proxyclient import Incarnation
from .request import Request
from .tables import Endpoint

_Proofs = weakref.WeakKeyDictionary[HttpConnection, float]


class EndpointRestarted(ConnectFailed):
    """The process at the endpoint is not the announced one; the request was not sent."""

    code = "endpoint_restarted"
    neutral = True


def needs_proof(req: Request) -> bool:
    """Return whether a request depends on the software version of its endpoint.

    It does if it continues a stream, or begins one that may be continued.
    """
    state = req.proxy
    if state is None:
        return False
    may_be_continued = state.streaming and state.resumable
    return may_be_continued or state.continued is not None or continues_stream(req)


class IncarnationProofs:
    """The connections whose process is known.

    Args:
        announcement: Returns the announcement of the endpoint of a name, or None.
        on_ended: Called with the name of an endpoint whose announced process has ended.
    """

    def __init__(
        self,
        announcement: Callable[[str], Announcement | None],
        on_ended: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._announcement = announcement
        self._on_ended = on_ended
        # Start times of the processes by address and connection, in seconds.
        self._proven: dict[str, _Proofs] = {}
        # Start times of endpoints whose processes do not state them.
        self._unstated: dict[str, float] = {}

    def is_needed(self, endpoint: Endpoint, conn: HttpConnection) -> bool:
        """Return whether the process of a connection must be asked for its incarnation.

        Args:
            endpoint: The endpoint to which the connection was opened.
            conn: The connection.

        Raises:
            EndpointRestarted: If the endpoint is announced with other software by now.
        """
        started = self._started(endpoint)
        if not started or self._unstated.get(endpoint.name) == started:
            return False
        proofs = self._proven.get(endpoint.address)
        if not proofs:
            return True
        if proofs.get(conn) == started:
            return False
        if conn.via:
            return True
        if any(item.shows_end and at == started for item, at in proofs.items()):
            self._prove(endpoint, conn, started)
            return False
        return True

    def check(
        self, endpoint: Endpoint, conn: HttpConnection, incarnation: Incarnation | None
    ) -> None:
        """Compare what a process says of itself with the announcement of its endpoint.

        Args:
            endpoint: The endpoint.
            conn: The connection on which the process was asked.
            incarnation: What it says; None if it does not state its start.

        Raises:
            EndpointRestarted: If it is not the announced process.
        """
        started = self._started(endpoint)
        if not started:
            return
        if incarnation is None:
            self._unstated[endpoint.name] = started
        elif incarnation.started == started:
            self._prove(endpoint, conn, started)
        else:
            # Otherwise it would be chosen again and again until its new announcement comes.
            self._on_ended(endpoint.name)
            raise _restarted(endpoint)

    def forget(self, endpoint: Endpoint) -> None:
        """Forget the processes of an endpoint that restarted or is gone."""
        self._proven.pop(endpoint.address, None)
        self._unstated.pop(endpoint.name, None)

    def on_links_changed(self) -> None:
        """Forget all connections, whose processes may have ended unnoticed."""
        self._proven.clear()

    def _started(self, endpoint: Endpoint) -> float:
        """Return the announced start time of an endpoint in seconds, 0 if there is none."""
        item = self._announcement(endpoint.name)
        if item is None:
            return 0.0
        announced = item.endpoint
        if (announced.version, announced.address) != (endpoint.version, endpoint.address):
            raise _restarted(endpoint)
        return item.started

    def _prove(self, endpoint: Endpoint, conn: HttpConnection, started: float) -> None:
        self._proven.setdefault(endpoint.address, _Proofs())[conn] = started


def _restarted(endpoint: Endpoint) -> EndpointRestarted:
    return EndpointRestarted(f"endpoint {endpoint.name!r} has restarted", endpoint=endpoint.name)
