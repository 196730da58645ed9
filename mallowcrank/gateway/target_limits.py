"""
What targets say of their own limits, as far as this gateway knows.
"""

from collections.abc import Callable, Mapping
from dataclasses import replace
from heapq import nlargest

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.ports import ResponseFields
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.limits.named import (
    RELAY_MARGIN_S,
    LimitObservation,
    LimitReport,
    supersedes,
)

ENDED_TTL_S = 10  # for which other gateways are told that a limit has ended
UNKNOWN_TARGET_TTL_S = 5
MAX_SHARED = 16  # targets in a status, those observed last
MAX_LOGGED_PROBLEMS = 256  # targets; the log repeats a problem after that


class TargetLimits:
    """
    The newest observation of each target that has named a limit.
    """

    def __init__(self, host: str, journal: Journal, meters: Meters) -> None:
        self._host = host
        self._journal = journal
        self._meters = meters
        self._known: dict[Lifetime, LimitObservation] = {}
        self._logged_problems: dict[Lifetime, str] = {}

    def find(self, lifetime: Lifetime) -> LimitObservation | None:
        """
        Return the observation that names a target's limit, if one is in force.
        """
        known = self._known.get(lifetime)
        return known if known and known.rate_per_s is not None else None

    def in_force(self) -> list[Lifetime]:
        """
        Return the targets that name a limit.
        """
        return [
            lifetime
            for lifetime, known in self._known.items()
            if known.rate_per_s is not None
        ]

    def reports(self) -> Mapping[Lifetime, LimitReport]:
        """
        Return the observations as they are sent to the other gateways.
        """
        now = monotonic_s()
        ended_since = now - ENDED_TTL_S
        recent = [
            (lifetime, known)
            for lifetime, known in self._known.items()
            if known.rate_per_s is not None or known.received_at > ended_since
        ]
        newest = nlargest(
            MAX_SHARED, recent, key=lambda pair: pair[1].received_at
        )
        return {lifetime: known.report(now) for lifetime, known in newest}

    def forget_missing(self, is_current: Callable[[Lifetime], bool]) -> None:
        """
        Forget the limits of lifetimes that have ended.

        Other gateways may know a target some seconds before this one does.
        """
        known_since = monotonic_s() - UNKNOWN_TARGET_TTL_S
        for lifetime, known in list(self._known.items()):
            if known.received_at > known_since or is_current(lifetime):
                continue
            self._known.pop(lifetime)
            if known.rate_per_s is not None:
                self._log_change(
                    lifetime, known.rate_per_s, replace(known, rate_per_s=None)
                )

    def record_answer(
        self, lifetime: Lifetime, fields: ResponseFields, sent_at: float
    ) -> None:
        """
        Record what an answer of a target says of its limit.

        Only the answer to a request that the target ran can end a limit:
        refusals and reports may lack the header.

        :param sent_at: steady time at which the request was sent, in seconds.
        """
        if fields.rate_limit_problem:
            self._log_problem(lifetime, fields.rate_limit_problem)
        is_unnamed = fields.rate_limit is None
        if is_unnamed and (fields.rate_limit_problem or not fields.is_genuine):
            return
        self.apply(
            lifetime,
            LimitObservation(
                rate_per_s=fields.rate_limit,
                sent_at=sent_at,
                received_at=monotonic_s(),
                source=self._host,
            ),
        )

    def apply_report(self, lifetime: Lifetime, report: LimitReport) -> None:
        """
        Apply an observation of another gateway.
        """
        observed = report.observation(monotonic_s())
        self.apply(lifetime, observed, RELAY_MARGIN_S)

    def apply(
        self,
        lifetime: Lifetime,
        observed: LimitObservation,
        margin_s: float = 0,
    ) -> None:
        """
        Apply an observation.

        :param margin_s: by which it has to be newer than the known one if it
            says the same, in seconds.
        """
        known = self._known.get(lifetime)
        if not supersedes(observed, known, margin_s):
            return
        self._known[lifetime] = observed
        before = known.rate_per_s if known else None
        if before != observed.rate_per_s:
            self._log_change(lifetime, before, observed)

    def _log_change(
        self,
        lifetime: Lifetime,
        before: float | None,
        observed: LimitObservation,
    ) -> None:
        rate = observed.rate_per_s
        change = 'ended'
        if rate is not None:
            change = 'named' if before is None else 'changed'
        self._meters.set_target_limit(lifetime, rate)
        self._journal.say(
            f'limits: target limit {change}',
            target=lifetime.identity,
            born_ms=lifetime.born_ms,
            rate=rate,
            before=before,
            source=observed.source,
            age_s=round(monotonic_s() - observed.received_at, 3),
        )

    def _log_problem(self, lifetime: Lifetime, problem: str) -> None:
        if self._logged_problems.get(lifetime) == problem:
            return
        if len(self._logged_problems) >= MAX_LOGGED_PROBLEMS:
            self._logged_problems.clear()
        self._logged_problems[lifetime] = problem
        known = self.find(lifetime)
        self._journal.say(
            'limits: invalid target limit',
            target=lifetime.identity,
            born_ms=lifetime.born_ms,
            why=problem,
            rate=known.rate_per_s if known else None,
        )
