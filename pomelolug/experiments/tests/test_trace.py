import pathlib

import pytest

from pomelolug.errors import InvalidInputError
from pomelolug.experiments._command import TRACE_DIRECTORY
from pomelolug.experiments._trace import load_trace

HEADER = 'version = 1\nname = "t"\nduration_s = 1.0\naccounts = []\nclasses = []\n'


@pytest.mark.parametrize(
    "path", sorted(TRACE_DIRECTORY.glob("*.toml")), ids=lambda p: p.stem
)
def test_committed_trace_loads(path):
    """Guards against a committed trace that does not match the current format."""
    assert load_trace(path).name == path.stem


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        (HEADER.replace("1", "2", 1) + "loads = []", "only version 1"),
        (HEADER + "loads = []\nextra = 1", "extra"),
        (
            HEADER + '[[loads]]\nwork_class = "c"\naccount = "a"\nrate_per_s = 1.0',
            "not declared",
        ),
        ("version", "Expected '='"),
    ],
)
def test_invalid_trace_is_rejected(tmp_path: pathlib.Path, text, problem):
    """Guards against errors in a trace that silently change its meaning."""
    path = tmp_path / "t.toml"
    path.write_text(text)
    with pytest.raises(InvalidInputError, match=problem):
        load_trace(path)
