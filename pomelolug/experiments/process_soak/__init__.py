"""Soak of the real entry processes under faults injected from outside."""

from pomelolug.experiments.process_soak._report import ProcessSoakReport
from pomelolug.experiments.process_soak._run import run_process_soak

__all__ = ["ProcessSoakReport", "run_process_soak"]
