"""Data model and loader of replay traces; docs/trace-format.md lists the fields."""

import enum
import pathlib
import tomllib
from typing import Any

import msgspec

from pomelolug.errors import ErrorCode, Finding, InvalidInputError

__all__ = [
    "TRACE_VERSION",
    "AccountSpec",
    "ClassSpec",
    "DeploymentSpec",
    "FaultSpec",
    "LoadSpec",
    "OutcomeSpec",
    "Trace",
    "TraceFaultKind",
    "load_trace",
]

TRACE_VERSION = 1
"""Version of the trace format that this module reads."""


class TraceFaultKind(enum.Enum):
    """Kind of a scheduled fault or configuration change."""

    BACKEND = "backend"
    GROUP_MEMBER = "group_member"
    PLATFORM = "platform"
    ENTRY_STOP = "entry_stop"
    ENTRY_KILL = "entry_kill"
    CONTROL_PAUSE = "control_pause"
    GATEWAY_PAUSE = "gateway_pause"
    ZONE_CUT = "zone_cut"
    PUBLISH = "publish"


class _StrictStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base class of structs that reject unknown fields."""


class DeploymentSpec(_StrictStruct, frozen=True, kw_only=True):
    """Entry VMs, simulated backend servers and timing of a deployment."""

    entry_zones: tuple[str, ...] = ("zone-a", "zone-a", "zone-b")
    zones: tuple[str, ...] = ("zone-a", "zone-b")
    engines: int = 16
    domain_size: int = 8
    members: int = 4
    accelerators: int = 8
    capacity: int = 16
    pools: tuple[str, ...] = ("mesh", "drafting")
    services: tuple[str, ...] = ("jobs", "messaging")
    service_vms: int = 2
    objective: str = "group_downtime"
    fencing: str = "refuses"
    first_token_ms: float = 60.0
    first_token_cached_ms: float = 20.0
    step_ms: float = 20.0
    service_ms: float = 5.0
    model_bytes: int = 100_000_000
    rate_bytes_per_s: float = 400e6
    verify_every_s: float = 0.5
    lease_s: float = 3.0


class ClassSpec(_StrictStruct, frozen=True, kw_only=True):
    """A work class, served by `pool` or by `service`; the other one is empty."""

    name: str
    priority: int
    ttft_target_s: float
    gap_target_s: float = 1.0
    deadline_s: float = 10.0
    pool: str = ""
    service: str = ""
    idempotent: bool = True


class AccountSpec(_StrictStruct, frozen=True, kw_only=True):
    """A client account."""

    name: str
    weight: float = 1.0


class LoadSpec(_StrictStruct, frozen=True, kw_only=True):
    """Calls of one kind with exponentially distributed interarrival times.

    If `copies` is greater than 1, each call is sent concurrently through that many
    gateways with the same idempotency key. A call whose outcome is
    `outcome_unknown` or `not_run` is repeated at most `repeats` times.
    """

    work_class: str
    account: str
    rate_per_s: float
    path: str = "/v1/completions"
    start_s: float = 0.0
    end_s: float | None = None
    tokens: tuple[int, int] = (10, 40)
    prompt_chars: int = 200
    prompt: str = ""
    non_idempotent: bool = False
    copies: int = 1
    repeats: int = 0


class FaultSpec(_StrictStruct, frozen=True, kw_only=True):
    """A fault injected at `at_s` and reverted after `for_s`, if set."""

    at_s: float
    kind: TraceFaultKind
    for_s: float | None = None
    entry: int = 0
    zone: str = ""
    fields: dict[str, Any] = {}
    work_class: str = ""
    ttft_target_s: float = 0.0
    operators: int = 1


class OutcomeSpec(_StrictStruct, frozen=True, kw_only=True):
    """An expected outcome: lower and upper bound of the figure named `figure`."""

    figure: str
    at_most: float | None = None
    at_least: float | None = None
    promise: str = ""


class Trace(_StrictStruct, frozen=True, kw_only=True):
    """A replay trace: deployment, load, faults and expected outcomes."""

    version: int
    name: str
    duration_s: float
    random_state: int = 0
    deployment: DeploymentSpec = DeploymentSpec()
    classes: tuple[ClassSpec, ...]
    accounts: tuple[AccountSpec, ...]
    loads: tuple[LoadSpec, ...]
    faults: tuple[FaultSpec, ...] = ()
    outcomes: tuple[OutcomeSpec, ...] = ()

    def work_class(self, name: str) -> ClassSpec:
        """Return the work class named `name`."""
        return next(item for item in self.classes if item.name == name)


def load_trace(path: pathlib.Path) -> Trace:
    """Load and validate the trace in the TOML file `path`.

    Raises
    ------
    InvalidInputError
        If the file cannot be read or parsed, has an unsupported version, or refers
        to an undeclared class or account.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
        trace = msgspec.convert(raw, Trace)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        finding = Finding(location=str(path), value="", problem=str(error))
        raise InvalidInputError(ErrorCode.SETTINGS_INVALID, [finding]) from error
    findings = list(_validate(path, trace))
    if findings:
        raise InvalidInputError(ErrorCode.SETTINGS_INVALID, findings)
    return trace


def _validate(path: pathlib.Path, trace: Trace) -> list[Finding]:
    findings = []
    if trace.version != TRACE_VERSION:
        findings.append(
            Finding(
                location=f"{path} version",
                value=str(trace.version),
                problem=f"only version {TRACE_VERSION} is supported",
            )
        )
    classes = {item.name for item in trace.classes}
    accounts = {item.name for item in trace.accounts}
    for index, load in enumerate(trace.loads):
        for value, declared, field in (
            (load.work_class, classes, "work_class"),
            (load.account, accounts, "account"),
        ):
            if value not in declared:
                location = f"{path} loads[{index}].{field}"
                findings.append(
                    Finding(location=location, value=value, problem="not declared")
                )
    return findings
