"""
The report of a run, written to JSON.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from mallowcrank.load.bound import bound_of
from mallowcrank.load.evidence import Evidence
from mallowcrank.load.figures import (
    Window,
    between_tokens_seconds,
    branch_shares,
    call_seconds,
    completed_completions,
    count_outcomes,
    first_token_seconds,
    leaving_to_last_work_seconds,
    recovery_seconds,
    throughput,
)
from mallowcrank.load.judge import Verdict, judge
from mallowcrank.load.latency import percentiles_ms
from mallowcrank.load.promises import PROMISES, PromiseFields
from mallowcrank.load.records import CallRecord, Outcome
from mallowcrank.load.scenario import Scenario
from mallowcrank.load.site import Site

ALERT_SERVICE = 'alert'
MAX_FINDINGS_PER_KIND = 20


@dataclass(frozen=True)
class RunTimes:
    """
    The times of a run, in seconds since the epoch.

    :param fault_at: time of the first fault, or `None`.
    """

    window: Window
    fault_at: float | None = None


@dataclass(frozen=True)
class Report(PromiseFields):
    """
    All figures; times are in seconds, those with `_ms` in milliseconds.

    :param unknown: calls for which the caller can't tell whether they ran.
    :param recovery_keyed_s: as `recovery_s`, for calls that must not be
        repeated: only the router that has their key can continue them.
    :param bound: the upper bound of the engines' tokens per second.
    :param findings: the first findings for each broken promise.
    """

    scenario: str
    seed: int
    requests: int
    completed: int
    refused_not_run: int
    unknown: int
    lost: int
    doubled: int
    crossed: int
    layer_violations: int
    false_refusals: int
    late_settings: int
    idle_faults: int
    throughput: float
    bound: float
    ratio: float
    recovery_s: float | None
    recovery_keyed_s: float | None
    first_token_ms: dict[str, float]
    between_tokens_ms: dict[str, float]
    alert_ms: dict[str, float]
    branch_shares: dict[str, float]
    config_in_force_s: float | None
    leaving_last_work_s: float | None
    refusals: dict[str, int] = field(default_factory=dict)
    findings: dict[str, list[str]] = field(default_factory=dict)


def make_report(
    scenario: Scenario,
    seed: int,
    site: Site,
    evidence: Evidence,
    times: RunTimes,
) -> Report:
    """
    Check a run against the promises and compute its figures.
    """
    records = evidence.records
    outcomes = count_outcomes(records)
    violations = _findings_of(judge(evidence))
    achieved = throughput(records, times.window)
    model = next(iter(site.layers))
    completions = completed_completions(records)
    bound = bound_of(scenario, site, model, completions).tokens_per_s
    return Report(
        scenario=scenario.name,
        seed=seed,
        requests=len(records),
        completed=outcomes[Outcome.COMPLETED],
        refused_not_run=outcomes[Outcome.REFUSED_NOT_RUN],
        unknown=outcomes[Outcome.UNKNOWN],
        **{name: len(found) for name, found in violations.items()},
        throughput=round(achieved, 2),
        bound=round(bound, 2),
        ratio=round(achieved / bound, 4) if bound else 0,
        recovery_s=_find_recovery(records, times, repeatable=True),
        recovery_keyed_s=_find_recovery(records, times, repeatable=False),
        first_token_ms=percentiles_ms(first_token_seconds(records)),
        between_tokens_ms=percentiles_ms(between_tokens_seconds(records)),
        alert_ms=percentiles_ms(call_seconds(records, ALERT_SERVICE)),
        branch_shares=branch_shares(records, times.window),
        config_in_force_s=evidence.observations.config_in_force_s,
        leaving_last_work_s=leaving_to_last_work_seconds(evidence.trace),
        refusals=_count_refusals(evidence),
        findings={
            name: list(found[:MAX_FINDINGS_PER_KIND])
            for name, found in violations.items()
            if found
        },
    )


def _find_recovery(
    records: Sequence[CallRecord], times: RunTimes, *, repeatable: bool
) -> float | None:
    if times.fault_at is None:
        return None
    chosen = [each for each in records if each.plan.repeatable is repeatable]
    recovery = recovery_seconds(chosen, times.fault_at)
    return None if recovery is None else round(recovery, 3)


def _count_refusals(evidence: Evidence) -> dict[str, int]:
    """
    Count failed tries by reason.
    """
    counts: dict[str, int] = {}
    for record in evidence.records:
        for each in record.tries:
            if each.problem:
                reason = f'{each.code or "broken"}, ran: {each.ran or "untold"}'
                counts[reason] = counts.get(reason, 0) + 1
    return counts


def _findings_of(verdict: Verdict) -> dict[str, tuple[str, ...]]:
    return {name: getattr(verdict, name) for name in PROMISES}
