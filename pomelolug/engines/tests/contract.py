"""Contract of every `Engine`, to be run against each implementation.

A subclass provides the fixture ``rig``; see `EngineRig`.
"""

import abc
import asyncio
import datetime

import pytest

from pomelolug.engines import (
    AssignOrder,
    Engine,
    EngineRefusedError,
    EngineRequest,
    EngineUnavailableError,
    FencingKind,
    ReleaseOrder,
    StreamEnd,
    TokenEvent,
)

SECOND = datetime.timedelta(seconds=1)
SHORT = datetime.timedelta(seconds=0.2)
TOKENS = 4


class EngineRig(abc.ABC):
    """Two backend servers, ``vm1`` and ``vm2``, and their faults.

    Attributes
    ----------
    engine : Engine
        Implementation under test.
    model : str
        A model that both can load.
    """

    engine: Engine
    model: str = "m"

    @abc.abstractmethod
    def address(self, vm: str) -> str:
        """Return IP and port of a VM."""

    @abc.abstractmethod
    async def set_fencing(self, kind: FencingKind) -> None:
        """Choose the fencing kind of both servers."""

    @abc.abstractmethod
    async def pause(self, vm: str) -> None:
        """Stop a server; connections stay open and silent."""

    @abc.abstractmethod
    async def resume(self, vm: str) -> None:
        """Continue a paused server."""

    @abc.abstractmethod
    async def kill(self, vm: str) -> None:
        """End a server."""

    @abc.abstractmethod
    async def restart(self, vm: str) -> None:
        """Start a server anew under a higher incarnation."""


