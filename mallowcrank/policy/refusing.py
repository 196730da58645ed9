"""
Refusals by admission control. None of these requests ran.
"""

from math import ceil

from mallowcrank.limits.ledger import OverLimit
from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.router.ports import Ticket

MAX_RETRY_AFTER_S = 30


def unknown_workspace(ticket: Ticket) -> Refused:
    """
    Refuse a request of a workspace that is not in the settings.
    """
    return Refused(
        Reason.UNKNOWN_WORKSPACE,
        Ran.NO,
        f'workspace {ticket.workspace} is not in the settings in force',
        field='X-Mallowcrank-Workspace',
    )


def over_limit(over: OverLimit) -> Refused:
    """
    Refuse a request that exceeds its workspace's limits.
    """
    return Refused(
        Reason.RATE_LIMITED,
        Ran.NO,
        f'the workspace is at its limit of {over.limit}; retry later',
        retry_after_s=_retry_after_s(over.wait_s),
    )


def too_late(wait_s: float) -> Refused:
    """
    Refuse a request that can't be answered before its deadline.

    :param wait_s: seconds until a retry may succeed.
    """
    return Refused(
        Reason.OVERLOADED,
        Ran.NO,
        'the queue is too long for the deadline; retry later',
        retry_after_s=_retry_after_s(wait_s),
    )


def overloaded(wait_s: float) -> Refused:
    """
    Refuse a request because this router has no free capacity.

    :param wait_s: seconds until a retry may succeed.
    """
    return Refused(
        Reason.OVERLOADED,
        Ran.NO,
        'this router is full; retry later or use another address',
        retry_after_s=_retry_after_s(wait_s),
    )


def _retry_after_s(seconds: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(1, ceil(seconds)))
