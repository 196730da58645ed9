"""
What targets say of their own limits, as far as this gateway knows.
"""

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.ports import ResponseFields
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.limits.named import LimitObservation, supersedes

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

    def rate(self, lifetime: Lifetime) -> float | None:
        """
        Return the limit that a target names, in requests per second, if any.
        """
        known = self._known.get(lifetime)
        return known.rate_per_s if known else None

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

    def apply(self, lifetime: Lifetime, observed: LimitObservation) -> None:
        """
        Apply an observation of this or of another gateway.
        """
        known = self._known.get(lifetime)
        if not supersedes(observed, known):
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
        if rate is None:
            change = 'ended'
            self._meters.target_limits.remove(lifetime.identity)
        else:
            change = 'named' if before is None else 'changed'
            self._meters.target_limits.labels(lifetime.identity).set(rate)
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
        self._journal.say(
            'limits: invalid target limit',
            target=lifetime.identity,
            born_ms=lifetime.born_ms,
            why=problem,
            rate=self.rate(lifetime),
        )
