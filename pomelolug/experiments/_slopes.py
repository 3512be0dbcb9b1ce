"""Least-squares lines through cost measurements, and the measurements."""

import dataclasses
import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence

import numpy as np

__all__ = [
    "CALLS_PER_ROUND",
    "LinearFit",
    "fit_line",
    "measure_cpu_s",
    "measure_memory_kib",
]

CALLS_PER_ROUND = 50


@dataclasses.dataclass(frozen=True, kw_only=True)
class LinearFit:
    """A line fitted to measurements at several sizes.

    Parameters
    ----------
    name, unit, per : str
        What was measured, its unit, and what the sizes count.
    sizes, figures : tuple of float
        Sizes and measured values.
    slope, intercept, error : float
        Coefficients of the line and root mean square error of the fit, in `unit`.
    target, at_target : float
        Planned size and the value of the line at that size.
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


def fit_line(
    name: str,
    unit: str,
    per: str,
    sizes: Sequence[float],
    figures: Sequence[float],
    target: float,
) -> LinearFit:
    """Fit a line by least squares and evaluate it at `target`.

    Examples
    --------
    >>> round(fit_line("x", "ms", "group", [1, 2, 4], [3, 5, 9], 10).at_target, 6)
    21.0
    """
    slope, intercept = np.polyfit(sizes, figures, 1)
    residuals = np.asarray(figures) - (slope * np.asarray(sizes) + intercept)
    return LinearFit(
        name=name,
        unit=unit,
        per=per,
        sizes=tuple(map(float, sizes)),
        figures=tuple(round(float(figure), 4) for figure in figures),
        slope=float(slope),
        intercept=float(intercept),
        error=float(np.sqrt(np.mean(residuals**2))),
        target=target,
        at_target=float(slope * target + intercept),
    )


def measure_cpu_s(function: Callable[[], object]) -> float:
    """Return the processor time of one call, the minimum of several rounds."""
    round_times_s = []
    for _ in range(5):
        started_s = time.process_time()
        for _ in range(CALLS_PER_ROUND):
            function()
        round_times_s.append((time.process_time() - started_s) / CALLS_PER_ROUND)
    return min(round_times_s)


def measure_memory_kib(factory: Callable[[], object]) -> float:
    """Return the memory that the result of `factory` occupies, in KiB."""
    gc.collect()
    tracemalloc.start()
    result = factory()
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return size_bytes / 1024
