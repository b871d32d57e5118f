"""Tests of the published tables."""

import random
import unittest
from typing import Any

from lacewinghub.errors import TablesInvalid, UnknownModel
from lacewinghub.tables import Change, Draft, Tables


def _document(**members: Any) -> dict[str, Any]:
    endpoint = {"name": "a1", "address": "127.0.0.1:9001", "availability_zone": "north-a"}
    document: dict[str, Any] = {
        "pools": [{"name": "assistant", "endpoints": [endpoint]}],
        "routes": [{"name": "quick", "pool": "assistant", "tier": 1, "model": "colour"}],
        "workspaces": [{"name": "trust", "keys": ["0" * 64]}],
    }
    return document | members


class TablesTest(unittest.TestCase):
    """Guards against tables that a node cannot serve."""

    def test_invalid_documents_are_rejected_with_their_place(self) -> None:
        route = _document()["routes"][0]
        cases = [
            ("dangling pool", {"routes": [route | {"pool": "x"}]}, "routes.quick.pool"),
            ("same match", {"routes": [route, route | {"name": "b"}]}, "routes.b"),
            ("same name", {"routes": [route, route]}, "routes.quick"),
            ("tier", {"routes": [route | {"tier": 9}]}, "routes.0.tier"),
            ("unknown member", {"routes": [route | {"prio": 9}]}, "routes.0.prio"),
            ("missing table", {"pools": None}, "pools"),
            ("no partition", {"claims": {"partitions": 0}}, "claims.partitions"),
            ("partitions", {"claims": {"partitions": 1025}}, "claims.partitions"),
        ]
        for name, change, place in cases:
            with self.subTest(name), self.assertRaises(TablesInvalid) as caught:
                Tables.parse(_document(**change))
            self.assertEqual(caught.exception.details["place"], place)

    def test_host_name_in_address_is_rejected(self) -> None:
        document = _document()
        document["pools"][0]["endpoints"][0]["address"] = "runner.example:80"
        with self.assertRaises(TablesInvalid):
            Tables.parse(document)

    def test_most_specific_route_wins(self) -> None:
        document = _document()
        document["routes"] += [
            {
                "name": "own",
                "pool": "assistant",
                "tier": 2,
                "model": "colour",
                "workspace": "trust",
            },
            {"name": "class", "pool": "assistant", "tier": 3, "request_class": "draft"},
        ]
        tables = Tables.parse(document)
        cases = [
            (("trust", "draft", "colour"), "own"),
            (("other", "draft", "colour"), "class"),
            (("other", "chat", "colour"), "quick"),
        ]
        for args, expected in cases:
            with self.subTest(args):
                self.assertEqual(tables.route(*args).name, expected)

    def test_unknown_model_is_rejected(self) -> None:
        document = _document()
        document["routes"].append({"name": "any", "pool": "assistant", "tier": 8})
        with self.assertRaises(UnknownModel):
            Tables.parse(document).route("trust", "chat", "missing")

    def test_diff_and_apply_are_inverse(self) -> None:
        old = Tables.parse(_document(), 4)
        document = _document(workspaces=[{"name": "new", "keys": ["1" * 64]}])
        document["pools"][0]["queue_limit"] = 9
        new = Tables.parse(document, 5)
        self.assertEqual(old.apply(old.diff(new), 5).to_document(), new.to_document())

    def test_partitions_are_fixed_by_version_1(self) -> None:
        """Guards against a key that maps to a stream that does not contain its claim."""
        first = Tables().apply(Tables().diff(Tables.parse(_document(claims={"partitions": 8}))), 1)
        self.assertEqual(first.claims.partitions, 8)
        self.assertEqual(first.to_document()["claims"], {"partitions": 8})
        self.assertNotIn("claims", Tables.parse(_document()).to_document())
        same = Change("claims", "claims", {"partitions": 8})
        self.assertEqual(first.apply([same], 2).claims.partitions, 8)
        for change in (
            Change("claims", "claims", {"partitions": 9}),
            Change("claims", "claims", None),
            Change("claims", "other", {"partitions": 8}),
        ):
            draft = Draft(first)
            with self.subTest(change), self.assertRaises(TablesInvalid):
                draft.apply([change])
            self.assertEqual(draft.build(2).claims.partitions, 8)

    def test_incremental_change_equals_a_rebuild(self) -> None:
        """Guards against indexes that differ from those of freshly parsed tables."""
        rng = random.Random(5)
        tables = Tables.parse(_document(), 1)
        draft = Draft(tables)
        accepted = refused = 0
        for version in range(2, 2000):
            changes = [_random_change(rng) for _ in range(rng.randint(1, 3))]
            document = _changed(tables.to_document(), changes)
            try:
                expected = Tables.parse(document, version)
            except TablesInvalid:
                refused += 1
                with self.assertRaises(TablesInvalid):
                    draft.apply(changes)
                self.assertEqual(
                    _sorted(draft.build(version).to_document()), _sorted(tables.to_document())
                )
                self.assertEqual(draft.build(version)._index, tables._index)
                continue
            accepted += 1
            before = tables.to_document()
            draft.apply(changes)
            built = draft.build(version)
            self.assertEqual(_sorted(built.to_document()), _sorted(expected.to_document()))
            self.assertEqual(built._index, expected._index)
            self.assertEqual(tables.to_document(), before)
            tables = built
        self.assertGreater(min(accepted, refused), 300)


def _random_change(rng: random.Random) -> Change:
    table = rng.choice(["routes", "pools", "workspaces"])
    name = rng.choice("abcd")
    if rng.random() < 0.25:
        return Change(table, name)
    if table == "routes":
        members = {"pool": rng.choice("abcd"), "tier": 1, "model": rng.choice("xyz*")}
        return Change(table, name, {"name": name, **members})
    if table == "pools":
        endpoints = [
            {"name": item, "address": f"127.0.0.1:{rng.randint(1, 2)}", "availability_zone": "z"}
            for item in rng.sample("efgh", rng.randint(0, 2))
        ]
        return Change(table, name, {"name": name, "endpoints": endpoints})
    keys = [rng.choice("0123") * 64 for _ in range(rng.randint(0, 2))]
    return Change(table, name, {"name": name, "keys": keys})


def _changed(document: dict[str, Any], changes: list[Change]) -> dict[str, Any]:
    tables = {table: {item["name"]: item for item in items} for table, items in document.items()}
    for change in changes:
        tables[change.table].pop(change.name, None)
        if change.value is not None:
            tables[change.table][change.name] = change.value
    return {table: list(items.values()) for table, items in tables.items()}


def _sorted(document: dict[str, Any]) -> dict[str, Any]:
    return {
        table: sorted(items, key=lambda item: item["name"]) for table, items in document.items()
    }
