"""Tests of the ``entry`` command, which queries entry processes."""

import asyncio
import json
import sys

import pytest

from pomelolug.entry.tests.harness import (
    API_KEY,
    HOST,
    MODEL,
    Harness,
    send_response,
)
from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.operator._entry import fetch_entry_status


async def send_empty_response(request) -> None:
    send_response(request)


async def test_entry_command_prints_declaration_and_groups():
    # Guards against a command that requests a path which no process serves.
    async with Harness() as harness:
        await harness.add_server(send_empty_response, service="llm", vm="vm-head")
        await harness.start()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pomelolug.operator",
            "entry",
            f"{harness.ip}:8003",
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        assert process.returncode == 0
        state = json.loads(output)[f"{harness.ip}:8003"]
        assert state["declaration"] == 1
        (group,) = state["groups"]
        assert (group["state"], group["members"]) == ("open", {"0": "vm-head"})


@pytest.mark.parametrize(
    ("address", "code"),
    [
        ("127.0.0.1", ErrorCode.BAD_REQUEST),
        ("127.0.0.1:x", ErrorCode.BAD_REQUEST),
        ("127.0.0.1:1", ErrorCode.PLATFORM_UNAVAILABLE),
    ],
)
async def test_error_names_the_invalid_or_unreachable_address(address, code):
    with pytest.raises(PlatformError, match=address) as caught:
        await fetch_entry_status(address)
    assert caught.value.code is code


async def test_peer_that_is_not_an_entry_process_is_reported():
    async with Harness() as harness:
        await harness.start()
        with pytest.raises(PlatformError, match="status 404"):
            await fetch_entry_status(f"{harness.ip}:8002")


async def run_preview(address: str, *options: str) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "pomelolug.operator",
        "preview",
        address,
        *options,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    assert process.returncode is not None
    return process.returncode, output.decode(), errors.decode()


async def test_preview_command_prints_choice_and_exclusions():
    # Guards against options that the entry process does not understand.
    async with Harness() as harness:
        for vm, zone in (("vm-near", "z1"), ("vm-far", "z2")):
            await harness.add_server(send_empty_response, service="llm", vm=vm)
            harness.publish_server(
                vm, harness.servers[-1].address, service="llm", zone=zone
            )
        harness.evacuate("z2")
        await harness.start()
        async with asyncio.timeout(5.0):
            while not harness.entry._evacuated_zones.zones:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        status, output, errors = await run_preview(
            f"{harness.ip}:8003",
            f"--host={HOST}",
            "--path=/stream/x",
            f"--model={MODEL}",
            "--prompt-tokens=100",
            "--account=account-a",
            "--deadline=1.5",
        )
        assert (status, errors) == (0, "")
        preview = json.loads(output)
        assert (preview["route"], preview["kind"]) == ("stream", "stream")
        assert (preview["deadline_s"], preview["account"]) == (1.5, "account-a")
        assert preview["choice"]["server"] == "vm-near"
        excluded = {
            s["server"]: [e["reason"] for e in s.get("excluded", [])]
            for s in preview["servers"]
        }
        assert excluded == {"vm-near": [], "vm-far": ["zone_evacuated"]}
        assert API_KEY not in output


async def test_preview_command_prints_a_refusal_and_reports_invalid_options():
    # Guards against a command that fails for a request which is refused.
    async with Harness() as harness:
        await harness.start()
        address = f"{harness.ip}:8003"
        status, output, _ = await run_preview(
            address, "--host=other.example", "--path=/"
        )
        assert (status, json.loads(output)["refusal"]["status"]) == (0, 404)
        status, _, errors = await run_preview(
            address, f"--host={HOST}", "--path=/", "--prompt-tokens=many"
        )
        assert status == 2
        assert "many" in errors
