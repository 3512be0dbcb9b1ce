"""Which limit of a server holds, given its responses."""

import asyncio

import pytest

from pomelolug.entry._server_limits import ServerLimits
from pomelolug.ids import VmId
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
SERVER = VmId("s1")


async def test_limit_holds_until_a_later_request_is_answered_without_one():
    # Guards against a response that overtook the one with the limit and lifts it, and
    # against a limit that is kept when the server no longer names it.
    clock = LoopClock()
    limits = ServerLimits(clock=clock)
    before_s = clock.monotonic()
    await asyncio.sleep(0.1)
    limits.record_response(SERVER, 1.6, sent_at_s=before_s)
    limits.record_response(SERVER, None, sent_at_s=before_s)
    assert limits.rate_per_s(SERVER) == 1.6
    await asyncio.sleep(0.1)
    limits.record_response(SERVER, None, sent_at_s=clock.monotonic())
    assert limits.rate_per_s(SERVER) is None
    assert limits.limited_servers() == {}
