"""
Computes the throughput bound of a model over overlapping layer ranges.

An engine may run any part of its range, in time proportional to the number of
layers. Each engine therefore has a budget of layers a second, and all layers
of the model need the same rate. By Hall's condition, the bound is the minimum,
over all sets of layers, of the total budget of the engines that hold any layer
of the set, divided by the size of the set. Engines that hold no layer of a set
lie within the gaps between its layers, so dynamic programming over the gaps
finds the worst set for a given rate. Starting above the bound, each round
lowers the rate to the ratio of the worst set, until no set is worse
(Dinkelbach's method). The result is exact and takes
O(rounds * layers * layers + engines), with few rounds.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise, repeat
from math import inf

MS_PER_S = 1000
ROUNDING_ERROR = 1e-9  # relative, for comparing rates


@dataclass(frozen=True, slots=True)
class BoundEngine:
    """
    The properties of an engine that the bound depends on; the layer range is
    inclusive.

    :param step_ms: milliseconds for a batch of up to `slots` streams through
        all layers held; larger batches take `step_ms * batch / slots`.
    :param link_ms: round trip between router and engine, in milliseconds.
    :param link_tokens_per_s: capacity of its link, in tokens a second.
    """

    name: str
    first_layer: int
    last_layer: int
    step_ms: float
    slots: int = 1
    link_ms: float = 0
    link_tokens_per_s: float = inf

    @property
    def layers(self) -> int:
        """
        Return the number of layers that it holds.
        """
        return self.last_layer - self.first_layer + 1

    @property
    def layers_per_s(self) -> float:
        """
        Return how many layers it runs a second with full batches.
        """
        rate = self.slots * MS_PER_S / max(self.step_ms, ROUNDING_ERROR)
        return self.layers * min(rate, self.link_tokens_per_s)


@dataclass(frozen=True, slots=True)
class Workload:
    """
    The average request, and the number of concurrent streams.

    :param prompt_steps: cost of a prompt beyond its first new token, in steps
        of one token, after cache savings.
    :param answer_tokens: tokens of an answer.
    :param streams: concurrent streams; too few can't fill the batches.
    """

    prompt_steps: float = 0
    answer_tokens: float = 1
    streams: float = inf

    @property
    def steps_per_token(self) -> float:
        """
        Return the number of steps for one generated token.
        """
        return 1 + self.prompt_steps / self.answer_tokens


@dataclass(frozen=True, slots=True)
class ThroughputBound:
    """
    The maximum throughput of a set of engines.

    :param tokens_per_s: generated tokens a second, over all streams.
    :param limiting_layers: the layers that limit the throughput.
    :param limiting_engines: names of the engines that hold any of them.
    :param token_ms: milliseconds for one token on the fastest idle path;
        infinite where no path covers the layers.
    :param full_streams: concurrent streams that reach the bound, by Little's
        law; at full batches, each engine contributes by its rate.
    """

    tokens_per_s: float
    limiting_layers: tuple[int, ...]
    limiting_engines: tuple[str, ...]
    token_ms: float
    full_streams: float


def throughput_bound(
    layers: int, engines: Sequence[BoundEngine], work: Workload | None = None
) -> ThroughputBound:
    """
    Compute the throughput bound.

    :param layers: number of layers of the model.
    :param work: the average request; one step for each token by default.
    """
    workload = work or Workload()
    token_ms = fastest_token_ms(layers, engines)
    if token_ms == inf:
        return ThroughputBound(0, (), (), inf, 0)
    rate, limiting = _limiting_set(layers, engines)
    streams_rate = workload.streams * MS_PER_S / token_ms
    return ThroughputBound(
        tokens_per_s=min(rate / workload.steps_per_token, streams_rate),
        limiting_layers=limiting,
        limiting_engines=tuple(
            engine.name for engine in engines if _holds_any(engine, limiting)
        ),
        token_ms=token_ms,
        full_streams=rate * _full_token_ms(layers, engines) / MS_PER_S,
    )


def fastest_token_ms(layers: int, engines: Sequence[BoundEngine]) -> float:
    """
    Return the time of one token on the fastest path of idle engines.

    :returns: milliseconds; infinite where no path covers the layers.
    """
    best = list(repeat(inf, layers + 1))
    best[0] = 0
    running: dict[str, float] = {}
    for layer in range(layers):
        running = {
            engine.name: _layer_done(engine, best[layer], running)
            for engine in engines
            if engine.first_layer <= layer <= engine.last_layer
        }
        best[layer + 1] = min(running.values(), default=inf)
    return best[layers]


def _full_token_ms(layers: int, engines: Sequence[BoundEngine]) -> float:
    total: float = 0
    link_ms = max((engine.link_ms for engine in engines), default=0)
    borders = {engine.first_layer for engine in engines}
    for layer in range(layers):
        holders = [
            engine
            for engine in engines
            if engine.first_layer <= layer <= engine.last_layer
        ]
        slots = sum(engine.slots for engine in holders)
        total += slots * MS_PER_S / sum(map(_layers_per_s, holders))
    return total + link_ms * len(borders)


def _layers_per_s(engine: BoundEngine) -> float:
    return engine.layers_per_s


def _layer_done(
    engine: BoundEngine, reached: float, running: dict[str, float]
) -> float:
    entered = min(reached + engine.link_ms, running.get(engine.name, inf))
    return entered + engine.step_ms / engine.layers


def _holds_any(engine: BoundEngine, layers: Sequence[int]) -> bool:
    return any(
        engine.first_layer <= layer <= engine.last_layer for layer in layers
    )


def _limiting_set(
    layers: int, engines: Sequence[BoundEngine]
) -> tuple[float, tuple[int, ...]]:
    inside = _budgets_inside(layers, engines)
    total = sum(engine.layers_per_s for engine in engines)
    rate = total / layers
    limiting = tuple(range(layers))
    while True:
        worst = _worst_set(layers, inside, rate)
        held = total - _inside_gaps(layers, inside, worst)
        lower = held / len(worst) if worst else rate
        if lower >= rate * (1 - ROUNDING_ERROR):
            return rate, limiting
        rate, limiting = lower, worst


def _budgets_inside(
    layers: int, engines: Sequence[BoundEngine]
) -> list[list[float]]:
    """
    Return the total budget of the engines within each gap.

    :returns: layers a second, indexed by the start of the gap and by its end,
        which is the first layer after the gap.
    """
    size = layers + 1
    inside = [list(repeat(float(0), size)) for _ in range(size)]
    for engine in engines:
        end = min(engine.last_layer + 1, layers)
        inside[engine.first_layer][end] += engine.layers_per_s
    for start in range(layers - 1, -1, -1):
        wider = inside[start + 1]
        total = float(0)
        for end in range(start, size):
            total += inside[start][end]
            inside[start][end] = total + wider[end]
    return inside


def _worst_set(
    layers: int, inside: list[list[float]], rate: float
) -> tuple[int, ...]:
    """
    Return the set of layers with the largest deficit at a rate.
    """
    gain = list(repeat(float(0), layers + 1))
    gap_start = list(range(layers + 1))
    for end in range(1, layers + 1):
        gain[end] = gain[end - 1]
        gap_start[end] = end
        for start in range(end):
            saved = inside[start][end] - rate * (end - start)
            if gain[start] + saved > gain[end]:
                gain[end] = gain[start] + saved
                gap_start[end] = start
    return _outside_gaps(layers, gap_start)


def _outside_gaps(layers: int, gap_start: list[int]) -> tuple[int, ...]:
    chosen: list[int] = []
    end = layers
    while end:
        if gap_start[end] == end:
            chosen.append(end - 1)
            end -= 1
        else:
            end = gap_start[end]
    return tuple(reversed(chosen))


def _inside_gaps(
    layers: int, inside: list[list[float]], chosen: tuple[int, ...]
) -> float:
    borders = (-1, *chosen, layers)
    return sum(inside[before + 1][after] for before, after in pairwise(borders))
