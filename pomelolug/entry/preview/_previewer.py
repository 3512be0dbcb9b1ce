"""Preview of the way of a request through this node."""

import random
from collections.abc import Callable

from pomelolug.clock import Clock
from pomelolug.deployment import Declaration, Route, ServerRegistry
from pomelolug.entry.dispatch import DispatchEndpoint
from pomelolug.entry.preview._dispatchers import FetchRanking, PreviewAssigner
from pomelolug.entry.preview._report import (
    ChoicePreview,
    DispatcherResult,
    Exclusion,
    ExclusionReason,
    PassingOn,
    PassingReason,
    PreviewQuery,
    RefusalPreview,
    RequestPreview,
    ServerPreview,
    ServiceWeight,
)
from pomelolug.entry.preview._servers import (
    describe_groups,
    describe_plain_servers,
    find_unlisted,
)
from pomelolug.entry.preview._snapshot import KnownState
from pomelolug.entry.requests import (
    GroupChoice,
    GroupChooser,
    PlainServerChooser,
    RoutedRequest,
    SelectedServer,
    authenticate,
    engine_and_model,
    find_route,
    may_pass_stream_on,
    no_head_error,
    not_run_error,
    select_service,
    timeout_of,
    urgency_of,
)
from pomelolug.entry.servers import ServerContact
from pomelolug.errors import ErrorCode, RequestError
from pomelolug.ids import ModelName, NodeId, RequestId, ZoneId
from pomelolug.platform import RequestHead

__all__ = ["RequestPreviewer"]

_ALWAYS_UNKNOWN = [
    "whether the request is quarantined, which depends on its body",
    "whether the chosen server takes the request, and what arrives until then",
]


_UNKNOWN_SAMPLE = (
    "which groups the node draws, if several nodes of the zone choose for themselves"
)


class _LeastDraw(random.Random):
    """Draws the lower end of a range, which gives the least time that is drawn."""

    def uniform(self, a: float, b: float) -> float:
        """Return the lower end of a range."""
        return min(a, b)


class _LargestDraw(random.Random):
    """Draws the upper end of a range."""

    def uniform(self, a: float, b: float) -> float:
        """Return the upper end of a range."""
        return max(a, b)


