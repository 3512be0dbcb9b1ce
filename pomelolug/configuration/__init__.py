"""The operators' declared configuration."""

from pomelolug.configuration._document import (
    Account,
    Configuration,
    Objective,
    Pool,
    Service,
    WorkClass,
)

__all__ = [
    "Account",
    "Configuration",
    "Objective",
    "Pool",
    "Service",
    "WorkClass",
]
