"""Guards against reporting the wrong outcome of a change to an operator."""

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
from pomelolug.operator._context import CommandContext
from pomelolug.operator._exit import ExitStatus, exit_status_for
from pomelolug.operator._publication import publish_document, wait_for_nodes
from pomelolug.operator._version_history import has_taken_effect, read_version_history
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


class FakeControlClient:
    """Responds like a control process that follows the log."""

    address = Address("127.0.0.1", 1)

    def __init__(self, reader):
        self.reader = reader
        self.is_down = lambda: False
        self.node_versions = {}

    async def get(self, path, response_type, **query):
        await asyncio.sleep(0.002)
        if self.is_down():
            raise PlatformError(ErrorCode.PLATFORM_UNAVAILABLE, "down")
        versions = self.node_versions.items()
        responses = {
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
        return msgspec.convert(responses[path], response_type)


class PublicationHarness:
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
        self.control = FakeControlClient(reader)

    def create_context(self, name, *, all_keys=False, key=""):
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
        return CommandContext(
            settings=settings,
            log=self.log,
            control=self.control,
            clock=self.clock,
            random_state=self.random,
        )


@contextlib.asynccontextmanager
async def running_harness():
    harness = PublicationHarness()
    task = asyncio.create_task(harness.control.reader.run())
    try:
        yield harness
    finally:
        task.cancel()


def document(model):
    return f"[pool draft]\nmodel = {model}\n"


@pytest.mark.parametrize("all_keys", [False, True])
async def test_exactly_one_of_two_concurrent_publications_succeeds(all_keys):
    async with running_harness() as harness:
        for round_number in range(10):
            base = harness.control.reader.fold.version
            results = await asyncio.gather(
                *(
                    publish_document(
                        harness.create_context(name, all_keys=all_keys),
                        document(name),
                        base,
                    )
                    for name in KEYS
                ),
                return_exceptions=True,
            )
            lost = [r for r in results if isinstance(r, PomelolugError)]
            won = [r for r in results if not isinstance(r, PomelolugError)]
            assert [error.code for error in lost] == [ErrorCode.CONFIGURATION_RACED]
            assert exit_status_for(lost[0]) is ExitStatus.RACED
            await harness.control.reader.wait_for(won[0], SECOND)
            assert harness.control.reader.fold.version == won[0], round_number


async def test_version_replaced_at_once_is_reported_as_having_taken_effect():
    async with running_harness() as harness:
        versions = [-1]
        for round_number in range(4):
            context = harness.create_context("ada")
            versions.append(
                await publish_document(
                    context, document(f"m{round_number}"), versions[-1]
                )
            )
        late = harness.log.put("config", b"garbage")
        last = await publish_document(context, document("m9"), versions[-1])
        assert await has_taken_effect(harness.log, versions[2], last) is True
        assert await has_taken_effect(harness.log, late, last) is False
        history = [
            entry.version async for entry in read_version_history(harness.log, last)
        ]
        assert history == [last, *reversed(versions[1:])]
        harness.log.expire_before("config", late)
        assert await has_taken_effect(harness.log, versions[2], last) is None


async def test_unavailable_control_process_prevents_the_append():
    async with running_harness() as harness:
        harness.control.is_down = lambda: True
        with pytest.raises(PlatformError) as caught:
            await publish_document(harness.create_context("ada"), document("m"), -1)
    assert exit_status_for(caught.value) is ExitStatus.UNAVAILABLE
    assert harness.log.appends == 0


async def test_control_process_lost_after_the_append_leaves_the_outcome_unknown():
    async with running_harness() as harness:
        harness.control.is_down = lambda: harness.log.appends > 0
        with pytest.raises(PomelolugError) as caught:
            await publish_document(harness.create_context("ada"), document("m"), -1)
    assert exit_status_for(caught.value) is ExitStatus.UNKNOWN
    assert "offset 0" in str(caught.value)


async def test_publication_succeeds_despite_lost_responses_of_the_log():
    async with running_harness() as harness:
        harness.log.faults.answer_loss_rate = 1.0
        assert (
            await publish_document(harness.create_context("ada"), document("m"), -1)
            == 0
        )
    assert harness.log.appends == 1


async def test_invalid_document_and_foreign_key_append_nothing():
    async with running_harness() as harness:
        with pytest.raises(ConfigurationError):
            await publish_document(harness.create_context("ada"), "[pool]", -1)
        with pytest.raises(PomelolugError) as caught:
            context = harness.create_context("ada", key=KEYS["bob"])
            await publish_document(context, document("m"), -1)
    assert exit_status_for(caught.value) is ExitStatus.INVALID
    assert harness.log.appends == 0


async def test_lagging_nodes_are_returned_after_the_timeout():
    async with running_harness() as harness:
        harness.control.node_versions = {"a": 4, "b": 3, "c": 5}
        context = harness.create_context("ada")
        assert await wait_for_nodes(context, 4, 2 * SECOND) == ["b"]
        assert harness.clock.monotonic() >= 2
        harness.control.node_versions["b"] = 4
        assert await wait_for_nodes(context, 4, 2 * SECOND) == []


@pytest.mark.parametrize(
    ("fault", "status"),
    [("replaced", ExitStatus.LOG_DAMAGED), ("expired", ExitStatus.LOG_DAMAGED)],
)
async def test_damaged_log_is_distinguished_from_an_unavailable_one(fault, status):
    async with running_harness() as harness:
        await publish_document(harness.create_context("ada"), document("m"), -1)
        context = harness.create_context("ada", all_keys=True)
        if fault == "replaced":
            settings = msgspec.structs.replace(
                context._settings.platform, log_id="declared"
            )
            context._settings = msgspec.structs.replace(
                context._settings, platform=settings
            )
        else:
            harness.log.put("config", b"")
            harness.log.expire_before("config", 1)
        with pytest.raises(PomelolugError) as caught:
            await publish_document(context, document("m2"), 0)
    assert exit_status_for(caught.value) is status
