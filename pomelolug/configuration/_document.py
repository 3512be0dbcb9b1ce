"""Typed form of the declared configuration."""

import datetime
import enum

import msgspec

__all__ = [
    "Account",
    "Configuration",
    "Objective",
    "Pool",
    "Service",
    "WorkClass",
]


class Objective(enum.Enum):
    """What a deployment favours when both cannot be had."""

    GROUP_DOWNTIME = "group_downtime"
    STRANDED_ACCELERATORS = "stranded_accelerators"


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """Backend servers that serve one model in replica groups.

    `members` is the number of VMs in a group, `accelerators` that of a VM.
    `role` and `adapters` are passed to the engines.
    """

    name: str
    model: str
    version: str = "1"
    members: int = 8
    accelerators: int = 8
    adapters: tuple[str, ...] = ()
    role: str = "both"


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A plain service; `max_body_bytes` bounds request and response bodies."""

    name: str
    timeout: datetime.timedelta
    max_body_bytes: int = 16 * 1024 * 1024


class WorkClass(msgspec.Struct, frozen=True, kw_only=True):
    """A class of work with its targets.

    Exactly one of `pool` and `service` is not empty. A higher `priority` goes
    first. `ttft_target` is the p95 time to first token (for a plain service the
    time to the answer), `gap_target` the p95 time between tokens.
    """

    name: str
    priority: int
    ttft_target: datetime.timedelta
    gap_target: datetime.timedelta
    deadline: datetime.timedelta
    pool: str = ""
    service: str = ""
    idempotent: bool = True
    queue_limit: int = 1000


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """A client account; its keys are kept as salted SHA-256 hashes.

    `keys` holds ``salt:hash`` in hexadecimal. `classes` is empty if every class
    is allowed. `weight` is the account's share relative to the others.
    """

    name: str
    keys: tuple[str, ...]
    weight: float = 1.0
    classes: tuple[str, ...] = ()
    max_in_flight: int = 0


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """The whole declared configuration; `version` is its log offset."""

    version: int
    objective: Objective = Objective.GROUP_DOWNTIME
    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    classes: tuple[WorkClass, ...] = ()
    accounts: tuple[Account, ...] = ()
