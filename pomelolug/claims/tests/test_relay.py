"""Guards against a second execution and against keys that are never released."""

import asyncio

import pytest

from pomelolug.claims import Verdict
from pomelolug.claims.tests.fake_stream import BATCH_DELAY, FakeStream, claim
from pomelolug.messages import ClaimUpdate

pytestmark = pytest.mark.looptime(noop_cycles=1)


def released(nonce, key=b"k" * 32):
    return ClaimUpdate(key=key, nonce=nonce, state="released")


async def test_first_claim_is_granted_and_a_copy_is_in_progress():
    stream = FakeStream()
    relay = stream.start_relay()
    verdicts = await asyncio.gather(
        relay.decide(claim(nonce=b"1")), relay.decide(claim(nonce=b"2"))
    )
    assert verdicts == [Verdict.GRANTED, Verdict.IN_PROGRESS]
    assert stream.append_count == 1


async def test_concurrent_copies_through_two_relays_are_granted_once():
    stream = FakeStream()
    relays = [stream.start_relay(0), stream.start_relay(1)]
    for number in range(20):
        key = bytes([number]) * 32
        verdicts = await asyncio.gather(
            *(
                relay.decide(claim(key=key, nonce=b"%d %d" % (number, index)))
                for index, relay in enumerate(relays)
            )
        )
        assert sorted(v.value for v in verdicts) == ["granted", "in_progress"]


async def test_same_key_with_another_body_is_key_reused():
    stream = FakeStream()
    relay = stream.start_relay()
    assert await relay.decide(claim(nonce=b"1")) is Verdict.GRANTED
    other = claim(nonce=b"2", body=b"x" * 32)
    assert await relay.decide(other) is Verdict.KEY_REUSED


async def test_lost_append_answer_is_resolved_by_reading_the_stream():
    stream = FakeStream(read_delay=0.001)
    stream.mode = "answer lost"
    relay = stream.start_relay()
    # The append takes effect and only its answer is lost.
    append = relay._append

    async def append_slowly(kind, message):
        try:
            return await append(kind, message)
        except Exception:
            await asyncio.sleep(0.1)
            raise

    relay._append = append_slowly
    assert await relay.decide(claim(nonce=b"1")) is Verdict.GRANTED


@pytest.mark.parametrize("mode", ["late", "lost"])
async def test_claim_that_may_be_on_the_log_is_unavailable_and_then_released(mode):
    stream = FakeStream()
    relay = stream.start_relay()
    stream.mode = mode
    assert await relay.decide(claim(nonce=b"1")) is Verdict.UNAVAILABLE
    stream.mode = "ok"
    await asyncio.sleep(5)
    assert relay.fold.winning_claim(b"k" * 32) is None
    assert await relay.decide(claim(nonce=b"2")) is Verdict.GRANTED


async def test_claims_are_refused_at_once_during_a_log_outage_and_granted_after_it():
    stream = FakeStream()
    relay = stream.start_relay()
    stream.mode = "down"
    loop = asyncio.get_running_loop()
    assert await relay.decide(claim(nonce=b"1")) is Verdict.UNAVAILABLE
    start = loop.time()
    assert await relay.decide(claim(nonce=b"2")) is Verdict.UNAVAILABLE
    assert loop.time() - start < 0.001
    await asyncio.sleep(60)
    stream.mode = "ok"
    for number in range(3, 9):
        verdict = await relay.decide(claim(nonce=b"%d" % number))
        if verdict is Verdict.GRANTED:
            break
        await asyncio.sleep(1)
    assert verdict is Verdict.GRANTED


async def test_relay_that_cannot_read_grants_nothing_and_releases_later():
    stream = FakeStream()
    relay = stream.start_relay()
    stream.is_readable = False
    assert await relay.decide(claim(nonce=b"1")) is Verdict.UNAVAILABLE
    stream.is_readable = True
    stream.catch_up()
    await asyncio.sleep(1)
    assert await relay.decide(claim(nonce=b"2")) is Verdict.GRANTED


