"""Choice of the group of a stream, by a dispatcher or by the node itself."""

import dataclasses
import datetime
from collections.abc import Callable, Collection, Iterable

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, EngineProfile, ModelProfile
from pomelolug.entry.dispatch import Assignment, GroupAssigner, Question
from pomelolug.entry.performance import LearnedDelayEstimator
from pomelolug.entry.requests._request_context import RoutedRequest
from pomelolug.entry.requests._request_record import GroupChoice
from pomelolug.entry.servers import (
    Candidate,
    GroupSelector,
    ServerNotices,
    ServerOptions,
    ServerTracker,
)
from pomelolug.ids import AccountId, ModelName, VmId, ZoneId

__all__ = [
    "MAX_RESUME_WAIT_S",
    "RESUME_POLL_INTERVAL",
    "GroupAssessment",
    "GroupChooser",
    "SelectedServer",
    "engine_and_model",
]

_MAX_QUESTIONS = 2
"""Assignments that a node asks for until it chooses a group by itself."""
MAX_RESUME_WAIT_S = 1.0
"""Maximum time to wait for a server that can resume a stream."""
_COLD_PENALTY_S = 0.05
"""Expected delay, in seconds, that the group of a cold head must save.

It is slower than the estimate says, which does not know by how much.
"""
RESUME_POLL_INTERVAL = datetime.timedelta(milliseconds=50)


@dataclasses.dataclass(frozen=True, slots=True)
class SelectedServer:
    """Server of a run, and the assignment if a dispatcher has made one.

    It is the head of a group, or a server of a plain service.
    """

    server: BackendServer
    choice: GroupChoice
    assignment: Assignment | None = None

    @property
    def load(self) -> int:
        """Requests at the server before this one, as the dispatcher knows."""
        return self.assignment.load if self.assignment is not None else 0

    def end(self) -> None:
        """Tell the dispatcher that the run has ended or was not started."""
        if self.assignment is not None:
            self.assignment.end()


@dataclasses.dataclass(frozen=True, slots=True)
class GroupAssessment:
    """A group as this node knows it, and the expected delay by which it is compared.

    `in_flight` is the number of requests at the group, `limit` how many it takes well,
    and `score_s` the delay in seconds.
    """

    head: BackendServer
    in_flight: int
    limit: int
    score_s: float
    has_room: bool


