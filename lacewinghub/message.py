"""Messages between nodes."""

from dataclasses import dataclass, field
from typing import ClassVar

GRANT_REFUSED = -1
MAX_MESSAGE_BYTES = 4 * 1024 * 1024


@dataclass(slots=True)
class Hello:
    """Opens a connection; ``proof`` is the HMAC of the peer's challenge.

    ``on_demand`` is true for a connection without heartbeats that is closed when it is unused.
    """

    CODE: ClassVar[int] = 1

    node: str
    incarnation: int
    availability_zone: str
    address: str
    nonce: bytes
    proof: bytes
    on_demand: bool = False


@dataclass(slots=True)
class Pressure:
    """State of one pool at one node.

    Attributes:
        pool: Name of the pool.
        floor: Lowest tier (largest number) that the node admits.
        admit_age_ms: Per tier, from tier 1, the age of the last admission in milliseconds; -1 if
            there was none in the last minute.
    """

    pool: str
    floor: int
    admit_age_ms: list[int] = field(default_factory=list)


@dataclass(slots=True)
class GroupFreeSlots:
    """Free slots of a runner group, as its broker sees them."""

    group: str
    free: int


@dataclass(slots=True)
class RelayedFreeSlots:
    """Free slots of a runner group whose broker is not the sender.

    Attributes:
        group: Name of the group.
        free: Number of free slots.
        age_ms: Time since the broker sent it, in milliseconds.
        hops: Number of nodes that have passed it on.
    """

    group: str
    free: int
    age_ms: int
    hops: int


@dataclass(slots=True)
class EndpointLeaveState:
    """State of an endpoint that leaves or has returned.

    Attributes:
        endpoint: Name of the endpoint.
        version: Raised with each change by the node that saw it; the largest one is in force, and
            of two equal ones the one that is leaving.
        leaving: True if the endpoint leaves, False if it has returned.
        age_ms: Age of the evidence in milliseconds.
    """

    endpoint: str
    version: int
    leaving: bool
    age_ms: int


@dataclass(slots=True)
class SuspectTrial:
    """Where a node runs a suspect again; ``where`` is as in ``SuspectRequest.trial``."""

    fingerprint: int
    where: str


@dataclass(slots=True)
class NodeTrials:
    """All trials of a node, passed on by others.

    Attributes:
        node: Identifier of the node.
        incarnation: Its incarnation.
        seq: Sequence number of its heartbeat that announced them; a larger one replaces them.
        items: The trials; empty after the last one has ended.
    """

    node: str
    incarnation: int
    seq: int
    items: list[SuspectTrial]


@dataclass(slots=True)
class SuspectRequest:
    """A fingerprint and the crashes that it was in flight at.

    Attributes:
        fingerprint: Fingerprint of the request.
        crashes: One ``endpoint@time`` per crash, with the wall time in milliseconds.
        cleared: Those of the crashes that a finished run has cleared it of.
        trial: Endpoint on which the sender runs it again, ``?`` and the planned endpoint if the
            sender waits to do so, ``!`` if it has run for some time, otherwise empty.
    """

    fingerprint: int
    crashes: list[str]
    cleared: list[str] = field(default_factory=list)
    trial: str = ""


@dataclass(slots=True)
class RelayedPressure:
    """State of one pool at nodes beyond the sender.

    Attributes:
        pool: Name of the pool.
        floor: Smallest floor.
        origin: Node that has this floor; empty if none is known.
        age_ms: Time since the origin sent it, in milliseconds.
        hops: Number of nodes that have passed the floor on.
        admit_age_ms: Per tier, from tier 1, the age of the last admission at any node, -1 if none.
    """

    pool: str
    floor: int
    origin: str
    age_ms: int
    hops: int
    admit_age_ms: list[int] = field(default_factory=list)


@dataclass(slots=True)
class EndpointOutcomes:
    """How the latest requests of a node at an endpoint ended.

    Attributes:
        endpoint: Name of the endpoint.
        succeeded: Number of answers without a fault of the endpoint.
        failed: Number of answers that the endpoint failed or broke off.
    """

    endpoint: str
    succeeded: int = 0
    failed: int = 0


@dataclass(slots=True)
class EndpointPromptParts:
    """Ids of the parts of prompts that a node has sent to an endpoint."""

    endpoint: str
    parts: list[str]


