"""Reassembly of a streamed answer from chunks that may be repeated, reordered or missing."""

from .endpoint import Chunk


class ChunkReassembler:
    """Puts the chunks of one answer in order.

    The answer is complete when every token up to the announced total was received. If the final
    chunk states no total, the answer ends with the last token of that chunk. An end before a token
    that has arrived is a mistake of the endpoint and completes nothing.

    Attributes:
        received: Number of tokens received without a gap, which is also the offset of a resume.
        finish: Finish reason, or None while it is unknown.
        repeated: Number of tokens that arrived more than once.
    """

    def __init__(self) -> None:
        self.received = 0
        self.finish: str | None = None
        self.repeated = 0
        self._total: int | None = None
        # Offset after the furthest token that arrived before the end was known.
        self._furthest = 0
        self._out_of_order: dict[int, str] = {}

    @property
    def complete(self) -> bool:
        """True when the end is known and no token before it is missing."""
        return self._total is not None and self.received == self._total >= self._furthest

    def add(self, chunk: Chunk) -> tuple[str, ...]:
        """Add a chunk.

        Args:
            chunk: The chunk, in any order and possibly repeated.

        Returns:
            The tokens that directly follow the ones returned so far; may be empty.
        """
        if self._total is None:
            end = chunk.index + len(chunk.tokens)
            self._furthest = max(self._furthest, end)
            if chunk.finish is not None:
                self.finish = chunk.finish
                self._total = end if chunk.total is None else chunk.total
        if chunk.index == self.received and not self._out_of_order and self._total is None:
            self.received += len(chunk.tokens)
            return chunk.tokens
        return self._merge(chunk)

    def restart(self) -> None:
        """Discard the tokens after a gap and the announced end, before a resume at ``received``."""
        self._out_of_order.clear()
        self._furthest = self.received
        self._total = None
        self.finish = None

    def _merge(self, chunk: Chunk) -> tuple[str, ...]:
        for position, token in enumerate(chunk.tokens, chunk.index):
            if position < self.received or position in self._out_of_order:
                self.repeated += 1
            elif self._total is None or position < self._total:
                self._out_of_order[position] = token
        ready = []
        while self.received in self._out_of_order:
            ready.append(self._out_of_order.pop(self.received))
            self.received += 1
        return tuple(ready)
