"""
The load: which requests come when, and what goes wrong meanwhile.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import log
from random import Random
from types import MappingProxyType

SIZE_SIGMA = 0.7  # of a logarithm; a tenth of the sizes is 2.5 times the median


@dataclass(frozen=True, slots=True)
class Job:
    """
    One request of a caller.

    :param at: virtual seconds.
    :param events: of its answer.
    :param hint: the caller's estimate of its output tokens.
    """

    number: int
    arrival_s: float
    zone: str
    prompt_tokens: int
    event_count: int
    output_hint: int


@dataclass(frozen=True, slots=True)
class EngineFault:
    """
    Something that goes wrong with the engine that most streams pass.

    :param how: `dies` (silent, then it comes back empty), `gone` (for good)
        or `slow`.
    :param zone: where; any zone where it is empty.
    :param strength: factor on the times of a slow engine.
    """

    kind: str
    start_s: float
    duration_s: float = 4
    zone: str = ''
    slowdown: float = 3


@dataclass(frozen=True, slots=True)
class Load:
    """
    Requests a second by zone, with a burst and troubles.

    :param answer: events of an answer, on average.
    :param burst: factor on the rates from `burst_at`, for `burst_s`.
    """

    about: str
    rates_per_s: Mapping[str, float]
    duration_s: float = 34
    mean_prompt_tokens: int = 740
    max_prompt_tokens: int = 2280
    mean_events: int = 54
    max_events: int = 166
    burst_factor: float = 1
    burst_start_s: float = 12
    burst_duration_s: float = 6
    faults: tuple[EngineFault, ...] = ()

    def jobs(self, random: Random, tokens_per_event: int) -> Iterator[Job]:
        """
        Yield all requests in order.

        :param tokens: of an event.
        """
        total = sum(self.rates_per_s.values())
        zones = tuple(self.rates_per_s)
        weights = tuple(self.rates_per_s.values())
        at: float = 0
        number = 0
        while True:
            at += random.expovariate(total * self._rate_factor(at))
            if at > self.duration_s:
                return
            number += 1
            events = _sample_size(random, self.mean_events, self.max_events)
            yield Job(
                number=number,
                arrival_s=at,
                zone=random.choices(zones, weights)[0],
                prompt_tokens=_sample_size(
                    random, self.mean_prompt_tokens, self.max_prompt_tokens
                ),
                event_count=events,
                output_hint=int(
                    events
                    * tokens_per_event
                    * random.lognormvariate(0, SIZE_SIGMA)
                ),
            )

    def _rate_factor(self, at: float) -> float:
        in_burst = 0 <= at - self.burst_start_s < self.burst_duration_s
        return self.burst_factor if in_burst else 1


def _sample_size(random: Random, mean: int, most: int) -> int:
    """
    Draw a size whose mean is near the given one.
    """
    centre = log(mean) - SIZE_SIGMA**2 / 2
    return max(1, min(most, int(random.lognormvariate(centre, SIZE_SIGMA))))


_BUSY_RATES_PER_S = MappingProxyType({'a': 13.5, 'b': 14.7, 'c': 17.1})
_CALM_RATES_PER_S = MappingProxyType({'a': 10.9, 'b': 11.9, 'c': 13.9})

LOADS: Mapping[str, Load] = MappingProxyType(
    {
        'calm': Load('the usual load', _CALM_RATES_PER_S),
        'busy': Load('a quarter more than the usual load', _BUSY_RATES_PER_S),
        'burst': Load(
            '1.7 times the busy load for 6 s',
            _BUSY_RATES_PER_S,
            burst_factor=1.7,
        ),
        'losses': Load(
            'busy; the engine that most streams pass dies three times',
            _BUSY_RATES_PER_S,
            faults=(
                EngineFault('dies', 6),
                EngineFault('gone', 15, zone='b'),
                EngineFault('dies', 25),
            ),
        ),
        'slow': Load(
            'busy; the engine that most streams pass turns slow for 8 s',
            _BUSY_RATES_PER_S,
            faults=(EngineFault('slow', 11, 8),),
        ),
    }
)
