"""Common parts of the experiments' commands."""

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

__all__ = ["TRACES", "run_interruptible", "run_in_folder"]

T = TypeVar("T")
_INTERRUPTED = 130

TRACES = pathlib.Path(__file__).parents[2] / "traces"
"""Folder of the traces."""


def run_interruptible(work: Coroutine[Any, Any, T]) -> T:
    """Run `work`; SIGTERM and SIGINT cancel it, so that it can clean up.

    The process then ends with exit status 130, as after an interrupt.
    """

    async def main() -> T:
        task = asyncio.ensure_future(work)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await task

    configure_logging("info")
    try:
        return asyncio.run(main())
    except asyncio.CancelledError:
        sys.exit(_INTERRUPTED)


async def run_in_folder(trace: Trace, logs: str) -> RunResult:
    """Run `trace` with its settings and logs in `logs` or a temporary folder."""
    if logs:
        folder = pathlib.Path(logs) / trace.name
        folder.mkdir(parents=True, exist_ok=True)
        return await run_trace(trace, folder)
    with tempfile.TemporaryDirectory(prefix="pomelolug-") as name:
        return await run_trace(trace, pathlib.Path(name))
