"""Identity of a request, by which it is recognised when it crashes servers.

The caller of such a request may send it again under another id and through another
node, so the request itself is identified by its account, path and body. Requests that
differ may have parts of their prompts in common.
"""

import dataclasses
import hashlib
from collections.abc import Iterable, Sequence

from pomelolug.ids import AccountId

__all__ = ["RequestIdentity", "compute_fingerprint", "compute_part_fingerprint"]

_PART_LOSS_DIGITS = 8
"""Digits of the request and of the loss in the id of a loss of a part."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestIdentity:
    """Fingerprints of a request and of the parts of its prompt that others share."""

    request: str
    prompt_parts: tuple[str, ...] = ()

    def part_loss_id(self, loss_id: str) -> str:
        """Return the id of a loss of this request, as counted for a part of its prompt.

        It names the request too, since a part is suspected only if servers were lost
        with different requests.

        Examples
        --------
        >>> RequestIdentity("0123456789abcdef").part_loss_id("fedcba9876543210")
        '01234567-fedcba98'
        """
        return f"{self.request[:_PART_LOSS_DIGITS]}-{self.short_loss_id(loss_id)}"

    @staticmethod
    def short_loss_id(loss_id: str) -> str:
        """Return the id of a loss as it appears in the losses of parts."""
        return loss_id[:_PART_LOSS_DIGITS]

    @classmethod
    def build(
        cls,
        account: AccountId | None,
        target: bytes,
        body: bytes,
        prompt_parts: Sequence[str] = (),
    ) -> "RequestIdentity":
        """Return the identity of a request.

        Examples
        --------
        >>> one = RequestIdentity.build(None, b"/a", b"x", ["p"])
        >>> other = RequestIdentity.build(None, b"/a", b"y", ["p"])
        >>> one.request == other.request, one.prompt_parts == other.prompt_parts
        (False, True)
        """
        parts = dict.fromkeys(map(compute_part_fingerprint, prompt_parts))
        return cls(compute_fingerprint(account, target, body), tuple(parts))


def compute_fingerprint(account: AccountId | None, target: bytes, body: bytes) -> str:
    """Return a digest that identifies a request when it is sent again.

    Examples
    --------
    >>> compute_fingerprint(None, b"/a", b"x") == compute_fingerprint(None, b"/a", b"x")
    True
    """
    return _digest(((account or "").encode(), target, body))


def compute_part_fingerprint(part: str) -> str:
    """Return a digest that identifies a part of prompts, whatever else they hold."""
    return _digest((b"prompt part", part.encode()))


def _digest(values: Iterable[bytes]) -> str:
    digest = hashlib.blake2b(digest_size=8)
    for value in values:
        digest.update(len(value).to_bytes(4, "big"))
        digest.update(value)
    return digest.hexdigest()
