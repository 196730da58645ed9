"""
Ejection of targets that fail, their careful return, and slow start.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 8
FAILURES_TO_EJECT = 3  # in a row, where calls fail but connections work
SAME_EVENT_S = 0.25  # failures this close count once
SLOW_START_S = 3
LOWEST_WEIGHT = 0.25  # of a target at the start of its slow start
FATAL = frozenset(('no answer', 'the call went silent'))  # eject at once


@dataclass(frozen=True, slots=True)
class Health:
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
    failed_at: float = 0
    ejections: int = 0
    ejected_until: float = 0
    on_trial: bool = False
    began: float = float('-inf')


def after_failure(health: Health, now: float, reason: str) -> Health:
    """
    Return the health after a failed call.
    """
    if health.failures and now - health.failed_at < SAME_EVENT_S:
        return health
    failures = health.failures + 1
    failed = replace(health, failures=failures, failed_at=now)
    enough = failures >= FAILURES_TO_EJECT or reason in FATAL
    if not enough and not health.on_trial:
        return failed
    length = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**health.ejections)
    return replace(
        failed,
        failures=0,
        ejections=min(health.ejections + 1, 8),
        ejected_until=now + length,
        on_trial=True,
    )


def after_success(health: Health, now: float) -> Health:
    """
    Return the health after an answered call.
    """
    if health.on_trial:
        if now < health.ejected_until:
            return health
        return replace(
            health,
            failures=0,
            ejections=health.ejections - 1,
            on_trial=False,
            began=now,
        )
    if health.ejections and now - health.began > 2 * SLOW_START_S:
        return replace(health, failures=0, ejections=0)
    return replace(health, failures=0) if health.failures else health


def is_ejected(health: Health, now: float) -> bool:
    """
    Tell whether a target gets no work for now.
    """
    return now < health.ejected_until


def weight(health: Health, now: float) -> float:
    """
    Return the part of its normal work that a target should get.
    """
    if health.on_trial:
        return LOWEST_WEIGHT
    age = (now - health.began) / SLOW_START_S
    return max(LOWEST_WEIGHT, min(1, age))


class HealthBook:
    """
    The health of all targets that this router knows.
    """

    def __init__(self) -> None:
        self._health: dict[str, Health] = {}
        self._ejected: set[str] = set()
        self._fresh = Health()

    @property
    def blocked(self) -> bool:
        """
        Tell whether any target was ejected and has not answered since.
        """
        return bool(self._ejected)

    def get(self, name: str) -> Health:
        """
        Return a target's health.
        """
        return self._health.get(name, self._fresh)

    def blocked_now(
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

    def appeared(self, name: str, incarnation: int, now: float) -> None:
        """
        Begin the slow start of a target that is new or restarted.
        """
        self._health[name] = Health(incarnation=incarnation, began=now)
        self._ejected.discard(name)

    def failed(
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

    def succeeded(self, name: str, now: float) -> None:
        """
        Take in an answered call.
        """
        known = self._health.get(name)
        if known is not None:
            health = after_success(known, now)
            self._health[name] = health
            if not health.on_trial:
                self._ejected.discard(name)

    def forget(self, name: str) -> None:
        """
        Forget a target that is gone.
        """
        self._health.pop(name, None)
        self._ejected.discard(name)
