"""Reading keyed topics of the store, directly or through a relay node."""

from pomelolug.feeds._feed import FeedStatus, TopicFeed
from pomelolug.feeds._record_log import RecordLog
from pomelolug.feeds._source import (
    HistoryLostError,
    Record,
    RecordBatch,
    RecordSource,
    SourceUnavailableError,
)

__all__ = [
    "FeedStatus",
    "HistoryLostError",
    "Record",
    "RecordBatch",
    "RecordLog",
    "RecordSource",
    "SourceUnavailableError",
    "TopicFeed",
]
