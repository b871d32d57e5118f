"""Endpoints that asked this node in a refusal to send nothing for some time.

Unlike ``fullrunner``, which guesses from a refusal how long a runner stays full and tells all
nodes, this is the endpoint's own wish towards one node.
"""

import asyncio

from loguru import logger


class EndpointPauses:
    """The endpoints to which this node sends nothing, and until when."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def record(self, endpoint: str, pause_s: float) -> None:
        """Record that an endpoint wants no requests.

        Args:
            endpoint: Name of the endpoint.
            pause_s: For how long, in seconds from now.
        """
        if not self.wait_s(endpoint):
            logger.bind(endpoint=endpoint, pause_s=pause_s).info("the endpoint asks for a pause")
        self._until[endpoint] = max(self._until.get(endpoint, 0.0), _now() + pause_s)

    def forget(self, endpoint: str) -> None:
        """End the pause of an endpoint that has restarted or is gone."""
        self._until.pop(endpoint, None)

    def wait_s(self, endpoint: str) -> float:
        """Return how long until the pause of an endpoint ends, in seconds; 0 if there is none."""
        return max(0.0, self._until.get(endpoint, 0.0) - _now())


def _now() -> float:
    return asyncio.get_running_loop().time()
