"""Description of each server for a request, with all that excludes it."""

import asyncio
import math
from collections.abc import Iterable

from pomelolug.deployment import BackendServer, EngineProfile, ModelProfile
from pomelolug.entry.performance import DeclaredDelayEstimator
from pomelolug.entry.preview._report import (
    Bound,
    Exclusion,
    ExclusionReason,
    ServerPreview,
)
from pomelolug.entry.preview._snapshot import KnownState
from pomelolug.entry.requests import (
    GroupChooser,
    PlainServerChooser,
    RoutedRequest,
)
from pomelolug.entry.servers import HeadExclusion, WaitCause
from pomelolug.ids import ModelName, ServiceName
from pomelolug.replicas import group_views

__all__ = ["describe_groups", "describe_plain_servers", "find_unlisted"]

_SERVERS_AT_ONCE = 20
"""Servers that are described in one go, between which the node serves requests."""
_NOTICE_REASONS = {
    WaitCause.LIMIT: ExclusionReason.LIMIT,
    WaitCause.COLD: ExclusionReason.COLD,
    WaitCause.PAUSE: ExclusionReason.PAUSE,
    WaitCause.LEAVING: ExclusionReason.LEAVING,
    WaitCause.EVACUATED: ExclusionReason.ZONE_EVACUATED,
}
_HEAD_REASONS = {
    HeadExclusion.SUSPECTED: ExclusionReason.SUSPECTED,
    HeadExclusion.SUSPECTED_BY_PEER: ExclusionReason.SUSPECTED_BY_PEER,
    HeadExclusion.RECENTLY_FULL: ExclusionReason.RECENTLY_FULL,
    HeadExclusion.DEGRADED: ExclusionReason.DEGRADED,
}


async def describe_plain_servers(
    known: KnownState, chooser: PlainServerChooser, service: ServiceName
) -> list[ServerPreview]:
    """Return the ready servers of a plain service.

    Parameters
    ----------
    known : KnownState
        Snapshot of the node.
    chooser : PlainServerChooser
        Chooser that uses the snapshot.
    service : ServiceName
        The service.
    """
    previews: list[ServerPreview] = []
    for server in known.server_tracker.all_servers(service):
        await _yield_after(len(previews))
        preview = _describe(known, server)
        preview.limit = known.delay_estimator.plain_limit(server)
        factor = known.delay_estimator.service_factor(
            server, in_flight=known.server_tracker.in_flight(server.vm)
        )
        preview.speed_factor = round(factor, 3)
        preview.score = round(chooser.score(server), 4)
        previews.append(preview)
    return previews


async def describe_groups(
    known: KnownState,
    chooser: GroupChooser,
    request: RoutedRequest,
    engine: EngineProfile,
    model: ModelProfile,
) -> list[ServerPreview]:
    """Return the open groups for a stream.

    Parameters
    ----------
    known : KnownState
        Snapshot of the node.
    chooser : GroupChooser
        Chooser that uses the snapshot.
    request : RoutedRequest
        The stream.
    engine, model : EngineProfile, ModelProfile
        Declared figures for the stream.
    """
    previews: list[ServerPreview] = []
    declared = DeclaredDelayEstimator()
    for head in known.server_tracker.all_heads(request.service.name, model.name):
        await _yield_after(len(previews))
        preview = _describe(known, head)
        assessment = chooser.assess(request, head, engine, model)
        preview.slots = engine.slots
        preview.limit = assessment.limit
        preview.score = round(assessment.score_s, 4)
        size = request.request_head.prompt_tokens
        load = assessment.in_flight
        delay_s, declared_delay_s = (
            estimator.first_event_s(
                head, engine, model, in_flight=load, prompt_tokens=size
            )
            for estimator in (known.delay_estimator, declared)
        )
        preview.delay_s = round(delay_s, 4)
        preview.declared_delay_s = round(declared_delay_s, 4)
        preview.excluded += [
            Exclusion(reason=_HEAD_REASONS[exclusion])
            for exclusion in known.server_tracker.exclusions(head.vm)
        ]
        if not assessment.has_room:
            preview.excluded.append(Exclusion(reason=ExclusionReason.NO_ROOM))
        previews.append(preview)
    return previews


def find_unlisted(
    servers: Iterable[BackendServer],
    listed: Iterable[ServerPreview],
    service: ServiceName,
    model: ModelName | None,
) -> list[ServerPreview]:
    """Return the servers and heads that have an entry and are not used.

    Parameters
    ----------
    servers : iterable of BackendServer
        All entries.
    listed : iterable of ServerPreview
        Servers that are described already.
    service : ServiceName
        Service of the request.
    model : ModelName or None
        Model of the request, None if the service is plain.
    """
    known = {preview.server for preview in listed}
    of_service = [s for s in servers if s.service == service]
    if model is None:
        candidates = [s for s in of_service if s.membership is None]
    else:
        views = group_views(of_service).values()
        candidates = [v.head for v in views if v.head and v.model == model]
    return [
        ServerPreview(
            server=server.vm,
            zone=server.zone,
            group=_group_of(server),
            excluded=[Exclusion(reason=ExclusionReason.NOT_READY)],
        )
        for server in candidates
        if server.vm not in known
    ]


async def _yield_after(described: int) -> None:
    if described % _SERVERS_AT_ONCE == 0:
        await asyncio.sleep(0)


def _describe(known: KnownState, server: BackendServer) -> ServerPreview:
    """Return what is known of a server, with what its notices exclude."""
    tracker, notices = known.server_tracker, known.notices
    return ServerPreview(
        server=server.vm,
        zone=server.zone,
        group=_group_of(server),
        in_flight=tracker.in_flight(server.vm),
        own_in_flight=tracker.load(server.vm).in_flight,
        slots=server.slots,
        bounds=tuple(
            Bound(
                kind=cause.value,
                accepted_requests=round(bound.accepted_requests, 3),
                window_s=bound.window_s,
                rate_per_s=round(bound.rate_per_s, 3),
            )
            for cause, bound in notices.find_bounds(server).items()
        ),
        excluded=[
            Exclusion(
                reason=_NOTICE_REASONS[wait.cause],
                for_s=_finite(wait.wait_s)
                if wait.cause is not WaitCause.EVACUATED
                else None,
            )
            for wait in notices.find_waits(server)
        ],
    )


def _finite(time_s: float) -> float | None:
    return round(time_s, 3) if math.isfinite(time_s) else None


def _group_of(server: BackendServer) -> str:
    membership = server.membership
    return "" if membership is None else f"{membership.group}/{membership.epoch}"
