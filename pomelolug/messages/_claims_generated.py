"""Messages and log records that claim non-idempotent requests.

Generated from schema/messages/claims.toml.
"""

from pomelolug.messages._codec import Message

__all__ = [
    "Claim",
    "ClaimBatch",
    "ClaimRequest",
    "ClaimUpdate",
    "ClaimVerdict",
    "HolderLost",
]


class Claim(Message, frozen=True, kw_only=True):
    """Request for the exclusive right to dispatch one non-idempotent request."""

    key: bytes
    """SHA-256 of account and idempotency key."""
    body: bytes
    """SHA-256 of the request body and target."""
    node: str
    """Node that requests the claim."""
    incarnation: int
    """Incarnation of the node."""
    nonce: bytes
    """16 random bytes, different for each attempt."""


class ClaimUpdate(Message, frozen=True, kw_only=True):
    """Report by the holder of a claim on the outcome of its request."""

    key: bytes
    """Key of the claim."""
    nonce: bytes
    """Nonce of the granted claim."""
    state: str
    """Value of ``ClaimState``: released, answered or unknown."""


class ClaimBatch(Message, frozen=True, kw_only=True):
    """Log record with the claims and updates that a relay has collected."""

    claims: tuple[Claim, ...] = ()
    """Claims in order of arrival."""
    updates: tuple[ClaimUpdate, ...] = ()
    """Updates in order of arrival."""


class ClaimRequest(Message, frozen=True, kw_only=True):
    """Request by a gateway or peer to a control process to decide a claim."""

    serial: int
    """Request number, repeated in the response."""
    claim: Claim
    """Claim to decide."""


class HolderLost(Message, frozen=True, kw_only=True):
    """A process that held claims was lost; the outcome of its requests is unknown."""

    node: str
    """Node of the lost process."""
    before: int = -1
    """Incarnation of the replacement process; -1 if there is none."""


class ClaimVerdict(Message, frozen=True, kw_only=True):
    """Response to a claim request."""

    serial: int
    """Number of the request."""
    verdict: str
    """Value of ``Verdict``."""
