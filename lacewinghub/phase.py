"""Phases in the life of a node."""

from enum import StrEnum


class Phase(StrEnum):
    """Phase in the life of a node."""

    SERVING = "serving"
    # Fails the readiness checks but serves all requests until the load balancer has removed it.
    LEAVING = "leaving"
    # Closes connections and refuses requests; the HTTP proxy still serves those that end in time.
    DRAINING = "draining"
