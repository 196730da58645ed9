"""
Ways to share out the probing of one target, run in virtual time.

Every way passes word on at once: when one prober finds the target dead, a
second one looks for itself, as in the paper's proxy-bye.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from statistics import mean

from mallowcrank.membership.probing import (
    PROBE_INTERVAL_S,
    PROBE_RETRY_DELAY_S,
    PROBE_TIMEOUT_S,
    PROBERS_PER_TARGET,
)
from scripts.virtual_time import START_S, VirtualTime

SETTLE_S = 60  # before the rates are counted
COUNTED_S = 60
DEATHS = 20
LEAST_DELAY_S = 0.5  # that a prober waits, as in the paper
FOUND_S = 2 * PROBE_TIMEOUT_S + PROBE_RETRY_DELAY_S + PROBE_TIMEOUT_S


@dataclass(frozen=True)
class ProbingStrategy:
    """
    One way to probe.

    :param probers: how many of so many agents probe a target.
    :param rate: probes a second that the target grants to all, or 0 where
        each prober has a period of its own.
    """

    name: str
    probers: Callable[[int], int]
    rate: float = 0


STRATEGIES = (
    ProbingStrategy('everyone', lambda agents: agents),
    ProbingStrategy('set by the target, 10/s', lambda agents: agents, 10),
    ProbingStrategy('set by the target, 0.5/s', lambda agents: agents, 0.5),
    ProbingStrategy(
        'shared out', lambda agents: min(agents, PROBERS_PER_TARGET)
    ),
)


@dataclass(frozen=True)
class Outcome:
    """
    What one way cost and brought.

    :param rate: probes a second at the target.
    :param peak: the most probes in one second, with all joining at once.
    :param found_s: seconds from the target's death to its being found.
    """

    rate: float
    peak: int
    detection_s: float


class ProbedTarget:
    """
    A target and its probers in virtual time.
    """

    def __init__(self, way: ProbingStrategy, agents: int, seed: int) -> None:
        self.time = VirtualTime()
        self.probe_times: list[float] = []
        self.is_dead = False
        self.detected_at: float | None = None
        self._way = way
        self._free = self.time.now
        chance = random.Random(seed)
        for place in range(way.probers(agents)):
            first = chance.random() * PROBE_INTERVAL_S
            if way.name == 'shared out':
                first = place * PROBE_INTERVAL_S / PROBERS_PER_TARGET
            self.time.call_later(first if not way.rate else 0, self._probe)

    def _probe(self) -> None:
        if self.is_dead:
            if self.detected_at is None:
                self.detected_at = self.time.now + FOUND_S
            return
        self.probe_times.append(self.time.now - START_S)
        self.time.call_later(self._delay(), self._probe)

    def _delay(self) -> float:
        if not self._way.rate:
            return PROBE_INTERVAL_S
        # Equation (2) of the paper: the next free slot of the target.
        least = LEAST_DELAY_S - (self._free - self.time.now)
        self._free += max(1 / self._way.rate, least)
        return self._free - self.time.now


def run_strategy(way: ProbingStrategy, agents: int) -> Outcome:
    """
    Run one way through several deaths.
    """
    found, rates, peaks = [], [], []
    for seed in range(DEATHS):
        target = ProbedTarget(way, agents, seed)
        target.time.run(SETTLE_S + COUNTED_S)
        counted = [at for at in target.probe_times if at > SETTLE_S]
        rates.append(len(counted) / COUNTED_S)
        peaks.append(
            max(Counter(int(at) for at in target.probe_times).values())
        )
        target.time.run(random.Random(seed).random() * PROBE_INTERVAL_S)
        died = target.time.now
        target.is_dead = True
        target.time.run_until(
            lambda each=target: each.detected_at is not None, 900
        )
        found.append(target.detected_at - died)
    return Outcome(mean(rates), max(peaks), mean(found))
