"""Demo of a deployment on loopback under load and faults.

Run ``python -m pomelolug.experiments.demo``. It starts the simulated platform,
backend servers and three entry VMs, replays the trace ``traces/demo.toml`` and
prints a JSON object as the last line of standard output. The exit status is 1
if a guarantee of the design was violated.
"""

import pathlib
import sys

import fire
import msgspec

from pomelolug.experiments._command import (
    TRACE_DIRECTORY,
    run_in_directory,
    run_interruptible,
)
from pomelolug.experiments._runner import RunResult
from pomelolug.experiments._trace import load_trace

__all__ = ["main", "summarize"]


def summarize(result: RunResult) -> dict[str, object]:
    """Return the JSON object that the demo prints."""
    outcome_counts = result.outcome_counts
    names = (
        "sent answered not_run outcome_unknown lost doubled crossed truncated "
        "not_run_but_executed work_after_leaving groups_served_incomplete "
        "vms_in_two_groups"
    )
    counts = {name: getattr(outcome_counts, name) for name in names.split()}
    return {
        **counts,
        "config_versions_in_force": list(result.config_versions_in_force),
        "group_downtime_s": result.figures["group_downtime_s"],
        "stranded_accelerator_s": result.figures["stranded_accelerator_s"],
        "codes": dict(result.codes),
        "classes": msgspec.to_builtins(result.classes),
    }


def main(trace: str = str(TRACE_DIRECTORY / "demo.toml"), logs: str = "") -> None:
    """Run the demo.

    Parameters
    ----------
    trace : str
        Path of the trace to replay.
    logs : str
        Directory for settings and logs; empty for a temporary one.
    """
    loaded = load_trace(pathlib.Path(trace))
    result = run_interruptible(run_in_directory(loaded, logs))
    print(msgspec.json.encode(summarize(result)).decode(), flush=True)
    version_count = len(result.config_versions_in_force)
    sys.exit(1 if result.outcome_counts.broken or version_count != 1 else 0)


if __name__ == "__main__":
    fire.Fire(main)
