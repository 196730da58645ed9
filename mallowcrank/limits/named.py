"""
Limits that targets name in their answers, and which of several answers counts.

Answers overtake each other, and gateways hear of answers from each other with
a delay. So an answer lifts or raises a limit only if its request was sent after
the limit was last named; one that names or lowers a limit applies unless it is
certainly older.
"""

from dataclasses import dataclass

# A target that takes less, or nothing, gets a request at this rate, so that its
# answer can show when it takes more again.
MIN_RATE_PER_S = 0.1
# Each hand-over between gateways adds its delay to the time of an observation,
# so that one which only comes round again seems newer.
RELAY_MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class LimitObservation:
    """
    What one answer of a target said about its limit.

    :param rate_per_s: requests per second that the target takes from all
        gateways together; none if the answer named no limit.
    :param sent_at: steady time at which the request was sent, in seconds.
    :param received_at: steady time at which the answer arrived, in seconds.
    :param source: host of the gateway that received the answer.
    """

    rate_per_s: float | None
    sent_at: float
    received_at: float
    source: str

    @property
    def granted_per_s(self) -> float:
        """
        Return the requests per second that all gateways may send; 0 if the
        answer named no limit.
        """
        if self.rate_per_s is None:
            return 0
        return max(MIN_RATE_PER_S, self.rate_per_s)

    def report(self, now: float) -> 'LimitReport':
        """
        Return the observation as it is sent to another gateway.

        :param now: steady time, in seconds.
        """
        return LimitReport(
            rate_per_s=self.rate_per_s,
            sent_ago_s=now - self.sent_at,
            received_ago_s=now - self.received_at,
            source=self.source,
        )


@dataclass(frozen=True, slots=True)
class LimitReport:
    """
    An observation with ages, as gateways have no common steady time.

    :param rate_per_s: requests per second; none if the answer named no limit.
    :param sent_ago_s: seconds since the request was sent.
    :param received_ago_s: seconds since the answer arrived.
    :param source: host of the gateway that received the answer.
    """

    rate_per_s: float | None
    sent_ago_s: float
    received_ago_s: float
    source: str

    def observation(self, now: float) -> LimitObservation:
        """
        Return the observation.

        :param now: steady time, in seconds.
        """
        return LimitObservation(
            rate_per_s=self.rate_per_s,
            sent_at=now - self.sent_ago_s,
            received_at=now - self.received_ago_s,
            source=self.source,
        )


def supersedes(
    observed: LimitObservation,
    known: LimitObservation | None,
    margin_s: float = 0,
) -> bool:
    """
    Return whether an observation replaces what is known of a target.

    :param margin_s: by which it has to be newer if it says the same, in
        seconds.
    """
    if known is None:
        return observed.rate_per_s is not None
    if observed.rate_per_s == known.rate_per_s:
        return observed.received_at > known.received_at + margin_s
    if _relaxes(observed, known):
        return observed.sent_at >= known.received_at
    return observed.received_at > known.sent_at


def _relaxes(observed: LimitObservation, known: LimitObservation) -> bool:
    if observed.rate_per_s is None or known.rate_per_s is None:
        return observed.rate_per_s is None
    return observed.rate_per_s > known.rate_per_s
