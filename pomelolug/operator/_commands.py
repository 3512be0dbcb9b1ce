"""Commands of the ``pomelolug`` command line."""

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
from pomelolug.operator._context import CommandContext, open_context
from pomelolug.operator._control import ConfigurationResponse
from pomelolug.operator._entry import fetch_entry_status, fetch_preview
from pomelolug.operator._publication import (
    publish_document,
    wait_for_nodes,
    wait_until_applied,
)
from pomelolug.operator._version_history import read_version_history
from pomelolug.state import RecordKind

__all__ = ["Commands"]

T = TypeVar("T")
N = TypeVar("N", int, float)
_GROUPS_STREAM = "groups"
_SALT_BYTES = 16
_MAX_SHOWN_VERSIONS = 64
_DEFAULT_SETTINGS = "operator.ini"


def _run_with_context(
    settings: str, operation: Callable[[CommandContext], Awaitable[T]]
) -> T:
    async def run_operation() -> T:
        async with open_context(settings) as context:
            return await operation(context)

    return asyncio.run(run_operation())


def _print_json(value: Any) -> None:
    print(json.dumps(value, indent=2, ensure_ascii=False))


def _print_response(settings: str, path: str, **query: str) -> None:
    _print_json(
        _run_with_context(
            settings, lambda context: context.control.get_json(path, **query)
        )
    )


class Commands:
    """Declare the configuration, drain VMs and look at a running deployment.

    Exit status: 0 done, 1 other failure, 2 arguments, settings or document
    invalid, 3 another change came first, 4 log or control process unavailable and
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
        parsed = parse_document(_read_document(document), version=0)
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
        text = _read_document(document)
        base_version = _parse_number(int, base, "--base")
        wait_timeout = datetime.timedelta(seconds=_parse_number(float, wait, "--wait"))

        async def publish_and_wait(context: CommandContext) -> None:
            version = await publish_document(context, text, base_version)
            print(f"version {version}")
            if wait_timeout:
                await _print_lagging_nodes(context, version, wait_timeout)

        _run_with_context(settings, publish_and_wait)

    def entry(self, address: str, *more: str) -> None:
        """Show the state of entry processes on the users' platform.

        Parameters
        ----------
        address : str
            IP address and port on which the process communicates with its peers.
        *more : str
            Addresses of further processes.
        """

        async def fetch_statuses() -> list[dict[str, Any]]:
            addresses = (address, *more)
            return await asyncio.gather(
                *(fetch_entry_status(each) for each in addresses)
            )

        statuses = asyncio.run(fetch_statuses())
        _print_json(dict(zip((address, *more), statuses, strict=True)))

    def preview(
        self,
        address: str,
        *,
        host: str,
        path: str,
        account: str = "",
        model: str = "",
        prompt_tokens: int = 0,
        deadline: float = 0.0,
    ) -> None:
        """Show where a request would go now and why, without sending it.

        Parameters
        ----------
        address : str
            IP address and port on which the entry process that has the request
            communicates with its peers.
        host, path : str
            Host and path of the request.
        account : str
            Name of the client account, which is not its key.
        model : str
            Model, if the request names one.
        prompt_tokens : int
            Size of the prompt, 0 if unknown.
        deadline : float
            Time in seconds that the caller waits, 0 if it does not say it.
        """
        query: dict[str, Any] = {
            "host": host,
            "path": path,
            "account": account or None,
            "model": model or None,
            "prompt_tokens": _parse_number(int, prompt_tokens, "--prompt_tokens"),
            "deadline_s": _parse_number(float, deadline, "--deadline") or None,
        }
        _print_json(asyncio.run(fetch_preview(address, query)))

    def history(self, settings: str = _DEFAULT_SETTINGS) -> None:
        """Show the versions of the configuration, the current one first."""
        _print_json(_run_with_context(settings, _fetch_history))

    def show(self, settings: str = _DEFAULT_SETTINGS) -> None:
        """Show the document in force, and its version on standard error.

        The hashes of the accounts' keys are shown only if the settings hold the
        keys of all operators.
        """
        version, document = _run_with_context(settings, _fetch_document)
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

        async def append_drain(context: CommandContext) -> None:
            record = Drain(vm=vm, active=not undo)
            offset = await context.create_appender().append(
                _GROUPS_STREAM, RecordKind.DRAIN, record
            )
            print(f"recorded at offset {offset}")
            await _confirm_applied(context, offset)

        _run_with_context(settings, append_drain)

    def nodes(self, settings: str = _DEFAULT_SETTINGS) -> None:
        """Show the nodes and the configuration version that each one has."""
        _print_response(settings, "/v1/nodes")

    def groups(self, settings: str = _DEFAULT_SETTINGS) -> None:
        """Show the replica groups and the drained VMs."""
        _print_response(settings, "/v1/groups")

    def streams(self, settings: str = _DEFAULT_SETTINGS) -> None:
        """Show how far the control process has read each stream."""
        _print_response(settings, "/v1/streams")

    def events(self, *, since: int = 0, settings: str = _DEFAULT_SETTINGS) -> None:
        """Show what the control process has seen, after serial `since`."""
        serial = _parse_number(int, since, "--since")
        _print_response(settings, "/v1/events", since=str(serial))

    def explain(self, request: str, settings: str = _DEFAULT_SETTINGS) -> None:
        """Show what happened to a request.

        Parameters
        ----------
        request : str
            Identifier from the response's ``X-Request-Id``.
        settings : str
            INI file with the operator's settings.
        """
        _print_response(settings, "/v1/explain", request=request)

    def hash_key(self) -> None:
        """Read an account's key from standard input and print its salted hash."""
        key = sys.stdin.readline().strip()
        if not key:
            raise PomelolugError(ErrorCode.BAD_REQUEST, "no key on standard input")
        print(hash_key(key, secrets.token_bytes(_SALT_BYTES)))

    def version(self) -> None:
        """Show the version of this program."""
        print(__version__)


