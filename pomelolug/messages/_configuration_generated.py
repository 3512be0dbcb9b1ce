"""Log records that change the declared configuration.

Generated from schema/messages/configuration.toml.
"""

from pomelolug.messages._codec import Message

__all__ = ["ConfigurationChange"]


class ConfigurationChange(Message, frozen=True, kw_only=True):
    """Replaces the declared configuration if the base is still current."""

    base_version: int
    """Version that the change is based on; -1 if there was none."""
    document: str
    """Complete configuration document in INI format."""
