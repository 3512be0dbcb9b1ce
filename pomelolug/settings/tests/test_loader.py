"""Guards against partly applied settings and errors reported one by one."""

import datetime

import pytest

from pomelolug.errors import InvalidInputError
from pomelolug.settings import load_settings
from pomelolug.settings._gateway_generated import GATEWAY_SPEC, GatewaySettings

VALID_SETTINGS = """
[node]
name = n1
zone = z1
[listen]
address = 127.0.0.1:8080
[control]
address = 127.0.0.1:8081
keys = a=00ff
[drain]
grace = 250ms
"""


def test_defaults_and_units(tmp_path):
    path = tmp_path / "gateway.ini"
    path.write_text(VALID_SETTINGS)
    settings = load_settings(path, GatewaySettings, GATEWAY_SPEC)
    assert settings.listen.address.port == 8080
    assert settings.drain.grace == datetime.timedelta(milliseconds=250)
    assert settings.listen.max_body_bytes == 1048576


def test_every_error_is_reported_with_its_location(tmp_path):
    path = tmp_path / "gateway.ini"
    path.write_text(
        VALID_SETTINGS.replace("127.0.0.1:8080", "localhost:8080")
        + "limitt = 3s\n[log]\nlevel = loud\n[drane]\nx = 1\n"
    )
    with pytest.raises(InvalidInputError) as caught:
        load_settings(path, GatewaySettings, GATEWAY_SPEC)
    text = str(caught.value)
    assert "gateway.ini [listen] address: not an IP number" in text
    assert "[drain] limitt: unknown key, did you mean 'limit'?" in text
    assert "[log] level: not one of" in text
    assert "[drane]: unknown section, did you mean 'drain'?" in text


def test_secret_values_are_not_in_the_findings(tmp_path):
    path = tmp_path / "gateway.ini"
    path.write_text("[control]\nkeys = a=00ff\n")
    with pytest.raises(InvalidInputError) as caught:
        load_settings(path, GatewaySettings, GATEWAY_SPEC)
    assert "00ff" not in str(caught.value)
