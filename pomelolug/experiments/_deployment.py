"""Deployment on loopback: simulators and entry VMs as child processes."""

import asyncio
import dataclasses
import pathlib
import re
import signal
from collections.abc import Awaitable, Callable

import aiohttp
import structlog

from pomelolug.experiments._config_files import (
    AccountKeys,
    write_configuration,
    write_ini,
)
from pomelolug.experiments._monitor import count_groups
from pomelolug.experiments._processes import (
    ChildProcess,
    ProcessManager,
    find_free_port_block,
)
from pomelolug.experiments._simulator_client import SimulatorClient
from pomelolug.experiments._trace import Trace

__all__ = ["Deployment", "EntryVm"]

_HOST = "127.0.0.1"
_REGION = "region-1"
# Fixed keys suffice: everything runs on loopback for the duration of an experiment.
_PEER_KEY = "peer=" + "ab" * 32
_OPERATOR_KEY = "cd" * 32
_START_TIMEOUT_S = 10.0
_POLL_S = 0.1
_RESPONSE_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
# Time limit for an accepted configuration to be in force on every entry VM.
_IN_FORCE_TIMEOUT_S = 16.0
_VERSION_METRIC = re.compile(r"^\S*config_version\S* (\S+)$", re.MULTILINE)
_PUBLISH_TIMEOUT_S = 20.0
_OPERATORS = ("alice", "bob")

_log = structlog.get_logger()


@dataclasses.dataclass(kw_only=True)
class EntryVm:
    """Gateway and control processes of an entry VM."""

    name: str
    zone: str
    gateway_address: str
    control_address: str
    gateway: ChildProcess | None = None
    control: ChildProcess | None = None

    @property
    def processes(self) -> tuple[ChildProcess, ...]:
        """Processes that have been started."""
        return tuple(item for item in (self.gateway, self.control) if item)


