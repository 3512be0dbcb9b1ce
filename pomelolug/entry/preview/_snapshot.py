"""What a node knows at one moment, to be asked without a change of the node."""

import copy
import dataclasses
import random
from collections.abc import Callable

from pomelolug.entry.performance import LearnedDelayEstimator
from pomelolug.entry.requests import RequestExits
from pomelolug.entry.servers import GroupSelector, ServerNotices, ServerTracker

__all__ = ["KnownState"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KnownState:
    """Parts of a node that decide where a request goes.

    Parameters
    ----------
    notices : ServerNotices
        What servers state about the requests that they take.
    server_tracker : ServerTracker
        Servers and their load.
    delay_estimator : LearnedDelayEstimator
        Expected delays and limits.
    group_selector : GroupSelector
        Selects a group if no dispatcher does.
    exits : RequestExits
        Other nodes that get requests if this one reaches no server.
    list_exits : callable
        Returns the addresses of these nodes in an order drawn from given numbers.
    rng : random.Random
        Draws of the node.
    """

    notices: ServerNotices
    server_tracker: ServerTracker
    delay_estimator: LearnedDelayEstimator
    group_selector: GroupSelector
    exits: RequestExits
    list_exits: Callable[[random.Random], list[str]]
    rng: random.Random

    def snapshot(self) -> "KnownState":
        """Return a copy that draws the numbers that this node would draw next."""
        rng = copy.copy(self.rng)
        notices = self.notices.snapshot(rng)
        return KnownState(
            notices=notices,
            server_tracker=self.server_tracker.snapshot(notices),
            delay_estimator=self.delay_estimator.snapshot(),
            group_selector=self.group_selector.snapshot(rng),
            exits=self.exits.snapshot(
                list_addresses=lambda: self.list_exits(rng), rng=rng
            ),
            list_exits=self.list_exits,
            rng=rng,
        )
