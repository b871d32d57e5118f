"""Tests of the classification and the hashes of requests."""

import hashlib
import json
import tracemalloc
import unittest
from typing import Any

from lacewinghub._fake_engine import prefix_blocks, prompt_words
from lacewinghub.errors import BadJson, BadRequest, KeyMissing, UnknownModel, UnknownPool
from lacewinghub.request import (
    MAX_BLOCKS,
    Request,
    classify_call,
    classify_chat,
    decode_body,
    decoded_bytes,
    fingerprint,
    prefix_hashes,
)
from lacewinghub.tables import Tables

_HELLO = [{"role": "user", "content": "hello"}]


def _tables() -> Tables:
    def pool(name: str, **members: Any) -> dict[str, Any]:
        return {"name": name, "endpoints": []} | members

    return Tables.parse(
        {
            "pools": [
                pool("assistant"),
                pool("booking", kind="service", repeatable=False),
                pool("prices", kind="service"),
            ],
            "routes": [
                {"name": "chat", "pool": "assistant", "tier": 2, "model": "colour"},
                {
                    "name": "draft",
                    "pool": "assistant",
                    "tier": 5,
                    "model": "colour",
                    "request_class": "draft",
                },
                {"name": "book", "pool": "booking", "tier": 1, "model": "booking"},
                {"name": "price", "pool": "prices", "tier": 3, "model": "prices"},
            ],
            "workspaces": [
                {"name": "trust", "keys": [hashlib.sha256(b"k").hexdigest()], "weight": 2.0}
            ],
        },
        1,
    )


def _chat(body: dict[str, Any], name: str | None = None) -> Request:
    tables = _tables()
    workspace = tables.workspaces["trust"]
    return classify_chat(tables, workspace, name, body, request_id="r", arrived=1.0)


def _call(name: str, key: str | None) -> Request:
    tables = _tables()
    workspace = tables.workspaces["trust"]
    return classify_call(tables, workspace, None, name, key, {}, request_id="r", arrived=1.0)


class ClassifyTest(unittest.TestCase):
    """Guards against requests that reach the wrong pool or have unchecked members."""

    def test_chat_takes_pool_tier_and_weight_from_the_tables(self) -> None:
        req = _chat({"model": "colour", "messages": _HELLO, "max_tokens": 7}, "draft")
        self.assertEqual((req.pool, req.tier, req.weight), ("assistant", 5, 2.0))
        self.assertEqual((req.request_class, req.max_tokens), ("draft", 7))

    def test_malformed_chats_are_refused_with_the_invalid_member(self) -> None:
        good: dict[str, Any] = {"model": "colour", "messages": _HELLO}
        cases = [
            ("model missing", {"messages": _HELLO}, "model"),
            ("model type", good | {"model": 3}, "model"),
            ("messages empty", good | {"messages": []}, "messages"),
            ("message type", good | {"messages": ["hi"]}, "messages.0"),
            ("role missing", good | {"messages": [{"content": "x"}]}, "messages.0.role"),
            ("stream type", good | {"stream": "yes"}, "stream"),
            ("max_tokens", good | {"max_tokens": 0}, "max_tokens"),
            ("several answers", good | {"n": 2}, "n"),
        ]
        for name, body, place in cases:
            with self.subTest(name), self.assertRaises(BadRequest) as caught:
                _chat(body)
            self.assertEqual(caught.exception.details["place"], place)

    def test_names_that_are_not_served_are_refused(self) -> None:
        with self.assertRaises(UnknownModel):
            _chat({"model": "missing", "messages": _HELLO})
        with self.assertRaises(UnknownModel):
            _chat({"model": "prices", "messages": _HELLO})
        for name in ("missing", "colour"):
            with self.subTest(name), self.assertRaises(UnknownPool):
                _call(name, "k1")

    def test_keys_of_calls(self) -> None:
        self.assertEqual(_call("booking", "k1").key, "k1")
        self.assertIsNone(_call("prices", None).key)
        with self.assertRaises(KeyMissing):
            _call("booking", None)
        for key in ("", "x" * 256, "a\nb"):
            with self.subTest(key), self.assertRaises(BadRequest):
                _call("booking", key)

    def test_bodies_that_are_no_json_objects_are_refused(self) -> None:
        for data in (b"", b"{", b"[]", b"3", b"\xff", b"[" * 100_000):
            with self.subTest(data[:4]), self.assertRaises(BadJson):
                decode_body(data)


class DecodedSizeTest(unittest.TestCase):
    def test_the_estimate_covers_what_the_decoder_takes(self) -> None:
        # Guards against a body of legal size whose values take many times its bytes.
        count = 50_000
        cases = [
            ("lists", b"[" + b"[]," * count + b"1]"),
            ("objects", b"[" + b"{}," * count + b"1]"),
            ("numbers", json.dumps([number + 1000 for number in range(count)]).encode()),
            ("members", json.dumps({f"k{number}": number for number in range(count)}).encode()),
            ("nested", json.dumps([{"a": 1, "b": [2]}] * count).encode()),
            ("texts", json.dumps([f"s{number}" for number in range(count)]).encode()),
            ("wide text", json.dumps("x" * count + "\U0001f600", ensure_ascii=False).encode()),
            ("escaped text", json.dumps("x" * count + "\U0001f600").encode()),
        ]
        for name, data in cases:
            with self.subTest(name):
                tracemalloc.start()
                decoded = json.loads(data)
                taken, _ = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertTrue(decoded)
                self.assertLessEqual(taken, decoded_bytes(data))


class HashTest(unittest.TestCase):
    """Guards against different hashes of equal requests and equal hashes of different ones."""

    def test_fingerprint_ignores_member_order_only(self) -> None:
        first = fingerprint("trust", "colour", {"a": 1, "b": 2})
        self.assertEqual(first, fingerprint("trust", "colour", {"b": 2, "a": 1}))
        for other in (("other", "colour", {"a": 1, "b": 2}), ("trust", "colour", {"a": 1, "b": 3})):
            self.assertNotEqual(first, fingerprint(*other))

    def test_a_longer_conversation_shares_the_blocks_of_its_prefix(self) -> None:
        start = [{"role": "user", "content": "word " * 130}]
        longer = [
            *start,
            {"role": "assistant", "content": [{"type": "text", "text": "more " * 70}]},
        ]
        first, second = prefix_hashes("colour", start), prefix_hashes("colour", longer)
        self.assertEqual((len(first), len(second)), (2, 3))
        self.assertEqual(second[:2], first)
        self.assertNotEqual(prefix_hashes("lime", start)[0], first[0])

    def test_runners_report_the_same_blocks_in_cache_events(self) -> None:
        messages = [{"role": "user", "content": "one two " * 100}]
        blocks = prefix_blocks("colour", prompt_words({"messages": messages}))
        self.assertEqual(list(prefix_hashes("colour", messages)), blocks)

    def test_very_long_prompts_are_truncated(self) -> None:
        messages = [{"role": "user", "content": "word " * (64 * MAX_BLOCKS + 640)}]
        self.assertEqual(len(prefix_hashes("colour", messages)), MAX_BLOCKS)
