"""Tests of decoding settings, declarations, server entries, headers and events."""

import pathlib

import msgspec
import pytest

from pomelolug.deployment import GroupState, Repeatability
from pomelolug.errors import InvalidInputError
from pomelolug.ids import ServiceName, VmId
from pomelolug.platform import (
    EventSplitter,
    decode_declaration,
    decode_evacuated_zone,
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
heartbeat_ms = 800
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
    # A node must still start after the platform adds fields to the file.
    settings = load_settings(write_settings(tmp_path, SETTINGS))
    assert settings.caller_address == "10.0.0.1:80"
    assert settings.stop_grace.total_seconds() == 8
    assert settings.server_entry_lifetime.total_seconds() == pytest.approx(2.4)
    assert settings.shortest_lapse.total_seconds() == pytest.approx(1.4)
    assert settings.longest_record_delay.total_seconds() == pytest.approx(2.0)


def test_node_acts_on_records_within_the_shortest_bound(tmp_path):
    # Guards against reads that wait longer than an evacuation allows.
    text = SETTINGS.replace("grace_s = 8", "grace_s = 8\nevacuate_ms = 1500")
    settings = load_settings(write_settings(tmp_path, text))
    assert settings.longest_record_delay.total_seconds() == pytest.approx(1.5)


def test_limits_of_the_process_are_read(tmp_path):
    # Without them, a node holds more than its memory and is killed.
    text = SETTINGS + "\n[limits]\nmemory_mb = 200\nmax_fds = 4100\n"
    settings = load_settings(write_settings(tmp_path, text))
    assert settings.memory_limit_bytes == 200_000_000
    assert settings.socket_limit == 3900


def test_settings_without_limits_set_no_bound(tmp_path):
    # Guards against a node that refuses everything for a limit of 0.
    settings = load_settings(write_settings(tmp_path, SETTINGS))
    assert settings.memory_limit_bytes is None
    assert settings.socket_limit is None


@pytest.mark.parametrize(
    ("key", "zone"),
    [
        ("evacuate/zone-a", "zone-a"),
        ("evacuate/a/b", "a/b"),
        ("evacuate/", None),
        ("evacuate", None),
        ("config", None),
        ("", None),
    ],
)
def test_zone_of_an_evacuation_comes_from_the_key(key, zone):
    # Guards against foreign records that evacuate a zone without a name.
    assert decode_evacuated_zone(key) == zone


@pytest.mark.parametrize(
    ("text", "place"),
    [
        (SETTINGS.replace('zone = "z1"', ""), "zone"),
        (SETTINGS.replace("[7000, 7010]", '"many"'), "internal_ports"),
        ("node = ", "TOML"),
    ],
)
def test_invalid_settings_error_names_the_field(tmp_path, text, place):
    # A failed start must report which part of the file is invalid.
    with pytest.raises(InvalidInputError, match=place):
        load_settings(write_settings(tmp_path, text))


def test_missing_settings_file_is_reported(tmp_path):
    # The operator must get an error message, not a traceback.
    with pytest.raises(InvalidInputError, match=r"none\.toml"):
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
    # A request must not go to the service of a route with a shorter prefix.
    decoded = declaration()
    assert decoded.find_route("h", "/a/b/c").name == "r2"
    assert decoded.find_route("h", "/a/bc").name == "r"
    assert decoded.find_route("h", "/b/") is None
    assert decoded.find_route("other", "/a/") is None


def test_stream_that_is_not_resumable_is_not_repeatable():
    # Such a stream must not be started twice.
    route = declaration().find_route("h", "/a/b/")
    assert route.repeatability is Repeatability.STREAM
    assert not route.is_repeatable


def test_route_keeps_the_weights_of_its_split():
    # Without the weights, all requests would go to one service.
    shares = declaration().find_route("h", "/a/").shares
    assert [(s.service, s.weight) for s in shares] == [("s", 9), ("t", 1)]


def test_missing_account_list_is_not_an_empty_one():
    # A missing list means that no key is needed. If it were read as an empty list,
    # every request of such a deployment would be answered with status 401.
    assert declaration().accounts_by_key is None
    assert declaration(tenants=[]).accounts_by_key == {}


@pytest.mark.parametrize("data", [b"", b"[]", b"\xff", b'{"routes": []}'])
def test_malformed_declaration_is_rejected(data):
    # A malformed record must not take effect.
    with pytest.raises(InvalidInputError):
        decode_declaration(data)


ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "state": "ready",
    "seq": 40,
    "born": 7,
    "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"},
}


def test_server_entry_is_decoded():
    # The head of an open group must be recognised from its entry.
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
        {"born": -1},
        {"born": 10**30},
        {"slots": 10**30},
        {"group": ENTRY["group"] | {"epoch": 10**30}},
        {"group": ENTRY["group"] | {"rank": -1}},
        {"address": "10.0.0.1:70000"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:\u00b2"},
        {"address": "10.0.0.1\r\nX: y:80"},
        {"address": "10.0.0.1:" + "9" * 6000},
        {"address": "a" * 300 + ":80"},
        {"address": "..:80"},
        {"address": "host.example:80"},
        {"address": "0.0.0.0:80"},
        {"address": "fe80::1%" + "a" * 300 + ":80"},
    ],
)
def test_invalid_server_entry_is_ignored(change):
    # An invalid entry of another writer must not prevent reading the others.
    assert decode_server(VmId("a"), msgspec.json.encode(ENTRY | change)) is None
    assert decode_server(VmId("a"), b"\x00\xff") is None


