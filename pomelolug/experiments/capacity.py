"""Slopes of processor time, memory and bytes, and what they give at full size.

Each part is measured at several sizes; a straight line is fitted and evaluated
at the planned size. Run ``python -m pomelolug.experiments.capacity``; each line
of standard output is one JSON object with sizes, figures, slope, intercept, the
root mean square error of the fit and the value at the planned size.
"""

import asyncio
import dataclasses
import datetime
import json
import random
import resource
import subprocess
import sys
import time

import aiohttp
import fire
import msgspec

from pomelolug.claims import ClaimsFold
from pomelolug.clock import SystemClock
from pomelolug.control._directory import find_contradictions
from pomelolug.control._statuses import GroupStatusCache
from pomelolug.engines import HttpEngineClient
from pomelolug.errors import Finding
from pomelolug.experiments._slopes import REPEATS, Slope, fit, kilobytes, seconds
from pomelolug.groups import GroupsFold
from pomelolug.ids import Offset
from pomelolug.infrastructure._http import _vm_entry, _VmListReply
from pomelolug.messages import (
    Claim,
    ClaimBatch,
    Formation,
    GroupMember,
    GroupStatus,
    RoutingTable,
    StatusPull,
    decode,
    encode,
)
from pomelolug.routing import RoutingView
from pomelolug.state import Record, RecordKind

__all__ = ["main"]

GROUPS = 75
SERVERS = 600
MEMBERS = 8
NODES = 390
_STAMP = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def _status(number: int) -> GroupStatus:
    vms = tuple(f"vm-{number:03}-{member}" for member in range(MEMBERS))
    return GroupStatus(
        group=f"drafting.domain-{number:03}.0",
        pool="drafting",
        model="drafting",
        zone=f"zone-{number % 7}",
        domain=f"domain-{number:03}",
        token=number,
        phase="serving",
        leader=f"10.0.{number}.1:9000",
        members=vms,
        addresses=tuple(f"10.0.{number}.{member}:9000" for member in range(MEMBERS)),
        verified_age_s=0.5,
        capacity=64,
        load=20,
        watcher=f"node-{number:03}",
    )


async def _tables() -> list[Slope]:
    sizes = (8, 16, 32, 75, 150)
    clock = SystemClock()
    made, read, bytes_ = [], [], []
    for size in sizes:
        table = RoutingTable(
            config_version=1, config=b"", groups=tuple(map(_status, range(size)))
        )
        data = encode(table)
        view = RoutingView(
            zone="zone-1",  # type: ignore[arg-type]
            lease=datetime.timedelta(seconds=3),
            clock=clock,
            random_state=random.Random(1),
        )
        made.append(seconds(lambda table=table: encode(table)) * 1e3)  # type: ignore[misc]
        read.append(
            seconds(
                lambda data=data, view=view: view.update(decode(data, RoutingTable))  # type: ignore[misc]
            )
            * 1e3
        )
        bytes_.append(len(data) / 1024)
    return [
        fit("table_encode", "ms", "group", sizes, made, GROUPS),
        fit("table_decode_and_update", "ms", "group", sizes, read, GROUPS),
        fit("table_size", "KiB", "group", sizes, bytes_, GROUPS),
    ]


async def _statuses() -> list[Slope]:
    sizes = (8, 16, 32, 75, 150)
    clock = SystemClock()
    full, brief, answer, learn, memory = [], [], [], [], []
    for size in sizes:

        def board(size: int = size) -> GroupStatusCache:
            result = GroupStatusCache(node="a", clock=clock, on_change=lambda: None)
            for number in range(size):
                result.add_local(_status(number))
            return result

        here, there = board(), board()
        first = here.create_batch(StatusPull(sent_at_s=clock.monotonic()))
        there.add_batch("a", first)
        pull = StatusPull(sent_at_s=clock.monotonic(), known=first.version)
        second = here.create_batch(pull)
        full.append(len(encode(first)) / 1024)
        brief.append(len(encode(second)) / 1024)
        answer.append(seconds(lambda h=here, p=pull: encode(h.create_batch(p))) * 1e3)  # type: ignore[misc]
        learn.append(seconds(lambda t=there, s=second: t.add_batch("a", s)) * 1e3)  # type: ignore[misc]
        memory.append(kilobytes(board))
    return [
        fit("status_batch_full", "KiB", "group", sizes, full, GROUPS),
        fit("status_batch_brief", "KiB", "group", sizes, brief, GROUPS),
        fit("status_answer", "ms", "group", sizes, answer, GROUPS),
        fit("status_learn", "ms", "group", sizes, learn, GROUPS),
        fit("status_board", "KiB", "group", sizes, memory, GROUPS),
    ]


def _formation(number: int) -> Record:
    body = encode(
        Formation(
            group=f"drafting.domain-{number:03}.0",
            pool="drafting",
            model="drafting",
            version="1",
            members=tuple(
                GroupMember(vm=f"vm-{number:03}-{member}", incarnation=1)
                for member in range(MEMBERS)
            ),
            zone="zone-1",
            domain=f"domain-{number:03}",
            base=number - 1,
        )
    )
    return Record(
        offset=Offset(number),
        stamp=_STAMP,
        kind=RecordKind.FORMATION,
        author="node:a",
        nonce=number.to_bytes(16, "big"),
        body=body,
    )


def _groups_fold() -> list[Slope]:
    sizes = (8, 16, 32, 75, 150)
    memory, spent = [], []
    for size in sizes:
        records = [_formation(number) for number in range(size)]

        def replay(records: list[Record] = records) -> GroupsFold:
            fold = GroupsFold()
            for record in records:
                fold.apply(record)
            return fold

        memory.append(kilobytes(replay))
        spent.append(seconds(replay) * 1e3)
    return [
        fit("groups_fold_memory", "KiB", "group", sizes, memory, GROUPS),
        fit("groups_fold_replay", "ms", "group", sizes, spent, GROUPS),
    ]


