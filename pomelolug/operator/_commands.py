"""Commands of an operator."""

import asyncio
import datetime
import json
import pathlib
import secrets
import sys
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from pomelolug import __version__
from pomelolug.configuration import ConfigurationFold, hash_key, parse_document
from pomelolug.errors import ErrorCode, PlatformError, PomelolugError
from pomelolug.ids import Offset
from pomelolug.messages import Drain
from pomelolug.operator._chain import versions_before
from pomelolug.operator._control import ConfigurationPage
from pomelolug.operator._entry import entry_status
from pomelolug.operator._publication import (
    nodes_without,
    publish_document,
    wait_applied,
)
from pomelolug.operator._site import Site, open_site
from pomelolug.state import RecordKind

__all__ = ["Commands"]

T = TypeVar("T")
N = TypeVar("N", int, float)
_GROUPS_STREAM = "groups"
_SALT_BYTES = 16
_SHOWN_VERSIONS = 64
_DEFAULT_SETTINGS = "operator.ini"


def _run(settings: str, work: Callable[[Site], Awaitable[T]]) -> T:
    async def opened() -> T:
        async with open_site(settings) as site:
            return await work(site)

    return asyncio.run(opened())


def _print_json(value: Any) -> None:
    print(json.dumps(value, indent=2, ensure_ascii=False))


def _print_page(settings: str, path: str, **query: str) -> None:
    _print_json(_run(settings, lambda site: site.control.raw(path, **query)))


class Commands:
    """Declare the configuration, drain VMs and look at a running deployment.

    Exit status: 0 done, 1 other failure, 2 arguments, settings or document at
    fault, 3 another change came first, 4 log or control process unavailable and
    nothing appended, 5 not known whether the change was made, 6 log replaced,
    shortened or incomplete.
    """

    def check(self, document: str) -> None:
        """Check a configuration document without publishing it.

        Parameters
        ----------
        document : str
            File with the document.
        """
        parsed = parse_document(_read(document), version=0)
        print(
            f"valid: {len(parsed.pools)} pools, {len(parsed.services)} services, "
            f"{len(parsed.classes)} classes, {len(parsed.accounts)} accounts"
        )

    def publish(
        self,
        document: str,
        *,
        base: int,
        settings: str = _DEFAULT_SETTINGS,
        wait: float = 0.0,
    ) -> None:
        """Publish a configuration document.

        Parameters
        ----------
        document : str
            File with the document.
        base : int
            Version that the document is meant to replace, -1 for the first.
        settings : str
            INI file with the operator's settings.
        wait : float
            Longest time in seconds to wait until all nodes have the version.
        """
        text = _read(document)
        replaced = _number(int, base, "--base")
        longest = datetime.timedelta(seconds=_number(float, wait, "--wait"))

        async def work(site: Site) -> None:
            version = await publish_document(site, text, replaced)
            print(f"version {version}")
            if longest:
                await _report_nodes(site, version, longest)

        _run(settings, work)

    def entry(self, address: str, *more: str) -> None:
        """Show the state of entry processes on the users' platform.

        Parameters
        ----------
        address : str
            IP address and port at which the process talks to its peers.
        *more : str
            Addresses of further processes.
        """

        async def work() -> list[dict[str, Any]]:
            addresses = (address, *more)
            return await asyncio.gather(*(entry_status(a) for a in addresses))

        states = asyncio.run(work())
        _print_json(dict(zip((address, *more), states, strict=True)))

    def history(self, settings: str = _DEFAULT_SETTINGS) -> None:
        """Show the versions of the configuration, the current one first."""
        _print_json(_run(settings, _history))

    def show(self, settings: str = _DEFAULT_SETTINGS) -> None:
        """Show the document in force, and its version on standard error.

        The hashes of the accounts' keys are shown only if the settings hold the
        keys of all operators.
        """
        version, document = _run(settings, _show)
        print(f"version {version}", file=sys.stderr)
        print(document, end="" if document.endswith("\n") else "\n")

    def drain(
        self, vm: str, *, undo: bool = False, settings: str = _DEFAULT_SETTINGS
    ) -> None:
        """Take a VM out of use without interrupting a request.

        Parameters
        ----------
        vm : str
            Identifier of the VM in the platform's list.
        undo : bool
            Return the VM to use.
        settings : str
            INI file with the operator's settings.
        """

        async def work(site: Site) -> None:
            record = Drain(vm=vm, active=not undo)
            offset = await site.appender().append(
                _GROUPS_STREAM, RecordKind.DRAIN, record
            )
            print(f"recorded at offset {offset}")
            await _confirm(site, offset)

        _run(settings, work)

    def nodes(self, settings: str = _DEFAULT_SETTINGS) -> None:
        """Show the nodes and the configuration version that each one has."""
        _print_page(settings, "/v1/nodes")

    def groups(self, settings: str = _DEFAULT_SETTINGS) -> None:
        """Show the replica groups and the drained VMs."""
        _print_page(settings, "/v1/groups")

    def streams(self, settings: str = _DEFAULT_SETTINGS) -> None:
        """Show how far the control process has read each stream."""
        _print_page(settings, "/v1/streams")

    def events(self, *, since: int = 0, settings: str = _DEFAULT_SETTINGS) -> None:
        """Show what the control process has seen, from serial `since` on."""
        serial = _number(int, since, "--since")
        _print_page(settings, "/v1/events", since=str(serial))

    def explain(self, request: str, settings: str = _DEFAULT_SETTINGS) -> None:
        """Show what happened to a request.

        Parameters
        ----------
        request : str
            Identifier from the answer's ``X-Request-Id``.
        settings : str
            INI file with the operator's settings.
        """
        _print_page(settings, "/v1/explain", request=request)

    def hash_key(self) -> None:
        """Read an account's key from standard input and print its salted hash."""
        key = sys.stdin.readline().strip()
        if not key:
            raise PomelolugError(ErrorCode.BAD_REQUEST, "no key on standard input")
        print(hash_key(key, secrets.token_bytes(_SALT_BYTES)))

    def version(self) -> None:
        """Show the version of this program."""
        print(__version__)


