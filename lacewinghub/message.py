"""Messages between nodes; see ``codec`` for their encoding."""

from dataclasses import dataclass, field
from typing import ClassVar

# Value of ``ReleaseItem.tokens`` for a grant that was not used.
GRANT_REFUSED = -1
MAX_MESSAGE_BYTES = 4 * 1024 * 1024


@dataclass(slots=True)
class Hello:
    """Opens a connection; ``proof`` is the HMAC of the peer's challenge.

    ``on_demand`` is true for a connection without heartbeats that is closed when it is idle.
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
    """Load shedding and admissions of one pool at one node.

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
    """Free slots of a runner group whose broker is the sender."""

    group: str
    free: int


@dataclass(slots=True)
class RelayedFreeSlots:
    """Free slots of a runner group, relayed by a node that is not its broker.

    Attributes:
        group: Name of the group.
        free: Number of free slots.
        age_ms: Time since the broker sent the report, in milliseconds.
        hops: Number of nodes that have relayed it.
    """

    group: str
    free: int
    age_ms: int
    hops: int


@dataclass(slots=True)
class EndpointLeaveState:
    """State of an endpoint that is leaving or has returned.

    Attributes:
        endpoint: Name of the endpoint.
        version: Incremented with each change by the node that observed it; the largest one is in
            force, and of two equal ones the one that is leaving.
        leaving: True if the endpoint is leaving, False if it has returned.
        age_ms: Age of the latest evidence for the state, in milliseconds.
    """

    endpoint: str
    version: int
    leaving: bool
    age_ms: int


@dataclass(slots=True)
class SuspectTrial:
    """Endpoint of a trial of a suspect request; ``where`` is as ``SuspectRequest.trial``."""

    fingerprint: int
    where: str


@dataclass(slots=True)
class NodeTrials:
    """All trials of a node, relayed by other nodes.

    Attributes:
        node: Identifier of the node.
        incarnation: Its incarnation.
        seq: Sequence number of the heartbeat that announced them; a larger one replaces them.
        items: The trials; empty after the last one has ended.
    """

    node: str
    incarnation: int
    seq: int
    items: list[SuspectTrial]


@dataclass(slots=True)
class SuspectRequest:
    """A request that may crash endpoints, with the crashes during which it was in flight.

    Attributes:
        fingerprint: Fingerprint of the request.
        crashes: One ``endpoint@time`` per crash, with the wall time in milliseconds.
        cleared: Those of the crashes that a later completed run has cleared it of.
        trial: Endpoint on which the sender runs it again; ``?`` and the planned endpoint if the
            sender waits to do so; ``!`` if it has run for some time; otherwise empty.
    """

    fingerprint: int
    crashes: list[str]
    cleared: list[str] = field(default_factory=list)
    trial: str = ""


@dataclass(slots=True)
class StatedRate:
    """What an endpoint stated about the requests that it takes from all nodes together.

    Attributes:
        endpoint: Name of the endpoint.
        per_s: Requests per second; negative if it states no limit any more.
        age_ms: Time since the newest answer that stated it, in milliseconds.
        source: Identifier of the node that received that answer.
        number: Number of that answer among those of its source.
    """

    endpoint: str
    per_s: float
    age_ms: int
    source: int
    number: int


@dataclass(slots=True)
class BrittleStatement:
    """What an endpoint stated about the refusals that make it fall over.

    Attributes:
        pool: Name of its pool.
        endpoint: Name of the endpoint.
        bears_per_s: Refusals per second that it bears; negative if it states no number any more.
        age_ms: Time since the newest answer that stated it, in milliseconds.
        source: Identifier of the node that received that answer.
        number: Number of that answer among those of its source.
    """

    pool: str
    endpoint: str
    bears_per_s: float
    age_ms: int
    source: int
    number: int


@dataclass(slots=True)
class CrashSuspect:
    """A request whose answer had not begun at an endpoint when that crashed.

    Attributes:
        crash: Identifier of the crash.
        request: Hash of the request as a whole.
        parts: Hashes of the shared parts of its prompt, in order.
    """

    crash: str
    request: int
    parts: list[int]


@dataclass(slots=True)
class ClearedTrait:
    """A part of a prompt, or a request, that is not the cause of some crashes."""

    trait: int
    crashes: list[str]


