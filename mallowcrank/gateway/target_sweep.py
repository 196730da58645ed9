"""
Decides which targets a gateway probes when several have turned silent.

Answers the question whether the gateway itself is cut off, which others can't
answer for it, and which other targets were lost at the same moment. In a fleet
of hundreds of targets some are lost all the time, and each gateway asks. So all
gateways together send a limited number of probes: few gateways probe all
targets, many a sample each.
"""

from collections.abc import Collection, Sequence
from random import Random

from mallowcrank.gateway.targets import Lifetime

SWEEP_PROBES = 1000  # of all gateways together
MIN_SAMPLE = 8  # of each
MAX_SILENT_SHARE = 0.5  # of a sample, from which on all others are probed
SWEEP_INTERVAL_S = 0.5


class TargetSweep:
    """
    Probes a sample of the targets first, and all of them if it is silent.

    :ivar gateways: that ask, with this one.
    """

    def __init__(self, random: Random, now: float) -> None:
        self.gateways = 1
        self._random = random
        self._swept_at = now
        self._swept_silent = 0
        self._sample: frozenset[Lifetime] = frozenset()

    def reset(self) -> None:
        """
        Start anew, as few targets are silent.
        """
        self._swept_silent = 0
        self._sample = frozenset()

    def choose(
        self,
        answering: Sequence[Lifetime],
        silent: Collection[Lifetime],
        now: float,
    ) -> Sequence[Lifetime]:
        """
        Return the targets to probe now.

        :param answering: targets that aren't known to be silent.
        :param now: steady time, in seconds.
        """
        silent_share = MAX_SILENT_SHARE * len(self._sample)
        if self._sample and len(self._sample & set(silent)) >= silent_share:
            self._sample = frozenset()
            self._record(silent, now)
            return answering
        is_due = now - self._swept_at >= SWEEP_INTERVAL_S
        if not is_due or len(silent) <= self._swept_silent:
            return ()
        size = max(MIN_SAMPLE, SWEEP_PROBES // self.gateways)
        sample = self._random.sample(answering, min(size, len(answering)))
        self._sample = frozenset(sample)
        self._record(silent, now)
        return sample

    def _record(self, silent: Collection[Lifetime], now: float) -> None:
        self._swept_at = now
        self._swept_silent = len(silent)
