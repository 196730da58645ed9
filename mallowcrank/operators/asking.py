"""
Asks many processes at a time, so that silent ones hold up no others.
"""

from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

from mallowcrank.operators.desk import get_admin
from mallowcrank.ports import Failure

ASKED_AT_ONCE = 32
Answer = TypeVar('Answer')


def ask_each(
    addresses: Iterable[str], ask: Callable[[str], Answer]
) -> dict[str, Answer]:
    """
    Ask each address.

    :param ask: called with an address, in threads.
    :returns: the answers by address, in the order of the addresses.
    """
    asked = tuple(addresses)
    with ThreadPoolExecutor(ASKED_AT_ONCE, 'ask') as pool:
        return dict(zip(asked, pool.map(ask, asked), strict=True))


def statuses_of(addresses: Iterable[str]) -> dict[str, Any | Failure]:
    """
    Return the status of each daemon by its admin address.
    """
    return ask_each(addresses, lambda each: get_admin(each, '/admin/status'))
