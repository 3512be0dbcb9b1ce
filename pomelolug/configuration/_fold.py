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

__all__ = ["CONFIG_STREAM", "ConfigurationEntry", "ConfigurationFold"]

CONFIG_STREAM = "config"
"""Name of the stream that holds the configuration."""
_KEPT_ENTRIES = 64
_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


class ConfigurationEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One version that came into force.

    `stamp` is the log's time of the change, `base` the version it replaced.
    """

    version: int
    base: int
    author: str
    stamp: datetime.datetime


class _Dump(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    text: str
    entries: tuple[tuple[int, int, str, int], ...]


class ConfigurationFold(Fold):
    """The current configuration and the last 64 versions.

    The first valid change on a base wins: a change is void if its base is not
    the current version, or if its document has a fault.
    """

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._text = ""
        self._entries: collections.deque[ConfigurationEntry] = collections.deque(
            maxlen=_KEPT_ENTRIES
        )

    @property
    def current(self) -> Configuration | None:
        """Configuration in force, None before the first."""
        return self._current

    @property
    def text(self) -> str:
        """Document in force, empty before the first."""
        return self._text

    @property
    def version(self) -> int:
        """Version in force, -1 before the first."""
        return -1 if self._current is None else self._current.version

    @property
    def entries(self) -> tuple[ConfigurationEntry, ...]:
        """The last versions, the current one at the end."""
        return tuple(self._entries)

    def apply(self, record: Record) -> None:
        """Apply the next change.

        Raises
        ------
        VoidRecordError
            If another kind of record is on the stream, the base is not current
            or the document has a fault.
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
        entry = ConfigurationEntry(
            version=record.offset,
            base=change.base_version,
            author=record.author,
            stamp=record.stamp,
        )
        self._current = current
        self._text = change.document
        self._entries.append(entry)

    def dump(self) -> bytes:
        """Return document and entries as deterministic CBOR."""
        entries = [
            (entry.version, entry.base, entry.author, _milliseconds(entry.stamp))
            for entry in self._entries
        ]
        return cbor2.dumps([self._text, entries], canonical=True)

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a checkpoint.

        Raises
        ------
        ValueError
            If `data` is not a dump of a configuration.
        """
        dump = msgspec.convert(cbor2.loads(data), type=_Dump)
        entries = [
            ConfigurationEntry(
                version=version,
                base=base,
                author=author,
                stamp=_EPOCH + datetime.timedelta(milliseconds=stamp),
            )
            for version, base, author, stamp in dump.entries
        ]
        current = None
        if entries:
            current = parse_document(dump.text, version=entries[-1].version)
        self._current = current
        self._text = dump.text
        self._entries.clear()
        self._entries.extend(entries)


def _milliseconds(stamp: datetime.datetime) -> int:
    return round((stamp - _EPOCH) / datetime.timedelta(milliseconds=1))
