"""Shared functions of the commands that run traces."""

import asyncio
import pathlib
import signal
import sys
import tempfile
from collections.abc import Coroutine
from typing import Any, TypeVar

from pomelolug.experiments._runner import RunResult, run_trace
from pomelolug.experiments._trace import Trace
from pomelolug.telemetry import configure_logging

__all__ = ["TRACE_DIRECTORY", "run_in_directory", "run_interruptible"]

T = TypeVar("T")
_INTERRUPTED_STATUS = 130

TRACE_DIRECTORY = pathlib.Path(__file__).parents[2] / "traces"
"""Directory of the trace files."""


def run_interruptible(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run `coroutine`; SIGTERM and SIGINT cancel it, so that it can clean up.

    After a cancellation the process exits with status 130, as for SIGINT.
    """

    async def main() -> T:
        task = asyncio.ensure_future(coroutine)
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, task.cancel)
        return await task

    configure_logging("info")
    try:
        return asyncio.run(main())
    except asyncio.CancelledError:
        sys.exit(_INTERRUPTED_STATUS)


async def run_in_directory(trace: Trace, logs: str) -> RunResult:
    """Run `trace` with settings and logs in `logs`, or in a temporary directory."""
    if logs:
        directory = pathlib.Path(logs) / trace.name
        directory.mkdir(parents=True, exist_ok=True)
        return await run_trace(trace, directory)
    with tempfile.TemporaryDirectory(prefix="pomelolug-") as name:
        return await run_trace(trace, pathlib.Path(name))
