"""
Which fronts a caller should use.
"""

from collections.abc import Mapping, Sequence

from mallowcrank.gateway.peers import GatewayStatus
from mallowcrank.gateway.settings import Address

LEAST = 2  # fronts that a caller is told, if there are as many
MOST = 64  # fronts that a caller takes in
KEEP_S = 0.5  # that an answer is kept; some callers keep it thrice as long


def fronts_for(
    zone: str, regions: Mapping[str, str], words: Sequence[GatewayStatus]
) -> list[Address]:
    """
    Return the fronts for a caller: those of its zone, or of all zones.

    :param words: the gateways that take callers.
    """
    near = [word.front for word in words if word.zone == zone]
    if len(near) >= LEAST:
        return near[:MOST]
    region = regions.get(zone)
    regional = [
        word.front for word in words if regions.get(word.zone) == region
    ]
    if len(regional) >= LEAST:
        return regional[:MOST]
    return [word.front for word in words][:MOST]