NESTED = b"[" * 100_000 + b"]" * 100_000
ODD_VALUES = {
    "nested": NESTED,
    "nested_object": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "digits": b"9" * 6000,
    "exponent": b"1e999999",
    "beyond_64_bits": b"18446744073709551616",
    "not_utf8": b'"\xff\xfe"',
    "surrogate": b'"\\ud800"',
}


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
@pytest.mark.parametrize("field", [*ENTRY, "models", "staged", "cold_remaining_ms"])
def test_odd_value_of_any_field_does_not_end_the_reader(field, value):
    # Guards against an exception that ends the reader of all entries.
    entry = {k: msgspec.Raw(msgspec.json.encode(v)) for k, v in ENTRY.items()}
    entry[field] = msgspec.Raw(value)
    server = decode_server(VmId("a"), msgspec.json.encode(entry))
    # A field that is not read may hold anything.
    assert server is None or field in ("seq", "cold_remaining_ms", "service")


@pytest.mark.parametrize(
    "vm",
    ["", "a b", "a\r\nX: y", "\ud800", "\u00e4"],
    ids=["empty", "space", "line", "surrogate", "letter"],
)
def test_key_that_is_no_server_id_is_ignored(vm):
    # Requests name the server in a header field, which such a key would break.
    assert decode_server(VmId(vm), msgspec.json.encode(ENTRY)) is None


def test_deeply_nested_records_are_ignored():
    # Such a record of another writer must not end the reader of the topic.
    data = b'{"x":' + b"[" * 200_000 + b"]" * 200_000 + b"}"
    assert decode_server(VmId("a"), data) is None
    with pytest.raises(InvalidInputError):
        decode_declaration(data)


def test_api_key_and_connection_fields_are_not_forwarded():
    # A server must not see the caller's API key, and a caller must not be able to forge
    # the account.
    headers = [
        (b"Authorization", b"Bearer k"),
        (b"tenant", b"forged"),
        (b"Connection", b"close"),
        (b"X", b"y"),
        (b"expect-instance", b"forged"),
    ]
    sent = dict(
        forwarded_headers(
            headers, server=VmId("a"), remaining_s=1.5, account=None, last_event_id=4
        )
    )
    assert sent == {
        b"X": b"y",
        b"Deadline-Ms": b"1500",
        b"Expect-Instance": b"a",
        b"Last-Event-Id": b"4",
    }


@pytest.mark.parametrize("value", [b"-5", b"nan", b"inf", b"x", b""])
def test_invalid_deadline_is_ignored(value):
    # An invalid deadline must not lead to an unlimited wait.
    head = decode_request_head(b"/", [(b"Deadline-Ms", value)])
    assert head.deadline_s is None


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        (b"5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (b"5C1E:8, 91bd:4 ,e4:2", ("5c1e", "91bd")),
        (b"e4402b7d:250", ()),
        (b",,e4:2", ()),
        (b"", ()),
        (b"a:1," * 100, ("a",) * 32),
    ],
)
def test_last_part_of_a_prompt_is_not_shared(value, parts):
    # Guards against a part that belongs to one request alone, and against a list
    # without end.
    head = decode_request_head(b"/", [(b"Prompt-Prefix", value)])
    assert head.shared_prompt_parts == parts


def test_only_explicit_refusal_proves_that_request_did_not_run():
    # A plain 503 does not prove it, so it must not cause a second run.
    assert decode_server_reply(ResponseHead(421, ())).refused
    assert decode_server_reply(ResponseHead(503, ((b"Not-Executed", b"1"),))).refused
    assert not decode_server_reply(ResponseHead(503, ())).refused
    assert not decode_server_reply(ResponseHead(429, ())).refused


@pytest.mark.parametrize(
    ("value", "rate_per_s"),
    [(b"1.6", 1.6), (b"0", 0.0), (b"-1", None), (b"nan", None), (b"x", None)],
)
def test_invalid_request_limit_of_a_server_is_ignored(value, rate_per_s):
    # A limit that cannot be read must not stop all requests to a server.
    reply = decode_server_reply(ResponseHead(200, ((b"Server-Limit", value),)))
    assert reply.notice.request_limit_per_s == rate_per_s


def test_events_are_split_at_blank_lines_for_any_chunk_boundary():
    # Events must not be merged or divided at packet boundaries.
    data = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3"
    for cut in range(len(data)):
        splitter = EventSplitter()
        events = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
        assert [e.event_id for e in events] == [1, 2]
        assert b"".join(e.data for e in events) == data[:-5]
        assert splitter.pending_bytes == 5
