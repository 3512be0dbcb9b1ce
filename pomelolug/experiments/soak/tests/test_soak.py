"""Guards against violations under faults and against irreproducible runs."""

import json
import os
import subprocess
import sys

import pytest

VIRTUAL_S = 25


def start_soak(seed, hash_seed):
    command = [sys.executable, "-m", "pomelolug.experiments.soak"]
    command += [f"--seed={seed}", f"--virtual_s={VIRTUAL_S}"]
    return subprocess.Popen(
        command,
        env=os.environ | {"PYTHONHASHSEED": str(hash_seed)},
        stdout=subprocess.PIPE,
        text=True,
    )


@pytest.mark.timeout(240)
def test_short_soak_has_no_violations_and_is_reproducible_under_any_hash_seed():
    runs = [start_soak(21, 1), start_soak(21, 2)]
    reports = [json.loads(run.communicate()[0].splitlines()[-1]) for run in runs]
    assert [report["violations"] for report in reports] == [[], []]
    assert reports[0]["digest"] == reports[1]["digest"]
    assert reports[0]["requests"] > 0
    assert sum(reports[0]["faults"].values()) > 0
