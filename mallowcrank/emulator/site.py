"""
Emulated installations: engines of several kinds in availability zones, and
routers.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from mallowcrank.gateway.desired import Accelerator, EngineRule
from mallowcrank.gateway.targets import Lifetime


@dataclass(frozen=True, slots=True)
class EngineTimings:
    """
    Durations and batch sizes of engines, besides those in a service's rule.

    :param tokens_per_event: decode steps of a batch; an event carries as many
        tokens.
    :param chunk_tokens: prompt tokens of a prefill chunk.
    :param context_ms: added to a step for each 1,000 tokens of a stream's
        context.
    :param stall_s: seconds until a stream on a crashed engine is cut off.
    :param load_s: seconds to load all layers.
    :param hop_s: seconds from engine to engine inside a zone.
    :param remote_hop_s: seconds from engine to engine between zones.
    """

    tokens_per_event: int = 4
    chunk_tokens: int = 512
    context_ms: float = 0.0123
    stall_s: float = 2
    load_s: float = 14
    hop_s: float = 0.0004
    remote_hop_s: float = 0.002


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """
    An engine of a site.
    """

    lifetime: Lifetime
    zone: str
    kind: str


@dataclass(frozen=True, slots=True)
class Site:
    """
    An installation.

    :param engine_counts: number of engines by zone and kind.
    :param routers: number of routers by zone.
    """

    rule: EngineRule
    engine_counts: Mapping[str, Mapping[str, int]]
    routers: Mapping[str, int]
    timings: EngineTimings = EngineTimings()

    def engine_specs(self) -> tuple[EngineSpec, ...]:
        """
        Return all engines.
        """
        return tuple(
            EngineSpec(Lifetime(f'{zone}-{kind}-{number}', 0), zone, kind)
            for zone, kind, count in self._counts()
            for number in range(count)
        )

    def router_names(self) -> tuple[tuple[str, str], ...]:
        """
        Return the name and zone of each router.
        """
        return tuple(
            (f'{zone}-{number}', zone)
            for zone, count in self.routers.items()
            for number in range(count)
        )

    def _counts(self) -> Iterator[tuple[str, str, int]]:
        for zone, kinds in self.engine_counts.items():
            for kind, count in kinds.items():
                yield zone, kind, count


RULE = EngineRule(
    layers=80,
    layer_mb=1750,
    token_bytes=1_180_000,
    step_ms=1.02,
    sequence_ms=0.00918,
    read_per_s=164_000,
    typical_prompt_tokens=775,
    mean_output_tokens=215,
    hop_bytes=59_000,
    pipe_mbps=13_000,
    slots=96,
    kinds=MappingProxyType(
        {
            'a100': Accelerator(72_000, 2.4, 3.2),
            'v100': Accelerator(14_400, 5.3, 7.9),
            'l4': Accelerator(21_600, 16, 8.2),
        }
    ),
)

# The same model in five zones, behind as many routers as engines.
FIVE_ZONES = Site(
    rule=RULE,
    engine_counts=MappingProxyType(
        {
            'a': MappingProxyType({'a100': 2, 'v100': 31, 'l4': 13}),
            'b': MappingProxyType({'a100': 6, 'v100': 13, 'l4': 15}),
            'c': MappingProxyType({'a100': 4, 'v100': 19, 'l4': 23}),
            'd': MappingProxyType({'a100': 2, 'v100': 31, 'l4': 13}),
            'e': MappingProxyType({'a100': 6, 'v100': 12, 'l4': 15}),
        }
    ),
    routers=MappingProxyType(dict.fromkeys('abcde', 39)),
    timings=EngineTimings(tokens_per_event=6),
)

# A model of 140 GB on mixed accelerators, in three zones of about 290 GB each.
THREE_ZONES = Site(
    rule=RULE,
    engine_counts=MappingProxyType(
        {
            'a': MappingProxyType({'a100': 1, 'v100': 10, 'l4': 4}),
            'b': MappingProxyType({'a100': 2, 'v100': 4, 'l4': 4}),
            'c': MappingProxyType({'a100': 1, 'v100': 6, 'l4': 6}),
        }
    ),
    routers=MappingProxyType({'a': 3, 'b': 2, 'c': 2}),
)
