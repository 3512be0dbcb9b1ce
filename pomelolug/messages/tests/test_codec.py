"""Tests that oversized or malformed messages from peers are rejected."""

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelolug.errors import ErrorCode, PeerError
from pomelolug.messages import (
    MAX_MESSAGE_BYTES,
    Claim,
    ClaimBatch,
    Heartbeat,
    Hello,
    decode,
    encode,
)


def test_nested_message_round_trips():
    claim = Claim(key=b"k" * 32, body=b"b", node="n", incarnation=3, nonce=b"x")
    batch = ClaimBatch(claims=(claim,))
    assert decode(encode(batch), ClaimBatch) == batch


def test_unexpected_message_type_is_rejected():
    heartbeat = encode(Heartbeat(node="a", incarnation=1, zone="z"))
    with pytest.raises(PeerError) as caught:
        decode(heartbeat, Hello)
    assert caught.value.code is ErrorCode.PEER_PROTOCOL


def test_unknown_field_from_newer_version_is_ignored():
    raw = cbor2.dumps(
        {"type": "Heartbeat", "node": "a", "incarnation": 1, "zone": "z", "new": 1}
    )
    assert decode(raw, Heartbeat, Hello).node == "a"


def test_oversized_message_is_rejected_before_decoding():
    with pytest.raises(PeerError) as caught:
        decode(b"\0" * (MAX_MESSAGE_BYTES + 1), Heartbeat)
    assert caught.value.code is ErrorCode.MESSAGE_TOO_LARGE


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_peer_error(data):
    try:
        decode(data, Heartbeat, Hello)
    except PeerError:
        pass
