"""Completeness and currency of the fold of a stream."""

import enum

__all__ = ["ReaderState"]


class ReaderState(enum.Enum):
    """State of a reader.

    ``STARTING``: not all records known to exist have been applied yet.
    ``FOLLOWING``: up to date with the log.
    ``STALE``: complete up to the offset, but the log does not respond.
    ``INCOMPLETE``: required records have expired or are missing from the log.
    ``REGRESSED``: the log was replaced or has lost applied records.
    """

    STARTING = "starting"
    FOLLOWING = "following"
    STALE = "stale"
    INCOMPLETE = "incomplete"
    REGRESSED = "regressed"
