"""
Strategies that divide the probing of one target, run in virtual time.

In each strategy a prober that finds the target dead informs the others at once,
and a second prober confirms it with its own probe, as in the paper's proxy-bye.
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

WARM_UP_S = 60  # before probes are counted
COUNTED_S = 60
DEATHS = 20
MIN_DELAY_S = 0.5  # between two probes of one prober, as in the paper
CONFIRMATION_S = 2 * PROBE_TIMEOUT_S + PROBE_RETRY_DELAY_S + PROBE_TIMEOUT_S


@dataclass(frozen=True)
class ProbingStrategy:
    """
    One probing strategy.

    :param probers: returns how many agents probe a target, from their total.
    :param rate: probes a second that the target allows in all, or 0 if each
        prober has its own fixed period.
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
    Results of one strategy.

    :param rate: probes a second at the target.
    :param peak: maximum number of probes in one second; all probers join at
        once.
    :param detection_s: seconds from the target's death to its detection.
    """

    rate: float
    peak: int
    detection_s: float


class ProbedTarget:
    """
    A target and its probers in virtual time.
    """

    def __init__(
        self, strategy: ProbingStrategy, agents: int, seed: int
    ) -> None:
        self.time = VirtualTime()
        self.probe_times: list[float] = []
        self.is_dead = False
        self.detected_at: float | None = None
        self._strategy = strategy
        self._next_slot = self.time.now
        rng = random.Random(seed)
        for place in range(strategy.probers(agents)):
            first_delay_s = rng.random() * PROBE_INTERVAL_S
            if strategy.name == 'shared out':
                first_delay_s = place * PROBE_INTERVAL_S / PROBERS_PER_TARGET
            self.time.call_later(
                first_delay_s if not strategy.rate else 0, self._probe
            )

    def _probe(self) -> None:
        if self.is_dead:
            if self.detected_at is None:
                self.detected_at = self.time.now + CONFIRMATION_S
            return
        self.probe_times.append(self.time.now - START_S)
        self.time.call_later(self._next_delay_s(), self._probe)

    def _next_delay_s(self) -> float:
        if not self._strategy.rate:
            return PROBE_INTERVAL_S
        # Equation (2) of the paper: the next free slot of the target.
        min_advance_s = MIN_DELAY_S - (self._next_slot - self.time.now)
        self._next_slot += max(1 / self._strategy.rate, min_advance_s)
        return self._next_slot - self.time.now


def run_strategy(strategy: ProbingStrategy, agents: int) -> Outcome:
    """
    Run one strategy through several deaths of the target.

    :param agents: number of agents.
    """
    detection_times, rates, peaks = [], [], []
    for seed in range(DEATHS):
        target = ProbedTarget(strategy, agents, seed)
        target.time.run(WARM_UP_S + COUNTED_S)
        counted = [at for at in target.probe_times if at > WARM_UP_S]
        rates.append(len(counted) / COUNTED_S)
        peaks.append(
            max(Counter(int(at) for at in target.probe_times).values())
        )
        target.time.run(random.Random(seed).random() * PROBE_INTERVAL_S)
        died_at = target.time.now
        target.is_dead = True
        target.time.run_until(
            lambda each=target: each.detected_at is not None, 900
        )
        detection_times.append(target.detected_at - died_at)
    return Outcome(mean(rates), max(peaks), mean(detection_times))
