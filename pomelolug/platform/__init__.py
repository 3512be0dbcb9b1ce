"""Adapter of the users' platform: names on the wire, formats and calls.

Decisions live elsewhere; nothing outside this package knows these names.
"""

from pomelolug.platform._declaration import decode_declaration
from pomelolug.platform._orders import ServerOrders
from pomelolug.platform._requests import (
    CallerHead,
    ServerReply,
    decode_caller_head,
    decode_server_reply,
    forwarded_headers,
    refusal_headers,
    response_headers,
)
from pomelolug.platform._servers import decode_server
from pomelolug.platform._settings import NodeSettings, load_settings
from pomelolug.platform._store import DutyLease, MetadataStore, StoreDutySource
from pomelolug.platform._streams import EventSplitter, StreamEvent
from pomelolug.platform._words import (
    KEY_DECLARATION,
    READY_PATH,
    SETTINGS_VARIABLE,
    TOPIC_DECLARATION,
    TOPIC_NODES,
    TOPIC_SERVERS,
)

__all__ = [
    "CallerHead",
    "DutyLease",
    "EventSplitter",
    "KEY_DECLARATION",
    "MetadataStore",
    "NodeSettings",
    "READY_PATH",
    "SETTINGS_VARIABLE",
    "ServerOrders",
    "ServerReply",
    "StoreDutySource",
    "StreamEvent",
    "TOPIC_DECLARATION",
    "TOPIC_NODES",
    "TOPIC_SERVERS",
    "decode_caller_head",
    "decode_declaration",
    "decode_server",
    "decode_server_reply",
    "forwarded_headers",
    "load_settings",
    "refusal_headers",
    "response_headers",
]
