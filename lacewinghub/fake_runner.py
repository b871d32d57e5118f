"""Fake of a model runner, whose timing follows the clock of the event loop.

Protocol: ``POST /v1/chat/completions`` with the usual body and the additional members ``priority``
(1 is the highest), ``request_id`` and ``resume_from`` (number of tokens already received). With
``stream: true`` the response is a stream of server-sent events with one token each::

    data: {"id": "r1", "object": "chat.completion.chunk", "model": "m", "index": 0,
           "choices": [{"index": 0, "delta": {"content": "3fa0c1"}, "finish_reason": null}]}
    ...
    data: {"id": "r1", ..., "index": 5, "total": 5,
           "usage": {"prompt_tokens": 9, "completion_tokens": 5},
           "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]}
    data: [DONE]

The top-level ``index`` is the offset of the token in the complete answer. The last chunk carries no
token; its ``index`` and ``total`` are the number of tokens of the complete answer. Status 503 with
the header ``X-Endpoint-State: leaving`` means that the runner is leaving and did not accept the
request; 429 means that its queue is full.

Other paths: ``GET /load``, ``GET /cache_events?from=N``, ``POST /cancel/{request_id}``,
``GET /stats`` and ``POST /control/{action}``.
"""

import argparse
import asyncio
import json
import random
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import asdict, dataclass
from typing import Any

from sanic import HTTPResponse, Request, Sanic

from ._fake_engine import (
    Engine,
    EngineConfig,
    Sequence,
    expected_text,
    expected_tokens,
    prompt_words,
    token_text,
)
from ._fake_server import LEAVING, LIVE, STATE_HEADER, FakeServer, run_process

__all__ = [
    "POISON",
    "STATE_HEADER",
    "ChunkFaults",
    "EngineConfig",
    "FakeRunner",
    "expected_text",
    "expected_tokens",
]

POISON = "[[crash-runner]]"
DONE = "data: [DONE]\n\n"
LOAD_SAMPLE_S = 0.02
CACHE_EVENTS_KEPT = 10_000


@dataclass(slots=True)
class ChunkFaults:
    """Fault probabilities, per chunk of a stream unless stated otherwise.

    Attributes:
        duplicate: The chunk is sent twice.
        reorder: The chunk is sent after its successor.
        late: The chunk is delayed by ``late_s``.
        late_s: Length of the delay in seconds.
        truncate: The stream ends before the chunk, without a final chunk.
        fail: The request fails with status 500; a probability per request.
    """

    duplicate: float = 0.0
    reorder: float = 0.0
    late: float = 0.0
    late_s: float = 0.05
    truncate: float = 0.0
    fail: float = 0.0


@dataclass(frozen=True, slots=True)
class _CacheEvent:
    seq: int
    op: str
    block: int
    visible: float


