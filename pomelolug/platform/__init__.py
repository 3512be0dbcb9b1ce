"""Adapter to the users' platform: its wire names, formats and calls.

The package makes no decisions of its own, and no production code outside it
uses these names.
"""

from pomelolug.platform._declaration import DeclarationDecoder, decode_declaration
from pomelolug.platform._evacuations import decode_evacuated_zone, evacuation_key
from pomelolug.platform._headers import (
    RequestHead,
    ServerReply,
    decode_request_head,
    decode_retry_after,
    decode_server_reply,
    find_forwarded_field,
    find_outcome_field,
    forwarded_headers,
    implies_not_run,
    outcome_headers,
    peer_headers,
    refusal_headers,
    response_headers,
)
from pomelolug.platform._server_control import HttpServerControl, ProbeResult
from pomelolug.platform._servers import decode_server
from pomelolug.platform._settings import NodeSettings, load_settings
from pomelolug.platform._store import (
    MetadataStore,
    PartitionAssignment,
    StoreControllerElection,
)
from pomelolug.platform._streams import (
    EventSplitter,
    ServerSentEvent,
    continues_stream,
)
from pomelolug.platform._wire_names import (
    KEY_DECLARATION,
    READY_PATH,
    SETTINGS_VARIABLE,
    TOPIC_DECLARATION,
    TOPIC_LOSSES,
    TOPIC_NODES,
    TOPIC_SERVERS,
)

__all__ = [
    "DeclarationDecoder",
    "EventSplitter",
    "HttpServerControl",
    "ProbeResult",
    "KEY_DECLARATION",
    "MetadataStore",
    "NodeSettings",
    "PartitionAssignment",
    "READY_PATH",
    "RequestHead",
    "SETTINGS_VARIABLE",
    "ServerReply",
    "ServerSentEvent",
    "StoreControllerElection",
    "TOPIC_DECLARATION",
    "TOPIC_LOSSES",
    "TOPIC_NODES",
    "TOPIC_SERVERS",
    "continues_stream",
    "decode_declaration",
    "decode_evacuated_zone",
    "decode_request_head",
    "decode_retry_after",
    "decode_server",
    "decode_server_reply",
    "evacuation_key",
    "find_forwarded_field",
    "find_outcome_field",
    "implies_not_run",
    "forwarded_headers",
    "load_settings",
    "outcome_headers",
    "peer_headers",
    "refusal_headers",
    "response_headers",
]