@dataclass(slots=True)
class CrashTrial:
    """Trials of a trait for which requests are refused.

    Attributes:
        trait: Hash of the part of a prompt, or of the request.
        started: Number of trials that were started.
        failed: Number of trials that crashed an endpoint.
    """

    trait: int
    started: int
    failed: int


@dataclass(slots=True)
class RelayedPressure:
    """Load shedding and admissions of one pool at other nodes than the sender.

    Attributes:
        pool: Name of the pool.
        floor: Smallest floor.
        origin: Node that has this floor; empty if none is known.
        age_ms: Time since the origin sent the floor, in milliseconds.
        hops: Number of nodes that have relayed the floor.
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
    """Outcomes of the latest requests that a node sent to an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        succeeded: Number of answers without a fault of the endpoint.
        failed: Number of answers that the endpoint failed or did not complete.
    """

    endpoint: str
    succeeded: int = 0
    failed: int = 0


@dataclass(slots=True)
class EndpointPromptParts:
    """Identifiers of the prompt parts that a node has sent to an endpoint."""

    endpoint: str
    parts: list[str]


@dataclass(slots=True)
class PromptTokenRate:
    """Prompt tokens per second of the requests that arrive at a node.

    Attributes:
        long: Those of long prompts.
        short: Those of all other prompts.
    """

    long: int
    short: int


@dataclass(slots=True)
class TopicOffset:
    """What a node knows of a topic of the log.

    Attributes:
        topic: Name of the topic.
        end: Offset up to which the node knows the topic; -1 if it does not.
        changed: Offset after the last record from ``base`` on that changed anything; -1 if none.
        base: Offset from which on the node knows all changes, also those that others undid.
        age_ms: Time since the log had this state, in milliseconds; -1 if unknown.
        reader: Identifier of the node whose read of the log showed this state; 0 if unknown.
        read_no: Number of that read among those of its reader.
        era: Era of the log to which the offsets belong.
    """

    topic: str
    end: int
    changed: int = -1
    base: int = 0
    age_ms: int = -1
    reader: int = 0
    read_no: int = 0
    era: int = 0


@dataclass(slots=True)
class LeaderHint:
    """The node that holds the singleton duties, as far as the sender knows.

    Attributes:
        node: Identifier of the holder.
        address: Address on which it accepts peers.
        token: Fencing token of its lease; the highest one is the newest.
        number: Number of this news among those of the holder; each is passed on once.
    """

    node: str
    address: str
    token: int
    number: int = 0


@dataclass(slots=True)
class RunnerObservation:
    """What a node has learnt of a runner from its answers.

    Attributes:
        endpoint: Name of the runner.
        source: Identifier of the node that learnt it, as a number.
        number: Number of this news among those of its source.
        age_ms: Time since it was learnt, in milliseconds.
        running: Requests in its batch.
        waiting: Requests in its own queue.
        slowness: Time that work takes on its host, in hundredths of the usual time; 0 if unknown.
        gap_ms: Mean time between two events of an answer, in milliseconds; 0 if unknown.
        prefill_ms: Mean time to the first event per 1,000 prompt tokens, in milliseconds; 0 if
            unknown.
    """

    endpoint: str
    source: int
    number: int
    age_ms: int
    running: int
    waiting: int
    slowness: int
    gap_ms: int
    prefill_ms: int


@dataclass(slots=True)
class TunnelOffer:
    """Offer of a node to connect others to endpoints.

    Attributes:
        address: Address of its tunnel port, ``IP:port``.
        cut: True if its own links to the endpoints are cut.
        room: Number of further tunnels that it would open.
    """

    address: str
    cut: bool
    room: int


@dataclass(slots=True)
class Heartbeat:
    """Periodic state of a node; always complete, so that a lost heartbeat does no harm.

    ``relayed``, ``free_elsewhere`` and ``trials`` describe other nodes than the sender and are
    empty in a full mesh.
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
    crash_suspects: list[CrashSuspect] = field(default_factory=list)
    cleared: list[ClearedTrait] = field(default_factory=list)
    refuted: list[str] = field(default_factory=list)
    rates: list[StatedRate] = field(default_factory=list)
    crash_trials: list[CrashTrial] = field(default_factory=list)
    leaders: list[LeaderHint] = field(default_factory=list)
    runners: list[RunnerObservation] = field(default_factory=list)
    brittle: list[BrittleStatement] = field(default_factory=list)
    tunnels: list[TunnelOffer] = field(default_factory=list)


