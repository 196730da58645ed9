"""
Targets, as described by their entries in the store.
"""

from dataclasses import dataclass
from typing import NamedTuple

from mallowcrank.gateway.settings import Address


class Lifetime(NamedTuple):
    """
    One run of a target, from its start to its end.

    :param identity: the target's name, which a later run may reuse.
    :param born_ms: start of this run, in milliseconds.
    """

    identity: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class HeldLayers:
    """
    The range of layers that an engine has loaded; the end is exclusive.
    """

    first: int
    end: int
    version: int

    @property
    def count(self) -> int:
        """
        Return the number of layers.
        """
        return self.end - self.first


@dataclass(frozen=True, slots=True)
class Target:
    """
    One target in one lifetime.

    :param slots: requests for which an engine may be the first of a path.
    :param leaving: whether it accepts no new work.
    :param layers: None if it has none loaded or isn't an engine.
    :param kind: kind of accelerator; empty if it isn't an engine.
    :param writes: how often it has written its entry; 0 if unknown.
    """

    lifetime: Lifetime
    service: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    layers: HeldLayers | None
    kind: str
    writes: int = 0

    @property
    def is_engine(self) -> bool:
        """
        Return whether the target is a model engine.
        """
        return bool(self.kind)

    @property
    def identity(self) -> str:
        """
        Return the identity, which a later lifetime may reuse.
        """
        return self.lifetime.identity


@dataclass(frozen=True, slots=True)
class TargetReport:
    """
    A target's answer to a probe.

    :param pace: factor on its usual times; over 1 if it is slow.
    :param used: memory in use, in tokens x layers.
    :param size: memory for requests, in tokens x layers.
    :param orders: number of orders that it has accepted.
    :param stalled: pairs of a request and the address that it waits for.
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
