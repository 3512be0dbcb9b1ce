"""Soak test of real entry processes under externally injected faults."""

from pomelolug.experiments.process_soak._processes import SoakProcess
from pomelolug.experiments.process_soak._report import ProcessSoakReport
from pomelolug.experiments.process_soak._run import run_process_soak

__all__ = ["ProcessSoakReport", "SoakProcess", "run_process_soak"]
