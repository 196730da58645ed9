"""
Reported loads, corrected by what this router has in flight itself.
"""

from mallowcrank.view import Target

ROUNDING = 1e-6  # of work in flight that is counted up and down
SMOOTHING = 0.2  # weight of the newest call in the mean slowdown


class LoadBook:
    """
    Work in flight by target, in streams that run all layers of the target.

    A report lags, so that it lacks what this router has sent since, and holds
    what has ended since. Both are known here and are made up for.
    """

    def __init__(self) -> None:
        self._own: dict[str, float] = {}
        self._at_report: dict[str, float] = {}
        self._reported: dict[str, Target] = {}
        self._slowdown: dict[str, float] = {}

    def own(self, name: str) -> float:
        """
        Return what this router has in flight at a target.
        """
        return self._own.get(name, 0)

    def slowdown(self, name: str) -> float:
        """
        Return the mean time of this router's calls over an idle step's time.
        """
        return self._slowdown.get(name, 1)

    def estimate(self, target: Target) -> float:
        """
        Return the corrected load.
        """
        own = self._own.get(target.name, 0)
        since = own - self._at_report.get(target.name, 0)
        return max(own, target.load + since)

    def take(self, name: str, share: float) -> None:
        """
        Count work as in flight.

        :param share: layers to run, as a part of those held.
        """
        self._own[name] = self._own.get(name, 0) + share

    def give_back(self, name: str, share: float) -> None:
        """
        Count work as done.
        """
        left = self._own.get(name, 0) - share
        if left > ROUNDING:
            self._own[name] = left
        else:
            self._own.pop(name, None)

    def report(self, target: Target) -> None:
        """
        Take in what the view says; a changed load is a new report.
        """
        known = self._reported.get(target.name)
        if known is target:
            return
        self._reported[target.name] = target
        if known is None or known.load != target.load:
            self._at_report[target.name] = self.own(target.name)

    def answered(self, target: Target, seconds: float, link_ms: float) -> None:
        """
        Take in the time of one call of this router.
        """
        step_s = (target.step_ms + link_ms) / 1000
        ratio = max(1, seconds / step_s) if step_s > 0 else 1
        known = self.slowdown(target.name)
        self._slowdown[target.name] = known + SMOOTHING * (ratio - known)

    def forget(self, name: str) -> None:
        """
        Forget a target that is gone; work in flight is given back later.
        """
        for book in (self._at_report, self._reported, self._slowdown):
            book.pop(name, None)