@dataclass(slots=True)
class PromptTokenRate:
    """Work of the requests that reach a node, in prompt tokens per second.

    Attributes:
        long: Work of long prompts.
        short: Work of all others.
    """

    long: int
    short: int


@dataclass(slots=True)
class TopicOffset:
    """Offset up to which a node has read a topic of the log; -1 if it has not."""

    topic: str
    end: int


@dataclass(slots=True)
class Heartbeat:
    """Periodic state of a node; complete, so that a lost one does no harm.

    ``relayed``, ``free_elsewhere`` and ``trials`` describe nodes beyond the sender and are empty in
    a full mesh.
    """

    CODE: ClassVar[int] = 2

    node: str
    incarnation: int
    seq: int
    state: str
    config_version: int = 0
    pressure: list[Pressure] = field(default_factory=list)
    free: list[GroupFreeSlots] = field(default_factory=list)
    marks: list[EndpointLeaveState] = field(default_factory=list)
    suspects: list[SuspectRequest] = field(default_factory=list)
    relayed: list[RelayedPressure] = field(default_factory=list)
    free_elsewhere: list[RelayedFreeSlots] = field(default_factory=list)
    trials: list[NodeTrials] = field(default_factory=list)
    full: list[str] = field(default_factory=list)
    outcomes: list[EndpointOutcomes] = field(default_factory=list)
    ends: list[TopicOffset] = field(default_factory=list)
    work: list[PromptTokenRate] = field(default_factory=list)
    parts: list[EndpointPromptParts] = field(default_factory=list)


@dataclass(slots=True)
class WaitingCount:
    """Number of requests of one tier that wait; ``preferred`` is an endpoint name or empty."""

    tier: int
    preferred: str
    count: int


@dataclass(slots=True)
class HeldGrant:
    """A grant in use."""

    id: int
    endpoint: str
    tier: int


@dataclass(slots=True)
class Demand:
    """Demand of a node on one runner group.

    Attributes:
        group: Name of the group.
        seq: Grows with every demand of the node on this group.
        waiting: All requests that wait for a slot of the group.
        oldest_ms: Age of the oldest of them by tier, from tier 1, in milliseconds.
        taken: Grants taken since the demand before, or all held ones if ``full``.
        held: Number of held grants.
        digest: Digest of their identifiers, 32 bits.
        full: True if ``taken`` lists all held grants.
    """

    CODE: ClassVar[int] = 3

    group: str
    seq: int
    waiting: list[WaitingCount]
    oldest_ms: list[int]
    taken: list[HeldGrant]
    held: int = 0
    digest: int = 0
    full: bool = False


@dataclass(slots=True)
class GrantItem:
    """One slot handed out by a broker for a request of at least this tier.

    Attributes:
        id: Unique within the broker.
        endpoint: Name of the endpoint.
        tier: Tier whose turn it is.
        only: True if the slot is for this tier only, to keep its minimum share.
    """

    id: int
    endpoint: str
    tier: int
    only: bool = False


@dataclass(slots=True)
class Grants:
    """Slots handed out by the broker of a runner group.

    Attributes:
        group: Name of the group.
        items: The slots; may be empty, as an answer to a demand.
        wait_ms: Expected wait of a new request by tier, from tier 1; empty without queueing.
        resend: Asks for all held grants, because those of the demand with this number differ from
            the ones that the broker knows; otherwise 0. By the number, the node knows whether a
            full list that is already on its way is the answer.
    """

    CODE: ClassVar[int] = 4

    group: str
    items: list[GrantItem]
    wait_ms: list[int] = field(default_factory=list)
    resend: int = 0


@dataclass(slots=True)
class ReleaseItem:
    """End of a grant with its measurements.

    Attributes:
        id: Identifier of the grant.
        endpoint: Name of the endpoint.
        ok: True if the endpoint served the request to its end.
        first_token_ms: Time to the first token in milliseconds, or -1.
        between_tokens_us: Mean time between tokens in microseconds, or -1.
        tokens: Tokens received; ``GRANT_REFUSED`` if the node did not want this endpoint.
        crashed: True if the connection to the endpoint broke.
    """

    id: int
    endpoint: str
    ok: bool
    first_token_ms: int
    between_tokens_us: int
    tokens: int
    crashed: bool = False


@dataclass(slots=True)
class Release:
    """Slots returned to the broker of a runner group."""

    CODE: ClassVar[int] = 5

    group: str
    items: list[ReleaseItem]


