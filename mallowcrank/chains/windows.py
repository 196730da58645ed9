"""
Where on a chain a card does most good, and what a chain lacks.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from itertools import accumulate

from mallowcrank.gateway.targets import Lifetime

GAP_STEP_FACTOR = 400  # of a layer that nobody holds; above any engine's
EXTRA_LAYER_COST = 8  # of a layer beyond the usual count: memory for requests
ROUNDING_TOLERANCE = 1e-6  # of sums of paces
LOAD_LAYER_COST = (
    0.5  # of a layer to load; of equal windows the nearest is taken
)


@dataclass(frozen=True, slots=True)
class PlacementEngine:
    """
    One engine to place layers on.

    :param usual: layers that it takes beside memory for requests.
    :param most: the same where a gap can't be closed otherwise.
    :param pace: factor on the time of a step; the smallest is the fastest.
    :param first: first layer that it holds or was ordered to hold.
    :param end: the end of its layers, exclusive; `first` where it is empty.
    :param is_loading: whether it was ordered to hold them and does not yet.
    :param is_used: whether streams pass through it; it can't give layers up
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
        Return whether it holds no layers.
        """
        return self.end <= self.first


@dataclass(frozen=True, slots=True)
class Window:
    """
    Layers that a card might hold, and what the fastest path gains by it.
    """

    first: int
    end: int
    gain: float


@dataclass(frozen=True, slots=True)
class Move:
    """
    A card and the layers that it might take.
    """

    engine: PlacementEngine
    window: Window

    @property
    def gain_per_loaded_layer(self) -> float:
        """
        Return the gain for each layer to load.
        """
        first, end = self.window.first, self.window.end
        loaded = end - first - _overlap(self.engine, first, end)
        return self.window.gain / max(1, loaded)

    def moved(self) -> PlacementEngine:
        """
        Return the card on its way.
        """
        return replace(
            self.engine,
            first=self.window.first,
            end=self.window.end,
            is_loading=True,
        )


def best_window(
    card: PlacementEngine, paces: Sequence[float], most: int
) -> Window:
    """
    Return the layers by which the fastest path gains most.

    A card that gives up a part of its layers first waits for the streams in
    all of them, so that it keeps all, moves away, or gives up some only. One
    that is used keeps all.

    :param paces: of the other cards.
    """
    saved = [max(0, pace - card.step_factor) for pace in paces]
    sums = list(accumulate(saved, initial=0))
    best = Window(0, min(card.normal_layers, most), 0)
    for first, end in _windows(card, len(paces), most):
        extra = max(0, end - first - card.normal_layers) * EXTRA_LAYER_COST
        loaded = end - first - _overlap(card, first, end)
        gain = sums[end] - sums[first] - extra - loaded * LOAD_LAYER_COST
        if gain > best.gain + ROUNDING_TOLERANCE:
            best = Window(first, end, gain)
    return best


def _windows(
    card: PlacementEngine, layers: int, most: int
) -> Iterator[tuple[int, int]]:
    for count in range(min(card.normal_layers, most), most + 1):
        for first in range(layers - count + 1):
            end = first + count
            kept = _overlap(card, first, end)
            held = card.end - card.first
            if kept == held or (not card.is_used and kept in {0, count}):
                yield first, end


def _overlap(card: PlacementEngine, first: int, end: int) -> int:
    return max(0, min(end, card.end) - max(first, card.first))


def best_step_factors(
    layers: int, holding: Iterable[PlacementEngine]
) -> list[float]:
    """
    Return the pace of the fastest holder of each layer.
    """
    paces: list[float] = [GAP_STEP_FACTOR for _ in range(layers)]
    for card in holding:
        for layer in range(card.first, min(layers, card.end)):
            paces[layer] = min(paces[layer], card.step_factor)
    return paces


def _counts(layers: int, holding: Iterable[PlacementEngine]) -> list[int]:
    counts = [0 for _ in range(layers)]
    for card in holding:
        for layer in range(card.first, min(layers, card.end)):
            counts[layer] += 1
    return counts


def least_redundant_window(
    layers: int, count: int, holding: Sequence[PlacementEngine]
) -> int:
    """
    Return the window whose layers would be missed most.
    """
    weights = _weights(layers, holding)
    windows = range(layers - count + 1)

    def missed(first: int) -> tuple[float, int]:
        return sum(weights[first : first + count]), -first

    return max(windows, key=missed)


def _weights(layers: int, holding: Sequence[PlacementEngine]) -> list[float]:
    """
    Weigh each layer by how much is lost with its holders.
    """
    counts = _counts(layers, holding)
    largest = [0 for _ in range(layers)]
    for card in holding:
        for layer in range(card.first, min(layers, card.end)):
            largest[layer] = max(largest[layer], card.end - card.first)
    return [
        size / held**2 if held else 0
        for size, held in zip(largest, counts, strict=True)
    ]


def find_gaps(
    layers: int, cards: Iterable[PlacementEngine]
) -> list[tuple[int, int]]:
    """
    Return the ranges of layers that nobody holds; the ends are exclusive.
    """
    counts = [1, *_counts(layers, cards), 1]
    edges = [
        layer
        for layer in range(layers + 1)
        if bool(counts[layer]) != bool(counts[layer + 1])
    ]
    return list(zip(edges[::2], edges[1::2], strict=True))
