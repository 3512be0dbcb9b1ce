"""The operator's view of an entry process."""

import asyncio
import json
import sys

import pytest

from pomelolug.entry.tests.harness import Harness, send_response
from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.operator._entry import entry_status


async def serve(request) -> None:
    send_response(request)


async def test_entry_process_shows_declaration_and_groups():
    # Guards against a command that reads pages which no process serves.
    async with Harness() as world:
        await world.add_server(serve, service="llm", vm="vm-head")
        await world.start()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pomelolug.operator",
            "entry",
            f"{world.ip}:8003",
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        assert process.returncode == 0
        state = json.loads(output)[f"{world.ip}:8003"]
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
async def test_unreachable_process_is_reported_with_its_address(address, code):
    with pytest.raises(PlatformError, match=address) as caught:
        await entry_status(address)
    assert caught.value.code is code


async def test_peer_that_is_no_entry_process_is_reported():
    async with Harness() as world:
        await world.start()
        with pytest.raises(PlatformError, match="status 404"):
            await entry_status(f"{world.ip}:8002")
