"""
Ejection of targets that fail, their careful return, and slow start.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 8
FAILURES_TO_EJECT = 3  # in a row, where calls fail but connections work
FAILURE_GROUPING_S = 0.25  # failures this close count once
SLOW_START_S = 3
LOWEST_WEIGHT = 0.25  # of a target at the start of its slow start
FATAL_REASONS = frozenset(
    ('no answer', 'the call went silent')
)  # eject at once


@dataclass(frozen=True, slots=True)
class TargetHealth:
    """
    What this router's own calls say of a target.

    :param incarnation: the target's life that this is about.
    :param failures: in a row.
    :param failed_at: steady time of the last one, in seconds.
    :param ejections: in a row; each doubles the time.
    :param ejected_until: steady time, or 0 when it was never ejected.
    :param on_trial: whether it came back and has not answered yet.
    :param began: steady time at which its slow start began.
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
    """
    if health.failures and now - health.failed_at_s < FAILURE_GROUPING_S:
        return health
    failures = health.failures + 1
    failed = replace(health, failures=failures, failed_at_s=now)
    enough = failures >= FAILURES_TO_EJECT or reason in FATAL_REASONS
    if not enough and not health.on_trial:
        return failed
    length = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**health.ejections)
    return replace(
        failed,
        failures=0,
        ejections=min(health.ejections + 1, 8),
        ejected_until_s=now + length,
        on_trial=True,
    )


def after_success(health: TargetHealth, now: float) -> TargetHealth:
    """
    Return the health after an answered call.
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
    Tell whether a target gets no work for now.
    """
    return now < health.ejected_until_s


def weight(health: TargetHealth, now: float) -> float:
    """
    Return the part of its normal work that a target should get.
    """
    if health.on_trial:
        return LOWEST_WEIGHT
    age = (now - health.slow_start_at_s) / SLOW_START_S
    return max(LOWEST_WEIGHT, min(1, age))


class HealthRegistry:
    """
    The health of all targets that this router knows.
    """

    def __init__(self) -> None:
        self._health: dict[str, TargetHealth] = {}
        self._ejected: set[str] = set()
        self._fresh = TargetHealth()

    @property
    def has_ejected(self) -> bool:
        """
        Tell whether any target was ejected and has not answered since.
        """
        return bool(self._ejected)

    def get(self, name: str) -> TargetHealth:
        """
        Return a target's health.
        """
        return self._health.get(name, self._fresh)

    def blocked_targets(
        self, now: float, in_flight: Callable[[str], float]
    ) -> frozenset[str]:
        """
        Return the targets that get no new work.

        One that is on trial gets one piece of work at a time.

        :param in_flight: returns what this router has at a target.
        """
        return frozenset(
            name
            for name in self._ejected
            if is_ejected(self.get(name), now) or in_flight(name)
        )

    def add_target(self, name: str, incarnation: int, now: float) -> None:
        """
        Begin the slow start of a target that is new or restarted.
        """
        self._health[name] = TargetHealth(
            incarnation=incarnation, slow_start_at_s=now
        )
        self._ejected.discard(name)

    def record_failure(
        self, name: str, incarnation: int, now: float, reason: str
    ) -> None:
        """
        Take in a failed call; one to an earlier life says nothing.
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
        Take in an answered call.
        """
        known = self._health.get(name)
        if known is not None:
            health = after_success(known, now)
            self._health[name] = health
            if not health.on_trial:
                self._ejected.discard(name)

    def remove_target(self, name: str) -> None:
        """
        Forget a target that is gone.
        """
        self._health.pop(name, None)
        self._ejected.discard(name)
