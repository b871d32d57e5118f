"""Tests of splitting streams into events for a resume."""

import unittest

from lacewinghub.eventstream import EventSplitter

A, B, C = (b"id: %d\ndata: x%d\n\n" % (n, n) for n in (5, 10, 15))


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
        ]
        for name, after, pieces, passed, last in cases:
            with self.subTest(name):
                splitter = EventSplitter(after)
                self.assertEqual(b"".join(map(splitter.feed, pieces)), passed)
                self.assertEqual(splitter.last_event_id, last)

    def test_remainder_is_what_follows_the_last_event(self) -> None:
        splitter = EventSplitter()
        splitter.feed(A + b"tail")
        self.assertEqual((splitter.take_remainder(), splitter.take_remainder()), (b"tail", b""))
