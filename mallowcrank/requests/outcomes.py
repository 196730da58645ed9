"""
Conversion of refusals to HTTP responses: status, headers and error body.
"""

import math
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.web import Response, json_response

STATUSES = MappingProxyType(
    {
        Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
        Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        Reason.UNKNOWN_WORKSPACE: HTTPStatus.NOT_FOUND,
        Reason.UNKNOWN_MODEL: HTTPStatus.NOT_FOUND,
        Reason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
        Reason.KEY_REQUIRED: HTTPStatus.BAD_REQUEST,
        Reason.KEY_EXPIRED: HTTPStatus.GONE,
        Reason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
        Reason.KEY_IN_FLIGHT: HTTPStatus.CONFLICT,
        Reason.KEYS_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
        Reason.KEEPER_GONE: HTTPStatus.BAD_GATEWAY,
        Reason.DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
        Reason.RATE_LIMITED: HTTPStatus.TOO_MANY_REQUESTS,
        Reason.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
        Reason.NO_ROUTE: HTTPStatus.SERVICE_UNAVAILABLE,
        Reason.NO_CONFIGURATION: HTTPStatus.SERVICE_UNAVAILABLE,
        Reason.LEAVING: HTTPStatus.SERVICE_UNAVAILABLE,
        Reason.TARGET_FAILED: HTTPStatus.BAD_GATEWAY,
        Reason.TARGET_REFUSED: HTTPStatus.BAD_GATEWAY,
        Reason.CANCELLED: HTTPStatus.REQUEST_TIMEOUT,
        Reason.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
    }
)
# For refusals of invalid input: the same request would fail again.
INPUT_STATUSES = MappingProxyType(
    {Reason.DEADLINE_PASSED: HTTPStatus.BAD_REQUEST}
)


def status_of(refused: Refused) -> HTTPStatus:
    """
    Return the HTTP status of a refusal.
    """
    if refused.field is not None and refused.reason in INPUT_STATUSES:
        return INPUT_STATUSES[refused.reason]
    return STATUSES[refused.reason]


def error_body(refused: Refused) -> dict[str, Any]:
    """
    Return the error in OpenAI's format, extended by whether the request ran.
    """
    kind = 'invalid_request_error' if status_of(refused) < 500 else 'api_error'
    return {
        'error': {
            'message': refused.message,
            'type': kind,
            'code': refused.reason.value,
            'param': refused.field,
            'ran': refused.ran.value,
        }
    }


def retry_headers(refused: Refused) -> tuple[tuple[str, str], ...]:
    """
    Return the headers that say whether and when to retry.
    """
    if refused.retry_after_s is None:
        return (('X-Should-Retry', 'false'),)
    seconds = max(1, math.ceil(refused.retry_after_s))
    return (('Retry-After', str(seconds)),)


def refusal_response(
    refused: Refused, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """
    Build the HTTP response for a refusal.
    """
    return json_response(
        error_body(refused),
        status_of(refused),
        (ran_header(refused.ran), *retry_headers(refused), *headers),
    )


def ran_header(ran: Ran) -> tuple[str, str]:
    """
    Return the response header that says whether the request ran.
    """
    return ('X-Mallowcrank-Ran', ran.value)
