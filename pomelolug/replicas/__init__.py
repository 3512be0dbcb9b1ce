"""Formation and repair of replica groups by the node that holds the duty."""

from pomelolug.replicas._controller import GroupController
from pomelolug.replicas._departures import Departures
from pomelolug.replicas._desk import GroupEvent
from pomelolug.replicas._duty import DutyHolder, DutySource
from pomelolug.replicas._health import ServerHealth
from pomelolug.replicas._plan import (
    FreeServer,
    NewGroup,
    needed_servers,
    plan_groups,
    plan_second_weights,
    plan_staging,
)
from pomelolug.replicas._view import GroupKey, GroupView, group_views

__all__ = [
    "Departures",
    "DutyHolder",
    "DutySource",
    "FreeServer",
    "GroupController",
    "GroupEvent",
    "GroupKey",
    "GroupView",
    "NewGroup",
    "ServerHealth",
    "group_views",
    "needed_servers",
    "plan_groups",
    "plan_second_weights",
    "plan_staging",
]
