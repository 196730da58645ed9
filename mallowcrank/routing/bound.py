"""
The throughput bound of a model over engines with overlapping layer ranges.

An engine may run any part of its range, so tokens that reached layer `p` may
take any engine that holds `p`. By max-flow min-cut the bound is the smallest
sum, over all layers, of the rates of the engines that hold the layer: a set of
places that is closed towards the first layer is a prefix, and the engines that
leave a prefix are those that hold its border layer. It is exact, in
O(engines + layers).
"""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate, repeat
from math import inf

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class BoundEngine:
    """
    One engine, as the bound sees it. Layers are inclusive.

    :param step_ms: milliseconds of a batch of up to `slots` streams; larger
        batches take `step_ms * batch / slots`.
    :param link_ms: round trip between router and engine, in milliseconds.
    :param link_tokens_per_s: tokens a second that its link carries.
    """

    name: str
    first_layer: int
    last_layer: int
    step_ms: float
    slots: int = 1
    link_ms: float = 0
    link_tokens_per_s: float = inf

    @property
    def tokens_per_s(self) -> float:
        """
        Return the rate at full batches.
        """
        rate = self.slots * MS_PER_S / max(self.step_ms, 0.001)
        return min(rate, self.link_tokens_per_s)


@dataclass(frozen=True, slots=True)
class Bound:
    """
    What a set of engines can reach at most.

    :param tokens_per_s: generated tokens a second, over all streams.
    :param limiting_layer: the first layer that limits, or -1 for no layers.
    :param limiting: names of the engines that hold it.
    :param token_ms: milliseconds of one token on the fastest idle path;
        infinite where no path covers the layers.
    :param streams: concurrent streams that reach the bound, by Little's law.
    """

    tokens_per_s: float
    limiting_layer: int
    limiting: tuple[str, ...]
    token_ms: float
    streams: float


def throughput_bound(
    layers: int, engines: Sequence[BoundEngine], streams: float = inf
) -> Bound:
    """
    Compute the bound.

    :param layers: the model's count of layers.
    :param streams: concurrent streams; few of them can't fill the engines.
    """
    rates = layer_rates(layers, engines)
    if not rates:
        return Bound(0, -1, (), inf, 0)
    slowest = min(rates)
    layer = rates.index(slowest)
    token_ms = fastest_token_ms(layers, engines)
    return Bound(
        tokens_per_s=min(slowest, streams * MS_PER_S / token_ms),
        limiting_layer=layer,
        limiting=tuple(
            engine.name
            for engine in engines
            if engine.first_layer <= layer <= engine.last_layer
        ),
        token_ms=token_ms,
        streams=slowest * token_ms / MS_PER_S if slowest else 0,
    )


def layer_rates(layers: int, engines: Sequence[BoundEngine]) -> list[float]:
    """
    Return for each layer the sum of the rates of its engines.
    """
    changes = list(repeat(float(0), layers + 1))
    held = list(repeat(0, layers + 1))
    for engine in engines:
        end = min(engine.last_layer + 1, layers)
        changes[engine.first_layer] += engine.tokens_per_s
        changes[end] -= engine.tokens_per_s
        held[engine.first_layer] += 1
        held[end] -= 1
    pairs = zip(accumulate(changes), accumulate(held), strict=True)
    return [rate if count else float(0) for rate, count in pairs][:layers]


def fastest_token_ms(layers: int, engines: Sequence[BoundEngine]) -> float:
    """
    Return the time of one token on the fastest path of idle engines.
    """
    best = list(repeat(inf, layers + 1))
    best[0] = 0
    for engine in sorted(engines, key=lambda each: each.last_layer):
        end = min(engine.last_layer + 1, layers)
        reached = min(best[engine.first_layer : end], default=inf)
        taken = reached + engine.step_ms + engine.link_ms
        best[end] = min(best[end], taken)
    return best[layers]
