"""Packing of large values: compressed, alone or as difference to an earlier value."""

import dataclasses
import itertools
import zlib
from collections.abc import Iterator

from pomelolug.errors import ErrorCode, PeerError

__all__ = [
    "MAX_VALUE_BYTES",
    "PackedValue",
    "compress",
    "decompress",
    "pack_value",
    "unpack_value",
]

MAX_VALUE_BYTES = 16 * 1024 * 1024
"""Largest value that is unpacked."""
_SEPARATOR = b"{"
"""Values are JSON; its objects are the parts that a difference keeps or replaces."""
_MIN_COPY_BYTES = 512
"""Shorter parts of the earlier value take less room compressed than as copies."""
_COMPRESSION_LEVEL = 1
"""A higher level saves a tenth of the bytes for several times the processor time."""


@dataclasses.dataclass(frozen=True, slots=True)
class PackedValue:
    """A value, compressed, or its difference to an earlier value.

    Parameters
    ----------
    data : bytes
        The new parts of the value, joined and compressed; without copies all of it.
    size : int
        Size of the value in bytes.
    checksum : int
        CRC-32 of the value.
    copies : tuple of int
        Three numbers for each part of the earlier value: the bytes of new parts before
        it, its start in the earlier value, and its length.
    """

    data: bytes
    size: int
    checksum: int
    copies: tuple[int, ...] = ()


def pack_value(value: bytes, *, base: bytes | None = None) -> PackedValue:
    """Return a value compressed, or as its difference to `base`."""
    copies: list[int] = []
    new_parts: list[bytes] = []
    new_start = 0
    for start, base_start, length in _find_copies(value, base or b""):
        copies += [start - new_start, base_start, length]
        new_parts.append(value[new_start:start])
        new_start = start + length
    new_parts.append(value[new_start:])
    data = compress(b"".join(new_parts))
    return PackedValue(data, len(value), zlib.crc32(value), tuple(copies))


def unpack_value(packed: PackedValue, *, base: bytes | None = None) -> bytes:
    """Return the value that was packed.

    Raises
    ------
    PeerError
        If the value is too large, or if the data is corrupt or does not belong to
        `base`.
    """
    copies = list(zip(*(iter(packed.copies),) * 3, strict=False))
    copied_bytes = sum(length for _, _, length in copies)
    new_bytes = packed.size - copied_bytes
    if packed.size > MAX_VALUE_BYTES:
        raise _corrupt(f"{packed.size} bytes exceed the limit of {MAX_VALUE_BYTES}")
    if len(packed.copies) % 3 or min(packed.copies, default=0) < 0 or new_bytes < 0:
        raise _corrupt("the copies are invalid")
    new = decompress(packed.data, limit=new_bytes)
    parts: list[bytes] = []
    position = 0
    for length_before, base_start, length in copies:
        parts.append(new[position : position + length_before])
        parts.append((base or b"")[base_start : base_start + length])
        position += length_before
    parts.append(new[position:])
    value = b"".join(parts)
    if len(value) != packed.size or zlib.crc32(value) != packed.checksum:
        raise _corrupt("the checksum does not match")
    return value


def compress(data: bytes) -> bytes:
    """Return data in the zlib format."""
    return zlib.compress(data, _COMPRESSION_LEVEL)


def decompress(data: bytes, *, limit: int) -> bytes:
    """Return data that was compressed in the zlib format.

    Raises
    ------
    PeerError
        If the result exceeds `limit` bytes, or if the data is corrupt.
    """
    decompressor = zlib.decompressobj()
    try:
        # At most one byte more than the limit is decompressed.
        result = decompressor.decompress(data, limit + 1)
    except zlib.error as error:
        raise _corrupt(str(error)) from error
    if len(result) > limit:
        raise _corrupt(f"more than {limit} bytes")
    if not decompressor.eof:
        raise _corrupt("the compressed data is incomplete")
    return result


def _find_copies(value: bytes, base: bytes) -> Iterator[tuple[int, int, int]]:
    """Yield start in `value`, start in `base` and length of parts that both have."""
    base_parts = base.split(_SEPARATOR)
    base_starts = _part_starts(base_parts)
    # The part after the last separator is short and always sent.
    base_parts.pop()
    number_by_part = {part: number for number, part in enumerate(base_parts)}
    parts = value.split(_SEPARATOR)
    starts = _part_starts(parts)
    number, count = 0, len(parts) - 1
    while number < count:
        first = number
        base_first = base_number = number_by_part.get(parts[number], -1)
        if base_number < 0:
            number += 1
            continue
        while (
            number < count
            and base_number < len(base_parts)
            and parts[number] == base_parts[base_number]
        ):
            number += 1
            base_number += 1
        length = starts[number] - starts[first]
        if length >= _MIN_COPY_BYTES:
            yield starts[first], base_starts[base_first], length


def _part_starts(parts: list[bytes]) -> list[int]:
    lengths = (len(part) + len(_SEPARATOR) for part in parts)
    return list(itertools.accumulate(lengths, initial=0))


def _corrupt(reason: str) -> PeerError:
    return PeerError(ErrorCode.PEER_PROTOCOL, f"packed value refused: {reason}")
