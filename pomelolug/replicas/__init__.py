"""Formation and repair of replica groups by the active controller.

The active controller is the node that holds the controller lease. A replica group
is one model instance that runs on `group_size` VMs of one fabric domain.

A server is free if it may join a new group. Spares are free servers onto which
weights are loaded for repairs. Weights are staged if they are on the server's host.
A standby group has one spare as its only member, which keeps the weights of a model
in memory. The group is never opened, so its member is still free.
"""

from pomelolug.replicas._controller import ReplicaGroupController
from pomelolug.replicas._departures import Departures
from pomelolug.replicas._group_view import (
    GroupKey,
    GroupView,
    group_key,
    group_views,
)
from pomelolug.replicas._health import ServerHealth
from pomelolug.replicas._lease import ControllerElection, ControllerLease
from pomelolug.replicas._orders import GroupEventCallback
from pomelolug.replicas._plan import (
    FreeServer,
    NewGroup,
    needed_servers,
    plan_groups,
    plan_second_weights,
    plan_staging,
)

__all__ = [
    "ControllerElection",
    "ControllerLease",
    "Departures",
    "FreeServer",
    "GroupEventCallback",
    "GroupKey",
    "GroupView",
    "NewGroup",
    "ReplicaGroupController",
    "ServerHealth",
    "group_key",
    "group_views",
    "needed_servers",
    "plan_groups",
    "plan_second_weights",
    "plan_staging",
]
