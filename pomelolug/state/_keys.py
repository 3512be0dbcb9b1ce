"""Named HMAC keys for signing and verifying records."""

import hashlib
import hmac
from collections.abc import Mapping, Sequence

from pomelolug.errors import ErrorCode, Finding, InvalidInputError

__all__ = ["KeyRing"]

_MIN_KEY_BYTES = 16
_ROTATION_SEPARATOR = "#"
_CONTEXT = b"pomelolug-record\0"


class KeyRing:
    """Separate sets of HMAC keys for nodes and for operators.

    All nodes share the node keys. An operator's key is named after the operator,
    with ``#`` and a suffix for an additional key during rotation, and
    authenticates records of that operator only. The first matching key is used
    for signing; all matching keys are accepted for verification.

    Parameters
    ----------
    nodes, operators : mapping of str to bytes
        Keys by name.

    Examples
    --------
    >>> ring = KeyRing.from_options(("a=" + "00" * 16,), ("eve#2=" + "11" * 16,))
    >>> ring.signing_key("operator:eve")
    'eve#2'
    """

    def __init__(
        self, nodes: Mapping[str, bytes], operators: Mapping[str, bytes]
    ) -> None:
        self._nodes = dict(nodes)
        self._operators = dict(operators)

    @classmethod
    def from_options(
        cls, nodes: Sequence[str], operators: Sequence[str] = ()
    ) -> "KeyRing":
        """Parse ``name=hex`` options into a key ring.

        Raises
        ------
        InvalidInputError
            If an option is malformed or a key is shorter than 16 bytes. The
            findings do not contain the keys.
        """
        findings: list[Finding] = []
        parsed = [
            _parse_keys(section, options, findings)
            for section, options in (("node keys", nodes), ("operator keys", operators))
        ]
        if findings:
            raise InvalidInputError(ErrorCode.SETTINGS_INVALID, findings)
        return cls(parsed[0], parsed[1])

    def signing_key(self, author: str) -> str:
        """Return the name of the key that signs for `author`.

        Raises
        ------
        KeyError
            If the key ring has no key for the author.
        """
        for name in self._keys_of(author):
            if self.may_sign(name, author):
                return name
        raise KeyError(f"no key for {author}")

    def may_sign(self, name: str, author: str) -> bool:
        """Return whether the key `name` may sign records of `author`."""
        if name not in self._keys_of(author):
            return False
        role, _, owner = author.partition(":")
        return role == "node" or name.split(_ROTATION_SEPARATOR)[0] == owner

    def sign(self, name: str, author: str, payload: bytes) -> bytes:
        """Return the HMAC-SHA256 of `payload` under the key `name`."""
        key = self._keys_of(author)[name]
        message = _CONTEXT + name.encode() + b"\0" + payload
        return hmac.digest(key, message, hashlib.sha256)

    def verify(self, name: str, author: str, payload: bytes, signature: bytes) -> bool:
        """Return whether `signature` belongs to `payload`, in constant time."""
        return hmac.compare_digest(self.sign(name, author, payload), signature)

    def _keys_of(self, author: str) -> Mapping[str, bytes]:
        role, _, owner = author.partition(":")
        if not owner:
            return {}
        return {"node": self._nodes, "operator": self._operators}.get(role, {})


def _parse_keys(
    section: str, options: Sequence[str], findings: list[Finding]
) -> dict[str, bytes]:
    keys: dict[str, bytes] = {}
    for option in options:
        name, _, digits = option.partition("=")
        name = name.strip()
        location = f"{section} {name}"
        try:
            key = bytes.fromhex(digits)
        except ValueError:
            findings.append(
                Finding(location=location, value="***", problem="not name=hex")
            )
            continue
        if len(key) < _MIN_KEY_BYTES or not name:
            problem = f"needs a name and at least {_MIN_KEY_BYTES} bytes"
            findings.append(Finding(location=location, value="***", problem=problem))
        elif name in keys:
            findings.append(
                Finding(location=location, value="***", problem="given twice")
            )
        else:
            keys[name] = key
    return keys
