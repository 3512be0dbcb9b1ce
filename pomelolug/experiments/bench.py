"""Run the experiments and collect their figures.

``python -m pomelolug.experiments.bench`` runs all of them, ``--only NAME`` one.
Each line of an experiment is printed under its name and added to
``build/bench.jsonl`` with the experiment and the commit.
"""

import dataclasses
import json
import pathlib
import subprocess
import sys
import time

import fire

__all__ = ["EXPERIMENTS", "Experiment", "main"]

_RESULTS = pathlib.Path("build") / "bench.jsonl"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Experiment:
    """One command and what it measures."""

    module: str
    arguments: tuple[str, ...] = ()
    measures: str


EXPERIMENTS = {
    "state": Experiment(
        module="state", measures="configuration in force, appends, restart"
    ),
    "formation": Experiment(
        module="formation",
        arguments=("--duration=1200",),
        measures="group downtime and stranded accelerators by policy",
    ),
    "claims": Experiment(
        module="claims", measures="added latency and appends of claims"
    ),
    "detection": Experiment(
        module="membership",
        arguments=("detection",),
        measures="detection time against false suspicions",
    ),
    "heal": Experiment(
        module="membership", arguments=("heal",), measures="convergence after a heal"
    ),
    "mesh-cost": Experiment(
        module="membership",
        arguments=("memory-transport",),
        measures="bytes, time and memory of the mesh by number of nodes",
    ),
    "overload": Experiment(
        module="overload",
        arguments=("loads",),
        measures="goodput, tails and recovery under overload",
    ),
    "account": Experiment(
        module="overload",
        arguments=("account",),
        measures="other accounts' tail beside one large account",
    ),
    "routing": Experiment(
        module="routing", measures="wait and herding of the choice of a group"
    ),
    "prefix-index": Experiment(
        module="prefix_index", measures="recovery of the prefix index after gaps"
    ),
    "policy-cost": Experiment(
        module="policy_cost", measures="processor time of the request policy"
    ),
    "gateway": Experiment(
        module="gateway_bench", measures="gateway against a direct call"
    ),
    "capacity": Experiment(
        module="capacity", measures="slopes and values at the planned size"
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


def _run(name: str, experiment: Experiment, commit: str) -> int:
    print(f"## {name}: {experiment.measures}", flush=True)
    command = [sys.executable, "-m", f"pomelolug.experiments.{experiment.module}"]
    started = time.monotonic()
    process = subprocess.Popen(
        [*command, *experiment.arguments], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    with _RESULTS.open("a", encoding="utf-8") as results:
        for line in process.stdout:
            print(line, end="", flush=True)
            entry = {"experiment": name, "commit": commit, "line": line.rstrip()}
            results.write(json.dumps(entry) + "\n")
    status = process.wait()
    print(f"({time.monotonic() - started:.0f} s, status {status})\n", flush=True)
    return status


def bench(only: str = "") -> None:
    """Run all experiments, or the one named `only`.

    Parameters
    ----------
    only : str
        Name of one experiment.
    """
    if only and only not in EXPERIMENTS:
        print(f"no experiment {only!r}: {', '.join(EXPERIMENTS)}", file=sys.stderr)
        sys.exit(2)
    _RESULTS.parent.mkdir(exist_ok=True)
    commit = _commit()
    chosen = {name: e for name, e in EXPERIMENTS.items() if only in ("", name)}
    failed = [name for name, e in chosen.items() if _run(name, e, commit)]
    if failed:
        print(f"failed: {', '.join(failed)}", file=sys.stderr)
        sys.exit(1)


def main() -> None:
    """Entry point of the command."""
    fire.Fire(bench, name="bench")


if __name__ == "__main__":
    main()
