"""Index of the prompt prefixes that each group holds in its cache."""

import collections
from collections.abc import Iterable, Sequence

from pomelolug.engines import CacheEvent, CacheEventPage
from pomelolug.ids import FencingToken, GroupId

__all__ = ["PrefixIndex"]

_MOST_EARLY = 64
_MOST_RECENT = 1024


class GroupBlocks:
    """Blocks in the cache of one formation of a group.

    `position` is the sequence number up to which all events are applied.
    `floor` is the sequence number from which on they are complete: a block that
    was stored before may have been removed by an event that was lost.
    """

    __slots__ = ("_early", "_limit", "_recent", "_stored", "floor", "position", "token")

    def __init__(self, token: FencingToken, *, limit: int) -> None:
        self.token = token
        self.position = 0
        self.floor = 0
        self._limit = limit
        self._stored: dict[str, int] = {}
        self._early: dict[int, CacheEvent] = {}
        self._recent: collections.deque[CacheEvent] = collections.deque(
            maxlen=_MOST_RECENT
        )

    def __len__(self) -> int:
        return len(self._stored)

    def add(self, event: CacheEvent) -> None:
        """Take one event; an early one is kept until those before it arrive."""
        if event.sequence <= self.position:
            return
        self._early[event.sequence] = event
        self._apply_next()
        if len(self._early) > _MOST_EARLY:
            self.skip_to(min(self._early))

    def skip_to(self, sequence: int) -> None:
        """Give up on the events before `sequence`; what they said is unknown."""
        if sequence <= self.position + 1:
            return
        self.position = sequence - 1
        self.floor = sequence
        self._recent.clear()
        self._drop_applied()
        self._apply_next()

    def replace(self, watermark: int, blocks: Iterable[str]) -> bool:
        """Take a snapshot that covers all events up to `watermark`.

        The events that were applied after it are applied again on top. A
        snapshot is refused if one of them is lost or no longer kept.
        """
        later = [event for event in self._recent if event.sequence > watermark]
        if self.position - watermark > len(later):
            return False
        self._stored = dict.fromkeys(blocks, watermark)
        self._bound()
        self.floor = 0
        for event in later:
            self._apply(event)
        self.position = max(self.position, watermark)
        self._drop_applied()
        self._apply_next()
        return True

    def matched(self, prefix: Sequence[str]) -> int:
        """Return how many leading blocks of `prefix` are certainly stored."""
        stored = self._stored
        floor = self.floor
        count = 0
        for block in prefix:
            if stored.get(block, -1) < floor:
                break
            count += 1
        return count

    def _drop_applied(self) -> None:
        self._early = {
            sequence: event
            for sequence, event in self._early.items()
            if sequence > self.position
        }

    def _apply_next(self) -> None:
        while (event := self._early.pop(self.position + 1, None)) is not None:
            self.position = event.sequence
            self._recent.append(event)
            self._apply(event)

    def _apply(self, event: CacheEvent) -> None:
        if event.action == "stored":
            for block in event.blocks:
                # Moving a block to the end makes the oldest one go first.
                self._stored.pop(block, None)
                self._stored[block] = event.sequence
            self._bound()
        elif event.action == "removed":
            for block in event.blocks:
                self._stored.pop(block, None)
        else:
            # ``cleared`` and any unknown action leave nothing certain.
            self._stored.clear()

    def _bound(self) -> None:
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
    >>> from pomelolug.engines import CacheEvent, CacheEventPage
    >>> index = PrefixIndex()
    >>> event = CacheEvent(sequence=1, action="stored", blocks=("a", "b"))
    >>> index.apply("g", 7, CacheEventPage(oldest=1, events=(event,)))
    >>> index.matched("g", 7, ("a", "b", "c"))
    2
    """

    def __init__(self, *, blocks_per_group: int = 4096) -> None:
        self._limit = blocks_per_group
        self._groups: dict[GroupId, GroupBlocks] = {}

    def apply(self, group: GroupId, token: FencingToken, page: CacheEventPage) -> None:
        """Take a page of events of a group.

        Events that the group no longer keeps are a gap. A higher token is a new
        formation, whose cache starts empty.
        """
        blocks = self._blocks(group, token)
        if blocks is None:
            return
        blocks.skip_to(page.oldest)
        for event in sorted(page.events, key=lambda event: event.sequence):
            blocks.add(event)

    def on_snapshot(
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
        known = self._blocks(group, token)
        return known is not None and known.replace(watermark, blocks)

    def has_gap(self, group: GroupId, token: FencingToken) -> bool:
        """Return whether lost events make a part of the index unknown."""
        blocks = self._groups.get(group)
        return blocks is not None and blocks.token == token and blocks.floor > 0

    def position(self, group: GroupId, token: FencingToken) -> int:
        """Return the sequence number after which to ask for events."""
        blocks = self._groups.get(group)
        return 0 if blocks is None or blocks.token != token else blocks.position

    def matched(
        self, group: GroupId, token: FencingToken, prefix: Sequence[str]
    ) -> int:
        """Return how many leading blocks of `prefix` the group holds."""
        blocks = self._groups.get(group)
        if blocks is None or blocks.token != token:
            return 0
        return blocks.matched(prefix)

    def keep_only(self, groups: Iterable[GroupId]) -> None:
        """Forget all groups but `groups`."""
        kept = set(groups)
        self._groups = {
            group: blocks for group, blocks in self._groups.items() if group in kept
        }

    def _blocks(self, group: GroupId, token: FencingToken) -> GroupBlocks | None:
        """Return the blocks of a formation, None if `token` is an old one."""
        blocks = self._groups.get(group)
        if blocks is None or token > blocks.token:
            blocks = self._groups[group] = GroupBlocks(token, limit=self._limit)
        return blocks if blocks.token == token else None
