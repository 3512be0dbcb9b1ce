"""Configuration declared by the operators."""

from pomelolug.configuration._document import (
    Account,
    Configuration,
    Objective,
    Pool,
    Service,
    WorkClass,
)
from pomelolug.configuration._fold import (
    CONFIG_STREAM,
    ConfigurationFold,
    ConfigurationVersion,
)
from pomelolug.configuration._keys import hash_key, verify_key
from pomelolug.configuration._parse import MAX_DOCUMENT_BYTES, parse_document
from pomelolug.configuration._publish import PublishResult, publish
from pomelolug.configuration._render import render_document

__all__ = [
    "Account",
    "CONFIG_STREAM",
    "Configuration",
    "ConfigurationFold",
    "ConfigurationVersion",
    "MAX_DOCUMENT_BYTES",
    "Objective",
    "Pool",
    "PublishResult",
    "Service",
    "WorkClass",
    "hash_key",
    "parse_document",
    "publish",
    "render_document",
    "verify_key",
]
