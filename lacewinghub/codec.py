"""CBOR encoding of the messages between nodes.

A message is encoded as an array of its type code and its fields in order, which makes a heartbeat
several times smaller than a map with field names would be.
"""

from dataclasses import fields
from functools import cache
from typing import Any, get_args

import cbor2
from pydantic import TypeAdapter, ValidationError

from .errors import PeerRejected
from .message import (
    MAX_MESSAGE_BYTES,
    BrittleStatement,
    ClearedTrait,
    CrashSuspect,
    CrashTrial,
    Demand,
    EndpointLeaveState,
    EndpointOutcomes,
    EndpointPromptParts,
    GrantItem,
    Grants,
    GroupFreeSlots,
    Heartbeat,
    HeldGrant,
    LeaderHint,
    LeaderReport,
    MembershipGossip,
    MembershipUpdate,
    Message,
    NodeTrials,
    PoolDemand,
    Pressure,
    PromptTokenRate,
    RecordItem,
    RecordsReply,
    RelayedFreeSlots,
    RelayedPressure,
    Release,
    ReleaseItem,
    RunnerObservation,
    StatedRate,
    SuspectRequest,
    SuspectTrial,
    TopicNews,
    TopicOffset,
    TunnelOffer,
    WaitingCount,
    WindowUsage,
)

_TYPES: dict[int, type] = {cls.CODE: cls for cls in get_args(Message)}
_NESTED: dict[tuple[type, str], type] = {
    (Heartbeat, "pressure"): Pressure,
    (Heartbeat, "free"): GroupFreeSlots,
    (Heartbeat, "suspects"): SuspectRequest,
    (Heartbeat, "marks"): EndpointLeaveState,
    (Heartbeat, "relayed"): RelayedPressure,
    (Heartbeat, "free_elsewhere"): RelayedFreeSlots,
    (Heartbeat, "trials"): NodeTrials,
    (Heartbeat, "outcomes"): EndpointOutcomes,
    (Heartbeat, "ends"): TopicOffset,
    (Heartbeat, "work"): PromptTokenRate,
    (Heartbeat, "parts"): EndpointPromptParts,
    (Heartbeat, "crash_suspects"): CrashSuspect,
    (Heartbeat, "cleared"): ClearedTrait,
    (Heartbeat, "rates"): StatedRate,
    (Heartbeat, "brittle"): BrittleStatement,
    (Heartbeat, "crash_trials"): CrashTrial,
    (Heartbeat, "leaders"): LeaderHint,
    (Heartbeat, "runners"): RunnerObservation,
    (Heartbeat, "tunnels"): TunnelOffer,
    (LeaderReport, "usage"): WindowUsage,
    (LeaderReport, "demand"): PoolDemand,
    (RecordsReply, "items"): RecordItem,
    (TopicNews, "offset"): TopicOffset,
    (NodeTrials, "items"): SuspectTrial,
    (MembershipGossip, "items"): MembershipUpdate,
    (Demand, "waiting"): WaitingCount,
    (Demand, "taken"): HeldGrant,
    (Grants, "items"): GrantItem,
    (Release, "items"): ReleaseItem,
}
_ADAPTERS: dict[type, TypeAdapter[Any]] = {cls: TypeAdapter(cls) for cls in _TYPES.values()}


def encode(message: Message) -> bytes:
    """Encode a message as CBOR.

    Args:
        message: One of the message classes.

    Returns:
        The encoded bytes.
    """
    return cbor2.dumps([message.CODE, *_to_array(_TYPES[message.CODE], message)])


def decode(data: bytes) -> Message:
    """Decode and validate a message.

    Args:
        data: Bytes from ``encode``.

    Returns:
        The message.

    Raises:
        PeerRejected: If the bytes are not a valid message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerRejected(f"message has {len(data)} bytes, more than {MAX_MESSAGE_BYTES}")
    try:
        code, *values = cbor2.loads(data)
        cls = _TYPES[code]
        return _ADAPTERS[cls].validate_python(_to_mapping(cls, values))
    except (
        ValidationError,
        cbor2.CBORError,
        KeyError,
        TypeError,
        ValueError,
        OverflowError,
        RecursionError,
    ) as exc:
        raise PeerRejected(f"invalid message: {exc}") from exc


def _to_array(cls: type, item: Any) -> list[Any]:
    values = [getattr(item, name) for name in _field_names(cls)]
    for index, nested in _nested_indexes(cls):
        values[index] = [_to_array(nested, part) for part in values[index]]
    return values


@cache
def _field_names(cls: type) -> tuple[str, ...]:
    return tuple(member.name for member in fields(cls))


@cache
def _nested_fields(cls: type) -> tuple[tuple[str, type], ...]:
    return tuple((name, _NESTED[cls, name]) for name in _field_names(cls) if (cls, name) in _NESTED)


@cache
def _nested_indexes(cls: type) -> tuple[tuple[int, type], ...]:
    return tuple((_field_names(cls).index(name), nested) for name, nested in _nested_fields(cls))


def _to_mapping(cls: type, values: list[Any]) -> dict[str, Any]:
    names = _field_names(cls)
    if len(values) != len(names):
        raise ValueError(f"{cls.__name__} has {len(names)} fields, not {len(values)}")
    members = dict(zip(names, values, strict=True))
    for name, nested in _nested_fields(cls):
        members[name] = [_to_mapping(nested, part) for part in members[name]]
    return members
