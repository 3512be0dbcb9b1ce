"""Randomised soak test of complete nodes on virtual time, with a checker."""

from pomelolug.experiments.soak._report import SoakReport
from pomelolug.experiments.soak._run import run_soak

__all__ = ["SoakReport", "run_soak"]
