"""Guards against wrong exit statuses and output of the command line."""

import asyncio
import configparser
import datetime
import io
import json

import pytest
from aiohttp import web

from pomelolug import __version__
from pomelolug.configuration import verify_key
from pomelolug.messages import Drain, decode
from pomelolug.operator.__main__ import main
from pomelolug.state import KeyRing, RecordKind, decode_record
from pomelolug.testing.platform_server import start_platform

OPERATOR_KEY = "ada=" + "22" * 16
VALID_DOCUMENT = "[pool draft]\nmodel = m7\n"


@pytest.fixture
def run_command(monkeypatch, capsys):
    # Configured loggers would keep the captured standard error after this test.
    monkeypatch.setattr(
        "pomelolug.operator.__main__.configure_logging", lambda level: None
    )

    def run_command(*arguments):
        monkeypatch.setattr("sys.argv", ["pomelolug", *arguments])
        try:
            main()
            status = 0
        except SystemExit as error:
            status = error.code or 0
        output = capsys.readouterr()
        return int(status), output.out, output.err

    return run_command


class FakeDeployment:
    """A log server and a control process that sends fixed responses."""

    def __init__(self, folder):
        self.folder = folder
        self.responses = {"/v1/streams": {"streams": []}}
        self.queries = []

    async def start(self):
        self.platform, self.log_runner = await start_platform(port=0)
        app = web.Application()
        app.router.add_get("/{path:.*}", self._respond)
        self.control_runner = web.AppRunner(app)
        await self.control_runner.setup()
        await web.TCPSite(self.control_runner, "127.0.0.1", 0).start()
        parser = configparser.ConfigParser()
        parser["operator"] = {"name": "ada", "key": OPERATOR_KEY}
        parser["platform"] = {
            "log": _address(self.log_runner),
            "operators": OPERATOR_KEY,
        }
        parser["control"] = {
            "address": _address(self.control_runner),
            "timeout": "500ms",
        }
        self.settings = self.folder / "operator.ini"
        with self.settings.open("w") as file:
            parser.write(file)

    async def _respond(self, request):
        self.queries.append(request.path_qs)
        if request.path not in self.responses:
            raise web.HTTPNotFound
        return web.json_response(self.responses[request.path])

    async def close(self):
        await self.log_runner.cleanup()
        await self.control_runner.cleanup()


def _address(runner):
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


@pytest.fixture
async def deployment(tmp_path):
    deployment = FakeDeployment(tmp_path)
    await deployment.start()
    yield deployment
    await deployment.close()


@pytest.fixture
def document(tmp_path):
    path = tmp_path / "document.ini"
    path.write_text(VALID_DOCUMENT)
    return path


@pytest.mark.parametrize("argument", ["version", "--version"])
def test_version_is_printed(run_command, argument):
    assert run_command(argument) == (0, f"{__version__}\n", "")


def test_check_reports_every_finding_and_the_status(run_command, document):
    assert run_command("check", str(document))[0] == 0
    document.write_text("[pool draft]\nmodle = m7\n[servise x]\n")
    status, _, errors = run_command("check", str(document))
    assert status == 2
    assert len(errors.splitlines()) == 3
    assert "did you mean 'model'?" in errors


@pytest.mark.parametrize(
    "arguments",
    [
        ("check", "missing.ini"),
        ("publish", "missing.ini", "--base", "1"),
        ("nodes", "--settings", "missing.ini"),
        ("nonsense",),
    ],
)
def test_invalid_arguments_exit_with_status_2(run_command, arguments):
    assert run_command(*arguments)[0] == 2


def test_key_is_hashed_from_standard_input(run_command, monkeypatch):
    monkeypatch.setattr("sys.stdin", io.StringIO("secret\n"))
    status, output, _ = run_command("hash-key")
    assert status == 0
    assert verify_key("secret", output.strip())
    assert "secret" not in output


async def test_publish_history_and_show_work_on_the_log(
    run_command, deployment, document
):
    settings = f"--settings={deployment.settings}"

    def publish(base):
        return run_command("publish", str(document), "--base", base, settings)

    assert (await asyncio.to_thread(publish, "-1"))[:2] == (0, "version 0\n")
    status, output, errors = await asyncio.to_thread(publish, "-1")
    assert (status, output) == (3, "")
    assert "version 0" in errors
    assert (await asyncio.to_thread(publish, "0"))[:2] == (0, "version 1\n")
    _, output, _ = await asyncio.to_thread(run_command, "history", settings)
    lines = [(line["version"], line["author"]) for line in json.loads(output)]
    assert lines == [(1, "operator:ada"), (0, "operator:ada")]
    assert await asyncio.to_thread(run_command, "show", settings) == (
        0,
        VALID_DOCUMENT,
        "version 1\n",
    )


async def test_drain_is_signed_and_keeps_the_vm_identifier(run_command, deployment):
    deployment.responses["/v1/streams"] = {
        "streams": [{"stream": "groups", "state": "following", "offset": 9}]
    }
    arguments = ("drain", "007", "--undo", f"--settings={deployment.settings}")
    status, output, _ = await asyncio.to_thread(run_command, *arguments)
    assert (status, output) == (0, "recorded at offset 0\n")
    _, _, records = await deployment.platform.log.read(
        "groups", 0, limit=10, wait=datetime.timedelta(0)
    )
    record = decode_record(
        records[0].data,
        stream="groups",
        offset=0,
        timestamp=None,
        keyring=KeyRing.from_options((), (OPERATOR_KEY,)),
    )
    assert record.kind is RecordKind.DRAIN
    assert decode(record.body, Drain) == Drain(vm="007", active=False)


async def test_request_identifier_reaches_the_control_process_unchanged(
    run_command, deployment
):
    deployment.responses["/v1/explain"] = {"request": "12e4", "steps": ["refused"]}
    settings = f"--settings={deployment.settings}"
    status, output, _ = await asyncio.to_thread(
        run_command, "explain", "12e4", settings
    )
    assert (status, json.loads(output)["steps"]) == (0, ["refused"])
    assert deployment.queries == ["/v1/explain?request=12e4"]


@pytest.mark.parametrize("command", ["nodes", "groups", "streams", "events"])
async def test_queries_report_an_unavailable_control_process(
    run_command, deployment, command
):
    settings = f"--settings={deployment.settings}"
    deployment.responses.clear()
    status, output, errors = await asyncio.to_thread(run_command, command, settings)
    assert (status, output) == (4, "")
    assert "404" in errors
    await deployment.control_runner.cleanup()
    assert (await asyncio.to_thread(run_command, command, settings))[0] == 4


async def test_unavailable_log_exits_with_status_4(run_command, deployment, document):
    await deployment.log_runner.cleanup()
    arguments = ("publish", str(document), "--base=-1")
    settings = deployment.settings.read_text().replace(
        f"operators = {OPERATOR_KEY}\n", ""
    )
    deployment.settings.write_text(settings)
    deployment.responses["/v1/configuration"] = {"version": -1, "document": ""}
    status, _, _ = await asyncio.to_thread(
        run_command, *arguments, f"--settings={deployment.settings}"
    )
    assert status == 4
