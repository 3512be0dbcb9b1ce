"""Messages between entry processes on the users' platform.

Generated from schema/messages/entry.toml.
"""

from pomelolug.messages._codec import Message

__all__ = ["NodeStatus"]


class NodeStatus(Message, frozen=True, kw_only=True):
    """What a node tells its peers, several times a second, in one datagram."""

    node: str
    """Name of the node."""
    started_ms: int
    """Unix time of the process start in milliseconds."""
    serial: int
    """Number of the message; a lower one arrived late."""
    zone: str
    """Availability zone of the node."""
    address: str
    """Address at which peers fetch the declaration."""
    datagram: str
    """Address for these messages."""
    declaration: int
    """Version in force, -1 before the first one."""
    serving: bool = False
    """Whether a caller has sent a request."""
    stopping: bool = False
    """Whether the node is about to stop."""
    load: dict[str, int] = {}
    """Requests in flight by server."""
    suspects: tuple[str, ...] = ()
    """Heads whose streams stand still."""
    peers: tuple[str, ...] = ()
    """Datagram addresses of some other nodes."""
