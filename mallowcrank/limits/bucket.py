"""
Token bucket whose rate may change.
"""

from dataclasses import dataclass

BURST_S = 1  # of the rate that a full bucket holds


@dataclass(slots=True)
class Bucket:
    """
    A token bucket for one rate limit.

    :param left: units that may be used; negative while overdrawn.
    :param refilled_at_s: steady time of the last refill, in seconds.
    """

    left: float
    refilled_at_s: float

    def refill(self, rate: float, now: float) -> None:
        """
        Add the units since the last refill.

        :param rate: units per second.
        :param now: steady time, in seconds.
        """
        filled = self.left + rate * max(0, now - self.refilled_at_s)
        self.left = min(bucket_capacity(rate), filled)
        self.refilled_at_s = now

    def wait_s(self, rate: float) -> float:
        """
        Return the seconds until units are left, 0 if some are.

        :param rate: units per second.
        """
        if self.left > 0:
            return 0
        return (0.001 - self.left) / max(rate, 0.001)


def bucket_capacity(rate: float) -> float:
    """
    Return the capacity of a bucket, at least one unit.

    :param rate: units per second.
    """
    return max(1, rate * BURST_S)
