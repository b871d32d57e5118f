"""Engine of the fake runner: continuous batching on the clock of the event loop."""

import asyncio
import heapq
import itertools
import json
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

import xxhash

BLOCK_WORDS = 64
DEFAULT_MEAN_TOKENS = 64
MAX_PRIORITY = 8
# Members of the body that control how an answer is scheduled and sent but do not change its text.
TRANSPORT_MEMBERS = frozenset(
    {
        "stream",
        "stream_options",
        "priority",
        "request_id",
        "resume_from",
        "max_tokens",
        "max_completion_tokens",
    }
)


def body_seed(body: dict[str, Any]) -> int:
    """Return the seed from which the answer to a body is generated.

    Args:
        body: Body of a chat completions request. ``TRANSPORT_MEMBERS`` (such as ``stream``,
            ``priority`` and ``resume_from``) are ignored.
    """
    counted = {key: value for key, value in body.items() if key not in TRANSPORT_MEMBERS}
    return xxhash.xxh3_64_intdigest(json.dumps(counted, sort_keys=True).encode())


def token_text(seed: int, offset: int) -> str:
    """Return the text of one token, a word with a leading space unless it is the first."""
    word = f"{xxhash.xxh3_64_intdigest(f'{seed}:{offset}'.encode()) & 0xFFFFFF:06x}"
    return word if offset == 0 else f" {word}"


def output_tokens(body: dict[str, Any]) -> int:
    """Return the length of the answer to a body, in tokens.

    ``metadata.output_tokens`` sets it; otherwise it is derived from the seed and lies between 1 and
    twice ``DEFAULT_MEAN_TOKENS``. ``max_tokens`` or ``max_completion_tokens`` limits it.
    """
    metadata = body.get("metadata")
    wanted = metadata.get("output_tokens") if isinstance(metadata, dict) else None
    total = int(wanted) if wanted else 1 + body_seed(body) % (2 * DEFAULT_MEAN_TOKENS)
    limit = body.get("max_completion_tokens") or body.get("max_tokens")
    return min(total, int(limit)) if limit else total


def expected_tokens(body: dict[str, Any]) -> list[str]:
    """Return the tokens that every fake runner generates for a body."""
    seed = body_seed(body)
    return [token_text(seed, offset) for offset in range(output_tokens(body))]


def expected_text(body: dict[str, Any]) -> str:
    """Return the answer that every fake runner generates for a body."""
    return "".join(expected_tokens(body))


def prompt_words(body: dict[str, Any]) -> list[str]:
    """Return the words of a prompt in order; each word counts as a token."""
    words: list[str] = []
    for message in body.get("messages") or []:
        content = message.get("content") if isinstance(message, dict) else None
        if isinstance(content, list):
            content = " ".join(str(part.get("text", "")) for part in content)
        words += str(content or "").split()
    return words


def prefix_blocks(model: str, words: list[str]) -> list[int]:
    """Return the chained hashes of the full blocks of a prompt, longest prefix last."""
    found: list[int] = []
    previous = xxhash.xxh3_64_intdigest(model.encode())
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        block = " ".join(words[start : start + BLOCK_WORDS])
        previous = xxhash.xxh3_64_intdigest(f"{previous}|{block}".encode())
        found.append(previous)
    return found


@dataclass(slots=True)
class EngineConfig:
    """Speed and capacity of an engine.

    Attributes:
        slots: Maximum number of sequences in a batch.
        prefill_tokens_s: Prompt tokens that the engine processes per second.
        step_s: Duration of a decode step with one sequence, in seconds.
        step_per_sequence_s: Added to a step by each additional sequence, in seconds.
        cache_blocks: Prompt blocks of 64 words that the prefix cache holds.
        waiting_limit: Maximum length of the queue; further sequences are refused.
    """

    slots: int = 8
    prefill_tokens_s: float = 20_000.0
    step_s: float = 0.010
    step_per_sequence_s: float = 0.0005
    cache_blocks: int = 4096
    waiting_limit: int = 1024


@dataclass(slots=True, eq=False)
class Sequence:
    """An answer being generated.

    Attributes:
        next_offset: Offset of the next token.
        total: Number of tokens of the complete answer.
        prefill_left: Prompt tokens still to be processed.
        blocks: Hashes of the prompt blocks.
        offsets: Receives the offset of each generated token, then None.
    """

    id: str
    priority: int
    seed: int
    next_offset: int
    total: int
    prefill_left: float
    blocks: list[int]
    offsets: asyncio.Queue[int | None] = field(default_factory=asyncio.Queue)
    cancelled: bool = False


@dataclass(slots=True)
class EngineStats:
    """Counters of an engine since its start."""

    requests: int = 0
    finished: int = 0
    cancelled: int = 0
    tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0


