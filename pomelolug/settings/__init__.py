"""INI settings of the processes, checked against a schema."""

from pomelolug.settings._loader import load_settings, nearest_name, parse_option
from pomelolug.settings._spec import Address, OptionSpec

__all__ = ["Address", "OptionSpec", "load_settings", "nearest_name", "parse_option"]
