"""Straight lines through measurements, and how single costs are measured."""

import dataclasses
import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence

import numpy as np

__all__ = ["REPEATS", "Slope", "fit", "kilobytes", "seconds"]

REPEATS = 50


@dataclasses.dataclass(frozen=True, kw_only=True)
class Slope:
    """A fitted line.

    Parameters
    ----------
    name, unit, per : str
        What was measured, its unit, and what the size counts.
    sizes, figures : tuple of float
        The measurements.
    slope, intercept, error : float
        The line and the root mean square error of the fit, in `unit`.
    target, at_target : float
        Planned size and the line's value there.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[float, ...]
    figures: tuple[float, ...]
    slope: float
    intercept: float
    error: float
    target: float
    at_target: float


def fit(
    name: str,
    unit: str,
    per: str,
    sizes: Sequence[float],
    figures: Sequence[float],
    target: float,
) -> Slope:
    """Fit a line by least squares and evaluate it at `target`.

    Examples
    --------
    >>> round(fit("x", "ms", "group", [1, 2, 4], [3, 5, 9], 10).at_target, 6)
    21.0
    """
    slope, intercept = np.polyfit(sizes, figures, 1)
    errors = np.asarray(figures) - (slope * np.asarray(sizes) + intercept)
    return Slope(
        name=name,
        unit=unit,
        per=per,
        sizes=tuple(map(float, sizes)),
        figures=tuple(round(float(figure), 4) for figure in figures),
        slope=float(slope),
        intercept=float(intercept),
        error=float(np.sqrt(np.mean(errors**2))),
        target=target,
        at_target=float(slope * target + intercept),
    )


def seconds(work: Callable[[], object]) -> float:
    """Return the processor time of one call, the least of several rounds."""
    rounds = []
    for _ in range(5):
        started = time.process_time()
        for _ in range(REPEATS):
            work()
        rounds.append((time.process_time() - started) / REPEATS)
    return min(rounds)


def kilobytes(make: Callable[[], object]) -> float:
    """Return the memory that the result of `make` holds, in KiB."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 1024
