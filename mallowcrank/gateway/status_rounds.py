"""
How often gateways send their statuses to each other.

The load of a gateway is bounded on sites of any size: the larger the site, the
longer a round takes in which it reaches all others. Gateways of one zone share
its engines, so they hear each other more often than those of other zones.
"""

from dataclasses import dataclass
from math import ceil

BROADCAST_INTERVAL_S = 0.25
MAX_RECIPIENTS = 40  # of a status, at each interval
MAX_OTHER_RECIPIENTS = 20  # of those, in other zones
MIN_ZONE_INTERVALS = 2  # on sites with more gateways than recipients
MIN_LIVENESS_TIMEOUT_S = 0.9
LIVENESS_ROUNDS = 3  # allows for two lost datagrams in a row


@dataclass(frozen=True, slots=True)
class StatusRound:
    """
    A round in which a gateway reaches a group of others.

    :param recipients: at each interval.
    :param intervals: of the round.
    """

    recipients: int
    intervals: int

    @property
    def duration_s(self) -> float:
        """
        Return the seconds of a round.
        """
        return self.intervals * BROADCAST_INTERVAL_S

    @property
    def liveness_timeout_s(self) -> float:
        """
        Return the seconds of silence after which a gateway isn't live.
        """
        return max(MIN_LIVENESS_TIMEOUT_S, LIVENESS_ROUNDS * self.duration_s)


@dataclass(frozen=True, slots=True)
class StatusRounds:
    """
    The rounds of a gateway.

    :param zone: with the others of its availability zone.
    :param other: with those of other zones, or of none that is known.
    """

    zone: StatusRound
    other: StatusRound

    @property
    def liveness_timeout_s(self) -> float:
        """
        Return the seconds of silence after which no gateway is live.
        """
        return max(self.zone.liveness_timeout_s, self.other.liveness_timeout_s)

    @property
    def zone_delay_s(self) -> float:
        """
        Return the seconds by which gateways of other zones are heard later
        than those of the own one.
        """
        return max(0, self.other.duration_s - self.zone.duration_s)


def plan_rounds(zone_count: int, other_count: int) -> StatusRounds:
    """
    Return the rounds of a gateway.

    :param zone_count: number of other gateways in its zone.
    :param other_count: number of gateways in other zones.
    """
    if zone_count + other_count <= MAX_RECIPIENTS:
        return StatusRounds(
            StatusRound(zone_count, 1), StatusRound(other_count, 1)
        )
    other = _plan_other(other_count)
    room = MAX_RECIPIENTS - other.recipients
    intervals = max(MIN_ZONE_INTERVALS, ceil(zone_count / room))
    recipients = ceil(zone_count / intervals)
    return StatusRounds(StatusRound(recipients, intervals), other)


def _plan_other(count: int) -> StatusRound:
    recipients = min(count, MAX_OTHER_RECIPIENTS)
    intervals = ceil(count / recipients) if recipients else 1
    return StatusRound(recipients, intervals)
