"""Specification of one option of a settings file."""

import dataclasses

__all__ = ["Address", "OptionSpec"]


@dataclasses.dataclass(frozen=True)
class Address:
    """IP address and port.

    Examples
    --------
    >>> str(Address("127.0.0.1", 8080))
    '127.0.0.1:8080'
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class OptionSpec:
    """Section, key, kind, bounds and default of one option, as in the INI file.

    `kind` selects the parser of the value. `minimum` and `maximum` of a duration are
    in seconds. An option without a default is mandatory.
    """

    section: str
    key: str
    kind: str
    doc: str
    default: str | None = None
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
