"""
Which requests a stopping gateway still serves.
"""

from dataclasses import dataclass

from mallowcrank.gateway.desired import Repeat

# Callers with a cached answer of the directory come within this time.
EARLY_S = 2.0
EARLY_SHARE = 0.25  # of the grace period, at most
ANSWER_MARGIN_S = 0.1  # for the answer after a timeout


@dataclass(frozen=True, slots=True)
class GracePeriod:
    """
    The time in which a stopping gateway finishes its requests.

    :param began_at: monotonic time at which it was told to stop, in seconds.
    :param ends_at: monotonic time at which it ends what it still serves, in
        seconds.
    """

    began_at: float
    ends_at: float

    @property
    def early_until(self) -> float:
        """
        Return the monotonic time until which most requests still end in time,
        in seconds.
        """
        length_s = self.ends_at - self.began_at
        return self.began_at + min(EARLY_S, EARLY_SHARE * length_s)


def may_serve_while_stopping(
    grace: GracePeriod, now: float, deadline_at: float, repeat: Repeat
) -> bool:
    """
    Return whether a stopping gateway serves a request.

    It serves those whose time limit leaves room for an answer, and early ones
    that can be repeated if they are cut.

    :param now: monotonic time in seconds.
    :param deadline_at: monotonic time by which the final response is due, in
        seconds.
    """
    if deadline_at + ANSWER_MARGIN_S <= grace.ends_at:
        return True
    return repeat is not Repeat.ONCE and now <= grace.early_until
