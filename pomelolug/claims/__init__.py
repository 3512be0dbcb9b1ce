"""Claims, which allow at most one execution of a non-idempotent request."""

from pomelolug.claims._client import ClaimClient, ClaimTicket, TicketState
from pomelolug.claims._fold import ClaimsFold, ClaimState, Verdict, WinningClaim
from pomelolug.claims._keys import derive_claim_key, parse_key_time, partition_for_key
from pomelolug.claims._relay import ClaimRelay
from pomelolug.claims._relay_selection import select_relay

__all__ = [
    "ClaimClient",
    "ClaimRelay",
    "ClaimState",
    "ClaimTicket",
    "ClaimsFold",
    "TicketState",
    "Verdict",
    "WinningClaim",
    "derive_claim_key",
    "parse_key_time",
    "partition_for_key",
    "select_relay",
]
