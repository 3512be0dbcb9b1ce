"""Index of the prompt prefixes in the prefix cache of each group."""

import collections
from collections.abc import Iterable, Sequence

from pomelolug.engines import CacheEvent, CacheEventPage
from pomelolug.ids import FencingToken, GroupId

__all__ = ["PrefixIndex"]

# Numbers of cache events kept for each group.
_MAX_OUT_OF_ORDER = 64
_MAX_RECENT = 1024


class CachedBlocks:
    """Blocks in the prefix cache of one formation of a group.

    `position` is the sequence number up to which all events have been applied or
    skipped. `complete_from` is the sequence number from which on no event was lost:
    a block stored before it may have been removed by a lost event.
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
        """Apply an event, or buffer it until all events before it have arrived."""
        if event.sequence <= self.position:
            return
        self._out_of_order[event.sequence] = event
        self._apply_in_order()
        if len(self._out_of_order) > _MAX_OUT_OF_ORDER:
            self.skip_to(min(self._out_of_order))

    def skip_to(self, sequence: int) -> None:
        """Skip the missing events before `sequence` and treat them as lost."""
        if sequence <= self.position + 1:
            return
        self.position = sequence - 1
        self.complete_from = sequence
        self._recent.clear()
        self._drop_applied()
        self._apply_in_order()

    def apply_snapshot(self, watermark: int, blocks: Iterable[str]) -> bool:
        """Replace the blocks by a snapshot of all events up to `watermark`.

        Events after `watermark` that have already been applied are applied again to
        the snapshot. Returns False, and changes nothing, if one of them is lost or
        no longer kept.
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
        """Return how many leading blocks of `prefix` are known to be stored."""
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
                # Reinserting a block keeps the dictionary in the order of storage,
                # which `_evict_oldest` relies on.
                self._stored.pop(block, None)
                self._stored[block] = event.sequence
            self._evict_oldest()
        elif event.action == "removed":
            for block in event.blocks:
                self._stored.pop(block, None)
        else:
            # After ``cleared`` or an unknown action, no block is known to be stored.
            self._stored.clear()

    def _evict_oldest(self) -> None:
        while len(self._stored) > self._limit:
            del self._stored[next(iter(self._stored))]


class PrefixIndex:
    """Estimates how much of a prompt is in the prefix cache of each group.

    The hash of a block covers all blocks before it, so the cached prefix of a prompt
    is the longest run of its leading hashes that the group has stored. The result
    is an estimate; blocks whose state is unknown because events were lost count as
    not stored.

    Parameters
    ----------
    blocks_per_group : int
        Maximum number of blocks kept for a group; the ones stored longest ago are
        evicted first.

    Examples
    --------
    >>> from pomelolug.engines import CacheEvent, CacheEventPage
    >>> index = PrefixIndex()
    >>> event = CacheEvent(sequence=1, action="stored", blocks=("a", "b"))
    >>> index.apply("g", 7, CacheEventPage(oldest=1, events=(event,)))
    >>> index.match_length("g", 7, ("a", "b", "c"))
    2
    """

    def __init__(self, *, blocks_per_group: int = 4096) -> None:
        self._limit = blocks_per_group
        self._groups: dict[GroupId, CachedBlocks] = {}

    def apply(self, group: GroupId, token: FencingToken, page: CacheEventPage) -> None:
        """Apply a page of cache events of a group.

        Events before the oldest one that the group still keeps are treated as lost.
        A higher token denotes a new formation, whose cache starts empty.
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
        """Replace the blocks of a group by a snapshot taken at `watermark`.

        Returns
        -------
        bool
            False if the snapshot belongs to an older formation or is too old to
            apply the events after it; a newer one is then needed.
        """
        cached = self._cached_blocks(group, token)
        return cached is not None and cached.apply_snapshot(watermark, blocks)

    def has_gap(self, group: GroupId, token: FencingToken) -> bool:
        """Return whether events of a group were lost since its last snapshot."""
        cached = self._groups.get(group)
        return cached is not None and cached.token == token and cached.complete_from > 0

    def position(self, group: GroupId, token: FencingToken) -> int:
        """Return the sequence number after which events have to be fetched."""
        cached = self._groups.get(group)
        return 0 if cached is None or cached.token != token else cached.position

    def match_length(
        self, group: GroupId, token: FencingToken, prefix: Sequence[str]
    ) -> int:
        """Return how many leading blocks of `prefix` the group has stored."""
        cached = self._groups.get(group)
        if cached is None or cached.token != token:
            return 0
        return cached.match_length(prefix)

    def keep_only(self, groups: Iterable[GroupId]) -> None:
        """Remove all groups except `groups`."""
        kept = set(groups)
        self._groups = {
            group: cached for group, cached in self._groups.items() if group in kept
        }

    def _cached_blocks(
        self, group: GroupId, token: FencingToken
    ) -> CachedBlocks | None:
        """Return the blocks of a formation, or None if `token` is outdated."""
        cached = self._groups.get(group)
        if cached is None or token > cached.token:
            cached = self._groups[group] = CachedBlocks(token, limit=self._limit)
        return cached if cached.token == token else None
