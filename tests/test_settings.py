"""Tests of the settings of a node."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from lacewinghub.errors import SettingsInvalid
from lacewinghub.settings import Limits, load, parse

_VALID: dict[str, Any] = {
    "node": "a1",
    "availability_zone": "north-a",
    "listen": "127.0.0.1:8080",
    "peer_listen": "127.0.0.1:7080",
    "log": "127.0.0.1:7000",
    "peer_key": "0123456789abcdef",
    "peers": ["127.0.0.2:7080", "[::1]:7080"],
    "limits": {"body_bytes": 4096},
}


def _text(drop: str = "", **members: Any) -> str:
    document = {key: value for key, value in (_VALID | members).items() if key != drop}
    return json.dumps(document, indent=1)


def _line_of(text: str, part: str) -> int:
    return next(n for n, line in enumerate(text.splitlines(), 1) if part in line)


class SettingsTest(unittest.TestCase):
    """Guards against a node that starts with settings other than the intended ones."""

    def test_comments_and_json5_forms_are_accepted(self) -> None:
        text = "// Node of rack 3.\n" + _text().replace('"node"', "/* id */ node", 1)
        cfg = parse(text)
        self.assertEqual((cfg.node, cfg.limits.body_bytes), ("a1", 4096))
        self.assertEqual(cfg.limits.grace_s, Limits().grace_s)

    def test_invalid_settings_are_rejected_with_line_key_and_allowed_values(self) -> None:
        digest = "0" * 63
        cases = [
            ("unknown key", _text(prot=1), "prot", '"prot"', "node, availability_zone, listen"),
            (
                "unknown limit",
                _text(limits={"grace": 1}),
                "limits.grace",
                '"grace"',
                "body_bytes, grace_s",
            ),
            (
                "unknown member of a section",
                _text(peer_tls={"certificate": "a", "key": "b", "ca": "c", "pass": "d"}),
                "peer_tls.pass",
                '"pass"',
                "certificate, key, ca",
            ),
            (
                "missing member of a section",
                _text(peer_tls={"certificate": "a.pem", "key": "a.key"}),
                "peer_tls.ca",
                '"peer_tls"',
                "no default",
            ),
            ("wrong type", _text(node=3), "node", '"node"', "string"),
            (
                "wrong type of a limit",
                _text(limits={"body_bytes": "4k"}),
                "limits.body_bytes",
                '"body_bytes"',
                "integer",
            ),
            (
                "limit out of range",
                _text(limits={"grace_s": -1}),
                "limits.grace_s",
                '"grace_s"',
                "greater than or equal to 0",
            ),
            ("host name", _text(log="log.example:7000"), "log", '"log"', "IP:port"),
            (
                "host name of a peer",
                _text(peers=["127.0.0.1:1", "peer.example:2"]),
                "peers.1",
                "peer.example",
                "IP:port",
            ),
            ("port", _text(listen="127.0.0.1:70000"), "listen", '"listen"', "IP:port"),
            ("no port", _text(listen="127.0.0.1"), "listen", '"listen"', "IP:port"),
            ("digest", _text(operator_keys=[digest]), "operator_keys.0", digest, "matches"),
            ("short key", _text(peer_key="short"), "peer_key", '"peer_key"', "16"),
            ("choice", _text(scheduler="best"), "scheduler", '"scheduler"', "'brokered'"),
        ]
        for name, text, key, part, allowed in cases:
            with self.subTest(name), self.assertRaises(SettingsInvalid) as caught:
                parse(text)
            details = caught.exception.details
            self.assertEqual((details["key"], details["line"]), (key, _line_of(text, part)))
            self.assertIn(allowed, details["allowed"])
            self.assertIn(f"line {details['line']}", caught.exception.message)

    def test_wildcard_peer_address_is_rejected(self) -> None:
        for members in (
            {"peer_listen": "0.0.0.0:7080"},
            {"peer_listen": "[::]:7080"},
            {"peer_address": "0.0.0.0:7080"},
        ):
            with self.subTest(members), self.assertRaises(SettingsInvalid) as caught:
                parse(_text(**members))
            self.assertEqual(caught.exception.details["key"], "peer_address")
        cfg = parse(_text(peer_listen="0.0.0.0:7080", peer_address="10.0.0.7:7080"))
        self.assertEqual(cfg.peer_address, "10.0.0.7:7080")

    def test_missing_and_duplicate_keys_are_rejected(self) -> None:
        with self.assertRaises(SettingsInvalid) as caught:
            parse(_text(drop="log"))
        self.assertEqual(caught.exception.details["key"], "log")
        with self.assertRaises(SettingsInvalid) as caught:
            parse(_text().replace('"node": "a1"', '"node": "a1",\n "node": "a2"', 1))
        self.assertEqual(
            (caught.exception.details["key"], caught.exception.details["line"]), ("node", 3)
        )

    def test_secret_does_not_appear_in_an_error(self) -> None:
        with self.assertRaises(SettingsInvalid) as caught:
            parse(_text(peer_key="hush-hush"))
        self.assertNotIn("hush-hush", str(caught.exception.to_body()))

    def test_syntax_errors_give_their_line(self) -> None:
        cases = [
            ("unclosed object, reported at its start", '{\n "node": "a1",\n', 1),
            ("unclosed list, reported at its start", '{\n "node": "a1",\n"peers": [\n\n', 3),
            ("bad word", '{\n "node": a1\n}', 2),
            ("empty", "", 1),
        ]
        for name, text, line in cases:
            with self.subTest(name), self.assertRaises(SettingsInvalid) as caught:
                parse(text)
            self.assertEqual(caught.exception.details["line"], line)
        for text in ("[]", "3"):
            with self.subTest(text), self.assertRaises(SettingsInvalid):
                parse(text)

    def test_unreadable_file_is_rejected(self) -> None:
        with tempfile.TemporaryDirectory() as path:
            file = Path(path) / "node.json5"
            with self.assertRaises(SettingsInvalid):
                load(file)
            file.write_text(_text())
            self.assertEqual(load(file).node, "a1")
