"""Reading keyed topics of the store, directly or through a relay node."""

from pomelolug.feeds._feed import FeedStatus, TopicFeed
from pomelolug.feeds._packing import (
    MAX_VALUE_BYTES,
    PackedValue,
    compress,
    decompress,
    pack_value,
    unpack_value,
)
from pomelolug.feeds._record_log import RecordLog
from pomelolug.feeds._source import (
    OFFSETS_PER_ERA,
    HistoryLostError,
    Record,
    RecordBatch,
    RecordSource,
    SourceUnavailableError,
    StoreRestoredError,
    era_of,
)

__all__ = [
    "MAX_VALUE_BYTES",
    "OFFSETS_PER_ERA",
    "FeedStatus",
    "HistoryLostError",
    "PackedValue",
    "Record",
    "RecordBatch",
    "RecordLog",
    "RecordSource",
    "SourceUnavailableError",
    "StoreRestoredError",
    "TopicFeed",
    "compress",
    "decompress",
    "era_of",
    "pack_value",
    "unpack_value",
]
