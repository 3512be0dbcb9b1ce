"""Fixtures of all tests."""

from collections.abc import Iterator

import pytest
import structlog


@pytest.fixture(autouse=True)
def default_logging() -> Iterator[None]:
    """Undo logging set-ups, so that a test's verdict does not rest on order."""
    structlog.reset_defaults()
    yield
    structlog.reset_defaults()
