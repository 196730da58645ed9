"""
Experiments: runs of each policy under each load, with several seeds.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, fields
from statistics import mean
from typing import Any

from mallowcrank.emulator.figures import Figures
from mallowcrank.emulator.load import LOADS
from mallowcrank.emulator.policies import POLICIES
from mallowcrank.emulator.run import Run
from mallowcrank.emulator.site import THREE_ZONES, Site

COLUMNS = (
    'load',
    'policy',
    'credit',
    'worst',
    'in_aim',
    'late',
    'refused',
    'failed',
    'first_p50_ms',
    'first_p95_ms',
    'event_ms',
    'preempted',
)
RATIO_FIGURES = frozenset(
    ('credit', 'worst', 'in_aim', 'late', 'refused', 'failed')
)


@dataclass(frozen=True, slots=True)
class Trial:
    """
    One run of an experiment.
    """

    load: str
    policy: str
    seed: int
    figures: Figures


@dataclass(frozen=True, slots=True)
class Experiment:
    """
    A comparison of policies under loads.
    """

    policies: Sequence[str]
    loads: Sequence[str]
    seeds: Sequence[int]
    site: Site = THREE_ZONES

    def run_trials(
        self, report_progress: Callable[[str], None]
    ) -> Iterator[Trial]:
        """
        Run all trials, one after the other.

        :param report_progress: called with a line before each run.
        """
        for load, policy, seed in self._runs():
            report_progress(f'{load} {policy} seed {seed}')
            run = Run(self.site, POLICIES[policy], LOADS[load], seed)
            yield Trial(load, policy, seed, run.simulate())

    def _runs(self) -> Iterator[tuple[str, str, int]]:
        for load in self.loads:
            for policy in self.policies:
                yield from ((load, policy, seed) for seed in self.seeds)


def summarize_trials(trials: Sequence[Trial]) -> list[dict[str, Any]]:
    """
    Return a row for each load and policy, with means over the seeds.
    """
    groups: dict[tuple[str, str], list[Figures]] = {}
    for trial in trials:
        group = groups.setdefault((trial.load, trial.policy), [])
        group.append(trial.figures)
    return [
        {'load': load, 'policy': policy, **_means(figures)}
        for (load, policy), figures in groups.items()
    ]


def _means(figures: Sequence[Figures]) -> dict[str, float]:
    means = {}
    for field in fields(Figures):
        value = mean(getattr(each, field.name) for each in figures)
        digits = 3 if field.name in RATIO_FIGURES else 1
        means[field.name] = round(value, digits)
    return means
