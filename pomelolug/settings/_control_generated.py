"""Settings of the control process.

Generated from schema/settings/control.toml.
"""

import datetime

import msgspec

from pomelolug.settings._spec import Address, OptionSpec

__all__ = ["ControlSettings", "CONTROL_SPEC"]


class ControlNode(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[node]``."""

    name: str
    """Identifier of the node, unique in the deployment."""
    zone: str
    """Availability zone of the node."""
    region: str
    """Region of the node."""
    gateway: str
    """IP and port of the node's gateway, shown to operators."""


class ControlListen(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[listen]``."""

    address: Address
    """Where peers, the gateway and operators connect."""


class ControlPeers(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[peers]``."""

    seeds: tuple[Address, ...]
    """Control processes to connect to, the own address may be among them."""
    keys: tuple[str, ...]
    """Named keys as name=hex, the first signs; more than one during a rotation."""
    heartbeat: datetime.timedelta
    """Time between two heartbeats."""
    suspect_after: datetime.timedelta
    """Silence after which a node is suspected."""
    dead_after: datetime.timedelta
    """Silence after which a node is considered dead."""


class ControlPlatform(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[platform]``."""

    log: Address
    """Address of the platform's log service."""
    vms: Address
    """Address of the platform's VM list."""
    weights: Address
    """Address of the platform's weight store."""
    log_id: str
    """Identity of the log, to be set after the platform has replaced it."""
    operators: tuple[str, ...]
    """Operators' keys as name=hex."""
    retention: datetime.timedelta
    """How long the log keeps a record."""


class ControlGroups(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[groups]``."""

    verify_every: datetime.timedelta
    """Time between two read-backs of a member."""
    lease: datetime.timedelta
    """How long a verification allows a gateway to use a group."""
    pause_bound: datetime.timedelta
    """Longest pause between the last lease check and the packet."""
    order_bound: datetime.timedelta
    """Longest time that an order is under way."""


class ControlClaims(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[claims]``."""

    partitions: int
    """Number of claim streams; must be the same on every node."""
    window: datetime.timedelta
    """How long a key is remembered."""
    batch: datetime.timedelta
    """How long a relay collects claims before it appends them."""


class ControlLog(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[log]``."""

    level: str
    """Lowest level that is written."""


class ControlRandom(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[random]``."""

    state: int
    """Seed of the random source; 0 draws one from the system."""


class ControlSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the control process."""

    node: ControlNode
    listen: ControlListen
    peers: ControlPeers
    platform: ControlPlatform
    groups: ControlGroups
    claims: ControlClaims
    log: ControlLog
    random: ControlRandom


CONTROL_SPEC: tuple[OptionSpec, ...] = (
    OptionSpec(
        section="node",
        key="name",
        kind="str",
        doc="Identifier of the node, unique in the deployment.",
    ),
    OptionSpec(
        section="node", key="zone", kind="str", doc="Availability zone of the node."
    ),
    OptionSpec(
        section="node",
        key="region",
        kind="str",
        doc="Region of the node.",
        default="region-1",
    ),
    OptionSpec(
        section="node",
        key="gateway",
        kind="str",
        doc="IP and port of the node's gateway, shown to operators.",
        default="",
    ),
    OptionSpec(
        section="listen",
        key="address",
        kind="address",
        doc="Where peers, the gateway and operators connect.",
    ),
    OptionSpec(
        section="peers",
        key="seeds",
        kind="addresses",
        doc="Control processes to connect to, the own address may be among them.",
        default="",
    ),
    OptionSpec(
        section="peers",
        key="keys",
        kind="list",
        doc="Named keys as name=hex, the first signs; more than one during a rotation.",
    ),
    OptionSpec(
        section="peers",
        key="heartbeat",
        kind="duration",
        doc="Time between two heartbeats.",
        default="1s",
        minimum=0.05,
        maximum=10.0,
    ),
    OptionSpec(
        section="peers",
        key="suspect_after",
        kind="duration",
        doc="Silence after which a node is suspected.",
        default="3s",
        minimum=0.1,
        maximum=60.0,
    ),
    OptionSpec(
        section="peers",
        key="dead_after",
        kind="duration",
        doc="Silence after which a node is considered dead.",
        default="10s",
        minimum=0.2,
        maximum=300.0,
    ),
    OptionSpec(
        section="platform",
        key="log",
        kind="address",
        doc="Address of the platform's log service.",
    ),
    OptionSpec(
        section="platform",
        key="vms",
        kind="address",
        doc="Address of the platform's VM list.",
    ),
    OptionSpec(
        section="platform",
        key="weights",
        kind="address",
        doc="Address of the platform's weight store.",
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
        doc="Operators' keys as name=hex.",
    ),
    OptionSpec(
        section="platform",
        key="retention",
        kind="duration",
        doc="How long the log keeps a record.",
        default="24h",
        minimum=1.0,
    ),
    OptionSpec(
        section="groups",
        key="verify_every",
        kind="duration",
        doc="Time between two read-backs of a member.",
        default="1s",
        minimum=0.05,
        maximum=10.0,
    ),
    OptionSpec(
        section="groups",
        key="lease",
        kind="duration",
        doc="How long a verification allows a gateway to use a group.",
        default="3s",
        minimum=0.2,
        maximum=30.0,
    ),
    OptionSpec(
        section="groups",
        key="pause_bound",
        kind="duration",
        doc="Longest pause between the last lease check and the packet.",
        default="2s",
        minimum=0.0,
        maximum=60.0,
    ),
    OptionSpec(
        section="groups",
        key="order_bound",
        kind="duration",
        doc="Longest time that an order is under way.",
        default="1s",
        minimum=0.0,
        maximum=60.0,
    ),
    OptionSpec(
        section="claims",
        key="partitions",
        kind="int",
        doc="Number of claim streams; must be the same on every node.",
        default="16",
        minimum=1,
        maximum=256,
    ),
    OptionSpec(
        section="claims",
        key="window",
        kind="duration",
        doc="How long a key is remembered.",
        default="1h",
        minimum=1.0,
    ),
    OptionSpec(
        section="claims",
        key="batch",
        kind="duration",
        doc="How long a relay collects claims before it appends them.",
        default="5ms",
        minimum=0.0,
        maximum=1.0,
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
