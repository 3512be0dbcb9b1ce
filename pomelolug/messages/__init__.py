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
from pomelolug.messages._peer_generated import (
    Heartbeat,
    Hello,
    LossReport,
    RecordsRequest,
    StreamRecords,
)
from pomelolug.messages._routing_generated import (
    DemandReport,
    GroupStatus,
    RoutingTable,
    ServiceStatus,
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
    "DemandReport",
    "Envelope",
    "GroupStatus",
    "Heartbeat",
    "Hello",
    "LossReport",
    "MAX_MESSAGE_BYTES",
    "Message",
    "RecordPayload",
    "RecordsRequest",
    "RoutingTable",
    "ServiceStatus",
    "StreamRecords",
    "decode",
    "encode",
]
