"""Fakes and stand-ins for tests, the demo and the experiments."""

from pomelolug.testing._caller_wire import (
    CallerAnswer,
    caller_request,
    is_ready,
    read_answer,
)
from pomelolug.testing._clock import LoopClock
from pomelolug.testing._engine_fleet import FakeEngineFleet, FakeVm, MembershipChange
from pomelolug.testing._group_servers import GroupServers, SimulatedServer
from pomelolug.testing._group_world import ControlNode, GroupWorld
from pomelolug.testing._loopback_proxy import LinkFault, LoopbackProxy
from pomelolug.testing._memory_log import LogFaults, MemoryLog
from pomelolug.testing._sample_deployment import SampleDeployment, settings_text
from pomelolug.testing._scripted_server import ScriptedServer, ServedRequest
from pomelolug.testing._shared_store import FakeWeightStore
from pomelolug.testing._store_stand_in import StoreStandIn

__all__ = [
    "CallerAnswer",
    "ControlNode",
    "FakeEngineFleet",
    "FakeVm",
    "FakeWeightStore",
    "GroupServers",
    "GroupWorld",
    "LinkFault",
    "LogFaults",
    "LoopClock",
    "LoopbackProxy",
    "MembershipChange",
    "MemoryLog",
    "SampleDeployment",
    "ScriptedServer",
    "ServedRequest",
    "SimulatedServer",
    "StoreStandIn",
    "caller_request",
    "is_ready",
    "read_answer",
    "settings_text",
]
