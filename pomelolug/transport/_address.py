"""Addresses of processes: an IP address and a port."""

import ipaddress

__all__ = ["is_address", "split_address"]

_MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of a process.

    Parameters
    ----------
    address : str
        Text like ``10.1.0.40:8229``. Host names are not looked up, since that takes a
        thread and a time of its own.

    Raises
    ------
    ValueError
        If the text is no such address, or one that no process has.

    Examples
    --------
    >>> split_address("10.1.0.40:8229")
    ('10.1.0.40', 8229)
    """
    host, _, port_text = address.rpartition(":")
    ip = ipaddress.ip_address(host)
    has_scope = isinstance(ip, ipaddress.IPv6Address) and ip.scope_id is not None
    if has_scope or ip.is_unspecified or ip.is_multicast:
        raise ValueError("the IP address is none of a process")
    if not (port_text.isascii() and port_text.isdigit()):
        raise ValueError("the port is no number")
    port = int(port_text) if len(port_text) <= len(str(_MAX_PORT)) else 0
    if not 0 < port <= _MAX_PORT:
        raise ValueError("the port is out of range")
    return host, port


def is_address(address: str) -> bool:
    """Return whether a text is an address that `split_address` reads.

    Examples
    --------
    >>> is_address("10.1.0.40:8229"), is_address("..:80")
    (True, False)
    """
    try:
        split_address(address)
    except ValueError:
        return False
    return True
