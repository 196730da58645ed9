"""
The router's own room: requests that wait or run, each in a thread.

Some of it is kept for urgent services and for answering refusals at once.
"""

from collections import Counter
from dataclasses import dataclass

SPARE_THREADS = 8  # threads kept for refusals, lists of addresses and operators


@dataclass(frozen=True, slots=True)
class CapacitySettings:
    """
    How much room there is.

    :param threads: of the router.
    :param reserved: kept for services with reserved calls.
    """

    threads: int
    reserved: int = 0

    @property
    def open_capacity(self) -> int:
        """
        Return the requests that all but reserved calls may hold together.
        """
        return max(1, self.threads - self.reserved - SPARE_THREADS)


class RequestCapacity:
    """
    Counts who holds the open room.
    """

    def __init__(self, settings: CapacitySettings) -> None:
        self.settings = settings
        self._held: Counter[str] = Counter()

    @property
    def is_full(self) -> bool:
        """
        Tell whether there is no open room.
        """
        return self._held.total() >= self.settings.open_capacity

    def largest_holder(self, branch: str, share: float) -> str | None:
        """
        Return the branch that should make room for another, if there is one.

        :param share: the other branch's share of the room, from 0 to 1.
        """
        if self._held[branch] >= share * self.settings.open_capacity:
            return None
        holder, held = max(self._held.items(), key=_count)
        if holder == branch or held <= self._held[branch] + 1:
            return None
        return holder

    def acquire(self, branch: str) -> None:
        """
        Count a request.
        """
        self._held[branch] += 1

    def release(self, branch: str) -> None:
        """
        Count a request no longer.
        """
        self._held[branch] -= 1
        if not self._held[branch]:
            self._held.pop(branch)


def _count(pair: tuple[str, int]) -> int:
    return pair[1]
