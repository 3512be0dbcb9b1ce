"""Child processes of an experiment: started, paused and ended by id."""

import asyncio
import contextlib
import pathlib
import random
import signal
import socket
import sys
from collections.abc import Sequence

import structlog

__all__ = ["ChildProcess", "ProcessManager", "find_free_port_block"]

_TERMINATION_TIMEOUT_S = 3.0
# Below the range from which Linux takes local ports of outgoing connections.
_PORT_RANGE = (15_000, 30_000)
_PORT_ATTEMPTS = 100

_log = structlog.get_logger()


def find_free_port_block(count: int) -> int:
    """Return the first of `count` consecutive free loopback ports."""
    # Two experiments that run at once must not draw the same ports.
    rng = random.SystemRandom()
    for _ in range(_PORT_ATTEMPTS):
        base = rng.randrange(_PORT_RANGE[0], _PORT_RANGE[1] - count)
        if all(_is_free(port) for port in range(base, base + count)):
            return base
    raise OSError("no free block of ports")


def _is_free(port: int) -> bool:
    with contextlib.closing(socket.socket()) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class ChildProcess:
    """One Python module that runs as a process.

    Parameters
    ----------
    name : str
        Name for messages.
    process : asyncio.subprocess.Process
        The process.
    """

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self._name = name
        self._process = process

    @property
    def name(self) -> str:
        """Name for messages."""
        return self._name

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """Exit status, or None while the process runs."""
        return self._process.returncode

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal_number)

    async def wait(self) -> int:
        """Wait for the end and return the exit status."""
        return await self._process.wait()


class ProcessManager:
    """Every process that an experiment started.

    Parameters
    ----------
    directory : pathlib.Path
        Where each process writes its output, ``NAME.log``.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._children: list[ChildProcess] = []

    @property
    def children(self) -> tuple[ChildProcess, ...]:
        """Processes in order of their start."""
        return tuple(self._children)

    async def start(
        self, name: str, module: str, arguments: Sequence[str]
    ) -> ChildProcess:
        """Start ``python -m module`` and keep its output in a file."""
        path = self._directory / f"{name}.log"
        with path.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        child = ChildProcess(name, process)
        self._children.append(child)
        return child

    async def run(
        self, module: str, arguments: Sequence[str], *, timeout_s: float
    ) -> tuple[int, str, str]:
        """Run ``python -m module`` to its end; return status and outputs."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(timeout_s):
                output, errors = await process.communicate()
        except BaseException:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            raise
        return process.returncode or 0, output.decode(), errors.decode()

    async def close(self) -> None:
        """End every process, first with SIGTERM, then with SIGKILL."""
        for child in self._children:
            # A paused process handles SIGTERM only after it continues.
            child.send_signal(signal.SIGCONT)
            child.send_signal(signal.SIGTERM)
        wait_tasks = [asyncio.create_task(child.wait()) for child in self._children]
        if not wait_tasks:
            return
        _, running = await asyncio.wait(wait_tasks, timeout=_TERMINATION_TIMEOUT_S)
        for child, wait_task in zip(self._children, wait_tasks, strict=True):
            if wait_task in running:
                _log.warning("process_killed", name=child.name, pid=child.pid)
                child.send_signal(signal.SIGKILL)
        await asyncio.gather(*wait_tasks)
