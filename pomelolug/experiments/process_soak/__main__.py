"""Command line of ``make process-soak``."""

import pathlib
import sys

import fire

from pomelolug.experiments.process_soak._run import run_process_soak

__all__ = ["main"]

EXIT_VIOLATION = 1
_USUAL_ENTRIES = 4
_ENTRIES_WITH_DISPATCHER = 8


def soak(
    seed: int = 1,
    seeds: int = 1,
    length_s: float = 15.0,
    entries: int = 0,
    keep: str = "target/soak",
) -> None:
    """Run one or more seeds and print the report of each as one JSON object.

    Parameters
    ----------
    seed : int
        First seed.
    seeds : int
        Number of consecutive seeds.
    length_s : float
        Period in which faults are injected, in seconds.
    entries : int
        Number of entry VMs, one process each. 0 chooses by seed: four, or for every
        third seed eight, six of them in a zone with a dispatcher of streams.
    keep : str
        Directory for the logs of runs with violations.
    """
    broken = 0
    for number in range(seed, seed + seeds):
        report = run_process_soak(
            seed=number,
            length_s=length_s,
            entry_count=entries or _entry_count(number),
            keep=pathlib.Path(keep),
        )
        print(report.to_json(), flush=True)
        broken += bool(report.violations)
    if broken:
        sys.exit(EXIT_VIOLATION)


def _entry_count(seed: int) -> int:
    return _ENTRIES_WITH_DISPATCHER if seed % 3 == 0 else _USUAL_ENTRIES


def main() -> None:
    """Run the command."""
    fire.Fire(soak, name="process-soak")


if __name__ == "__main__":
    main()
