"""Rates of requests that endpoints state in their answers."""

from loguru import logger


class EndpointQuotas:
    """The stated rates by endpoint."""

    def __init__(self) -> None:
        self._per_s: dict[str, float] = {}

    def record(self, endpoint: str, per_s: float | None) -> None:
        """Record what an answer states.

        Args:
            endpoint: Name of the endpoint.
            per_s: Requests per second that it takes from all nodes together; None if it states no
                limit.
        """
        if per_s == self._per_s.get(endpoint):
            return
        logger.bind(endpoint=endpoint, per_s=per_s).info("the endpoint's stated limit changed")
        if per_s is None:
            del self._per_s[endpoint]
        else:
            self._per_s[endpoint] = per_s
