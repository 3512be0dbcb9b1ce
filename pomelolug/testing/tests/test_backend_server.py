import asyncio
import datetime
import os

import pytest

from pomelolug.engines import (
    AssignOrder,
    EngineRefusedError,
    EngineUnavailableError,
    FencingKind,
    ReleaseOrder,
    StreamEnd,
)
from pomelolug.testing._fleet import BackendFault, FaultKind
from pomelolug.testing._ledger import ViolationKind
from pomelolug.testing._tokens import check_answer, prompt_digest
from pomelolug.testing.tests.conftest import TIMEOUT, form_group, generation_request


async def collect_events(engine, address, generation):
    """Return the events of one request."""
    return [event async for event in engine.generate(address, generation)]


async def apply_fault(backends, kind, *vms, **options):
    fault = BackendFault(kind=kind, vms=vms, **options)
    return await backends.fleet.apply(fault)


async def test_stream_is_complete_and_recorded_in_the_ledger(backends, engine):
    """Guards against output that a caller's check cannot verify."""
    leader = await form_group(engine, backends.fleet.servers[:2])
    events = await collect_events(engine, leader, generation_request("hello", tokens=5))
    assert events[-1] == StreamEnd("r1", 5, "length")
    text = "".join(event.text for event in events[:-1])
    assert check_answer(text, prompt_digest({"prompt": "hello"}), 5).is_exact
    (execution,) = backends.fleet.ledger.executions
    assert (execution.request_id, execution.tokens) == ("r1", 5)
    assert execution.complete and execution.ended >= execution.started


async def test_resumed_stream_starts_at_the_given_position(backends, engine):
    """Guards against a resumed stream that repeats tokens."""
    leader = await form_group(engine, backends.fleet.servers[:1])
    events = await collect_events(
        engine, leader, generation_request(tokens=5, resume_from=3)
    )
    assert [event.position for event in events[:-1]] == [3, 4]
    assert events[-1].token_count == 5


@pytest.mark.parametrize(
    ("field", "value", "reason"),
    [("group", "other", "wrong_group"), ("token", 0, "stale_token")],
)
async def test_request_for_another_assignment_is_refused(
    backends, engine, field, value, reason
):
    """Guards against a group that runs requests for another group or formation."""
    leader = await form_group(engine, backends.fleet.servers[:2])
    with pytest.raises(EngineRefusedError) as caught:
        await collect_events(engine, leader, generation_request(**{field: value}))
    assert caught.value.reason == reason
    assert not backends.fleet.ledger.executions


async def test_order_with_stale_token_is_refused(backends, engine):
    """Guards against a paused controller that reassigns a VM with an old token."""
    members = backends.fleet.servers[:1]
    leader = await form_group(engine, members, token=5)
    order = AssignOrder(group="g", token=4, rank=0, members=(leader,), model="m")
    with pytest.raises(EngineRefusedError) as caught:
        await engine.assign(leader, order, timeout=TIMEOUT)
    assert caught.value.reason == "stale_token"
    await apply_fault(
        backends, FaultKind.FENCING, "engine-0", fencing=FencingKind.IGNORES
    )
    await engine.assign(leader, order, timeout=TIMEOUT)
    assert (await engine.fetch_status(leader, timeout=TIMEOUT)).token == 4


async def test_request_is_refused_while_weights_load(backends, engine):
    """Guards against a group that serves before its weights are loaded."""
    member = backends.fleet.servers[0]
    member.vm.model_bytes = 10**9
    address = member.vm.address
    order = AssignOrder(group="g", token=1, rank=0, members=(address,), model="m")
    await engine.assign(address, order, timeout=TIMEOUT)
    assert not (await engine.fetch_status(address, timeout=TIMEOUT)).ready
    with pytest.raises(EngineRefusedError) as caught:
        await collect_events(engine, address, generation_request())
    assert caught.value.reason == "loading"
    member.vm.receive_weights(10**9)
    assert (await engine.fetch_status(address, timeout=TIMEOUT)).held == ("m",)


