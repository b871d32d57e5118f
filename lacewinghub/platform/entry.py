"""Answers the readiness checks of the platform's load balancer."""

from collections.abc import Callable

from ..httpmessage import Incoming
from ..httpserver import HttpHandler
from ..responder import Responder
from . import names


class ReadyHandler(HttpHandler):
    """Answers readiness checks.

    Args:
        is_ready: Tells whether the node should receive new connections.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def handle(self, incoming: Incoming, out: Responder) -> None:
        """Answer 200 if the node is ready, otherwise 503."""
        if incoming.target.partition(b"?")[0] != names.READY_PATH:
            out.send(404, [], b"")
        else:
            out.send(200 if self._is_ready() else 503, [], b"")
