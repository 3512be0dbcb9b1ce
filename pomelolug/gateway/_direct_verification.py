"""Verification of groups by the gateway while the control process is unavailable."""

import asyncio
import datetime

import structlog

from pomelolug.clock import Clock
from pomelolug.engines import EngineClient, EngineRefusedError, EngineUnavailableError
from pomelolug.gateway._routing_table_cache import RoutingTableCache
from pomelolug.messages import GroupStatus, RoutingTable

__all__ = ["run_direct_verification", "verify_groups"]

_log = structlog.get_logger()
_STATUS_TIMEOUT = datetime.timedelta(milliseconds=800)
_MAX_CONCURRENT_GROUPS = 32
_CHECK_INTERVAL = datetime.timedelta(seconds=1)
_SERVING = "serving"


async def run_direct_verification(
    engine: EngineClient,
    table_cache: RoutingTableCache,
    *,
    clock: Clock,
    lease: datetime.timedelta,
) -> None:
    """Verify the groups directly while the control process sends no table.

    Runs until cancelled.

    Parameters
    ----------
    engine : EngineClient
        Client of the engines.
    table_cache : RoutingTableCache
        Provides the latest table and publishes the newly verified groups.
    clock : Clock
        Source of monotonic time.
    lease : datetime.timedelta
        Age of a group's verification at which the group stops receiving requests.
        The control process counts as unavailable after half of this time without a
        table, so that the verifications do not expire before they are renewed here.
    """
    while True:
        await clock.sleep(_CHECK_INTERVAL)
        table = table_cache.table
        if table is not None and table_cache.age_s > lease.total_seconds() / 2:
            table_cache.publish(await verify_groups(engine, table, clock=clock))


async def verify_groups(
    engine: EngineClient, table: RoutingTable, *, clock: Clock
) -> RoutingTable:
    """Verify the serving groups of `table` by querying the status of their members.

    Parameters
    ----------
    engine : EngineClient
        Client of the engines.
    table : RoutingTable
        Latest table of the control process.
    clock : Clock
        Source of monotonic time.

    Returns
    -------
    RoutingTable
        Table with only those groups that were serving and whose members all confirm
        the group and its token. The age of a verification is measured from before the
        first status request. A group that was not serving is left out, because only
        the control process may open it.
    """
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT_GROUPS)
    serving = [
        group
        for group in table.groups
        if group.phase == _SERVING and len(group.addresses) == len(group.members)
    ]
    results = await asyncio.gather(
        *(_verify_group(engine, group, clock, semaphore) for group in serving)
    )
    confirmed = tuple(group for group in results if group is not None)
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
    engine: EngineClient, group: GroupStatus, clock: Clock, semaphore: asyncio.Semaphore
) -> GroupStatus | None:
    async with semaphore:
        started_at_s = clock.monotonic()
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
        verified_age_s=clock.monotonic() - started_at_s,
        capacity=group.capacity,
        load=members[0].running + members[0].waiting,
        straggler=group.straggler,
    )
