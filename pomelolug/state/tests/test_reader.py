"""Guards against readers that disagree, revert, or trust a damaged log."""

import pytest

from pomelolug.messages import RecordsRequest
from pomelolug.state import ReaderState, RecordKind
from pomelolug.state.tests.bench import applied, running, settle

pytestmark = pytest.mark.looptime


async def test_records_reach_a_following_reader_in_order(bench):
    reader = bench.reader()
    async with running(reader):
        await settle(reader, ReaderState.FOLLOWING)
        bench.put(3, 1, 2)
        await applied(reader, 2)
    assert reader.fold.numbers == [3, 1, 2]


async def test_append_is_read_back_at_its_offset(bench):
    reader = bench.reader()
    async with running(reader):
        offset = await bench.appender().append(
            "groups", RecordKind.FORMATION, RecordsRequest(stream="", from_offset=5)
        )
        await applied(reader, offset)
    assert reader.fold.numbers == [5]
