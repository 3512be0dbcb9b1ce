"""Types of the declared configuration."""

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
    """Cost that a deployment minimises when it cannot avoid both."""

    GROUP_DOWNTIME = "group_downtime"
    STRANDED_ACCELERATORS = "stranded_accelerators"


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """Pool of backend servers that serve one model in replica groups.

    `members` is the number of VMs per group, `accelerators` the number of
    accelerators per VM. `role` and `adapters` are passed to the engines.
    """

    name: str
    model: str
    version: str = "1"
    members: int = 8
    accelerators: int = 8
    adapters: tuple[str, ...] = ()
    role: str = "both"


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Plain service; `max_body_bytes` limits request and response bodies."""

    name: str
    timeout: datetime.timedelta
    max_body_bytes: int = 16 * 1024 * 1024


class WorkClass(msgspec.Struct, frozen=True, kw_only=True):
    """Class of requests with its latency targets.

    Exactly one of `pool` and `service` is set. Requests of a class with a higher
    `priority` are served first. `ttft_target` is the target for the p95 time to
    the first token, or to the response of a plain service. `gap_target` is the
    target for the p95 time between tokens.
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
    """Client account; its keys are stored as salted SHA-256 hashes.

    `keys` contains ``salt:hash`` in hexadecimal. `classes` is empty if every
    class is allowed. `weight` is the account's share relative to other accounts.
    """

    name: str
    keys: tuple[str, ...]
    weight: float = 1.0
    classes: tuple[str, ...] = ()
    max_in_flight: int = 0


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """Complete declared configuration; `version` is its log offset."""

    version: int
    objective: Objective = Objective.GROUP_DOWNTIME
    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    classes: tuple[WorkClass, ...] = ()
    accounts: tuple[Account, ...] = ()
