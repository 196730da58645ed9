"""
Ejection of failing targets, their trial after it, and slow start.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 8
FAILURES_TO_EJECT = 3  # in a row, if calls fail but connections work
FAILURE_GROUPING_S = 0.25  # failures within this time count once
SLOW_START_S = 3
LOWEST_WEIGHT = 0.25  # at the start of the slow start
# One such failure ejects at once.
FATAL_REASONS = frozenset(('no answer', 'the call went silent'))


@dataclass(frozen=True, slots=True)
class TargetHealth:
    """
    The health of a target, as observed by this router's calls.

    :param incarnation: incarnation of the target that was observed.
    :param failures: failures in a row.
    :param failed_at_s: steady time of the last failure, in seconds.
    :param ejections: ejections in a row; each doubles the duration.
    :param ejected_until_s: steady time in seconds, 0 if never ejected.
    :param on_trial: whether it was ejected and has not answered since.
    :param slow_start_at_s: steady time at which its slow start began, in
        seconds.
    """

    incarnation: int = 0
    failures: int = 0
    failed_at_s: float = 0
    ejections: int = 0
    ejected_until_s: float = 0
    on_trial: bool = False
    slow_start_at_s: float = float('-inf')


def after_failure(
    health: TargetHealth, now: float, reason: str
) -> TargetHealth:
    """
    Return the health after a failed call.

    :param now: steady time, in seconds.
    :param reason: the failure; those in `FATAL_REASONS` eject at once.
    """
    if health.failures and now - health.failed_at_s < FAILURE_GROUPING_S:
        return health
    failures = health.failures + 1
    failed = replace(health, failures=failures, failed_at_s=now)
    is_ejected_now = failures >= FAILURES_TO_EJECT or reason in FATAL_REASONS
    if not is_ejected_now and not health.on_trial:
        return failed
    duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**health.ejections)
    return replace(
        failed,
        failures=0,
        ejections=min(health.ejections + 1, 8),
        ejected_until_s=now + duration_s,
        on_trial=True,
    )


def after_success(health: TargetHealth, now: float) -> TargetHealth:
    """
    Return the health after a successful call.

    :param now: steady time, in seconds.
    """
    if health.on_trial:
        if now < health.ejected_until_s:
            return health
        return replace(
            health,
            failures=0,
            ejections=health.ejections - 1,
            on_trial=False,
            slow_start_at_s=now,
        )
    if health.ejections and now - health.slow_start_at_s > 2 * SLOW_START_S:
        return replace(health, failures=0, ejections=0)
    return replace(health, failures=0) if health.failures else health


def is_ejected(health: TargetHealth, now: float) -> bool:
    """
    Return whether a target is ejected, so that it gets no work.
    """
    return now < health.ejected_until_s


def weight(health: TargetHealth, now: float) -> float:
    """
    Return the share of the normal work that a target should get.

    :returns: `LOWEST_WEIGHT` to 1, which grows during the slow start.
    """
    if health.on_trial:
        return LOWEST_WEIGHT
    age = (now - health.slow_start_at_s) / SLOW_START_S
    return max(LOWEST_WEIGHT, min(1, age))


class HealthRegistry:
    """
    The health of all targets, by name.
    """

    def __init__(self) -> None:
        self._health: dict[str, TargetHealth] = {}
        self._ejected: set[str] = set()
        self._default = TargetHealth()

    @property
    def has_ejected(self) -> bool:
        """
        Return whether any target was ejected and has not answered since.
        """
        return bool(self._ejected)

    def get(self, name: str) -> TargetHealth:
        """
        Return the health of a target; of an unknown one, the default.
        """
        return self._health.get(name, self._default)

    def blocked_targets(
        self, now: float, in_flight: Callable[[str], float]
    ) -> frozenset[str]:
        """
        Return the targets that get no new work.

        After its ejection, a target on trial gets one request at a time.

        :param now: steady time, in seconds.
        :param in_flight: returns this router's work in flight at a target.
        """
        return frozenset(
            name
            for name in self._ejected
            if is_ejected(self.get(name), now) or in_flight(name)
        )

    def add_target(self, name: str, incarnation: int, now: float) -> None:
        """
        Add a new or restarted target, which begins its slow start.
        """
        self._health[name] = TargetHealth(
            incarnation=incarnation, slow_start_at_s=now
        )
        self._ejected.discard(name)

    def record_failure(
        self, name: str, incarnation: int, now: float, reason: str
    ) -> None:
        """
        Record a failed call; one to an earlier incarnation is ignored.
        """
        known = self.get(name)
        if incarnation < known.incarnation:
            return
        health = after_failure(known, now, reason)
        self._health[name] = health
        if health.on_trial:
            self._ejected.add(name)

    def record_success(self, name: str, now: float) -> None:
        """
        Record a successful call.
        """
        known = self._health.get(name)
        if known is not None:
            health = after_success(known, now)
            self._health[name] = health
            if not health.on_trial:
                self._ejected.discard(name)

    def remove_target(self, name: str) -> None:
        """
        Remove a target that is gone.
        """
        self._health.pop(name, None)
        self._ejected.discard(name)
