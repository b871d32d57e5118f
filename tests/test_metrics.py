"""Tests of metrics and log lines."""

import io
import json
import socket
import unittest
from pathlib import Path

from loguru import logger

from lacewinghub import logs, metrics
from lacewinghub.errors import SettingsInvalid
from lacewinghub.history import Event, EventKind
from lacewinghub.metrics import Metrics

DOC = Path(__file__).resolve().parent.parent / "docs" / "metrics.md"


def _event() -> Event:
    return Event(
        EventKind.SHED,
        1.0,
        request="r1",
        request_class="quote",
        tier=1,
        pool="assistant",
        completion_s=0.5,
    )


class MetricsTest(unittest.TestCase):
    """Guards against metrics that a statsd server would misparse, or that make a node fail."""

    def setUp(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.settimeout(2)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def tearDown(self) -> None:
        self.sock.close()

    def test_datagrams(self) -> None:
        client = Metrics(self.address, "north-a.1")
        self.addCleanup(client.close)
        cases = [
            (lambda: client.count("shed", "a.b:c", 3), b"lacewinghub.north-a_1.shed.a_b_c.3:1|c"),
            (lambda: client.count("tokens", "p", n=9), b"lacewinghub.north-a_1.tokens.p:9|c"),
            (
                lambda: client.time("first_token", "quote", seconds=0.25),
                b"lacewinghub.north-a_1.first_token.quote:250.000000|ms",
            ),
            (lambda: client.gauge("floor", "p", value=4), b"lacewinghub.north-a_1.floor.p:4|g"),
        ]
        for send, expected in cases:
            with self.subTest(expected):
                send()
                self.assertEqual(self.sock.recv(1000), expected)

    def test_no_address_sends_nothing(self) -> None:
        client = Metrics()
        client.count("shed", "p", 1)
        client.time("loop_delay", seconds=1)
        client.gauge("floor", "p", value=1)
        client.close()

    def test_closed_port_is_ignored(self) -> None:
        self.sock.close()
        client = Metrics(self.address)
        self.addCleanup(client.close)
        for _ in range(3):
            client.count("log_errors")

    def test_invalid_address_is_rejected(self) -> None:
        for address in ("127.0.0.1", ":99", "127.0.0.1:x", "127.0.0.1:70000"):
            with self.subTest(address), self.assertRaises(SettingsInvalid):
                Metrics(address)

    def test_page_lists_every_metric(self) -> None:
        self.assertIn(metrics.markdown(), DOC.read_text())


class LogsTest(unittest.TestCase):
    """Guards against log lines that a collector cannot parse or that lack members."""

    def test_lines_are_json_with_the_members_of_the_request(self) -> None:
        out = io.StringIO()
        logs.setup("INFO", "n1", out)
        logger.debug("hidden")
        logs.log_outcome(_event(), "overloaded", "a1")
        try:
            raise RuntimeError("broken {pipe}")
        except RuntimeError:
            logger.exception("task failed\nhere")
        first, second = [json.loads(line) for line in out.getvalue().splitlines()]
        time = first.pop("time")
        self.assertTrue(time.endswith("+00:00"))
        self.assertEqual(
            first,
            {
                "level": "info",
                "message": "request done",
                "node": "n1",
                "request_id": "r1",
                "class": "quote",
                "tier": 1,
                "pool": "assistant",
                "endpoint": "a1",
                "outcome": "overloaded",
                "tokens": 0,
                "seconds": 0.5,
            },
        )
        self.assertEqual(second["message"], "task failed\nhere")
        self.assertEqual(second["error"], "RuntimeError: broken {pipe}")

    def test_unknown_level_is_rejected(self) -> None:
        with self.assertRaises(ValueError):
            logs.setup("LOUD")
