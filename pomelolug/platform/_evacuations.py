"""Decoding of the operator's orders to evacuate availability zones."""

from pomelolug.ids import ZoneId
from pomelolug.platform._wire_names import KEY_EVACUATION_PREFIX

__all__ = ["decode_evacuated_zone", "evacuation_key"]


def decode_evacuated_zone(key: str) -> ZoneId | None:
    """Return the zone that a record of the operator evacuates, None for other records.

    The key alone counts: the order holds while the record exists, whatever its value.

    Examples
    --------
    >>> decode_evacuated_zone("evacuate/zone-a")
    'zone-a'
    """
    if not key.startswith(KEY_EVACUATION_PREFIX):
        return None
    return ZoneId(key.removeprefix(KEY_EVACUATION_PREFIX)) or None


def evacuation_key(zone: ZoneId) -> str:
    """Return the key of the record that evacuates a zone."""
    return KEY_EVACUATION_PREFIX + zone
