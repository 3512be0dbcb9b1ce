"""State of one stream across its runs."""

import asyncio

from pomelolug.deployment import BackendServer
from pomelolug.entry.requests._stream_run import ServerError, StreamRun
from pomelolug.entry.servers import ServerOptions
from pomelolug.errors import RequestError
from pomelolug.ids import VmId
from pomelolug.transport import ResponseHead

__all__ = ["StreamState"]


class StreamState:
    """State of one stream across its runs.

    `response_head` is the head of the response that the caller gets, once it has
    started. `possible_runs` counts the ended runs that may have run the request, and
    `run_servers` are the servers, or nodes that it was passed on to, of these runs.
    `repeats_at` is the server that alone may run it once more, whether or not a
    further one may. `move` looks for another group while the `current` run pauses, and
    leaves the run that has taken over in `replacement`. `server_error` is a whole
    error response that is passed on if nothing better arrives. `unreached_count`
    counts the servers to which no connection has opened in a row, and
    `has_unused_retry` tells whether the latest attempt has reached none. `is_refused`
    tells whether another node has decided that the request is not served. `options`
    are the heads among which the latest choice was made, if it found none.
    """

    __slots__ = (
        "attempt_count",
        "current",
        "error",
        "has_unused_retry",
        "is_refused",
        "last_event_id",
        "move",
        "options",
        "possible_runs",
        "repeats_at",
        "replacement",
        "response_head",
        "server_error",
        "run_servers",
        "tried",
        "tried_nodes",
        "unreached_count",
        "use_fresh_connection",
    )

    def __init__(self, last_event_id: int | None) -> None:
        self.last_event_id = last_event_id
        self.response_head: ResponseHead | None = None
        self.use_fresh_connection = False
        self.possible_runs = 0
        self.run_servers: set[VmId | str] = set()
        self.repeats_at: VmId | None = None
        self.attempt_count = 0
        self.tried: set[VmId] = set()
        self.tried_nodes: set[str] = set()
        self.unreached_count = 0
        self.has_unused_retry = False
        self.is_refused = False
        self.options: ServerOptions | None = None
        self.error: RequestError | None = None
        self.server_error: ServerError | None = None
        self.current: StreamRun | None = None
        self.move: asyncio.Task[None] | None = None
        self.replacement: StreamRun | None = None

    def count_run(self, target: BackendServer | str) -> None:
        """Count a run that has ended, and that may have run the request.

        Parameters
        ----------
        target : BackendServer or str
            Server of the run, or address of the node that it was passed on to.
        """
        self.possible_runs += 1
        self.run_servers.add(target.vm if isinstance(target, BackendServer) else target)

    @property
    def started(self) -> bool:
        """Whether the caller has got the head of a response."""
        return self.response_head is not None
