"""Detection of requests, and of parts of prompts, that crash servers."""

import collections
import dataclasses
import datetime
import itertools
from collections.abc import Mapping, Sequence

import structlog

from pomelolug.clock import Clock
from pomelolug.entry.losses._prompt_part_culprits import PartLoss, find_culprits
from pomelolug.entry.losses._request_identity import RequestIdentity

__all__ = [
    "LOSS_RETENTION_S",
    "PoisonRequestDetector",
    "QuarantinedError",
    "SharedLoss",
]

_log = structlog.get_logger(__name__)

QUARANTINE_LOSS_COUNT = 3
"""Number of servers lost while running a request after which it is refused.

Two losses also happen to harmless requests that run beside a harmful one, for
example when a second group is lost right after the first.
"""
_PART_LOSS_COUNT = 5
"""Number of servers lost with a part of prompts that each further one prolongs."""
_ANSWER_RETENTION_S = 60.0
"""Time for which an answer speaks for a part of prompts."""
_FIRST_PART_QUARANTINE_S = 30.0
"""Shortest quarantine of a part of prompts.

Many requests may share a part, and while it is refused no answer can clear it.
"""
_FIRST_QUARANTINE_S = 300.0
_QUARANTINE_FACTOR = 10.0
"""Factor by which each further loss prolongs a quarantine.

A request that still crashes servers is so tried at most three times more in a day.
"""
LOSS_RETENTION_S = 86400.0
_EVICTION_INTERVAL_S = 10.0
_MAX_REQUESTS = 4096
_MAX_CLEARED = 4096
_SHARING_PERIOD_S = 3.0
"""Time for which news are sent to other nodes; it spans several messages.

The losses of a quarantined request are sent as long as it is quarantined, for nodes
that start or return meanwhile.
"""
_MAX_SHARED_REQUESTS = 16
"""Maximum number of fingerprints in a message to other nodes."""
_MAX_SHARED_LOSSES = 8
"""Maximum number of losses of a request in a message to other nodes."""
_OWN_SOURCE = "own"
"""Source of the losses that this node has noticed itself."""


class QuarantinedError(Exception):
    """The request is not sent, since too many servers were lost while running it.

    Parameters
    ----------
    retry_after : datetime.timedelta
        Time until the request may be tried again.
    """

    def __init__(self, retry_after: datetime.timedelta) -> None:
        super().__init__("servers were lost whenever this request ran")
        self._retry_after = retry_after

    @property
    def retry_after(self) -> datetime.timedelta:
        """Time until the request may be tried again."""
        return self._retry_after


@dataclasses.dataclass(slots=True)
class _Loss:
    """Loss of a server; `is_suspicion` until there is a sign that it has ended.

    `is_own_zone` tells whether this node or one of its zone noticed it, and
    `is_running` that the server may still answer the request. `is_unconfirmed` is a
    suspicion of this node that it has no sign for itself; other nodes may repeat it.
    """

    at_s: float
    learned_at_s: float
    is_suspicion: bool
    is_own_zone: bool
    is_running: bool = False
    is_unconfirmed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SharedLoss:
    """Loss of which other nodes are told; the times are monotonic seconds."""

    fingerprint: str
    loss_id: str
    at_s: float
    learned_at_s: float
    is_own_zone: bool


