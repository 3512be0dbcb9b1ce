"""Attribution of lost servers to the requests that they were running.

Each request is sent through an `Attempt`, which reports here how its run ended. A run
without a usable response counts as a loss at once, whether the connection ended or the
server only fell silent. The registry then shows whether the server has ended: its
entry lapses, or it has another start time.

A server may pause, so a silence is only a suspicion, which does not name the parts of
the prompt until the registry shows the end.

While the node is cut off from the servers, the end of a run says nothing about its
server. Only the registry then shows a loss. So it is for a response that was left
unread, since its server may have cut it for that.
"""

import collections
import dataclasses
import datetime
import enum
import hashlib
from collections.abc import Callable

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, RegistryChange, ServerRegistry
from pomelolug.entry.losses._poison_requests import (
    PoisonRequestDetector,
    QuarantinedError,
)
from pomelolug.entry.losses._request_identity import RequestIdentity
from pomelolug.entry.servers import ServerContact
from pomelolug.ids import VmId
from pomelolug.replicas import GroupKey, group_key

__all__ = ["RunEnd", "RunMonitor", "ServerRun"]

_log = structlog.get_logger(__name__)

_ENTRY_READ_DELAY_S = 6.0
"""Time for a lapsed or changed entry to be read.

Reads may be several seconds out of date while the store drops its history.
"""
_STORE_LOST_S = 3.0
"""Age of the registry's data at which the store counts as lost."""
_SILENCE_S = 2.1
"""Time without a sign of life of a server after which its silence is evidence.

A sound server pauses for up to 1.6 s, and callers leave after 2 s.
"""
_WRITING_S = 0.3
"""Time between events after which a server has survived the beginning of an answer."""
_END_RETENTION_S = 60.0
_MAX_PENDING_LOSSES = 4096


class RunEnd(enum.Enum):
    """How the run of a request ended, as seen by this node."""

    ANSWERED = "answered"
    """The server sent a whole successful response."""
    SURVIVED = "survived"
    """The server refused, failed, or sent something that cannot be used."""
    CONNECTION_LOST = "connection_lost"
    """The connection ended."""
    LEFT_UNREAD = "left_unread"
    """The connection ended after this node had not read the response for its caller."""
    STALLED = "stalled"
    """The streams of the group stalled, and another group went on."""
    UNANSWERED = "unanswered"
    """The run was given up before a response began."""
    INTERRUPTED = "interrupted"
    """The run was given up in the middle of a response."""


@dataclasses.dataclass(slots=True, eq=False)
class ServerRun:
    """A request that was sent to a server; the times are monotonic seconds."""

    identity: RequestIdentity
    server: VmId
    start_time_ms: int
    group: GroupKey | None
    connected_at_s: float
    began_at_s: float
    first_event_at_s: float | None = None
    has_written: bool = False
    """Whether the server has survived the beginning of its answer, or all of it."""


@dataclasses.dataclass(slots=True)
class _LossEvent:
    """The latest loss of a server with one start time, and its serial number."""

    start_time_ms: int
    number: int
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Silence:
    """Time in which runs at a server overlapped and none of them was answered."""

    since_s: float
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingLoss:
    """Loss for which the registry does not show yet whether the server has ended.

    `claims` are the fingerprints for which it counts, each with the id of the loss.
    There are none if the links of this node may have ended the run, or its caller who
    did not read.
    """

    run: ServerRun
    loss_id: str
    claims: tuple[tuple[str, str], ...]
    recorded_at_s: float
    decidable_at_s: float


