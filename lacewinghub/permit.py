"""Permission to send a claimed request, which ends with its claim."""

from collections.abc import Callable

from .errors import NotRun


class SendPermit:
    """Permission to send one request once.

    Args:
        age: Returns the time since the append of the claim started, in seconds.
        max_age: Returns the largest age at which the request may be sent, in seconds.

    Attributes:
        used: True once the request may have been sent.
    """

    def __init__(self, age: Callable[[], float], max_age: Callable[[], float]) -> None:
        self.used = False
        self._age = age
        self._max_age = max_age
        self._revoked = False

    def use(self) -> None:
        """Check that the request may be sent now, and mark the permit as used.

        It may be used again only if nothing was sent after the earlier use.

        Raises:
            NotRun: If the claim is too old or was abandoned. The request must not be sent.
        """
        if self._revoked:
            raise NotRun("the claim was abandoned")
        if self._age() >= self._max_age():
            raise NotRun("the claim is too old to be sent")
        self.used = True

    def revoke(self) -> None:
        """Forbid every later use."""
        self._revoked = True
