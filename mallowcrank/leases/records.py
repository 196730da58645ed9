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
WEIGHTS_GROUP = 'weights'  # its holder alone may have weights loaded


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """
    How long leases and orders last; the same for all agents.

    :param lease_s: seconds that a lease lasts by the log's clock.
    :param max_order_s: the most seconds that an order may take effect.
    :param margin_s: seconds by which clocks may differ. A holder stops using
        its lease this long before the end.
    """

    lease_s: float = 30
    max_order_s: float = 60
    margin_s: float = 3

    @property
    def short_order_s(self) -> float:
        """
        Return the lifetime in seconds of an order that loads no weights.
        """
        return self.max_order_s / 6

    @property
    def renew_s(self) -> float:
        """
        Return the remaining seconds at which a lease is renewed.
        """
        return self.lease_s / 2

    @property
    def append_interval_s(self) -> float:
        """
        Return the minimum seconds between lease records of one agent.
        """
        return self.lease_s / 6


def timings_for(lease_s: float) -> LeaseTimings:
    """
    Return the timings that go with a lease duration.

    :param lease_s: seconds.
    """
    return LeaseTimings(lease_s, max_order_s=2 * lease_s, margin_s=lease_s / 10)


DEFAULT_TIMINGS = LeaseTimings()


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """
    A request to acquire, renew or release the leases of some groups.

    Either all of its groups are granted or none.

    :param id: chosen by the writer, which recognizes its record in the log by
        it even if the answer to the append was lost.
    :param holder: the writer's host and incarnation.
    :param groups: groups of targets, or roles such as `weights`.
    :param release: whether the groups are released. A holder releases a group
        only when none of its orders can still take effect.
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
    Return the body of a lease record for the log.
    """
    return {'type': RECORD_TYPE, **codec.to_plain(record)}


def decode_record(body: Any) -> LeaseRecord | None:
    """
    Parse the body of any log record.

    :returns: `None` for a record of another type or a malformed one.
    """
    if not isinstance(body, Mapping) or body.get('type') != RECORD_TYPE:
        return None
    try:
        return codec.from_plain(body, LeaseRecord)
    except Exception:
        return None
