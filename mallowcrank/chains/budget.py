"""
The retry budget that all routers share, without a word between them.

Retries are a part of the requests in a sliding window, plus a slack. Each
router takes an even part of the slack and its own part of the requests, so
that the sum stays within the bound however requests are spread.
"""

from collections import deque
from dataclasses import dataclass

from mallowcrank.gateway.settings import Bounds

SAFETY_FACTOR = 0.8  # part of the bound that is used; routers may be miscounted


@dataclass(frozen=True, slots=True)
class SentRequest:
    """
    One request or retry.

    :param at: steady time, in seconds.
    """

    sent_at_s: float
    is_retry: bool


class RetryWindow:
    """
    The requests and retries of one service in the window.
    """

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._sent: deque[SentRequest] = deque()
        self._retries = 0

    def update_bounds(self, bounds: Bounds) -> None:
        """
        Take in changed bounds.
        """
        self._bounds = bounds

    def count_request(self, now: float) -> None:
        """
        Count a request.
        """
        self._forget(now)
        self._sent.append(SentRequest(now, is_retry=False))

    def allows_retry(self, now: float, routers: int) -> bool:
        """
        Return whether another retry stays within the budget.

        :param routers: how many routers may be spending it.
        """
        self._forget(now)
        requests = len(self._sent) - self._retries
        slack = self._bounds.retry_slack / max(1, routers)
        allowed = (requests * self._bounds.retry_ratio + slack) * SAFETY_FACTOR
        return self._retries + 1 <= allowed

    def count_retry(self, now: float) -> None:
        """
        Count a retry.
        """
        self._sent.append(SentRequest(now, is_retry=True))
        self._retries += 1

    def _forget(self, now: float) -> None:
        oldest = now - self._bounds.retry_window_s
        while self._sent and self._sent[0].sent_at_s < oldest:
            if self._sent.popleft().is_retry:
                self._retries -= 1


class RetryWindows:
    """
    The windows of all services.
    """

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._windows: dict[str, RetryWindow] = {}

    def update_bounds(self, bounds: Bounds) -> None:
        """
        Take in changed bounds; what was counted stays.
        """
        self._bounds = bounds
        for window in self._windows.values():
            window.update_bounds(bounds)

    def for_service(self, service: str) -> RetryWindow:
        """
        Return the window of a service.
        """
        known = self._windows.get(service)
        if known is None:
            known = RetryWindow(self._bounds)
            self._windows[service] = known
        return known
