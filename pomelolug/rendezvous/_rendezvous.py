"""Rendezvous (highest random weight) hashing."""

import hashlib
from collections.abc import Iterable

__all__ = ["rendezvous"]


def rendezvous(key: str, nodes: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the `count` nodes with the highest weight for `key`.

    When a node leaves, only the keys for which it was selected are reassigned.

    Parameters
    ----------
    key : str
        Key to which the nodes are assigned.
    nodes : iterable of str
        Candidate nodes. Order does not matter and duplicates count once.
    count : int
        Number of nodes to return.

    Returns
    -------
    tuple of str
        At most `count` nodes in descending order of weight.

    References
    ----------
    Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
    IEEE/ACM Transactions on Networking 6(1), 1998.

    Examples
    --------
    >>> rendezvous("partition-1", ["a", "b", "c"], 2)
    ('c', 'a')
    >>> rendezvous("partition-1", ["b", "a"], 1)
    ('a',)
    """
    prefix = key.encode() + b"\0"
    weights = sorted(
        ((_weight(prefix, node), node) for node in set(nodes)), reverse=True
    )
    return tuple(node for _, node in weights[:count])


def _weight(prefix: bytes, node: str) -> bytes:
    return hashlib.blake2b(prefix + node.encode(), digest_size=8).digest()
