"""
Which fronts a caller should use.
"""

from collections.abc import Mapping, Sequence

from mallowcrank.gateway.peers import Word
from mallowcrank.gateway.settings import Address

MIN_FRONTS = 2  # fronts that a caller is told, if there are as many
MAX_FRONTS = 64  # fronts that a caller takes in
ANSWER_TTL_S = (
    0.5  # that an answer is kept; some callers keep it thrice as long
)


def fronts_for(
    zone: str, regions: Mapping[str, str], words: Sequence[Word]
) -> list[Address]:
    """
    Return the fronts for a caller: those of its zone, or of all zones.

    :param words: the gateways that take callers.
    """
    near = [word.front for word in words if word.zone == zone]
    if len(near) >= MIN_FRONTS:
        return near[:MAX_FRONTS]
    region = regions.get(zone)
    regional = [
        word.front for word in words if regions.get(word.zone) == region
    ]
    if len(regional) >= MIN_FRONTS:
        return regional[:MAX_FRONTS]
    return [word.front for word in words][:MAX_FRONTS]
