"""
Layer ranges of a chain: the best one for an engine, and gaps.

Costs are sums of step factors, one for each layer.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from itertools import accumulate

from mallowcrank.gateway.targets import Lifetime

GAP_STEP_FACTOR = 400  # of a layer without a holder; above any engine's
EXTRA_LAYER_COST = 8  # beyond the normal count: it takes memory from requests
ROUNDING_TOLERANCE = 1e-6  # of sums of step factors
LOAD_LAYER_COST = 0.5  # of equal windows the nearest is chosen


@dataclass(frozen=True, slots=True)
class PlacementEngine:
    """
    An engine to place layers on.

    :param normal_layers: layers that leave enough memory for requests.
    :param max_layers: most layers, to close a gap or to stand by.
    :param step_factor: factor on the time of a step; smaller is faster.
    :param first: first layer that it holds or was ordered to hold.
    :param end: end of its layers, exclusive; `first` if it is empty.
    :param is_loading: whether it was ordered to hold its layers and does not
        hold them yet.
    :param is_used: whether streams pass through it. It can't drop layers
        before they end, which may take as long as a whole answer.
    """

    lifetime: Lifetime
    zone: str
    normal_layers: int
    max_layers: int
    step_factor: float
    first: int = 0
    end: int = 0
    is_loading: bool = False
    is_used: bool = False

    @property
    def is_empty(self) -> bool:
        """
        Return whether it has no layers.
        """
        return self.end <= self.first


@dataclass(frozen=True, slots=True)
class Window:
    """
    Layers that an engine may hold.

    :param first: first layer.
    :param end: end of the layers, exclusive.
    :param gain: cost that they save on the fastest path.
    """

    first: int
    end: int
    gain: float


@dataclass(frozen=True, slots=True)
class Move:
    """
    A possible move of an engine to other layers.
    """

    engine: PlacementEngine
    window: Window

    @property
    def gain_per_loaded_layer(self) -> float:
        """
        Return the gain per layer that the engine has to load.
        """
        first, end = self.window.first, self.window.end
        loaded = end - first - _overlap(self.engine, first, end)
        return self.window.gain / max(1, loaded)

    def moved(self) -> PlacementEngine:
        """
        Return the engine while it loads its new layers.
        """
        return replace(
            self.engine,
            first=self.window.first,
            end=self.window.end,
            is_loading=True,
        )


def best_window(
    engine: PlacementEngine, step_factors: Sequence[float], max_count: int
) -> Window:
    """
    Return the window that saves most on the fastest path.

    An engine that drops any layer first waits for the streams in all of them.
    So its new window contains all of its layers, none of them, or some of
    them and no others. An engine with streams keeps all of its layers.

    :param step_factors: best step factor of the other engines, by layer.
    :param max_count: most layers of the window.
    """
    saved = [
        max(0, step_factor - engine.step_factor) for step_factor in step_factors
    ]
    sums = list(accumulate(saved, initial=0))
    best = Window(0, min(engine.normal_layers, max_count), 0)
    for first, end in _windows(engine, len(step_factors), max_count):
        extra = max(0, end - first - engine.normal_layers) * EXTRA_LAYER_COST
        loaded = end - first - _overlap(engine, first, end)
        gain = sums[end] - sums[first] - extra - loaded * LOAD_LAYER_COST
        if gain > best.gain + ROUNDING_TOLERANCE:
            best = Window(first, end, gain)
    return best


def _windows(
    engine: PlacementEngine, layers: int, max_count: int
) -> Iterator[tuple[int, int]]:
    for count in range(min(engine.normal_layers, max_count), max_count + 1):
        for first in range(layers - count + 1):
            end = first + count
            kept = _overlap(engine, first, end)
            held = engine.end - engine.first
            if kept == held or (not engine.is_used and kept in {0, count}):
                yield first, end


def _overlap(engine: PlacementEngine, first: int, end: int) -> int:
    return max(0, min(end, engine.end) - max(first, engine.first))


def best_step_factors(
    layers: int, engines: Iterable[PlacementEngine]
) -> list[float]:
    """
    Return the step factor of the fastest holder, by layer.
    """
    step_factors: list[float] = [GAP_STEP_FACTOR for _ in range(layers)]
    for engine in engines:
        for layer in range(engine.first, min(layers, engine.end)):
            step_factors[layer] = min(step_factors[layer], engine.step_factor)
    return step_factors


def _counts(layers: int, engines: Iterable[PlacementEngine]) -> list[int]:
    counts = [0 for _ in range(layers)]
    for engine in engines:
        for layer in range(engine.first, min(layers, engine.end)):
            counts[layer] += 1
    return counts


def least_redundant_window(
    layers: int, count: int, engines: Sequence[PlacementEngine]
) -> int:
    """
    Return the window of layers with the least redundancy.

    :returns: its first layer.
    """
    weights = _weights(layers, engines)
    windows = range(layers - count + 1)

    def total_weight(first: int) -> tuple[float, int]:
        return sum(weights[first : first + count]), -first

    return max(windows, key=total_weight)


def _weights(layers: int, engines: Sequence[PlacementEngine]) -> list[float]:
    """
    Weigh each layer by the layers lost with its largest holder.

    The weight falls with the square of the number of holders.
    """
    counts = _counts(layers, engines)
    largest_ranges = [0 for _ in range(layers)]
    for engine in engines:
        for layer in range(engine.first, min(layers, engine.end)):
            largest_ranges[layer] = max(
                largest_ranges[layer], engine.end - engine.first
            )
    return [
        size / held**2 if held else 0
        for size, held in zip(largest_ranges, counts, strict=True)
    ]


def find_gaps(
    layers: int, engines: Iterable[PlacementEngine]
) -> list[tuple[int, int]]:
    """
    Return the ranges of layers that no engine holds; ends are exclusive.
    """
    counts = [1, *_counts(layers, engines), 1]
    edges = [
        layer
        for layer in range(layers + 1)
        if bool(counts[layer]) != bool(counts[layer + 1])
    ]
    return list(zip(edges[::2], edges[1::2], strict=True))
