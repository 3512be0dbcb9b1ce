"""Guards against a second execution and against keys that stay stuck."""

import asyncio

import pytest

from pomelolug.claims import Verdict
from pomelolug.claims.tests.partition import FakeStream, claim
from pomelolug.messages import ClaimUpdate

pytestmark = pytest.mark.looptime


def released(nonce, key=b"k" * 32):
    return ClaimUpdate(key=key, nonce=nonce, state="released")


async def test_first_claim_is_granted_and_a_copy_is_in_progress():
    stream = FakeStream()
    relay = stream.relay()
    verdicts = await asyncio.gather(
        relay.decide(claim(nonce=b"1")), relay.decide(claim(nonce=b"2"))
    )
    assert verdicts == [Verdict.GRANTED, Verdict.IN_PROGRESS]
    assert stream.appends == 1


async def test_copies_through_two_relays_at_once_are_granted_once():
    stream = FakeStream()
    relays = [stream.relay(0), stream.relay(1)]
    for number in range(20):
        key = bytes([number]) * 32
        verdicts = await asyncio.gather(
            *(
                relay.decide(claim(key=key, nonce=b"%d %d" % (number, index)))
                for index, relay in enumerate(relays)
            )
        )
        assert sorted(v.value for v in verdicts) == ["granted", "in_progress"]
