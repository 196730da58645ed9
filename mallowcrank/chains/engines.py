"""
Engines as a decision about paths sees them.
"""

from dataclasses import dataclass

from mallowcrank.gateway.desired import Accelerator, EngineRule
from mallowcrank.gateway.targets import HeldLayers, Lifetime

MS_PER_S = 1000
BYTES_PER_MB = 1_000_000


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
    slowdown: float
    free_memory: float
    total_memory: float
    can_start_path: bool = True

    @property
    def used_share(self) -> float:
        """
        Return the share of its memory for requests that is taken.
        """
        if self.total_memory <= 0:
            return 1
        return min(1, max(0, 1 - self.free_memory / self.total_memory))


@dataclass(frozen=True, slots=True)
class RequestTokens:
    """
    What a request needs of each engine of its path.

    :param prompt: tokens to read.
    :param answer: tokens that are expected.
    """

    prompt: float
    output: float

    @property
    def total(self) -> float:
        """
        Return the tokens to hold in memory.
        """
        return self.prompt + self.output


def request_memory(rule: EngineRule, kind: Accelerator, layers: int) -> float:
    """
    Return the memory for requests beside some layers, in tokens x layers.
    """
    free_bytes = (kind.size_mb - layers * rule.layer_mb) * BYTES_PER_MB
    return max(0, free_bytes / (rule.token_bytes / rule.layers))


def layer_capacity(rule: EngineRule, kind: Accelerator) -> int:
    """
    Return how many layers an accelerator holds at most.
    """
    return min(rule.layers, int(kind.size_mb // rule.layer_mb))


def layer_ms(rule: EngineRule, kind: Accelerator, need: RequestTokens) -> float:
    """
    Return the time that a request spends in one layer of an idle engine.
    """
    reading = need.prompt * MS_PER_S / rule.read_per_s * kind.read_factor
    writing = need.output * rule.step_ms * kind.pace
    return (reading + writing) / rule.layers
