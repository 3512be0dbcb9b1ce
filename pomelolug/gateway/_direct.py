"""Verification of groups by the gateway itself while control is away."""

import asyncio
import datetime

import structlog

from pomelolug.clock import Clock
from pomelolug.engines import EngineClient, EngineRefusedError, EngineUnavailableError
from pomelolug.gateway._table import TableHolder
from pomelolug.messages import GroupStatus, RoutingTable

__all__ = ["keep_verified", "verify_directly"]

_log = structlog.get_logger()
_STATUS_TIMEOUT = datetime.timedelta(milliseconds=800)
_MAX_CONCURRENT = 32
_PERIOD = datetime.timedelta(seconds=1)
_SERVING = "serving"


async def keep_verified(
    engine: EngineClient,
    holder: TableHolder,
    *,
    clock: Clock,
    lease: datetime.timedelta,
) -> None:
    """Verify the groups directly for as long as control sends no table.

    Parameters
    ----------
    engine : EngineClient
        Adapter of the engines.
    holder : TableHolder
        Last table of the control process.
    clock : Clock
        Time source.
    lease : datetime.timedelta
        Control counts as away after half of it without a table, so that the
        groups' verifications do not lapse in between.
    """
    while True:
        await clock.sleep(_PERIOD)
        table = holder.table
        if table is not None and holder.age_s > lease.total_seconds() / 2:
            holder.pass_on(await verify_directly(engine, table, clock=clock))


async def verify_directly(
    engine: EngineClient, table: RoutingTable, *, clock: Clock
) -> RoutingTable:
    """Return `table` with each serving group verified by reading its members.

    Parameters
    ----------
    engine : EngineClient
        Adapter of the engines.
    table : RoutingTable
        Last table of the control process.
    clock : Clock
        Time source.

    Returns
    -------
    RoutingTable
        Only groups that were serving and whose members all confirm group and
        token; their age counts from before the first request was sent. A group
        that was not serving stays out: only control may open it.
    """
    limit = asyncio.Semaphore(_MAX_CONCURRENT)
    serving = [
        group
        for group in table.groups
        if group.phase == _SERVING and len(group.addresses) == len(group.members)
    ]
    checked = await asyncio.gather(
        *(_verify_group(engine, group, clock, limit) for group in serving)
    )
    confirmed = tuple(group for group in checked if group is not None)
    _log.info("groups_verified_directly", asked=len(serving), confirmed=len(confirmed))
    return RoutingTable(
        config_version=table.config_version,
        config=b"",
        groups=confirmed,
        services=table.services,
        nodes_alive=table.nodes_alive,
        condemned=table.condemned,
    )


async def _verify_group(
    engine: EngineClient, group: GroupStatus, clock: Clock, limit: asyncio.Semaphore
) -> GroupStatus | None:
    async with limit:
        before = clock.monotonic()
        try:
            members = await asyncio.gather(
                *(
                    engine.fetch_status(address, timeout=_STATUS_TIMEOUT)
                    for address in group.addresses
                )
            )
        except (EngineUnavailableError, EngineRefusedError):
            return None
    for vm, member in zip(group.members, members, strict=True):
        if (member.vm, member.group, member.token) != (vm, group.group, group.token):
            return None
        if not member.ready or member.leaving:
            return None
    return GroupStatus(
        group=group.group,
        pool=group.pool,
        model=group.model,
        zone=group.zone,
        domain=group.domain,
        token=group.token,
        phase=_SERVING,
        leader=group.leader,
        members=group.members,
        addresses=group.addresses,
        verified_age_s=clock.monotonic() - before,
        capacity=group.capacity,
        load=members[0].running + members[0].waiting,
        straggler=group.straggler,
    )
