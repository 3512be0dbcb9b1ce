"""Settings of the operator's command.

Generated from schema/settings/operator.toml.
"""

import datetime

import msgspec

from pomelolug.settings._spec import Address, OptionSpec

__all__ = ["OperatorSettings", "OPERATOR_SPEC"]


class OperatorOperator(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[operator]``."""

    name: str
    """Name of the operator, as in the control processes' settings."""
    key: str
    """Operator's key as name=hex."""


class OperatorPlatform(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[platform]``."""

    log: Address
    """Address of the platform's log service."""
    log_id: str
    """Identity of the log, to be set after the platform has replaced it."""
    operators: tuple[str, ...]
    """Keys of all operators as name=hex, to read the log oneself."""


class OperatorControl(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[control]``."""

    address: Address
    """Control process that answers queries."""
    keys: tuple[str, ...]
    """Named keys of the nodes as name=hex, to verify checkpoints."""
    timeout: datetime.timedelta
    """Longest time for one answer."""


class OperatorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the operator's command."""

    operator: OperatorOperator
    platform: OperatorPlatform
    control: OperatorControl


OPERATOR_SPEC: tuple[OptionSpec, ...] = (
    OptionSpec(
        section="operator",
        key="name",
        kind="str",
        doc="Name of the operator, as in the control processes' settings.",
    ),
    OptionSpec(
        section="operator", key="key", kind="secret", doc="Operator's key as name=hex."
    ),
    OptionSpec(
        section="platform",
        key="log",
        kind="address",
        doc="Address of the platform's log service.",
    ),
    OptionSpec(
        section="platform",
        key="log_id",
        kind="str",
        doc="Identity of the log, to be set after the platform has replaced it.",
        default="",
    ),
    OptionSpec(
        section="platform",
        key="operators",
        kind="list",
        doc="Keys of all operators as name=hex, to read the log oneself.",
        default="",
    ),
    OptionSpec(
        section="control",
        key="address",
        kind="address",
        doc="Control process that answers queries.",
    ),
    OptionSpec(
        section="control",
        key="keys",
        kind="list",
        doc="Named keys of the nodes as name=hex, to verify checkpoints.",
        default="",
    ),
    OptionSpec(
        section="control",
        key="timeout",
        kind="duration",
        doc="Longest time for one answer.",
        default="5s",
        minimum=0.1,
        maximum=300.0,
    ),
)

_ = (datetime, Address)
