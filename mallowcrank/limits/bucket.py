"""
A token bucket whose rate may change.
"""

from dataclasses import dataclass

BURST_S = 1  # seconds of its rate that a bucket holds


@dataclass(slots=True)
class Bucket:
    """
    What is left of one rate.

    :param updated: steady time of the last refill, in seconds.
    """

    left: float
    refilled_at_s: float

    def refill(self, rate: float, now: float) -> None:
        """
        Add what has come in.

        :param rate: units a second.
        """
        filled = self.left + rate * max(0, now - self.refilled_at_s)
        self.left = min(bucket_capacity(rate), filled)
        self.refilled_at_s = now

    def wait_s(self, rate: float) -> float:
        """
        Return seconds until something is left; 0 where something is.
        """
        if self.left > 0:
            return 0
        return (0.001 - self.left) / max(rate, 0.001)


def bucket_capacity(rate: float) -> float:
    """
    Return what a full bucket holds: one unit at least.
    """
    return max(1, rate * BURST_S)
