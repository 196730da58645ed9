"""
Engines as candidates for paths, and their capacity and speed.
"""

from dataclasses import dataclass

from mallowcrank.gateway.desired import Accelerator, EngineRule
from mallowcrank.gateway.targets import HeldLayers, Lifetime

MS_PER_S = 1000
BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class ChainEngine:
    """
    An engine that paths may use.

    :param slowdown: factor on its normal times, reported or observed.
    :param free_memory: free memory for requests, in tokens x layers.
    :param total_memory: memory for requests, in tokens x layers.
    :param can_start_path: whether it has a free slot as the first engine of
        a path.
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
        Return the used share of the memory for requests, from 0 to 1.
        """
        if self.total_memory <= 0:
            return 1
        return min(1, max(0, 1 - self.free_memory / self.total_memory))


@dataclass(frozen=True, slots=True)
class RequestTokens:
    """
    The tokens that each engine of a path processes for a request.

    :param prompt: tokens of the prompt.
    :param output: expected tokens of the output.
    """

    prompt: float
    output: float

    @property
    def total(self) -> float:
        """
        Return the tokens that take up memory.
        """
        return self.prompt + self.output


def request_memory(rule: EngineRule, kind: Accelerator, layers: int) -> float:
    """
    Return the memory that a number of layers leaves for requests.

    :returns: tokens x layers.
    """
    free_bytes = (kind.size_mb - layers * rule.layer_mb) * BYTES_PER_MB
    return max(0, free_bytes / (rule.token_bytes / rule.layers))


def layer_capacity(rule: EngineRule, kind: Accelerator) -> int:
    """
    Return how many layers fit into an accelerator's memory.
    """
    return min(rule.layers, int(kind.size_mb // rule.layer_mb))


def layer_ms(
    rule: EngineRule, kind: Accelerator, tokens: RequestTokens
) -> float:
    """
    Return the time that a request spends in one layer of an idle engine.

    :returns: milliseconds.
    """
    read_ms = tokens.prompt * MS_PER_S / rule.read_per_s * kind.read_factor
    write_ms = tokens.output * rule.step_ms * kind.pace
    return (read_ms + write_ms) / rule.layers
