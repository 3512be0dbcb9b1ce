"""Specification of the options of the configuration document."""

from collections.abc import Mapping

from pomelolug.configuration._document import Objective
from pomelolug.settings import OptionSpec

__all__ = ["DEPLOYMENT", "NAMED_SECTIONS"]

_MAX_DEADLINE_S = 24 * 3600.0


def _option(
    section: str,
    key: str,
    kind: str,
    doc: str,
    default: str | None = None,
    bounds: tuple[float | None, float | None] = (None, None),
    choices: tuple[str, ...] = (),
) -> OptionSpec:
    return OptionSpec(
        section=section,
        key=key,
        kind=kind,
        doc=doc,
        default=default,
        minimum=bounds[0],
        maximum=bounds[1],
        choices=choices,
    )


DEPLOYMENT: tuple[OptionSpec, ...] = (
    _option(
        "deployment",
        "objective",
        "str",
        "Cost to minimise when both cannot be avoided.",
        Objective.GROUP_DOWNTIME.value,
        choices=tuple(objective.value for objective in Objective),
    ),
)

_POOL = (
    _option("pool", "model", "str", "Name of the model in the weight store."),
    _option("pool", "version", "str", "Version of the model.", "1"),
    _option("pool", "members", "int", "VMs per group.", "8", (1, 64)),
    _option("pool", "accelerators", "int", "Accelerators per VM.", "8", (1, 64)),
    _option("pool", "adapters", "list", "Adapters that each group loads.", ""),
    _option(
        "pool",
        "role",
        "str",
        "Role that the engines take.",
        "both",
        choices=("both", "prefill", "decode"),
    ),
)
_SERVICE = (
    _option(
        "service",
        "timeout",
        "duration",
        "Longest time for a response.",
        bounds=(0.001, _MAX_DEADLINE_S),
    ),
    _option(
        "service",
        "max_body_bytes",
        "int",
        "Size limit of request and response bodies, in bytes.",
        str(16 * 1024 * 1024),
        (1, 1024 * 1024 * 1024),
    ),
)
_CLASS = (
    _option(
        "class",
        "priority",
        "int",
        "Requests of a higher priority go first.",
        None,
        (0, 1000),
    ),
    _option(
        "class",
        "ttft_target",
        "duration",
        "p95 of the time to the first token, or to a service's response.",
        bounds=(0.001, _MAX_DEADLINE_S),
    ),
    _option(
        "class",
        "gap_target",
        "duration",
        "p95 of the time between tokens; needed for a pool.",
        "0s",
        (0.0, _MAX_DEADLINE_S),
    ),
    _option(
        "class",
        "deadline",
        "duration",
        "Longest time for the complete response.",
        bounds=(0.001, _MAX_DEADLINE_S),
    ),
    _option("class", "pool", "str", "Pool that serves the class.", ""),
    _option("class", "service", "str", "Service that serves the class.", ""),
    _option(
        "class", "idempotent", "bool", "Whether a request may be executed twice.", "yes"
    ),
    _option(
        "class",
        "queue_limit",
        "int",
        "Longest queue of requests at one gateway.",
        "1000",
        (0, 100_000),
    ),
)
_ACCOUNT = (
    _option("account", "keys", "list", "Salted hashes of the keys, salt:hash."),
    _option("account", "weight", "float", "Relative share.", "1.0", (0.001, 1000.0)),
    _option("account", "classes", "list", "Allowed classes; all if empty.", ""),
    _option(
        "account",
        "max_in_flight",
        "int",
        "Limit of requests in flight at one gateway; 0 for none.",
        "0",
        (0, 1_000_000),
    ),
)

NAMED_SECTIONS: Mapping[str, tuple[OptionSpec, ...]] = {
    "pool": _POOL,
    "service": _SERVICE,
    "class": _CLASS,
    "account": _ACCOUNT,
}
"""Options of the named sections, ``[KIND NAME]``, by kind."""
