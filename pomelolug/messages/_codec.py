"""CBOR codec for the generated messages."""

import datetime
import functools
from typing import Any, TypeVar, Union

import cbor2
import msgspec

from pomelolug.errors import ErrorCode, PeerError

__all__ = ["MAX_MESSAGE_BYTES", "Message", "decode", "encode"]

MAX_MESSAGE_BYTES = 256 * 1024
_NATIVE_TYPES = (bytes, datetime.datetime)


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of the generated messages; the tag is the class name."""


MessageT = TypeVar("MessageT", bound=Message)


def encode(message: Message) -> bytes:
    """Return `message` as CBOR.

    Parameters
    ----------
    message : Message
        A generated message.

    Returns
    -------
    bytes
        At most `MAX_MESSAGE_BYTES`.

    Raises
    ------
    PeerError
        If the encoded message is too large.
    """
    data = cbor2.dumps(msgspec.to_builtins(message, builtin_types=_NATIVE_TYPES))
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerError(
            ErrorCode.MESSAGE_TOO_LARGE,
            f"{type(message).__name__} has {len(data)} bytes, "
            f"the limit is {MAX_MESSAGE_BYTES}",
        )
    return data


@functools.cache
def _union_type(message_types: tuple[type[Message], ...]) -> Any:
    return message_types[0] if len(message_types) == 1 else Union[message_types]  # noqa: UP007


def decode(data: bytes, *message_types: type[MessageT]) -> MessageT:
    """Return the message in `data` if it is one of `message_types`.

    Parameters
    ----------
    data : bytes
        CBOR from outside the process.
    *message_types : type of Message
        The message types that are allowed here.

    Returns
    -------
    Message
        An instance of one of `message_types`; unknown fields are ignored.

    Raises
    ------
    PeerError
        If the data is too large, not CBOR, of another kind or malformed.

    Examples
    --------
    >>> from pomelolug.messages import Heartbeat
    >>> heartbeat = Heartbeat(node="a", incarnation=1, zone="z1")
    >>> decode(encode(heartbeat), Heartbeat) == heartbeat
    True
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerError(
            ErrorCode.MESSAGE_TOO_LARGE, f"message of {len(data)} bytes refused"
        )
    try:
        raw = cbor2.loads(data)
        message = msgspec.convert(
            raw,
            type=_union_type(message_types),
            builtin_types=_NATIVE_TYPES,
            str_keys=False,
        )
    except (cbor2.CBORDecodeError, msgspec.ValidationError, RecursionError) as error:
        raise PeerError(ErrorCode.PEER_PROTOCOL, f"message refused: {error}") from error
    except (ValueError, TypeError) as error:
        raise PeerError(ErrorCode.PEER_PROTOCOL, f"message refused: {error}") from error
    return message
