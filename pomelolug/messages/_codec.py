"""CBOR encoding and decoding of the generated message types."""

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
    """Base class of the generated messages, tagged with the class name."""


MessageT = TypeVar("MessageT", bound=Message)


def encode(message: Message) -> bytes:
    """Return `message` encoded as CBOR.

    Parameters
    ----------
    message : Message
        Instance of a generated message type.

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
            f"{type(message).__name__} message of {len(data)} bytes "
            f"exceeds the limit of {MAX_MESSAGE_BYTES} bytes",
        )
    return data


@functools.cache
def _union_type(message_types: tuple[type[Message], ...]) -> Any:
    return message_types[0] if len(message_types) == 1 else Union[message_types]  # noqa: UP007


def decode(data: bytes, *message_types: type[MessageT]) -> MessageT:
    """Return the message encoded in `data`.

    Parameters
    ----------
    data : bytes
        CBOR received from outside the process.
    *message_types : type of Message
        Accepted message types.

    Returns
    -------
    Message
        Instance of one of `message_types`; unknown fields are ignored.

    Raises
    ------
    PeerError
        If the data is too large, not CBOR, malformed or of another type.

    Examples
    --------
    >>> from pomelolug.messages import Heartbeat
    >>> heartbeat = Heartbeat(node="a", incarnation=1, zone="z1")
    >>> decode(encode(heartbeat), Heartbeat) == heartbeat
    True
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerError(
            ErrorCode.MESSAGE_TOO_LARGE,
            f"message of {len(data)} bytes exceeds the size limit",
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
        raise PeerError(ErrorCode.PEER_PROTOCOL, f"invalid message: {error}") from error
    except (ValueError, TypeError) as error:
        raise PeerError(ErrorCode.PEER_PROTOCOL, f"invalid message: {error}") from error
    return message