async def test_killed_member_breaks_streams_and_group(backends, engine):
    """Guards against a group that keeps serving without one of its members."""
    leader = await form_group(engine, backends.fleet.servers[:2])
    stream = asyncio.create_task(
        collect_events(engine, leader, generation_request(tokens=500))
    )
    await asyncio.sleep(0.05)
    await apply_fault(backends, FaultKind.KILL, "engine-1")
    with pytest.raises(EngineUnavailableError):
        await stream
    with pytest.raises(EngineRefusedError) as caught:
        await collect_events(engine, leader, generation_request())
    assert caught.value.reason == "incomplete"
    (execution,) = backends.fleet.ledger.executions
    assert not execution.complete and execution.ended > 0


async def test_revived_vm_has_another_incarnation(backends, engine):
    """Guards against a restarted VM that is taken for the old member."""
    leader = await form_group(engine, backends.fleet.servers[:2])
    address = backends.fleet.servers[1].vm.address
    await apply_fault(backends, FaultKind.KILL, "engine-1")
    with pytest.raises(EngineUnavailableError):
        await engine.fetch_status(address, timeout=TIMEOUT)
    await apply_fault(backends, FaultKind.REVIVE, "engine-1")
    status = await engine.fetch_status(address, timeout=TIMEOUT)
    assert (status.incarnation, status.group) == (2, "")
    with pytest.raises(EngineRefusedError):
        await collect_events(engine, leader, generation_request())


async def test_ledger_records_service_without_a_member(backends, engine):
    """Guards against an incomplete group that serves without a recorded violation."""
    members = backends.fleet.servers[:2]
    leader = await form_group(engine, members)
    await apply_fault(
        backends, FaultKind.FENCING, "engine-0", fencing=FencingKind.IGNORES
    )
    address = members[1].vm.address
    order = ReleaseOrder(group="g", token=1)
    await engine.release(address, order, timeout=TIMEOUT)
    members[1].vm.group = "h"
    await collect_events(engine, leader, generation_request())
    kinds = [violation.kind for violation in backends.fleet.ledger.violations]
    assert kinds == [ViolationKind.SERVED_INCOMPLETE]


async def test_ledger_records_a_vm_in_two_groups(backends, engine):
    """Guards against a double assignment without a recorded violation."""
    first, second, shared = backends.fleet.servers[:3]
    for member in (first, second, shared):
        member.vm.fencing = FencingKind.UNCHECKED
    leader = await form_group(engine, [first, shared], group="g", token=1)
    other = await form_group(engine, [second, shared], group="h", token=2)
    running = asyncio.create_task(
        collect_events(
            engine, other, generation_request(tokens=100, group="h", token=2)
        )
    )
    await asyncio.sleep(0.05)
    await collect_events(engine, leader, generation_request(tokens=1))
    running.cancel()
    kinds = {violation.kind for violation in backends.fleet.ledger.violations}
    assert ViolationKind.VM_IN_TWO_GROUPS in kinds


@pytest.mark.parametrize("kind", [FaultKind.PAUSE, FaultKind.DARK])
async def test_unreachable_vm_does_not_answer(backends, engine, kind):
    """Guards against a pause or outage that callers see as an error response."""
    address = backends.fleet.servers[0].vm.address
    await apply_fault(backends, kind, "engine-0")
    with pytest.raises(EngineUnavailableError):
        await engine.fetch_status(address, timeout=datetime.timedelta(seconds=0.1))


async def test_silent_connection_stays_open_and_new_ones_work(backends, engine):
    """Guards against a silent connection that is closed or affects others."""
    leader = await form_group(engine, backends.fleet.servers[:1])
    silent = asyncio.create_task(
        collect_events(engine, leader, generation_request(tokens=100))
    )
    await asyncio.sleep(0.05)
    await apply_fault(backends, FaultKind.SILENCE, "engine-0")
    events = await collect_events(
        engine, leader, generation_request(tokens=50, request_id="r2")
    )
    assert events[-1].token_count == 50
    assert not silent.done()
    silent.cancel()


