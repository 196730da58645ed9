"""
Capacity of the router for requests, each of which takes a thread.

Waiting requests count like running ones. Some threads are reserved for urgent
services and for immediate refusals.
"""

from collections import Counter
from dataclasses import dataclass

SPARE_THREADS = 8  # for refusals, address lists and operators


@dataclass(frozen=True, slots=True)
class CapacitySettings:
    """
    The capacity of a router.

    :param threads: threads of the router.
    :param reserved: threads reserved for services with reserved calls.
    """

    threads: int
    reserved: int = 0

    @property
    def open_capacity(self) -> int:
        """
        Return the number of requests without a reservation that may wait or
        run at once.
        """
        return max(1, self.threads - self.reserved - SPARE_THREADS)


class RequestCapacity:
    """
    Counts the requests of each branch in the open capacity.
    """

    def __init__(self, settings: CapacitySettings) -> None:
        self.settings = settings
        self._in_use: Counter[str] = Counter()

    @property
    def is_full(self) -> bool:
        """
        Return whether the open capacity is in use.
        """
        return self._in_use.total() >= self.settings.open_capacity

    def largest_holder(self, branch: str, share: float) -> str | None:
        """
        Return the branch that should give up a request for another branch.

        :param branch: the other branch.
        :param share: its share of the open capacity, from 0 to 1.
        :returns: none if the other branch has its share, or if no branch
            holds clearly more.
        """
        if self._in_use[branch] >= share * self.settings.open_capacity:
            return None
        holder, held = max(self._in_use.items(), key=_count)
        if holder == branch or held <= self._in_use[branch] + 1:
            return None
        return holder

    def acquire(self, branch: str) -> None:
        """
        Count a new request of a branch.
        """
        self._in_use[branch] += 1

    def release(self, branch: str) -> None:
        """
        Count the end of a request of a branch.
        """
        self._in_use[branch] -= 1
        if not self._in_use[branch]:
            self._in_use.pop(branch)


def _count(pair: tuple[str, int]) -> int:
    return pair[1]
