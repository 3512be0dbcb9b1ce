"""Guards against an operator who is told the wrong verdict on a change."""

import asyncio
import contextlib
import datetime
import random

import msgspec
import pytest

from pomelolug.configuration import CONFIG_STREAM, ConfigurationFold
from pomelolug.errors import (
    ConfigurationError,
    ErrorCode,
    PlatformError,
    PomelolugError,
)
from pomelolug.operator._chain import versions_before, was_in_force
from pomelolug.operator._exit import ExitStatus, status_of
from pomelolug.operator._publication import nodes_without, publish_document
from pomelolug.operator._site import Site
from pomelolug.settings import Address
from pomelolug.settings._operator_generated import (
    OperatorControl,
    OperatorOperator,
    OperatorPlatform,
    OperatorSettings,
)
from pomelolug.state import KeyRing, StreamReader
from pomelolug.testing import LoopClock, MemoryLog

pytestmark = pytest.mark.looptime

KEYS = {name: f"{name}={digit * 32}" for name, digit in (("ada", "2"), ("bob", "3"))}
SECOND = datetime.timedelta(seconds=1)


class FollowingControl:
    """Answers the pages of a control process that follows the log."""

    address = Address("127.0.0.1", 1)

    def __init__(self, reader):
        self.reader = reader
        self.is_down = lambda: False
        self.node_versions = {}

    async def page(self, path, kind, **query):
        await asyncio.sleep(0.002)
        if self.is_down():
            raise PlatformError(ErrorCode.PLATFORM_UNAVAILABLE, "down")
        versions = self.node_versions.items()
        pages = {
            "/v1/configuration": {"version": self.reader.fold.version, "document": ""},
            "/v1/streams": {
                "streams": [
                    {"stream": "config", "state": "", "offset": self.reader.offset}
                ]
            },
            "/v1/nodes": {
                "nodes": [{"node": n, "config_version": v} for n, v in versions]
            },
        }
        return msgspec.convert(pages[path], kind)


class World:
    def __init__(self):
        self.clock, self.random = LoopClock(), random.Random(5)
        self.log = MemoryLog(clock=self.clock, random_state=self.random)
        reader = StreamReader(
            log=self.log,
            stream=CONFIG_STREAM,
            fold=ConfigurationFold(),
            keyring=KeyRing.from_options((), tuple(KEYS.values())),
            clock=self.clock,
            random_state=self.random,
        )
        self.control = FollowingControl(reader)

    def site(self, name, *, all_keys=False, key=""):
        settings = OperatorSettings(
            operator=OperatorOperator(name=name, key=key or KEYS[name]),
            platform=OperatorPlatform(
                log=Address("127.0.0.1", 1),
                log_id="",
                operators=tuple(KEYS.values()) if all_keys else (),
            ),
            control=OperatorControl(
                address=self.control.address, keys=(), timeout=SECOND
            ),
        )
        return Site(
            settings=settings,
            log=self.log,
            control=self.control,
            clock=self.clock,
            random_state=self.random,
        )


@contextlib.asynccontextmanager
async def running_world():
    world = World()
    task = asyncio.create_task(world.control.reader.run())
    try:
        yield world
    finally:
        task.cancel()


def document(model):
    return f"[pool draft]\nmodel = {model}\n"


@pytest.mark.parametrize("all_keys", [False, True])
async def test_of_racing_operators_exactly_one_is_told_that_it_won(all_keys):
    async with running_world() as world:
        for turn in range(10):
            base = world.control.reader.fold.version
            results = await asyncio.gather(
                *(
                    publish_document(
                        world.site(name, all_keys=all_keys), document(name), base
                    )
                    for name in KEYS
                ),
                return_exceptions=True,
            )
            lost = [r for r in results if isinstance(r, PomelolugError)]
            won = [r for r in results if not isinstance(r, PomelolugError)]
            assert [error.code for error in lost] == [ErrorCode.CONFIGURATION_RACED]
            assert status_of(lost[0]) is ExitStatus.RACED
            await world.control.reader.wait_for(won[0], SECOND)
            assert world.control.reader.fold.version == won[0], turn


async def test_version_that_was_replaced_at_once_still_counts_as_won():
    async with running_world() as world:
        versions = [-1]
        for turn in range(4):
            site = world.site("ada")
            versions.append(
                await publish_document(site, document(f"m{turn}"), versions[-1])
            )
        late = world.log.put("config", b"garbage")
        last = await publish_document(site, document("m9"), versions[-1])
        assert await was_in_force(world.log, versions[2], last) is True
        assert await was_in_force(world.log, late, last) is False
        lines = [line.version async for line in versions_before(world.log, last)]
        assert lines == [last, *reversed(versions[1:])]
        world.log.expire_before("config", late)
        assert await was_in_force(world.log, versions[2], last) is None


async def test_control_process_down_before_the_append_changes_nothing():
    async with running_world() as world:
        world.control.is_down = lambda: True
        with pytest.raises(PlatformError) as caught:
            await publish_document(world.site("ada"), document("m"), -1)
    assert status_of(caught.value) is ExitStatus.UNAVAILABLE
    assert world.log.appends == 0


async def test_control_process_down_after_the_append_leaves_the_verdict_open():
    async with running_world() as world:
        world.control.is_down = lambda: world.log.appends > 0
        with pytest.raises(PomelolugError) as caught:
            await publish_document(world.site("ada"), document("m"), -1)
    assert status_of(caught.value) is ExitStatus.UNKNOWN
    assert "offset 0" in str(caught.value)


async def test_lost_answer_of_the_log_does_not_lose_the_verdict():
    async with running_world() as world:
        world.log.faults.answer_loss_rate = 1.0
        assert await publish_document(world.site("ada"), document("m"), -1) == 0
    assert world.log.appends == 1


async def test_faulty_document_and_foreign_key_append_nothing():
    async with running_world() as world:
        with pytest.raises(ConfigurationError):
            await publish_document(world.site("ada"), "[pool]", -1)
        with pytest.raises(PomelolugError) as caught:
            site = world.site("ada", key=KEYS["bob"])
            await publish_document(site, document("m"), -1)
    assert status_of(caught.value) is ExitStatus.INVALID
    assert world.log.appends == 0


async def test_nodes_that_lack_the_version_are_named_after_the_wait():
    async with running_world() as world:
        world.control.node_versions = {"a": 4, "b": 3, "c": 5}
        site = world.site("ada")
        assert await nodes_without(site, 4, 2 * SECOND) == ["b"]
        assert world.clock.monotonic() >= 2
        world.control.node_versions["b"] = 4
        assert await nodes_without(site, 4, 2 * SECOND) == []


@pytest.mark.parametrize(
    ("fault", "status"),
    [("replaced", ExitStatus.LOG_DAMAGED), ("expired", ExitStatus.LOG_DAMAGED)],
)
async def test_damaged_log_is_told_apart_from_one_that_is_down(fault, status):
    async with running_world() as world:
        await publish_document(world.site("ada"), document("m"), -1)
        site = world.site("ada", all_keys=True)
        if fault == "replaced":
            settings = msgspec.structs.replace(
                site._settings.platform, log_id="declared"
            )
            site._settings = msgspec.structs.replace(site._settings, platform=settings)
        else:
            world.log.put("config", b"")
            world.log.expire_before("config", 1)
        with pytest.raises(PomelolugError) as caught:
            await publish_document(site, document("m2"), 0)
    assert status_of(caught.value) is status
