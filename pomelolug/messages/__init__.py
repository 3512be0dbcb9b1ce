"""Messages between the processes and records on the log."""

from pomelolug.messages._claims_generated import (
    Claim,
    ClaimBatch,
    ClaimRequest,
    ClaimUpdate,
    ClaimVerdict,
)
from pomelolug.messages._codec import (
    MAX_MESSAGE_BYTES,
    Message,
    decode,
    encode,
)
from pomelolug.messages._configuration_generated import ConfigurationChange
from pomelolug.messages._groups_generated import (
    Dissolution,
    Drain,
    Formation,
    GroupMember,
    GroupsCheckpoint,
    GroupState,
    VmChange,
)
from pomelolug.messages._peer_generated import (
    Digest,
    Heartbeat,
    Hello,
    KeepAlive,
    LossReport,
    Proof,
    RecordsRequest,
    Relay,
    StreamRecords,
    VersionUpdate,
)
from pomelolug.messages._routing_generated import (
    Explanation,
    GroupStatus,
    RoutingTable,
    ServiceStatus,
    StatusBatch,
    StatusPull,
    TablePull,
)
from pomelolug.messages._state_generated import Checkpoint, Envelope, RecordPayload

__all__ = [
    "Checkpoint",
    "Claim",
    "ClaimBatch",
    "ClaimRequest",
    "ClaimUpdate",
    "ClaimVerdict",
    "ConfigurationChange",
    "Digest",
    "Dissolution",
    "Drain",
    "Envelope",
    "Explanation",
    "Formation",
    "GroupMember",
    "GroupState",
    "GroupStatus",
    "GroupsCheckpoint",
    "Heartbeat",
    "Hello",
    "KeepAlive",
    "LossReport",
    "MAX_MESSAGE_BYTES",
    "Message",
    "Proof",
    "RecordPayload",
    "RecordsRequest",
    "Relay",
    "RoutingTable",
    "ServiceStatus",
    "StatusBatch",
    "StatusPull",
    "StreamRecords",
    "TablePull",
    "VersionUpdate",
    "VmChange",
    "decode",
    "encode",
]
