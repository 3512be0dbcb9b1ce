"""Open groups of a service as the decisions on its groups take them."""

from collections.abc import Iterable

from pomelolug.deployment import EngineProfile, GroupState
from pomelolug.replicas._fleet import FleetView
from pomelolug.replicas._group_view import GroupView
from pomelolug.replicas._rebalance import OpenGroup
from pomelolug.replicas._teardown import GroupTeardown

__all__ = ["find_open_groups"]


def find_open_groups(
    views: Iterable[GroupView],
    engine: EngineProfile,
    fleet: FleetView,
    teardown: GroupTeardown,
) -> list[OpenGroup]:
    """Return the complete open groups whose members may all join other groups.

    Parameters
    ----------
    views : iterable of GroupView
        Groups of a service.
    engine : EngineProfile
        Models of the service.
    fleet : FleetView
        View of the servers.
    teardown : GroupTeardown
        Groups that are being torn down, which are left out.
    """
    groups = []
    for view in views:
        head, name = view.head, view.model
        model = None if name is None else engine.find_model(name)
        if (
            head is None
            or model is None
            or view.head_state is not GroupState.OPEN
            or len(view.members) != model.group_size
            or teardown.is_ending(view.key)
            or not all(map(fleet.may_join, view.members.values()))
        ):
            continue
        groups.append(
            OpenGroup(
                key=view.key,
                model=model.name,
                zone=head.zone,
                domain=head.domain,
                in_flight=fleet.in_flight(head.vm),
                members=tuple(map(fleet.as_free_server, view.members.values())),
            )
        )
    return groups