class RequestPreviewer:
    """Tells where a request would go now, and changes nothing.

    It asks the code that decides for requests, on a copy of what the node knows.

    Parameters
    ----------
    node, zone : NodeId, ZoneId
        Name and zone of this node.
    declaration : callable
        Returns the declaration in force, None before the first one.
    registry : ServerRegistry
        Entries of the servers.
    known : KnownState
        What the node knows of servers and of other nodes.
    contact : ServerContact
        Whether this node reaches the servers.
    dispatch : callable
        Returns the endpoint that asks dispatchers.
    fetch_ranking : callable
        Fetches the preview of the dispatcher at a datagram address.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        node: NodeId,
        zone: ZoneId,
        declaration: Callable[[], Declaration | None],
        registry: ServerRegistry,
        known: KnownState,
        contact: ServerContact,
        dispatch: Callable[[], DispatchEndpoint],
        fetch_ranking: FetchRanking,
        clock: Clock,
    ) -> None:
        self._node = node
        self._zone = zone
        self._declaration = declaration
        self._registry = registry
        self._known = known
        self._contact = contact
        self._dispatch = dispatch
        self._fetch_ranking = fetch_ranking
        self._clock = clock

    async def preview(self, query: PreviewQuery) -> RequestPreview:
        """Return where a request would go now."""
        known = self._known.snapshot()
        preview = RequestPreview(node=self._node, zone=self._zone)
        try:
            request = self._resolve(query, preview, known.rng)
        except RequestError as error:
            preview.refusal = _describe_error(error, error)
            return preview
        preview.unknown = list(_ALWAYS_UNKNOWN)
        if request.service.engine is not None:
            await self._preview_stream(request, preview, known)
        else:
            await self._preview_plain(request, preview, known)
        preview.servers.sort(key=_order)
        return preview

    # The request

    def _resolve(
        self, query: PreviewQuery, preview: RequestPreview, rng: random.Random
    ) -> RoutedRequest:
        """Return the request with its route, account and service.

        Raises
        ------
        RequestError
            That the caller would get.
        """
        declaration = self._declaration()
        if declaration is None:
            raise not_run_error(
                ErrorCode.NO_CONFIGURATION, "no declaration is known yet"
            )
        preview.declaration = declaration.version
        request_head = _build_head(query, declaration)
        route = find_route(declaration, request_head)
        preview.route = route.name
        preview.target_s = route.latency_target.total_seconds()
        timeout_s = timeout_of(route, request_head).total_seconds()
        preview.deadline_s = timeout_s
        client_account = authenticate(declaration, route, request_head)
        account = client_account.account_id if client_account is not None else None
        preview.account = account
        preview.urgency = urgency_of(route, client_account)
        preview.services = _list_services(route)
        service = select_service(declaration, route, rng)
        preview.service = service.name
        preview.kind = "stream" if service.engine is not None else "plain"
        now_s = self._clock.monotonic()
        return RoutedRequest(
            request_head=request_head,
            declaration=declaration,
            route=route,
            service=service,
            account=account,
            urgency=preview.urgency,
            arrived_at_s=now_s,
            deadline_at_s=now_s + timeout_s,
        )

    # Plain services

    async def _preview_plain(
        self, request: RoutedRequest, preview: RequestPreview, known: KnownState
    ) -> None:
        service = request.service.name

        def make_chooser(rng: random.Random) -> PlainServerChooser:
            return PlainServerChooser(
                server_tracker=known.server_tracker,
                notices=known.notices,
                delay_estimator=known.delay_estimator,
                zone=self._zone,
                rng=rng,
            )

        chooser = make_chooser(known.rng)
        self._note_first_draws(request, preview)
        is_passed_on = self._is_passed_on(request, preview, known)
        # The draws come in the order of those for a request.
        options = chooser.find_options(service)
        server = chooser.select(options, ())
        preview.servers = await describe_plain_servers(known, chooser, service)
        self._add_unlisted(request, preview, None)
        if is_passed_on:
            return
        if server is not None:
            scores = {p.server: p.score for p in preview.servers if not p.excluded}
            equal = [vm for vm, s in scores.items() if s == scores[server.vm]]
            preview.choice = ChoicePreview(
                server=server.vm,
                zone=server.zone,
                decided_by=self._node,
                equal=tuple(equal) if len(equal) > 1 else (),
            )
            return
        preview.refusal = _describe_error(
            make_chooser(_LeastDraw()).no_server_error(options),
            make_chooser(_LargestDraw()).no_server_error(options),
        )

    # Streams

    async def _preview_stream(
        self, request: RoutedRequest, preview: RequestPreview, known: KnownState
    ) -> None:
        assigner = PreviewAssigner(
            endpoint=self._dispatch(),
            fetch=self._fetch_ranking,
            node=self._node,
            zone=self._zone,
            rng=known.rng,
        )
        chooser = GroupChooser(
            server_tracker=known.server_tracker,
            notices=known.notices,
            group_selector=known.group_selector,
            delay_estimator=known.delay_estimator,
            dispatch=lambda: assigner,
            clock=self._clock,
        )
        self._note_first_draws(request, preview)
        is_passed_on = self._is_passed_on(request, preview, known)
        selected, options = None, None
        if not is_passed_on:
            choice = await chooser.select(request, (), waits=False)
            if isinstance(choice, SelectedServer):
                selected = choice
            else:
                options = choice
        engine, model = engine_and_model(request)
        if engine is not None and model is not None:
            preview.servers = await describe_groups(
                known, chooser, request, engine, model
            )
        self._add_unlisted(request, preview, request.request_head.model)
        preview.dispatchers = assigner.asked
        self._apply_dispatchers(preview, selected)
        if selected is not None:
            preview.choice = self._describe_choice(selected, assigner)
            if selected.choice is not GroupChoice.ASSIGNED:
                preview.unknown.append(_UNKNOWN_SAMPLE)
        elif options is not None:
            preview.refusal = _describe_error(
                no_head_error(options, _LeastDraw()),
                no_head_error(options, _LargestDraw()),
            )

    def _describe_choice(
        self, selected: SelectedServer, assigner: PreviewAssigner
    ) -> ChoicePreview:
        latest = assigner.latest
        decided_by = str(self._node)
        equal: tuple[str, ...] = ()
        if selected.assignment is not None and latest is not None:
            decided_by = latest.address
            equal = latest.ranking.best if latest.ranking is not None else ()
        return ChoicePreview(
            server=selected.server.vm,
            zone=selected.server.zone,
            decided_by=decided_by,
            how=selected.choice.value,
            equal=equal if len(equal) > 1 else (),
        )

    def _apply_dispatchers(
        self, preview: RequestPreview, selected: SelectedServer | None
    ) -> None:
        """Let what the dispatchers know of groups replace what this node knows."""
        for asked in preview.dispatchers:
            if asked.ranking is None:
                continue
            has_room = {g.server: g.has_room for g in asked.ranking.groups}
            is_reserved = asked.result is DispatcherResult.RESERVED
            for server in preview.servers:
                if server.server in has_room:
                    _set_room(server, has_room[server.server], is_reserved=is_reserved)
        if selected is None or selected.choice is not GroupChoice.ASSIGNED:
            return
        zones = {asked.zone for asked in preview.dispatchers}
        for server in preview.servers:
            if server.zone not in zones:
                _set_room(server, True, is_reserved=False)
                reason = ExclusionReason.OTHER_ZONE
                server.excluded.append(Exclusion(reason=reason))

    # Both kinds

    def _is_passed_on(
        self, request: RoutedRequest, preview: RequestPreview, known: KnownState
    ) -> bool:
        """Return whether another node would get the request, or none could send it."""
        exits = known.exits
        if request.service.engine is not None:
            may_pass_on = may_pass_stream_on(
                request,
                server_tracker=known.server_tracker,
                exits=exits,
                unreached_count=0,
            )
        else:
            may_pass_on = exits.may_use(request, unreached_count=0)
        if not may_pass_on:
            return False
        nodes: list[str] = []
        while (address := exits.select(nodes)) is not None:
            nodes.append(address)
        if nodes:
            preview.passed_on = PassingOn(
                reason=self._passing_reason(), nodes=tuple(nodes)
            )
            preview.unknown.append("what the node chooses that the request goes to")
            return True
        if not exits.is_needed(request):
            return False
        preview.refusal = _describe_error(
            *(
                exits.snapshot(list_addresses=list, rng=rng).unreachable_error()
                for rng in (_LeastDraw(), _LargestDraw())
            )
        )
        return True

    def _passing_reason(self) -> PassingReason:
        if self._contact.is_cut_off:
            return PassingReason.CUT_OFF
        if self._contact.is_in_doubt:
            return PassingReason.IN_DOUBT
        return PassingReason.HEADS_SUSPECTED

    def _note_first_draws(
        self, request: RoutedRequest, preview: RequestPreview
    ) -> None:
        """Note the servers of which this node has not drawn its share yet."""
        tracker, notices = self._known.server_tracker, self._known.notices
        service, model = request.service.name, request.request_head.model
        servers = (
            tracker.all_servers(service)
            if request.service.engine is None
            else tracker.all_heads(service, model)
            if model is not None
            else []
        )
        undrawn = [s.vm for s in servers if not notices.has_share(s)]
        if undrawn:
            preview.unknown.append(
                "whether these servers take a request of this node now, which its "
                f"first one decides at random: {', '.join(sorted(undrawn))}"
            )

    def _add_unlisted(
        self, request: RoutedRequest, preview: RequestPreview, model: ModelName | None
    ) -> None:
        if model is None and request.service.engine is not None:
            return
        preview.servers += find_unlisted(
            self._registry.servers.values(),
            preview.servers,
            request.service.name,
            model,
        )


def _build_head(query: PreviewQuery, declaration: Declaration) -> RequestHead:
    """Return the head of a request like the one that is asked for."""
    keys = (
        key
        for key, account in (declaration.accounts_by_key or {}).items()
        if account.account_id == query.account
    )
    return RequestHead(
        request_id=RequestId(""),
        host=query.host,
        path=query.path.partition("?")[0],
        deadline_s=query.deadline_s,
        api_key=next(keys, None),
        model=ModelName(query.model) if query.model else None,
        prompt_tokens=query.prompt_tokens,
        answer_tokens=0,
        last_event_id=None,
    )


def _list_services(route: Route) -> tuple[ServiceWeight, ...]:
    if len(route.shares) == 1:
        return ()
    return tuple(
        ServiceWeight(service=share.service, weight=share.weight)
        for share in route.shares
    )


def _set_room(server: ServerPreview, has_room: bool, *, is_reserved: bool) -> None:
    """Replace what this node believes of the room at a group."""
    server.excluded = [
        e for e in server.excluded if e.reason is not ExclusionReason.NO_ROOM
    ]
    if not has_room:
        server.excluded.append(Exclusion(reason=ExclusionReason.NO_ROOM))
    elif is_reserved:
        server.excluded.append(Exclusion(reason=ExclusionReason.RESERVED))


def _order(server: ServerPreview) -> tuple[bool, float, str]:
    score = server.score if server.score is not None else float("inf")
    return bool(server.excluded), score, server.server


def _describe_error(least: RequestError, largest: RequestError) -> RefusalPreview:
    """Return a refusal from the errors with the least and the largest wait."""
    retry_after_s = None
    if least.retry_after is not None and largest.retry_after is not None:
        retry_after_s = (
            round(least.retry_after.total_seconds(), 3),
            round(largest.retry_after.total_seconds(), 3),
        )
    return RefusalPreview(
        status=least.status,
        code=least.code.value,
        message=str(least),
        outcome=least.outcome.value,
        retry_after_s=retry_after_s,
    )
