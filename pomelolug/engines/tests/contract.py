"""Contract tests of `EngineClient`, run against each implementation.

The module of each implementation subclasses `EngineContract` and provides the
fixture ``harness``, an `EngineHarness`.
"""

import abc
import asyncio
import datetime

import pytest

from pomelolug.engines import (
    AssignOrder,
    EngineClient,
    EngineRefusedError,
    EngineUnavailableError,
    FencingKind,
    GenerationRequest,
    ReleaseOrder,
    StreamEnd,
    TokenEvent,
)

TIMEOUT = datetime.timedelta(seconds=1)
PAUSED_TIMEOUT = datetime.timedelta(seconds=0.2)
TOKEN_COUNT = 4


class EngineHarness(abc.ABC):
    """Two backend servers, ``vm1`` and ``vm2``, with control over their faults.

    Attributes
    ----------
    engine : EngineClient
        Client under test.
    model : str
        Model that both servers can load.
    """

    engine: EngineClient
    model: str = "m"

    @abc.abstractmethod
    def address(self, vm: str) -> str:
        """Return the IP address and port of a VM."""

    @abc.abstractmethod
    async def set_fencing(self, kind: FencingKind) -> None:
        """Set the fencing kind of both servers."""

    @abc.abstractmethod
    async def pause(self, vm: str) -> None:
        """Pause a server; its connections stay open but send nothing."""

    @abc.abstractmethod
    async def resume(self, vm: str) -> None:
        """Resume a paused server."""

    @abc.abstractmethod
    async def kill(self, vm: str) -> None:
        """Kill a server."""

    @abc.abstractmethod
    async def restart(self, vm: str) -> None:
        """Restart a server with a higher incarnation."""


