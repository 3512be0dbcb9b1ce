"""What a node knows of the backend servers."""

from pomelolug.entry.servers._choice import (
    Candidate,
    GroupSelector,
)
from pomelolug.entry.servers._cold_servers import (
    ColdServers,
)
from pomelolug.entry.servers._evacuations import (
    EvacuatedZones,
    EvacuationChange,
)
from pomelolug.entry.servers._leaving_servers import (
    LeavingServers,
)
from pomelolug.entry.servers._rate_limiter import (
    RequestRateLimiter,
)
from pomelolug.entry.servers._recent_starts import (
    RecentStarts,
)
from pomelolug.entry.servers._request_bound import (
    BoundKind,
    BoundSource,
    RequestBound,
)
from pomelolug.entry.servers._server_contact import (
    ServerContact,
)
from pomelolug.entry.servers._server_limits import (
    ServerLimits,
)
from pomelolug.entry.servers._server_notices import (
    ServerNotices,
    ServerOptions,
    ServerWait,
    WaitCause,
)
from pomelolug.entry.servers._server_pauses import (
    ServerPauses,
)
from pomelolug.entry.servers._server_tracker import (
    HeadExclusion,
    ServedModel,
    ServerTracker,
)
from pomelolug.entry.servers._watch import (
    StallDetector,
)

__all__ = [
    "BoundKind",
    "BoundSource",
    "Candidate",
    "EvacuatedZones",
    "EvacuationChange",
    "ColdServers",
    "GroupSelector",
    "HeadExclusion",
    "LeavingServers",
    "RecentStarts",
    "RequestBound",
    "RequestRateLimiter",
    "ServerContact",
    "ServerLimits",
    "ServerNotices",
    "ServerOptions",
    "ServerPauses",
    "ServedModel",
    "ServerTracker",
    "ServerWait",
    "StallDetector",
    "WaitCause",
]
