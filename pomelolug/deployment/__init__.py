"""Model of a deployment: its declaration, its backend servers and their control."""

from pomelolug.deployment._control import OrderResult, ServerControl, ServerReport
from pomelolug.deployment._declaration import (
    ClientAccount,
    Declaration,
    EngineProfile,
    ModelProfile,
    Repeatability,
    Route,
    Service,
    ServiceShare,
)
from pomelolug.deployment._notice import ServerNotice, StatedAvailability
from pomelolug.deployment._registry import RegistryChange, ServerRegistry
from pomelolug.deployment._servers import (
    BackendServer,
    GroupMembership,
    GroupState,
    ServerState,
)

__all__ = [
    "BackendServer",
    "ClientAccount",
    "Declaration",
    "EngineProfile",
    "GroupMembership",
    "GroupState",
    "ModelProfile",
    "OrderResult",
    "RegistryChange",
    "Repeatability",
    "Route",
    "ServerControl",
    "ServerNotice",
    "ServerRegistry",
    "ServerReport",
    "ServerState",
    "Service",
    "ServiceShare",
    "StatedAvailability",
]
