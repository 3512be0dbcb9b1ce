"""Tests of the handshake.

They guard against proofs that are accepted outside the handshake, direction or
identity for which they were made.
"""

import asyncio

import pytest

from pomelolug.errors import ErrorCode, PeerError
from pomelolug.membership import Identity, PeerKeyRing, Role, Side, Transport, handshake
from pomelolug.membership._handshake import _make_hello
from pomelolug.messages import Hello, Proof, decode, encode

KEYS = PeerKeyRing(["k=" + "0a" * 16])


class Pipe(Transport):
    """One end of an in-memory connection that records the frames it sends."""

    def __init__(self):
        self.sent = []
        self.inbox = asyncio.Queue()
        self.other = None

    async def send(self, frame):
        self.sent.append(frame)
        if self.other is not None:
            self.other.inbox.put_nowait(frame)

    async def receive(self):
        return await self.inbox.get()

    async def close(self):
        pass


def identity(node, role=Role.CONTROL):
    return Identity(node=node, role=role, incarnation=1, zone="z")


def are_unauthenticated(results):
    errors = [r for r in results if isinstance(r, PeerError)]
    return [e.code for e in errors] == [ErrorCode.PEER_UNAUTHENTICATED] * len(results)


async def run_handshakes(left, right, names=("a", "b")):
    return await asyncio.gather(
        handshake(left, Side.DIALER, identity(names[0]), KEYS),
        handshake(right, Side.ACCEPTOR, identity(names[1]), KEYS),
        return_exceptions=True,
    )


async def test_ends_with_a_shared_key_accept_each_other():
    left, right = Pipe(), Pipe()
    left.other, right.other = right, left
    peers = await run_handshakes(left, right)
    assert [peer.node for peer in peers] == ["b", "a"]


async def test_reflected_hello_and_proof_are_refused():
    # An attacker without a key reflects all that it receives.
    pipe = Pipe()
    pipe.other = pipe
    result = await asyncio.gather(
        handshake(pipe, Side.DIALER, identity("a"), KEYS), return_exceptions=True
    )
    assert are_unauthenticated(result)


async def test_proof_of_one_side_is_refused_as_proof_of_the_other():
    # The attacker sends a hello message of its own and reflects the proof.
    victim = Pipe()
    task = asyncio.create_task(handshake(victim, Side.ACCEPTOR, identity("a"), KEYS))
    hello = encode(_make_hello(identity("b"), KEYS))
    victim.inbox.put_nowait(hello)
    for _ in range(5):
        await asyncio.sleep(0)
    victim.inbox.put_nowait(victim.sent[1])
    assert are_unauthenticated(await asyncio.gather(task, return_exceptions=True))


async def test_two_acceptors_do_not_authenticate_each_other():
    # An attacker dials two nodes and forwards the frames between them.
    left, right = Pipe(), Pipe()
    left.other, right.other = right, left
    results = await asyncio.gather(
        handshake(left, Side.ACCEPTOR, identity("a"), KEYS),
        handshake(right, Side.ACCEPTOR, identity("b"), KEYS),
        return_exceptions=True,
    )
    assert are_unauthenticated(results)


async def test_replayed_handshake_is_refused():
    left, right = Pipe(), Pipe()
    left.other, right.other = right, left
    await run_handshakes(left, right)
    again = Pipe()
    for frame in left.sent:
        again.inbox.put_nowait(frame)
    result = await asyncio.gather(
        handshake(again, Side.ACCEPTOR, identity("b"), KEYS), return_exceptions=True
    )
    assert are_unauthenticated(result)


@pytest.mark.parametrize("field", ["node", "role", "incarnation", "zone"])
async def test_identity_modified_in_transit_is_refused(field):
    left, right = Pipe(), Pipe()
    left.other = right

    async def forge(frame):
        hello = decode(frame, Hello, Proof)
        if isinstance(hello, Hello):
            new = {"role": "gateway", "incarnation": 9}.get(field, "x")
            data = {f: getattr(hello, f) for f in hello.__struct_fields__}
            frame = encode(Hello(**(data | {field: new})))
        left.inbox.put_nowait(frame)

    right.send = forge
    assert are_unauthenticated(await run_handshakes(left, right))