def _number(kind: Callable[[Any], N], value: Any, option: str) -> N:
    """Return the value of an option, which `quoted` has made a text."""
    try:
        return kind(value)
    except ValueError as error:
        raise PomelolugError(
            ErrorCode.BAD_REQUEST, f"{option} is not a number: {value!r}"
        ) from error


def _read(document: str) -> str:
    return pathlib.Path(document).read_text(encoding="utf-8")


async def _report_nodes(site: Site, version: int, wait: datetime.timedelta) -> None:
    behind = await nodes_without(site, version, wait)
    if behind:
        print(f"not yet reported by: {', '.join(behind)}", file=sys.stderr)
    else:
        print("in force on all nodes")


async def _confirm(site: Site, offset: Offset) -> None:
    """Tell whether the control process has applied a record already durable."""
    try:
        await wait_applied(site, _GROUPS_STREAM, offset)
    except PlatformError as error:
        print(f"not confirmed: {error}", file=sys.stderr)


async def _history(site: Site) -> list[dict[str, Any]]:
    if site.has_all_keys:
        async with site.configuration() as reader:
            assert isinstance(reader.fold, ConfigurationFold)
            entries = list(reversed(reader.fold.history))
            return [
                _version_line(e.version, e.base, e.author, e.stamp) for e in entries
            ]
    page = await site.control.page("/v1/configuration", ConfigurationPage)
    return [
        _version_line(line.version, line.base, line.author, line.stamp)
        async for line in versions_before(site.log, page.version, limit=_SHOWN_VERSIONS)
    ]


def _version_line(
    version: int, base: int, author: str, stamp: datetime.datetime
) -> dict[str, Any]:
    return {
        "version": version,
        "base": base,
        "author": author,
        "time": stamp.isoformat(),
    }


async def _show(site: Site) -> tuple[int, str]:
    if site.has_all_keys:
        async with site.configuration() as reader:
            assert isinstance(reader.fold, ConfigurationFold)
            return reader.fold.version, reader.fold.text
    page = await site.control.page("/v1/configuration", ConfigurationPage)
    return page.version, page.document
