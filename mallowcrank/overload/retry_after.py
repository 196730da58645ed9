"""
When callers that were refused should come back.

Each gets a time of its own, spaced by the rate at which requests start, so
that callers who obey don't all return at once and find room when they do.
"""

MAX_RETRY_AFTER_S = 30  # from a refusal to the time that it names


class RetryAfterSchedule:
    """
    Gives out the times of one pool.
    """

    def __init__(self) -> None:
        self._next: float = 0

    def assign_delay_s(
        self, now: float, min_delay_s: float, rate: float
    ) -> float:
        """
        Return the seconds after which a refused caller should come back.

        Where no time is left within the longest one, it begins anew: those
        callers share their times with others.

        :param least_s: it makes no sense to come earlier.
        :param rate: requests that start in a second.
        """
        earliest = now + min_delay_s
        if self._next > now + MAX_RETRY_AFTER_S:
            self._next = earliest
        given = max(earliest, self._next)
        if rate > 0:
            self._next = given + 1 / rate
        return min(MAX_RETRY_AFTER_S, given - now)
