"""Metrics of the peer connections."""

from prometheus_client import Counter

__all__ = ["BYTES", "DIALS", "DROPPED", "HANDLER_ERRORS", "REFUSALS", "RELAYED"]

REFUSALS = Counter(
    "pomelolug_peer_refusals",
    "Connections and messages refused, by error code or reason.",
    ["reason"],
)
DROPPED = Counter(
    "pomelolug_peer_dropped",
    "Messages not sent: replaced by a newer status, overflow or no route.",
    ["reason"],
)
BYTES = Counter(
    "pomelolug_peer_bytes", "Message payload on peer connections.", ["direction"]
)
DIALS = Counter("pomelolug_peer_dials", "Dialled connections, by result.", ["result"])
RELAYED = Counter(
    "pomelolug_peer_relayed", "Relayed messages, by what became of them.", ["result"]
)
HANDLER_ERRORS = Counter(
    "pomelolug_peer_handler_errors", "Message handlers that raised.", ["kind"]
)