class EngineContract:
    """Tests that every implementation has to pass."""

    def make_assign_order(self, harness, rank, *, token=5, group="g"):
        members = (harness.address("vm1"), harness.address("vm2"))
        return AssignOrder(
            group=group,
            token=token,
            rank=rank,
            members=members,
            model=harness.model,
            version="1",
        )

    async def assign_members(self, harness, *, token=5, group="g"):
        for rank, vm in enumerate(["vm1", "vm2"]):
            order = self.make_assign_order(harness, rank, token=token, group=group)
            await harness.engine.assign(harness.address(vm), order, timeout=TIMEOUT)

    async def fetch_status(self, harness, vm):
        return await harness.engine.fetch_status(harness.address(vm), timeout=TIMEOUT)

    async def form_ready_group(self, harness, *, token=5):
        await self.assign_members(harness, token=token)
        for _ in range(200):
            statuses = [await self.fetch_status(harness, vm) for vm in ("vm1", "vm2")]
            if all(status.ready for status in statuses):
                return
            await asyncio.sleep(0.02)
        pytest.fail("the group was not ready after 4 s")

    async def collect_events(
        self, harness, *, token=5, resume_from=0, group="g", request_id="r"
    ):
        request = GenerationRequest(
            request_id=request_id,
            group=group,
            token=token,
            body={"model": harness.model, "prompt": "p", "max_tokens": TOKEN_COUNT},
            resume_from=resume_from,
            deadline_s=5.0,
        )
        stream = harness.engine.generate(harness.address("vm1"), request)
        return [event async for event in stream]

    async def test_unassigned_server_reports_no_group(self, harness):
        status = await self.fetch_status(harness, "vm1")
        assert (status.vm, status.group, status.ready) == ("vm1", "", False)

    async def test_assigned_server_loads_and_reports_group_and_token(self, harness):
        await self.form_ready_group(harness)
        status = await self.fetch_status(harness, "vm2")
        assert (status.group, status.token) == ("g", 5)
        assert (status.model, status.version) == (harness.model, "1")
        assert harness.model in status.held

    async def test_assign_order_is_idempotent(self, harness):
        await self.form_ready_group(harness)
        await self.assign_members(harness)
        assert (await self.fetch_status(harness, "vm1")).ready

    async def test_release_leaves_the_group_and_keeps_the_weights(self, harness):
        await self.form_ready_group(harness)
        order = ReleaseOrder(group="g", token=5)
        await harness.engine.release(harness.address("vm1"), order, timeout=TIMEOUT)
        status = await self.fetch_status(harness, "vm1")
        assert status.group == ""
        assert harness.model in status.held

    async def test_stale_token_is_refused_by_a_server_that_checks_it(self, harness):
        await harness.set_fencing(FencingKind.REFUSES)
        await self.assign_members(harness, token=5)
        with pytest.raises(EngineRefusedError) as error_info:
            await self.assign_members(harness, token=4, group="old")
        assert error_info.value.reason == "stale_token"
        assert (await self.fetch_status(harness, "vm1")).token == 5

    async def test_stale_token_is_refused_after_a_release(self, harness):
        """Guards against a delayed order that reassigns a released server."""
        await harness.set_fencing(FencingKind.REFUSES)
        await self.assign_members(harness, token=5)
        order = ReleaseOrder(group="g", token=5)
        await harness.engine.release(harness.address("vm1"), order, timeout=TIMEOUT)
        with pytest.raises(EngineRefusedError):
            await self.assign_members(harness, token=4, group="old")

    @pytest.mark.parametrize("kind", [FencingKind.IGNORES, FencingKind.UNCHECKED])
    async def test_stale_token_is_accepted_by_a_server_that_ignores_it(
        self, harness, kind
    ):
        await harness.set_fencing(kind)
        await self.assign_members(harness, token=5)
        await self.assign_members(harness, token=4, group="old")
        status = await self.fetch_status(harness, "vm1")
        assert (status.group, status.token, status.fencing) == ("old", 4, kind)

    async def test_generation_has_every_position_and_an_end_marker(self, harness):
        await self.form_ready_group(harness)
        *tokens, end = await self.collect_events(harness)
        assert all(isinstance(event, TokenEvent) for event in tokens)
        assert [event.position for event in tokens] == list(range(TOKEN_COUNT))
        assert isinstance(end, StreamEnd)
        assert end.token_count == TOKEN_COUNT
        assert {event.request_id for event in [*tokens, end]} == {"r"}

    async def test_resumed_generation_starts_at_the_requested_position(self, harness):
        await self.form_ready_group(harness)
        all_events = await self.collect_events(harness)
        resumed_events = await self.collect_events(harness, resume_from=2)
        assert resumed_events == all_events[2:]

    async def test_request_with_a_stale_token_is_refused(self, harness):
        await harness.set_fencing(FencingKind.REFUSES)
        await self.form_ready_group(harness)
        with pytest.raises(EngineRefusedError):
            await self.collect_events(harness, token=4)

    async def test_group_with_a_missing_member_does_not_run_a_request(self, harness):
        await self.form_ready_group(harness)
        await harness.kill("vm2")
        with pytest.raises(EngineRefusedError):
            await self.collect_events(harness)

    async def test_paused_server_is_unavailable_until_resumed(self, harness):
        await self.form_ready_group(harness)
        before = await self.fetch_status(harness, "vm1")
        await harness.pause("vm1")
        with pytest.raises(EngineUnavailableError):
            await harness.engine.fetch_status(
                harness.address("vm1"), timeout=PAUSED_TIMEOUT
            )
        await harness.resume("vm1")
        after = await self.fetch_status(harness, "vm1")
        assert after.incarnation == before.incarnation
        assert (after.group, after.token) == ("g", 5)

    async def test_killed_server_is_unavailable(self, harness):
        await harness.kill("vm1")
        with pytest.raises(EngineUnavailableError):
            await harness.engine.fetch_status(harness.address("vm1"), timeout=TIMEOUT)
        with pytest.raises(EngineUnavailableError):
            await self.assign_members(harness)

    async def test_restarted_server_has_no_group_and_a_higher_incarnation(
        self, harness
    ):
        await self.form_ready_group(harness)
        before = await self.fetch_status(harness, "vm1")
        await harness.restart("vm1")
        after = await self.fetch_status(harness, "vm1")
        assert after.incarnation > before.incarnation
        assert after.group == ""

    async def test_closing_the_stream_cancels_the_request(self, harness):
        await self.form_ready_group(harness)
        request = GenerationRequest(
            request_id="r",
            group="g",
            token=5,
            body={"model": harness.model, "prompt": "p", "max_tokens": 1000},
        )
        stream = harness.engine.generate(harness.address("vm1"), request)
        await anext(stream)
        assert (await self.fetch_status(harness, "vm1")).running == 1
        await stream.aclose()
        for _ in range(50):
            if (await self.fetch_status(harness, "vm1")).running == 0:
                return
            await asyncio.sleep(0.02)
        pytest.fail("the request was still running one second after its cancellation")