@dataclass(slots=True)
class WaitingCount:
    """Number of waiting requests of one tier; ``preferred`` is an endpoint name or empty."""

    tier: int
    preferred: str
    count: int


@dataclass(slots=True)
class HeldGrant:
    """A grant that a request uses."""

    id: int
    endpoint: str
    tier: int


@dataclass(slots=True)
class Demand:
    """Demand of a node for slots of one runner group, sent to the broker of the group.

    Attributes:
        group: Name of the group.
        seq: Sequence number of the node's demands for this group.
        waiting: All requests that wait for a slot of the group.
        oldest_ms: Age of the oldest of them by tier, from tier 1, in milliseconds.
        taken: Grants taken since the previous demand, or all held ones if ``full``.
        held: Number of held grants.
        digest: Digest of the identifiers of the held grants, 32 bits.
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
    """One slot granted by a broker for a request of at least this tier.

    Attributes:
        id: Identifier, unique within the broker.
        endpoint: Name of the endpoint.
        tier: Tier whose turn it is in the broker's schedule.
        only: True if only this tier may use the slot, which guarantees its minimum share.
    """

    id: int
    endpoint: str
    tier: int
    only: bool = False


@dataclass(slots=True)
class Grants:
    """Slots granted by the broker of a runner group.

    Attributes:
        group: Name of the group.
        items: The slots; may be empty in a reply to a demand.
        wait_ms: Expected wait of a new request by tier, from tier 1; empty without queueing.
        resend: Sequence number of a demand whose held grants differ from those that the broker
            knows, which asks for all held grants; otherwise 0. From the number, the node can tell
            whether a full list that it has already sent answers this.
    """

    CODE: ClassVar[int] = 4

    group: str
    items: list[GrantItem]
    wait_ms: list[int] = field(default_factory=list)
    resend: int = 0


@dataclass(slots=True)
class ReleaseItem:
    """End of a grant, with measurements of the request.

    Attributes:
        id: Identifier of the grant.
        endpoint: Name of the endpoint.
        ok: True if the endpoint completed the request.
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
    """Asks a peer for its tables if they are newer than ``version``."""

    CODE: ClassVar[int] = 6

    version: int


@dataclass(slots=True)
class ConfigReply:
    """Complete tables of a version.

    Attributes:
        version: Version of the tables.
        document: The tables as a JSON document, compressed with zlib.
        through: Offset of the first record of stream ``config`` that they do not reflect.
        refreshed: Wall time of the first record that a reader of the stream needs to build the
            tables, in seconds since the epoch.
    """

    CODE: ClassVar[int] = 7

    version: int
    document: bytes
    through: int = 0
    refreshed: float = 0.0


@dataclass(slots=True)
class PeerAddresses:
    """Peer addresses of the members that are live or suspect in the view of the sender."""

    CODE: ClassVar[int] = 8

    addresses: list[str]


