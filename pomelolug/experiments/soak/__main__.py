"""Command line of ``make soak``."""

import sys

import fire

from pomelolug.experiments.soak._run import run_soak

__all__ = ["main"]

EXIT_VIOLATION = 1
_SHOWN_EVENTS = 60


def soak(seed: int = 1, virtual_s: float = 600.0, verbose: bool = False) -> None:
    """Run the soak and print its report as one JSON object.

    Parameters
    ----------
    seed : int
        Seed of the load and the faults.
    virtual_s : float
        Duration of the run in virtual seconds.
    verbose : bool
        Print the whole event history to standard error.
    """
    report = run_soak(seed=seed, virtual_s=virtual_s)
    if verbose:
        print("\n".join(report.history), file=sys.stderr)
    elif report.violations:
        print(f"seed {seed}: violations and the events before", file=sys.stderr)
        for line in report.trace(_SHOWN_EVENTS):
            print(line, file=sys.stderr)
    print(report.to_json())
    if report.violations:
        sys.exit(EXIT_VIOLATION)


def main() -> None:
    """Run the command."""
    fire.Fire(soak, name="soak")


if __name__ == "__main__":
    main()
