"""Conversion of formation proposals to log records."""

from pomelolug.groups._policy import FormProposal
from pomelolug.ids import Offset
from pomelolug.messages import Formation, GroupMember

__all__ = ["formation_record"]


def formation_record(proposal: FormProposal, base: Offset) -> Formation:
    """Return the record of a proposal based on the state at offset `base`."""
    pool = proposal.pool
    return Formation(
        group=proposal.group,
        pool=pool.name,
        model=pool.model,
        version=pool.version,
        members=tuple(
            GroupMember(vm=m.vm, incarnation=m.incarnation) for m in proposal.members
        ),
        zone=proposal.zone,
        domain=proposal.domain,
        base=base,
        replaces=proposal.replaces,
        adapters=pool.adapters,
        role=pool.role,
    )