def _claims_fold() -> list[Slope]:
    # 240 non-idempotent requests a second for an hour in 16 partitions.
    target = 240 * 3600 / 16
    sizes = (1000, 4000, 16000, 64000)
    memory, spent = [], []
    for size in sizes:
        records = [_claims(first) for first in range(0, size, 20)]

        def replay(records: list[Record] = records) -> ClaimsFold:
            fold = ClaimsFold()
            for record in records:
                fold.apply(record)
            return fold

        memory.append(kilobytes(replay))
        started = time.process_time()
        replay()
        spent.append((time.process_time() - started) * 1e3)
    return [
        fit("claims_fold_memory", "KiB", "claim", sizes, memory, target),
        fit("claims_fold_replay", "ms", "claim", sizes, spent, target),
    ]


def _claims(first: int) -> Record:
    claims = tuple(
        Claim(
            key=number.to_bytes(32, "big"),
            body=number.to_bytes(32, "little"),
            node=f"node-{number % NODES:03}",
            incarnation=1,
            nonce=number.to_bytes(16, "big"),
        )
        for number in range(first, first + 20)
    )
    return Record(
        offset=Offset(first),
        stamp=_STAMP + datetime.timedelta(milliseconds=first),
        kind=RecordKind.CLAIMS,
        author="node:a",
        nonce=first.to_bytes(16, "big"),
        body=encode(ClaimBatch(claims=claims)),
    )


def _resident(statement: str) -> float:
    """Return the resident memory of a fresh interpreter, in MiB."""
    code = (
        f"{statement}\n"
        "import pathlib\n"
        "status = pathlib.Path('/proc/self/status').read_text()\n"
        "print(status.split('VmRSS:')[1].split()[0])"
    )
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return int(output.stdout) / 1024


def _imports() -> list[dict[str, object]]:
    statements = {
        "interpreter": "pass",
        "asyncio": "import asyncio",
        "peer libraries": "import asyncio, websockets.asyncio.server, cbor2, msgspec",
        "control": "import pomelolug.control",
        "gateway": "import pomelolug.gateway",
        "operator": "import pomelolug.operator.__main__",
    }
    return [
        {
            "name": f"resident_{name.replace(' ', '_')}",
            "unit": "MiB",
            "figure": round(_resident(statement), 1),
        }
        for name, statement in statements.items()
    ]


def _vm_list() -> list[Slope]:
    # Engines, service servers and entry VMs are all on the list.
    target = SERVERS + NODES
    sizes = (75, 150, 300, 600)
    bytes_, spent = [], []
    for size in sizes:
        entries = [
            {
                "vm": f"vm-{number:04}",
                "role": "engine",
                "address": f"10.0.{number // 250}.{number % 250}:9000",
                "zone": f"zone-{number % 7}",
                "region": "region-1",
                "domain": f"domain-{number // 8:03}",
                "leaving": False,
                "service": "",
            }
            for number in range(size)
        ]
        data = msgspec.json.encode({"vms": entries})
        bytes_.append(len(data) / 1024)
        spent.append(seconds(lambda data=data: _read_list(data)) * 1e3)  # type: ignore[misc]
    return [
        fit("vm_list_size", "KiB", "VM", sizes, bytes_, target),
        fit("vm_list_read", "ms", "VM", sizes, spent, target),
    ]


def _read_list(data: bytes) -> list[Finding]:
    reply = msgspec.json.decode(data, type=_VmListReply)
    return find_contradictions([_vm_entry(vm) for vm in reply.vms])


async def _read_back() -> dict[str, object]:
    """Measure the processor time of one read-back over HTTP, without the server."""
    plan = ["--base_port=19400", "--engines=8", "--services=0"]
    command = [sys.executable, "-m", "pomelolug.testing.backend_server", *plan]
    server = await asyncio.create_subprocess_exec(*command)
    try:
        await asyncio.sleep(2.0)
        async with aiohttp.ClientSession() as session:
            engine = HttpEngineClient(session)
            second = datetime.timedelta(seconds=1)
            addresses = [f"127.0.0.1:{port}" for port in range(19401, 19409)]
            rounds = []
            for _ in range(5):
                started = time.process_time()
                for _ in range(REPEATS):
                    for address in addresses:
                        await engine.fetch_status(address, timeout=second)
                calls = REPEATS * len(addresses)
                rounds.append((time.process_time() - started) / calls)
    finally:
        server.terminate()
        await server.wait()
    return {
        "name": "read_back",
        "unit": "us",
        "figure": round(min(rounds) * 1e6, 1),
        "rounds": [round(value * 1e6, 1) for value in rounds],
    }


async def _measure() -> list[Slope]:
    return [
        *_vm_list(),
        *await _tables(),
        *await _statuses(),
        *_groups_fold(),
        *_claims_fold(),
    ]


def measure() -> None:
    """Print every slope as a JSON line."""
    for slope in asyncio.run(_measure()):
        print(json.dumps(dataclasses.asdict(slope)))
    print(json.dumps(asyncio.run(_read_back())))
    for figure in _imports():
        print(json.dumps(figure))
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(json.dumps({"name": "own_peak", "unit": "MiB", "figure": round(peak, 1)}))


def main() -> None:
    """Entry point of the command."""
    fire.Fire(measure, name="capacity")


if __name__ == "__main__":
    main()
