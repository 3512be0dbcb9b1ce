"""How far the fold of a stream can be relied on."""

import enum

__all__ = ["ReaderState"]


class ReaderState(enum.Enum):
    """State of a reader.

    ``STARTING``: not all records known to exist are applied yet.
    ``FOLLOWING``: up to date with the log.
    ``STALE``: complete up to the offset, but the log does not answer.
    ``INCOMPLETE``: records that are needed have expired.
    ``REGRESSED``: the log was replaced or lost records that had been applied.
    """

    STARTING = "starting"
    FOLLOWING = "following"
    STALE = "stale"
    INCOMPLETE = "incomplete"
    REGRESSED = "regressed"
