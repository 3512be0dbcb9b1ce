"""Index of the prompt prefixes that each group holds in its cache."""

import collections
from collections.abc import Iterable, Sequence

from pomelolug.engines import CacheEvent, CachePage
from pomelolug.ids import FencingToken, GroupId

__all__ = ["PrefixIndex"]

_MAX_OUT_OF_ORDER = 64
_MAX_RECENT = 1024


class CachedBlocks:
    """Blocks in the cache of one formation of a group.

    `position` is the sequence number up to which all events are applied.
    `complete_from` is the sequence number from which on they are complete: a block that
    was stored before may have been removed by an event that was lost.
    """

    __slots__ = (
        "_out_of_order",
        "_limit",
        "_recent",
        "_stored",
        "complete_from",
        "position",
        "token",
    )

    def __init__(self, token: FencingToken, *, limit: int) -> None:
        self.token = token
        self.position = 0
        self.complete_from = 0
        self._limit = limit
        self._stored: dict[str, int] = {}
        self._out_of_order: dict[int, CacheEvent] = {}
        self._recent: collections.deque[CacheEvent] = collections.deque(
            maxlen=_MAX_RECENT
        )

    def __len__(self) -> int:
        return len(self._stored)

    def add(self, event: CacheEvent) -> None:
        """Take one event; an early one is kept until those before it arrive."""
        if event.sequence <= self.position:
            return
        self._out_of_order[event.sequence] = event
        self._apply_in_order()
        if len(self._out_of_order) > _MAX_OUT_OF_ORDER:
            self.skip_to(min(self._out_of_order))

    def skip_to(self, sequence: int) -> None:
        """Give up on the events before `sequence`; what they said is unknown."""
        if sequence <= self.position + 1:
            return
        self.position = sequence - 1
        self.complete_from = sequence
        self._recent.clear()
        self._drop_applied()
        self._apply_in_order()

    def apply_snapshot(self, watermark: int, blocks: Iterable[str]) -> bool:
        """Take a snapshot that covers all events up to `watermark`.

        The events that were applied after it are applied again on top. A
        snapshot is refused if one of them is lost or no longer kept.
        """
        later = [event for event in self._recent if event.sequence > watermark]
        if self.position - watermark > len(later):
            return False
        self._stored = dict.fromkeys(blocks, watermark)
        self._evict_oldest()
        self.complete_from = 0
        for event in later:
            self._apply(event)
        self.position = max(self.position, watermark)
        self._drop_applied()
        self._apply_in_order()
        return True

    def match_length(self, prefix: Sequence[str]) -> int:
        """Return how many leading blocks of `prefix` are certainly stored."""
        stored = self._stored
        complete_from = self.complete_from
        count = 0
        for block in prefix:
            if stored.get(block, -1) < complete_from:
                break
            count += 1
        return count

    def _drop_applied(self) -> None:
        self._out_of_order = {
            sequence: event
            for sequence, event in self._out_of_order.items()
            if sequence > self.position
        }

    def _apply_in_order(self) -> None:
        while (event := self._out_of_order.pop(self.position + 1, None)) is not None:
            self.position = event.sequence
            self._recent.append(event)
            self._apply(event)

    def _apply(self, event: CacheEvent) -> None:
        if event.action == "stored":
            for block in event.blocks:
                # Moving a block to the end makes the oldest one go first.
                self._stored.pop(block, None)
                self._stored[block] = event.sequence
            self._evict_oldest()
        elif event.action == "removed":
            for block in event.blocks:
                self._stored.pop(block, None)
        else:
            # ``cleared`` and any unknown action leave nothing certain.
            self._stored.clear()

    def _evict_oldest(self) -> None:
        while len(self._stored) > self._limit:
            del self._stored[next(iter(self._stored))]


class PrefixIndex:
    """Estimates how much of a prompt each group has in its prefix cache.

    The hash of a block covers all blocks before it, so a prompt's cached part is
    the longest run of its leading hashes that the group holds. An estimate is
    never certain, but it is zero where lost events make it unknown.

    Parameters
    ----------
    blocks_per_group : int
        Blocks kept for a group; the ones stored longest ago go first.

    Examples
    --------
    >>> from pomelolug.engines import CacheEvent, CachePage
    >>> index = PrefixIndex()
    >>> event = CacheEvent(sequence=1, action="stored", blocks=("a", "b"))
    >>> index.apply("g", 7, CachePage(oldest=1, events=(event,)))
    >>> index.match_length("g", 7, ("a", "b", "c"))
    2
    """

    def __init__(self, *, blocks_per_group: int = 4096) -> None:
        self._limit = blocks_per_group
        self._groups: dict[GroupId, CachedBlocks] = {}

    def apply(self, group: GroupId, token: FencingToken, page: CachePage) -> None:
        """Take a page of events of a group.

        Events that the group no longer keeps are a gap. A higher token is a new
        formation, whose cache starts empty.
        """
        cached = self._cached_blocks(group, token)
        if cached is None:
            return
        cached.skip_to(page.oldest)
        for event in sorted(page.events, key=lambda event: event.sequence):
            cached.add(event)

    def apply_snapshot(
        self,
        group: GroupId,
        token: FencingToken,
        *,
        watermark: int,
        blocks: Iterable[str],
    ) -> bool:
        """Replace what is known up to the sequence number `watermark`.

        Returns
        -------
        bool
            False if the snapshot is too old to be continued; another is needed.
        """
        cached = self._cached_blocks(group, token)
        return cached is not None and cached.apply_snapshot(watermark, blocks)

    def has_gap(self, group: GroupId, token: FencingToken) -> bool:
        """Return whether lost events make a part of the index unknown."""
        cached = self._groups.get(group)
        return cached is not None and cached.token == token and cached.complete_from > 0

    def position(self, group: GroupId, token: FencingToken) -> int:
        """Return the sequence number after which to ask for events."""
        cached = self._groups.get(group)
        return 0 if cached is None or cached.token != token else cached.position

    def match_length(
        self, group: GroupId, token: FencingToken, prefix: Sequence[str]
    ) -> int:
        """Return how many leading blocks of `prefix` the group holds."""
        cached = self._groups.get(group)
        if cached is None or cached.token != token:
            return 0
        return cached.match_length(prefix)

    def keep_only(self, groups: Iterable[GroupId]) -> None:
        """Forget all groups but `groups`."""
        kept = set(groups)
        self._groups = {
            group: cached for group, cached in self._groups.items() if group in kept
        }

    def _cached_blocks(
        self, group: GroupId, token: FencingToken
    ) -> CachedBlocks | None:
        """Return the blocks of a formation, None if `token` is an old one."""
        cached = self._groups.get(group)
        if cached is None or token > cached.token:
            cached = self._groups[group] = CachedBlocks(token, limit=self._limit)
        return cached if cached.token == token else None
