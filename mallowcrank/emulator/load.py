"""
Loads: requests over time, and the faults that are injected meanwhile.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import log
from random import Random
from types import MappingProxyType

# Of the logarithm of a size: a tenth of the sizes exceeds 2.5 times the median.
SIZE_SIGMA = 0.7


@dataclass(frozen=True, slots=True)
class Job:
    """
    A request of a caller.

    :param arrival_s: in virtual seconds.
    :param event_count: events of its response.
    :param output_hint: the caller's estimate of its output tokens.
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
    A fault of the engine that has processed the most items.

    :param kind: `dies` (crashes silently and comes back empty), `gone`
        (crashes for good) or `slow`.
    :param start_s: in virtual seconds.
    :param zone: of the engine; empty for any zone.
    :param slowdown: factor on the durations of a slow engine.
    """

    kind: str
    start_s: float
    duration_s: float = 4
    zone: str = ''
    slowdown: float = 3


@dataclass(frozen=True, slots=True)
class Load:
    """
    Request rates by zone, with a burst and faults.

    :param mean_events: mean number of events of a response.
    :param burst_factor: factor on the rates from `burst_start_s` on, for
        `burst_duration_s`.
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
        Yield all requests in the order of their arrival.
        """
        total = sum(self.rates_per_s.values())
        zones = tuple(self.rates_per_s)
        weights = tuple(self.rates_per_s.values())
        now_s: float = 0
        number = 0
        while True:
            now_s += random.expovariate(total * self._rate_factor(now_s))
            if now_s > self.duration_s:
                return
            number += 1
            events = _sample_size(random, self.mean_events, self.max_events)
            yield Job(
                number=number,
                arrival_s=now_s,
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

    def _rate_factor(self, now_s: float) -> float:
        in_burst = 0 <= now_s - self.burst_start_s < self.burst_duration_s
        return self.burst_factor if in_burst else 1


def _sample_size(random: Random, mean: int, largest: int) -> int:
    """
    Draw a log-normal size of about the given mean, from 1 to a maximum.
    """
    mu = log(mean) - SIZE_SIGMA**2 / 2
    return max(1, min(largest, int(random.lognormvariate(mu, SIZE_SIGMA))))


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
