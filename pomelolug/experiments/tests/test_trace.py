import pathlib

import pytest

from pomelolug.errors import InvalidInputError
from pomelolug.experiments._command import TRACE_DIRECTORY
from pomelolug.experiments._trace import load_trace

HEAD = 'version = 1\nname = "t"\nduration_s = 1.0\naccounts = []\nclasses = []\n'


@pytest.mark.parametrize(
    "path", sorted(TRACE_DIRECTORY.glob("*.toml")), ids=lambda p: p.stem
)
def test_committed_trace_loads(path):
    """Guards against a trace that the current format rejects."""
    assert load_trace(path).name == path.stem


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        (HEAD.replace("1", "2", 1) + "loads = []", "only version 1"),
        (HEAD + "loads = []\nextra = 1", "extra"),
        (
            HEAD + '[[loads]]\nwork_class = "c"\naccount = "a"\nrate_per_s = 1.0',
            "not declared",
        ),
        ("version", "Expected '='"),
    ],
)
def test_faulty_trace_is_rejected(tmp_path: pathlib.Path, text, problem):
    """Guards against a trace whose faults change its meaning silently."""
    path = tmp_path / "t.toml"
    path.write_text(text)
    with pytest.raises(InvalidInputError, match=problem):
        load_trace(path)
