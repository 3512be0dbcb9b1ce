"""Named shared keys and the authentication proofs made with them."""

import enum
import hashlib
import hmac
from collections.abc import Sequence

from pomelolug.errors import ErrorCode, Finding, InvalidInputError, PeerError

__all__ = ["PeerKeyRing", "Side"]

MIN_KEY_BYTES = 16


class Side(enum.Enum):
    """End of a connection, included in the proof that the process sends."""

    DIALER = "dialer"
    ACCEPTOR = "acceptor"

    @property
    def opposite(self) -> "Side":
        """The other end of the connection."""
        return Side.ACCEPTOR if self is Side.DIALER else Side.DIALER


class PeerKeyRing:
    """Named keys shared by the peers; the first one signs, all of them verify.

    A key is rotated without downtime in three settings changes: add the new key
    in second place, move it to the front, remove the old key.

    Parameters
    ----------
    specs : sequence of str
        Keys in the form ``name=hex``, each of at least 16 bytes.

    Raises
    ------
    InvalidInputError
        If there is no key or any is malformed, with one finding per problem.

    Examples
    --------
    >>> keys = PeerKeyRing(["new=" + "0a" * 16, "old=" + "0b" * 16])
    >>> keys.signing_name
    'new'
    """

    def __init__(self, specs: Sequence[str]) -> None:
        self._keys: dict[str, bytes] = {}
        findings = [
            finding
            for index, spec in enumerate(specs)
            for finding in self._add_key(index, spec)
        ]
        if not specs:
            findings.append(
                Finding(location="keys", value="", problem="no key is configured")
            )
        if findings:
            raise InvalidInputError(ErrorCode.SETTINGS_INVALID, findings)
        self._signing_name = next(iter(self._keys))

    def _add_key(self, index: int, spec: str) -> list[Finding]:
        # The key is secret, so it must not appear in a finding.
        name, _, digits = spec.partition("=")
        location = f"keys[{index}]"
        if not name or name in self._keys:
            return [
                Finding(
                    location=location,
                    value="",
                    problem="key name is missing or repeated",
                )
            ]
        try:
            key = bytes.fromhex(digits)
        except ValueError:
            return [
                Finding(location=location, value=name, problem="key is not hexadecimal")
            ]
        if len(key) < MIN_KEY_BYTES:
            problem = f"key is shorter than {MIN_KEY_BYTES} bytes"
            return [Finding(location=location, value=name, problem=problem)]
        self._keys[name] = key
        return []

    @property
    def signing_name(self) -> str:
        """Name of the signing key."""
        return self._signing_name

    def make_proof(
        self, side: Side, dialer_hello: bytes, acceptor_hello: bytes
    ) -> bytes:
        """Return the proof of `side` over both encoded hello messages."""
        return _mac(self._keys[self._signing_name], side, dialer_hello, acceptor_hello)

    def verify_proof(
        self,
        name: str,
        mac: bytes,
        side: Side,
        dialer_hello: bytes,
        acceptor_hello: bytes,
    ) -> None:
        """Verify the proof sent by the process at `side`.

        Raises
        ------
        PeerError
            If the key is unknown or the proof is invalid.
        """
        key = self._keys.get(name)
        if key is None or not hmac.compare_digest(
            mac, _mac(key, side, dialer_hello, acceptor_hello)
        ):
            raise PeerError(
                ErrorCode.PEER_UNAUTHENTICATED, "unknown key name or invalid proof"
            )


def _mac(key: bytes, side: Side, dialer_hello: bytes, acceptor_hello: bytes) -> bytes:
    # Each part is hashed to a fixed length, which makes the boundaries between the
    # parts unambiguous. Including the side makes a reflected proof invalid.
    parts = (side.value.encode(), dialer_hello, acceptor_hello)
    text = b"".join(hashlib.sha256(part).digest() for part in parts)
    return hmac.digest(key, text, "sha256")
