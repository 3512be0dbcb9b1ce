"""Processes that the soak starts and signals by their process ids."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

__all__ = ["SoakProcess"]


class SoakProcess:
    """Python process that can be started again after it has exited.

    Parameters
    ----------
    name : str
        Name of the process and of its log files.
    arguments : tuple of str
        Arguments of the Python interpreter.
    environment : mapping
        Variables added to the environment of this process.
    folder : pathlib.Path
        Directory for standard error and, unless it is read, standard output.
    on_line : callable or None
        Called with each decoded line of standard output, which is then read.
    """

    def __init__(
        self,
        *,
        name: str,
        arguments: tuple[str, ...],
        environment: Mapping[str, str],
        folder: pathlib.Path,
        on_line: Callable[[dict[str, Any]], None] | None = None,
    ) -> None:
        self._name = name
        self._arguments = arguments
        self._environment = environment
        self._folder = folder
        self._on_line = on_line
        self._process: asyncio.subprocess.Process | None = None
        self._reader_task: asyncio.Task[None] | None = None
        self._is_exit_expected = False

    @property
    def name(self) -> str:
        """Name of the process."""
        return self._name

    @property
    def pid(self) -> int:
        """Id of the process while it runs, else 0."""
        return self._process.pid if self._process is not None else 0

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self._process is not None and self._process.returncode is None

    @property
    def has_exited_unexpectedly(self) -> bool:
        """Whether the process exited without SIGTERM or SIGKILL from the soak."""
        started = self._process is not None
        return started and not self.is_running and not self._is_exit_expected

    @property
    def stderr_text(self) -> str:
        """Text that the process wrote to standard error."""
        path = self._folder / f"{self._name}.err"
        return path.read_text() if path.exists() else ""

    @property
    def log_text(self) -> str:
        """Text that the process wrote to standard output, unless it is read."""
        path = self._folder / f"{self._name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def start(self) -> None:
        """Start the process."""
        self._is_exit_expected = False
        with contextlib.ExitStack() as files:
            out: Any = asyncio.subprocess.PIPE
            if self._on_line is None:
                path = self._folder / f"{self._name}.log"
                out = files.enter_context(path.open("ab"))
            error = files.enter_context((self._folder / f"{self._name}.err").open("ab"))
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._arguments,
                stdin=asyncio.subprocess.PIPE,
                stdout=out,
                stderr=error,
                env=os.environ | dict(self._environment),
            )
        if self._on_line is not None:
            self._reader_task = asyncio.create_task(self._read_output())

    def send(self, message: msgspec.Struct) -> None:
        """Write `message` as a JSON line to standard input if the process runs."""
        if self.is_running and self._process is not None and self._process.stdin:
            self._process.stdin.write(msgspec.json.encode(message) + b"\n")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._is_exit_expected = True
        if self.is_running and self._process is not None:
            self._process.send_signal(number)

    async def wait(self) -> None:
        """Wait until the process has exited and its output has been read."""
        if self._process is not None:
            await self._process.wait()
        if self._reader_task is not None:
            await self._reader_task

    async def kill(self) -> None:
        """Kill the process, even if it is stopped, and wait for its exit."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.wait()

    async def _read_output(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        assert self._on_line is not None
        while line := await self._process.stdout.readline():
            self._on_line(msgspec.json.decode(line))
