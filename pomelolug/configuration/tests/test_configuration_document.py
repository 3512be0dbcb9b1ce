"""Tests that all errors are reported at once and rendering loses nothing."""

import datetime

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelolug.configuration import (
    MAX_DOCUMENT_BYTES,
    Account,
    Configuration,
    Objective,
    Pool,
    Service,
    WorkClass,
    hash_key,
    parse_document,
    render_document,
    verify_key,
)
from pomelolug.errors import ConfigurationError, ErrorCode

KEY = hash_key("secret", b"12345678")
VALID_DOCUMENT = f"""
[deployment]
objective = stranded_accelerators
[pool draft]
model = m7
adapters = a1, a2
[service jobs]
timeout = 5s
[class interactive]
priority = 10
pool = draft
ttft_target = 990ms
gap_target = 44ms
deadline = 1min
[class status]
priority = 5
service = jobs
ttft_target = 1s
deadline = 5s
idempotent = no
[account plant]
keys = {KEY}
classes = interactive
weight = 2.5
"""


def findings_of(text):
    with pytest.raises(ConfigurationError) as exc_info:
        parse_document(text, version=1)
    assert exc_info.value.code is ErrorCode.CONFIGURATION_INVALID
    return [str(finding) for finding in exc_info.value.findings]


def test_every_field_of_a_document_is_read():
    configuration = parse_document(VALID_DOCUMENT, version=9)
    assert configuration.version == 9
    assert configuration.objective is Objective.STRANDED_ACCELERATORS
    assert configuration.pools == (
        Pool(name="draft", model="m7", adapters=("a1", "a2")),
    )
    interactive, status = configuration.classes
    assert interactive.gap_target == datetime.timedelta(milliseconds=44)
    assert (status.service, status.idempotent) == ("jobs", False)
    assert configuration.accounts[0].weight == 2.5


ERRORS = {
    ("model = m7", "modle = m7"): [
        "[pool draft] modle: unknown key, did you mean 'model'? (value 'm7')",
        "[pool draft] model: missing: Name of the model in the weight store. "
        "(value '')",
    ],
    ("[service jobs]", "[servise jobs]"): [
        "[servise jobs]: unknown section, did you mean 'service'?; sections are "
        "deployment, pool NAME, service NAME, class NAME, account NAME (value '')",
        "[class status] service: no such service (value 'jobs')",
    ],
    ("pool = draft", "pool = drift"): [
        "[class interactive] pool: no such pool, did you mean 'draft'? (value 'drift')"
    ],
    ("pool = draft", "pool = draft\nservice = jobs"): [
        "[class interactive]: needs exactly one of pool and service "
        "(value 'pool=draft service=jobs')"
    ],
    ("priority = 10", "priority = high"): [
        "[class interactive] priority: not an integer (value 'high')"
    ],
    ("deadline = 5s", "deadline = 500ms"): [
        "[class status] deadline: below ttft_target of 1.0s (value '0.5s')"
    ],
    ("gap_target = 44ms\n", ""): [
        "[class interactive] gap_target: a class of a pool needs a target above 0 "
        "(value '0s')"
    ],
    (KEY, "secret"): [
        "[account plant] keys: not salt:hash in hexadecimal, see the command "
        "hash-key (value '***')"
    ],
    ("weight = 2.5", "weight = nan"): [
        "[account plant] weight: not a finite number (value 'nan')"
    ],
    ("classes = interactive", "classes = interactiv"): [
        "[account plant] classes: no such class, did you mean 'interactive'? "
        "(value 'interactiv')"
    ],
    ("[pool draft]", "[pool a b]"): [
        "[pool a b]: needs a name of 1 to 64 letters, digits, dots, dashes or "
        "underscores (value 'a b')",
        "[class interactive] pool: no such pool (value 'draft')",
    ],
    ("[service jobs]", "[service draft]"): [
        "[service draft]: a pool has the same name (value 'draft')",
        "[class status] service: no such service (value 'jobs')",
    ],
    ("[service jobs]", "[pool  draft]\nmodel = x\n[service jobs]"): [
        "[pool draft]: declared twice (value 'draft')"
    ],
    ("[account plant]", "[DEFAULT]\nkeys = x\n[account plant]"): [
        "[DEFAULT]: unknown section; sections are deployment, pool NAME, "
        "service NAME, class NAME, account NAME (value '')"
    ],
}


@pytest.mark.parametrize("error", ERRORS, ids=lambda error: error[1][:20])
def test_error_is_reported_with_its_location_and_the_nearest_name(error):
    assert VALID_DOCUMENT.count(error[0]) == 1 or error[0] == "[service jobs]"
    assert findings_of(VALID_DOCUMENT.replace(*error)) == ERRORS[error]


def test_all_errors_of_a_document_are_reported_together():
    text = VALID_DOCUMENT
    for old, new in (("priority = 10", "priority = x"), ("1min", "soon")):
        text = text.replace(old, new)
    assert len(findings_of(text)) == 2


def test_key_of_two_accounts_is_reported():
    found = findings_of(VALID_DOCUMENT + f"[account copy]\nkeys = {KEY}\n")
    assert found == [
        "[account copy] keys: account plant has the same key (value '***')"
    ]


@pytest.mark.parametrize("text", ["no section", "[pool a]\nx\n", "[pool a]\n[pool a]"])
def test_text_that_is_not_ini_is_a_finding_with_its_line(text):
    assert findings_of(text)[0].startswith("document")


def test_oversized_document_is_refused_before_parsing():
    assert "131073 bytes" in findings_of("#" * (MAX_DOCUMENT_BYTES + 1))[0]


@given(st.text(max_size=300) | st.text("[]pol =\n:mde.s0", max_size=80))
def test_arbitrary_text_raises_only_a_configuration_error(text):
    try:
        parse_document(text, version=1)
    except ConfigurationError as error:
        assert error.findings


names = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,20}", fullmatch=True)
durations = st.timedeltas(
    datetime.timedelta(milliseconds=1), datetime.timedelta(hours=1)
)


@st.composite
def configurations(draw):
    pool = Pool(name=draw(names), model=draw(names), members=draw(st.integers(1, 64)))
    service = Service(name=pool.name + "-s", timeout=draw(durations))
    ttft = draw(durations)
    work_class = WorkClass(
        name=draw(names),
        priority=draw(st.integers(0, 1000)),
        ttft_target=ttft,
        gap_target=draw(durations),
        deadline=ttft + draw(durations),
        service=service.name,
        idempotent=draw(st.booleans()),
    )
    account = Account(
        name=draw(names),
        keys=(hash_key("k", draw(st.binary(min_size=8, max_size=16))),),
        weight=draw(st.floats(0.001, 1000)),
        classes=(work_class.name,),
    )
    return Configuration(
        version=4,
        objective=draw(st.sampled_from(Objective)),
        pools=(pool,),
        services=(service,),
        classes=(work_class,),
        accounts=(account,),
    )


@given(configurations())
def test_rendered_configuration_parses_to_the_same_value(configuration):
    text = render_document(configuration)
    assert parse_document(text, version=4) == configuration


@pytest.mark.parametrize("stored", ["", "zz:00", "00:" + "0" * 64, KEY[:-1]])
def test_malformed_hash_verifies_no_key(stored):
    assert not verify_key("secret", stored)


def test_only_the_right_key_verifies():
    assert verify_key("secret", KEY)
    assert not verify_key("secre", KEY)
    assert hash_key("secret", b"87654321") != KEY
