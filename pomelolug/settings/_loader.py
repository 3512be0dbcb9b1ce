"""Loading of INI files, which reports all errors of a file at once."""

import configparser
import datetime
import difflib
import ipaddress
import pathlib
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import msgspec

from pomelolug.errors import ErrorCode, Finding, InvalidInputError
from pomelolug.settings._spec import Address, OptionSpec

__all__ = ["load_settings", "parse_option", "suggest_name"]

T = TypeVar("T")
_TRUE_WORDS = {"yes": True, "true": True, "on": True, "1": True}
_FALSE_WORDS = {"no": False, "false": False, "off": False, "0": False}


def load_settings(
    path: pathlib.Path, settings_type: type[T], spec: Sequence[OptionSpec]
) -> T:
    """Load the settings from an INI file.

    Parameters
    ----------
    path : pathlib.Path
        Path of the INI file.
    settings_type : type
        Generated settings struct.
    spec : sequence of OptionSpec
        Generated specification of `settings_type`.

    Returns
    -------
    object
        Instance of `settings_type`.

    Raises
    ------
    InvalidInputError
        If the file has errors; lists each with file, section, key and value.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, configparser.Error, UnicodeDecodeError) as error:
        finding = Finding(location=str(path), value="", problem=str(error))
        raise InvalidInputError(ErrorCode.SETTINGS_INVALID, [finding]) from error
    findings = _find_unknown_names(path, parser, spec)
    values: dict[str, dict[str, Any]] = {}
    for option in spec:
        section = values.setdefault(option.section, {})
        raw = parser.get(option.section, option.key, fallback=option.default)
        location = f"{path.name} [{option.section}] {option.key}"
        if raw is None:
            findings.append(
                Finding(location=location, value="", problem=f"missing: {option.doc}")
            )
            continue
        try:
            section[option.key] = parse_option(option, raw)
        except ValueError as error:
            displayed_value = "***" if option.kind == "secret" else raw
            findings.append(
                Finding(location=location, value=displayed_value, problem=str(error))
            )
    if findings:
        raise InvalidInputError(ErrorCode.SETTINGS_INVALID, findings)
    return msgspec.convert(
        values,
        type=settings_type,
        builtin_types=(datetime.timedelta,),
        from_attributes=True,
    )


def _find_unknown_names(
    path: pathlib.Path, parser: configparser.ConfigParser, spec: Sequence[OptionSpec]
) -> list[Finding]:
    known: dict[str, list[str]] = {}
    for option in spec:
        known.setdefault(option.section, []).append(option.key)
    findings = []
    for section in parser.sections():
        if section not in known:
            problem = "unknown section" + suggest_name(section, list(known))
            findings.append(
                Finding(location=f"{path.name} [{section}]", value="", problem=problem)
            )
            continue
        for key in parser[section]:
            if key not in known[section]:
                findings.append(
                    Finding(
                        location=f"{path.name} [{section}] {key}",
                        value=parser[section][key],
                        problem="unknown key" + suggest_name(key, known[section]),
                    )
                )
    return findings


def suggest_name(word: str, known: Sequence[str]) -> str:
    """Return a suggestion of the known name closest to `word`, or "".

    Examples
    --------
    >>> suggest_name("prot", ["port", "host"])
    ", did you mean 'port'?"
    """
    close = difflib.get_close_matches(word, known, n=1)
    return f", did you mean {close[0]!r}?" if close else ""


def parse_option(option: OptionSpec, raw: str) -> Any:
    """Parse and check the value of one option.

    Raises
    ------
    ValueError
        If `raw` does not have the option's kind or violates its choices or bounds.
    """
    value = _PARSERS[option.kind](raw.strip())
    if option.choices and value not in option.choices:
        raise ValueError(f"not one of {', '.join(option.choices)}")
    number = value.total_seconds() if isinstance(value, datetime.timedelta) else value
    if option.minimum is not None and number < option.minimum:
        raise ValueError(f"below the minimum of {option.minimum}")
    if option.maximum is not None and number > option.maximum:
        raise ValueError(f"above the maximum of {option.maximum}")
    return value


def _parse_bool(raw: str) -> bool:
    word = raw.lower()
    if word in _TRUE_WORDS:
        return True
    if word in _FALSE_WORDS:
        return False
    raise ValueError("not yes or no")


def _parse_int(raw: str) -> int:
    try:
        return int(raw)
    except ValueError:
        raise ValueError("not an integer") from None


def _parse_float(raw: str) -> float:
    try:
        value = float(raw)
    except ValueError:
        raise ValueError("not a number") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError("not a finite number")
    return value


def _parse_duration(raw: str) -> datetime.timedelta:
    for unit, scale in (("ms", 0.001), ("s", 1.0), ("min", 60.0), ("h", 3600.0)):
        number = raw.removesuffix(unit)
        if number != raw and number.strip().replace(".", "", 1).isdigit():
            return datetime.timedelta(seconds=float(number) * scale)
    raise ValueError("not a duration such as 250ms, 3s, 5min or 1h")


def _parse_address(raw: str) -> Address:
    host, _, port = raw.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("not an IP number and port such as 10.0.0.1:8080") from None
    if not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError("port is not between 0 and 65535")
    return Address(host, int(port))


def _parse_list(raw: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in raw.split(",") if part.strip())


def _parse_addresses(raw: str) -> tuple[Address, ...]:
    return tuple(_parse_address(part) for part in _parse_list(raw))


_PARSERS: dict[str, Callable[[str], Any]] = {
    "str": str,
    "secret": str,
    "int": _parse_int,
    "float": _parse_float,
    "bool": _parse_bool,
    "duration": _parse_duration,
    "address": _parse_address,
    "list": _parse_list,
    "addresses": _parse_addresses,
}