class Deployment:
    """All processes of an experiment.

    Parameters
    ----------
    trace : Trace
        Trace that describes the deployment.
    directory : pathlib.Path
        Empty directory for settings and logs.
    session : aiohttp.ClientSession
        HTTP client session of the experiment.
    """

    def __init__(
        self, trace: Trace, directory: pathlib.Path, session: aiohttp.ClientSession
    ) -> None:
        spec = trace.deployment
        self._trace = trace
        self._spec = spec
        self._directory = directory
        self._session = session
        self._processes = ProcessManager(directory)
        self._keys = AccountKeys([account.name for account in trace.accounts])
        port_count = 1 + len(spec.zones) + 1 + spec.engines + spec.service_vms
        port_count += 2 * len(spec.entry_zones)
        self._platform_port = find_free_port_block(port_count)
        self._backend_port = self._platform_port + 1 + len(spec.zones)
        entry_port = self._backend_port + 1 + spec.engines + spec.service_vms
        self._entries = tuple(
            EntryVm(
                name=f"entry-{index}",
                zone=zone,
                gateway_address=f"{_HOST}:{entry_port + 2 * index}",
                control_address=f"{_HOST}:{entry_port + 2 * index + 1}",
            )
            for index, zone in enumerate(spec.entry_zones)
        )
        self._simulators = SimulatorClient(
            session,
            platform=f"{_HOST}:{self._platform_port}",
            backends=f"{_HOST}:{self._backend_port}",
        )
        self._ttft_targets_s: dict[str, float] = {}
        self._publish_count = 0
        self._stopped_processes: list[ChildProcess] = []

    @property
    def entries(self) -> tuple[EntryVm, ...]:
        """Entry VMs of the deployment."""
        return self._entries

    @property
    def keys(self) -> dict[str, str]:
        """API keys by client account."""
        return self._keys.keys

    @property
    def simulators(self) -> SimulatorClient:
        """Client of the simulated platform and backend servers."""
        return self._simulators

    async def start(self) -> None:
        """Start every process and wait until the simulators and controls respond."""
        await self._start_platform()
        await self._wait_until("platform", self._is_platform_up)
        await self._start_backends()
        await self._wait_until("backends", self._simulators.is_up)
        await asyncio.gather(*(self._start_entry(entry) for entry in self._entries))
        await self._wait_until("control processes", self._are_controls_up)

    async def close(self) -> None:
        """Terminate every process."""
        await self._processes.close()

    async def wait_for_gateways(self, timeout_s: float) -> None:
        """Wait until every gateway is ready."""

        async def all_ready() -> bool:
            ready = [await self._is_gateway_ready(entry) for entry in self._entries]
            return all(ready)

        await self._wait_until("gateways", all_ready, timeout_s=timeout_s)

    async def wait_for_groups(self, timeout_s: float) -> None:
        """Wait until as many groups serve as the healthy VMs allow."""

        async def all_serving() -> bool:
            vms = await self._simulators.vms()
            possible, serving, _ = count_groups(vms, self._spec.members)
            return serving >= possible

        await self._wait_until("groups", all_serving, timeout_s=timeout_s)

    async def wait_for_config_version(self, version: int) -> None:
        """Wait until every running entry VM has at least `version` in force."""

        async def all_current() -> bool:
            return all(
                item >= version for item in (await self.config_versions()).values()
            )

        await self._wait_until(
            f"configuration version {version}",
            all_current,
            timeout_s=_IN_FORCE_TIMEOUT_S,
        )

    async def config_versions(self) -> dict[str, int]:
        """Return the configuration version of each entry VM that answers."""
        versions = {}
        for entry in self._entries:
            text = await self._fetch_metrics(entry)
            if text is not None:
                found = _VERSION_METRIC.search(text)
                versions[entry.name] = int(float(found[1])) if found else -1
        return versions

    async def _fetch_metrics(self, entry: EntryVm) -> str | None:
        try:
            url = f"http://{entry.gateway_address}/metrics"
            async with self._session.get(url, timeout=_RESPONSE_TIMEOUT) as response:
                return await response.text()
        except (aiohttp.ClientError, TimeoutError):
            return None

    def stop_entry(self, index: int) -> list[ChildProcess]:
        """Send SIGTERM to both processes of an entry VM and return them."""
        processes = list(self._entries[index].processes)
        self._stopped_processes += processes
        for process in processes:
            process.send_signal(signal.SIGTERM)
        return processes

    def kill_entry(self, index: int) -> None:
        """Send SIGKILL to both processes of an entry VM."""
        self._stopped_processes += self._entries[index].processes
        for process in self._entries[index].processes:
            process.send_signal(signal.SIGKILL)

    def pids(self, zone: str, *, inside: bool) -> list[int]:
        """Return the ids of running entry processes inside or outside `zone`."""
        return [
            process.pid
            for entry in self._entries
            if (entry.zone == zone) is inside
            for process in entry.processes
            if process.returncode is None
        ]

    async def publish(
        self,
        *,
        base_version: int,
        operator: str = _OPERATORS[0],
        work_class: str = "",
        ttft_target_s: float = 0.0,
    ) -> int | None:
        """Publish the trace's configuration, optionally with a changed target.

        Returns
        -------
        int or None
            Published version, or None if the change was not accepted.
        """
        targets = dict(self._ttft_targets_s)
        if work_class:
            targets[work_class] = ttft_target_s
        self._publish_count += 1
        path = self._directory / f"configuration-{self._publish_count}.ini"
        write_configuration(path, self._trace, self._keys, ttft_targets_s=targets)
        version = await self._run_publish(path, base_version, operator)
        if version is not None:
            self._ttft_targets_s = targets
        return version

    async def _run_publish(
        self, path: pathlib.Path, base_version: int, operator: str
    ) -> int | None:
        settings = self._directory / f"operator-{operator}.ini"
        write_ini(settings, self._operator_settings(operator))
        arguments = ["publish", str(path), "--base", str(base_version)]
        arguments += ["--settings", str(settings)]
        status, output, errors = await self._processes.run(
            "pomelolug.operator", arguments, timeout_s=_PUBLISH_TIMEOUT_S
        )
        _log.info(
            "published",
            operator=operator,
            base=base_version,
            status=status,
            output=output.strip()[-300:],
            errors=errors.strip()[-300:],
        )
        found = re.search(r"version\D*(\d+)", output)
        return int(found[1]) if status == 0 and found else None

    def _running_entry(self) -> EntryVm:
        stopped = {process.pid for process in self._stopped_processes}
        for entry in self._entries:
            if entry.control is not None and entry.control.pid not in stopped:
                return entry
        return self._entries[0]

    def _operator_settings(self, operator: str) -> dict[str, dict[str, object]]:
        return {
            "operator": {"name": operator, "key": f"{operator}={_OPERATOR_KEY}"},
            "platform": {"log": f"{_HOST}:{self._platform_port}"},
            "control": {
                "address": self._running_entry().control_address,
                "keys": _PEER_KEY,
            },
        }

    async def _start_platform(self) -> None:
        spec = self._spec
        arguments = [f"--port={self._platform_port}", f"--zones={','.join(spec.zones)}"]
        arguments += [f"--models={','.join(spec.pools)}"]
        arguments += [f"--model_bytes={spec.model_bytes}"]
        arguments += [f"--rate_bytes_per_s={spec.rate_bytes_per_s}"]
        module = "pomelolug.testing.platform_server"
        await self._processes.start("platform", module, arguments)

    async def _start_backends(self) -> None:
        spec = self._spec
        options = {
            "base_port": self._backend_port,
            "engines": spec.engines,
            "services": spec.service_vms,
            "service_names": ",".join(spec.services),
            "zones": ",".join(spec.zones),
            "region": _REGION,
            "domain_size": spec.domain_size,
            "capacity": spec.capacity,
            "model_bytes": spec.model_bytes,
            "rate_bytes_per_s": spec.rate_bytes_per_s,
            "first_token_ms": spec.first_token_ms,
            "first_token_cached_ms": spec.first_token_cached_ms,
            "step_ms": spec.step_ms,
            "service_ms": spec.service_ms,
            "fencing": spec.fencing,
            "platform": f"{_HOST}:{self._platform_port}",
        }
        arguments = [f"--{name}={value}" for name, value in options.items()]
        module = "pomelolug.testing.backend_server"
        await self._processes.start("backends", module, arguments)

    async def _start_entry(self, entry: EntryVm) -> None:
        control_file = self._directory / f"{entry.name}-control.ini"
        gateway_file = self._directory / f"{entry.name}-gateway.ini"
        write_ini(control_file, self._control_settings(entry))
        write_ini(gateway_file, self._gateway_settings(entry))
        entry.control = await self._processes.start(
            f"{entry.name}-control", "pomelolug.control", [str(control_file)]
        )
        entry.gateway = await self._processes.start(
            f"{entry.name}-gateway", "pomelolug.gateway", [str(gateway_file)]
        )

    def _control_settings(self, entry: EntryVm) -> dict[str, dict[str, object]]:
        spec = self._spec
        port = self._platform_port + 1 + spec.zones.index(entry.zone)
        platform = f"{_HOST}:{port}"
        keys = ", ".join(f"{name}={_OPERATOR_KEY}" for name in _OPERATORS)
        seeds = ", ".join(item.control_address for item in self._entries)
        return {
            "node": {
                "name": entry.name,
                "zone": entry.zone,
                "region": _REGION,
                "gateway": entry.gateway_address,
            },
            "listen": {"address": entry.control_address},
            "peers": {"seeds": seeds, "keys": _PEER_KEY},
            "platform": {
                "log": platform,
                "vms": platform,
                "weights": platform,
                "operators": keys,
            },
            "groups": {
                "verify_every": f"{spec.verify_every_s}s",
                "lease": f"{spec.lease_s}s",
            },
        }

    def _gateway_settings(self, entry: EntryVm) -> dict[str, dict[str, object]]:
        return {
            "node": {"name": entry.name, "zone": entry.zone},
            "listen": {"address": entry.gateway_address},
            "control": {"address": entry.control_address, "keys": _PEER_KEY},
        }

    async def _is_platform_up(self) -> bool:
        try:
            async with self._session.get(
                f"http://{_HOST}:{self._platform_port}/vms"
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def _are_controls_up(self) -> bool:
        for entry in self._entries:
            try:
                url = f"http://{entry.control_address}/"
                async with self._session.get(url, timeout=_RESPONSE_TIMEOUT):
                    pass
            except (aiohttp.ClientError, TimeoutError):
                return False
        return True

    async def _is_gateway_ready(self, entry: EntryVm) -> bool:
        try:
            url = f"http://{entry.gateway_address}/readyz"
            async with self._session.get(url, timeout=_RESPONSE_TIMEOUT) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _wait_until(
        self,
        description: str,
        condition: Callable[[], Awaitable[bool]],
        *,
        timeout_s: float = _START_TIMEOUT_S,
    ) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                while not await condition():
                    self._raise_if_exited()
                    await asyncio.sleep(_POLL_S)
        except TimeoutError:
            raise TimeoutError(f"{description} not ready after {timeout_s} s") from None

    def _raise_if_exited(self) -> None:
        stopped = {item.name for item in self._stopped_processes}
        for child in self._processes.children:
            if child.returncode is not None and child.name not in stopped:
                path = self._directory / f"{child.name}.log"
                text = path.read_text(errors="replace")[-1500:]
                raise RuntimeError(f"{child.name} exited unexpectedly: {text}")
