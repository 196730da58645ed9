"""
Memory of an emulated engine, by owner.
"""

from collections.abc import Hashable
from typing import Generic, TypeVar

Owner = TypeVar('Owner', bound=Hashable)


class Memory(Generic[Owner]):
    """
    Memory for requests, in tokens x layers. It may be overcommitted.
    """

    def __init__(self) -> None:
        self.size: float = 0
        self.used: float = 0
        self._allocated: dict[Owner, float] = {}

    @property
    def free(self) -> float:
        """
        Return the free memory; negative if it is overcommitted.
        """
        return self.size - self.used

    @property
    def owners(self) -> tuple[Owner, ...]:
        """
        Return the owners, in the order of their first allocation.
        """
        return tuple(self._allocated)

    def allocate(self, owner: Owner, amount: float) -> None:
        """
        Add to the allocation of an owner.
        """
        self._allocated[owner] = self._allocated.get(owner, 0) + amount
        self.used += amount

    def release(self, owner: Owner) -> None:
        """
        Free the whole allocation of an owner; does nothing without one.
        """
        self.used -= self._allocated.pop(owner, 0)

    def is_owner(self, owner: Owner) -> bool:
        """
        Return whether an owner has an allocation.
        """
        return owner in self._allocated

    def clear(self) -> None:
        """
        Free the allocations of all owners.
        """
        self._allocated.clear()
        self.used = 0
