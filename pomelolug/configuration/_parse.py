"""Parsing of the configuration document, with all errors reported at once."""

import configparser
import re
from collections.abc import Sequence
from typing import Any

import msgspec

from pomelolug.configuration._check import check_references
from pomelolug.configuration._document import (
    Account,
    Configuration,
    Objective,
    Pool,
    Service,
    WorkClass,
)
from pomelolug.configuration._spec import DEPLOYMENT, NAMED_SECTIONS
from pomelolug.errors import ConfigurationError, ErrorCode, Finding
from pomelolug.settings import OptionSpec, parse_option, suggest_name

__all__ = ["MAX_DOCUMENT_BYTES", "parse_document"]

MAX_DOCUMENT_BYTES = 128 * 1024
"""Leaves room in a checkpoint record, whose size is limited like a message's."""
_MAX_SECTIONS = 1000
_MAX_FINDINGS = 200
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
_SECTION_TYPES: dict[str, type] = {
    "pool": Pool,
    "service": Service,
    "class": WorkClass,
    "account": Account,
}
# No section header can have this name, so that no section provides defaults.
_DEFAULT_SECTION = "\0"


def parse_document(text: str, *, version: int) -> Configuration:
    r"""Parse the INI document `text` into a configuration.

    Parameters
    ----------
    text : str
        INI document, at most 128 KiB.
    version : int
        Log offset of the change.

    Raises
    ------
    ConfigurationError
        If the document is invalid. The findings contain all errors with section,
        key, value and, if there is one, a similar valid name.

    Examples
    --------
    >>> document = "[pool draft]\nmodel = m7"
    >>> parse_document(document, version=3).pools[0].members
    8
    """
    parser = _read_ini(text)
    findings: list[Finding] = []
    values: dict[str, list[Any]] = {kind: [] for kind in NAMED_SECTIONS}
    objective = Objective.GROUP_DOWNTIME
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        if section == "deployment":
            found = _parse_options(parser, section, DEPLOYMENT, findings)
            if "objective" in found:
                objective = Objective(found["objective"])
        elif kind in NAMED_SECTIONS:
            found = _parse_options(parser, section, NAMED_SECTIONS[kind], findings)
            item = _build_section(kind, section, name.strip(), found, findings)
            if item is not None:
                values[kind].append(item)
        else:
            known = ["deployment", *(f"{kind} NAME" for kind in NAMED_SECTIONS)]
            problem = "unknown section" + suggest_name(
                kind, [*_SECTION_TYPES, "deployment"]
            )
            problem += f"; sections are {', '.join(known)}"
            findings.append(_make_finding(section, "", "", problem))
    configuration = Configuration(
        version=version,
        objective=objective,
        pools=tuple(values["pool"]),
        services=tuple(values["service"]),
        classes=tuple(values["class"]),
        accounts=tuple(values["account"]),
    )
    findings += check_references(configuration, _declared_names(parser))
    _raise_if_any(findings)
    return configuration


def _read_ini(text: str) -> configparser.ConfigParser:
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > MAX_DOCUMENT_BYTES:
        problem = f"{size} bytes, at most {MAX_DOCUMENT_BYTES} are allowed"
        _raise_if_any([Finding(location="document", value="", problem=problem)])
    parser = configparser.ConfigParser(
        interpolation=None, default_section=_DEFAULT_SECTION
    )
    try:
        parser.read_string(text, source="document")
    except configparser.Error as error:
        line = getattr(error, "lineno", None)
        location = "document" if line is None else f"document line {line}"
        problem = " ".join(str(error).split())
        _raise_if_any([Finding(location=location, value="", problem=problem)])
    if len(parser.sections()) > _MAX_SECTIONS:
        problem = f"more than {_MAX_SECTIONS} sections"
        _raise_if_any([Finding(location="document", value="", problem=problem)])
    return parser


def _raise_if_any(findings: Sequence[Finding]) -> None:
    if findings:
        raise ConfigurationError(
            ErrorCode.CONFIGURATION_INVALID, findings[:_MAX_FINDINGS]
        )


def _make_finding(section: str, key: str, value: str, problem: str) -> Finding:
    location = f"[{section[:80]}] {key[:80]}".rstrip()
    return Finding(location=location, value=value[:80], problem=problem)


def _declared_names(parser: configparser.ConfigParser) -> dict[str, list[str]]:
    """Return the declared names by kind, including those of invalid sections."""
    names: dict[str, list[str]] = {kind: [] for kind in NAMED_SECTIONS}
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        if kind in names:
            names[kind].append(name.strip())
    return names


def _parse_options(
    parser: configparser.ConfigParser,
    section: str,
    spec: Sequence[OptionSpec],
    findings: list[Finding],
) -> dict[str, Any]:
    given = dict(parser.items(section))
    known = [option.key for option in spec]
    for key in given:
        if key not in known:
            problem = "unknown key" + suggest_name(key, known)
            findings.append(_make_finding(section, key, given[key], problem))
    values: dict[str, Any] = {}
    for option in spec:
        raw = given.get(option.key, option.default)
        if raw is None:
            problem = f"missing: {option.doc}"
            findings.append(_make_finding(section, option.key, "", problem))
            continue
        try:
            values[option.key] = parse_option(option, raw)
        except (ValueError, OverflowError) as error:
            findings.append(_make_finding(section, option.key, raw, str(error)))
    return values


def _build_section(
    kind: str,
    section: str,
    name: str,
    values: dict[str, Any],
    findings: list[Finding],
) -> msgspec.Struct | None:
    if not _NAME.fullmatch(name):
        problem = "needs a name of 1 to 64 letters, digits, dots, dashes or underscores"
        findings.append(_make_finding(section, "", name, problem))
        return None
    if len(values) < len(NAMED_SECTIONS[kind]):
        return None
    item: msgspec.Struct = _SECTION_TYPES[kind](name=name, **values)
    return item
