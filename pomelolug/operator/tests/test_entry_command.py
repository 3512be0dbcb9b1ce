"""Tests of the ``entry`` command, which queries entry processes."""

import asyncio
import json
import sys

import pytest

from pomelolug.entry.tests.harness import Harness, send_response
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
