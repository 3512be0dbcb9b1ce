"""Retry budgets, request hedging and containment of crashing requests."""

from pomelolug.retries._budget import RetryBudget
from pomelolug.retries._containment import Containment, RunMode
from pomelolug.retries._hedge import HedgePolicy

__all__ = ["Containment", "HedgePolicy", "RetryBudget", "RunMode"]
