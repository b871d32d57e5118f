"""Tests of the assembly of streamed answers."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lacewinghub.endpoint import Chunk
from lacewinghub.reassembly import ChunkReassembler


def _chunks(total: int, size: int) -> list[Chunk]:
    starts = range(0, total, size)
    chunks = [Chunk(at, tuple(f"t{n}" for n in range(at, min(at + size, total)))) for at in starts]
    return [*chunks, Chunk(total, (), "stop", total)]


class AnswerTest(unittest.TestCase):
    """Guards against answers that are mixed up, doubled or presented as complete too early."""

    @given(st.integers(1, 30), st.integers(1, 5), st.randoms(use_true_random=False))
    def test_any_order_with_repetition_gives_the_whole_answer_once(
        self, total: int, size: int, rng: object
    ) -> None:
        chunks = _chunks(total, size) * 2
        rng.shuffle(chunks)  # type: ignore[attr-defined]
        answer, got = ChunkReassembler(), []
        for chunk in chunks:
            got += answer.add(chunk)
        self.assertEqual(got, [f"t{n}" for n in range(total)])
        self.assertTrue(answer.complete)
        self.assertEqual(answer.repeated, total)

    @given(st.integers(2, 30), st.data())
    def test_a_missing_chunk_leaves_the_answer_incomplete(
        self, total: int, data: st.DataObject
    ) -> None:
        chunks = _chunks(total, 1)
        missing = data.draw(st.integers(0, total - 1))
        answer = ChunkReassembler()
        for at, chunk in enumerate(chunks):
            if at != missing:
                answer.add(chunk)
        self.assertFalse(answer.complete)
        self.assertEqual(answer.received, missing)

    def test_without_an_end_the_answer_is_incomplete(self) -> None:
        answer = ChunkReassembler()
        answer.add(Chunk(0, ("a", "b")))
        self.assertFalse(answer.complete)

    def test_resume_after_a_gap_starts_at_the_first_missing_token(self) -> None:
        answer = ChunkReassembler()
        answer.add(Chunk(0, ("a",)))
        answer.add(Chunk(2, ("c",), "stop", 3))
        answer.restart()
        self.assertEqual(answer.received, 1)
        self.assertEqual(answer.add(Chunk(1, ("B", "C"), "stop", 3)), ("B", "C"))
        self.assertTrue(answer.complete)

    def test_tokens_beyond_the_end_are_dropped(self) -> None:
        answer = ChunkReassembler()
        answer.add(Chunk(0, ("a", "b"), "length", 2))
        self.assertEqual(answer.add(Chunk(2, ("x",))), ())
        self.assertEqual((answer.complete, answer.finish), (True, "length"))
