"""Tests of each field that the platform sets: settings, configuration, records and headers."""

import json
import random
import tempfile
import unittest
from pathlib import Path
from typing import Any

from lacewinghub.deployment import DeploymentConfig
from lacewinghub.errors import BadResumes, SettingsInvalid
from lacewinghub.httpmessage import Incoming
from lacewinghub.platform import boot, config, registry
from lacewinghub.platform.caller import PlatformCodec
from lacewinghub.platform.report import decode_report
from lacewinghub.proxyclient import Incarnation
from lacewinghub.request import DEFAULT_MAX_TOKENS, ProxyState

from .platform_cluster import HOST, KEY, ROUTES
from .platform_cluster import config as configuration

SETTINGS = """
{top}
node_name = "n-1"
zone = "z"
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
[platform]
address = "127.0.0.1:3"
[bounds]
{bounds}
"""
BOUNDS = (
    "grace_s",
    "drain_ms",
    "config_apply_ms",
    "retry_budget_ratio",
    "budget_window_s",
    "budget_min_retries",
)
EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
NOT_ZERO = ("grace_s", "config_apply_ms", "budget_window_s")


def load(top: str = "", bounds: str = "") -> boot.Boot:
    """Load a settings file with further lines at its top and in its table of bounds."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "boot.toml")
        path.write_text(SETTINGS.format(top=top, bounds=bounds))
        return boot.load(path)


class TestSettings(unittest.TestCase):
    """Guards against a node that does not start although its settings are valid."""

    def test_every_bound_may_be_whole_or_a_fraction(self) -> None:
        values = (1, 7.5, 0.25, 10**12, 2**53)
        for name in BOUNDS:
            for value in values:
                with self.subTest(name, value=value):
                    self.assertEqual(getattr(load(bounds=f"{name} = {value}").bounds, name), value)

    def test_absent_bounds_have_defaults(self) -> None:
        self.assertEqual(load().bounds, boot.Bounds())

    def test_zero(self) -> None:
        for name in BOUNDS:
            with self.subTest(name):
                if name in NOT_ZERO:
                    with self.assertRaises(SettingsInvalid):
                        load(bounds=f"{name} = 0")
                else:
                    self.assertEqual(getattr(load(bounds=f"{name} = 0").bounds, name), 0)

    def test_values_of_another_kind_are_refused_by_field(self) -> None:
        for name in BOUNDS:
            for value in ("true", '"1"', "[1]", "-1", "nan", "inf"):
                with self.subTest(name, value=value):
                    with self.assertRaises(SettingsInvalid) as caught:
                        load(bounds=f"{name} = {value}")
                    self.assertEqual(caught.exception.details["key"], f"bounds.{name}")
                    self.assertIn("boot.toml", caught.exception.message)
                    self.assertIn("got", caught.exception.message)

    def test_ports_and_seeds(self) -> None:
        cases = [
            ("internal_ports = [7340, 7355]", None),
            ("seeds = []", None),
            ("internal_ports = [7340]", "internal_ports.1"),
            ("internal_ports = [7340, 70000]", "internal_ports.1"),
            ("internal_ports = 7", "internal_ports"),
            ("seeds = [7]", "seeds.0"),
            ('seeds = "x"', "seeds"),
        ]
        for text, key in cases:
            with self.subTest(text):
                if key is None:
                    load(top=text)
                    continue
                with self.assertRaises(SettingsInvalid) as caught:
                    load(top=text)
                self.assertEqual(caught.exception.details["key"], key)


class TestConfiguration(unittest.TestCase):
    """Guards against a configuration that is not applied because of one number or one entry."""

    def decode(self, **members: Any) -> DeploymentConfig:
        return config.decode(json.dumps(configuration(9, ROUTES) | members).encode())

    def test_numbers_may_be_fractions(self) -> None:
        cases = [
            ("timeout_ms", 1500.5, lambda route: route.timeout_s, 1.5005),
            ("target_latency_ms", 62.5, lambda route: route.target.completion_s, 0.0625),
            ("priority", 3.0, lambda route: route.tier, 4),
            ("max_attempts", 2.75, lambda route: route.max_attempts, 2),
            ("max_attempts", 0.5, lambda route: route.max_attempts, 1),
        ]
        for name, value, read, expected in cases:
            with self.subTest(name, value=value):
                found = self.decode(routes=[ROUTES[0] | {name: value}])
                self.assertEqual(read(found.routes.match(HOST, "/once/a")), expected)
        limits = {"max_header_bytes": 4096.5, "max_body_bytes": 1e5, "idle_timeout_ms": 2.5}
        found = self.decode(limits=limits).limits
        self.assertEqual((found.header_bytes, found.body_bytes), (4096, 100_000))
        self.assertEqual(found.idle_s, 0.0025)

    def test_a_malformed_entry_costs_that_entry(self) -> None:
        good = ROUTES[0]
        bad_routes: list[Any] = [
            None,
            [],
            {"name": "r"},
            good | {"timeout_ms": 0},
            good | {"timeout_ms": "x"},
            good | {"path_prefix": None},
            good | {"service": None},
            good | {"service": None, "traffic_split": [{"service": "apps", "weight": 0}]},
        ]
        for bad in bad_routes:
            with self.subTest(bad):
                found = self.decode(routes=[bad, good])
                self.assertEqual([item.name for item in found.routes.routes], ["once"])
        found = self.decode(tenants=[{"name": 7}, {"name": "t", "api_keys": [KEY]}])
        self.assertEqual([item.name for item in found.workspaces.values()], ["t"])
        found = self.decode(services=[None, {"name": "apps"}])
        self.assertEqual([item.name for item in found.pools], ["apps"])

    def test_routes_divide_their_requests_among_services_with_weight(self) -> None:
        split = [{"service": "apps", "weight": 0}, {"service": "models", "weight": 0.5}]
        found = self.decode(routes=[ROUTES[0] | {"service": None, "traffic_split": split}])
        route = found.routes.match(HOST, "/once/a")
        self.assertEqual(route.choose_pool(random.Random(1)), "models")


class TestRecords(unittest.TestCase):
    """Guards against a runner that is lost because of a field that is not used here."""

    def test_fields(self) -> None:
        good = {"service": "p", "address": "127.0.0.1:9", "zone": "z", "slots": 4, "state": "ready"}
        cases = [
            ("least", {}, True),
            ("largest", {"slots": 2**31, "born": 2**53, "sequence": 2**53}, True),
            ("other fields of any type", {"version": 7, "cold_remaining_ms": "x"}, True),
            ("slots as a fraction", {"slots": 4.5}, False),
            ("slots as a truth value", {"slots": True}, False),
            ("negative slots", {"slots": -1}, False),
            ("state of another type", {"state": 1}, False),
            ("empty address", {"address": ""}, False),
            ("born as a fraction", {"born": 1.5}, False),
        ]
        for name, change, usable in cases:
            with self.subTest(name):
                found = registry.decode("x", json.dumps(good | change).encode())
                self.assertEqual(found is not None, usable)


class TestReports(unittest.TestCase):
    """Guards against a report that vouches for a runner without saying which process it is."""

    def test_fields(self) -> None:
        whole: dict[str, Any] = {"born": 1500, "runs": [["a", 10, 3, 1], []]}
        for name, members, expected in (
            ("whole", {}, Incarnation(1.5, frozenset({"a"}))),
            ("idle", {"runs": []}, Incarnation(1.5)),
            ("without its start", {"born": None}, None),
            ("with a start that is none", {"born": 0}, None),
            ("with a start as text", {"born": "1500"}, None),
            ("without its runs", {"runs": None}, None),
            ("with runs that are none", {"runs": ["a"]}, None),
        ):
            with self.subTest(name):
                self.assertEqual(decode_report(json.dumps(whole | members).encode()), expected)
        self.assertIsNone(decode_report(b"done:/v1/report"))


class TestHeaders(unittest.TestCase):
    """Guards against a connection that ends because a header of its request is malformed."""

    def test_numbers_in_headers(self) -> None:
        deployment = config.decode(json.dumps(configuration(9, ROUTES)).encode())
        codec = PlatformCodec()
        texts = [b"", b"x", b"nan", b"inf", b"-inf", b"1e400", b"-5", b"\xb2", b"9" * 5000, b",:,"]
        names = [
            b"lacewinghub-deadline-ms",
            b"lacewinghub-token-count",
            b"lacewinghub-length-hint",
            b"lacewinghub-prompt-prefix",
        ]
        for name in names:
            for text in texts:
                with self.subTest(name, text=text[:8]):
                    headers = [
                        (b"host", HOST.encode()),
                        (b"authorization", f"Token {KEY}".encode()),
                        (name, b"a:" + text if name.endswith(b"prefix") else text),
                    ]
                    incoming = Incoming(headers, b"/chat/a", b"POST")
                    req = codec.decode(incoming, deployment, 0.0).req
                    assert req.proxy is not None
                    self.assertEqual(req.proxy.deadline, 1.5)
                    self.assertEqual(req.max_tokens, DEFAULT_MAX_TOKENS)
                    self.assertEqual((req.proxy.prompt_tokens, req.proxy.parts), (0, ()))

    def test_long_ids_of_parts_are_not_kept(self) -> None:
        # Guards against ids of many KB that each node remembers, thousands for each endpoint.
        deployment = config.decode(json.dumps(configuration(9, ROUTES)).encode())
        cases = [("ab12", "ab12"), ("a" * 32, "a" * 32), ("a" * 33, None), ("b" * 15_000, None)]
        found = []
        for part_id, expected in cases:
            headers = [
                (b"host", HOST.encode()),
                (b"authorization", f"Token {KEY}".encode()),
                (b"lacewinghub-prompt-prefix", f"{part_id}:7,aa:1".encode()),
            ]
            req = PlatformCodec().decode(Incoming(headers, b"/chat/a", b"POST"), deployment, 0.0)
            assert req.req.proxy is not None
            with self.subTest(part_id[:40]):
                shared = req.req.proxy.shared_parts[0]
                self.assertEqual(shared.tokens, 7)
                self.assertLessEqual(len(shared.id), 32)
                if expected is not None:
                    self.assertEqual(shared.id, expected)
                found.append(shared.id)
        self.assertEqual(len(set(found)), len(cases))


class TestTakeUps(unittest.TestCase):
    """Guards against a client's stream that goes on from an attempt that it did not name."""

    def setUp(self) -> None:
        self.deployment = config.decode(json.dumps(configuration(9, ROUTES)).encode())

    def decode(self, path: str, *headers: tuple[bytes, bytes]) -> ProxyState:
        """Decode a request; return its state."""
        base = [(b"host", HOST.encode()), (b"authorization", f"Token {KEY}".encode())]
        incoming = Incoming([*base, *headers], path.encode(), b"POST")
        state = PlatformCodec().decode(incoming, self.deployment, 0.0).req.proxy
        assert state is not None
        return state

    def test_which_requests_continue_a_stream(self) -> None:
        longest = b"a" * 200
        cases: list[tuple[str, list[tuple[bytes, bytes]], bool, str]] = [
            ("neither", [], False, ""),
            ("both", [(EVENT_ID, b"12"), (RESUMES, b"9c41d0")], True, "9c41d0"),
            ("only the event", [(EVENT_ID, b"12")], True, ""),
            ("only the attempt", [(RESUMES, b"9c41d0")], False, "9c41d0"),
            ("empty event", [(EVENT_ID, b""), (RESUMES, b"9c41d0")], False, "9c41d0"),
            ("event of spaces", [(EVENT_ID, b" ")], False, ""),
            ("empty event before another", [(EVENT_ID, b""), (EVENT_ID, b"3")], True, ""),
            ("event that is no number", [(EVENT_ID, b"x-1")], True, ""),
            ("one character", [(EVENT_ID, b"1"), (RESUMES, b"!")], True, "!"),
            ("longest", [(EVENT_ID, b"1"), (RESUMES, longest)], True, longest.decode()),
            ("punctuation", [(EVENT_ID, b"1"), (RESUMES, b"+-./:;~")], True, "+-./:;~"),
        ]
        for name, headers, is_take_up, resumes in cases:
            with self.subTest(name):
                state = self.decode("/draft/a", *headers)
                self.assertEqual((state.is_take_up, state.resumes), (is_take_up, resumes))
                for header in headers:
                    self.assertIn(header, state.request.headers)

    def test_malformed_ids(self) -> None:
        cases: list[tuple[str, list[bytes]]] = [
            ("empty", [b""]),
            ("only spaces", [b"  "]),
            ("too long", [b"a" * 201]),
            ("space", [b"a b"]),
            ("tab", [b"a\tb"]),
            ("comma", [b"a,b"]),
            ("control character", [b"a\x00"]),
            ("line feed at the end", [b"a\n"]),
            ("delete", [b"a\x7f"]),
            ("not ASCII", [b"\xe4"]),
            ("different ones", [b"a", b"b"]),
            ("the same one twice", [b"a", b"a"]),
            ("an empty one and another", [b"", b"a"]),
        ]
        for name, values in cases:
            for event_id in ([], [(EVENT_ID, b"12")]):
                with self.subTest(name, event_id=event_id), self.assertRaises(BadResumes):
                    self.decode("/draft/a", *event_id, *((RESUMES, item) for item in values))

    def test_other_routes_only_pass_the_headers_on(self) -> None:
        headers = [(EVENT_ID, b"12"), (RESUMES, b"a,b"), (RESUMES, b"")]
        for path in ("/chat/a", "/once/a", "/lookup/a"):
            with self.subTest(path):
                state = self.decode(path, *headers)
                self.assertEqual((state.is_take_up, state.resumes), (False, ""))
                for header in headers:
                    self.assertIn(header, state.request.headers)
