"""Durable state: signed records on the platform's log and their folds."""

from pomelolug.state._fold import Fold, Record, RecordKind, VoidRecordError

__all__ = ["Fold", "Record", "RecordKind", "VoidRecordError"]
