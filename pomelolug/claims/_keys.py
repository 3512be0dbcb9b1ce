"""Derivation of claim keys and of their partitions."""

import datetime
import hashlib
import uuid

__all__ = ["derive_claim_key", "parse_key_time", "partition_for_key"]

TIME_ORDERED_UUID_VERSION = 7


def derive_claim_key(account: str, idempotency_key: str) -> bytes:
    """Return the SHA-256 digest that identifies an idempotency key on the log.

    Examples
    --------
    >>> derive_claim_key("a", "bc") == derive_claim_key("ab", "c")
    False
    """
    # The length prefix keeps two accounts from producing the same preimage.
    encoded_account = account.encode()
    preimage = (
        len(encoded_account).to_bytes(4, "big")
        + encoded_account
        + idempotency_key.encode()
    )
    return hashlib.sha256(preimage).digest()


def partition_for_key(key: bytes, partition_count: int) -> int:
    """Return the partition of a claim key, from 0 to `partition_count` - 1.

    Examples
    --------
    >>> partition_for_key(bytes(32), 16)
    0
    """
    return int.from_bytes(key[:8], "big") % partition_count


def parse_key_time(idempotency_key: str) -> datetime.datetime | None:
    """Return the time encoded in a UUID version 7, or None for any other key.

    Examples
    --------
    >>> parse_key_time("017f22e2-79b0-7cc3-98c4-dc0c0c07398f").year
    2022
    >>> parse_key_time("order-17") is None
    True
    """
    try:
        parsed = uuid.UUID(idempotency_key)
    except ValueError:
        return None
    if parsed.version != TIME_ORDERED_UUID_VERSION:
        return None
    try:
        return datetime.datetime.fromtimestamp((parsed.int >> 80) / 1000, datetime.UTC)
    except (OverflowError, ValueError, OSError):
        return None
