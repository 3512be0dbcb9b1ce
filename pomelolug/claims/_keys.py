"""Keys of claims and their partition."""

import datetime
import hashlib
import uuid

__all__ = ["claim_key", "key_time", "partition_of"]

TIME_ORDERED_VERSION = 7


def claim_key(account: str, idempotency_key: str) -> bytes:
    """Return the SHA-256 that stands for the caller's key on the log.

    Examples
    --------
    >>> claim_key("a", "bc") == claim_key("ab", "c")
    False
    """
    # The length keeps two accounts from reaching the same key.
    name = account.encode()
    text = len(name).to_bytes(4, "big") + name + idempotency_key.encode()
    return hashlib.sha256(text).digest()


def partition_of(key: bytes, partitions: int) -> int:
    """Return the partition of a claim key, from 0 to `partitions` - 1.

    Examples
    --------
    >>> partition_of(bytes(32), 16)
    0
    """
    return int.from_bytes(key[:8], "big") % partitions


def key_time(idempotency_key: str) -> datetime.datetime | None:
    """Return the time in a UUID version 7; None for any other key.

    Examples
    --------
    >>> key_time("017f22e2-79b0-7cc3-98c4-dc0c0c07398f").year
    2022
    >>> key_time("order-17") is None
    True
    """
    try:
        parsed = uuid.UUID(idempotency_key)
    except ValueError:
        return None
    if parsed.version != TIME_ORDERED_VERSION:
        return None
    try:
        return datetime.datetime.fromtimestamp((parsed.int >> 80) / 1000, datetime.UTC)
    except (OverflowError, ValueError, OSError):
        return None
