"""Question for a preview, and its answer as JSON.

Fields without a value are left out. Times are in seconds.
"""

import enum

import msgspec

__all__ = [
    "Bound",
    "ChoicePreview",
    "DispatcherPreview",
    "DispatcherResult",
    "Exclusion",
    "ExclusionReason",
    "GroupPreview",
    "PassingOn",
    "PassingReason",
    "PreviewQuery",
    "RankingReport",
    "RefusalPreview",
    "RequestPreview",
    "ServerPreview",
    "ServiceWeight",
]


class ExclusionReason(enum.Enum):
    """Why a request would not be sent to a server."""

    ZONE_EVACUATED = "zone_evacuated"
    COLD = "cold"
    """Its bound while it is cold leaves no request to this node now."""
    LIMIT = "limit"
    """Its own limit of requests leaves no request to this node now."""
    PAUSE = "pause"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    """By the asked node."""
    SUSPECTED_BY_PEER = "suspected_by_peer"
    RECENTLY_FULL = "recently_full"
    DEGRADED = "degraded"
    """A member of the group is missing from the registry."""
    NO_ROOM = "no_room"
    """As many requests as it takes well, and a further one would be late."""
    RESERVED = "reserved"
    """Its zone has free slots only for other accounts or more urgent streams."""
    OTHER_ZONE = "other_zone"
    """A dispatcher assigns a group of another zone, so that this one is not needed."""
    NOT_READY = "not_ready"
    """Its entry says so, or its group is not open or was never complete."""


class PassingReason(enum.Enum):
    """Why a request would be passed on to another node."""

    CUT_OFF = "cut_off"
    """The node reaches no server."""
    IN_DOUBT = "in_doubt"
    """No server responds, which may be due to the node or to the servers."""
    HEADS_SUSPECTED = "heads_suspected"
    """The node suspects all open groups, which others may see work."""


class DispatcherResult(enum.Enum):
    """What the preview at a dispatcher has shown."""

    ASSIGNED = "assigned"
    NO_ROOM = "no_room"
    RESERVED = "reserved"
    NO_GROUPS = "no_groups"
    NO_REPLY = "no_reply"
    AVOIDED = "avoided"
    """It is not asked for a moment, since it did not reply to questions."""


class PreviewQuery(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
):
    """Request whose way is asked for.

    `account` is a name and not a key. `deadline_s` is the time that the caller waits.
    """

    host: str
    path: str
    account: str | None = None
    model: str | None = None
    prompt_tokens: int = 0
    deadline_s: float | None = None


class Exclusion(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Reason why a request would not be sent to a server.

    `for_s` is the time until it ends, None if it is not known.
    """

    reason: ExclusionReason
    for_s: float | None = None


class Bound(msgspec.Struct, frozen=True, kw_only=True):
    """Bound on the requests of all nodes to a server."""

    kind: str
    accepted_requests: float
    window_s: float
    rate_per_s: float


class ServerPreview(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Server, or head of a group, as the asked node knows it.

    One that is not ready has no figures.

    Parameters
    ----------
    server, zone : str
        The server and its zone.
    group : str
        Name and epoch of its group.
    in_flight, own_in_flight : int
        Requests of all nodes, as known, and of the asked node.
    slots, limit : int
        Requests that it takes as declared, and those that it takes well as learned.
    delay_s, declared_delay_s : float
        Expected time to the first event, as learned and as declared.
    speed_factor : float
        Learned service time of a plain server over the usual one.
    score : float
        The candidate with the least is chosen: seconds of delay of a group, or load of
        a plain server as a fraction of its slots, each with what counts as load.
    bounds : tuple of Bound
        Bounds on the requests of all nodes, whether they exclude the server or not.
    excluded : list of Exclusion
        All reasons; a candidate has none.
    """

    server: str
    zone: str
    group: str = ""
    in_flight: int | None = None
    own_in_flight: int | None = None
    slots: int | None = None
    limit: int | None = None
    delay_s: float | None = None
    declared_delay_s: float | None = None
    speed_factor: float | None = None
    score: float | None = None
    bounds: tuple[Bound, ...] = ()
    excluded: list[Exclusion] = []


class GroupPreview(msgspec.Struct, frozen=True, kw_only=True):
    """Open group as a dispatcher knows it; `score_s` decides among those with room."""

    server: str
    in_flight: int
    limit: int
    delay_s: float
    score_s: float
    has_room: bool


class RankingReport(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Groups of a zone by its dispatcher; `best` are those of which one is drawn."""

    node: str
    groups: tuple[GroupPreview, ...] = ()
    best: tuple[str, ...] = ()
    free: int = 0
    reserved: int = 0
    is_reserved: bool = False
    has_groups: bool = False


class DispatcherPreview(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Dispatcher that would be asked, in this order, and what it would decide.

    `address` is that of its datagrams. `error` tells why a preview at it has failed;
    the dispatcher itself may reply nevertheless.
    """

    address: str
    zone: str
    role: str
    result: DispatcherResult
    ranking: RankingReport | None = None
    error: str = ""


class ChoicePreview(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Server that would get the request.

    Parameters
    ----------
    server, zone : str
        The server and its zone.
    decided_by : str
        Address of the dispatcher, or name of the asked node.
    how : str
        As `choice` in the log line of a request; empty for a plain service.
    equal : tuple of str
        Servers among which the decider draws one, if there are several.
    """

    server: str
    zone: str
    decided_by: str
    how: str = ""
    equal: tuple[str, ...] = ()


class PassingOn(msgspec.Struct, frozen=True, kw_only=True):
    """Nodes that would get the request, the first one unless it does not answer."""

    reason: PassingReason
    nodes: tuple[str, ...]


class RefusalPreview(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Error that the caller would get; `retry_after_s` has the least and the most."""

    status: int
    code: str
    message: str
    outcome: str
    retry_after_s: tuple[float, float] | None = None


class ServiceWeight(msgspec.Struct, frozen=True, kw_only=True):
    """Service of a route and its weight in the split of the requests."""

    service: str
    weight: float


class RequestPreview(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Where a request would go now.

    Parameters
    ----------
    node, zone : str
        The asked node.
    declaration : int
        Version of the declaration in force, -1 without one.
    route, kind, service : str
        Route, `stream` or `plain`, and the service, drawn if there are several.
    services : tuple of ServiceWeight
        Services of the route, if there are several.
    account : str or None
        Client account.
    urgency : int
        Urgency; 0 is the most urgent.
    target_s, deadline_s : float
        Latency target, and time after which the request is given up.
    passed_on : PassingOn or None
        Set if another node would get the request.
    dispatchers : list of DispatcherPreview
        Dispatchers that would be asked for a group.
    choice : ChoicePreview or None
        Server that would get the request.
    refusal : RefusalPreview or None
        Set if the request would be refused.
    servers : list of ServerPreview
        Servers of the service and model, the candidates first.
    unknown : list of str
        What a preview cannot know.
    """

    node: str
    zone: str
    declaration: int = -1
    route: str = ""
    kind: str = ""
    services: tuple[ServiceWeight, ...] = ()
    service: str = ""
    account: str | None = None
    urgency: int | None = None
    target_s: float | None = None
    deadline_s: float | None = None
    passed_on: PassingOn | None = None
    dispatchers: list[DispatcherPreview] = []
    choice: ChoicePreview | None = None
    refusal: RefusalPreview | None = None
    servers: list[ServerPreview] = []
    unknown: list[str] = []
