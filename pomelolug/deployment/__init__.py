"""Model of a deployment: its declaration, its backend servers and their control."""

from pomelolug.deployment._control import OrderResult, ServerControl, ServerReport
from pomelolug.deployment._declaration import (
    Declaration,
    EngineProfile,
    ModelProfile,
    Repeatability,
    Route,
    Service,
    ServiceShare,
    Tenant,
)
from pomelolug.deployment._registry import RegistryChange, ServerRegistry
from pomelolug.deployment._servers import (
    BackendServer,
    GroupMembership,
    GroupState,
    ServerState,
)

__all__ = [
    "BackendServer",
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
    "ServerRegistry",
    "ServerReport",
    "ServerState",
    "Service",
    "ServiceShare",
    "Tenant",
]
