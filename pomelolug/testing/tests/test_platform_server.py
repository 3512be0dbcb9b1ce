import asyncio
import datetime

import aiohttp
import pytest

from pomelolug.errors import PlatformError
from pomelolug.infrastructure import HttpLogService, HttpVmDirectory, HttpWeightStore
from pomelolug.testing.platform_server import start_platform

TIMEOUT = datetime.timedelta(seconds=0.3)
NO_WAIT = datetime.timedelta(0)


class Platform:
    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session = session
        self.address = address
        self.log = HttpLogService(session, address)
        self.vms = HttpVmDirectory(session, address)
        self.weights = HttpWeightStore(session, address)

    async def append(self, data: bytes) -> int:
        return await self.log.append("s", data, timeout=TIMEOUT)

    async def read(self, first: int = 0, wait: datetime.timedelta = NO_WAIT):
        return await self.log.read("s", first, limit=10, wait=wait, timeout=TIMEOUT)

    async def post(self, path: str, body: dict) -> None:
        url = f"http://{self.address}{path}"
        async with self.session.post(url, json=body) as response:
            assert response.status == 200, await response.text()


@pytest.fixture
async def platform(session):
    _, runner = await start_platform(port=0, sizes={"m": 5}, rate_bytes_per_s=7.0)
    host, port = runner.addresses[0][:2]
    yield Platform(session, f"{host}:{port}")
    await runner.cleanup()


async def test_records_keep_order_and_offsets(platform):
    """Guards against a simulated log whose offsets differ from the protocol's."""
    assert [await platform.append(data) for data in (b"a", b"\x00b")] == [0, 1]
    page = await platform.read(1)
    assert (page.oldest, page.end) == (0, 2)
    assert [(r.offset, r.data) for r in page.records] == [(1, b"\x00b")]


async def test_long_poll_returns_on_append(platform):
    """Guards against reads that return a new record only after the whole wait."""
    reader = asyncio.create_task(platform.read(0, datetime.timedelta(seconds=5)))
    await asyncio.sleep(0.02)
    await platform.append(b"x")
    page = await asyncio.wait_for(reader, 0.5)
    assert page.end == 1 and page.records[0].data == b"x"


async def test_lost_append_answer_leaves_the_record(platform):
    """Guards against a lost answer that is reported as a clean failure."""
    await platform.post("/faults", {"lose_append_answers": 1})
    with pytest.raises(PlatformError) as caught:
        await platform.append(b"x")
    assert caught.value.maybe_applied
    assert (await platform.read()).end == 1
    assert await platform.append(b"y") == 1


async def test_outage_applies_nothing(platform):
    """Guards against records that are stored while the log is down."""
    await platform.post("/faults", {"log_mode": "down"})
    with pytest.raises(PlatformError):
        await platform.append(b"x")
    with pytest.raises(PlatformError):
        await platform.read()
    await platform.post("/faults", {"log_mode": "up"})
    assert (await platform.read()).end == 0


async def test_silent_log_times_out(platform):
    """Guards against a silent log that responds with an error status."""
    await platform.post("/faults", {"log_mode": "silent"})
    with pytest.raises(PlatformError):
        await platform.read()


async def test_retention_moves_the_oldest_offset(platform):
    """Guards against retention that renumbers records."""
    for data in (b"a", b"b", b"c"):
        await platform.append(data)
    await platform.post("/faults", {"keep_records": 1})
    page = await platform.read()
    assert (page.oldest, page.end, page.records[0].offset) == (2, 3, 2)


async def test_replaced_log_has_another_identity(platform):
    """Guards against a replaced log that readers cannot detect."""
    await platform.append(b"a")
    before = await platform.read()
    await platform.post("/faults", {"replace_log": True})
    after = await platform.read()
    assert after.log_id != before.log_id and after.end == 0


async def test_vm_list_lags(platform):
    """Guards against a VM list that shows changes at once despite its lag."""
    entry = {
        "vm": "v",
        "role": "engine",
        "address": "127.0.0.1:1",
        "zone": "z",
        "region": "r",
        "domain": "d",
    }
    await platform.post("/vms", {"vms": [entry]})
    assert not (await platform.vms.list_vms(timeout=TIMEOUT))[0].leaving
    await platform.post("/faults", {"vm_list_lag_s": 30.0})
    await platform.post("/vms", {"leaving": ["v"]})
    assert await platform.vms.list_vms(timeout=TIMEOUT) == ()
    await platform.post("/faults", {"vm_list_lag_s": 0.0})
    assert (await platform.vms.list_vms(timeout=TIMEOUT))[0].leaving


async def test_weight_store_reports_and_fails(platform):
    """Guards against a weight store that cannot be taken down."""
    info = await platform.weights.info(timeout=TIMEOUT)
    assert (info.rate_bytes_per_s, info.sizes) == (7.0, {"m": 5})
    await platform.post("/faults", {"weights_down": True})
    with pytest.raises(PlatformError):
        await platform.weights.info(timeout=TIMEOUT)
