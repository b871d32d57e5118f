"""What a caller is told of a raw request that no endpoint completed."""

import contextlib
import unittest
from collections.abc import AsyncGenerator

from lacewinghub.dependencies import DispatcherDependencies, EndpointMonitor
from lacewinghub.endpoint import ConnectFailed, EndpointCrashed, EndpointError
from lacewinghub.errors import LacewingError, Overloaded
from lacewinghub.history import History
from lacewinghub.proxyrouter import EndpointBusy, ProxyClient, ProxyRouter, ResponseHead
from lacewinghub.request import AttemptResult, Grant, Request
from lacewinghub.scheduler import Scheduler
from lacewinghub.tables import Endpoint, Pool, Tables

from .clock import simulate
from .test_promptsplit import RUNNERS, prompt


class OneGrant(Scheduler):
    """Grants the first request for a slot and refuses all further ones."""

    def __init__(self) -> None:
        self.granted = False

    async def acquire(self, req: Request) -> Grant:
        if self.granted:
            raise Overloaded("no slot", retry_after_s=1.0)
        self.granted = True
        return Grant(1, req.pool, RUNNERS[0].name, brokered=False)

    def release(self, grant: Grant, seen: AttemptResult) -> None:
        return None

    async def run(self) -> None:
        return None


class FailingClient(ProxyClient):
    """Fails each request, before or after the begin of the answer."""

    def __init__(self, failure: type[EndpointError], headed: bool) -> None:
        self.failure = failure
        self.headed = headed

    async def stream(
        self, endpoint: Endpoint, req: Request
    ) -> AsyncGenerator[ResponseHead | bytes, None]:
        if self.headed:
            yield ResponseHead(200, [])
            yield b"id: 1\ndata: x\n\n"
        raise self.failure("failed", endpoint=endpoint.name)


class TestRefusalsAreTrue(unittest.TestCase):
    def test_a_refused_repeat_is_no_refusal_of_a_request_that_may_have_run(self) -> None:
        # Guards against status 503, which promises "not run", after a runner may have run it.
        cases: list[tuple[str, type[EndpointError], bool, str, int]] = [
            ("never reached", ConnectFailed, False, "overloaded", 503),
            ("refused by the runner", EndpointBusy, False, "overloaded", 503),
            ("crashed before the answer", EndpointCrashed, False, "endpoint_failed", 502),
            ("crashed in the answer", EndpointCrashed, True, "answer_incomplete", 502),
        ]
        for name, failure, headed, code, status in cases:
            with self.subTest(name):
                exc = simulate(lambda f=failure, h=headed: self._error(f, h))
                self.assertEqual((exc.code, exc.status), (code, status))

    async def _error(self, failure: type[EndpointError], headed: bool) -> LacewingError:
        tables = Tables(version=1)
        tables.pools = {"p": Pool("p", RUNNERS)}
        parts = DispatcherDependencies(
            scheduler=OneGrant(), tables=lambda: tables, history=History("node")
        )
        req = prompt(800)
        assert req.proxy is not None
        req.proxy.repeatable = req.proxy.resumable = True
        req.proxy.max_attempts = 3
        try:
            async for _ in ProxyRouter(parts, FailingClient(failure, headed)).stream(req):
                pass
        except LacewingError as exc:
            return exc
        raise AssertionError("the request was answered")


class StatusClient(ProxyClient):
    """Answers each request with one status."""

    def __init__(self, status: int) -> None:
        self.status = status

    async def stream(
        self, endpoint: Endpoint, req: Request
    ) -> AsyncGenerator[ResponseHead | bytes, None]:
        yield ResponseHead(self.status, [])
        yield b"body"


class Recorder(EndpointMonitor):
    """Keeps what the relay says of the endpoints."""

    def __init__(self) -> None:
        self.seen: list[bool] = []

    def on_attempt_ended(self, pool: str, endpoint: str, seen: AttemptResult) -> None:
        self.seen.append(seen.ok)

    def on_endpoint_leaving(self, endpoint: str) -> None:
        return None


class TestFailuresCount(unittest.TestCase):
    """Guards against an endpoint that answers 500 and counts as sound."""

    def test_statuses(self) -> None:
        cases = [
            ("success", 200, False, [True]),
            ("caller's fault", 404, False, [True]),
            ("failure, may run once", 500, False, [False]),
            ("failure, repeated in vain", 500, True, [False]),
            ("time over", 504, True, []),
        ]
        for name, status, repeatable, expected in cases:
            with self.subTest(name):
                found = simulate(lambda s=status, r=repeatable: self._seen(s, r))
                self.assertEqual(found, expected)

    async def _seen(self, status: int, repeatable: bool) -> list[bool]:
        tables, recorder = Tables(version=1), Recorder()
        tables.pools = {"p": Pool("p", RUNNERS)}
        parts = DispatcherDependencies(
            scheduler=OneGrant(), tables=lambda: tables, history=History("node")
        )
        parts.monitors.append(recorder)
        req = prompt(800)
        assert req.proxy is not None
        req.proxy.repeatable, req.proxy.max_attempts = repeatable, 2
        with contextlib.suppress(LacewingError):
            async for _ in ProxyRouter(parts, StatusClient(status)).stream(req):
                pass
        return recorder.seen


if __name__ == "__main__":
    unittest.main()
