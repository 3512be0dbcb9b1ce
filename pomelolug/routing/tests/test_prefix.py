"""Tests that blocks which a group may no longer cache do not count as stored."""

import pytest

from pomelolug.engines import CacheEvent, CacheEventPage
from pomelolug.routing import PrefixIndex


def stored_event(sequence, *blocks):
    return CacheEvent(sequence=sequence, action="stored", blocks=blocks)


def removed_event(sequence, *blocks):
    return CacheEvent(sequence=sequence, action="removed", blocks=blocks)


def index_with(*events, oldest=1, **options):
    index = PrefixIndex(**options)
    index.apply("g", 1, CacheEventPage(oldest=oldest, events=events))
    return index


def test_removal_that_arrives_before_its_storage_is_applied():
    index = index_with(removed_event(2, "a"), stored_event(1, "a"))
    assert index.match_length("g", 1, ("a",)) == 0


def test_event_after_a_missing_one_is_buffered():
    index = index_with(stored_event(1, "a"), removed_event(3, "b"))
    assert index.position("g", 1) == 1
    index.apply("g", 1, CacheEventPage(oldest=1, events=(stored_event(2, "b"),)))
    assert index.match_length("g", 1, ("a", "b")) == 1


def test_gap_invalidates_only_the_blocks_stored_before_it():
    index = index_with(stored_event(1, "a"))
    index.apply("g", 1, CacheEventPage(oldest=5, events=(stored_event(5, "b"),)))
    assert index.has_gap("g", 1)
    assert index.match_length("g", 1, ("a",)) == 0
    assert index.match_length("g", 1, ("b",)) == 1


def test_snapshot_does_not_restore_blocks_removed_after_it():
    index = index_with(stored_event(5, "b"), removed_event(6, "x"), oldest=5)
    assert index.apply_snapshot("g", 1, watermark=5, blocks=("x", "a", "b"))
    assert index.match_length("g", 1, ("a", "b")) == 2
    assert index.match_length("g", 1, ("x",)) == 0


def test_snapshot_taken_before_a_gap_is_refused():
    index = index_with(stored_event(1, "a"))
    index.apply("g", 1, CacheEventPage(oldest=9, events=(stored_event(9, "b"),)))
    assert not index.apply_snapshot("g", 1, watermark=3, blocks=("a",))
    assert index.match_length("g", 1, ("a",)) == 0


def test_new_formation_starts_with_an_empty_cache():
    index = index_with(stored_event(1, "a"))
    index.apply("g", 2, CacheEventPage(oldest=1, events=()))
    assert index.match_length("g", 2, ("a",)) == 0
    index.apply("g", 1, CacheEventPage(oldest=1, events=(stored_event(2, "b"),)))
    assert index.match_length("g", 1, ("b",)) == 0


@pytest.mark.parametrize("out_of_order", [False, True])
def test_index_is_bounded(out_of_order):
    # If `out_of_order`, every second event is missing, so the others are buffered.
    numbers = range(1, 2000, 2 if out_of_order else 1)
    events = tuple(stored_event(number, f"b{number}") for number in numbers)
    index = index_with(*events, blocks_per_group=10)
    cached = index._groups["g"]
    assert len(cached) <= 10
    assert len(cached._out_of_order) <= 64
