"""Demonstrations and measurements."""