class GroupChooser:
    """Chooses the group of each run of a stream.

    Parameters
    ----------
    server_tracker : ServerTracker
        Groups and their load.
    notices : ServerNotices
        What servers state about the requests that they take.
    group_selector : GroupSelector
        Selects a group if no dispatcher does.
    delay_estimator : LearnedDelayEstimator
        Expected delays at the groups.
    dispatch : callable
        Returns the endpoint that asks dispatchers for groups.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        server_tracker: ServerTracker,
        notices: ServerNotices,
        group_selector: GroupSelector,
        delay_estimator: LearnedDelayEstimator,
        dispatch: Callable[[], GroupAssigner],
        clock: Clock,
    ) -> None:
        self._server_tracker = server_tracker
        self._notices = notices
        self._group_selector = group_selector
        self._delay_estimator = delay_estimator
        self._dispatch = dispatch
        self._clock = clock

    async def select(
        self, context: RoutedRequest, tried: Collection[VmId], *, waits: bool
    ) -> SelectedServer | ServerOptions:
        """Return the group of the next run, or the heads among which there is none.

        Parameters
        ----------
        context : RoutedRequest
            The request.
        tried : collection of VmId
            Heads that the request is not sent to again.
        waits : bool
            Whether to wait for a moment until a group has room.
        """
        until_s = self._clock.monotonic() + MAX_RESUME_WAIT_S
        while True:
            selected = await self._try_select(context, tried)
            if isinstance(selected, SelectedServer) or not waits:
                return selected
            if self._clock.monotonic() >= until_s:
                # A suspected group may only have paused, and the stream ends otherwise.
                suspected = self._find_candidates(
                    context, tried, self._find_suspected(context)
                )
                candidate = self._group_selector.select(suspected)
                return (
                    SelectedServer(candidate.server, GroupChoice.SUSPECTED)
                    if candidate is not None
                    else selected
                )
            await self._clock.sleep(RESUME_POLL_INTERVAL)

    def find_options(self, context: RoutedRequest) -> ServerOptions:
        """Return the heads that take a stream now, and the wait if none does."""
        model = context.request_head.model
        if model is None:
            return ServerOptions([], None)
        return self._server_tracker.head_options(context.service.name, model)

    async def _try_select(
        self, context: RoutedRequest, tried: Collection[VmId]
    ) -> SelectedServer | ServerOptions:
        """Return the group that a dispatcher assigns, or that this node chooses."""
        choice = GroupChoice.OWN
        model = context.request_head.model
        if model is not None and self._dispatch().is_enabled:
            choice = GroupChoice.NO_REPLY
            unusable: set[VmId] = set()
            while len(unusable) < _MAX_QUESTIONS:
                question = self._build_question(context, tried, model, unusable)
                assignment = await self._dispatch().assign(question)
                if assignment is None:
                    break
                if assignment.head is None:
                    return self._select_own(
                        context, tried, GroupChoice.NO_REPLY, zones=assignment.unasked
                    )
                head = self._find_head(context, tried, assignment.head)
                if head is not None:
                    return SelectedServer(head, GroupChoice.ASSIGNED, assignment)
                choice = GroupChoice.UNUSABLE
                unusable.add(assignment.head)
                assignment.end()
        return self._select_own(context, tried, choice)

    def _select_own(
        self,
        context: RoutedRequest,
        tried: Collection[VmId],
        choice: GroupChoice,
        *,
        zones: Collection[ZoneId] | None = None,
    ) -> SelectedServer | ServerOptions:
        """Return a group that this node chooses, in certain zones or in any."""
        options = self.find_options(context)
        candidates = [
            candidate
            for candidate in self._find_candidates(context, tried, options.accepting)
            if zones is None or candidate.server.zone in zones
        ]
        candidate = self._group_selector.select(candidates)
        if candidate is None:
            return options
        return SelectedServer(candidate.server, choice)

    def _build_question(
        self,
        context: RoutedRequest,
        tried: Collection[VmId],
        model: ModelName,
        unusable: set[VmId],
    ) -> Question:
        """Return the question for a group that this node may send a run to."""
        service = context.service.name
        usable = {
            head.vm for head in self._server_tracker.heads(service, model)
        } - unusable
        excluded = [
            head.vm
            for head in self._server_tracker.open_heads(service, model)
            if head.vm in tried or head.vm not in usable
        ]
        return Question(
            service=service,
            model=model,
            prompt_tokens=context.request_head.prompt_tokens,
            target_s=context.route.latency_target.total_seconds(),
            excluded=[*unusable, *excluded],
            account=context.account or AccountId(""),
            urgency=context.urgency,
        )

    def _find_head(
        self, context: RoutedRequest, tried: Collection[VmId], vm: VmId
    ) -> BackendServer | None:
        """Return an assigned head, None if this node may not send to it now.

        The dispatcher may know more recent entries of servers, or older ones.
        """
        model = context.request_head.model
        if model is None or vm in tried:
            return None
        heads = self._server_tracker.heads(context.service.name, model)
        return next((head for head in heads if head.vm == vm), None)

    def _find_suspected(self, context: RoutedRequest) -> list[BackendServer]:
        model = context.request_head.model
        if model is None:
            return []
        return self._server_tracker.suspected_heads(context.service.name, model)

    def _find_candidates(
        self,
        context: RoutedRequest,
        tried: Collection[VmId],
        heads: Iterable[BackendServer],
    ) -> list[Candidate]:
        engine, model = engine_and_model(context)
        if engine is None or model is None:
            return []
        assessments = [
            self.assess(context, head, engine, model)
            for head in heads
            if head.vm not in tried
        ]
        return [Candidate(a.head, a.score_s) for a in assessments if a.has_room]

    def assess(
        self,
        request: RoutedRequest,
        head: BackendServer,
        engine: EngineProfile,
        model: ModelProfile,
    ) -> GroupAssessment:
        """Return what this node expects of a group for a stream.

        Parameters
        ----------
        request : RoutedRequest
            The stream.
        head : BackendServer
            Head of the group.
        engine, model : EngineProfile, ModelProfile
            Declared figures for the stream.
        """
        in_flight = self._server_tracker.in_flight(head.vm)
        delay_s = self._delay_estimator.choice_delay_s(
            head,
            engine,
            model,
            in_flight=in_flight,
            prompt_tokens=request.request_head.prompt_tokens,
            target=request.route.latency_target,
        )
        limit = self._delay_estimator.limit(head, engine)
        penalty_s = _COLD_PENALTY_S if self._notices.is_cold(head) else 0.0
        return GroupAssessment(
            head,
            in_flight,
            limit,
            score_s=delay_s + penalty_s,
            # A request beyond the limit also delays all requests behind it, so it is
            # sent only if it may meet the latency target.
            has_room=in_flight < limit
            or delay_s <= request.route.latency_target.total_seconds(),
        )


def engine_and_model(
    context: RoutedRequest,
) -> tuple[EngineProfile | None, ModelProfile | None]:
    """Return the declared figures for a stream, None where there are none."""
    engine = context.service.engine
    if engine is None or context.request_head.model is None:
        return engine, None
    return engine, engine.find_model(context.request_head.model)
