"""Entry point of the ``lacewinghub`` command and of ``python -m lacewinghub``."""

import os

# Disables io_uring; uvloop reads this variable when it creates an event loop.
os.environ["UV_USE_IO_URING"] = "0"

import sys

from .cli import run_command


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(run_command(sys.argv[1:]))


if __name__ == "__main__":
    main()
