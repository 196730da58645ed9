"""
Retry budget that bounds the retries of all routers together.

The bound is a ratio of the requests in a sliding window plus a fixed slack.
Each router uses an even share of the slack and the ratio of its own requests,
so the total stays within the bound however requests are spread. The routers
don't coordinate.
"""

from collections import deque
from dataclasses import dataclass

from mallowcrank.gateway.settings import Bounds

SAFETY_FACTOR = 0.8  # the count of routers may be wrong


@dataclass(frozen=True, slots=True)
class SentRequest:
    """
    A first send or a retry of a request.

    :param sent_at_s: steady time, in seconds.
    """

    sent_at_s: float
    is_retry: bool


@dataclass(frozen=True, slots=True)
class RetryUsage:
    """
    The use of a router's share of the budget in the current window.

    :param requests: first sends of requests.
    :param allowed: retries that the share allows.
    :param routers: number of routers among which the slack was divided.
    """

    requests: int
    retries: int
    allowed: float
    routers: int

    @property
    def has_room(self) -> bool:
        """
        Return whether the share allows another retry.
        """
        return self.retries + 1 <= self.allowed


class RetryWindow:
    """
    Sliding window of the requests and retries of one service.

    The run of the router before this one may have used its share of the slack,
    so there is none until a whole window has passed since then.

    :param earlier_run_ended_s: steady time, in seconds; none if there was no
        earlier run.
    """

    def __init__(
        self, bounds: Bounds, earlier_run_ended_s: float | None = None
    ) -> None:
        self._bounds = bounds
        self._earlier_run_ended_s = earlier_run_ended_s
        self._sent: deque[SentRequest] = deque()
        self._retries = 0

    def update_bounds(self, bounds: Bounds) -> None:
        """
        Replace the bounds.
        """
        self._bounds = bounds

    def count_request(self, now: float) -> None:
        """
        Count the first send of a request.
        """
        self._drop_expired(now)
        self._sent.append(SentRequest(now, is_retry=False))

    def allows_retry(self, now: float, routers: int) -> bool:
        """
        Return whether another retry stays within the budget.

        :param now: steady time, in seconds.
        :param routers: number of routers that share the budget.
        """
        return self.usage(now, routers).has_room

    def usage(self, now: float, routers: int) -> RetryUsage:
        """
        Return how much of the share is in use.

        :param now: steady time, in seconds.
        :param routers: number of routers that share the budget.
        """
        self._drop_expired(now)
        requests = len(self._sent) - self._retries
        slack = self._bounds.retry_slack / max(1, routers)
        if self._is_slack_withheld(now):
            slack = 0
        allowed = (requests * self._bounds.retry_ratio + slack) * SAFETY_FACTOR
        return RetryUsage(requests, self._retries, allowed, routers)

    def count_retry(self, now: float) -> SentRequest:
        """
        Count a retry, which is about to be sent.
        """
        retry = SentRequest(now, is_retry=True)
        self._sent.append(retry)
        self._retries += 1
        return retry

    def cancel_retry(self, retry: SentRequest) -> None:
        """
        Uncount a retry that was not sent after all.
        """
        if retry in self._sent:
            self._sent.remove(retry)
            self._retries -= 1

    def _is_slack_withheld(self, now: float) -> bool:
        if self._earlier_run_ended_s is None:
            return False
        return now - self._earlier_run_ended_s < self._bounds.retry_window_s

    def _drop_expired(self, now: float) -> None:
        window_start = now - self._bounds.retry_window_s
        while self._sent and self._sent[0].sent_at_s < window_start:
            if self._sent.popleft().is_retry:
                self._retries -= 1


class RetryWindows:
    """
    Retry windows by service.

    :param earlier_run_ended_s: steady time, in seconds; none if there was no
        earlier run.
    """

    def __init__(
        self, bounds: Bounds, earlier_run_ended_s: float | None = None
    ) -> None:
        self._bounds = bounds
        self._earlier_run_ended_s = earlier_run_ended_s
        self._windows: dict[str, RetryWindow] = {}

    def update_bounds(self, bounds: Bounds) -> None:
        """
        Replace the bounds of all windows and keep their counts.
        """
        self._bounds = bounds
        for window in self._windows.values():
            window.update_bounds(bounds)

    def for_service(self, service: str) -> RetryWindow:
        """
        Return the window of a service, which is created if missing.
        """
        known = self._windows.get(service)
        if known is None:
            known = RetryWindow(self._bounds, self._earlier_run_ended_s)
            self._windows[service] = known
        return known
