"""Shares of client accounts in slots."""

from pomelolug.fairness._accounts import AccountShares

__all__ = ["AccountShares"]
