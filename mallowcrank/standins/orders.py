"""
Checks whether an engine accepts an order: fencing and expiry.
"""

from dataclasses import dataclass

from mallowcrank.standins.settings import Fencing

CONFLICT = 409
GONE = 410
ACCEPTED = 200


@dataclass(frozen=True)
class Order:
    """
    An order as received over HTTP.

    :param fence: the offset of the lease that the sender holds.
    :param expires: time of expiry, in seconds since the epoch.
    """

    order: str
    fence: int
    expires: float
    action: str
    serves: str
    version: str = ''
    first_layer: int = 0
    last_layer: int = 0
    role: str = ''


def check_order(
    order: Order, fencing: Fencing, fence: int | None, now: float
) -> int:
    """
    Return the HTTP status of the response to an order.

    :param fence: the highest fencing token accepted so far, if any.
    :param now: seconds since the epoch.
    """
    if order.expires <= now:
        return GONE
    stale = fence is not None and order.fence < fence
    if stale and fencing is Fencing.CHECKS:
        return CONFLICT
    return ACCEPTED
