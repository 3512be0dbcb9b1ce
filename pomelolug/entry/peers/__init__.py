"""What a node knows of the other entry VMs and of the store."""

from pomelolug.entry.peers._dispatchers import MIN_ZONE_NODES, find_dispatchers
from pomelolug.entry.peers._exit_nodes import (
    order_forwarding_addresses,
    sample_other_exits,
    sample_zone_exits,
)
from pomelolug.entry.peers._peer_coordinator import (
    DECLARATION_PATH,
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
    serve_records,
)
from pomelolug.entry.peers._store_contact import (
    StoreContact,
)

__all__ = [
    "MIN_ZONE_NODES",
    "DECLARATION_PATH",
    "PeerCoordinator",
    "PeerGossip",
    "RECORDS_PATH",
    "RelaySource",
    "find_dispatchers",
    "StoreContact",
    "is_lease_held_by_peer",
    "is_longest_running_relay",
    "order_forwarding_addresses",
    "sample_other_exits",
    "sample_zone_exits",
    "serve_records",
    "store_retry_delay",
]
