"""Identifier types.

They cost nothing at run time and keep the type checker from accepting one
identifier in the place of another.
"""

from typing import NewType

__all__ = [
    "AccountId",
    "WorkClassName",
    "DomainId",
    "FencingToken",
    "GroupId",
    "Incarnation",
    "ModelName",
    "NodeId",
    "Offset",
    "PoolId",
    "RegionId",
    "RequestId",
    "ServiceName",
    "VmId",
    "ZoneId",
]

AccountId = NewType("AccountId", str)
WorkClassName = NewType("WorkClassName", str)
DomainId = NewType("DomainId", str)
GroupId = NewType("GroupId", str)
ModelName = NewType("ModelName", str)
NodeId = NewType("NodeId", str)
PoolId = NewType("PoolId", str)
RegionId = NewType("RegionId", str)
RequestId = NewType("RequestId", str)
ServiceName = NewType("ServiceName", str)
VmId = NewType("VmId", str)
ZoneId = NewType("ZoneId", str)

FencingToken = NewType("FencingToken", int)
"""Log offset of the record that formed a group; a higher one supersedes."""
Incarnation = NewType("Incarnation", int)
"""Number that a process raises each time it starts or refutes a suspicion."""
Offset = NewType("Offset", int)
"""Position of a record in a log stream, counted from 0."""
