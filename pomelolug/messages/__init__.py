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

__all__ = [
    "Claim",
    "ClaimBatch",
    "ClaimRequest",
    "ClaimUpdate",
    "ClaimVerdict",
    "Dissolution",
    "Drain",
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
