"""
A holder's own judgement of its leases, also after it was paused.
"""

from dataclasses import dataclass

from mallowcrank.leases.records import TERMS, LeaseTerms
from mallowcrank.membership.events import Instant


@dataclass(frozen=True, slots=True)
class Grant:
    """
    A lease as its holder knows it.

    :param fence: the fencing number.
    :param asked: when the record that granted or last renewed it was sent.
        The log gave the record its time after that, so that counting from
        here never ends late, whatever the log's clock says.
    """

    fence: int
    asked: Instant


def is_held(grant: Grant, now: Instant, terms: LeaseTerms = TERMS) -> bool:
    """
    Tell whether a lease surely lasts.

    Both clocks have to say so: the steady one is not set by anybody, and the
    wall clock also counts while the host was suspended.
    """
    limit = terms.lease_s - terms.margin_s
    return (
        0 <= now.steady - grant.asked.steady < limit
        and abs(now.wall - grant.asked.wall) < limit
    )


def seconds_left(
    grant: Grant, now: Instant, terms: LeaseTerms = TERMS
) -> float:
    """
    Return for how many seconds a lease surely lasts.
    """
    return terms.lease_s - terms.margin_s - (now.steady - grant.asked.steady)
