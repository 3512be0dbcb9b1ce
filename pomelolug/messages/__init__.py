"""Messages between the processes and records on the log."""

from pomelolug.messages._claims_generated import (
    Claim,
    ClaimBatch,
    ClaimRequest,
    ClaimUpdate,
    ClaimVerdict,
    HolderLost,
)
from pomelolug.messages._codec import (
    MAX_MESSAGE_BYTES,
    Message,
    decode,
    encode,
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
    DemandReport,
    GroupStatus,
    RoutingTable,
    ServiceStatus,
)

__all__ = [
    "Claim",
    "ClaimBatch",
    "ClaimRequest",
    "ClaimUpdate",
    "ClaimVerdict",
    "DemandReport",
    "Digest",
    "GroupStatus",
    "Heartbeat",
    "Hello",
    "HolderLost",
    "KeepAlive",
    "LossReport",
    "MAX_MESSAGE_BYTES",
    "Message",
    "Proof",
    "RecordsRequest",
    "Relay",
    "RoutingTable",
    "ServiceStatus",
    "StreamRecords",
    "VersionUpdate",
    "decode",
    "encode",
]
