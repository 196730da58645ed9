"""
Refusals: why a request was not answered, and whether it ran.
"""

from dataclasses import dataclass
from enum import StrEnum, unique


@unique
class Ran(StrEnum):
    """
    Whether a request was executed, as far as is known.
    """

    NO = 'no'
    UNKNOWN = 'unknown'
    YES = 'yes'


@unique
class Reason(StrEnum):
    """
    Why a request was refused; the value is the error's `code` for callers.
    """

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    UNKNOWN_WORKSPACE = 'unknown_workspace'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_SERVICE = 'unknown_service'
    KEY_REQUIRED = 'key_required'
    KEY_EXPIRED = 'key_expired'
    KEY_REUSED = 'key_reused'
    KEY_IN_FLIGHT = 'key_in_flight'
    KEYS_FULL = 'keys_full'
    KEEPER_GONE = 'keeper_gone'
    DEADLINE_PASSED = 'deadline_passed'
    RATE_LIMITED = 'rate_limited'
    OVERLOADED = 'overloaded'
    NO_ROUTE = 'no_route'
    NO_CONFIGURATION = 'no_configuration'
    LEAVING = 'leaving'
    TARGET_FAILED = 'target_failed'
    TARGET_REFUSED = 'target_refused'
    CANCELLED = 'cancelled'
    INTERNAL = 'internal'


@dataclass(frozen=True, slots=True)
class Refused:
    """
    A refusal, returned instead of an answer.

    :param reason: why the request was refused.
    :param ran: whether the request ran; `NO` only if nothing was sent or the
        target itself reported that it did not run.
    :param message: a sentence for the caller, with what to do next.
    :param retry_after_s: seconds until a retry may succeed, or `None` if a
        retry is of no use.
    :param field: the invalid header or body field, if there is one.
    """

    reason: Reason
    ran: Ran
    message: str
    retry_after_s: float | None = None
    field: str | None = None
