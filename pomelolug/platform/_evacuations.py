"""Decoding of the operator's orders to evacuate availability zones."""

from pomelolug.ids import ZoneId
from pomelolug.platform._wire_names import KEY_EVACUATION_PREFIX

__all__ = ["decode_evacuated_zone"]


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
