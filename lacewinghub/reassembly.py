"""Assembly of a streamed answer from chunks that may repeat, overtake each other or be missing."""

from .endpoint import Chunk


class ChunkReassembler:
    """Puts the chunks of one answer in order.

    The answer is complete when every token up to the announced total was taken. An end that an
    endpoint announces without a total counts as the position of its chunk's last token.

    Attributes:
        received: Number of tokens taken in order, which is also the offset of a resume.
        finish: Reason of the end, or None while it is unknown.
        repeated: Number of tokens that arrived more than once.
    """

    def __init__(self) -> None:
        self.received = 0
        self.finish: str | None = None
        self.repeated = 0
        self._total: int | None = None
        self._early: dict[int, str] = {}

    @property
    def complete(self) -> bool:
        """True when the end is known and no token before it is missing."""
        return self._total is not None and self.received >= self._total

    def add(self, chunk: Chunk) -> tuple[str, ...]:
        """Take a chunk.

        Args:
            chunk: The chunk, in any order and possibly repeated.

        Returns:
            The tokens that follow the ones returned so far; may be empty.
        """
        if chunk.finish is not None and self._total is None:
            self.finish = chunk.finish
            end = chunk.index + len(chunk.tokens)
            self._total = end if chunk.total is None else chunk.total
        if chunk.index == self.received and not self._early and self._total is None:
            self.received += len(chunk.tokens)
            return chunk.tokens
        return self._merge(chunk)

    def restart(self) -> None:
        """Forget tokens beyond a gap and the end, before a resume at ``received``."""
        self._early.clear()
        self._total = None
        self.finish = None

    def _merge(self, chunk: Chunk) -> tuple[str, ...]:
        for position, token in enumerate(chunk.tokens, chunk.index):
            if position < self.received or position in self._early:
                self.repeated += 1
            elif self._total is None or position < self._total:
                self._early[position] = token
        ready = []
        while self.received in self._early:
            ready.append(self._early.pop(self.received))
            self.received += 1
        return tuple(ready)
