"""Tests of splitting streams into events for a resume."""

import itertools
import time
import unittest

from lacewinghub.eventstream import EventSplitter

A, B, C = (b"id: %d\ndata: x%d\n\n" % (n, n) for n in (5, 10, 15))


WRONG = b"id: 99999999999999999999\ndata: x\n\n"
SMALL, LARGE = 16 * 1024, 256 * 1024  # The larger number of bytes is what one read may bring.


def _cost_s(piece: bytes, size: int, after: bytes | None) -> float:
    """Return the processor time to split a number of bytes, in seconds; the least of three."""
    data = piece * (size // len(piece))
    found = []
    for _ in range(3):
        splitter, start = EventSplitter(after), time.thread_time()
        splitter.feed(data)
        found.append(time.thread_time() - start)
    return min(found)


class TestEventSplitter(unittest.TestCase):
    def test_feed(self) -> None:
        # Guards against events that are lost, repeated or joined from the streams of two endpoints.
        cases = [
            ("complete events", None, [A + B], A + B, b"10"),
            ("split after each byte", None, [bytes([byte]) for byte in A + B], A + B, b"10"),
            ("incomplete event is kept back", None, [A + B[:-1]], A, b"5"),
            ("old events are dropped", b"5", [A + B + C], B + C, b"15"),
            ("events without id pass", b"5", [b": note\n\n" + B], b": note\n\n" + B, b"10"),
            (
                "line ends of two bytes",
                None,
                [b"id: 3\r\ndata: a\r\n\r\n"],
                b"id: 3\r\ndata: a\r\n\r\n",
                b"3",
            ),
            ("ids that are no numbers", b"a", [b"id: a\n\n", b"id: b\n\n"], b"id: b\n\n", b"b"),
            ("old events in pieces", b"10", [A[:5], A[5:] + B[:9], B[9:] + C], C, b"15"),
            ("a spoilt id drops nothing after it", b"5", [WRONG, B, C], WRONG + B + C, b"15"),
            ("an id of many digits", None, [b"id: " + b"7" * 5000 + b"\n\n" + B], None, b"10"),
        ]
        for name, after, pieces, passed, last in cases:
            with self.subTest(name):
                splitter = EventSplitter(after)
                expected = b"".join(pieces) if passed is None else passed
                self.assertEqual(b"".join(map(splitter.feed, pieces)), expected)
                self.assertEqual(splitter.last_event_id, last)

    def test_a_continued_stream_repeats_nothing(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(A + B + C[:7]), A + B)
        splitter.restart()
        self.assertEqual(splitter.feed(A + B + C), C)

    def test_events_after_the_last_id(self) -> None:
        # Guards against a run that goes on elsewhere after an event that no id states.
        one, two, plain = b"id: 1\ndata: a\n\n", b"data: b\nid: 2\n\n", b"data: c\n\n"
        cases: list[tuple[str, list[bytes], bool]] = [
            ("nothing", [], False),
            ("with ids", [one, two], False),
            ("with ids in one piece", [one + two], False),
            ("without an id", [plain], True),
            ("without an id after one", [one, plain], True),
            ("without an id after one, in one piece", [one + plain], True),
            ("an id after one without", [plain, one], False),
            ("an id after one without, in one piece", [plain + one], False),
            ("comments only", [b": c\n\n"], False),
            ("a comment after an id", [one, b": c\n\n"], False),
            ("a comment after an id, in one piece", [one + b": c\n\n"], False),
            ("a comment after an event without an id", [plain, b": c\n\n"], True),
            ("an incomplete event", [one, plain[:-1]], False),
        ]
        for name, pieces, expected in cases:
            with self.subTest(name):
                splitter = EventSplitter()
                for piece in pieces:
                    splitter.feed(piece)
                self.assertEqual(splitter.ends_without_id, expected)

    def test_work_is_proportional_to_the_bytes(self) -> None:
        # Guards against many short events in one read that keep the event loop busy for seconds.
        pieces = [
            b"\n",
            b"\r",
            b"\r\n",
            b"data: x\n\n",
            b"id: 7\ndata: x\n\n",
            b"id: 99\n\n",
            b"id:",
        ]
        for piece, after in itertools.product(pieces, (None, b"5", b"50")):
            with self.subTest(piece=piece, after=after):
                small, large = (_cost_s(piece, size, after) for size in (SMALL, LARGE))
                self.assertLess(large, 3 * LARGE / SMALL * small + 0.005)

    def test_remainder_is_what_follows_the_last_event(self) -> None:
        splitter = EventSplitter()
        splitter.feed(A + b"tail")
        self.assertEqual((splitter.take_remainder(), splitter.take_remainder()), (b"tail", b""))
