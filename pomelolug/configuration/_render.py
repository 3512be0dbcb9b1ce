"""Rendering of a configuration as a document."""

import datetime
import enum
from typing import Any

import msgspec

from pomelolug.configuration._document import Configuration

__all__ = ["render_document"]

_MILLISECOND = datetime.timedelta(milliseconds=1)


def render_document(configuration: Configuration) -> str:
    """Return the document for `configuration`, including default values.

    Examples
    --------
    >>> print(render_document(Configuration(version=1)), end="")
    [deployment]
    objective = group_downtime
    """
    lines = ["[deployment]", f"objective = {configuration.objective.value}"]
    sections = (
        ("pool", configuration.pools),
        ("service", configuration.services),
        ("class", configuration.classes),
        ("account", configuration.accounts),
    )
    for kind, items in sections:
        for item in items:
            lines += ["", f"[{kind} {item.name}]"]
            lines += _option_lines(item)
    return "\n".join(lines) + "\n"


def _option_lines(item: msgspec.Struct) -> list[str]:
    values = msgspec.structs.asdict(item)
    del values["name"]
    return [f"{key} = {_format_value(value)}".rstrip() for key, value in values.items()]


def _format_value(value: Any) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case datetime.timedelta():
            return f"{value / _MILLISECOND}".removesuffix(".0") + "ms"
        case enum.Enum():
            return str(value.value)
        case tuple():
            return ", ".join(value)
        case _:
            return str(value)
