"""Salted hashes of client account keys."""

import hashlib
import hmac

__all__ = ["hash_key", "is_key_hash", "verify_key"]

_MIN_SALT_BYTES = 8
_MAX_SALT_BYTES = 64


def hash_key(key: str, salt: bytes) -> str:
    """Return ``salt:hash`` in hexadecimal, as stored in the configuration.

    A single round of SHA-256 is enough because keys are long and random. The
    hash is computed for each request.

    Parameters
    ----------
    key : str
        Secret key of a client account.
    salt : bytes
        8 to 64 random bytes.

    Examples
    --------
    >>> hash_key("k", b"12345678")[:25]
    '3132333435363738:638d77ec'
    """
    if not _MIN_SALT_BYTES <= len(salt) <= _MAX_SALT_BYTES:
        raise ValueError(f"salt needs {_MIN_SALT_BYTES} to {_MAX_SALT_BYTES} bytes")
    digest = hashlib.sha256(salt + key.encode()).hexdigest()
    return f"{salt.hex()}:{digest}"


def verify_key(key: str, stored: str) -> bool:
    """Return whether `key` matches the hash `stored`, in constant time."""
    if not is_key_hash(stored):
        return False
    salt = bytes.fromhex(stored.partition(":")[0])
    return hmac.compare_digest(hash_key(key, salt), stored.lower())


def is_key_hash(stored: str) -> bool:
    """Return whether `stored` has the format returned by `hash_key`."""
    salt, _, digest = stored.partition(":")
    try:
        sizes = len(bytes.fromhex(salt)), len(bytes.fromhex(digest))
    except ValueError:
        return False
    return (
        _MIN_SALT_BYTES <= sizes[0] <= _MAX_SALT_BYTES
        and sizes[1] == hashlib.sha256().digest_size
    )
