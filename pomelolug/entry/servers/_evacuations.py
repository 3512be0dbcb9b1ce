"""Availability zones whose servers get no requests, by order of the operator.

The orders are records of the store, so a reader that has read up to some offset knows
them all up to there. A node therefore keeps the evacuated zones together with that
offset, and takes over what a peer knows if the peer has read further. The order in
which messages arrive plays no part.
"""

import dataclasses
from collections.abc import Callable, Iterable

import structlog

from pomelolug.clock import Clock
from pomelolug.feeds import era_of
from pomelolug.ids import Offset, ZoneId

__all__ = ["EvacuatedZones", "EvacuationChange"]

_log = structlog.get_logger(__name__)

_SHORTEST_WAIT_S = 2.0
"""Shortest time in seconds after which callers return if all zones are evacuated.

Taking a zone back takes the operator longer than that.
"""
_LONGEST_WAIT_S = 30.0
"""Longest such time, so that callers do not stay away long after the zone is back."""
_REWRITE_S = 5.0
"""Time in seconds in which the operator writes again what a restored store has lost."""
_MAX_REPORTED_ZONES = 16
"""Zones that a status lists, limited so that it fits in one packet."""


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationChange:
    """Record at an offset that evacuates a zone or takes it back."""

    offset: Offset
    zone: ZoneId
    is_evacuated: bool


class EvacuatedZones:
    """Evacuated zones, as the records of the store order them up to an offset.

    Parameters
    ----------
    known_zones : iterable of ZoneId
        Zones of the deployment. Other names are kept, with a warning, since the
        settings may be older than a zone.
    clock : Clock
        Source of monotonic time.
    on_change : callable
        Called when a zone is evacuated or taken back.
    """

    def __init__(
        self,
        *,
        known_zones: Iterable[ZoneId],
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self._known_zones = frozenset(known_zones)
        self._clock = clock
        self._on_change = on_change
        self._read_up_to = Offset(-1)
        # Monotonic time at which this node has learned of each evacuation.
        self._since_s: dict[ZoneId, float] = {}
        # Monotonic time until which zones are kept whose records were lost.
        self._kept_until_s: dict[ZoneId, float] = {}
        # Whether any evacuation is known of, so that peers have to know its end.
        self._has_reports = False

    @property
    def zones(self) -> frozenset[ZoneId]:
        """Evacuated zones."""
        return frozenset(self._since_s) | self._kept_zones()

    def contains(self, zone: ZoneId) -> bool:
        """Return whether a zone is evacuated."""
        return zone in self._since_s or (
            self._clock.monotonic() < self._kept_until_s.get(zone, float("-inf"))
        )

    def expected_wait_s(self, zone: ZoneId) -> float:
        """Return the seconds after which a caller should try an evacuated zone again.

        Nobody knows the end of an evacuation. One that has lasted long lasts longer
        still, so the time is as long as it has lasted, within limits.
        """
        now_s = self._clock.monotonic()
        lasted_s = now_s - self._since_s.get(zone, now_s)
        return min(max(lasted_s, _SHORTEST_WAIT_S), _LONGEST_WAIT_S)

    def apply(
        self,
        changes: Iterable[EvacuationChange],
        *,
        read_up_to: Offset,
        is_snapshot: bool,
    ) -> None:
        """Apply the changes of one read of the store, directly or through a relay.

        Parameters
        ----------
        changes : iterable of EvacuationChange
            Changes in the order of their offsets.
        read_up_to : Offset
            Offset at which the next read starts.
        is_snapshot : bool
            Whether the changes are all evacuations in force at that offset, so that
            a zone without one has been taken back.
        """
        if read_up_to < self._read_up_to:
            # Stale: a peer, or an earlier read, knew more.
            return
        zones = set() if is_snapshot else set(self._since_s)
        for change in changes:
            self._has_reports = True
            if not is_snapshot and change.offset < self._read_up_to:
                continue
            if change.is_evacuated:
                zones.add(change.zone)
            else:
                zones.discard(change.zone)
        self._replace(zones, read_up_to, source="store")

    def merge(self, zones: Iterable[str], *, read_up_to: int, source: str) -> None:
        """Take over what a peer knows if it has read further than this node.

        Parameters
        ----------
        zones : iterable of str
            Zones that are evacuated at the offset.
        read_up_to : int
            Offset up to which the peer has read.
        source : str
            Name of the peer.
        """
        # Peers that know of no evacuation report no offset.
        self._has_reports |= read_up_to >= 0
        if read_up_to > self._read_up_to:
            self._replace(set(map(ZoneId, zones)), Offset(read_up_to), source=source)

    def report(self) -> tuple[tuple[str, ...], int]:
        """Return the evacuated zones and the offset up to which they are known.

        Both are empty, with offset -1, until this node has learned of an evacuation.
        """
        if not self._has_reports:
            return (), -1
        ordered = sorted(self._since_s, key=lambda z: (z not in self._known_zones, z))
        return tuple(ordered[:_MAX_REPORTED_ZONES]), int(self._read_up_to)

    def forget_expired(self) -> None:
        """Forget lost evacuations that nobody has written again."""
        kept = self._kept_zones()
        expired = self._kept_until_s.keys() - kept
        for zone in expired:
            del self._kept_until_s[zone]
            _log.info("zone_taken_back", zone=zone, source="restored store")
        if expired:
            self._on_change()

    def _replace(self, zones: set[ZoneId], read_up_to: Offset, *, source: str) -> None:
        now_s = self._clock.monotonic()
        is_restored = era_of(read_up_to) > era_of(self._read_up_to)
        added = zones - self._since_s.keys()
        removed = self._since_s.keys() - zones
        self._read_up_to = read_up_to
        for zone in sorted(added):
            self._since_s[zone] = now_s
            # An order written again after a restoration changes nothing.
            if self._kept_until_s.pop(zone, None) is None:
                self._log_evacuation(zone, source)
        for zone in sorted(removed):
            del self._since_s[zone]
            if is_restored:
                # The store may have lost the record. Its writer writes it again.
                self._kept_until_s[zone] = now_s + _REWRITE_S
                _log.warning("evacuation_record_lost", zone=zone, source=source)
            else:
                _log.info("zone_taken_back", zone=zone, source=source)
        if added or removed:
            self._on_change()

    def _log_evacuation(self, zone: ZoneId, source: str) -> None:
        is_known = not self._known_zones or zone in self._known_zones
        log = _log.info if is_known else _log.warning
        log("zone_evacuated", zone=zone, source=source, is_known=is_known)

    def _kept_zones(self) -> frozenset[ZoneId]:
        now_s = self._clock.monotonic()
        return frozenset(
            z for z, until_s in self._kept_until_s.items() if now_s < until_s
        )
