"""
Calls many processes concurrently, so that slow ones don't delay the others.
"""

from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

from mallowcrank.operators.client import get_admin
from mallowcrank.ports import Failure

MAX_CONCURRENT_CALLS = 32
Result = TypeVar('Result')


def call_each(
    addresses: Iterable[str], call: Callable[[str], Result]
) -> dict[str, Result]:
    """
    Call a function with each address, in threads.

    :returns: the results by address, in the order of the addresses.
    """
    address_list = tuple(addresses)
    with ThreadPoolExecutor(MAX_CONCURRENT_CALLS, 'ask') as pool:
        return dict(
            zip(address_list, pool.map(call, address_list), strict=True)
        )


def fetch_statuses(addresses: Iterable[str]) -> dict[str, Any | Failure]:
    """
    Return the status of each daemon, or a `Failure`, by admin address.
    """
    return call_each(addresses, lambda each: get_admin(each, '/admin/status'))
