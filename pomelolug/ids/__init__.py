"""Identifier types.

Each identifier is a `typing.NewType`: it has no cost at run time, and the type
checker rejects one kind of identifier where another is expected.
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
"""Name of a work class."""
DomainId = NewType("DomainId", str)
"""Identifier of a fabric domain."""
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
"""Log offset of the record that formed a group; the higher token is the newer one."""
Incarnation = NewType("Incarnation", int)
"""Number that increases when a process restarts or refutes a suspicion."""
Offset = NewType("Offset", int)
"""Zero-based position of a record in a log stream."""
