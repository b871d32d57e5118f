"""Names of the platform's headers, paths, topics and settings."""

ATTEMPT_ID = b"lacewinghub-attempt-id"
DEADLINE_MS = b"lacewinghub-deadline-ms"
EXPECT_INSTANCE = b"lacewinghub-expect-instance"
EXPECT_VERSION = b"lacewinghub-expect-version"
KV_BACKUP = b"lacewinghub-kv-backup"
KV_FROM = b"kv-from"
KV_HOLD = b"lacewinghub-kv-hold"
LAST_EVENT_ID = b"last-event-id"
LENGTH_HINT = b"lacewinghub-length-hint"
NOT_EXECUTED = b"lacewinghub-not-executed"
PIN_MS = b"lacewinghub-pin-ms"
PROMPT_PREFIX = b"lacewinghub-prompt-prefix"
REQUEST_URGENCY = b"lacewinghub-request-urgency"
RESPONSE_SEAL = b"lacewinghub-response-seal"
RESUMES = b"resumes"
SERVER_BRITTLE = b"server-brittle"
SERVER_LEAVING = b"server-leaving"
SERVER_LIMIT = b"server-limit"
SERVER_LOAD = b"lacewinghub-server-load"
TENANT_ID = b"lacewinghub-tenant-id"
TOKEN_COUNT = b"lacewinghub-token-count"

AUTHORIZATION = b"authorization"
RETRY_AFTER = b"retry-after"
AUTHORIZATION_SCHEME = "token"

# Headers that only the router may set; those of a client are dropped.
ROUTER_HEADERS = frozenset(
    (
        AUTHORIZATION,
        DEADLINE_MS,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        KV_BACKUP,
        KV_FROM,
        KV_HOLD,
        PIN_MS,
        REQUEST_URGENCY,
        TENANT_ID,
        b"kv-fetch",
    )
)

REPORT_PATH = b"/v1/report"
KV_MOVE_PATH = b"/v1/kv-move"
KV_HANDLE_PATH = b"/v1/kv-handle/"

READY_PATH = b"/v1/ready"
LOG_APPEND_PATH = "/v1/log-append"
LOG_NEWEST_PATH = "/v1/log-newest"
LOG_READ_PATH = "/v1/log-read"

# Header of the store's answers: how often it came back from an older copy of itself.
STORE_ERA = "Store-Era"

OPERATOR_TOPIC = "keyed.op"
RUNNERS_TOPIC = "keyed.servers"
# The topic to which the nodes themselves write, to announce their addresses.
NODES_TOPIC = "keyed.nodes"
# The topic to which the nodes write the evidence of what crashes runners.
CRASHES_TOPIC = "keyed.crashes"
# The topic to which the holder of the singleton duties writes its lease and what it has decided.
DUTIES_TOPIC = "keyed.duties"
# The topics to which the nodes write which software versions each service has had, and at which of
# them streams began. The second one has no keys: its records expire.
VERSIONS_TOPIC = "keyed.versions"
STREAMS_TOPIC = "streams"
CONFIG_KEY = "config"

USAGE_DUTY = "usage_report"
SCALE_DUTY = "autoscale"
USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
DUTY_HOLDER = "Lacewinghub-Duty-Holder"
FENCING_TOKEN = "Lacewinghub-Fencing-Token"

SETTINGS_VARIABLE = "LACEWINGHUB_BOOT"
SETTINGS_PATH = "/etc/lacewinghub/boot.toml"

LOWEST_URGENCY = 9

# The platform provides no shared secret, so that the key is constant. Nodes are reachable only
# within the platform's own network.
PEER_KEY = b"lacewinghub nodes of one platform"
