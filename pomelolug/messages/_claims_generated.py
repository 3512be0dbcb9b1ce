"""Claims on non-idempotent requests.

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
    """Asks for the right to dispatch one non-idempotent request."""

    key: bytes
    """SHA-256 of account and idempotency key."""
    body: bytes
    """SHA-256 of the request body and target."""
    node: str
    """Node that wants to dispatch."""
    incarnation: int
    """Incarnation of the node."""
    nonce: bytes
    """16 random bytes, one value for each try."""


class ClaimUpdate(Message, frozen=True, kw_only=True):
    """The claim's holder reports what became of its request."""

    key: bytes
    """Key of the claim."""
    nonce: bytes
    """Nonce of the claim that won."""
    state: str
    """Value of ``ClaimState``: released, answered or unknown."""


class ClaimBatch(Message, frozen=True, kw_only=True):
    """One log record with the claims and updates that a relay collected."""

    claims: tuple[Claim, ...] = ()
    """Claims in order of arrival."""
    updates: tuple[ClaimUpdate, ...] = ()
    """Updates in order of arrival."""


class ClaimRequest(Message, frozen=True, kw_only=True):
    """A gateway or peer asks a control process to have a claim decided."""

    serial: int
    """Number that the answer repeats."""
    claim: Claim
    """The claim."""


class HolderLost(Message, frozen=True, kw_only=True):
    """The process that held claims is gone; their outcome is unknown."""

    node: str
    """Node of the lost process."""
    before: int = -1
    """Incarnation of the process that took its place; -1 if none did."""


class ClaimVerdict(Message, frozen=True, kw_only=True):
    """Answer to a claim request."""

    serial: int
    """Number of the request."""
    verdict: str
    """Value of ``Verdict``."""
