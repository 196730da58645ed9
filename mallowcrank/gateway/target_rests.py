"""
Times for which targets want no requests of this gateway.
"""

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.targets import Lifetime

MAX_REST_S = 3600  # that a target may ask for


class TargetRests:
    """
    Targets that have refused a request and named a time.
    """

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._until: dict[Lifetime, float] = {}

    def left_s(self, lifetime: Lifetime) -> float:
        """
        Return for how many seconds a target wants no request.
        """
        return max(0, self._until.get(lifetime, 0) - monotonic_s())

    def resting(self) -> set[Lifetime]:
        """
        Return the targets that want no request now.
        """
        now = monotonic_s()
        return {each for each, until in self._until.items() if now < until}

    def record(self, lifetime: Lifetime, seconds: float, request: str) -> None:
        """
        Record that a target wants no requests for a time.

        :param request: the request that it refused, for the log.
        """
        seconds = min(MAX_REST_S, seconds)
        if not self.left_s(lifetime):
            self._journal.say(
                'limits: target wants no requests',
                target=lifetime.identity,
                born_ms=lifetime.born_ms,
                rest_s=seconds,
                request=request,
            )
        until = monotonic_s() + seconds
        self._until[lifetime] = max(until, self._until.get(lifetime, 0))

    def forget_ended(self) -> None:
        """
        Forget the times that are over.
        """
        resting = self.resting()
        self._until = {
            each: until
            for each, until in self._until.items()
            if each in resting
        }
