"""Tests of the index of claims."""

import unittest
from dataclasses import asdict
from typing import Any

from lacewinghub.claim_index import (
    ClaimIndex,
    ClaimRecord,
    ClaimStatus,
    ReleaseRecord,
    ResultRecord,
)
from lacewinghub.log import Page, Record
from tests import clock  # noqa: F401  Silences the log lines.

KEY, BODY = "aa" * 16, "bb" * 16


def _claim(claim_id: str, seen: int = 0) -> dict[str, Any]:
    return asdict(ClaimRecord(KEY, BODY, claim_id, "n1", 1, seen))


def _release(claim_id: str) -> dict[str, Any]:
    return asdict(ReleaseRecord(KEY, claim_id))


def _result(claim_id: str, known: bool = True) -> dict[str, Any]:
    return asdict(ResultRecord(KEY, claim_id, BODY, "n1", 1, 0.0, known, 200, True, {"n": 1}))


def _feed(index: ClaimIndex, *data: dict[str, Any], first: int = 0, now: float = 0.0) -> None:
    start = max(index.next, first)
    records = [Record(start + position, now, item) for position, item in enumerate(data)]
    index.feed(Page(records, first, start + len(records), now, 600.0))


class ClaimIndexTest(unittest.TestCase):
    """Guards against readers of the log that see different owners of a key."""

    def test_owner_follows_the_order_of_the_log(self) -> None:
        cases: list[tuple[str, list[dict[str, Any]], str | None]] = [
            ("first wins", [_claim("x"), _claim("y")], "x"),
            ("release frees", [_claim("x"), _release("x")], None),
            ("loser stays lost", [_claim("x"), _claim("y"), _release("x")], None),
            ("later claim wins", [_claim("x"), _claim("y"), _release("x"), _claim("z")], "z"),
            ("late claim is void", [_release("x"), _claim("x"), _claim("y")], "y"),
            ("duplicate claim", [_claim("x"), _claim("x")], "x"),
            ("duplicate after release", [_claim("x"), _release("x"), _claim("x")], None),
            ("release of a loser", [_claim("x"), _claim("y"), _release("y")], "x"),
            ("release after result", [_claim("x"), _result("x"), _release("x")], "x"),
            ("result of a loser", [_claim("x"), _claim("y"), _result("y")], "x"),
        ]
        for name, data, owner in cases:
            with self.subTest(name):
                index = ClaimIndex()
                _feed(index, *data)
                entry = index.get(bytes.fromhex(KEY), 0.0)
                self.assertEqual(entry.id if entry else None, owner)

    def test_first_result_is_kept(self) -> None:
        index = ClaimIndex()
        _feed(index, _claim("x"), _result("x", known=False), _result("x"))
        self.assertIs(index.entries[bytes.fromhex(KEY)].status, ClaimStatus.UNKNOWN)

    def test_malformed_records_are_skipped(self) -> None:
        good = _claim("x")
        copy = asdict(next(ClaimIndex().copy("c", "n1")))
        cases: list[dict[str, Any]] = [
            {},
            {"kind": ["claim"]},
            {"kind": "other"},
            {"kind": "claim"},
            good | {"key": "zz"},
            good | {"body": 1},
            good | {"body": "x"},
            _release("x") | {"id": None},
            copy | {"parts": 10**12},
            copy | {"parts": -1},
            copy | {"through": 10**6},
        ]
        for data in cases:
            with self.subTest(data):
                index = ClaimIndex()
                _feed(index, data, good)
                self.assertEqual([entry.id for entry in index.entries.values()], ["x"])

    def test_damaged_copy_does_not_sync_a_reader(self) -> None:
        source = ClaimIndex()
        _feed(source, _claim("x"))
        copy = asdict(next(source.copy("c", "n1"))) | {"through": 5}
        rows = copy["entries"]
        damaged: list[Any] = [[[]], [["zz", *rows[0][1:]]], [rows[0][:-1]], [[None] * 10]]
        for entries in damaged:
            with self.subTest(entries):
                index = ClaimIndex()
                _feed(index, copy | {"entries": entries}, first=5)
                self.assertFalse(index.synced)
        index = ClaimIndex()
        _feed(index, copy, first=5)
        self.assertTrue(index.synced)
        self.assertEqual([entry.id for entry in index.entries.values()], ["x"])

    def test_copy_restores_every_member(self) -> None:
        source = ClaimIndex()
        _feed(source, _claim("x"), _result("x"), _release("y"))
        parts = [asdict(part) | {"through": 5} for part in source.copy("c", "n1")]
        index = ClaimIndex()
        _feed(index, *parts, first=5)
        key = bytes.fromhex(KEY)
        self.assertEqual(asdict(index.entries[key]), asdict(source.entries[key]))
        _feed(index, asdict(ClaimRecord("cc" * 16, BODY, "y", "n1", 1, 9)))
        self.assertNotIn(bytes.fromhex("cc" * 16), index.entries)

    def test_large_index_is_copied_in_parts(self) -> None:
        index = ClaimIndex()
        claims = [
            asdict(ClaimRecord(f"{n:032x}", BODY, f"id-{n}", "n1", 1, 0)) for n in range(5000)
        ]
        _feed(index, *claims)
        parts = list(index.copy("c", "n1"))
        self.assertGreater(len(parts), 2)
        self.assertEqual(sum(len(part.entries) for part in parts), 5000)
        self.assertEqual({part.parts for part in parts}, {len(parts)})

    def test_claim_that_could_have_lost_to_an_expired_one_is_blocked(self) -> None:
        # Before offset 5, the oldest available record, another claim may have owned the key.
        for seen, blocked in ((4, True), (5, False)):
            with self.subTest(seen=seen):
                index = ClaimIndex(window_s=500.0)
                page = Page([Record(5, 0.0, _claim("x", seen))], 5, 6, 0.0, 600.0)
                index.feed(page)
                index.feed(page)
                _feed(index, _release("x"))
                self.assertEqual(bytes.fromhex(KEY) in index.entries, blocked)