async def test_marked_prompt_crashes_the_vm(backends, engine):
    """Guards against a crashing request that leaves its VM running."""
    leader = await form_group(engine, backends.fleet.servers[:1])
    await apply_fault(
        backends, FaultKind.CRASH_MARKER, marker="BOOM", restart_after_s=0.05
    )
    with pytest.raises(EngineUnavailableError):
        await collect_events(engine, leader, generation_request("x BOOM", tokens=100))
    await asyncio.sleep(0.15)
    assert (await engine.fetch_status(leader, timeout=TIMEOUT)).incarnation == 2


async def test_leaving_vm_refuses_and_late_request_is_recorded(backends, engine):
    """Guards against late requests to a leaving VM without a recorded violation."""
    leader = await form_group(engine, backends.fleet.servers[:1])
    await apply_fault(backends, FaultKind.LEAVE, "engine-0")
    for late, count in ((0.0, 0), (6.0, 1)):
        backends.fleet.servers[0].vm.leaving_since_s -= late
        with pytest.raises(EngineRefusedError) as caught:
            await collect_events(engine, leader, generation_request())
        assert caught.value.reason == "leaving"
        assert len(backends.fleet.ledger.violations) == count


async def test_higher_priority_gets_the_next_slot(backends, engine):
    """Guards against an engine queue that ignores priorities."""
    leader = await form_group(engine, backends.fleet.servers[:1])
    done = []

    async def run(name, priority):
        generation = generation_request(tokens=20, request_id=name, priority=priority)
        await collect_events(engine, leader, generation)
        done.append(name)

    tasks = [asyncio.create_task(run(name, 0)) for name in ("a", "b", "low")]
    await asyncio.sleep(0.02)
    tasks.append(asyncio.create_task(run("high", 9)))
    await asyncio.gather(*tasks)
    assert done.index("high") < done.index("low")


async def test_cache_events_are_numbered(backends, engine):
    """Guards against cache events whose numbers do not reveal a gap."""
    leader = await form_group(engine, backends.fleet.servers[:1])
    await collect_events(engine, leader, generation_request("x" * 130, tokens=1))
    page = await engine.fetch_cache_events(leader, 0, timeout=TIMEOUT)
    assert [event.action for event in page.events] == ["cleared", "stored"]
    assert len(page.events[1].blocks) == 2
    assert [event.sequence for event in page.events] == [1, 2]


async def test_service_echoes_and_records(backends, session):
    """Guards against service calls that the ledger cannot distinguish."""
    address = backends.fleet.servers[-1].vm.address
    headers = {"X-Request-Id": "r9", "Idempotency-Key": "k"}
    url = f"http://{address}/a/b?c=1"
    async with session.post(url, data=b"body", headers=headers) as response:
        reply = await response.json()
    assert (reply["path"], reply["body"]) == ("/a/b?c=1", "body")
    (execution,) = backends.fleet.ledger.executions
    assert (execution.request_id, execution.key) == ("r9", "k")
    assert execution.complete


async def test_partition_from_a_process_heals(backends, engine, session):
    """Guards against a partition that has no effect or does not end."""
    address = backends.fleet.servers[0].vm.address
    await apply_fault(backends, FaultKind.CUT, "engine-0", pids=(os.getpid(),))
    with pytest.raises(EngineUnavailableError):
        await engine.fetch_status(address, timeout=datetime.timedelta(seconds=0.1))
    await apply_fault(backends, FaultKind.HEAL, "engine-0")
    assert (await engine.fetch_status(address, timeout=TIMEOUT)).vm == "engine-0"


async def test_partition_does_not_affect_other_processes(backends, engine):
    """Guards against a partition that silences the wrong callers."""
    address = backends.fleet.servers[0].vm.address
    await engine.fetch_status(address, timeout=TIMEOUT)
    await apply_fault(backends, FaultKind.CUT, "engine-0", pids=(os.getppid(),))
    assert (await engine.fetch_status(address, timeout=TIMEOUT)).vm == "engine-0"
