"""Names of the platform's header fields, paths, topics and settings variable."""

REQUEST_ID = b"Request-Id"
DEADLINE_MS = b"Deadline-Ms"
LAST_EVENT_ID = b"Last-Event-Id"
RESPONSE_SEAL = b"Response-Seal"
# The client account.
TENANT = b"Tenant"
EXPECT_INSTANCE = b"Expect-Instance"
# Sent by a server with a refusal. Without it, the request may have run.
NOT_EXECUTED = b"Not-Executed"
RETRY_AFTER = b"Retry-After"
# Requests per second that a server takes from all nodes together.
SERVER_LIMIT = b"Server-Limit"
# Set by a server that is about to leave, in all its responses.
SERVER_LEAVING = b"Server-Leaving"
# Milliseconds for which a server stays cold.
COLD_MS = b"Cold-Ms"
# Rises when the store goes back to an older copy.
STORE_ERA = b"Store-Era"
INSTANCE_ID = b"Instance-Id"
MODEL = b"Model"
# Two numbers: prompt tokens and maximum output tokens.
TOKEN_COUNT = b"Token-Count"
REQUEST_URGENCY = b"Request-Urgency"
AUTHORIZATION = b"Authorization"
AT_SERVER = b"At-Server"
LENGTH_HINT = b"Length-Hint"
# Parts of the prompt in order: id and number of tokens of each.
PROMPT_PREFIX = b"Prompt-Prefix"
# This system's own fields, sent between its nodes only: declaration and runs of a
# request that a node passes on, and outcome and code of an error of the other node.
FORWARDED = b"Pomelolug-Forwarded"
OUTCOME = b"Pomelolug-Outcome"

READY_PATH = b"/-/ready"
REPORT_PATH = b"/-/report"
ORDER_PATH = b"/-/order"

TOPIC_DECLARATION = "keyed.op"
KEY_DECLARATION = "config"
# Followed by the name of an availability zone whose servers get no requests.
KEY_EVACUATION_PREFIX = "evacuate/"
TOPIC_SERVERS = "keyed.servers"
# This system's own topic: addresses of the entry VMs, by node name.
TOPIC_NODES = "keyed.nodes"
# This system's own topic: servers lost while running a request.
TOPIC_LOSSES = "keyed.losses"

SETTINGS_VARIABLE = "POMELOLUG_SETTINGS"
