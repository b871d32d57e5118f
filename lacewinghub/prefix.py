"""Remembers which runners are likely to have a prompt prefix in their cache."""

from collections import OrderedDict
from collections.abc import Collection, Iterable

import xxhash

BLOCK_WORDS = 64


def prefix_hashes(text: str) -> tuple[int, ...]:
    """Hash the prompt in blocks of ``BLOCK_WORDS`` words.

    Args:
        text: The prompt.

    Returns:
        One 64-bit hash per full block, each covering the prompt up to the block's end.
    """
    words = text.split()
    hashes, state = [], xxhash.xxh3_64()
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        state.update(" ".join(words[start : start + BLOCK_WORDS]).encode() + b"\n")
        hashes.append(state.intdigest())
    return tuple(hashes)


class PrefixCacheIndex:
    """Blocks by runner in order of use, limited by the runner's cache size."""

    def __init__(self) -> None:
        self._blocks: dict[str, OrderedDict[int, None]] = {}

    def record(self, endpoint: str, prefix: Iterable[int], capacity: int) -> None:
        """Note that a prompt was sent to a runner.

        Args:
            endpoint: Name of the runner.
            prefix: Block hashes, longest last.
            capacity: Cache size of the runner, in blocks.
        """
        blocks = self._blocks.setdefault(endpoint, OrderedDict())
        for block in prefix:
            blocks[block] = None
            blocks.move_to_end(block)
        while len(blocks) > capacity:
            blocks.popitem(last=False)

    def evict(self, endpoint: str, blocks: Iterable[int]) -> None:
        """Take over a cache event: the runner dropped these blocks."""
        known = self._blocks.get(endpoint)
        for block in blocks if known else ():
            known.pop(block, None)  # type: ignore[union-attr]

    def forget(self, endpoint: str) -> None:
        """Drop everything about a runner, for instance after its crash."""
        self._blocks.pop(endpoint, None)

    def matching_blocks(self, endpoint: str, prefix: Collection[int]) -> int:
        """Return the number of leading blocks that the runner probably holds."""
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
        """Return the runner with the longest match, or an empty string if none has any."""
        found, longest = "", 0
        for endpoint in endpoints:
            count = self.matching_blocks(endpoint, prefix)
            if count > longest:
                found, longest = endpoint, count
        return found
