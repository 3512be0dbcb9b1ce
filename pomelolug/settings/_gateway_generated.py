"""Settings of the gateway.

Generated from schema/settings/gateway.toml.
"""

import datetime

import msgspec

from pomelolug.settings._spec import Address, OptionSpec

__all__ = ["GatewaySettings", "GATEWAY_SPEC"]


class GatewayNode(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[node]``."""

    name: str
    """Identifier of the node, the same as in the control process."""
    zone: str
    """Availability zone of the node."""


class GatewayListen(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[listen]``."""

    address: Address
    """Where callers connect."""
    max_body_bytes: int
    """Largest request body."""
    body_timeout: datetime.timedelta
    """How long a caller may take to send its body."""
    write_timeout: datetime.timedelta
    """How long a caller may leave sent data unread."""
    max_connections: int
    """Connections that are accepted at once."""


class GatewayControl(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[control]``."""

    address: Address
    """Control process of the same VM."""
    keys: tuple[str, ...]
    """Named keys as name=hex, as in the control process."""


class GatewayRouting(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[routing]``."""

    lease: datetime.timedelta
    """How long a verification of a group allows dispatch; as in control."""


class GatewayClaims(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[claims]``."""

    window: datetime.timedelta
    """How long an idempotency key is remembered; as in control."""


class GatewayDrain(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[drain]``."""

    grace: datetime.timedelta
    """Time between failing readiness and refusing new connections."""
    limit: datetime.timedelta
    """Longest wait for requests in flight at a planned stop."""


class GatewayLog(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[log]``."""

    level: str
    """Lowest level that is written."""


class GatewayRandom(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[random]``."""

    state: int
    """Seed of the random source; 0 draws one from the system."""


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the gateway."""

    node: GatewayNode
    listen: GatewayListen
    control: GatewayControl
    routing: GatewayRouting
    claims: GatewayClaims
    drain: GatewayDrain
    log: GatewayLog
    random: GatewayRandom


GATEWAY_SPEC: tuple[OptionSpec, ...] = (
    OptionSpec(
        section="node",
        key="name",
        kind="str",
        doc="Identifier of the node, the same as in the control process.",
    ),
    OptionSpec(
        section="node", key="zone", kind="str", doc="Availability zone of the node."
    ),
    OptionSpec(
        section="listen", key="address", kind="address", doc="Where callers connect."
    ),
    OptionSpec(
        section="listen",
        key="max_body_bytes",
        kind="int",
        doc="Largest request body.",
        default="1048576",
        minimum=1024,
    ),
    OptionSpec(
        section="listen",
        key="body_timeout",
        kind="duration",
        doc="How long a caller may take to send its body.",
        default="10s",
        minimum=0.1,
    ),
    OptionSpec(
        section="listen",
        key="write_timeout",
        kind="duration",
        doc="How long a caller may leave sent data unread.",
        default="30s",
        minimum=0.1,
    ),
    OptionSpec(
        section="listen",
        key="max_connections",
        kind="int",
        doc="Connections that are accepted at once.",
        default="2000",
        minimum=1,
    ),
    OptionSpec(
        section="control",
        key="address",
        kind="address",
        doc="Control process of the same VM.",
    ),
    OptionSpec(
        section="control",
        key="keys",
        kind="list",
        doc="Named keys as name=hex, as in the control process.",
    ),
    OptionSpec(
        section="routing",
        key="lease",
        kind="duration",
        doc="How long a verification of a group allows dispatch; as in control.",
        default="3s",
        minimum=0.2,
        maximum=30.0,
    ),
    OptionSpec(
        section="claims",
        key="window",
        kind="duration",
        doc="How long an idempotency key is remembered; as in control.",
        default="1h",
        minimum=1.0,
    ),
    OptionSpec(
        section="drain",
        key="grace",
        kind="duration",
        doc="Time between failing readiness and refusing new connections.",
        default="2s",
        minimum=0.0,
    ),
    OptionSpec(
        section="drain",
        key="limit",
        kind="duration",
        doc="Longest wait for requests in flight at a planned stop.",
        default="1h",
        minimum=0.0,
    ),
    OptionSpec(
        section="log",
        key="level",
        kind="str",
        doc="Lowest level that is written.",
        default="info",
        choices=("debug", "info", "warning", "error"),
    ),
    OptionSpec(
        section="random",
        key="state",
        kind="int",
        doc="Seed of the random source; 0 draws one from the system.",
        default="0",
    ),
)

_ = (datetime, Address)