@dataclass(slots=True)
class ConfigRequest:
    """Asks a peer for its tables, which are newer than ``version``."""

    CODE: ClassVar[int] = 6

    version: int


@dataclass(slots=True)
class ConfigReply:
    """Full tables of a version.

    Attributes:
        version: Version of the tables.
        document: The tables as a JSON document, compressed with zlib.
        through: Offset of the first record of stream ``config`` that they do not reflect.
        refreshed: Wall time of the record from which on a reader of the stream can build the
            tables, in seconds since the epoch.
    """

    CODE: ClassVar[int] = 7

    version: int
    document: bytes
    through: int = 0
    refreshed: float = 0.0


@dataclass(slots=True)
class PeerAddresses:
    """Peer addresses of the members that the sender knows to be alive."""

    CODE: ClassVar[int] = 8

    addresses: list[str]


@dataclass(slots=True)
class MembershipUpdate:
    """State of a node that is passed on from peer to peer.

    Attributes:
        node: Identifier of the node.
        incarnation: Its incarnation.
        seq: Raised by the node itself when it contradicts a suspicion.
        state: A ``MemberState``.
        availability_zone: Its availability zone.
        address: Its peer address.
    """

    node: str
    incarnation: int
    seq: int
    state: str
    availability_zone: str
    address: str


@dataclass(slots=True)
class MembershipGossip:
    """Changed states of nodes; all known ones on a new connection."""

    CODE: ClassVar[int] = 9

    items: list[MembershipUpdate]


@dataclass(slots=True)
class Disconnect:
    """The sender closes this connection because it needs it no more; it stays alive."""

    CODE: ClassVar[int] = 10

    node: str


@dataclass(slots=True)
class ForwardRequest:
    """A keyed call on its way to an owner of its partition.

    Attributes:
        call: Unique identifier of this message.
        request: Identifier of the request.
        workspace: Name of the caller's workspace.
        request_class: Class of the request.
        tier: Tier of the request.
        pool: Name of the pool that serves it.
        key: Idempotency key.
        body: JSON body.
        patience_ms: Remaining patience in milliseconds.
        weight: Fair-share weight of the workspace.
        fingerprint: Hash of workspace, pool and body.
    """

    CODE: ClassVar[int] = 20

    call: str
    request: str
    workspace: str
    request_class: str
    tier: int
    pool: str
    key: str
    body: bytes
    patience_ms: int
    weight: float
    fingerprint: int


@dataclass(slots=True)
class ForwardReply:
    """End of a forwarded call.

    Attributes:
        call: Identifier from ``ForwardRequest``.
        status: HTTP status of the answer or of the error.
        body: JSON body of the answer; details of the error as a JSON object.
        code: Code of the error, empty if the call was answered.
        text: Message of the error.
        run: What the error says about the execution.
        retry_after_ms: When a retry makes sense, in milliseconds; -1 if that is not known.
    """

    CODE: ClassVar[int] = 21

    call: str
    status: int
    body: bytes
    code: str = ""
    text: str = ""
    run: str = ""
    retry_after_ms: int = -1


@dataclass(slots=True)
class RecordsRequest:
    """Asks a peer for the records of a topic from an offset on; -1 asks for all."""

    CODE: ClassVar[int] = 22

    topic: str
    start: int


@dataclass(slots=True)
class RecordItem:
    """The newest record of a key; a value of None drops the key."""

    key: str
    value: bytes | None
    offset: int


@dataclass(slots=True)
class RecordsReply:
    """Records of a topic that a node holds.

    Attributes:
        topic: Name of the topic.
        start: Offset that was asked for.
        whole: True if the items are all keys, False if they are the changes from ``start`` on.
        fresh: True if the sender has read the log itself lately and up to ``start`` at least.
        end: Offset that follows the records.
        items: The records, in no particular order.
    """

    CODE: ClassVar[int] = 23

    topic: str
    start: int
    whole: bool
    fresh: bool
    end: int
    items: list[RecordItem]


Message = (
    Hello
    | Heartbeat
    | Demand
    | Grants
    | Release
    | ConfigRequest
    | ConfigReply
    | PeerAddresses
    | MembershipGossip
    | Disconnect
    | ForwardRequest
    | ForwardReply
    | RecordsRequest
    | RecordsReply
)