def _parse_number(number_type: Callable[[Any], N], value: Any, option: str) -> N:
    """Convert an option, which `quote_values` has turned into a string."""
    try:
        return number_type(value)
    except ValueError as error:
        raise PomelolugError(
            ErrorCode.BAD_REQUEST, f"{option} is not a number: {value!r}"
        ) from error


def _read_document(document: str) -> str:
    return pathlib.Path(document).read_text(encoding="utf-8")


async def _print_lagging_nodes(
    context: CommandContext, version: int, timeout: datetime.timedelta
) -> None:
    lagging = await wait_for_nodes(context, version, timeout)
    if lagging:
        print(f"not yet reported by: {', '.join(lagging)}", file=sys.stderr)
    else:
        print("in force on all nodes")


async def _confirm_applied(context: CommandContext, offset: Offset) -> None:
    """Wait until the control process has applied a durable record; warn if not."""
    try:
        await wait_until_applied(context, _GROUPS_STREAM, offset)
    except PlatformError as error:
        print(f"not confirmed: {error}", file=sys.stderr)


async def _fetch_history(context: CommandContext) -> list[dict[str, Any]]:
    if context.has_all_operator_keys:
        async with context.follow_configuration() as reader:
            assert isinstance(reader.fold, ConfigurationFold)
            versions = list(reversed(reader.fold.history))
            return [
                _version_to_json(
                    entry.version, entry.base, entry.author, entry.timestamp
                )
                for entry in versions
            ]
    response = await context.control.get("/v1/configuration", ConfigurationResponse)
    return [
        _version_to_json(entry.version, entry.base, entry.author, entry.timestamp)
        async for entry in read_version_history(
            context.log, response.version, limit=_MAX_SHOWN_VERSIONS
        )
    ]


def _version_to_json(
    version: int, base: int, author: str, timestamp: datetime.datetime
) -> dict[str, Any]:
    return {
        "version": version,
        "base": base,
        "author": author,
        "time": timestamp.isoformat(),
    }


async def _fetch_document(context: CommandContext) -> tuple[int, str]:
    if context.has_all_operator_keys:
        async with context.follow_configuration() as reader:
            assert isinstance(reader.fold, ConfigurationFold)
            return reader.fold.version, reader.fold.document
    response = await context.control.get("/v1/configuration", ConfigurationResponse)
    return response.version, response.document
