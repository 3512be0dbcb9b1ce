"""INI settings of the processes, checked against a schema."""

from pomelolug.settings._loader import load_settings, parse_option, suggest_name
from pomelolug.settings._spec import Address, OptionSpec

__all__ = ["Address", "OptionSpec", "load_settings", "parse_option", "suggest_name"]
