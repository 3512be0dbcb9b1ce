"""Decoding of settings, declarations, entries and headers."""

import pathlib

import msgspec
import pytest

from pomelolug.deployment import GroupState, Repeatability
from pomelolug.errors import FindingsError
from pomelolug.ids import ServiceName, VmId
from pomelolug.platform import (
    EventSplitter,
    decode_declaration,
    decode_request_head,
    decode_server,
    decode_server_reply,
    forwarded_headers,
    load_settings,
)
from pomelolug.transport import ResponseHead

SETTINGS = """
node = "n1"
ip = "10.0.0.1"
zone = "z1"
internal_ports = [7000, 7010]
unknown_field = 5
[listen]
front = "10.0.0.1:80"
ready = "10.0.0.1:81"
[bounds]
grace_s = 8
new_bound = "x"
[platform]
address = "10.9.9.9:1"
"""


def write_settings(tmp_path: pathlib.Path, text: str) -> pathlib.Path:
    path = tmp_path / "boot.toml"
    path.write_text(text)
    return path


def test_settings_with_unknown_fields_are_accepted(tmp_path):
    # Guards against a node that does not start after an extension of the file.
    settings = load_settings(write_settings(tmp_path, SETTINGS))
    assert settings.caller_address == "10.0.0.1:80"
    assert settings.stop_grace.total_seconds() == 8


@pytest.mark.parametrize(
    ("text", "place"),
    [
        (SETTINGS.replace('zone = "z1"', ""), "zone"),
        (SETTINGS.replace("[7000, 7010]", '"many"'), "internal_ports"),
        ("node = ", "TOML"),
    ],
)
def test_wrong_settings_are_reported_with_their_place(tmp_path, text, place):
    # Guards against a start that fails without saying where.
    with pytest.raises(FindingsError, match=place):
        load_settings(write_settings(tmp_path, text))


def test_settings_that_are_missing_are_reported(tmp_path):
    # Guards against a traceback instead of a message.
    with pytest.raises(FindingsError, match=r"none\.toml"):
        load_settings(tmp_path / "none.toml")


def declaration(**changes):
    route = {
        "name": "r",
        "host": "h",
        "path_prefix": "/a/",
        "kind": "unsafe",
        "timeout_ms": 500,
        "split": [{"service": "s", "weight": 9}, {"service": "t", "weight": 1}],
    }
    longer = route | {"name": "r2", "path_prefix": "/a/b/", "kind": "streaming"}
    value = {"version": 3, "routes": [route, longer], "services": [{"name": "s"}]}
    return decode_declaration(msgspec.json.encode(value | changes))


def test_longest_prefix_selects_the_route():
    # Guards against requests that go to the service of a shorter prefix.
    decoded = declaration()
    assert decoded.find_route("h", "/a/b/c").name == "r2"
    assert decoded.find_route("h", "/a/bc").name == "r"
    assert decoded.find_route("h", "/b/") is None
    assert decoded.find_route("other", "/a/") is None


def test_stream_that_may_not_be_resumed_runs_once():
    # Guards against a stream that is started twice.
    route = declaration().find_route("h", "/a/b/")
    assert route.repeatability is Repeatability.STREAM
    assert not route.is_repeatable


def test_shares_of_a_route_are_kept():
    # Guards against a split that sends everything to one service.
    shares = declaration().find_route("h", "/a/").shares
    assert [(s.service, s.weight) for s in shares] == [("s", 9), ("t", 1)]


def test_declaration_without_accounts_needs_no_key():
    # Guards against 401 for every request of such a deployment.
    assert declaration().tenants is None
    assert declaration(tenants=[]).tenants == {}


@pytest.mark.parametrize("data", [b"", b"[]", b"\xff", b'{"routes": []}'])
def test_declaration_that_cannot_be_read_is_refused(data):
    # Guards against a broken record that is put into force.
    with pytest.raises(FindingsError):
        decode_declaration(data)


ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "state": "ready",
    "seq": 40,
    "born": 7,
    "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"},
}


def test_entry_is_decoded():
    # Guards against a head that is not recognised.
    server = decode_server(VmId("a"), msgspec.json.encode(ENTRY))
    assert server.service == ServiceName("s")
    assert server.membership.state is GroupState.OPEN


@pytest.mark.parametrize(
    "change",
    [
        {"service": 5},
        {"state": "unheard"},
        {"address": "nowhere"},
        {"address": None},
        {"group": {"name": "g"}},
        {"born": "soon"},
    ],
)
def test_entry_of_another_writer_names_no_server(change):
    # Guards against a foreign entry that stops the reading of the others.
    assert decode_server(VmId("a"), msgspec.json.encode(ENTRY | change)) is None
    assert decode_server(VmId("a"), b"\x00\xff") is None


def test_key_and_connection_fields_are_not_passed_on():
    # Guards against a caller's key at a server, and a forged account.
    headers = [
        (b"Authorization", b"Bearer k"),
        (b"tenant", b"forged"),
        (b"Connection", b"close"),
        (b"X", b"y"),
        (b"expect-instance", b"forged"),
    ]
    sent = dict(
        forwarded_headers(
            headers, server=VmId("a"), remaining_s=1.5, account=None, last_event=4
        )
    )
    assert sent == {
        b"X": b"y",
        b"Deadline-Ms": b"1500",
        b"Expect-Instance": b"a",
        b"Last-Event-Id": b"4",
    }


@pytest.mark.parametrize("value", [b"-5", b"nan", b"inf", b"x", b""])
def test_deadline_that_is_no_time_is_ignored(value):
    # Guards against a wait without end.
    head = decode_request_head(b"/", [(b"Deadline-Ms", value)])
    assert head.deadline_s is None


def test_only_an_explicit_statement_proves_that_a_request_did_not_run():
    # Guards against a second run after a 503 that proves nothing.
    assert decode_server_reply(ResponseHead(421, ())).refused
    assert decode_server_reply(ResponseHead(503, ((b"Not-Executed", b"1"),))).refused
    assert not decode_server_reply(ResponseHead(503, ())).refused
    assert not decode_server_reply(ResponseHead(429, ())).refused


def test_events_are_cut_at_blank_lines_in_any_partition():
    # Guards against events that are joined or split at packet borders.
    data = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3"
    for cut in range(len(data)):
        splitter = EventSplitter()
        events = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
        assert [e.event_id for e in events] == [1, 2]
        assert b"".join(e.data for e in events) == data[:-5]
        assert splitter.pending_bytes == 5
