"""Reading keyed topics of the store, directly or through a relay node."""

from pomelolug.feeds._feed import FeedStatus, TopicFeed
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
    "OFFSETS_PER_ERA",
    "FeedStatus",
    "HistoryLostError",
    "Record",
    "RecordBatch",
    "RecordLog",
    "RecordSource",
    "SourceUnavailableError",
    "StoreRestoredError",
    "TopicFeed",
    "era_of",
]
