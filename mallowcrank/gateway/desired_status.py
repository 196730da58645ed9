"""
What a gateway tells others of its version of the desired state.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf, isfinite
from typing import Any, NamedTuple

MS_PER_S = 1000


class DesiredMark(NamedTuple):
    """
    Which content of the desired state it is; marks compare by their order.

    A store that came back from an older copy may have been given other content
    under the same number.

    :param era: of the store, in which it was read; -1 if that is not known.
    """

    version: int
    era: int


@dataclass(frozen=True, slots=True)
class DesiredStatus:
    """
    How sure a gateway is of its version of the desired state.

    :param era: of the store, in which it was read; -1 if that is not known.
    :param age_s: seconds since the store had no newer version; infinite if
        that is not known.
    """

    era: int
    age_s: float


def encode_desired(status: DesiredStatus) -> list[int | None]:
    """
    Encode how sure a gateway is of the desired state as a part of a datagram.
    """
    age_ms = round(status.age_s * MS_PER_S) if isfinite(status.age_s) else None
    return [status.era, age_ms]


def decode_desired(fields: Sequence[Any]) -> DesiredStatus:
    """
    Decode how sure a gateway is of the desired state.

    :raises ValueError: if the age is negative or not a number.
    """
    era, age_ms = fields
    if age_ms is None:
        return DesiredStatus(int(era), inf)
    if int(age_ms) < 0:
        raise ValueError('no age')
    return DesiredStatus(int(era), int(age_ms) / MS_PER_S)
