"""Runner that executes the experiments and records their results.

``python -m pomelolug.experiments.bench`` runs all of them, ``--only NAME`` one.
Each output line of an experiment is printed and also appended to
``build/bench.jsonl`` with the name of the experiment and the commit.
"""

import dataclasses
import json
import pathlib
import subprocess
import sys
import time

import fire

__all__ = ["EXPERIMENTS", "Experiment", "main"]

_RESULTS_PATH = pathlib.Path("build") / "bench.jsonl"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Experiment:
    """A command and a description of what it measures."""

    module: str
    arguments: tuple[str, ...] = ()
    description: str


EXPERIMENTS = {
    "state": Experiment(
        module="state",
        description="time to configuration in force, log appends, restart",
    ),
    "formation": Experiment(
        module="formation",
        arguments=("--duration=1200",),
        description="group downtime and stranded accelerators by policy",
    ),
    "claims": Experiment(
        module="claims", description="added latency and log appends of claims"
    ),
    "detection": Experiment(
        module="membership",
        arguments=("detection",),
        description="failure detection time and false suspicions",
    ),
    "heal": Experiment(
        module="membership",
        arguments=("heal",),
        description="convergence after a healed partition",
    ),
    "mesh-cost": Experiment(
        module="membership",
        arguments=("memory-transport",),
        description="bytes, time and memory of the mesh by number of nodes",
    ),
    "overload": Experiment(
        module="overload",
        arguments=("loads",),
        description="goodput, tail latency and recovery under overload",
    ),
    "account": Experiment(
        module="overload",
        arguments=("account",),
        description="tail latency of accounts that share the system with a large one",
    ),
    "routing": Experiment(
        module="routing", description="waiting time and herding of group selection"
    ),
    "prefix-index": Experiment(
        module="prefix_index", description="recovery of the prefix index after gaps"
    ),
    "policy-cost": Experiment(
        module="policy_cost", description="CPU time of the request policy"
    ),
    "gateway": Experiment(
        module="gateway_bench",
        description="gateway overhead compared with a direct call",
    ),
    "capacity": Experiment(
        module="capacity", description="slopes and values at the planned size"
    ),
}


def _commit() -> str:
    result = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    )
    return result.stdout.strip() or "unknown"


def _run_experiment(name: str, experiment: Experiment, commit: str) -> int:
    print(f"## {name}: {experiment.description}", flush=True)
    command = [sys.executable, "-m", f"pomelolug.experiments.{experiment.module}"]
    start_s = time.monotonic()
    process = subprocess.Popen(
        [*command, *experiment.arguments], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    with _RESULTS_PATH.open("a", encoding="utf-8") as results:
        for line in process.stdout:
            print(line, end="", flush=True)
            entry = {"experiment": name, "commit": commit, "line": line.rstrip()}
            results.write(json.dumps(entry) + "\n")
    status = process.wait()
    print(f"({time.monotonic() - start_s:.0f} s, status {status})\n", flush=True)
    return status


def bench(only: str = "") -> None:
    """Run every experiment, or only the one named `only`.

    Parameters
    ----------
    only : str
        Name of an experiment; empty for all.
    """
    if only and only not in EXPERIMENTS:
        print(
            f"unknown experiment {only!r}; choose from {', '.join(EXPERIMENTS)}",
            file=sys.stderr,
        )
        sys.exit(2)
    _RESULTS_PATH.parent.mkdir(exist_ok=True)
    commit = _commit()
    selected = {
        name: experiment
        for name, experiment in EXPERIMENTS.items()
        if only in ("", name)
    }
    failed = [
        name
        for name, experiment in selected.items()
        if _run_experiment(name, experiment, commit)
    ]
    if failed:
        print(f"failed: {', '.join(failed)}", file=sys.stderr)
        sys.exit(1)


def main() -> None:
    """Run the command line interface."""
    fire.Fire(bench, name="bench")


if __name__ == "__main__":
    main()
