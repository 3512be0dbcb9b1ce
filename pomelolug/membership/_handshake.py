"""Mutual authentication at the start of a connection."""

import dataclasses
import enum
import secrets

from pomelolug.errors import ErrorCode, PeerError
from pomelolug.ids import Incarnation, NodeId, RegionId, ZoneId
from pomelolug.membership._keys import PeerKeyRing, Side
from pomelolug.membership._transport import Transport
from pomelolug.messages import Hello, Proof, decode, encode

__all__ = ["MIN_PROTOCOL", "PROTOCOL", "Identity", "Role", "handshake"]

PROTOCOL = 1
# Oldest supported protocol version. Older peers are refused.
MIN_PROTOCOL = 1
CHALLENGE_BYTES = 16
MAX_NAME_CHARS = 128


class Role(enum.Enum):
    """Kind of process that takes part in a connection."""

    CONTROL = "control"
    GATEWAY = "gateway"
    OPERATOR = "operator"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Identity:
    """Identity of a process, as sent in its hello message.

    After the handshake, `protocol` is the version negotiated with the peer.
    `address` is the IP and port of a control process.
    """

    node: NodeId
    role: Role
    incarnation: Incarnation
    zone: ZoneId
    region: RegionId = RegionId("")
    address: str = ""
    protocol: int = PROTOCOL


async def handshake(
    transport: Transport,
    side: Side,
    identity: Identity,
    keys: PeerKeyRing,
) -> Identity:
    """Perform mutual authentication and return the identity of the peer.

    Both ends send a hello message with a fresh challenge, followed by a proof:
    a MAC over their side and the bytes of both hello messages. A proof is
    therefore valid only for this pair of challenges and identities and for one
    direction.

    Raises
    ------
    PeerError
        If the peer fails to authenticate or violates the protocol.
    """
    own_hello = encode(_make_hello(identity, keys))
    await transport.send(own_hello)
    peer_hello = await transport.receive()
    hello = decode(peer_hello, Hello)
    peer = _parse_identity(hello)
    if peer_hello == own_hello:
        raise PeerError(ErrorCode.PEER_UNAUTHENTICATED, "own hello message reflected")
    dialer_hello, acceptor_hello = (
        (own_hello, peer_hello) if side is Side.DIALER else (peer_hello, own_hello)
    )
    await transport.send(
        encode(Proof(mac=keys.make_proof(side, dialer_hello, acceptor_hello)))
    )
    proof = decode(await transport.receive(), Proof)
    keys.verify_proof(
        hello.key_name, proof.mac, side.opposite, dialer_hello, acceptor_hello
    )
    return peer


def _make_hello(identity: Identity, keys: PeerKeyRing) -> Hello:
    # The challenge comes from the system's secure random source, not a seeded one.
    # A predictable challenge would allow an old proof to be replayed.
    return Hello(
        protocol=identity.protocol,
        node=identity.node,
        role=identity.role.value,
        incarnation=identity.incarnation,
        zone=identity.zone,
        region=identity.region,
        address=identity.address,
        key_name=keys.signing_name,
        challenge=secrets.token_bytes(CHALLENGE_BYTES),
    )


def _parse_identity(hello: Hello) -> Identity:
    if hello.protocol < MIN_PROTOCOL:
        raise PeerError(
            ErrorCode.PEER_PROTOCOL,
            f"protocol version {hello.protocol} is not supported",
        )
    names = (hello.node, hello.zone, hello.region, hello.address)
    if not hello.node or any(len(name) > MAX_NAME_CHARS for name in names):
        raise PeerError(ErrorCode.PEER_PROTOCOL, "malformed name in hello message")
    if len(hello.challenge) < CHALLENGE_BYTES:
        raise PeerError(ErrorCode.PEER_PROTOCOL, "challenge is too short")
    try:
        role = Role(hello.role)
    except ValueError as error:
        raise PeerError(
            ErrorCode.PEER_PROTOCOL, "unknown role in hello message"
        ) from error
    return Identity(
        node=NodeId(hello.node),
        role=role,
        incarnation=Incarnation(hello.incarnation),
        zone=ZoneId(hello.zone),
        region=RegionId(hello.region),
        address=hello.address,
        protocol=min(hello.protocol, PROTOCOL),
    )
