"""
Engines as a decision about paths sees them.
"""

from dataclasses import dataclass

from mallowcrank.gateway.desired import Accelerator, EngineRule
from mallowcrank.gateway.targets import HeldLayers, Lifetime

MILLISECONDS = 1000
MEGABYTE = 1_000_000


@dataclass(frozen=True, slots=True)
class ChainEngine:
    """
    One engine that may be a part of a path.

    :param pace: factor on its usual times, as it reports or as was seen.
    :param room: free memory for requests, in tokens x layers.
    :param size: memory for requests, in tokens x layers.
    :param takes_firsts: whether it has a place as the first of a path.
    """

    lifetime: Lifetime
    zone: str
    held: HeldLayers
    kind: Accelerator
    pace: float
    room: float
    size: float
    takes_firsts: bool = True

    @property
    def used_share(self) -> float:
        """
        Return the share of its memory for requests that is taken.
        """
        if self.size <= 0:
            return 1
        return min(1, max(0, 1 - self.room / self.size))


@dataclass(frozen=True, slots=True)
class Need:
    """
    What a request needs of each engine of its path.

    :param prompt: tokens to read.
    :param answer: tokens that are expected.
    """

    prompt: float
    answer: float

    @property
    def tokens(self) -> float:
        """
        Return the tokens to hold in memory.
        """
        return self.prompt + self.answer


def request_room(rule: EngineRule, kind: Accelerator, layers: int) -> float:
    """
    Return the memory for requests beside some layers, in tokens x layers.
    """
    free_bytes = (kind.size_mb - layers * rule.layer_mb) * MEGABYTE
    return max(0, free_bytes / (rule.token_bytes / rule.layers))


def most_layers(rule: EngineRule, kind: Accelerator) -> int:
    """
    Return how many layers an accelerator holds at most.
    """
    return min(rule.layers, int(kind.size_mb // rule.layer_mb))


def layer_ms(rule: EngineRule, kind: Accelerator, need: Need) -> float:
    """
    Return the time that a request spends in one layer of an idle engine.
    """
    reading = need.prompt * MILLISECONDS / rule.read_per_s * kind.read_factor
    writing = need.answer * rule.step_ms * kind.pace
    return (reading + writing) / rule.layers
