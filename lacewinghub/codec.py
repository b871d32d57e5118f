"""CBOR encoding of the messages between nodes.

A message is encoded as an array of its type code and its fields in order, which makes a heartbeat
several times smaller than a map with field names would be.

New fields are added at the end and have a default, so that nodes of different builds understand
each other: fields that the receiver does not know are ignored, and missing ones get their defaults.
Builds up to 6e47d35 reject both.
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


def encode(message: Message, fields_limit: int | None = None) -> bytes:
    """Encode a message as CBOR.

    Args:
        message: One of the message classes.
        fields_limit: Number of fields that the receiver knows; None for all.

    Returns:
        The encoded bytes.
    """
    values = _to_array(_TYPES[message.CODE], message)
    return cbor2.dumps([message.CODE, *values[:fields_limit]])


def count_fields(data: bytes) -> int:
    """Return the number of fields of a message that ``decode`` accepts."""
    return len(cbor2.loads(data)) - 1


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
    members = dict(zip(_field_names(cls), values, strict=False))
    for name, nested in _nested_fields(cls):
        if name in members:
            members[name] = [_to_mapping(nested, part) for part in members[name]]
    return members
