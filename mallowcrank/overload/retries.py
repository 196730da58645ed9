"""
Retry budgets: retries stay a share of the first tries, even if all fail.
"""

from dataclasses import dataclass

RETRIES_PER_FIRST_TRY = 0.1
BURST_RETRIES = 10  # retries that an idle pool may spend at once
REFILL_PER_S = 1  # lets a pool with few calls retry


@dataclass(slots=True)
class RetryBudget:
    """
    The remaining retries of one pool of targets.

    :param refilled_at_s: steady time of the last refill, in seconds.
    :param left: retries that may be spent.
    """

    refilled_at_s: float
    left: float = BURST_RETRIES

    def count_first_try(self) -> None:
        """
        Count a first try, which adds to the budget.
        """
        self.left = min(BURST_RETRIES, self.left + RETRIES_PER_FIRST_TRY)

    def spend(self, now: float) -> bool:
        """
        Spend one retry if the budget allows it.

        :param now: steady time, in seconds.
        :returns: whether a retry was spent.
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
    Retry budgets, by the model or service that a pool serves.
    """

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}

    def count_first_try(self, serves: str, now: float) -> None:
        """
        Count a first try, which adds to the budget.
        """
        self._budget(serves, now).count_first_try()

    def spend(self, serves: str, now: float) -> bool:
        """
        Spend one retry if the budget allows it.

        :param now: steady time, in seconds.
        :returns: whether a retry was spent.
        """
        return self._budget(serves, now).spend(now)

    def _budget(self, serves: str, now: float) -> RetryBudget:
        budget = self._budgets.get(serves)
        if budget is None:
            budget = RetryBudget(now)
            self._budgets[serves] = budget
        return budget