class FakeRunner(FakeServer):
    """A model runner with configurable speed and faults.

    A request whose prompt contains ``POISON`` crashes the runner when generation starts.

    Args:
        name: Name of the endpoint.
        cfg: Speed and capacity of the engine.
        host: IP address to bind.
        port: Port to bind; 0 picks a free one.
        load_lag_s: Age of the state that ``GET /load`` reports, in seconds.
        event_delay_s: Delay before a cache event becomes visible, in seconds.
        event_gap: Probability that a cache event is lost.
        event_clock: Clock for that delay, in seconds; by default the event loop's.
        poison_down_s: Downtime after a request with ``POISON``, in seconds; None: until
            ``restart``.
        seed: Seed of the random faults.
    """

    def __init__(
        self,
        name: str = "runner",
        cfg: EngineConfig | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
        load_lag_s: float = 0.0,
        event_delay_s: float = 0.0,
        event_gap: float = 0.0,
        event_clock: Callable[[], float] | None = None,
        poison_down_s: float | None = 1.0,
        seed: int = 1,
    ) -> None:
        super().__init__(name, host, port)
        self.engine = Engine(cfg or EngineConfig(), self._thawed)
        self.faults = ChunkFaults()
        self.load_lag_s = load_lag_s
        self.poison_down_s = poison_down_s
        self._event_delay_s = event_delay_s
        self._event_gap = event_gap
        self._event_clock = event_clock or (lambda: asyncio.get_running_loop().time())
        self._random = random.Random(f"{seed}:{name}")
        self._samples: deque[tuple[float, dict[str, Any]]] = deque()
        self._sampler: asyncio.Task[None] | None = None
        self._events: deque[_CacheEvent] = deque(maxlen=CACHE_EVENTS_KEPT)
        self._next_event = 0

    async def start(self) -> None:
        """Bind the port and serve."""
        await super().start()
        self._sampler = asyncio.get_running_loop().create_task(self._sample_load())

    def straggle(self, factor: float = 1.0) -> None:
        """Slow down every step by a factor; 1 is normal speed."""
        self.engine.slowdown = factor

    def set_faults(self, **members: float) -> None:
        """Replace the faults; members of ``ChunkFaults`` not given are reset to their defaults."""
        self.faults = ChunkFaults(**members)

    def set_load_lag(self, lag_s: float) -> None:
        """Set the age of the state that ``GET /load`` reports, in seconds."""
        self.load_lag_s = lag_s

    def load(self) -> dict[str, Any]:
        """Return the current load.

        Returns:
            ``running`` and ``waiting`` requests, ``slots``, ``state`` and loop ``time`` in seconds.
        """
        return {
            "running": len(self.engine.running),
            "waiting": self.engine.waiting,
            "slots": self.engine.cfg.slots,
            "state": LEAVING if self.leaving else LIVE,
            "time": asyncio.get_running_loop().time(),
        }

    def _routes(self, app: Sanic) -> None:
        app.add_route(self._complete, "/v1/chat/completions", methods=["POST"], name="complete")
        app.add_route(self._get_load, "/load", name="load")
        app.add_route(self._get_events, "/cache_events", name="cache_events")
        app.add_route(self._cancel, "/cancel/<request_id:str>", methods=["POST"], name="cancel")
        app.add_route(self._get_stats, "/stats", name="stats")

    def _controls(self) -> dict[str, Callable[..., Any]]:
        return super()._controls() | {
            "straggle": self.straggle,
            "faults": self.set_faults,
            "load_lag": self.set_load_lag,
        }

    def _on_crash(self) -> None:
        self.engine.reset()
        self._events.clear()
        self._next_event = 0
        self._samples.clear()
        if self._sampler is not None:
            self._sampler.cancel()

    async def _complete(self, request: Request) -> HTTPResponse | None:
        await self._thawed.wait()
        if self.leaving:
            return self._refuse_leaving()
        body = request.json
        if not isinstance(body, dict) or not isinstance(body.get("messages"), list):
            return self._reply({"error": {"message": "messages must be an array"}}, 400)
        if self._occurs(self.faults.fail):
            self.engine.stats.requests += 1
            return self._reply({"error": {"message": "injected engine failure"}}, 500)
        if self.engine.full:
            return self._reply({"error": {"message": "queue is full"}}, 429)
        sequence = self.engine.submit(body)
        try:
            if body.get("stream"):
                await self._stream(request, body, sequence)
                return None
            return await self._collect(body, sequence)
        finally:
            self.engine.cancel(sequence)

    async def _collect(self, body: dict[str, Any], sequence: Sequence) -> HTTPResponse:
        parts = [
            token_text(sequence.seed, offset)
            async for offset in self._token_offsets(body, sequence)
        ]
        message = {"role": "assistant", "content": "".join(parts)}
        return self._reply(
            {
                "id": sequence.id,
                "object": "chat.completion",
                "model": body.get("model", ""),
                "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
                "usage": _usage(body, sequence),
            }
        )

    async def _stream(self, request: Request, body: dict[str, Any], sequence: Sequence) -> None:
        response = await request.respond(
            content_type="text/event-stream", headers=self._headers() | {"X-Runner": self.name}
        )
        assert response is not None
        delayed: list[str] = []
        async for offset in self._token_offsets(body, sequence):
            delta = {"content": token_text(sequence.seed, offset)}
            text = _event(body, sequence, offset, delta, None)
            if self._occurs(self.faults.truncate):
                await response.eof()
                return
            if self._occurs(self.faults.late):
                await asyncio.sleep(self.faults.late_s)
            if not delayed and self._occurs(self.faults.reorder):
                delayed.append(text)
                continue
            await response.send("".join([text, *delayed, text if self._is_duplicated() else ""]))
            delayed.clear()
        if sequence.cancelled:
            await response.eof()
            return
        await response.send("".join([*delayed, _event(body, sequence, sequence.total, {}, "stop")]))
        await response.send(DONE)
        await response.eof()

    async def _token_offsets(self, body: dict[str, Any], sequence: Sequence) -> AsyncIterator[int]:
        poisoned = any(POISON in word for word in prompt_words(body))
        while True:
            offset = await sequence.offsets.get()
            await self._thawed.wait()
            if offset is None:
                return
            if poisoned:
                self.crash(self.poison_down_s)
                return
            yield offset

    def _occurs(self, probability: float) -> bool:
        return probability > 0 and self._random.random() < probability

    def _is_duplicated(self) -> bool:
        return self._occurs(self.faults.duplicate)

    async def _get_load(self, request: Request) -> HTTPResponse:
        await self._thawed.wait()
        now = asyncio.get_running_loop().time()
        if self.load_lag_s <= 0:
            return self._reply(self.load())
        old = [load for time, load in self._samples if time <= now - self.load_lag_s]
        empty = self.load() | {"running": 0, "waiting": 0}
        return self._reply(old[-1] if old else empty)

    async def _get_events(self, request: Request) -> HTTPResponse:
        await self._thawed.wait()
        self._collect_events()
        start = int(request.args.get("from", 0))
        now = self._event_clock()
        visible = [item for item in self._events if item.visible <= now and item.seq >= start]
        events = [{"seq": item.seq, "op": item.op, "block": item.block} for item in visible]
        # A number below the requested one tells the client that the runner has restarted.
        following = visible[-1].seq + 1 if visible else min(start, self._next_event)
        return self._reply({"events": events, "next": following})

    def _collect_events(self) -> None:
        now = self._event_clock()
        for op, block in self.engine.cache.take_changes():
            seq, self._next_event = self._next_event, self._next_event + 1
            if not self._occurs(self._event_gap):
                self._events.append(_CacheEvent(seq, op, block, now + self._event_delay_s))

    async def _cancel(self, request: Request, request_id: str) -> HTTPResponse:
        await self._thawed.wait()
        found = self.engine.find(request_id)
        for sequence in found:
            self.engine.cancel(sequence)
        return self._reply({"cancelled": len(found)})

    async def _get_stats(self, request: Request) -> HTTPResponse:
        return self._reply(asdict(self.engine.stats) | {"crashes": self.crashes})

    async def _sample_load(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._collect_events()
            self._samples.append((loop.time(), self.load()))
            while self._samples and self._samples[0][0] < loop.time() - self.load_lag_s - 1:
                self._samples.popleft()
            await asyncio.sleep(LOAD_SAMPLE_S)


def _usage(body: dict[str, Any], sequence: Sequence) -> dict[str, int]:
    return {"prompt_tokens": len(prompt_words(body)), "completion_tokens": sequence.total}


def _event(
    body: dict[str, Any], sequence: Sequence, index: int, delta: dict[str, str], finish: str | None
) -> str:
    chunk: dict[str, Any] = {
        "id": sequence.id,
        "object": "chat.completion.chunk",
        "model": body.get("model", ""),
        "index": index,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }
    if finish:
        chunk["total"] = sequence.total
        chunk["usage"] = _usage(body, sequence)
    return f"data: {json.dumps(chunk)}\n\n"


def main() -> None:
    """Run one fake runner as a process."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--step_ms", type=float, default=10.0)
    parser.add_argument("--load_lag_s", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)

    def build(args: argparse.Namespace) -> FakeServer:
        cfg = EngineConfig(slots=args.slots, step_s=args.step_ms / 1000)
        return FakeRunner(
            args.name, cfg, args.host, args.port, load_lag_s=args.load_lag_s, seed=args.seed
        )

    run_process(build, parser)


if __name__ == "__main__":
    main()
