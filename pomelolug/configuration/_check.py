"""Validation across options and sections of the document."""

import datetime
from collections.abc import Iterator, Mapping, Sequence

from pomelolug.configuration._document import (
    Account,
    Configuration,
    Pool,
    Service,
    WorkClass,
)
from pomelolug.configuration._keys import is_key_hash
from pomelolug.errors import Finding
from pomelolug.settings import suggest_name

__all__ = ["check_references"]

_ZERO = datetime.timedelta(0)


def check_references(
    configuration: Configuration, declared_names: Mapping[str, Sequence[str]]
) -> list[Finding]:
    """Return errors that involve several options or sections of a document.

    Parameters
    ----------
    configuration : Configuration
        Configuration of all sections that are valid by themselves.
    declared_names : mapping of str to sequence of str
        Declared names by kind, including those of invalid sections, so that an
        error in one section does not cause findings in others.
    """
    findings: list[Finding] = []
    for kind, names in declared_names.items():
        findings += _check_duplicates(kind, names)
    for pool in configuration.pools:
        findings += _check_pool(pool)
    for service in configuration.services:
        findings += _check_service(service, declared_names)
    for work_class in configuration.classes:
        findings += _check_work_class(work_class, declared_names)
    account_by_key: dict[str, str] = {}
    for account in configuration.accounts:
        findings += _check_account(account, declared_names, account_by_key)
    return findings


def _check_duplicates(kind: str, names: Sequence[str]) -> Iterator[Finding]:
    # The INI parser does not detect duplicates that differ only in whitespace.
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield Finding(location=f"[{kind} {name}]", value=name, problem="declared twice")


def _check_pool(pool: Pool) -> Iterator[Finding]:
    location = f"[pool {pool.name}]"
    for key, value in (("model", pool.model), ("version", pool.version)):
        if not value:
            yield Finding(location=f"{location} {key}", value="", problem="is empty")


def _check_service(
    service: Service, declared_names: Mapping[str, Sequence[str]]
) -> Iterator[Finding]:
    if service.name in declared_names["pool"]:
        yield Finding(
            location=f"[service {service.name}]",
            value=service.name,
            problem="a pool has the same name",
        )


def _check_work_class(
    work_class: WorkClass, declared_names: Mapping[str, Sequence[str]]
) -> Iterator[Finding]:
    location = f"[class {work_class.name}]"
    if bool(work_class.pool) == bool(work_class.service):
        value = f"pool={work_class.pool} service={work_class.service}"
        problem = "needs exactly one of pool and service"
        yield Finding(location=location, value=value, problem=problem)
    for kind, name in (("pool", work_class.pool), ("service", work_class.service)):
        if name and name not in declared_names[kind]:
            problem = f"no such {kind}" + suggest_name(name, declared_names[kind])
            yield Finding(location=f"{location} {kind}", value=name, problem=problem)
    if work_class.pool and work_class.gap_target == _ZERO:
        problem = "a class of a pool needs a target above 0"
        yield Finding(location=f"{location} gap_target", value="0s", problem=problem)
    if work_class.deadline < work_class.ttft_target:
        yield Finding(
            location=f"{location} deadline",
            value=f"{work_class.deadline.total_seconds()}s",
            problem=f"below ttft_target of {work_class.ttft_target.total_seconds()}s",
        )


def _check_account(
    account: Account,
    declared_names: Mapping[str, Sequence[str]],
    account_by_key: dict[str, str],
) -> Iterator[Finding]:
    location = f"[account {account.name}]"
    if not account.keys:
        yield Finding(
            location=f"{location} keys", value="", problem="needs at least one key"
        )
    for key in account.keys:
        if not is_key_hash(key):
            # The value is redacted, since it may be a key that was not hashed.
            problem = "not salt:hash in hexadecimal, see the command hash-key"
            yield Finding(location=f"{location} keys", value="***", problem=problem)
        elif account_by_key.setdefault(key, account.name) != account.name:
            problem = f"account {account_by_key[key]} has the same key"
            yield Finding(location=f"{location} keys", value="***", problem=problem)
    for name in account.classes:
        if name not in declared_names["class"]:
            problem = "no such class" + suggest_name(name, declared_names["class"])
            yield Finding(location=f"{location} classes", value=name, problem=problem)
