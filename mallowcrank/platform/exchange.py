"""
Headers and bodies that callers, gateways and replicas exchange.
"""

from collections.abc import Sequence
from math import isfinite
from urllib.parse import parse_qs

import orjson

from mallowcrank.gateway.ports import (
    CallerFields,
    Headers,
    ResponseFields,
)
from mallowcrank.gateway.settings import Address
from mallowcrank.platform.forwarding import API_KEY, DEADLINE, LAST_EVENT

REQUEST_ID = b'mallowcrank-request-id'
TOKEN_COUNTS = b'mallowcrank-token-count'
PROMPT_PARTS = b'mallowcrank-prompt-prefix'
LENGTH_HINT = b'mallowcrank-length-hint'
RESPONSE_SEAL = b'mallowcrank-response-seal'
NOT_EXECUTED = b'mallowcrank-not-executed'
FAULTY_REPLICA = b'at-server'
RATE_LIMIT = b'server-limit'
LEAVING = b'server-leaving'
RETRY_AFTER = b'retry-after'
ENCODING = b'content-encoding'
MAX_PROMPT_PARTS = 32  # further ones are ignored
MAX_PART_LENGTH = 64  # characters of an id; longer ones are ignored
MAX_NUMBER_LENGTH = 32  # characters; longer numbers are invalid


def caller_fields(headers: Headers) -> CallerFields:
    """
    Decode the headers of a caller's request.
    """
    by_name = {name.lower(): value.decode('latin-1') for name, value in headers}
    deadline = by_name.get(DEADLINE)
    prompt, output = _parse_token_counts(by_name.get(TOKEN_COUNTS, ''))
    problem = _find_problem(headers, deadline)
    return CallerFields(
        request_id=by_name.get(REQUEST_ID, ''),
        deadline_ms=float(deadline) if deadline and not problem else None,
        key=by_name.get(API_KEY, ''),
        last_event=by_name.get(LAST_EVENT, ''),
        prompt_tokens=prompt,
        output_tokens=output,
        output_estimate=_parse_count(by_name.get(LENGTH_HINT, '')),
        problem=problem,
        prompt_parts=_parse_prompt_parts(by_name.get(PROMPT_PARTS, '')),
    )


def caller_zone(query: str) -> str:
    """
    Return the zone in a query of the directory, or an empty string.
    """
    return parse_qs(query).get('zone', [''])[0]


def directory_answer(fronts: Sequence[Address], keep_s: float) -> bytes:
    """
    Encode the body of the directory's answer.

    :param keep_s: seconds for which callers may cache it.
    """
    return orjson.dumps(
        {'addresses': [str(front) for front in fronts], 'ttl_s': keep_s}
    )


def answer_fields(headers: Headers) -> ResponseFields:
    """
    Decode the headers of a replica's answer.
    """
    by_name = {name.lower(): value.decode('latin-1') for name, value in headers}
    rate_limit, problem = _parse_rate_limits(headers)
    leaving = [
        value.strip() for name, value in headers if name.lower() == LEAVING
    ]
    return ResponseFields(
        request_id=by_name.get(REQUEST_ID, ''),
        is_genuine=RESPONSE_SEAL in by_name and ENCODING not in by_name,
        did_not_run=NOT_EXECUTED in by_name,
        fault_address=by_name.get(FAULTY_REPLICA, ''),
        rate_limit=rate_limit,
        rate_limit_problem=problem,
        is_leaving=b'1' in leaving,
        retry_after_s=_parse_number(by_name.get(RETRY_AFTER, '')),
        leaving_problem=_leaving_problem(leaving),
    )


def _parse_rate_limits(headers: Headers) -> tuple[float | None, str]:
    """
    Return the limit that a replica names, and what is invalid in it.

    Of several valid limits, the lowest applies.
    """
    named = [
        value.decode('latin-1').strip()
        for name, value in headers
        if name.lower() == RATE_LIMIT
    ]
    if not named:
        return None, ''
    limits = [_parse_number(text) for text in named]
    valid = [limit for limit in limits if limit is not None]
    if len(valid) < len(named):
        invalid = named[limits.index(None)]
        problem = f'not a rate: {invalid[:MAX_NUMBER_LENGTH]!r}'
    else:
        problem = 'named more than once' if len(named) > 1 else ''
    return min(valid, default=None), problem


def _leaving_problem(values: Sequence[bytes]) -> str:
    invalid = [value for value in values if value != b'1']
    if not invalid:
        return ''
    text = invalid[0].decode('latin-1')[:MAX_NUMBER_LENGTH]
    return f'neither 1 nor absent: {text!r}'


def _parse_number(text: str) -> float | None:
    """
    Return a number that isn't negative, or None if it is invalid.
    """
    if len(text) > MAX_NUMBER_LENGTH or '_' in text or not text.isascii():
        return None
    try:
        rate = float(text)
    except ValueError:
        return None
    return abs(rate) if isfinite(rate) and rate >= 0 else None


def _find_problem(headers: Headers, deadline: str | None) -> str:
    names = [name.lower() for name, _ in headers]
    if names.count(REQUEST_ID) > 1:
        return 'the request id is given twice'
    if deadline is not None and not _is_number(deadline):
        return f'the deadline {deadline!r} is not a number of milliseconds'
    return ''


def _is_number(text: str) -> bool:
    return text.replace('.', '', 1).isdecimal() and text.isascii()


def _parse_token_counts(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(',')
    return _parse_count(prompt), _parse_count(output)


def _parse_prompt_parts(text: str) -> tuple[str, ...]:
    names = [entry.partition(':')[0].strip() for entry in text.split(',')]
    shared = names[: min(len(names) - 1, MAX_PROMPT_PARTS)]
    return tuple(name for name in shared if 0 < len(name) <= MAX_PART_LENGTH)


def _parse_count(text: str) -> int:
    stripped = text.strip()
    return int(stripped) if stripped.isascii() and stripped.isdecimal() else 0
