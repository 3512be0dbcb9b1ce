"""Fakes and simulated servers for tests, the demo and the experiments."""

from pomelolug.testing._caller_http import (
    CallerResponse,
    encode_caller_request,
    is_ready,
    read_response,
)
from pomelolug.testing._clock import LoopClock
from pomelolug.testing._engine_fleet import FakeEngineFleet, FakeVm, MembershipChange
from pomelolug.testing._fake_weight_store import FakeWeightStore
from pomelolug.testing._group_server_app import (
    CRASH_PATH_PART,
    CRASHING_PROMPT_PART,
)
from pomelolug.testing._group_servers import GroupServers, SimulatedServer
from pomelolug.testing._group_simulation import ControlNode, GroupSimulation
from pomelolug.testing._large_declaration import encode_large_declaration
from pomelolug.testing._loopback_prefix import reserve_loopback_prefix
from pomelolug.testing._loopback_proxy import LinkCut, LinkFault, LoopbackProxy
from pomelolug.testing._memory_log import LogFaults, MemoryLog
from pomelolug.testing._process_connections import ProcessConnections
from pomelolug.testing._running_stopwatch import RunningStopwatch
from pomelolug.testing._sample_deployment import (
    COLD_ACCEPTED_FACTOR,
    COLD_EXCESS_REQUESTS,
    EVACUATION_TIME_S,
    SampleDeployment,
    format_entry_settings,
)
from pomelolug.testing._scripted_server import ReceivedRequest, ScriptedServer
from pomelolug.testing._store_stand_in import FakeMetadataStore

__all__ = [
    "COLD_ACCEPTED_FACTOR",
    "COLD_EXCESS_REQUESTS",
    "CRASHING_PROMPT_PART",
    "CRASH_PATH_PART",
    "CallerResponse",
    "ControlNode",
    "EVACUATION_TIME_S",
    "FakeEngineFleet",
    "FakeMetadataStore",
    "FakeVm",
    "FakeWeightStore",
    "GroupServers",
    "GroupSimulation",
    "LinkCut",
    "LinkFault",
    "LogFaults",
    "LoopClock",
    "LoopbackProxy",
    "MembershipChange",
    "MemoryLog",
    "ProcessConnections",
    "ReceivedRequest",
    "RunningStopwatch",
    "SampleDeployment",
    "ScriptedServer",
    "SimulatedServer",
    "encode_caller_request",
    "encode_large_declaration",
    "format_entry_settings",
    "is_ready",
    "read_response",
    "reserve_loopback_prefix",
]
