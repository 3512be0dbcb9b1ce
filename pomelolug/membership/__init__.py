"""Cluster membership: peer connections, failure detection."""

from pomelolug.membership._connection import Connection, open_connection
from pomelolug.membership._handshake import PROTOCOL, Identity, Role, handshake
from pomelolug.membership._keys import PeerKeyRing, Side
from pomelolug.membership._memory_network import (
    MemoryNetwork,
    MemoryTransport,
    PausableClock,
)
from pomelolug.membership._mesh import Mesh
from pomelolug.membership._server import HttpReply, PeerServer
from pomelolug.membership._table import (
    NodeInfo,
    NodeState,
    first_incarnation,
    process_generation,
)
from pomelolug.membership._transport import (
    Dialer,
    Transport,
    WebsocketDialer,
    WebsocketTransport,
)

__all__ = [
    "PROTOCOL",
    "Connection",
    "Dialer",
    "HttpReply",
    "Identity",
    "PeerKeyRing",
    "MemoryNetwork",
    "MemoryTransport",
    "Mesh",
    "NodeInfo",
    "NodeState",
    "PausableClock",
    "PeerServer",
    "Role",
    "Side",
    "Transport",
    "WebsocketDialer",
    "WebsocketTransport",
    "first_incarnation",
    "handshake",
    "open_connection",
    "process_generation",
]
