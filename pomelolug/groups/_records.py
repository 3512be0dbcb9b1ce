"""Records that state a proposal."""

from pomelolug.groups._policy import FormProposal
from pomelolug.ids import Offset
from pomelolug.messages import Formation, GroupMember

__all__ = ["formation_record"]


def formation_record(proposal: FormProposal, base: Offset) -> Formation:
    """Return the record for a proposal made from the fold up to `base`."""
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
