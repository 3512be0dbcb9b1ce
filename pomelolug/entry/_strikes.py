"""Requests that were in flight whenever a server was lost.

A request may crash each server that runs it, and its caller sends it again under
another id through another node. It is known again by caller, path and body.
"""

import hashlib
from collections.abc import Mapping, Sequence

from pomelolug.clock import Clock
from pomelolug.ids import AccountId

__all__ = ["Strikes", "fingerprint"]

MOST_LOSSES = 3
"""Servers lost with a request after which it is refused.

Two losses also happen to requests that merely ran beside another one, for example
when a second group is lost right after the first.
"""
_KEPT_S = 120.0
_MOST = 256
_SHARED_S = 3.0
"""Time for which a loss is told to other nodes, several messages long."""
_SHARED = 16
"""Fingerprints told to other nodes in one message."""


def fingerprint(account: AccountId | None, target: bytes, body: bytes) -> str:
    """Return what identifies a request that is sent again.

    Examples
    --------
    >>> fingerprint(None, b"/a", b"x") == fingerprint(None, b"/a", b"x")
    True
    """
    digest = hashlib.blake2b(digest_size=8)
    for part in ((account or "").encode(), target, body):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.hexdigest()


class Strikes:
    """Servers that were lost with each request.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._lost: dict[str, dict[str, float]] = {}

    def note(self, request: str, loss: str) -> None:
        """Note one loss of a server that ran a request; `loss` names it."""
        now = self._clock.monotonic()
        self._lost.setdefault(request, {}).setdefault(loss, now)
        self._forget(now)

    def condemned(self, request: str) -> bool:
        """Return whether a request has been lost with too many servers."""
        return len(self._lost.get(request, ())) >= MOST_LOSSES

    def shared(self) -> dict[str, tuple[str, ...]]:
        """Return the requests with recent losses, most first, for other nodes."""
        oldest = self._clock.monotonic() - _SHARED_S
        recent = [
            (request, servers)
            for request, servers in self._lost.items()
            if max(servers.values()) >= oldest
        ]
        recent.sort(key=lambda item: -len(item[1]))
        return {request: tuple(servers) for request, servers in recent[:_SHARED]}

    def merge(self, theirs: Mapping[str, Sequence[str]]) -> None:
        """Take what another node tells; repeating it changes nothing."""
        for request, servers in list(theirs.items())[:_SHARED]:
            for server in list(servers)[:MOST_LOSSES]:
                self.note(request, server)

    def _forget(self, now: float) -> None:
        for request in list(self._lost):
            servers = self._lost[request]
            if now - max(servers.values()) > _KEPT_S:
                del self._lost[request]
        while len(self._lost) > _MOST:
            del self._lost[min(self._lost, key=lambda r: max(self._lost[r].values()))]
