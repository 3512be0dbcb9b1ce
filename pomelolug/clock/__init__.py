"""Abstract time source, which lets tests run on virtual time."""

from pomelolug.clock._base import Clock
from pomelolug.clock._system import SystemClock

__all__ = ["Clock", "SystemClock"]
