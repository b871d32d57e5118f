"""Estimates which prompt prefixes each runner has in its cache."""

from collections import OrderedDict
from collections.abc import Collection, Iterable

import xxhash

BLOCK_WORDS = 64


def prefix_hashes(text: str) -> tuple[int, ...]:
    """Hash a prompt in blocks of ``BLOCK_WORDS`` words.

    Args:
        text: The prompt.

    Returns:
        One 64-bit hash per full block; each covers the prompt up to the end of the block.
    """
    words = text.split()
    hashes, state = [], xxhash.xxh3_64()
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        state.update(" ".join(words[start : start + BLOCK_WORDS]).encode() + b"\n")
        hashes.append(state.intdigest())
    return tuple(hashes)


class PrefixCacheIndex:
    """Hashes of the blocks that each runner has probably cached, in order of their last use."""

    def __init__(self) -> None:
        self._blocks: dict[str, OrderedDict[int, None]] = {}

    def record(self, endpoint: str, prefix: Iterable[int], capacity: int) -> None:
        """Record that a prompt was sent to a runner.

        Args:
            endpoint: Name of the runner.
            prefix: Block hashes in prompt order.
            capacity: Cache size of the runner, in blocks.
        """
        blocks = self._blocks.setdefault(endpoint, OrderedDict())
        for block in prefix:
            blocks[block] = None
            blocks.move_to_end(block)
        while len(blocks) > capacity:
            blocks.popitem(last=False)

    def evict(self, endpoint: str, blocks: Iterable[int]) -> None:
        """Remove blocks that a runner reported as evicted."""
        known = self._blocks.get(endpoint)
        for block in blocks if known else ():
            known.pop(block, None)  # type: ignore[union-attr]

    def forget(self, endpoint: str) -> None:
        """Remove all blocks of a runner, for example after a crash."""
        self._blocks.pop(endpoint, None)

    def matching_blocks(self, endpoint: str, prefix: Collection[int]) -> int:
        """Return how many leading blocks of a prefix a runner has probably cached."""
        blocks = self._blocks.get(endpoint)
        if not blocks:
            return 0
        count = 0
        for block in prefix:
            if block not in blocks:
                break
            count += 1
        return count

    def best(self, prefix: Collection[int], endpoints: Iterable[str]) -> str:
        """Return the runner with the longest cached prefix, or an empty string if none has any."""
        found, longest = "", 0
        for endpoint in endpoints:
            count = self.matching_blocks(endpoint, prefix)
            if count > longest:
                found, longest = endpoint, count
        return found