async def test_lost_claim_is_not_reported_before_its_own_record_is_read():
    # Otherwise the claim could win later, and no one would release it.
    stream = FakeStream(append_delay=1.0)
    slow = stream.start_relay(0)
    task = asyncio.create_task(slow.decide(claim(nonce=b"slow")))
    await asyncio.sleep(0.5)
    stream.append_delay = 0.005
    fast = stream.start_relay(1, update_delay=BATCH_DELAY)
    assert await fast.decide(claim(nonce=b"fast")) is Verdict.GRANTED
    await fast.submit_update(released(b"fast"))
    await asyncio.sleep(0.7)
    assert await task is Verdict.GRANTED
    assert slow.fold.winning_claim(b"k" * 32).nonce == b"slow"


async def test_relay_stopped_between_append_and_answer_leaves_no_second_holder():
    stream = FakeStream()
    relay = stream.start_relay()
    task = asyncio.create_task(relay.decide(claim(nonce=b"1")))
    await asyncio.sleep(0.028)
    task.cancel()
    relay.task.cancel()
    await asyncio.sleep(0.1)
    assert len(stream.records) == 1
    successor = stream.start_relay(1)
    assert await successor.decide(claim(nonce=b"2")) is Verdict.IN_PROGRESS
    # The gateway has given up and releases the claim through the successor.
    await successor.submit_update(released(b"1"))
    await asyncio.sleep(0.7)
    assert await successor.decide(claim(nonce=b"3")) is Verdict.GRANTED


async def test_claim_of_a_lost_node_is_unknown_and_not_granted_to_another():
    stream = FakeStream()
    relay = stream.start_relay()
    assert await relay.decide(claim(nonce=b"1")) is Verdict.GRANTED
    assert relay.mark_claims_unknown("a", before_incarnation=1 << 16) == 0
    assert relay.mark_claims_unknown("a") == 1
    await asyncio.sleep(0.7)
    verdict = await relay.decide(claim(nonce=b"2", node="b"))
    assert verdict is Verdict.OUTCOME_UNKNOWN
    # The holder was only paused; it dispatched once and got the answer.
    update = ClaimUpdate(key=b"k" * 32, nonce=b"1", state="answered")
    await relay.submit_update(update)
    await asyncio.sleep(0.7)
    assert await relay.decide(claim(nonce=b"3")) is Verdict.ALREADY_ANSWERED


async def test_release_of_a_queued_claim_removes_it():
    stream = FakeStream()
    relay = stream.start_relay()
    task = asyncio.create_task(relay.decide(claim(nonce=b"1")))
    await asyncio.sleep(0.001)
    await relay.submit_update(released(b"1"))
    assert await task is Verdict.UNAVAILABLE
    await asyncio.sleep(0.7)
    assert relay.fold.winning_claim(b"k" * 32) is None


async def test_append_interval_is_kept_under_load():
    stream = FakeStream()
    relay = stream.start_relay()
    for number in range(500):
        key = number.to_bytes(32, "big")
        asyncio.create_task(relay.decide(claim(key=key, nonce=b"%d" % number)))
        await asyncio.sleep(0.002)
    assert stream.append_count <= 21


async def test_updates_share_the_append_of_a_claim_or_are_appended_without_one():
    stream = FakeStream()
    relay = stream.start_relay()
    assert await relay.decide(claim(nonce=b"1")) is Verdict.GRANTED
    await relay.submit_update(ClaimUpdate(key=b"k" * 32, nonce=b"1", state="answered"))
    await asyncio.sleep(0.1)
    other = claim(key=b"l" * 32, nonce=b"2")
    assert await relay.decide(other) is Verdict.GRANTED
    assert (stream.append_count, relay.queued_update_count) == (2, 0)
    await relay.submit_update(released(b"2", key=b"l" * 32))
    await asyncio.sleep(0.6)
    assert (stream.append_count, relay.queued_update_count) == (3, 0)


async def test_claim_does_not_wait_for_queued_updates():
    stream = FakeStream()
    relay = stream.start_relay()
    await relay.submit_update(released(b"0"))
    await asyncio.sleep(0.1)
    start = asyncio.get_running_loop().time()
    assert await relay.decide(claim(nonce=b"1")) is Verdict.GRANTED
    assert asyncio.get_running_loop().time() - start < 0.04
