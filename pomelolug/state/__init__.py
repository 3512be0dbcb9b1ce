"""Durable state: signed records on the platform's log, replayed into folds."""

from pomelolug.state._append import Appender
from pomelolug.state._envelope import SCHEMA_VERSION, decode_record, encode_record
from pomelolug.state._fold import Fold, Record, RecordKind, VoidRecordError
from pomelolug.state._keys import KeyRing
from pomelolug.state._publisher import CheckpointPublisher, publisher_rank
from pomelolug.state._reader import StreamReader
from pomelolug.state._reader_state import ReaderState
from pomelolug.state._refusal import RecordRefusedError, RefusalReason

__all__ = [
    "Appender",
    "CheckpointPublisher",
    "Fold",
    "KeyRing",
    "ReaderState",
    "Record",
    "RecordKind",
    "RecordRefusedError",
    "RefusalReason",
    "SCHEMA_VERSION",
    "StreamReader",
    "VoidRecordError",
    "decode_record",
    "encode_record",
    "publisher_rank",
]
