"""
The load: which requests come when, and what goes wrong meanwhile.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import log
from random import Random
from types import MappingProxyType

SPREAD = 0.7  # of a logarithm; a tenth of the sizes is 2.5 times the median


@dataclass(frozen=True, slots=True)
class Job:
    """
    One request of a caller.

    :param at: virtual seconds.
    :param events: of its answer.
    :param hint: the caller's estimate of its output tokens.
    """

    number: int
    at: float
    zone: str
    prompt: int
    events: int
    hint: int


@dataclass(frozen=True, slots=True)
class Trouble:
    """
    Something that goes wrong with the engine that most streams pass.

    :param how: `dies` (silent, then it comes back empty), `gone` (for good)
        or `slow`.
    :param zone: where; any zone where it is empty.
    :param strength: factor on the times of a slow engine.
    """

    how: str
    at: float
    for_s: float = 4
    zone: str = ''
    strength: float = 3


@dataclass(frozen=True, slots=True)
class Load:
    """
    Requests a second by zone, with a burst and troubles.

    :param answer: events of an answer, on average.
    :param burst: factor on the rates from `burst_at`, for `burst_s`.
    """

    about: str
    per_s: Mapping[str, float]
    seconds: float = 34
    prompt: int = 740
    most_prompt: int = 2280
    answer: int = 54
    most_answer: int = 166
    burst: float = 1
    burst_at: float = 12
    burst_s: float = 6
    troubles: tuple[Trouble, ...] = ()

    def jobs(self, random: Random, tokens: int) -> Iterator[Job]:
        """
        Yield all requests in order.

        :param tokens: of an event.
        """
        total = sum(self.per_s.values())
        zones = tuple(self.per_s)
        weights = tuple(self.per_s.values())
        at: float = 0
        number = 0
        while True:
            at += random.expovariate(total * self._factor(at))
            if at > self.seconds:
                return
            number += 1
            events = _sized(random, self.answer, self.most_answer)
            yield Job(
                number=number,
                at=at,
                zone=random.choices(zones, weights)[0],
                prompt=_sized(random, self.prompt, self.most_prompt),
                events=events,
                hint=int(events * tokens * random.lognormvariate(0, SPREAD)),
            )

    def _factor(self, at: float) -> float:
        in_burst = 0 <= at - self.burst_at < self.burst_s
        return self.burst if in_burst else 1


def _sized(random: Random, mean: int, most: int) -> int:
    """
    Draw a size whose mean is near the given one.
    """
    centre = log(mean) - SPREAD**2 / 2
    return max(1, min(most, int(random.lognormvariate(centre, SPREAD))))


_EVEN = MappingProxyType({'a': 13.5, 'b': 14.7, 'c': 17.1})
_CALM = MappingProxyType({'a': 10.9, 'b': 11.9, 'c': 13.9})

LOADS: Mapping[str, Load] = MappingProxyType(
    {
        'calm': Load('the usual load', _CALM),
        'busy': Load('a quarter more than the usual load', _EVEN),
        'burst': Load('1.7 times the busy load for 6 s', _EVEN, burst=1.7),
        'losses': Load(
            'busy; the engine that most streams pass dies three times',
            _EVEN,
            troubles=(
                Trouble('dies', 6),
                Trouble('gone', 15, zone='b'),
                Trouble('dies', 25),
            ),
        ),
        'slow': Load(
            'busy; the engine that most streams pass turns slow for 8 s',
            _EVEN,
            troubles=(Trouble('slow', 11, 8),),
        ),
    }
)
