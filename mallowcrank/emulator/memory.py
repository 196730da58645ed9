"""
Memory of an emulated engine: what each stream holds, and who goes when it is
full.
"""

from collections.abc import Hashable
from typing import Generic, TypeVar

Owner = TypeVar('Owner', bound=Hashable)


class Memory(Generic[Owner]):
    """
    Memory for requests, in tokens x layers.
    """

    def __init__(self) -> None:
        self.size: float = 0
        self.used: float = 0
        self._allocated: dict[Owner, float] = {}

    @property
    def free(self) -> float:
        """
        Return what is free; negative where too much is held.
        """
        return self.size - self.used

    @property
    def owners(self) -> tuple[Owner, ...]:
        """
        Return who holds some.
        """
        return tuple(self._allocated)

    def allocate(self, owner: Owner, amount: float) -> None:
        """
        Let somebody hold more.
        """
        self._allocated[owner] = self._allocated.get(owner, 0) + amount
        self.used += amount

    def release(self, owner: Owner) -> None:
        """
        Free all that somebody holds.
        """
        self.used -= self._allocated.pop(owner, 0)

    def is_owner(self, owner: Owner) -> bool:
        """
        Return whether somebody holds some.
        """
        return owner in self._allocated

    def clear(self) -> None:
        """
        Free all.
        """
        self._allocated.clear()
        self.used = 0
