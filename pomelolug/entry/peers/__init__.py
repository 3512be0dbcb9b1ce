"""What a node knows of the other entry VMs and of the store."""

from pomelolug.entry.peers._declaration_fetch import (
    COMPRESSED_FIELD,
    DECLARATION_PATH,
    accepts_compressed,
    fetch_declaration,
)
from pomelolug.entry.peers._dispatchers import MIN_ZONE_NODES, find_dispatchers
from pomelolug.entry.peers._exit_nodes import (
    order_forwarding_addresses,
    sample_other_exits,
    sample_zone_exits,
)
from pomelolug.entry.peers._peer_coordinator import (
    PeerCoordinator,
    is_lease_held_by_peer,
    is_longest_running_relay,
    store_retry_delay,
)
from pomelolug.entry.peers._peer_gossip import (
    PeerGossip,
)
from pomelolug.entry.peers._relay import (
    RECORDS_PATH,
    RelaySource,
    longest_wait_within,
    serve_records,
)
from pomelolug.entry.peers._store_contact import (
    StoreContact,
)

__all__ = [
    "COMPRESSED_FIELD",
    "MIN_ZONE_NODES",
    "DECLARATION_PATH",
    "PeerCoordinator",
    "PeerGossip",
    "RECORDS_PATH",
    "RelaySource",
    "accepts_compressed",
    "fetch_declaration",
    "find_dispatchers",
    "StoreContact",
    "is_lease_held_by_peer",
    "is_longest_running_relay",
    "longest_wait_within",
    "order_forwarding_addresses",
    "sample_other_exits",
    "sample_zone_exits",
    "serve_records",
    "store_retry_delay",
]
