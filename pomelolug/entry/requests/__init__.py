"""Way of a caller's request through a node."""

from pomelolug.entry.requests._application import (
    RequestHandler,
)
from pomelolug.entry.requests._attempt import (
    AttemptError,
    RunStatus,
)
from pomelolug.entry.requests._group_chooser import (
    GroupChooser,
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
)
from pomelolug.entry.requests._request_exits import (
    RequestExits,
)
from pomelolug.entry.requests._stream import (
    StreamForwarder,
)

__all__ = [
    "AttemptError",
    "ForwardedRequest",
    "GroupChooser",
    "PeerAttempt",
    "PeerRefusalError",
    "PlainForwarder",
    "PlainServerChooser",
    "RequestContext",
    "RequestExits",
    "RequestHandler",
    "RetryLimiter",
    "RunStatus",
    "StreamForwarder",
    "decode_forwarded",
    "decode_outcome",
    "encode_forwarded",
    "encode_outcome",
]
