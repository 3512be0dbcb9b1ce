"""Addresses that other programs have written."""

import datetime

import pytest

from pomelolug.transport import (
    ConnectionPool,
    HttpConnectionError,
    is_address,
    open_connection,
)

SECOND = datetime.timedelta(seconds=1)
INVALID = {
    "empty": "",
    "no_port": "10.0.0.1",
    "empty_port": "10.0.0.1:",
    "port_0": "10.0.0.1:0",
    "port_too_large": "10.0.0.1:65536",
    "port_of_many_digits": "10.0.0.1:" + "9" * 6000,
    "negative_port": "10.0.0.1:-1",
    "port_of_other_digits": "10.0.0.1:\u0663",
    "host_name": "host.example:80",
    "long_label": "a" * 300 + ":80",
    "dots": "..:80",
    "short_form": "127.1:80",
    "unspecified": "0.0.0.0:80",
    "multicast": "224.0.0.1:80",
    "scope": "fe80::1%" + "a" * 300 + ":80",
    "line_end": "10.0.0.1\r\n:80",
}


@pytest.mark.parametrize("address", INVALID.values(), ids=INVALID)
async def test_invalid_address_is_a_connection_that_does_not_open(address):
    # Guards against an exception that no caller of the pool expects, which closes the
    # connections of callers without an answer.
    pool = ConnectionPool(max_idle=SECOND, connect_timeout=SECOND)
    assert not is_address(address)
    with pytest.raises(HttpConnectionError) as caught:
        await pool.acquire(address)
    assert caught.value.reason == "invalid_address"


@pytest.mark.parametrize("host", ["a" * 300, ".."])
async def test_host_that_is_no_name_is_a_connection_that_does_not_open(host):
    # Guards against the same for addresses from settings.
    with pytest.raises(HttpConnectionError):
        await open_connection(host, 80, timeout=SECOND)


@pytest.mark.parametrize("address", ["10.0.0.1:1", "127.0.0.1:65535", "::1:80"])
def test_address_of_a_process_is_valid(address):
    # Guards against servers that are left out.
    assert is_address(address)