class EngineContract:
    """Tests that hold for every implementation."""

    def order(self, rig, rank, *, token=5, group="g"):
        members = (rig.address("vm1"), rig.address("vm2"))
        return AssignOrder(
            group=group,
            token=token,
            rank=rank,
            members=members,
            model=rig.model,
            version="1",
        )

    async def assign(self, rig, *, token=5, group="g"):
        for rank, vm in enumerate(["vm1", "vm2"]):
            order = self.order(rig, rank, token=token, group=group)
            await rig.engine.assign(rig.address(vm), order, timeout=SECOND)

    async def status(self, rig, vm):
        return await rig.engine.status(rig.address(vm), timeout=SECOND)

    async def serve(self, rig, *, token=5):
        await self.assign(rig, token=token)
        for _ in range(200):
            states = [await self.status(rig, vm) for vm in ("vm1", "vm2")]
            if all(state.ready for state in states):
                return
            await asyncio.sleep(0.02)
        pytest.fail("the group was not ready in 4 s")

    async def generate(self, rig, *, token=5, resume_from=0, group="g", request_id="r"):
        request = EngineRequest(
            request_id=request_id,
            group=group,
            token=token,
            body={"model": rig.model, "prompt": "p", "max_tokens": TOKENS},
            resume_from=resume_from,
            deadline_s=5.0,
        )
        stream = rig.engine.generate(rig.address("vm1"), request)
        return [event async for event in stream]

    async def test_free_server_reports_itself(self, rig):
        status = await self.status(rig, "vm1")
        assert (status.vm, status.group, status.ready) == ("vm1", "", False)

    async def test_assigned_server_reports_group_and_token_and_loads(self, rig):
        await self.serve(rig)
        status = await self.status(rig, "vm2")
        assert (status.group, status.token) == ("g", 5)
        assert (status.model, status.version) == (rig.model, "1")
        assert rig.model in status.held

    async def test_repeated_assign_order_is_harmless(self, rig):
        await self.serve(rig)
        await self.assign(rig)
        assert (await self.status(rig, "vm1")).ready

    async def test_release_frees_the_server_and_keeps_the_weights(self, rig):
        await self.serve(rig)
        order = ReleaseOrder(group="g", token=5)
        await rig.engine.release(rig.address("vm1"), order, timeout=SECOND)
        status = await self.status(rig, "vm1")
        assert status.group == ""
        assert rig.model in status.held

    async def test_old_token_is_refused_by_a_server_that_checks_it(self, rig):
        await rig.set_fencing(FencingKind.REFUSES)
        await self.assign(rig, token=5)
        with pytest.raises(EngineRefusedError) as caught:
            await self.assign(rig, token=4, group="old")
        assert caught.value.reason == "stale_token"
        assert (await self.status(rig, "vm1")).token == 5

    async def test_old_token_stays_refused_after_a_release(self, rig):
        """Guards against a late order that takes a free server back."""
        await rig.set_fencing(FencingKind.REFUSES)
        await self.assign(rig, token=5)
        order = ReleaseOrder(group="g", token=5)
        await rig.engine.release(rig.address("vm1"), order, timeout=SECOND)
        with pytest.raises(EngineRefusedError):
            await self.assign(rig, token=4, group="old")

    @pytest.mark.parametrize("kind", [FencingKind.IGNORES, FencingKind.UNCHECKED])
    async def test_old_token_is_taken_by_a_server_that_ignores_it(self, rig, kind):
        await rig.set_fencing(kind)
        await self.assign(rig, token=5)
        await self.assign(rig, token=4, group="old")
        status = await self.status(rig, "vm1")
        assert (status.group, status.token, status.fencing) == ("old", 4, kind)

    async def test_generation_has_every_position_and_an_end_marker(self, rig):
        await self.serve(rig)
        *tokens, end = await self.generate(rig)
        assert all(isinstance(event, TokenEvent) for event in tokens)
        assert [event.position for event in tokens] == list(range(TOKENS))
        assert isinstance(end, StreamEnd)
        assert end.tokens == TOKENS
        assert {event.request_id for event in [*tokens, end]} == {"r"}

    async def test_resumed_generation_starts_at_the_exact_position(self, rig):
        await self.serve(rig)
        whole = await self.generate(rig)
        rest = await self.generate(rig, resume_from=2)
        assert rest == whole[2:]

    async def test_request_under_an_old_token_is_refused(self, rig):
        await rig.set_fencing(FencingKind.REFUSES)
        await self.serve(rig)
        with pytest.raises(EngineRefusedError):
            await self.generate(rig, token=4)

    async def test_group_with_a_missing_member_does_not_run_a_request(self, rig):
        await self.serve(rig)
        await rig.kill("vm2")
        with pytest.raises(EngineRefusedError):
            await self.generate(rig)

    async def test_paused_server_is_unavailable_and_returns(self, rig):
        await self.serve(rig)
        before = await self.status(rig, "vm1")
        await rig.pause("vm1")
        with pytest.raises(EngineUnavailableError):
            await rig.engine.status(rig.address("vm1"), timeout=SHORT)
        await rig.resume("vm1")
        after = await self.status(rig, "vm1")
        assert after.incarnation == before.incarnation
        assert (after.group, after.token) == ("g", 5)

    async def test_dead_server_is_unavailable(self, rig):
        await rig.kill("vm1")
        with pytest.raises(EngineUnavailableError):
            await rig.engine.status(rig.address("vm1"), timeout=SECOND)
        with pytest.raises(EngineUnavailableError):
            await self.assign(rig)

    async def test_restarted_server_is_free_and_has_a_higher_incarnation(self, rig):
        await self.serve(rig)
        before = await self.status(rig, "vm1")
        await rig.restart("vm1")
        after = await self.status(rig, "vm1")
        assert after.incarnation > before.incarnation
        assert after.group == ""

    async def test_closed_stream_ends_the_work_on_the_server(self, rig):
        await self.serve(rig)
        request = EngineRequest(
            request_id="r",
            group="g",
            token=5,
            body={"model": rig.model, "prompt": "p", "max_tokens": 1000},
        )
        stream = rig.engine.generate(rig.address("vm1"), request)
        await anext(stream)
        assert (await self.status(rig, "vm1")).running == 1
        await stream.aclose()
        for _ in range(50):
            if (await self.status(rig, "vm1")).running == 0:
                return
            await asyncio.sleep(0.02)
        pytest.fail("the request still runs one second after its cancellation")
