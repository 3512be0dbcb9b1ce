"""Large values that change a little, sent as differences or compressed."""

import dataclasses
import random
import zlib

import msgspec
import pytest

from pomelolug.errors import PeerError
from pomelolug.feeds import (
    PackedValue,
    Record,
    RecordBatch,
    RecordLog,
    decompress,
    pack_value,
    unpack_value,
)
from pomelolug.ids import Offset

ROUTES = 2000
LINK_BYTES_PER_S = 20e6 / 8
"""Link of a small node, 20 Mbit/s."""
ZONE_NODES = 30
CHANGE_INTERVAL_S = 0.4


def make_value(version: int, count: int = ROUTES, **changes: object) -> bytes:
    rng = random.Random(1)
    routes = [
        {
            "name": f"r-{rng.getrandbits(40):x}",
            "path_prefix": f"/{rng.getrandbits(40):x}/",
            "host": f"h{rng.getrandbits(30):x}.example",
            "kind": "streaming",
            "timeout_ms": 6075,
            "split": [{"service": "s", "weight": 1}],
        }
        for _ in range(count)
    ]
    routes[count // 2] |= changes
    tenants = [{"name": "a", "api_keys": ["k", "l"]}]
    return msgspec.json.encode(
        {"version": version, "routes": routes, "tenants": tenants}
    )


def sent_bytes(packed: PackedValue) -> int:
    return len(packed.data) + 5 * len(packed.copies)


def test_differences_for_a_zone_fit_in_the_link_of_its_relay():
    # Guards against a declaration of thousands of routes, changed several times a
    # second, that a relay cannot send to all nodes of its zone before the next change.
    old, new = make_value(1), make_value(2, timeout_ms=100)
    packed = pack_value(new, base=old)
    assert unpack_value(packed, base=old) == new
    share = ZONE_NODES * sent_bytes(packed) / LINK_BYTES_PER_S / CHANGE_INTERVAL_S
    assert share < 0.1


def test_growth_by_thousands_of_routes_reaches_a_zone_within_a_second():
    # Guards against nodes that turn to the store because the new routes come too late.
    old, new = make_value(1, 250), make_value(2)
    packed = pack_value(new, base=old)
    assert unpack_value(packed, base=old) == new
    assert ZONE_NODES * sent_bytes(packed) / LINK_BYTES_PER_S < 1.5


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (b"", b""),
        (b"", b"{"),
        (b"{", b""),
        (b"{{{{", b"{{{"),
        (b"a" * 600 + b"{" + b"b" * 600, b"b" * 600 + b"{" + b"a" * 600),
        (b"a" * 600 + b"{c", b"{" + b"a" * 600 + b"{" + b"a" * 600 + b"{"),
        (make_value(1), make_value(2, 3)),
        (make_value(1, 3), make_value(2)),
        (make_value(2), b"\xff\x00" * 9000),
    ],
)
def test_any_value_is_the_same_after_packing(old, new):
    # Guards against a difference that is wrong for unusual values, such as an older
    # version that comes back, or one that is not JSON.
    assert unpack_value(pack_value(new, base=old), base=old) == new
    assert unpack_value(pack_value(new)) == new


OLD, NEW = make_value(1), make_value(2, timeout_ms=100)
PACKED = pack_value(NEW, base=OLD)


@pytest.mark.parametrize(
    "change",
    [
        {"data": PACKED.data[:-5]},
        {"data": b"x" + PACKED.data},
        {"data": b""},
        {"size": PACKED.size + 1},
        {"size": -1},
        {"size": 10**12},
        {"checksum": PACKED.checksum ^ 1},
        {"copies": PACKED.copies[:-1]},
        {"copies": (*PACKED.copies[:-1], 10**12)},
        {"copies": (-1, *PACKED.copies[1:])},
        {"copies": (PACKED.copies[0], 10**12, *PACKED.copies[2:])},
        {"copies": ()},
    ],
)
def test_corrupt_packed_value_is_refused(change):
    # Guards against a declaration with parts of another one, and against an error that
    # ends the reading of the topic.
    with pytest.raises(PeerError):
        unpack_value(dataclasses.replace(PACKED, **change), base=OLD)


def test_difference_to_another_value_is_refused():
    # Guards against a difference that is applied to a version it was not made for.
    with pytest.raises(PeerError):
        unpack_value(PACKED, base=make_value(1, ROUTES - 1))
    with pytest.raises(PeerError):
        unpack_value(PACKED, base=None)


def test_decompression_stops_at_the_limit():
    # Guards against a small message that takes the memory of the node.
    bomb = zlib.compress(bytes(64 * 1024 * 1024), 9)
    with pytest.raises(PeerError, match="more than 1000 bytes"):
        decompress(bomb, limit=1000)
    assert decompress(zlib.compress(bytes(1000)), limit=1000) == bytes(1000)


def make_batch(first: int, *values: bytes | None) -> RecordBatch:
    records = tuple(
        Record(Offset(first + number), "config", value)
        for number, value in enumerate(values)
    )
    return RecordBatch(records, Offset(first + len(values)))


def test_difference_is_to_the_record_that_the_reader_has():
    # Guards against a difference to the version before, which a reader that has missed
    # it cannot use.
    log = RecordLog()
    log.reset(make_batch(4, make_value(1)))
    log.extend(make_batch(5, make_value(2), make_value(3)))
    newest = log.newest("config")
    assert newest is not None
    for read_up_to, base in ((5, 4), (6, 5), (4, None), (None, None)):
        packed, base_offset = log.pack(newest, read_up_to=read_up_to)
        assert base_offset == base
        value = make_value(base - 3) if base is not None else None
        assert unpack_value(packed, base=value) == newest.value


def test_removed_value_is_no_base():
    # Guards against a difference to a value that the reader has removed.
    log = RecordLog()
    log.reset(make_batch(4, make_value(1)))
    log.extend(make_batch(5, None, make_value(3)))
    newest = log.newest("config")
    assert newest is not None
    assert log.pack(newest, read_up_to=Offset(6))[1] is None


async def test_log_of_large_records_is_bounded():
    # Guards against a node that keeps thousands of versions of a large declaration and
    # is ended for its memory.
    log = RecordLog()
    log.reset(make_batch(0, b"x" * 1_000_000))
    for number in range(1, 100):
        log.extend(make_batch(number, b"%d" % number * 500_000))
    assert sum(len(record.value or b"") for record in log._recent) < 10_000_000
    assert log.newest("config").offset == 99
