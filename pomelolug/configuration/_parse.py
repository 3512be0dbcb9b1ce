"""Parse the declared document and report every fault of it at once."""

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
"""Leaves room in a checkpoint record, which is bounded like a message."""
_MAX_SECTIONS = 1000
_MAX_FINDINGS = 200
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
_KINDS: dict[str, type] = {
    "pool": Pool,
    "service": Service,
    "class": WorkClass,
    "account": Account,
}
# Not a name that a header line can have, so that no section is inherited from.
_NO_DEFAULTS = "\0"


def parse_document(text: str, *, version: int) -> Configuration:
    r"""Return the configuration that `text` declares.

    Parameters
    ----------
    text : str
        INI document, at most 128 KiB.
    version : int
        Log offset of the change.

    Raises
    ------
    ConfigurationError
        With every fault: section, key, value and, where one is close, the name
        that may be meant.

    Examples
    --------
    >>> document = "[pool draft]\nmodel = m7"
    >>> parse_document(document, version=3).pools[0].members
    8
    """
    parser = _read(text)
    findings: list[Finding] = []
    values: dict[str, list[Any]] = {kind: [] for kind in NAMED_SECTIONS}
    objective = Objective.GROUP_DOWNTIME
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        if section == "deployment":
            found = _options(parser, section, DEPLOYMENT, findings)
            if "objective" in found:
                objective = Objective(found["objective"])
        elif kind in NAMED_SECTIONS:
            found = _options(parser, section, NAMED_SECTIONS[kind], findings)
            item = _item(kind, section, name.strip(), found, findings)
            if item is not None:
                values[kind].append(item)
        else:
            known = ["deployment", *(f"{kind} NAME" for kind in NAMED_SECTIONS)]
            problem = "unknown section" + suggest_name(kind, [*_KINDS, "deployment"])
            problem += f"; sections are {', '.join(known)}"
            findings.append(_finding(section, "", "", problem))
    configuration = Configuration(
        version=version,
        objective=objective,
        pools=tuple(values["pool"]),
        services=tuple(values["service"]),
        classes=tuple(values["class"]),
        accounts=tuple(values["account"]),
    )
    findings += check_references(configuration, _declared(parser))
    _raise(findings)
    return configuration


def _read(text: str) -> configparser.ConfigParser:
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > MAX_DOCUMENT_BYTES:
        problem = f"{size} bytes, at most {MAX_DOCUMENT_BYTES} are allowed"
        _raise([Finding(location="document", value="", problem=problem)])
    parser = configparser.ConfigParser(interpolation=None, default_section=_NO_DEFAULTS)
    try:
        parser.read_string(text, source="document")
    except configparser.Error as error:
        line = getattr(error, "lineno", None)
        place = "document" if line is None else f"document line {line}"
        problem = " ".join(str(error).split())
        _raise([Finding(location=place, value="", problem=problem)])
    if len(parser.sections()) > _MAX_SECTIONS:
        problem = f"more than {_MAX_SECTIONS} sections"
        _raise([Finding(location="document", value="", problem=problem)])
    return parser


def _raise(findings: Sequence[Finding]) -> None:
    if findings:
        raise ConfigurationError(
            ErrorCode.CONFIGURATION_INVALID, findings[:_MAX_FINDINGS]
        )


def _finding(section: str, key: str, value: str, problem: str) -> Finding:
    place = f"[{section[:80]}] {key[:80]}".rstrip()
    return Finding(location=place, value=value[:80], problem=problem)


def _declared(parser: configparser.ConfigParser) -> dict[str, list[str]]:
    """Return the declared names by kind, those of faulty sections included."""
    names: dict[str, list[str]] = {kind: [] for kind in NAMED_SECTIONS}
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        if kind in names:
            names[kind].append(name.strip())
    return names


def _options(
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
            findings.append(_finding(section, key, given[key], problem))
    values: dict[str, Any] = {}
    for option in spec:
        raw = given.get(option.key, option.default)
        if raw is None:
            problem = f"missing: {option.doc}"
            findings.append(_finding(section, option.key, "", problem))
            continue
        try:
            values[option.key] = parse_option(option, raw)
        except (ValueError, OverflowError) as error:
            findings.append(_finding(section, option.key, raw, str(error)))
    return values


def _item(
    kind: str,
    section: str,
    name: str,
    values: dict[str, Any],
    findings: list[Finding],
) -> msgspec.Struct | None:
    if not _NAME.fullmatch(name):
        problem = "needs a name of 1 to 64 letters, digits, dots, dashes or underscores"
        findings.append(_finding(section, "", name, problem))
        return None
    if len(values) < len(NAMED_SECTIONS[kind]):
        return None
    item: msgspec.Struct = _KINDS[kind](name=name, **values)
    return item
