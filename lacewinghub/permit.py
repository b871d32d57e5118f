"""The right to send a claimed request, which ends with its claim."""

from collections.abc import Callable

from .errors import NotRun


class Permit:
    """The right to send one request once.

    Args:
        elapsed: Returns the time since the claim's append began, in seconds.
        limit: Returns the largest permitted elapsed time, in seconds.

    Attributes:
        used: True once the request may have been sent.
    """

    def __init__(self, elapsed: Callable[[], float], limit: Callable[[], float]) -> None:
        self.used = False
        self._elapsed = elapsed
        self._limit = limit
        self._revoked = False

    def use(self) -> None:
        """Permit to send the request now; a second use states that nothing was sent before.

        Raises:
            NotRun: If the claim is too old or was given up. The request must not be sent.
        """
        if self._revoked:
            raise NotRun("the claim was given up")
        if self._elapsed() >= self._limit():
            raise NotRun("the claim is too old to be sent")
        self.used = True

    def revoke(self) -> None:
        """Forbid any later use."""
        self._revoked = True
