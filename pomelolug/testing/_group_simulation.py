"""Simulation of an engine fleet, its log, controllers and watchers."""

import asyncio
import dataclasses
import math
import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from pomelolug.clock import Clock
from pomelolug.configuration import Objective, Pool
from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.groups import (
    Group,
    GroupController,
    GroupLimits,
    GroupsFold,
    GroupWatcher,
)
from pomelolug.ids import DomainId, FencingToken, GroupId, ModelName, Offset
from pomelolug.infrastructure import VmEntry
from pomelolug.messages import GroupStatus, Message, encode
from pomelolug.state import Record, RecordKind, VoidRecordError
from pomelolug.testing._engine_fleet import FakeEngineFleet
from pomelolug.testing._fake_weight_store import FakeWeightStore

__all__ = ["ControlNode", "GroupSimulation"]

_READ_INTERVAL_S = 0.1


@dataclasses.dataclass(kw_only=True)
class ControlNode:
    """One control process of a `GroupSimulation`.

    `is_paused` stops its log reader and delays the next orders of its controller.
    `is_partitioned` disconnects it from the log.
    """

    name: str
    fold: GroupsFold
    controller: GroupController
    applied_count: int = 0
    last_full_read_s: float = -math.inf
    is_paused: bool = False
    is_partitioned: bool = False


class GroupSimulation:
    """Engine fleet, log, control nodes and a watcher per group in one event loop.

    Parameters
    ----------
    clock : Clock
        Virtual clock.
    pools : sequence of Pool
        Declared pools; may be replaced while the simulation runs.
    rate_bytes_per_s : float
        Total transfer rate of the weight store.
    sizes : dict
        Size of each model in bytes.
    limits : GroupLimits, optional
        Time limits of controllers and watchers.
    objective : Objective, optional
        Declared objective.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        pools: Sequence[Pool],
        rate_bytes_per_s: float,
        sizes: dict[str, int],
        limits: GroupLimits | None = None,
        objective: Objective = Objective.GROUP_DOWNTIME,
    ) -> None:
        self.clock = clock
        self.pools = list(pools)
        self.limits = limits or GroupLimits()
        self.objective = objective
        model_sizes = {ModelName(name): size for name, size in sizes.items()}
        self.store = FakeWeightStore(
            clock=clock, rate_bytes_per_s=rate_bytes_per_s, sizes=model_sizes
        )
        self.fleet = FakeEngineFleet(clock=clock, store=self.store)
        self.records: list[Record] = []
        self.nodes: list[ControlNode] = []
        self.statuses: dict[GroupId, GroupStatus] = {}
        self.status_history: list[tuple[float, GroupStatus]] = []
        self.counts: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()
        self.extra_entries: list[VmEntry] = []
        self._watchers: dict[FencingToken, asyncio.Task[None]] = {}
        self._tasks: list[asyncio.Task[Any]] = []

    def add_node(
        self,
        name: str,
        *,
        is_own_domain: Callable[[DomainId], bool] = lambda domain: True,
        **options: Any,
    ) -> ControlNode:
        """Add a control node; `options` are passed to its `GroupController`."""
        fold = GroupsFold()
        controller = GroupController(
            fold=fold,
            append=self.append,
            engine=self.fleet,
            weights=self.store,
            vm_entries=lambda: [*self.fleet.entries(), *self.extra_entries],
            pools=lambda: self.pools,
            is_own_domain=is_own_domain,
            objective=lambda: self.objective,
            statuses=lambda: self.statuses,
            last_full_read_s=lambda: node.last_full_read_s,
            clock=self.clock,
            random_state=random.Random(name),
            limits=self.limits,
            on_finding=lambda reason: self.counts.update([reason]),
            on_violation=lambda violation: self.violations.update([violation]),
            **options,
        )
        node = ControlNode(name=name, fold=fold, controller=controller)
        self.nodes.append(node)
        return node

    async def append(self, kind: RecordKind, message: Message) -> Offset:
        """Append a record as any node would."""
        if all(node.is_partitioned for node in self.nodes):
            raise PlatformError(ErrorCode.PLATFORM_UNAVAILABLE, "log is down")
        await asyncio.sleep(0.002)
        offset = Offset(len(self.records))
        self.records.append(
            Record(
                offset=offset,
                timestamp=self.clock.now(),
                kind=kind,
                author="node:test",
                nonce=offset.to_bytes(8),
                body=encode(message),
            )
        )
        return offset

    def read_log(self, node: ControlNode) -> None:
        """Apply the records that are new to `node` and update the time of its read."""
        for record in self.records[node.applied_count :]:
            try:
                node.fold.apply(record)
            except VoidRecordError:
                self.counts["void"] += 1
        node.applied_count = len(self.records)
        node.last_full_read_s = self.clock.monotonic()

    async def start(self) -> None:
        """Start the log readers, the controllers and the watchers."""
        for node in self.nodes:
            self._tasks.append(asyncio.create_task(self._run_log_reader(node)))
            self._tasks.append(asyncio.create_task(node.controller.run()))
        self._tasks.append(asyncio.create_task(self._run_watchers()))

    async def stop(self) -> None:
        """Cancel everything that `start` started."""
        tasks = [*self._tasks, *self._watchers.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_log_reader(self, node: ControlNode) -> None:
        while True:
            if not node.is_paused and not node.is_partitioned:
                self.read_log(node)
            await asyncio.sleep(_READ_INTERVAL_S)

    async def _run_watchers(self) -> None:
        """Run one watcher for each live group in the fold of the first node."""
        node = self.nodes[0]
        while True:
            live = {g.token: g for g in node.fold.groups.values()}
            for token in [t for t in self._watchers if t not in live]:
                self._watchers.pop(token).cancel()
            for name in [n for n in self.statuses if n not in node.fold.groups]:
                del self.statuses[name]
            for token, group in live.items():
                if token not in self._watchers:
                    watcher = self.create_watcher(group)
                    self._watchers[token] = asyncio.create_task(watcher.run())
            await asyncio.sleep(_READ_INTERVAL_S)

    def create_watcher(self, group: Group) -> GroupWatcher:
        """Create a watcher of `group` that publishes to `statuses`."""
        return GroupWatcher(
            engine=self.fleet,
            group=group,
            addresses={v.vm: v.address for v in self.fleet.vms.values()},
            clock=self.clock,
            publish=self._publish,
            limits=self.limits,
            is_draining=lambda: group.id in self.nodes[0].controller.draining,
            is_straggler=lambda: group.id in self.nodes[0].controller.stragglers,
            on_violation=lambda violation: self.violations.update([violation]),
        )

    def _publish(self, status: GroupStatus) -> None:
        previous = self.statuses.get(GroupId(status.group))
        if previous is not None and previous.token > status.token:
            return
        self.statuses[GroupId(status.group)] = status
        self.status_history.append((self.clock.monotonic(), status))

    def serving(self) -> list[GroupStatus]:
        """Return the status of each group that gateways may use now."""
        return [s for s in self.statuses.values() if s.phase == "serving"]
