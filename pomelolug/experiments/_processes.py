"""Child processes of an experiment, signalled by process id."""

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
# Below the ephemeral port range from which Linux takes local ports of
# outgoing connections.
_PORT_RANGE = (15_000, 30_000)
_PORT_ATTEMPTS = 100

_log = structlog.get_logger()


def find_free_port_block(count: int) -> int:
    """Return the first of `count` consecutive free loopback ports."""
    # Not seeded, so that concurrent experiments do not choose the same ports.
    rng = random.SystemRandom()
    for _ in range(_PORT_ATTEMPTS):
        base = rng.randrange(_PORT_RANGE[0], _PORT_RANGE[1] - count)
        if all(_is_free(port) for port in range(base, base + count)):
            return base
    raise OSError("found no block of free consecutive ports")


def _is_free(port: int) -> bool:
    with contextlib.closing(socket.socket()) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class ChildProcess:
    """A Python module that runs in a child process.

    Parameters
    ----------
    name : str
        Name for log files and messages.
    process : asyncio.subprocess.Process
        Handle of the running process.
    """

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self._name = name
        self._process = process

    @property
    def name(self) -> str:
        """Name for log files and messages."""
        return self._name

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """Exit status, or None while the process is running."""
        return self._process.returncode

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal_number)

    async def wait(self) -> int:
        """Wait until the process exits and return its exit status."""
        return await self._process.wait()


class ProcessManager:
    """Starts and terminates the child processes of an experiment.

    Parameters
    ----------
    directory : pathlib.Path
        Directory of the output files, ``NAME.log`` for each process.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._children: list[ChildProcess] = []

    @property
    def children(self) -> tuple[ChildProcess, ...]:
        """Child processes in the order in which they were started."""
        return tuple(self._children)

    async def start(
        self, name: str, module: str, arguments: Sequence[str]
    ) -> ChildProcess:
        """Start ``python -m module`` with its output appended to ``NAME.log``."""
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
        """Run ``python -m module`` to completion.

        Returns
        -------
        tuple of (int, str, str)
            Exit status, standard output and standard error.
        """
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
        """Terminate every process with SIGTERM, then with SIGKILL after a timeout."""
        for child in self._children:
            # A stopped process handles SIGTERM only after SIGCONT.
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
