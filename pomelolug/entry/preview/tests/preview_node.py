"""Node whose parts decide for requests, without a network, and its whole state."""

import dataclasses
import datetime
import enum
import random
from types import FunctionType, MethodType, SimpleNamespace

from pomelolug.deployment import (
    BackendServer,
    ClientAccount,
    Declaration,
    Repeatability,
    Route,
    ServerNotice,
    ServerRegistry,
    Service,
    ServiceShare,
)
from pomelolug.entry.dispatch import (
    DispatchEndpoint,
    DispatcherAddresses,
    GroupDispatcher,
    Holder,
)
from pomelolug.entry.dispatch.tests.dispatch_fixtures import (
    ManualClock,
    make_declaration,
    make_heads,
)
from pomelolug.entry.performance import LearnedDelayEstimator
from pomelolug.entry.preview import KnownState, PreviewQuery, RequestPreviewer
from pomelolug.entry.requests import (
    GroupChooser,
    PlainServerChooser,
    RequestExits,
    RoutedRequest,
    SelectedServer,
)
from pomelolug.entry.servers import (
    ColdServers,
    EvacuatedZones,
    EvacuationChange,
    GroupSelector,
    RequestRateLimiter,
    ServerLimits,
    ServerNotices,
    ServerTracker,
)
from pomelolug.entry.tests.choice_simulation import ENGINE_OF_TEST, MODEL
from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.ids import AccountId, ModelName, NodeId, Offset, ServiceName, ZoneId
from pomelolug.messages import NodeStatus
from pomelolug.platform import RequestHead

LLM, PLAIN = ServiceName("llm"), ServiceName("plain")
ZONE = ZoneId("a")
OWN, DISPATCHER = "127.0.0.1:1", "127.0.0.2:1"
STREAM = PreviewQuery(
    host="h", path="/stream/x?y", account="account-a", model=MODEL.name
)
REQUEST = PreviewQuery(host="h", path="/plain/x", account="account-a")
ACCOUNT = ClientAccount(account_id=AccountId("account-a"), priority=3)
MEMBERS = dataclasses.replace(MODEL, group_size=1)


def _make_declaration() -> Declaration:
    declaration = make_declaration()
    route = dataclasses.replace(
        declaration.routes[0], name="stream", prefix="/stream/", priority=1
    )
    plain_route: Route = dataclasses.replace(
        route,
        name="plain",
        prefix="/plain/",
        shares=(ServiceShare(service=PLAIN, weight=1.0),),
        repeatability=Repeatability.IDEMPOTENT,
        is_model_route=False,
    )
    services = {
        LLM: Service(
            name=LLM,
            health_path="/",
            max_connections=100,
            engine=dataclasses.replace(ENGINE_OF_TEST, models=(MEMBERS,)),
        ),
        PLAIN: Service(
            name=PLAIN,
            health_path="/",
            max_connections=100,
            engine=None,
            cold_time=datetime.timedelta(seconds=30),
            cold_requests_per_s=1.0,
        ),
    }
    return dataclasses.replace(
        declaration,
        routes=(route, plain_route),
        services=services,
        accounts_by_key={"key-a": ACCOUNT},
    )


