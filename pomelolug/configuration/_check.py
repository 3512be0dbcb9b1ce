"""Checks that involve more than one option of the document."""

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

_NO_TIME = datetime.timedelta(0)


def check_references(
    configuration: Configuration, declared: Mapping[str, Sequence[str]]
) -> list[Finding]:
    """Return the faults between the sections of a document.

    Parameters
    ----------
    configuration : Configuration
        The sections without a fault of their own.
    declared : mapping of str to sequence of str
        Names by kind, those of faulty sections included, so that one fault does
        not cause findings elsewhere.
    """
    findings: list[Finding] = []
    for kind, names in declared.items():
        findings += _duplicates(kind, names)
    for pool in configuration.pools:
        findings += _pool(pool)
    for service in configuration.services:
        findings += _service(service, declared)
    for work in configuration.classes:
        findings += _work_class(work, declared)
    owners: dict[str, str] = {}
    for account in configuration.accounts:
        findings += _account(account, declared, owners)
    return findings


def _duplicates(kind: str, names: Sequence[str]) -> Iterator[Finding]:
    # Sections that differ in blanks only pass the INI parser's own check.
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield Finding(location=f"[{kind} {name}]", value=name, problem="declared twice")


def _pool(pool: Pool) -> Iterator[Finding]:
    place = f"[pool {pool.name}]"
    for key, value in (("model", pool.model), ("version", pool.version)):
        if not value:
            yield Finding(location=f"{place} {key}", value="", problem="is empty")


def _service(
    service: Service, declared: Mapping[str, Sequence[str]]
) -> Iterator[Finding]:
    if service.name in declared["pool"]:
        yield Finding(
            location=f"[service {service.name}]",
            value=service.name,
            problem="a pool has the same name",
        )


def _work_class(
    work: WorkClass, declared: Mapping[str, Sequence[str]]
) -> Iterator[Finding]:
    place = f"[class {work.name}]"
    if bool(work.pool) == bool(work.service):
        value = f"pool={work.pool} service={work.service}"
        problem = "needs exactly one of pool and service"
        yield Finding(location=place, value=value, problem=problem)
    for kind, name in (("pool", work.pool), ("service", work.service)):
        if name and name not in declared[kind]:
            problem = f"no such {kind}" + suggest_name(name, declared[kind])
            yield Finding(location=f"{place} {kind}", value=name, problem=problem)
    if work.pool and work.gap_target == _NO_TIME:
        problem = "a class of a pool needs a target above 0"
        yield Finding(location=f"{place} gap_target", value="0s", problem=problem)
    if work.deadline < work.ttft_target:
        yield Finding(
            location=f"{place} deadline",
            value=f"{work.deadline.total_seconds()}s",
            problem=f"below ttft_target of {work.ttft_target.total_seconds()}s",
        )


def _account(
    account: Account, declared: Mapping[str, Sequence[str]], owners: dict[str, str]
) -> Iterator[Finding]:
    place = f"[account {account.name}]"
    if not account.keys:
        yield Finding(
            location=f"{place} keys", value="", problem="needs at least one key"
        )
    for key in account.keys:
        if not is_key_hash(key):
            # The value is not shown: it may be a key entered without hashing.
            problem = "not salt:hash in hexadecimal, see the command hash-key"
            yield Finding(location=f"{place} keys", value="***", problem=problem)
        elif owners.setdefault(key, account.name) != account.name:
            problem = f"account {owners[key]} has the same key"
            yield Finding(location=f"{place} keys", value="***", problem=problem)
    for name in account.classes:
        if name not in declared["class"]:
            problem = "no such class" + suggest_name(name, declared["class"])
            yield Finding(location=f"{place} classes", value=name, problem=problem)
