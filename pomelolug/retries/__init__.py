"""Retry budgets, hedging and containment of harmful requests."""

from pomelolug.retries._budget import RetryBudget
from pomelolug.retries._containment import Containment, RunMode
from pomelolug.retries._hedge import HedgePolicy

__all__ = ["Containment", "HedgePolicy", "RetryBudget", "RunMode"]
