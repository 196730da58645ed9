"""
Targets as their entries in the store describe them.
"""

from dataclasses import dataclass
from typing import NamedTuple

from mallowcrank.gateway.settings import Address


class Lifetime(NamedTuple):
    """
    One lifetime of a target.

    :param born_ms: start of this lifetime under the identity.
    """

    identity: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class HeldLayers:
    """
    The layers that an engine holds; the end is exclusive.
    """

    first: int
    end: int
    version: int

    @property
    def count(self) -> int:
        """
        Return how many layers are held.
        """
        return self.end - self.first


@dataclass(frozen=True, slots=True)
class Target:
    """
    One target in one lifetime.

    :param leaving: whether it takes no new work.
    :param layers: none where it holds none, or is no engine.
    :param kind: its kind of accelerator, if it is an engine.
    """

    lifetime: Lifetime
    service: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    layers: HeldLayers | None
    kind: str

    @property
    def is_engine(self) -> bool:
        """
        Return whether it is a model engine.
        """
        return bool(self.kind)

    @property
    def identity(self) -> str:
        """
        Return the identity, which a later lifetime may have again.
        """
        return self.lifetime.identity


@dataclass(frozen=True, slots=True)
class TargetReport:
    """
    What a target says of itself when it is asked.

    :param pace: factor on its usual times; over 1 where it is slow.
    :param used: memory in use, in tokens x layers.
    :param size: memory for requests, in tokens x layers.
    :param orders: how many orders it has taken in.
    :param stalled: the addresses that its requests wait for, by request.
    """

    lifetime: Lifetime
    pace: float
    used: float
    size: float
    running: int
    queued: int
    is_busy: bool
    orders: int
    layers: HeldLayers | None
    stalled: tuple[tuple[str, str], ...] = ()
