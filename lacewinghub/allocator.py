"""Gives memory back to the operating system after large requests."""

import ctypes

# Parameter of mallopt for the size from which a block has a mapping of its own.
_M_MMAP_THRESHOLD = -3
# A body above this size has a mapping of its own, which is released as soon as it is freed.
# Without a fixed value the C library raises it up to 32 MB, and bodies fragment the heap.
MAPPED_BYTES = 256 * 1024


def _c_library() -> ctypes.CDLL | None:
    try:
        return ctypes.CDLL(None)
    except OSError:
        return None


_library = _c_library()


def map_large_blocks() -> None:
    """Let large blocks have mappings of their own; without effect on other C libraries."""
    if _library is not None and hasattr(_library, "mallopt"):
        _library.mallopt(_M_MMAP_THRESHOLD, MAPPED_BYTES)


def release_free_memory() -> None:
    """Return free memory to the operating system; without effect on other C libraries."""
    if _library is not None and hasattr(_library, "malloc_trim"):
        _library.malloc_trim(0)
