"""Claims: at most one execution of a non-idempotent request."""

from pomelolug.claims._choice import relay_of
from pomelolug.claims._client import ClaimClient, ClaimTicket, TicketState
from pomelolug.claims._fold import ClaimsFold, ClaimState, Holding, Verdict
from pomelolug.claims._keys import claim_key, key_time, partition_of
from pomelolug.claims._relay import ClaimRelay

__all__ = [
    "ClaimClient",
    "ClaimRelay",
    "ClaimState",
    "ClaimTicket",
    "ClaimsFold",
    "Holding",
    "TicketState",
    "Verdict",
    "claim_key",
    "key_time",
    "partition_of",
    "relay_of",
]
