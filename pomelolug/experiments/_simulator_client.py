"""Client of the control interfaces of the simulated platform and backends."""

from typing import Any

import aiohttp
import msgspec

from pomelolug.engines import EngineStatus
from pomelolug.testing._ledger import Execution, Violation

__all__ = ["BackendState", "LedgerSnapshot", "SimulatorClient"]

_TIMEOUT = aiohttp.ClientTimeout(total=5.0)


class LedgerSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Snapshot of what the backend servers executed and refused."""

    executions: tuple[Execution, ...]
    violations: tuple[Violation, ...]
    refusals: dict[str, int]
    crashes: int = 0
    now: float


class BackendState(msgspec.Struct, frozen=True, kw_only=True):
    """Actual state of a backend server; `status` is the state that it reports."""

    address: str
    zone: str
    domain: str
    service: str
    alive: bool
    reachable: bool
    members: tuple[str, ...]
    rank: int
    status: EngineStatus


class _BackendStates(msgspec.Struct, frozen=True):
    vms: tuple[BackendState, ...]


class SimulatorClient:
    """Client of the simulated platform and backend servers of an experiment.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP client session of the experiment.
    platform, backends : str
        IP address and port of each control interface.
    """

    def __init__(
        self, session: aiohttp.ClientSession, *, platform: str, backends: str
    ) -> None:
        self._session = session
        self._platform = platform
        self._backends = backends

    async def platform_fault(self, **fields: Any) -> None:
        """Update fields of the platform's fault settings."""
        await self._call(self._platform, "/faults", fields)

    async def backend_fault(self, **fields: Any) -> list[str]:
        """Inject a fault into backend servers; return the affected VMs."""
        data = await self._call(self._backends, "/faults", fields)
        return msgspec.json.decode(data)["vms"]

    async def ledger(self) -> LedgerSnapshot:
        """Return a snapshot of the backend servers' ledger."""
        return msgspec.json.decode(
            await self._call(self._backends, "/ledger"), type=LedgerSnapshot
        )

    async def vms(self) -> tuple[BackendState, ...]:
        """Return the actual state of every backend server."""
        data = await self._call(self._backends, "/vms")
        return msgspec.json.decode(data, type=_BackendStates).vms

    async def appends(self) -> int:
        """Return the number of records appended to the log."""
        data = await self._call(self._platform, "/streams")
        return msgspec.json.decode(data)["appends"]

    async def is_up(self) -> bool:
        """Return whether both control interfaces answer."""
        try:
            await self._call(self._platform, "/faults")
            await self._call(self._backends, "/vms")
        except (aiohttp.ClientError, TimeoutError):
            return False
        return True

    async def _call(
        self, address: str, path: str, body: dict[str, Any] | None = None
    ) -> bytes:
        method = "GET" if body is None else "POST"
        data = None if body is None else msgspec.json.encode(body)
        async with self._session.request(
            method, f"http://{address}{path}", data=data, timeout=_TIMEOUT
        ) as response:
            response.raise_for_status()
            return await response.read()
