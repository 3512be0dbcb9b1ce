"""Processor time, memory and bytes of the control plane at the planned size.

Each cost is measured at several sizes; a straight line is fitted and evaluated
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
from pomelolug.experiments._slopes import (
    CALLS_PER_ROUND,
    LinearFit,
    fit_line,
    measure_cpu_s,
    measure_memory_kib,
)
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

PLANNED_GROUPS = 75
PLANNED_SERVERS = 600
GROUP_SIZE = 8
PLANNED_NODES = 390
_TIMESTAMP = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def _make_status(number: int) -> GroupStatus:
    vms = tuple(f"vm-{number:03}-{member}" for member in range(GROUP_SIZE))
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
        addresses=tuple(f"10.0.{number}.{member}:9000" for member in range(GROUP_SIZE)),
        verified_age_s=0.5,
        capacity=64,
        load=20,
        watcher=f"node-{number:03}",
    )


async def _measure_tables() -> list[LinearFit]:
    sizes = (8, 16, 32, 75, 150)
    clock = SystemClock()
    encode_ms, update_ms, size_kib = [], [], []
    for size in sizes:
        table = RoutingTable(
            config_version=1, config=b"", groups=tuple(map(_make_status, range(size)))
        )
        data = encode(table)
        view = RoutingView(
            zone="zone-1",  # type: ignore[arg-type]
            lease=datetime.timedelta(seconds=3),
            clock=clock,
            random_state=random.Random(1),
        )
        encode_ms.append(measure_cpu_s(lambda table=table: encode(table)) * 1e3)  # type: ignore[misc]
        update_ms.append(
            measure_cpu_s(
                lambda data=data, view=view: view.update(decode(data, RoutingTable))  # type: ignore[misc]
            )
            * 1e3
        )
        size_kib.append(len(data) / 1024)
    return [
        fit_line("table_encode", "ms", "group", sizes, encode_ms, PLANNED_GROUPS),
        fit_line(
            "table_decode_and_update", "ms", "group", sizes, update_ms, PLANNED_GROUPS
        ),
        fit_line("table_size", "KiB", "group", sizes, size_kib, PLANNED_GROUPS),
    ]


async def _measure_statuses() -> list[LinearFit]:
    sizes = (8, 16, 32, 75, 150)
    clock = SystemClock()
    full_kib, brief_kib, answer_ms, merge_ms, memory_kib = [], [], [], [], []
    for size in sizes:

        def make_cache(size: int = size) -> GroupStatusCache:
            result = GroupStatusCache(node="a", clock=clock, on_change=lambda: None)
            for number in range(size):
                result.add_local(_make_status(number))
            return result

        local, remote = make_cache(), make_cache()
        full_batch = local.create_batch(StatusPull(sent_at_s=clock.monotonic()))
        remote.add_batch("a", full_batch)
        pull = StatusPull(sent_at_s=clock.monotonic(), known=full_batch.version)
        brief_batch = local.create_batch(pull)
        full_kib.append(len(encode(full_batch)) / 1024)
        brief_kib.append(len(encode(brief_batch)) / 1024)
        answer_ms.append(
            measure_cpu_s(lambda h=local, p=pull: encode(h.create_batch(p)))  # type: ignore[misc]
            * 1e3
        )
        merge_ms.append(
            measure_cpu_s(lambda t=remote, s=brief_batch: t.add_batch("a", s))  # type: ignore[misc]
            * 1e3
        )
        memory_kib.append(measure_memory_kib(make_cache))
    return [
        fit_line("status_batch_full", "KiB", "group", sizes, full_kib, PLANNED_GROUPS),
        fit_line(
            "status_batch_brief", "KiB", "group", sizes, brief_kib, PLANNED_GROUPS
        ),
        fit_line("status_answer", "ms", "group", sizes, answer_ms, PLANNED_GROUPS),
        fit_line("status_learn", "ms", "group", sizes, merge_ms, PLANNED_GROUPS),
        fit_line("status_board", "KiB", "group", sizes, memory_kib, PLANNED_GROUPS),
    ]


def _make_formation(number: int) -> Record:
    body = encode(
        Formation(
            group=f"drafting.domain-{number:03}.0",
            pool="drafting",
            model="drafting",
            version="1",
            members=tuple(
                GroupMember(vm=f"vm-{number:03}-{member}", incarnation=1)
                for member in range(GROUP_SIZE)
            ),
            zone="zone-1",
            domain=f"domain-{number:03}",
            base=number - 1,
        )
    )
    return Record(
        offset=Offset(number),
        timestamp=_TIMESTAMP,
        kind=RecordKind.FORMATION,
        author="node:a",
        nonce=number.to_bytes(16, "big"),
        body=body,
    )


def _measure_groups_fold() -> list[LinearFit]:
    sizes = (8, 16, 32, 75, 150)
    memory_kib, cpu_ms = [], []
    for size in sizes:
        records = [_make_formation(number) for number in range(size)]

        def replay(records: list[Record] = records) -> GroupsFold:
            fold = GroupsFold()
            for record in records:
                fold.apply(record)
            return fold

        memory_kib.append(measure_memory_kib(replay))
        cpu_ms.append(measure_cpu_s(replay) * 1e3)
    return [
        fit_line(
            "groups_fold_memory", "KiB", "group", sizes, memory_kib, PLANNED_GROUPS
        ),
        fit_line("groups_fold_replay", "ms", "group", sizes, cpu_ms, PLANNED_GROUPS),
    ]


def _measure_claims_fold() -> list[LinearFit]:
    # Claims of an hour in one of 16 partitions, at 240 non-idempotent requests/s.
    target = 240 * 3600 / 16
    sizes = (1000, 4000, 16000, 64000)
    memory_kib, cpu_ms = [], []
    for size in sizes:
        records = [_make_claims(first) for first in range(0, size, 20)]

        def replay(records: list[Record] = records) -> ClaimsFold:
            fold = ClaimsFold()
            for record in records:
                fold.apply(record)
            return fold

        memory_kib.append(measure_memory_kib(replay))
        started_s = time.process_time()
        replay()
        cpu_ms.append((time.process_time() - started_s) * 1e3)
    return [
        fit_line("claims_fold_memory", "KiB", "claim", sizes, memory_kib, target),
        fit_line("claims_fold_replay", "ms", "claim", sizes, cpu_ms, target),
    ]


def _make_claims(first: int) -> Record:
    claims = tuple(
        Claim(
            key=number.to_bytes(32, "big"),
            body=number.to_bytes(32, "little"),
            node=f"node-{number % PLANNED_NODES:03}",
            incarnation=1,
            nonce=number.to_bytes(16, "big"),
        )
        for number in range(first, first + 20)
    )
    return Record(
        offset=Offset(first),
        timestamp=_TIMESTAMP + datetime.timedelta(milliseconds=first),
        kind=RecordKind.CLAIMS,
        author="node:a",
        nonce=first.to_bytes(16, "big"),
        body=encode(ClaimBatch(claims=claims)),
    )


def _measure_resident_mib(statement: str) -> float:
    """Return the resident memory of a new interpreter after `statement`, in MiB."""
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


def _measure_imports() -> list[dict[str, object]]:
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
            "figure": round(_measure_resident_mib(statement), 1),
        }
        for name, statement in statements.items()
    ]


def _measure_vm_list() -> list[LinearFit]:
    # The list contains engines, service servers and entry VMs.
    target = PLANNED_SERVERS + PLANNED_NODES
    sizes = (75, 150, 300, 600)
    size_kib, cpu_ms = [], []
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
        size_kib.append(len(data) / 1024)
        cpu_ms.append(measure_cpu_s(lambda data=data: _read_vm_list(data)) * 1e3)  # type: ignore[misc]
    return [
        fit_line("vm_list_size", "KiB", "VM", sizes, size_kib, target),
        fit_line("vm_list_read", "ms", "VM", sizes, cpu_ms, target),
    ]


def _read_vm_list(data: bytes) -> list[Finding]:
    reply = msgspec.json.decode(data, type=_VmListReply)
    return find_contradictions([_vm_entry(vm) for vm in reply.vms])


async def _measure_read_back() -> dict[str, object]:
    """Measure the client's processor time of one HTTP status request to an engine."""
    plan = ["--base_port=19400", "--engines=8", "--services=0"]
    command = [sys.executable, "-m", "pomelolug.testing.backend_server", *plan]
    server = await asyncio.create_subprocess_exec(*command)
    try:
        await asyncio.sleep(2.0)
        async with aiohttp.ClientSession() as session:
            engine = HttpEngineClient(session)
            second = datetime.timedelta(seconds=1)
            addresses = [f"127.0.0.1:{port}" for port in range(19401, 19409)]
            call_times_s = []
            for _ in range(5):
                started_s = time.process_time()
                for _ in range(CALLS_PER_ROUND):
                    for address in addresses:
                        await engine.fetch_status(address, timeout=second)
                calls = CALLS_PER_ROUND * len(addresses)
                call_times_s.append((time.process_time() - started_s) / calls)
    finally:
        server.terminate()
        await server.wait()
    return {
        "name": "read_back",
        "unit": "us",
        "figure": round(min(call_times_s) * 1e6, 1),
        "rounds": [round(value * 1e6, 1) for value in call_times_s],
    }


async def _measure_fits() -> list[LinearFit]:
    return [
        *_measure_vm_list(),
        *await _measure_tables(),
        *await _measure_statuses(),
        *_measure_groups_fold(),
        *_measure_claims_fold(),
    ]


def measure() -> None:
    """Print every measurement as a JSON line."""
    for fit in asyncio.run(_measure_fits()):
        print(json.dumps(dataclasses.asdict(fit)))
    print(json.dumps(asyncio.run(_measure_read_back())))
    for measurement in _measure_imports():
        print(json.dumps(measurement))
    peak_mib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(json.dumps({"name": "own_peak", "unit": "MiB", "figure": round(peak_mib, 1)}))


def main() -> None:
    """Run the command."""
    fire.Fire(measure, name="capacity")


if __name__ == "__main__":
    main()
