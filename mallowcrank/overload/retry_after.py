"""
Retry-After times for refused callers.

Each caller gets its own time, spaced by the rate at which requests start. So
callers that comply don't all retry at once, and there is capacity for them
when they do.
"""

MAX_RETRY_AFTER_S = 30  # longest delay that a refusal names


class RetryAfterSchedule:
    """
    Assigns the retry times of one pool.
    """

    def __init__(self) -> None:
        self._next_at_s: float = 0

    def assign_delay_s(
        self, now: float, min_delay_s: float, rate: float
    ) -> float:
        """
        Return the delay after which a refused caller should retry.

        If all times up to the longest delay are assigned, assignment starts
        again from the earliest, so these callers share times with others.

        :param now: steady time, in seconds.
        :param min_delay_s: shortest useful delay, in seconds.
        :param rate: requests that start per second.
        :returns: seconds.
        """
        earliest = now + min_delay_s
        if self._next_at_s > now + MAX_RETRY_AFTER_S:
            self._next_at_s = earliest
        assigned = max(earliest, self._next_at_s)
        if rate > 0:
            self._next_at_s = assigned + 1 / rate
        return min(MAX_RETRY_AFTER_S, assigned - now)
