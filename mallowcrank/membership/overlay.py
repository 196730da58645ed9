"""
The overlay of connections between agents, and the observers of targets.

Both follow from hashes of names, so that agents need no coordination.
"""

from bisect import bisect
from collections.abc import Iterable, Iterator, Mapping
from functools import lru_cache
from itertools import chain

from mallowcrank.membership.hashing import hash_name

RING_COUNT = 4  # connections that an agent opens, and as many accepted
MAX_CACHED_HASHES = 65536
POINTS_PER_AGENT = 16  # on the consistent hashing ring
MAX_SKIPPED_AGENTS = 24  # further agents of an already selected zone


@lru_cache(maxsize=MAX_CACHED_HASHES)
def _ring_position(ring: int, name: str) -> int:
    return hash_name(name, ring)


def neighbours(
    name: str, live: Iterable[str], rings: int = RING_COUNT
) -> set[str]:
    """
    Return the successor of an agent on each ring.

    Each ring orders the agents by a different hash. The connections together
    therefore reach every agent in a few hops, and every agent is monitored by
    several unrelated agents.
    """
    others = [each for each in live if each != name]
    return {_successor(ring, name, others) for ring in range(rings) if others}


def _successor(ring: int, name: str, others: list[str]) -> str:
    own_position = _ring_position(ring, name)
    successors = [
        each for each in others if _ring_position(ring, each) > own_position
    ]
    return min(
        successors or others, key=lambda each: _ring_position(ring, each)
    )


class ObserverRing:
    """
    Assigns subjects to agents by consistent hashing.

    Rendezvous hashing distributes as evenly, but needs a hash for each pair
    of agent and target at every change. The ring needs one search for each
    target.

    :param live: live agents with their availability zones.
    """

    def __init__(self, live: Mapping[str, str]) -> None:
        self._zones = dict(live)
        self._points = sorted(
            (_ring_position(point, name), name)
            for name in live
            for point in range(POINTS_PER_AGENT)
        )

    def observers(self, subject: str, count: int) -> tuple[str, ...]:
        """
        Return the observers of a subject, in order of preference.

        Each availability zone is used once before any is used twice, so that
        observers fail independently.

        :param count: the maximum number of observers.
        """
        first_of_zone: dict[str, str] = {}
        others: list[str] = []
        for name in self._agents_from(subject):
            if first_of_zone.setdefault(self._zones[name], name) != name:
                others.append(name)
            if len(first_of_zone) == count or len(others) > MAX_SKIPPED_AGENTS:
                break
        return (*first_of_zone.values(), *others)[:count]

    def _agents_from(self, subject: str) -> Iterator[str]:
        start = bisect(self._points, (hash_name(subject), ''))
        seen: set[str] = set()
        for index in chain(range(start, len(self._points)), range(start)):
            name = self._points[index][1]
            if name not in seen:
                seen.add(name)
                yield name