class PoisonRequestDetector:
    """Counts the servers that were lost while running each request.

    A fingerprint identifies a request, or a part of the prompts of several requests.
    The losses of a part name the request too (`RequestIdentity.part_loss_id`);
    `find_culprits` decides which parts are refused.

    A loss has an id that is the same on all nodes and for all requests that the server
    was running. It may be cleared when it turns out that the server lives or that the
    request is harmless; it then stays cleared, whoever reports it again.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    part_quarantine_factor : float
        Factor on the quarantines of parts, different on each node, so that one node
        tries a part first and tells the others what came of it.
    """

    def __init__(self, *, clock: Clock, part_quarantine_factor: float = 1.0) -> None:
        self._clock = clock
        self._part_quarantine_factor = part_quarantine_factor
        self._losses: dict[str, dict[str, _Loss]] = {}
        # Monotonic time at which each loss was cleared, by request and loss id.
        self._cleared_at_s: dict[tuple[str, str], float] = {}
        self._times_cleared_sent: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._evicted_at_s = clock.monotonic()
        self._times_sent: collections.Counter[str] = collections.Counter()
        # Monotonic time of the latest answer on each part of prompts.
        self._answered_at_s: dict[str, float] = {}
        # Sets of parts that are refused together, None if not computed yet.
        self._culprits: list[frozenset[str]] | None = []
        self._explained_losses: frozenset[str] = frozenset()
        self._reported_culprits: set[frozenset[str]] = set()

    def record_loss(
        self,
        fingerprint: str,
        loss_id: str,
        *,
        age_s: float = 0.0,
        is_suspicion: bool = False,
        is_running: bool = False,
        is_own_zone: bool = True,
        source: str = _OWN_SOURCE,
    ) -> None:
        """Record the loss of a server that ran a request.

        Reports with the same `loss_id` count once.

        Parameters
        ----------
        fingerprint, loss_id : str
            The request and the loss.
        age_s : float
            Time since the loss in seconds.
        is_suspicion : bool
            Whether the server only fell silent. The loss counts on this node, but
            others are told only if the request has another loss.
        is_running : bool
            Whether the server may still answer. Others are not told of the loss.
        is_own_zone : bool
            Whether the loss was noticed in the zone of this node.
        source : str
            Where the report came from, for the log.
        """
        if self.is_cleared(fingerprint, loss_id) or age_s > LOSS_RETENTION_S:
            return
        now_s = self._clock.monotonic()
        losses = self._losses.setdefault(fingerprint, {})
        known = losses.get(loss_id)
        if known is not None:
            known.is_suspicion = known.is_suspicion and is_suspicion
            known.is_running = known.is_running and is_running
            if source == _OWN_SOURCE and not is_suspicion:
                known.is_unconfirmed = False
            known.at_s = min(known.at_s, now_s - age_s)
            return
        self._times_sent.pop(fingerprint, None)
        losses[loss_id] = _Loss(
            now_s - age_s,
            now_s,
            is_suspicion,
            is_own_zone,
            is_running,
            is_unconfirmed=is_suspicion,
        )
        if _is_part_loss(loss_id):
            self._culprits = None
        elif len(losses) == QUARANTINE_LOSS_COUNT:
            _log.warning(
                "request_quarantined",
                fingerprint=fingerprint,
                losses=list(losses),
                source=source,
            )
        self._evict(now_s)

    def confirm_loss(self, fingerprint: str, loss_id: str) -> None:
        """Record that a server suspected to be lost has ended."""
        loss = self._losses.get(fingerprint, {}).get(loss_id)
        if loss is None:
            return
        loss.is_unconfirmed = False
        if loss.is_suspicion:
            loss.is_suspicion = loss.is_running = False
            loss.learned_at_s = self._clock.monotonic()

    def clear_loss(self, fingerprint: str, loss_id: str) -> None:
        """Record that a server was not lost, or not by this request."""
        losses = self._losses.get(fingerprint)
        if losses is not None:
            if losses.pop(loss_id, None) is not None and _is_part_loss(loss_id):
                self._culprits = None
            if not losses:
                del self._losses[fingerprint]
        self._cleared_at_s.setdefault((fingerprint, loss_id), self._clock.monotonic())
        while len(self._cleared_at_s) > _MAX_CLEARED:
            del self._cleared_at_s[next(iter(self._cleared_at_s))]

    def tell_cleared_again(self, fingerprint: str, loss_id: str) -> None:
        """Tell other nodes again of a cleared loss, since one has reported it since."""
        if self._cleared_at_s.pop((fingerprint, loss_id), None) is not None:
            self.clear_loss(fingerprint, loss_id)

    def acquit(self, fingerprint: str) -> None:
        """Clear all losses of a request that a server has run to its end."""
        losses = self._losses.get(fingerprint)
        if losses is None:
            return
        if self.is_quarantined(fingerprint):
            _log.warning("request_acquitted", fingerprint=fingerprint)
        for loss_id in list(losses):
            self.clear_loss(fingerprint, loss_id)

    def record_answer(self, part: str) -> None:
        """Record that an answer was written on a part of prompts."""
        self._answered_at_s.pop(part, None)
        self._answered_at_s[part] = self._clock.monotonic()
        if len(self._answered_at_s) > _MAX_REQUESTS:
            del self._answered_at_s[next(iter(self._answered_at_s))]
        self.acquit(part)

    def was_answered(self, part: str, *, since_s: float) -> bool:
        """Return whether an answer was written on a part since a monotonic time."""
        return self._answered_at_s.get(part, float("-inf")) >= since_s

    def loss_count(self, fingerprint: str) -> int:
        """Return the number of servers known to be lost while running a request."""
        return len(self._losses.get(fingerprint, ()))

    def quarantined_count(self) -> int:
        """Return the number of quarantined requests."""
        return sum(map(self.is_quarantined, self._losses))

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether too many servers were lost while running a request."""
        return self.quarantine_left_s(fingerprint) > 0.0

    def quarantine_left_s(self, fingerprint: str) -> float:
        """Return the seconds until a request or part may be tried again, 0 if now."""
        losses = self._losses.get(fingerprint)
        if not losses:
            return 0.0
        if any(map(_is_part_loss, losses)):
            if not any(fingerprint in culprit for culprit in self._find_culprits()):
                return 0.0
            loss_count = len({_to_part_loss(i, x).loss for i, x in losses.items()})
            excess = max(loss_count - _PART_LOSS_COUNT, 0)
            first_s = _FIRST_PART_QUARANTINE_S * self._part_quarantine_factor
        elif len(losses) < QUARANTINE_LOSS_COUNT:
            return 0.0
        else:
            excess = len(losses) - QUARANTINE_LOSS_COUNT
            first_s = _FIRST_QUARANTINE_S
        length_s = min(first_s * _QUARANTINE_FACTOR**excess, LOSS_RETENTION_S)
        latest_s = max(loss.at_s for loss in losses.values())
        return max(latest_s + length_s - self._clock.monotonic(), 0.0)

    def refusal_left_s(self, identity: RequestIdentity) -> float:
        """Return the seconds for which a request is refused, 0 if it is not.

        It is refused for its own losses, unless a part of other requests explains all
        of them, or for the parts of its prompt.
        """
        parts = set(identity.prompt_parts)
        refused = [c for c in self._find_culprits() if c <= parts]
        if refused:
            return max(self.quarantine_left_s(part) for c in refused for part in c)
        own_losses = self._losses.get(identity.request, {})
        short_ids = set(map(identity.short_loss_id, own_losses))
        if short_ids <= self._explained_losses:
            return 0.0
        return self.quarantine_left_s(identity.request)

    def rests_on_suspicions(self, identity: RequestIdentity) -> bool:
        """Return whether a refusal ends if this node's suspicions turn out false."""
        parts = set(identity.prompt_parts)
        if any(culprit <= parts for culprit in self._find_culprits()):
            return False
        losses = self._losses.get(identity.request, {}).values()
        confirmed_count = sum(not loss.is_unconfirmed for loss in losses)
        return confirmed_count < QUARANTINE_LOSS_COUNT

    def _find_culprits(self) -> list[frozenset[str]]:
        """Return the sets of parts that are refused together, computed when needed."""
        if self._culprits is not None:
            return self._culprits
        losses_by_part = {
            part: [_to_part_loss(loss_id, loss) for loss_id, loss in losses.items()]
            for part, losses in self._losses.items()
            if any(map(_is_part_loss, losses))
        }
        oldest_s = self._clock.monotonic() - _ANSWER_RETENTION_S
        answered = {p for p, at_s in self._answered_at_s.items() if at_s >= oldest_s}
        self._culprits = find_culprits(losses_by_part, answered=answered)
        self._explained_losses = frozenset(
            loss.loss
            for culprit in self._culprits
            for part in culprit
            for loss in losses_by_part[part]
        )
        for culprit in set(self._culprits) - self._reported_culprits:
            self._reported_culprits.add(culprit)
            _log.warning(
                "prompt_parts_quarantined",
                parts=sorted(culprit),
                losses=[loss_id for part in culprit for loss_id in self._losses[part]],
            )
        return self._culprits

    def is_cleared(self, fingerprint: str, loss_id: str) -> bool:
        """Return whether a loss was cleared."""
        return (fingerprint, loss_id) in self._cleared_at_s

    def shared_losses(self) -> list[SharedLoss]:
        """Return all losses except suspicions that stand alone."""
        return [
            SharedLoss(
                fingerprint, loss_id, loss.at_s, loss.learned_at_s, loss.is_own_zone
            )
            for fingerprint, losses in self._losses.items()
            if _is_shared(losses)
            for loss_id, loss in losses.items()
            if not loss.is_running
        ]

    def losses_to_send(self) -> dict[str, tuple[str, ...]]:
        """Return the losses for the next message to other nodes, by request.

        These are the losses of quarantined requests and recent ones. If there are too
        many, requests whose latest loss was sent less often come first.
        """
        oldest_s = self._clock.monotonic() - _SHARING_PERIOD_S
        candidates = [
            fingerprint
            for fingerprint, losses in self._losses.items()
            if _is_shared(losses)
            and (
                self.is_quarantined(fingerprint)
                or max(loss.learned_at_s for loss in losses.values()) >= oldest_s
            )
        ]
        candidates.sort(key=lambda f: (self._times_sent[f], -self.loss_count(f)))
        sent = candidates[:_MAX_SHARED_REQUESTS]
        self._times_sent = collections.Counter(
            {f: self._times_sent[f] + (f in sent) for f in candidates}
        )
        return {
            f: tuple(_ended_losses(self._losses[f]))[-_MAX_SHARED_LOSSES:] for f in sent
        }

    def cleared_to_send(self) -> dict[str, tuple[str, ...]]:
        """Return the recently cleared losses for the next message, by request.

        If there are too many, those that were sent less often come first.
        """
        oldest_s = self._clock.monotonic() - _SHARING_PERIOD_S
        candidates = list(
            itertools.takewhile(
                lambda key: self._cleared_at_s[key] >= oldest_s,
                reversed(self._cleared_at_s),
            )
        )
        candidates.sort(key=lambda key: self._times_cleared_sent[key])
        cleared: dict[str, tuple[str, ...]] = {}
        sent: collections.Counter[tuple[str, str]] = collections.Counter()
        for fingerprint, loss_id in candidates:
            loss_ids = cleared.get(fingerprint, ())
            is_full = len(cleared) >= _MAX_SHARED_REQUESTS and not loss_ids
            if not is_full and len(loss_ids) < _MAX_SHARED_LOSSES:
                cleared[fingerprint] = (*loss_ids, loss_id)
                sent[fingerprint, loss_id] += 1
        self._times_cleared_sent = collections.Counter(
            {key: self._times_cleared_sent[key] + sent[key] for key in candidates}
        )
        return cleared

    def merge(
        self,
        losses: Mapping[str, Sequence[str]],
        *,
        cleared: Mapping[str, Sequence[str]],
        is_own_zone: bool,
        source: str,
    ) -> None:
        """Apply what another node reports; duplicates change nothing."""
        for fingerprint, loss_ids in list(cleared.items())[:_MAX_SHARED_REQUESTS]:
            for loss_id in loss_ids[:_MAX_SHARED_LOSSES]:
                self.clear_loss(fingerprint, loss_id)
        for fingerprint, loss_ids in list(losses.items())[:_MAX_SHARED_REQUESTS]:
            for loss_id in loss_ids[:_MAX_SHARED_LOSSES]:
                self.record_loss(
                    fingerprint, loss_id, is_own_zone=is_own_zone, source=source
                )

    def _evict(self, now_s: float) -> None:
        """Forget old losses, and the requests with the fewest ones beyond the limit."""
        if now_s - self._evicted_at_s >= _EVICTION_INTERVAL_S:
            self._evicted_at_s = now_s
            for fingerprint, losses in list(self._losses.items()):
                if (
                    now_s - max(loss.at_s for loss in losses.values())
                    > LOSS_RETENTION_S
                ):
                    del self._losses[fingerprint]
        if len(self._losses) > _MAX_REQUESTS:
            del self._losses[min(self._losses, key=self._eviction_rank)]

    def _eviction_rank(self, fingerprint: str) -> tuple[int, float]:
        losses = self._losses[fingerprint].values()
        return len(losses), max(loss.at_s for loss in losses)


def _is_part_loss(loss_id: str) -> bool:
    return "-" in loss_id


def _to_part_loss(loss_id: str, loss: _Loss) -> PartLoss:
    request, _, short_loss_id = loss_id.partition("-")
    return PartLoss(request, short_loss_id, loss.at_s)


def _is_shared(losses: Mapping[str, _Loss]) -> bool:
    """Return whether other nodes are told of the losses of a request."""
    ended = _ended_losses(losses)
    return len(ended) > 1 or any(not loss.is_suspicion for loss in ended.values())


def _ended_losses(losses: Mapping[str, _Loss]) -> dict[str, _Loss]:
    """Return the losses of runs that have ended."""
    return {i: loss for i, loss in losses.items() if not loss.is_running}
