"""Recovery of the prefix index after lost cache events.

Run with ``python -m pomelolug.experiments.prefix_index``. One group with a
least-recently-used cache stores and removes blocks of prompts that share prefixes.
Its events reach the production index in one page per second; some pages are lost,
and the group retains only its latest events.
"""

import collections
import concurrent.futures
import dataclasses
import random

import fire

from pomelolug.engines import CacheEvent, CacheEventPage
from pomelolug.ids import FencingToken, GroupId
from pomelolug.routing import PrefixIndex

__all__ = ["Accuracy", "main", "run"]

RECOVERY_MODES = ("snapshot", "replay", "ignore")
_GROUP = GroupId("g")
_TOKEN = FencingToken(1)
_CACHE_BLOCKS = 2048
_RETAINED_EVENTS = 256
_PROMPTS_PER_S = 32
_SNAPSHOT_DELAY_S = 2
_WORKERS = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accuracy:
    """Accuracy of the predicted cache hits, as shares of all prompt blocks.

    Attributes
    ----------
    false_share : float
        Blocks that were predicted but not cached.
    missed_share : float
        Blocks that were cached but not predicted.
    hashes_per_s : float
        Mean number of block hashes sent per second.
    """

    false_share: float
    missed_share: float
    hashes_per_s: float


class PrefixCache:
    """Prefix cache of a group and the events that the group retains."""

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._sequence = 0
        self.events: collections.deque[CacheEvent] = collections.deque(
            maxlen=_RETAINED_EVENTS
        )

    @property
    def sequence(self) -> int:
        """Sequence number of the last event."""
        return self._sequence

    def blocks(self) -> tuple[str, ...]:
        """Return all cached blocks, the least recently used one first."""
        return tuple(self._blocks)

    def match_length(self, prompt: tuple[str, ...]) -> int:
        """Return how many leading blocks of a prompt are cached."""
        count = 0
        for block in prompt:
            if block not in self._blocks:
                break
            count += 1
        return count

    def process_prompt(self, prompt: tuple[str, ...]) -> None:
        """Cache the blocks of a prompt and evict the least recently used ones."""
        new = tuple(block for block in prompt if block not in self._blocks)
        for block in reversed(prompt):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        if new:
            self._emit("stored", new)
        removed = []
        while len(self._blocks) > _CACHE_BLOCKS:
            removed.append(self._blocks.popitem(last=False)[0])
        if removed:
            self._emit("removed", tuple(removed))

    def events_after(self, after: int) -> CacheEventPage:
        """Return the retained events after a sequence number."""
        oldest = self.events[0].sequence if self.events else self._sequence + 1
        events = tuple(event for event in self.events if event.sequence > after)
        return CacheEventPage(oldest=oldest, events=events)

    def _emit(self, action: str, blocks: tuple[str, ...]) -> None:
        self._sequence += 1
        event = CacheEvent(sequence=self._sequence, action=action, blocks=blocks)
        self.events.append(event)


def _make_prompt(random_state: random.Random, number: int) -> tuple[str, ...]:
    """Return a prompt of a shared prefix, a conversation and new blocks."""
    shared = int(random_state.paretovariate(0.8)) % 200
    turns = int(random_state.paretovariate(0.8)) % 20
    shared_prefix = tuple(f"s{shared}.{i}" for i in range(8))
    conversation = tuple(f"s{shared}.t{turns}.{i}" for i in range(8))
    return shared_prefix + conversation + tuple(f"n{number}.{i}" for i in range(4))


def run(recovery: str, loss: float, outage_s: int, seed: int) -> Accuracy:
    """Simulate ten minutes of prompts.

    Parameters
    ----------
    recovery : str
        One of `RECOVERY_MODES`: request the missing events again, and a snapshot if
        they are no longer retained; request the events only; or apply the events
        that arrive and ignore gaps.
    loss : float
        Probability that a page is lost.
    outage_s : int
        Seconds of each minute in which no page arrives.
    seed : int
        Seed of the prompts and losses.
    """
    rng = random.Random(seed)
    cache = PrefixCache()
    index = PrefixIndex()
    number = false_blocks = missed_blocks = total = sent_hashes = after = 0
    snapshots: list[tuple[int, int, tuple[str, ...]]] = []
    for second in range(600):
        for _ in range(_PROMPTS_PER_S):
            number += 1
            prompt = _make_prompt(rng, number)
            cached = cache.match_length(prompt)
            predicted = index.match_length(_GROUP, _TOKEN, prompt)
            false_blocks += max(predicted - cached, 0)
            missed_blocks += max(cached - predicted, 0)
            total += len(prompt)
            cache.process_prompt(prompt)
        if rng.random() < loss or second % 60 < outage_s:
            # Without recovery the group sends each event only once.
            after = cache.sequence if recovery == "ignore" else after
            continue
        page = cache.events_after(after)
        sent_hashes += sum(len(event.blocks) for event in page.events)
        if recovery == "ignore":
            page = _renumber(page, index.position(_GROUP, _TOKEN))
        elif recovery == "snapshot" and page.oldest > after + 1 and not snapshots:
            snapshots.append((second, cache.sequence, cache.blocks()))
            sent_hashes += len(cache.blocks())
        index.apply(_GROUP, _TOKEN, page)
        after = cache.sequence
        if snapshots and second >= snapshots[0][0] + _SNAPSHOT_DELAY_S:
            _, watermark, blocks = snapshots.pop(0)
            index.apply_snapshot(_GROUP, _TOKEN, watermark=watermark, blocks=blocks)
    return Accuracy(
        false_share=false_blocks / total,
        missed_share=missed_blocks / total,
        hashes_per_s=sent_hashes / 600,
    )


def _renumber(page: CacheEventPage, position: int) -> CacheEventPage:
    """Return the page with its events renumbered as if none had been lost."""
    events = tuple(
        CacheEvent(
            sequence=position + 1 + offset, action=event.action, blocks=event.blocks
        )
        for offset, event in enumerate(page.events)
    )
    return CacheEventPage(oldest=position + 1, events=events)


def main(*, seeds: int = 5) -> None:
    """Print the accuracy of each recovery mode, the worst seed in brackets."""
    print("recovery loss outage_s false(max) missed(max) hashes/s")
    for loss, outage_s in ((0.0, 0), (0.01, 0), (0.1, 0), (0.01, 10)):
        for recovery in RECOVERY_MODES:
            cases = [(recovery, loss, outage_s, seed) for seed in range(seeds)]
            with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
                runs = list(pool.map(run, *zip(*cases, strict=True)))
            false_shares = [result.false_share for result in runs]
            missed_shares = [result.missed_share for result in runs]
            print(
                f"{recovery} {loss} {outage_s}",
                f"{sum(false_shares) / seeds:.4f} ({max(false_shares):.4f})",
                f"{sum(missed_shares) / seeds:.4f} ({max(missed_shares):.4f})",
                f"{sum(result.hashes_per_s for result in runs) / seeds:.0f}",
            )


if __name__ == "__main__":
    fire.Fire(main)
