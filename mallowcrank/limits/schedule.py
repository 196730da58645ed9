"""
Permits for requests to one target that names a limit, issued by one gateway.
"""

from dataclasses import dataclass, field

from mallowcrank.limits.bucket import Bucket
from mallowcrank.overload.retry_after import RetryAfterSchedule

# The rest is for requests that were on their way when the limit fell, or when
# another gateway began to issue the permits.
GRANTED_SHARE = 0.95
MAX_WAIT_S = 0.5  # permits are issued this far ahead, at most


@dataclass(slots=True)
class PermitSchedule:
    """
    Times of permits, at the rate of the limit.

    It starts without any: another gateway may just have issued some.

    :param bucket: permits that may be issued now; negative while some are
        issued for later.
    """

    bucket: Bucket
    returns: RetryAfterSchedule = field(default_factory=RetryAfterSchedule)

    def claim(self, limit: float, now: float, max_wait_s: float) -> float:
        """
        Issue a permit, unless it would be too far ahead.

        :param limit: requests per second.
        :param now: steady time, in seconds.
        :param max_wait_s: how far ahead it may be, in seconds.
        :returns: seconds until the permit is valid; if they are more than
            allowed, there is none.
        """
        wait_s = self.wait_s(limit, now)
        if wait_s <= max_wait_s:
            self.bucket.left -= 1
        return wait_s

    def wait_s(self, limit: float, now: float) -> float:
        """
        Return the seconds until there is a permit.
        """
        rate = limit * GRANTED_SHARE
        self.bucket.refill(rate, now)
        return max(0, 1 - self.bucket.left) / rate

    def assign_return_s(self, limit: float, now: float) -> float:
        """
        Return when a refused caller should retry: each at a time of its own.

        :returns: seconds.
        """
        return self.returns.assign_delay_s(
            now, self.wait_s(limit, now), limit * GRANTED_SHARE
        )
