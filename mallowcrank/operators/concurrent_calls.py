"""
Asks many processes at a time, so that silent ones hold up no others.
"""

from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

from mallowcrank.operators.client import get_admin
from mallowcrank.ports import Failure

MAX_CONCURRENT_CALLS = 32
Result = TypeVar('Answer')


def call_each(
    addresses: Iterable[str], call: Callable[[str], Result]
) -> dict[str, Result]:
    """
    Ask each address.

    :param call: called with an address, in threads.
    :returns: the answers by address, in the order of the addresses.
    """
    asked = tuple(addresses)
    with ThreadPoolExecutor(MAX_CONCURRENT_CALLS, 'ask') as pool:
        return dict(zip(asked, pool.map(call, asked), strict=True))


def fetch_statuses(addresses: Iterable[str]) -> dict[str, Any | Failure]:
    """
    Return the status of each daemon by its admin address.
    """
    return call_each(addresses, lambda each: get_admin(each, '/admin/status'))
