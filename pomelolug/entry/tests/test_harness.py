"""Addresses of the harness, and its start of nodes that fail."""

import asyncio
import contextlib
import errno
import random
import socket
import sys
import time

import pytest

from pomelolug.entry.tests.harness import Harness, ProcessNode
from pomelolug.experiments.process_soak._cluster import ProcessCluster
from pomelolug.experiments.process_soak._promises import FaultWindows, GuaranteeChecker

PROCESS_COUNT = 3
HARNESS_COUNT = 400
"""Harnesses per process; 400 random addresses of 62,250 are rarely all different."""
PRINT_ADDRESSES = f"""
import random, sys
# All processes try the prefixes in the same order, so that they contend for them.
random.SystemRandom.shuffle = lambda self, numbers: None
from pomelolug.entry.tests.harness import Harness
print(*(Harness().ip for _ in range({HARNESS_COUNT})), flush=True)
sys.stdin.read()
"""


@contextlib.asynccontextmanager
async def addresses_of_other_processes():
    """Yield the addresses that harnesses of other processes hold."""
    processes = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            PRINT_ADDRESSES,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 20,
        )
        for _ in range(PROCESS_COUNT)
    ]
    try:
        async with asyncio.timeout(30.0):
            lines = [await process.stdout.readline() for process in processes]
        yield [address for line in lines for address in line.decode().split()]
    finally:
        await asyncio.gather(*(process.communicate(b"") for process in processes))


async def test_no_two_harnesses_have_the_same_address(tmp_path):
    # Guards against nodes of two test workers, or of two harnesses of one worker, that
    # listen on the same address.
    first = Harness()
    process_node = ProcessNode(first, tmp_path)
    own = [Harness(joins=first).ip for _ in range(HARNESS_COUNT)]
    async with addresses_of_other_processes() as others:
        assert len(others) == PROCESS_COUNT * HARNESS_COUNT
        addresses = [first.ip, process_node.ip, *own, *others]
        assert len(set(addresses)) == len(addresses)


async def test_no_harness_has_an_address_of_a_soak(tmp_path, monkeypatch):
    # Guards against nodes of a harness that listen on an address of a soak that runs
    # at the same time.
    monkeypatch.setattr(random.SystemRandom, "shuffle", lambda self, numbers: None)
    async with addresses_of_other_processes() as addresses:
        clusters = [
            ProcessCluster(
                tmp_path,
                GuaranteeChecker(FaultWindows()),
                random.Random(1),
                seed=1,
                entry_count=1,
            )
            for _ in range(20)
        ]
        prefixes = {cluster._network_prefix for cluster in clusters}
        for cluster in clusters:
            await cluster.stop()
    assert len(prefixes) == len(clusters)
    addresses += [Harness().ip for _ in range(HARNESS_COUNT)]
    assert not [a for a in addresses if a.rsplit(".", 2)[0] in prefixes]


@pytest.mark.parametrize("servers", [0, 1])
@pytest.mark.parametrize("port", [8001, 8003])
async def test_start_raises_the_exception_of_a_node_that_fails(port, servers):
    # Guards against a node that ends at its start, and of which only a timeout tells.
    async with Harness() as h:
        with socket.create_server((h.ip, port)):
            started_at_s = time.monotonic()
            with pytest.raises(OSError) as raised:
                await h.start(servers=servers)
            assert raised.value.errno == errno.EADDRINUSE
            assert time.monotonic() - started_at_s < 2.0


async def test_start_fails_if_another_node_listens_on_all_ports():
    # Guards against a harness that takes the node of another one for its own.
    async with Harness() as h, Harness(joins=h) as other:
        await h.start()
        other._ip = h.ip
        with pytest.raises(OSError) as raised:
            await other.start(servers=0)
        assert raised.value.errno == errno.EADDRINUSE
        head, _ = await h.request("/safe/x")
        assert head.status == 503
