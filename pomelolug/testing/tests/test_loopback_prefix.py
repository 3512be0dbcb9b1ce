import random

import pytest

from pomelolug.testing import reserve_loopback_prefix


@pytest.fixture
def same_order(monkeypatch):
    """Let each reservation try the prefixes in the same order."""
    monkeypatch.setattr(random.SystemRandom, "shuffle", lambda self, numbers: None)


def test_reserved_prefix_is_not_given_again(same_order):
    # Guards against two runs on one machine that use the same addresses.
    reserved = [reserve_loopback_prefix() for _ in range(20)]
    for _, lock in reserved:
        lock.close()
    assert len({prefix for prefix, _ in reserved}) == len(reserved)


def test_reservation_needs_no_privileges(same_order):
    # Guards against users who reserve at different ports, and so the same prefix.
    prefix, lock = reserve_loopback_prefix()
    with lock:
        address, port = lock.getsockname()
    assert address.startswith(f"{prefix}.")
    assert port >= 1024
