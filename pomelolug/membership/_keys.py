"""Named shared keys of the processes and the proofs made with them."""

import enum
import hashlib
import hmac
from collections.abc import Sequence

from pomelolug.errors import ErrorCode, Finding, InvalidInputError, PeerError

__all__ = ["Keys", "Side"]

MIN_KEY_BYTES = 16


class Side(enum.Enum):
    """Which end of a connection a process is; part of its proof."""

    DIALER = "dialer"
    ACCEPTOR = "acceptor"

    @property
    def opposite(self) -> "Side":
        """The other end."""
        return Side.ACCEPTOR if self is Side.DIALER else Side.DIALER


class Keys:
    """Named keys: the first signs, all verify.

    A key is rotated without a stop in three rounds of settings: add the new key
    as second, move it to the front, remove the old one.

    Parameters
    ----------
    specs : sequence of str
        Each ``name=hex`` with at least 16 bytes.

    Raises
    ------
    InvalidInputError
        If there is no key, or with a finding for each malformed one.

    Examples
    --------
    >>> keys = Keys(["new=" + "0a" * 16, "old=" + "0b" * 16])
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
            findings.append(Finding(location="keys", value="", problem="no key is set"))
        if findings:
            raise InvalidInputError(ErrorCode.SETTINGS_INVALID, findings)
        self._signing_name = next(iter(self._keys))

    def _add_key(self, index: int, spec: str) -> list[Finding]:
        # The value never enters the finding: it is a secret.
        name, _, digits = spec.partition("=")
        location = f"keys[{index}]"
        if not name or name in self._keys:
            return [
                Finding(location=location, value="", problem="name missing or repeated")
            ]
        try:
            key = bytes.fromhex(digits)
        except ValueError:
            return [Finding(location=location, value=name, problem="not hexadecimal")]
        if len(key) < MIN_KEY_BYTES:
            problem = f"shorter than {MIN_KEY_BYTES} bytes"
            return [Finding(location=location, value=name, problem=problem)]
        self._keys[name] = key
        return []

    @property
    def signing_name(self) -> str:
        """Name of the key that signs."""
        return self._signing_name

    def make_proof(
        self, side: Side, dialer_hello: bytes, acceptor_hello: bytes
    ) -> bytes:
        """Return the own proof over both encoded hello messages."""
        return _mac(self._keys[self._signing_name], side, dialer_hello, acceptor_hello)

    def verify_proof(
        self,
        name: str,
        mac: bytes,
        side: Side,
        dialer_hello: bytes,
        acceptor_hello: bytes,
    ) -> None:
        """Check the proof that the process at `side` has sent.

        Raises
        ------
        PeerError
            If the key is not known or the proof is wrong.
        """
        key = self._keys.get(name)
        if key is None or not hmac.compare_digest(
            mac, _mac(key, side, dialer_hello, acceptor_hello)
        ):
            raise PeerError(
                ErrorCode.PEER_UNAUTHENTICATED, "unknown key name or wrong proof"
            )


def _mac(key: bytes, side: Side, dialer_hello: bytes, acceptor_hello: bytes) -> bytes:
    # Each part is hashed to a fixed length, so that the parts cannot be shifted
    # against each other. The side keeps a reflected proof from passing.
    parts = (side.value.encode(), dialer_hello, acceptor_hello)
    text = b"".join(hashlib.sha256(part).digest() for part in parts)
    return hmac.digest(key, text, "sha256")