class RunMonitor:
    """Decides which runs count as losses of their servers.

    Parameters
    ----------
    detector : PoisonRequestDetector
        Receives the losses.
    registry : ServerRegistry
        Servers as read from the store.
    registry_age_s : callable
        Returns the age of the registry's data in seconds.
    entry_lifetime : datetime.timedelta
        Time after which the entry of a silent server lapses.
    contact : ServerContact
        Whether this node reaches the servers.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        detector: PoisonRequestDetector,
        registry: ServerRegistry,
        registry_age_s: Callable[[], float],
        entry_lifetime: datetime.timedelta,
        contact: ServerContact,
        clock: Clock,
    ) -> None:
        self._detector = detector
        self._registry = registry
        self._registry_age_s = registry_age_s
        self._contact = contact
        self._decision_delay_s = entry_lifetime.total_seconds() + _ENTRY_READ_DELAY_S
        self._clock = clock
        self._running: set[ServerRun] = set()
        self._loss_events: dict[VmId, _LossEvent] = {}
        self._silences: dict[VmId, _Silence] = {}
        # Monotonic time of the latest sign of life of each server.
        self._heard_at_s: dict[VmId, float] = {}
        self._undecidable_until_s = float("-inf")
        self._pending: collections.deque[_PendingLoss] = collections.deque()
        self._servers: dict[VmId, BackendServer] = {}
        # Monotonic time at which the end of a server was noticed, by server and by the
        # group that it was a member of.
        self._ended_at_s: dict[VmId | GroupKey, float] = {}

    @property
    def contact(self) -> ServerContact:
        """Whether this node reaches the servers."""
        return self._contact

    def check(self, identity: RequestIdentity) -> None:
        """Raise an error if a request must not be sent.

        Raises
        ------
        QuarantinedError
            If too many servers were lost while running it, or requests that have a
            part of their prompts in common with it.
        """
        left_s = self._detector.refusal_left_s(identity)
        if left_s > 0.0:
            if self._detector.rests_on_suspicions(identity):
                left_s = min(left_s, self._decision_delay_s)
            raise QuarantinedError(datetime.timedelta(seconds=left_s))

    def begin(
        self, identity: RequestIdentity, server: BackendServer, *, connected_at_s: float
    ) -> ServerRun:
        """Return the run of a request that has just been sent to a server."""
        run = ServerRun(
            identity=identity,
            server=server.vm,
            start_time_ms=server.start_time_ms,
            group=group_key(server.membership),
            connected_at_s=connected_at_s,
            began_at_s=self._clock.monotonic(),
        )
        self._running.add(run)
        return run

    def record_event(self, run: ServerRun) -> None:
        """Record that an event of the answer has arrived.

        A server that goes on writing has survived the parts of the prompt.
        """
        now_s = self._clock.monotonic()
        self._heard_at_s[run.server] = now_s
        if run.first_event_at_s is None:
            run.first_event_at_s = now_s
        elif not run.has_written and now_s - run.first_event_at_s >= _WRITING_S:
            run.has_written = True
            self._record_answer(run)

    def record_silence(self, run: ServerRun) -> None:
        """Suspect a request of a loss, since its server is silent and it is sent again.

        The server may only pause. So the parts of the prompt are not suspected, and
        other nodes are not told.
        """
        if run in self._running:
            self._record_loss(run, is_suspicion=True, is_running=True)

    def finish(self, run: ServerRun, end: RunEnd) -> None:
        """Count the end of a run, unless the end of its server was counted before."""
        is_counted = run not in self._running
        self._running.discard(run)
        if end in (RunEnd.ANSWERED, RunEnd.SURVIVED):
            self._heard_at_s[run.server] = self._clock.monotonic()
            run.has_written = True
            if end is RunEnd.ANSWERED:
                self._detector.acquit(run.identity.request)
                self._record_answer(run)
        elif end is RunEnd.LEFT_UNREAD:
            if not is_counted:
                self._record_loss(run, is_suspicion=True, is_evidence=False)
        elif not is_counted:
            was_silent = self._extend_silence(run) >= _SILENCE_S
            is_evident = end is RunEnd.CONNECTION_LOST or (
                end is RunEnd.UNANSWERED and was_silent
            )
            self._record_loss(run, is_suspicion=not is_evident)

    def withdraw_losses(self, *, since_s: float) -> None:
        """Clear the losses since a monotonic time that the registry does not confirm.

        They count again if the registry shows later that the server has ended.
        """
        pending = list(self._pending)
        self._pending.clear()
        for loss in pending:
            if loss.claims and loss.recorded_at_s >= since_s:
                self._clear(loss)
                loss = dataclasses.replace(loss, claims=())
            self._pending.append(loss)

    def on_registry_change(self, change: RegistryChange) -> None:
        """Note which servers have ended, and confirm the losses that they explain."""
        ended = list(change.removed)
        for server in change.removed:
            self._servers.pop(server.vm, None)
        for server in (*change.added, *change.changed):
            previous = self._servers.get(server.vm)
            if previous and previous.start_time_ms != server.start_time_ms:
                ended.append(previous)
            self._servers[server.vm] = server
        if not ended:
            return
        now_s = self._clock.monotonic()
        for server in ended:
            self._ended_at_s[server.vm] = now_s
            group = group_key(server.membership)
            if group is not None:
                self._ended_at_s[group] = now_s
        for run in [run for run in self._running if self._has_ended(run)]:
            # A caller may wait much longer for a silent server.
            self._running.discard(run)
            self._record_loss(run, is_suspicion=False)
        self._settle(self._confirm_if_ended)

    def settle_overdue(self) -> None:
        """Clear the losses of servers that the registry shows to be alive."""
        now_s = self._clock.monotonic()
        for target, ended_at_s in list(self._ended_at_s.items()):
            if now_s - ended_at_s > _END_RETENTION_S:
                del self._ended_at_s[target]
        for vm in [v for v in self._loss_events if v not in self._registry.servers]:
            del self._loss_events[vm]
        for times in (self._silences, self._heard_at_s):
            for vm in [v for v in times if v not in self._registry.servers]:
                del times[vm]
        if self._registry_age_s() > _STORE_LOST_S:
            # The lifetime of the entries may not have run on meanwhile.
            self._undecidable_until_s = now_s + self._decision_delay_s
        self._settle(self._clear_if_alive)

    def _record_answer(self, run: ServerRun) -> None:
        for part in run.identity.prompt_parts:
            self._detector.record_answer(part)

    def _extend_silence(self, run: ServerRun) -> float:
        """Return the seconds of silence of a server, of which a run is the latest."""
        since_s = run.began_at_s
        silence = self._silences.get(run.server)
        if silence is not None and silence.until_s >= run.began_at_s:
            since_s = min(since_s, silence.since_s)
        since_s = max(since_s, self._heard_at_s.get(run.server, since_s))
        now_s = self._clock.monotonic()
        self._silences[run.server] = _Silence(since_s, now_s)
        return now_s - since_s

    def _record_loss(
        self,
        run: ServerRun,
        *,
        is_suspicion: bool,
        is_running: bool = False,
        is_evidence: bool = True,
    ) -> None:
        """Record a loss, until the registry shows whether the server has ended.

        Without evidence, it counts only then.
        """
        loss_id = self._find_loss_id(run)
        claims: list[tuple[str, str]] = []
        if is_evidence and not self._contact.was_cut_off_since(run.began_at_s):
            claims.append((run.identity.request, loss_id))
            if not is_suspicion:
                claims += self._part_claims(run, loss_id)
        for fingerprint, claim_id in claims:
            self._detector.record_loss(
                fingerprint,
                claim_id,
                is_suspicion=is_suspicion,
                is_running=is_running,
            )
        now_s = self._clock.monotonic()
        decidable_at_s = now_s + self._decision_delay_s
        loss = _PendingLoss(run, loss_id, tuple(claims), now_s, decidable_at_s)
        if self._confirm_if_ended(loss):
            return
        self._pending.append(loss)
        if len(self._pending) > _MAX_PENDING_LOSSES:
            dropped = self._pending.popleft()
            _log.warning("pending_loss_dropped", server=dropped.run.server)

    def _part_claims(self, run: ServerRun, loss_id: str) -> list[tuple[str, str]]:
        """Return the parts of a prompt for which a loss counts, each with its id."""
        if run.has_written:
            return []
        part_loss_id = run.identity.part_loss_id(loss_id)
        return [(part, part_loss_id) for part in run.identity.prompt_parts]

    def _find_loss_id(self, run: ServerRun) -> str:
        """Return the id of the loss that ended a run, other than cleared ones."""
        loss_id = self._identify_loss(run)
        while self._detector.is_cleared(run.identity.request, loss_id):
            # An earlier loss with this number was none, perhaps on another node.
            self._loss_events[run.server].number += 1
            loss_id = self._identify_loss(run)
        return loss_id

    def _identify_loss(self, run: ServerRun) -> str:
        """Return the id of the loss that ended a run.

        All runs at a server that were connected before its loss share one id, on all
        nodes. A connection that was opened after the latest loss shows that the server
        has returned, so its end is another loss.
        """
        now_s = self._clock.monotonic()
        event = self._loss_events.get(run.server)
        if event is None or event.start_time_ms != run.start_time_ms:
            event = _LossEvent(run.start_time_ms, 1, now_s)
            self._loss_events[run.server] = event
        elif run.connected_at_s > event.at_s:
            event.number += 1
            event.at_s = now_s
        identity = f"{run.server}/{event.start_time_ms}/{event.number}"
        return hashlib.blake2b(identity.encode(), digest_size=8).hexdigest()

    def _settle(self, try_settle: Callable[[_PendingLoss], bool]) -> None:
        self._pending = collections.deque(
            loss for loss in self._pending if not try_settle(loss)
        )

    def _confirm_if_ended(self, loss: _PendingLoss) -> bool:
        """Confirm a loss if its server has ended."""
        if not self._has_ended(loss.run):
            return False
        self._confirm(loss)
        return True

    def _confirm(self, loss: _PendingLoss) -> None:
        loss_id = loss.loss_id
        if not loss.claims:
            # It did not count, or was withdrawn under its first id.
            loss_id = self._find_loss_id(loss.run)
            self._detector.record_loss(loss.run.identity.request, loss_id)
        for fingerprint, claim_id in loss.claims:
            self._detector.confirm_loss(fingerprint, claim_id)
        age_s = self._clock.monotonic() - loss.recorded_at_s
        for part, claim_id in self._part_claims(loss.run, loss_id):
            if (part, claim_id) not in loss.claims and not (
                self._detector.was_answered(part, since_s=loss.recorded_at_s)
            ):
                self._detector.record_loss(part, claim_id, age_s=age_s)

    def _clear(self, loss: _PendingLoss) -> None:
        for fingerprint, loss_id in loss.claims:
            self._detector.clear_loss(fingerprint, loss_id)

    def _has_ended(self, run: ServerRun) -> bool:
        """Return whether the server or a member of its group ended after the send."""
        ended_at_s = self._ended_at_s.get(run.server, float("-inf"))
        if run.group is not None:
            ended_at_s = max(ended_at_s, self._ended_at_s.get(run.group, float("-inf")))
        return ended_at_s >= run.began_at_s

    def _clear_if_alive(self, loss: _PendingLoss) -> bool:
        """Clear a loss if recent data of the store still show the same server."""
        data_at_s = self._clock.monotonic() - self._registry_age_s()
        if data_at_s < max(loss.decidable_at_s, self._undecidable_until_s):
            return False
        if self._registry.is_lapsed(loss.run.server):
            return False
        server = self._registry.servers.get(loss.run.server)
        if server is not None and server.start_time_ms == loss.run.start_time_ms:
            self._clear(loss)
        else:
            self._confirm(loss)
        return True
