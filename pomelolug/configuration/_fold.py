"""Fold of the configuration stream."""

import collections
import datetime

import cbor2
import msgspec

from pomelolug.configuration._document import Configuration
from pomelolug.configuration._parse import parse_document
from pomelolug.errors import ConfigurationError, ErrorCode
from pomelolug.messages import ConfigurationChange, decode
from pomelolug.state import Fold, Record, RecordKind, VoidRecordError

__all__ = ["CONFIG_STREAM", "ConfigurationFold", "ConfigurationVersion"]

CONFIG_STREAM = "config"
"""Name of the configuration stream."""
_MAX_HISTORY = 64
_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


class ConfigurationVersion(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata of a version that came into force.

    `timestamp` was assigned by the log, `base` is the version that was replaced.
    """

    version: int
    base: int
    author: str
    timestamp: datetime.datetime


class _Dump(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    document: str
    history: tuple[tuple[int, int, str, int], ...]


class ConfigurationFold(Fold):
    """Current configuration and the metadata of the last 64 versions.

    Implements optimistic concurrency control: the first valid change with a
    given base wins. A change is void if its base is not the current version or
    its document is invalid.
    """

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._document = ""
        self._history: collections.deque[ConfigurationVersion] = collections.deque(
            maxlen=_MAX_HISTORY
        )

    @property
    def current(self) -> Configuration | None:
        """Configuration in force, None if there is none yet."""
        return self._current

    @property
    def document(self) -> str:
        """Document in force, empty if there is none yet."""
        return self._document

    @property
    def version(self) -> int:
        """Version in force, -1 if there is none yet."""
        return -1 if self._current is None else self._current.version

    @property
    def history(self) -> tuple[ConfigurationVersion, ...]:
        """Latest versions, oldest first."""
        return tuple(self._history)

    def apply(self, record: Record) -> None:
        """Apply the next change.

        Raises
        ------
        VoidRecordError
            If the record is of another kind, the base is not the current
            version or the document is invalid.
        """
        if record.kind is not RecordKind.CONFIGURATION:
            raise VoidRecordError(
                ErrorCode.CONFIGURATION_INVALID,
                f"{record.kind.value} does not belong on this stream",
            )
        change = decode(record.body, ConfigurationChange)
        if change.base_version != self.version:
            raise VoidRecordError(
                ErrorCode.CONFIGURATION_RACED,
                f"base {change.base_version}, current {self.version}",
            )
        try:
            current = parse_document(change.document, version=record.offset)
        except ConfigurationError as error:
            raise VoidRecordError(error.code, str(error)) from error
        entry = ConfigurationVersion(
            version=record.offset,
            base=change.base_version,
            author=record.author,
            timestamp=record.timestamp,
        )
        self._current = current
        self._document = change.document
        self._history.append(entry)

    def dump(self) -> bytes:
        """Return the document and the history as deterministic CBOR."""
        entries = [
            (entry.version, entry.base, entry.author, _milliseconds(entry.timestamp))
            for entry in self._history
        ]
        return cbor2.dumps([self._document, entries], canonical=True)

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a checkpoint.

        Raises
        ------
        ValueError
            If `data` is not a dump of a configuration.
        """
        dump = msgspec.convert(cbor2.loads(data), type=_Dump)
        entries = [
            ConfigurationVersion(
                version=version,
                base=base,
                author=author,
                timestamp=_EPOCH + datetime.timedelta(milliseconds=timestamp_ms),
            )
            for version, base, author, timestamp_ms in dump.history
        ]
        current = None
        if entries:
            current = parse_document(dump.document, version=entries[-1].version)
        self._current = current
        self._document = dump.document
        self._history.clear()
        self._history.extend(entries)


def _milliseconds(timestamp: datetime.datetime) -> int:
    return round((timestamp - _EPOCH) / datetime.timedelta(milliseconds=1))
