"""Memory and descriptors that the host and the system permit the process."""

import contextlib
import os
import resource
from pathlib import Path

# Limits of the control group of the process (cgroup v2 and v1); the first has the word "max" where
# there is none.
_CGROUP_LIMITS = (
    Path("/sys/fs/cgroup/memory.max"),
    Path("/sys/fs/cgroup/memory/memory.limit_in_bytes"),
)


def host_memory_bytes() -> int:
    """Return the memory of the host, or of the control group if that has less, in bytes."""
    found = [os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")]
    for path in _CGROUP_LIMITS:
        with contextlib.suppress(OSError, ValueError):
            found.append(int(path.read_text()))
    return min(found)


def max_descriptors() -> int | None:
    """Return the number of descriptors that the process may have, or None for no limit."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if soft == resource.RLIM_INFINITY else soft
