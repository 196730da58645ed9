"""
Retry budgets: retries are a part of the first tries, whatever fails.
"""

from dataclasses import dataclass

RETRIES_PER_FIRST_TRY = 0.1
BURST_RETRIES = 10  # retries that a quiet pool may spend at once
REFILL_PER_S = 1  # so that a pool with few calls can retry


@dataclass(slots=True)
class RetryBudget:
    """
    The retries that one pool of targets may still spend.

    :param updated: steady time of the last refill, in seconds.
    """

    refilled_at_s: float
    left: float = BURST_RETRIES

    def count_first_try(self) -> None:
        """
        Take in a first try.
        """
        self.left = min(BURST_RETRIES, self.left + RETRIES_PER_FIRST_TRY)

    def spend(self, now: float) -> bool:
        """
        Spend one retry, where one is left.
        """
        refill = (now - self.refilled_at_s) * REFILL_PER_S
        self.left = min(BURST_RETRIES, self.left + max(0, refill))
        self.refilled_at_s = now
        if self.left < 1:
            return False
        self.left -= 1
        return True


class RetryBudgets:
    """
    The budgets of all pools.
    """

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}

    def count_first_try(self, serves: str, now: float) -> None:
        """
        Take in a first try.
        """
        self._budget(serves, now).count_first_try()

    def spend(self, serves: str, now: float) -> bool:
        """
        Spend one retry, where one is left.
        """
        return self._budget(serves, now).spend(now)

    def _budget(self, serves: str, now: float) -> RetryBudget:
        known = self._budgets.get(serves)
        if known is None:
            known = RetryBudget(now)
            self._budgets[serves] = known
        return known