class PreviewNode:
    """Node with two groups and two plain servers in its zone, and one each in another.

    `has_dispatcher` makes it the dispatcher of its zone.
    """

    def __init__(self, *, seed: int = 0, has_dispatcher: bool = False) -> None:
        self.clock, self.rng = ManualClock(), random.Random(seed)
        self.declaration = _make_declaration()
        self.contact = SimpleNamespace(is_cut_off=False, is_in_doubt=False)
        self.exit_nodes: list[str] = []
        self._build_notices()
        self.registry = ServerRegistry(clock=self.clock)
        self.tracker = ServerTracker(
            registry=self.registry, notices=self.notices, clock=self.clock
        )
        self.estimator = LearnedDelayEstimator(zone=ZONE, clock=self.clock)
        self.selector = GroupSelector(zone=ZONE, rng=self.rng)
        self.dispatcher = GroupDispatcher(
            heads=self.tracker.open_heads,
            estimator=self.estimator,
            declaration=lambda: self.declaration,
            zone=ZONE,
            clock=self.clock,
            rng=self.rng,
        )
        self.dispatch = DispatchEndpoint(
            dispatcher=self.dispatcher,
            holder=Holder(OWN, 1),
            send=lambda message, address: None,
            clock=self.clock,
            rng=self.rng,
        )
        if has_dispatcher:
            self.dispatch.set_addresses(DispatcherAddresses((OWN,)))
        self.exits = RequestExits(
            contact=self.contact,
            list_addresses=lambda: self.exit_nodes,
            pool=None,
            clock=self.clock,
            rng=self.rng,
        )
        self.rankings: dict[str, object] = {}
        self._add_servers()

    def _build_notices(self) -> None:
        clock = self.clock
        self.limits = ServerLimits(zone=ZONE, clock=clock, on_news=lambda: None)
        self.cold = ColdServers(
            zone=ZONE,
            clock=clock,
            accepted_factor=1.0,
            excess_requests=0.0,
            on_news=lambda: None,
        )
        self.cold.set_services(self.declaration.services)
        self.limiter = RequestRateLimiter(
            sources=(self.limits, self.cold),
            node=NodeId("n"),
            zone=ZONE,
            zones=(),
            clock=clock,
            rng=self.rng,
        )
        self.limiter.set_nodes(
            count=1, zone_nodes=[NodeId("n")], registered=[NodeId("n")]
        )
        self.evacuated = EvacuatedZones(
            known_zones=(), clock=clock, on_change=lambda: None
        )
        self.notices = ServerNotices(
            limits=self.limits,
            cold_servers=self.cold,
            rate_limiter=self.limiter,
            evacuated_zones=self.evacuated,
            clock=clock,
            rng=self.rng,
            on_leaving=lambda: None,
        )

    def _add_servers(self) -> None:
        heads = make_heads(2) + make_heads(1, zone="b")
        plain = [
            dataclasses.replace(
                head, vm=f"p-{head.vm}", service=PLAIN, model=None, membership=None
            )
            for head in heads
        ]
        self.servers = {server.vm: server for server in heads + plain}
        for server in self.servers.values():
            self.write(server)
        self.cold.finish_first_reading()

    def write(self, server: BackendServer) -> None:
        """Read an entry of a server."""
        offset = Offset(len(self.registry._offsets) + 1 + server.start_time_ms)
        self.registry.apply([(server.vm, offset, server)])
        self.notices.record_entry(server)
        self.tracker.refresh({(LLM, MODEL.name): 1})

    def notice(self, vm: str, **fields: object) -> None:
        """Read a response of a server."""
        self.notices.record(
            self.servers[vm],
            ServerNotice(**fields),
            sent_at_s=self.clock.monotonic(),
        )

    def evacuate(self, zone: str) -> None:
        change = EvacuationChange(Offset(1), ZoneId(zone), True)
        self.evacuated.apply([change], read_up_to=Offset(2), is_snapshot=False)

    def hear(self, **fields: object) -> None:
        """Apply the status of a peer of the zone."""
        status = NodeStatus(
            node="peer",
            started_ms=1,
            serial=1,
            zone=ZONE,
            address="",
            datagram="127.0.0.9:1",
            declaration=1,
            **fields,
        )
        self.tracker.apply_peer_statuses([status], zone=ZONE)

    async def fetch_ranking(self, address: str, message: object) -> object:
        if address not in self.rankings:
            raise PlatformError(ErrorCode.PLATFORM_UNAVAILABLE, f"{address}: lost")
        return self.rankings[address]

    @property
    def previewer(self) -> RequestPreviewer:
        return RequestPreviewer(
            node=NodeId("n"),
            zone=ZONE,
            declaration=lambda: self.declaration,
            registry=self.registry,
            known=KnownState(
                notices=self.notices,
                server_tracker=self.tracker,
                delay_estimator=self.estimator,
                group_selector=self.selector,
                exits=self.exits,
                list_exits=lambda rng: self.exit_nodes,
                rng=self.rng,
            ),
            contact=self.contact,
            dispatch=lambda: self.dispatch,
            fetch_ranking=self.fetch_ranking,
            clock=self.clock,
        )

    def route(self, query: PreviewQuery) -> RoutedRequest:
        """Return the request of a query as a caller's request is routed."""
        path = query.path.partition("?")[0]
        route = self.declaration.find_route(query.host, path)
        # As `select_service` draws.
        share = self.rng.choices(route.shares, [1.0])[0]
        return RoutedRequest(
            request_head=RequestHead(
                request_id="r",
                host=query.host,
                path=path,
                deadline_s=None,
                api_key="key-a",
                model=ModelName(query.model) if query.model else None,
                prompt_tokens=query.prompt_tokens,
                answer_tokens=0,
                last_event_id=None,
            ),
            declaration=self.declaration,
            route=route,
            service=self.declaration.services[share.service],
            account=ACCOUNT.account_id,
            urgency=3,
            arrived_at_s=self.clock.monotonic(),
            deadline_at_s=self.clock.monotonic() + 6.0,
        )

    async def choose(self, query: PreviewQuery) -> BackendServer | None:
        """Choose a server as for a caller's request, and count it there."""
        request = self.route(query)
        if request.service.engine is None:
            chooser = PlainServerChooser(
                server_tracker=self.tracker,
                notices=self.notices,
                delay_estimator=self.estimator,
                zone=ZONE,
                rng=self.rng,
            )
            options = chooser.find_options(request.service.name)
            server = chooser.select(options, ())
        else:
            selected = await GroupChooser(
                server_tracker=self.tracker,
                notices=self.notices,
                group_selector=self.selector,
                delay_estimator=self.estimator,
                dispatch=lambda: self.dispatch,
                clock=self.clock,
            ).select(request, (), waits=False)
            server = selected.server if isinstance(selected, SelectedServer) else None
        if server is not None and self.notices.take_request(server) is not None:
            self.tracker.load(server.vm).in_flight += 1
        return server

    def state(self) -> object:
        """Return the whole state of the node, to be compared."""
        return _state_of(vars(self), set())


def _state_of(value: object, seen: set[int]) -> object:
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, FunctionType | MethodType | type):
        return value.__qualname__
    if isinstance(value, enum.Enum):
        return value
    if isinstance(value, dict):
        return {key: _state_of(v, seen) for key, v in value.items()}
    if isinstance(value, list | tuple):
        return [_state_of(v, seen) for v in value]
    names = [
        name
        for kind in type(value).__mro__
        for name in getattr(kind, "__slots__", ())
        if hasattr(value, name)
    ]
    names += list(getattr(value, "__dict__", ()))
    if not names:
        return value
    if id(value) in seen:
        return "seen"
    seen = seen | {id(value)}
    return {name: _state_of(getattr(value, name), seen) for name in names}
