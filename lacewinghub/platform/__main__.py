"""Runs a node on the platform: ``python -m lacewinghub.platform``."""

import signal
import sys

# Until the node handles it: by default the signal would end a process that is still starting.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ..errors import LacewingError  # noqa: E402
from .node import serve  # noqa: E402


def main() -> None:
    """Run the node; an error is one line on standard error and exit status 1."""
    try:
        serve()
    except LacewingError as exc:
        print(f"error {exc.code}: {exc.message}", file=sys.stderr)
        raise SystemExit(1) from exc


if __name__ == "__main__":
    main()