@dataclass(slots=True)
class MembershipUpdate:
    """State of a node, spread by gossip from peer to peer.

    Attributes:
        node: Identifier of the node.
        incarnation: Its incarnation.
        seq: Incremented by the node itself when it refutes a suspicion or leaves.
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
    """Changed states of nodes; on a new connection the states of all known nodes."""

    CODE: ClassVar[int] = 9

    items: list[MembershipUpdate]


@dataclass(slots=True)
class Disconnect:
    """Announces that the sender closes this connection as unneeded and stays alive."""

    CODE: ClassVar[int] = 10

    node: str


@dataclass(slots=True)
class ForwardRequest:
    """A call with an idempotency key, forwarded to an owner of the partition of the key.

    Attributes:
        call: Unique identifier of this message.
        request: Identifier of the request.
        workspace: Name of the client's workspace.
        request_class: Class of the request.
        tier: Tier of the request.
        pool: Name of the pool that serves it.
        key: Idempotency key.
        body: JSON body.
        patience_ms: Remaining time that the client waits, in milliseconds.
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
    """Answer to a forwarded call, or its error.

    Attributes:
        call: Identifier from ``ForwardRequest``.
        status: HTTP status of the answer or of the error.
        body: JSON body of the answer; details of the error as a JSON object.
        code: Code of the error, empty if the call was answered.
        text: Message of the error.
        run: Whether the call was executed, as stated by the error.
        retry_after_ms: Time after which a retry makes sense, in milliseconds; -1 if unknown.
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
    """Asks a peer for the records of a topic from an offset on; -1 asks for all.

    Attributes:
        topic: Name of the topic.
        start: The offset.
        era: Era of the log to which it belongs.
        request_no: Number of the request among those of its sender for the topic; 0 if unknown.
    """

    CODE: ClassVar[int] = 22

    topic: str
    start: int
    era: int = 0
    request_no: int = 0


@dataclass(slots=True)
class RecordItem:
    """The newest record of a key; a value of None deletes the key.

    Attributes:
        key: The key.
        value: The value, compressed with zlib if ``packed`` is set.
        offset: Offset of the record in the log.
        packed: True if the value is compressed.
    """

    key: str
    value: bytes | None
    offset: int
    packed: bool = False


@dataclass(slots=True)
class RecordsReply:
    """Records of a topic that a node holds.

    Attributes:
        topic: Name of the topic.
        start: Offset that was asked for.
        whole: True if the items cover all keys, False if they are the changes from ``start`` on.
        fresh: True if the sender has recently read the log itself, at least up to ``start``.
        end: Offset after the last of the records.
        items: The records, in no particular order.
        age_ms: Time since the log had this state, in milliseconds; -1 if unknown.
        outage_ms: Time since the sender could read the log again after an outage, in milliseconds;
            -1 if there was none.
        reader: Identifier of the node whose read of the log showed this state; 0 if unknown.
        read_no: Number of that read among those of its reader.
        era: Era of the log to which the offsets belong.
        request_no: Number of the request that is answered; 0 if unknown.
    """

    CODE: ClassVar[int] = 23

    topic: str
    start: int
    whole: bool
    fresh: bool
    end: int
    items: list[RecordItem]
    age_ms: int = -1
    outage_ms: int = -1
    reader: int = 0
    read_no: int = 0
    era: int = 0
    request_no: int = 0


@dataclass(slots=True)
class TopicNews:
    """Tells a peer at once that a node knows a change of a topic, or that the log answers again.

    Attributes:
        offset: What the node knows; the only entry of the list.
    """

    CODE: ClassVar[int] = 24

    offset: list[TopicOffset]


@dataclass(slots=True)
class WindowUsage:
    """Requests that began in one window at the sender, since its start, by workspace."""

    window: int
    requests: dict[str, int]


@dataclass(slots=True)
class PoolDemand:
    """Demand for a pool at the sender; rates and counts cover its last few seconds.

    Attributes:
        pool: Name of the pool.
        arrivals_per_s: Requests per second.
        prompt_tokens_per_s: Prompt tokens per second.
        output_tokens_per_s: Expected output tokens per second.
        queued: Requests that wait at the sender now.
        in_flight: Requests that the sender has sent to endpoints and that are not finished.
        on_time_per_s: First events per second within their latency target.
        late_per_s: First events per second beyond it.
        refused_per_s: Requests per second that the sender refused for want of capacity.
    """

    pool: str
    arrivals_per_s: float
    prompt_tokens_per_s: float
    output_tokens_per_s: float
    queued: int
    in_flight: int
    on_time_per_s: float
    late_per_s: float
    refused_per_s: float


@dataclass(slots=True)
class LeaderReport:
    """What a node tells the holder of the singleton duties; each report replaces the one before.

    Attributes:
        node: Identifier of the sender.
        incarnation: Its incarnation.
        seq: Number of the report.
        last_window: Newest window for which the counts are final.
        usage: Counts of the windows that may not be reported yet.
        demand: Demand by pool.
        leaving: True once the sender has announced that it stops.
    """

    CODE: ClassVar[int] = 25

    node: str
    incarnation: int
    seq: int
    last_window: int
    usage: list[WindowUsage] = field(default_factory=list)
    demand: list[PoolDemand] = field(default_factory=list)
    leaving: bool = False


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
    | TopicNews
    | LeaderReport
)
