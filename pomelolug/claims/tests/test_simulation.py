"""Guards against a second execution under concurrent random faults."""

import asyncio
import collections
import random

import pytest

from pomelolug.claims import Verdict, derive_claim_key
from pomelolug.claims.tests.fake_stream import FakeStream
from pomelolug.claims.tests.test_client import BODY, Gateway

pytestmark = pytest.mark.looptime(noop_cycles=1)
KEYS = [derive_claim_key("account", str(number)) for number in range(40)]
FAULT_PHASE_S = 30


class FaultSimulation:
    """Three gateways, relays that are stopped and replaced, and a faulty stream."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.stream = FakeStream()
        self.gateways = []
        for number in range(3):
            relay = self.stream.start_relay(number)
            gateway = Gateway(relay, seed * 10 + number)
            self.gateways.append(gateway)
        self.executions = collections.Counter()
        self.verdicts = collections.Counter()

    async def inject_faults(self):
        for _ in range(FAULT_PHASE_S * 2):
            await asyncio.sleep(0.5)
            self.stream.mode = self.random.choice(["ok", "ok", "late", "lost", "down"])
            self.stream.append_delay = self.random.choice([0.005, 0.005, 0.7])
            self.stream.is_readable = self.random.random() < 0.8
            self.stream.catch_up()
            gateway = self.random.choice(self.gateways)
            gateway.is_connected = self.random.random() < 0.8
            gateway.drop_verdicts = self.random.random() < 0.2
            if gateway.is_connected:
                gateway.client.on_connected()
            else:
                gateway.client.on_disconnected()
            if self.random.random() < 0.1:
                gateway.relay.task.cancel()
                gateway.relay = self.stream.start_relay(self.random.randrange(99))
            if self.random.random() < 0.05:
                gateway.relay.mark_claims_unknown(
                    self.random.choice(["g0", "g1", "g2"])
                )

    async def call(self, gateway):
        key = self.random.choice(KEYS)
        ticket = await gateway.client.claim(key, BODY)
        self.verdicts[ticket.verdict] += 1
        # A pause between the claim and the dispatch.
        await asyncio.sleep(self.random.choice([0.0, 0.1, 3.0]))
        if self.random.random() < 0.5:
            ticket.release()
        if ticket.try_dispatch():
            self.executions[key] += 1
            await asyncio.sleep(self.random.choice([0.0, 1.0]))
            ticket.mark_answered()

    async def run(self):
        fault_task = asyncio.create_task(self.inject_faults())
        calls = []
        for _ in range(300):
            await asyncio.sleep(FAULT_PHASE_S / 300)
            gateway = self.random.choice(self.gateways)
            calls.append(asyncio.create_task(self.call(gateway)))
        await asyncio.gather(fault_task, *calls)
        self.stream.mode, self.stream.append_delay = "ok", 0.005
        self.stream.is_readable = True
        self.stream.catch_up()
        for gateway in self.gateways:
            gateway.is_connected, gateway.drop_verdicts = True, False
            gateway.client.on_connected()
        await asyncio.sleep(20)


@pytest.mark.parametrize("seed", range(12))
async def test_no_key_is_executed_twice_and_all_folds_agree(seed):
    simulation = FaultSimulation(seed)
    await simulation.run()
    assert simulation.verdicts[Verdict.GRANTED] > 5
    assert simulation.verdicts[Verdict.UNAVAILABLE] > 5
    assert max(simulation.executions.values()) == 1
    assert len({fold.dump() for fold in simulation.stream.folds}) == 1
    # The keys of executed requests are not granted again.
    for key in simulation.executions:
        ticket = await simulation.gateways[0].client.claim(key, BODY)
        assert ticket.verdict is not Verdict.GRANTED
