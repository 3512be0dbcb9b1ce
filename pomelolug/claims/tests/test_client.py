"""Guards against dispatching a released claim and releasing a dispatched one."""

import asyncio
import datetime
import random

import pytest

from pomelolug.claims import (
    ClaimClient,
    TicketState,
    Verdict,
    derive_claim_key,
    parse_key_time,
    partition_for_key,
    select_relay,
)
from pomelolug.claims.tests.fake_stream import FakeStream
from pomelolug.errors import PomelolugError
from pomelolug.membership import NodeInfo, NodeState
from pomelolug.messages import ClaimRequest, ClaimUpdate, ClaimVerdict
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime(noop_cycles=1)
KEY, BODY = derive_claim_key("account", "key"), b"b" * 32


class Gateway:
    """Client connected to a relay; `drop_verdicts` drops the verdicts sent to it."""

    def __init__(self, relay, seed=0, **options):
        self.relay = relay
        self.drop_verdicts = False
        self.is_connected = True
        self.updates = []
        self.client = ClaimClient(
            node=f"g{seed}",
            incarnation=1 << 16,
            send=self.send,
            clock=LoopClock(),
            random_state=random.Random(seed),
            **options,
        )

    def send(self, message):
        if self.is_connected:
            asyncio.get_running_loop().create_task(self.deliver(message))
        return self.is_connected

    async def deliver(self, message):
        await asyncio.sleep(0.001)
        if isinstance(message, ClaimUpdate):
            self.updates.append(message.state)
            await self.relay.submit_update(message)
        if isinstance(message, ClaimRequest):
            verdict = await self.relay.decide(message.claim)
            if not self.drop_verdicts:
                await asyncio.sleep(0.001)
                answer = ClaimVerdict(serial=message.serial, verdict=verdict.value)
                self.client.on_verdict(answer)


async def test_granted_ticket_is_dispatched_once_and_its_copy_is_already_answered():
    relay = FakeStream().start_relay()
    gateway, other = Gateway(relay, 0), Gateway(relay, 1)
    ticket = await gateway.client.claim(KEY, BODY)
    assert [ticket.try_dispatch(), ticket.try_dispatch()] == [True, False]
    with pytest.raises(PomelolugError):
        ticket.release()
    ticket.mark_answered()
    await asyncio.sleep(1)
    copy = await other.client.claim(KEY, BODY)
    assert copy.verdict is Verdict.ALREADY_ANSWERED
    assert not copy.try_dispatch()
    copy.release()
    await asyncio.sleep(1)
    assert (gateway.updates, other.updates) == (["answered"], [])


async def test_lost_verdict_releases_the_claim_and_a_late_verdict_is_ignored():
    stream = FakeStream()
    gateway = Gateway(stream.start_relay())
    gateway.drop_verdicts = True
    ticket = await gateway.client.claim(KEY, BODY)
    assert ticket.verdict is Verdict.UNAVAILABLE
    gateway.client.on_verdict(ClaimVerdict(serial=1, verdict="granted"))
    assert not ticket.try_dispatch()
    await asyncio.sleep(1)
    gateway.drop_verdicts = False
    assert (await gateway.client.claim(KEY, BODY)).verdict is Verdict.GRANTED


async def test_cancelling_an_undecided_claim_releases_it():
    stream = FakeStream()
    gateway = Gateway(stream.start_relay())
    task = asyncio.create_task(gateway.client.claim(KEY, BODY))
    await asyncio.sleep(0.025)
    task.cancel()
    await asyncio.sleep(1)
    assert gateway.updates == ["released"]
    assert (await gateway.client.claim(KEY, BODY)).verdict is Verdict.GRANTED


async def test_expired_grant_is_given_up_after_a_pause_before_the_dispatch():
    gateway = Gateway(FakeStream().start_relay())
    ticket = await gateway.client.claim(KEY, BODY)
    await asyncio.sleep(61)
    assert not ticket.try_dispatch()
    assert ticket.state is TicketState.GIVEN_UP
    await asyncio.sleep(1)
    assert (await gateway.client.claim(KEY, BODY)).verdict is Verdict.GRANTED


async def test_reverted_dispatch_may_be_repeated_or_released():
    gateway = Gateway(FakeStream().start_relay())
    ticket = await gateway.client.claim(KEY, BODY)
    assert ticket.try_dispatch()
    ticket.revert_dispatch()
    assert ticket.try_dispatch()
    ticket.revert_dispatch()
    ticket.release()
    assert not ticket.try_dispatch()


async def test_release_is_sent_after_reconnecting():
    gateway = Gateway(FakeStream().start_relay())
    ticket = await gateway.client.claim(KEY, BODY)
    gateway.is_connected = False
    refused = await gateway.client.claim(derive_claim_key("account", "other"), BODY)
    assert refused.verdict is Verdict.UNAVAILABLE
    ticket.release()
    assert gateway.client.unsent_update_count == 1
    gateway.is_connected = True
    gateway.client.on_connected()
    await asyncio.sleep(1)
    assert gateway.client.unsent_update_count == 0
    assert (await gateway.client.claim(KEY, BODY)).verdict is Verdict.GRANTED


async def test_disconnecting_ends_the_wait_for_a_verdict():
    gateway = Gateway(FakeStream(append_delay=1).start_relay())
    task = asyncio.create_task(gateway.client.claim(KEY, BODY))
    await asyncio.sleep(0.1)
    gateway.client.on_disconnected()
    assert (await task).verdict is Verdict.UNAVAILABLE


def test_partition_is_stable_and_keys_are_spread():
    counts = [0] * 16
    for number in range(1600):
        counts[partition_for_key(derive_claim_key("a", str(number)), 16)] += 1
    assert min(counts) > 60
    assert partition_for_key(KEY, 16) == partition_for_key(KEY, 16)


def test_time_is_parsed_from_uuid_version_7_only():
    digits = f"{1_700_000_000_123:012x}7{0:03x}8{0:015x}"
    expected = datetime.datetime.fromtimestamp(1_700_000_000.123, datetime.UTC)
    assert parse_key_time(digits) == expected
    assert parse_key_time("7c9e6679-7425-40de-944b-e07fc1f90ae7") is None
    assert parse_key_time("f" * 12 + "7fff8" + "f" * 15) is None
    assert parse_key_time("") is None


def test_relay_is_selected_in_the_own_region_first():
    def info(node, region):
        return NodeInfo(
            node=node,
            zone="z",
            region=region,
            address="",
            state=NodeState.ALIVE,
            incarnation=1,
            config_version=0,
            groups_offset=0,
        )

    nodes = [info(f"n{i}", f"r{i % 2}") for i in range(10)]
    assert {select_relay(p, nodes, "r0") for p in range(64)} == {
        f"n{i}" for i in range(0, 10, 2)
    }
    assert select_relay(3, nodes, "elsewhere") in {info.node for info in nodes}
    assert select_relay(3, [], "r0") is None
