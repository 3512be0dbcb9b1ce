"""Previews at the dispatchers that a stream would ask for a group."""

import random
from collections.abc import Awaitable, Callable

from pomelolug.entry.dispatch import (
    Assignment,
    DispatchEndpoint,
    GroupAssigner,
    Question,
    Ranking,
)
from pomelolug.entry.preview._report import (
    DispatcherPreview,
    DispatcherResult,
    GroupPreview,
    RankingReport,
)
from pomelolug.errors import PlatformError
from pomelolug.ids import VmId, ZoneId
from pomelolug.messages import DispatchRequest

__all__ = ["FetchRanking", "PreviewAssigner", "report_ranking"]

FetchRanking = Callable[[str, DispatchRequest], Awaitable[RankingReport]]
"""Returns the ranking of the dispatcher at a datagram address, or raises
`PlatformError`."""


class PreviewAssigner(GroupAssigner):
    """Asks the dispatchers that a stream would ask, without an assignment.

    Parameters
    ----------
    endpoint : DispatchEndpoint
        Endpoint of the node, which knows the dispatchers.
    fetch : callable
        Fetches the ranking of another node.
    node : str
        Name of this node.
    zone : ZoneId
        Zone of this node.
    rng : random.Random
        Draws of the node.
    """

    def __init__(
        self,
        *,
        endpoint: DispatchEndpoint,
        fetch: FetchRanking,
        node: str,
        zone: ZoneId,
        rng: random.Random,
    ) -> None:
        self._endpoint = endpoint
        self._fetch = fetch
        self._node = node
        self._zone = zone
        self._rng = rng
        self.asked: list[DispatcherPreview] = []

    @property
    def is_enabled(self) -> bool:
        """Whether the zone has a dispatcher."""
        return self._endpoint.is_enabled

    @property
    def latest(self) -> DispatcherPreview | None:
        """Dispatcher that was asked last, None if none was."""
        return self.asked[-1] if self.asked else None

    async def assign(self, question: Question) -> Assignment | None:
        """Return the group that a stream would be assigned."""
        return await self._endpoint.ask_in_turn(question, self._ask, self._rng)

    async def _ask(self, address: str, question: Question) -> Assignment | bool | None:
        """Return what a dispatcher would reply; see `DispatchEndpoint.ask_in_turn`."""
        if self._endpoint.is_avoided(address):
            self._record(address, DispatcherResult.AVOIDED)
            return None
        message = self._endpoint.encode_question(0, question)
        is_own = address == self._endpoint.holder.address
        try:
            ranking = (
                report_ranking(self._endpoint.rank(message), node=self._node)
                if is_own
                else await self._fetch(address, message)
            )
        except PlatformError as error:
            self._record(address, DispatcherResult.NO_REPLY, error=str(error))
            return None
        result = _result_of(ranking)
        self._record(address, result, ranking=ranking)
        if result is not DispatcherResult.ASSIGNED:
            return ranking.has_groups
        # Another node draws its own numbers.
        head = self._rng.choice(ranking.best) if is_own else ranking.best[0]
        loads = {group.server: group.in_flight for group in ranking.groups}
        return Assignment(VmId(head), loads.get(head, 0))

    def _record(
        self,
        address: str,
        result: DispatcherResult,
        *,
        ranking: RankingReport | None = None,
        error: str = "",
    ) -> None:
        addresses = self._endpoint.addresses
        zone, role = self._zone, "dispatcher"
        if address in addresses.local[1:]:
            role = "stand_in"
        elif address not in addresses.local:
            zones = (z for z, other in addresses.others.items() if other == address)
            zone = next(zones, ZoneId(""))
        self.asked.append(
            DispatcherPreview(
                address=address,
                zone=zone,
                role=role,
                result=result,
                ranking=ranking,
                error=error,
            )
        )


def report_ranking(ranking: Ranking, *, node: str) -> RankingReport:
    """Return the report of a ranking of the dispatcher of a node."""
    return RankingReport(
        node=node,
        groups=tuple(
            GroupPreview(
                server=rank.head.vm,
                in_flight=rank.in_flight,
                limit=rank.limit,
                delay_s=round(rank.delay_s, 4),
                score_s=round(rank.score_s, 4),
                has_room=rank.has_room,
            )
            for rank in ranking.ranks
        ),
        best=tuple(head.vm for head in ranking.best),
        free=ranking.free,
        reserved=ranking.reserved,
        is_reserved=ranking.is_reserved,
        has_groups=ranking.has_groups,
    )


def _result_of(ranking: RankingReport) -> DispatcherResult:
    if not ranking.has_groups:
        return DispatcherResult.NO_GROUPS
    if ranking.is_reserved:
        return DispatcherResult.RESERVED
    return DispatcherResult.ASSIGNED if ranking.best else DispatcherResult.NO_ROOM
