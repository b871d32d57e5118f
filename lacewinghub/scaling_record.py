"""What a holder of the duties leaves to the next one about the runners of a pool.

Times are written as ages, since the clocks of the nodes have nothing in common. The wall clock of
the record tells how much time has passed since, and is trusted within limits only.
"""

import json
import math
from collections.abc import Mapping
from typing import Any

from .autoscaler import (
    MAX_UTILISATION,
    MIN_UTILISATION,
    PEAK_HOLD_S,
    RECLAIM_PAUSE_S,
    UNLIMITED,
    Group,
    GroupState,
    Learnt,
    Sample,
)
from .nodelist import MALFORMED_RECORD

KEY_PREFIX = "scaling-"
# Replaces a record that must not be used, because the log lost a later one.
VOID = b"null"
# Samples are written as the maxima of this time, so that a record has at most 11 of them.
BUCKET_S = 3.0
MAX_SAMPLES = math.ceil(PEAK_HOLD_S / BUCKET_S) + 1
# The log accepts records of 262,144 bytes; a larger one would end the lease.
MAX_RECORD_BYTES = 100_000
MAX_ELAPSED_S = 3600.0
MALFORMED = (*MALFORMED_RECORD, AttributeError)


def encode_pool(
    groups: Mapping[Group, GroupState], learnt: Learnt, now: float, wall_s: float
) -> bytes:
    """Return the record of a pool.

    Args:
        groups: Orders by group.
        learnt: What the plans have learnt.
        now: Time on the clock of the other arguments, in seconds.
        wall_s: The same time since the epoch, in seconds.
    """
    value = {
        "at": wall_s,
        "groups": [
            [
                *group,
                item.ordered,
                item.unconfirmed,
                _age(item.ordered_at, now),
                max(0.0, item.backoff_until - now),
            ]
            for group, item in groups.items()
        ],
        "since": _age(learnt.since, now),
        "initial": learnt.initial,
        "samples": [[now - item.time, *item[1:]] for item in _thinned(learnt.samples)],
        "utilisation": learnt.utilisation,
        "busy_per_token": learnt.busy_per_token,
        "good_tokens": learnt.good_tokens,
        "late_tokens": learnt.late_tokens if math.isfinite(learnt.late_tokens) else None,
        "shrunk": _age(learnt.shrunk_at, now),
        "lost": _age(learnt.lost_at, now),
    }
    return json.dumps(value, separators=(",", ":")).encode()


def decode_pool(data: bytes, now: float, wall_s: float) -> tuple[dict[Group, GroupState], Learnt]:
    """Return the orders and what was learnt, with times on the clock of ``now``.

    Args:
        data: The record.
        now: Time on the clock of the result, in seconds.
        wall_s: The same time since the epoch, in seconds.

    Raises:
        ValueError: Or another one of ``MALFORMED``, if the record is malformed.
    """
    value: dict[str, Any] = json.loads(data)
    elapsed = min(max(0.0, wall_s - _number(value["at"])), MAX_ELAPSED_S)
    then = now - elapsed
    groups = {}
    for zone, spot, ordered, unconfirmed, age, backoff_s in value["groups"]:
        until = then + min(_number(backoff_s), RECLAIM_PAUSE_S)
        groups[Group(str(zone), bool(spot))] = GroupState(
            ordered=_count(ordered),
            ordered_at=_time(age, then, float("-inf")),
            unconfirmed=None if unconfirmed is None else _count(unconfirmed),
            backoff_until=until if until > now else float("-inf"),
        )
    samples = [[_number(item) for item in row] for row in value["samples"][-MAX_SAMPLES:]]
    late, per_token = value["late_tokens"], value["busy_per_token"]
    learnt = Learnt(
        since=None if value["since"] is None else then - _number(value["since"]),
        initial=_count(value["initial"]),
        samples=tuple(
            Sample(then - age, busy, mean, tokens)
            for age, busy, mean, tokens in samples
            if age + elapsed < PEAK_HOLD_S
        ),
        utilisation=min(max(MIN_UTILISATION, _number(value["utilisation"])), MAX_UTILISATION),
        busy_per_token=None if per_token is None else _number(per_token),
        good_tokens=_number(value["good_tokens"]),
        late_tokens=float("inf") if late is None else _number(late),
        shrunk_at=_time(value["shrunk"], then, float("-inf")),
        lost_at=_time(value["lost"], then, float("-inf")),
    )
    return groups, learnt


def _thinned(samples: tuple[Sample, ...]) -> list[Sample]:
    """Return the maxima of the samples of each ``BUCKET_S``, from the newest one backwards."""
    buckets: dict[int, Sample] = {}
    for item in reversed(samples):
        bucket = int((samples[-1].time - item.time) / BUCKET_S)
        known = buckets.get(bucket, item)
        buckets[bucket] = Sample(known.time, *map(max, known[1:], item[1:]))
    return sorted(buckets.values())[-MAX_SAMPLES:]


def _age(time: float | None, now: float) -> float | None:
    return now - time if time is not None and math.isfinite(time) else None


def _time(age: object, then: float, default: float) -> float:
    return default if age is None else then - _number(age)


def _number(value: object) -> float:
    if not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
        raise ValueError(f"{value!r} is not a number that is zero or more")
    return float(value)


def _count(value: object) -> int:
    if not isinstance(value, int) or not 0 <= value <= UNLIMITED:
        raise ValueError(f"{value!r} is not a number of runners")
    return value
