"""Loopback addresses that only one run on the machine uses."""

import random
import socket

__all__ = ["reserve_loopback_prefix"]

_FIRST_NUMBER, _LAST_NUMBER = 64, 249
_LOCK_PORT = 9009
"""Port that no server uses, and that a process without privileges may bind."""


def reserve_loopback_prefix() -> tuple[str, socket.socket]:
    """Reserve a /16 prefix of the loopback network.

    Returns
    -------
    prefix : str
        First two numbers of the addresses, such as ``127.64``.
    lock : socket.socket
        Socket that holds the reservation until it is closed or the process ends.

    Raises
    ------
    RuntimeError
        If every prefix is reserved.
    """
    numbers = list(range(_FIRST_NUMBER, _LAST_NUMBER + 1))
    random.SystemRandom().shuffle(numbers)
    for number in numbers:
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.0.1", _LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return f"127.{number}", lock
    raise RuntimeError(
        f"no free /16 prefix from 127.{_FIRST_NUMBER} to 127.{_LAST_NUMBER}"
    )
