"""Way of a caller's request through a node."""

from pomelolug.entry.requests._application import (
    RequestHandler,
)
from pomelolug.entry.requests._attempt import (
    AttemptError,
    RunStatus,
)
from pomelolug.entry.requests._group_chooser import (
    GroupAssessment,
    GroupChooser,
    SelectedServer,
    engine_and_model,
)
from pomelolug.entry.requests._peer_forwarding import (
    ForwardedRequest,
    PeerAttempt,
    PeerRefusalError,
    decode_forwarded,
    decode_outcome,
    encode_forwarded,
    encode_outcome,
)
from pomelolug.entry.requests._plain import (
    PlainForwarder,
)
from pomelolug.entry.requests._plain_chooser import (
    PlainServerChooser,
)
from pomelolug.entry.requests._repeats import (
    RetryLimiter,
)
from pomelolug.entry.requests._request_context import (
    RequestContext,
    RoutedRequest,
    not_run_error,
)
from pomelolug.entry.requests._request_exits import (
    RequestExits,
)
from pomelolug.entry.requests._request_record import (
    GroupChoice,
)
from pomelolug.entry.requests._resolution import (
    authenticate,
    find_route,
    select_service,
    timeout_of,
    urgency_of,
)
from pomelolug.entry.requests._stream import (
    StreamForwarder,
)
from pomelolug.entry.requests._stream_decisions import (
    may_pass_stream_on,
    no_head_error,
)
from pomelolug.entry.requests._stream_servers import (
    GroupServers,
    PlainServers,
)

__all__ = [
    "AttemptError",
    "ForwardedRequest",
    "GroupAssessment",
    "GroupChoice",
    "GroupChooser",
    "GroupServers",
    "PeerAttempt",
    "PeerRefusalError",
    "PlainForwarder",
    "PlainServerChooser",
    "PlainServers",
    "RequestContext",
    "RequestExits",
    "RequestHandler",
    "RetryLimiter",
    "RoutedRequest",
    "RunStatus",
    "SelectedServer",
    "StreamForwarder",
    "authenticate",
    "decode_forwarded",
    "decode_outcome",
    "encode_forwarded",
    "encode_outcome",
    "engine_and_model",
    "find_route",
    "may_pass_stream_on",
    "no_head_error",
    "not_run_error",
    "select_service",
    "timeout_of",
    "urgency_of",
]
