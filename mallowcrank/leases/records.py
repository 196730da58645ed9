"""
Lease records in the platform's log.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from mallowcrank import codec
from mallowcrank.membership.hashing import hash_name

RECORD_TYPE = 'lease'
TARGET_GROUPS = 64  # one lease covers all targets of a group
WEIGHTS_GROUP = 'weights'  # the right to have weights loaded


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """
    How long leases and orders last, the same for all agents.

    :param lease_s: seconds of a lease by the log's clock.
    :param order_s: seconds of the longest life of an order.
    :param margin_s: seconds by which clocks may differ, and that a holder
        stops before its lease ends.
    """

    lease_s: float = 30
    max_order_s: float = 60
    margin_s: float = 3

    @property
    def short_order_s(self) -> float:
        """
        Return the seconds that an order lives which needs no weights.
        """
        return self.max_order_s / 6

    @property
    def renew_s(self) -> float:
        """
        Return the seconds left of a lease when it is renewed.
        """
        return self.lease_s / 2

    @property
    def append_interval_s(self) -> float:
        """
        Return the least seconds between lease records of one agent.
        """
        return self.lease_s / 6


def timings_for(lease_s: float) -> LeaseTimings:
    """
    Return the timings for a length of leases.
    """
    return LeaseTimings(lease_s, max_order_s=2 * lease_s, margin_s=lease_s / 10)


DEFAULT_TIMINGS = LeaseTimings()


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """
    Asks for groups, renews them, or gives them back.

    All of its groups are granted together or none is.

    :param id: made by the writer, so that a lost answer is looked up by it.
    :param holder: the writer's host and incarnation.
    :param groups: groups of targets, or roles such as `weights`.
    :param release: whether the groups are given back. A holder gives back
        only when none of its orders can still be at work.
    """

    id: str
    holder: str
    groups: tuple[str, ...]
    release: bool = False


def group_of(target: str) -> str:
    """
    Return the group that a target belongs to.
    """
    return f'targets-{hash_name(target) % TARGET_GROUPS}'


def encode_record(record: LeaseRecord) -> dict[str, Any]:
    """
    Return a record's body for the log.
    """
    return {'type': RECORD_TYPE, **codec.to_plain(record)}


def decode_record(body: Any) -> LeaseRecord | None:
    """
    Read a record's body, whoever wrote it; `None` for other types and
    malformed ones.
    """
    if not isinstance(body, Mapping) or body.get('type') != RECORD_TYPE:
        return None
    try:
        return codec.from_plain(body, LeaseRecord)
    except Exception:
        return None