class PrefixCache:
    """LRU cache of prompt blocks that records its changes.

    Args:
        limit: Maximum number of blocks.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self.changes: list[tuple[str, int]] = []

    def match(self, blocks: list[int]) -> int:
        """Return the number of leading blocks that are cached, and mark them as used."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, blocks: list[int]) -> None:
        """Add blocks and evict the least recently used ones beyond the limit."""
        for block in blocks:
            if block not in self._blocks and self._limit > 0:
                self.changes.append(("store", block))
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            block, _ = self._blocks.popitem(last=False)
            if self._limit > 0:
                self.changes.append(("evict", block))

    def take_changes(self) -> list[tuple[str, int]]:
        """Return the changes since the last call."""
        found, self.changes = self.changes, []
        return found


class Engine:
    """Generates answers in batches.

    Each step processes waiting prompt tokens at the prefill rate and adds one token to every
    sequence whose prefill is complete. Waiting sequences enter the batch by priority, then in order
    of arrival.

    Args:
        cfg: Speed and capacity.
        thawed: Event that is cleared while the runner is frozen; no step ends meanwhile.
    """

    def __init__(self, cfg: EngineConfig, thawed: asyncio.Event) -> None:
        self.cfg = cfg
        self.cache = PrefixCache(cfg.cache_blocks)
        self.stats = EngineStats()
        self.slowdown = 1.0
        self.running: list[Sequence] = []
        self._thawed = thawed
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._order = itertools.count()
        self._task: asyncio.Task[None] | None = None

    @property
    def waiting(self) -> int:
        """Number of sequences that wait for a slot."""
        return sum(not item[2].cancelled for item in self._waiting)

    @property
    def full(self) -> bool:
        """True if the queue has reached its limit."""
        return self.waiting >= self.cfg.waiting_limit

    def submit(self, body: dict[str, Any]) -> Sequence:
        """Start or resume an answer.

        Args:
            body: Body of a chat completions request, with the optional members ``priority`` (1 is
                the highest), ``request_id`` and ``resume_from`` (number of tokens received before).

        Returns:
            The sequence.
        """
        words = prompt_words(body)
        start = int(body.get("resume_from") or 0)
        sequence = Sequence(
            id=str(body.get("request_id") or f"local-{next(self._order)}"),
            priority=int(body.get("priority") or MAX_PRIORITY),
            seed=body_seed(body),
            next_offset=start,
            total=output_tokens(body),
            prefill_left=float(len(words) + start),
            blocks=prefix_blocks(str(body.get("model", "")), words),
        )
        self.stats.requests += 1
        self.stats.prompt_tokens += len(words) + start
        heapq.heappush(self._waiting, (sequence.priority, next(self._order), sequence))
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())
        return sequence

    def cancel(self, sequence: Sequence) -> None:
        """Stop a sequence and free its slot; no effect on a finished one."""
        if sequence.cancelled or sequence.next_offset >= sequence.total:
            return
        sequence.cancelled = True
        self.stats.cancelled += 1
        if sequence in self.running:
            self.running.remove(sequence)
        sequence.offsets.put_nowait(None)

    def find(self, request_id: str) -> list[Sequence]:
        """Return the sequences of a request id."""
        known = [*self.running, *(item[2] for item in self._waiting)]
        return [item for item in known if item.id == request_id]

    def reset(self) -> None:
        """Cancel all sequences and clear the cache, as a crash does."""
        if self._task is not None:
            self._task.cancel()
        self._task = None
        for sequence in [*self.running, *(item[2] for item in self._waiting)]:
            sequence.cancelled = True
            sequence.offsets.put_nowait(None)
        self.running, self._waiting = [], []
        self.cache = PrefixCache(self.cfg.cache_blocks)

    async def _run(self) -> None:
        while self.running or self._waiting:
            self._fill_batch()
            step_s = self.cfg.step_s + self.cfg.step_per_sequence_s * max(len(self.running) - 1, 0)
            await asyncio.sleep(step_s * self.slowdown)
            await self._thawed.wait()
            self._step(step_s)

    def _fill_batch(self) -> None:
        while self._waiting and len(self.running) < self.cfg.slots:
            sequence = heapq.heappop(self._waiting)[2]
            if sequence.cancelled:
                continue
            cached = self.cache.match(sequence.blocks) * BLOCK_WORDS
            self.stats.cached_tokens += cached
            sequence.prefill_left -= cached
            self.cache.store(sequence.blocks)
            self.running.append(sequence)

    def _step(self, step_s: float) -> None:
        budget = self.cfg.prefill_tokens_s * step_s
        for sequence in list(self.running):
            if sequence.prefill_left > 0:
                spent = min(budget, sequence.prefill_left)
                budget -= spent
                sequence.prefill_left -= spent
            if sequence.prefill_left <= 0:
                self._emit(sequence)

    def _emit(self, sequence: Sequence) -> None:
        if sequence.next_offset < sequence.total:
            sequence.offsets.put_nowait(sequence.next_offset)
            sequence.next_offset += 1
            self.stats.tokens += 1
        if sequence.next_offset >= sequence.total:
            sequence.offsets.put_nowait(None)
            self.running.remove(sequence)
            self.stats.finished += 1
