"""Guards against savings that the group's cache no longer holds."""

import pytest

from pomelolug.engines import CacheEvent, CacheEventPage
from pomelolug.routing import PrefixIndex


def stored(sequence, *blocks):
    return CacheEvent(sequence=sequence, action="stored", blocks=blocks)


def removed(sequence, *blocks):
    return CacheEvent(sequence=sequence, action="removed", blocks=blocks)


def index_with(*events, oldest=1, **options):
    index = PrefixIndex(**options)
    index.apply("g", 1, CacheEventPage(oldest=oldest, events=events))
    return index


def test_removal_that_overtakes_its_storage_is_not_lost():
    index = index_with(removed(2, "a"), stored(1, "a"))
    assert index.matched("g", 1, ("a",)) == 0


def test_removal_after_a_missing_event_waits_for_it():
    index = index_with(stored(1, "a"), removed(3, "b"))
    assert index.position("g", 1) == 1
    index.apply("g", 1, CacheEventPage(oldest=1, events=(stored(2, "b"),)))
    assert index.matched("g", 1, ("a", "b")) == 1


def test_gap_leaves_earlier_blocks_unknown_and_later_ones_known():
    index = index_with(stored(1, "a"))
    index.apply("g", 1, CacheEventPage(oldest=5, events=(stored(5, "b"),)))
    assert index.has_gap("g", 1)
    assert index.matched("g", 1, ("a",)) == 0
    assert index.matched("g", 1, ("b",)) == 1


def test_snapshot_does_not_bring_back_what_was_removed_after_it():
    index = index_with(stored(5, "b"), removed(6, "x"), oldest=5)
    assert index.on_snapshot("g", 1, watermark=5, blocks=("x", "a", "b"))
    assert index.matched("g", 1, ("a", "b")) == 2
    assert index.matched("g", 1, ("x",)) == 0


def test_snapshot_from_before_a_gap_is_refused():
    index = index_with(stored(1, "a"))
    index.apply("g", 1, CacheEventPage(oldest=9, events=(stored(9, "b"),)))
    assert not index.on_snapshot("g", 1, watermark=3, blocks=("a",))
    assert index.matched("g", 1, ("a",)) == 0


def test_new_formation_starts_with_an_empty_cache():
    index = index_with(stored(1, "a"))
    index.apply("g", 2, CacheEventPage(oldest=1, events=()))
    assert index.matched("g", 2, ("a",)) == 0
    index.apply("g", 1, CacheEventPage(oldest=1, events=(stored(2, "b"),)))
    assert index.matched("g", 1, ("b",)) == 0


@pytest.mark.parametrize("early", [False, True])
def test_index_is_bounded(early):
    # Every second event is missing if `early`, so events are held back.
    numbers = range(1, 2000, 2 if early else 1)
    events = tuple(stored(number, f"b{number}") for number in numbers)
    index = index_with(*events, blocks_per_group=10)
    blocks = index._groups["g"]
    assert len(blocks) <= 10
    assert len(blocks._early) <= 64
