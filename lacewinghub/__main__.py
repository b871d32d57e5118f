"""Entry point of ``lacewinghub`` and ``python -m lacewinghub``."""

import os

# uvloop reads the variable when it creates a loop; io_uring is not to be used.
os.environ["UV_USE_IO_URING"] = "0"

import sys

from .cli import run_command


def main() -> None:
    """Run the command line and leave the process with its exit status."""
    sys.exit(run_command(sys.argv[1:]))


if __name__ == "__main__":
    main()
