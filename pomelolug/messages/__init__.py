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
    Heartbeat,
    Hello,
    LossReport,
    RecordsRequest,
    StreamRecords,
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
    "LossReport",
    "MAX_MESSAGE_BYTES",
    "Message",
    "RecordPayload",
    "RecordsRequest",
    "RoutingTable",
    "ServiceStatus",
    "StatusBatch",
    "StatusPull",
    "StreamRecords",
    "TablePull",
    "VmChange",
    "decode",
    "encode",
]
