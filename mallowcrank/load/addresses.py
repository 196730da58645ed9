"""
Finds the routers that a caller uses, caches their addresses, and avoids those
that failed.
"""

import json
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from mallowcrank.calls import HttpCaller
from mallowcrank.ports import Failure

ADDRESSES_TIMEOUT_S = 1
AVOID_HEADER = 'X-Mallowcrank-Avoid'
FAILED_ADDRESS_AVOID_S = 5


@dataclass(frozen=True)
class CachedAddresses:
    """
    A cached answer of `/v1/addresses`.

    :param key_prefix: starts the idempotency keys of new calls.
    :param expires_at: monotonic time in seconds.
    """

    addresses: tuple[str, ...]
    key_prefix: str
    expires_at: float


class AddressBook:
    """
    The router addresses known to one caller.

    :param known: addresses to query first.
    :param silence_s: seconds without an answer until the next address is
        queried.
    """

    def __init__(
        self,
        known: Sequence[str],
        availability_zone: str,
        workspace: str,
        silence_s: float = ADDRESSES_TIMEOUT_S,
    ) -> None:
        self._known = list(known)
        self._silence_s = silence_s
        self._headers = {
            'X-Mallowcrank-Availability-Zone': availability_zone,
            'X-Mallowcrank-Workspace': workspace,
        }
        self._cached = CachedAddresses((), '', 0)
        self._avoided_until: dict[str, float] = {}

    def current(self) -> CachedAddresses:
        """
        Return the cached addresses; queries the routers if the cache has
        expired.
        """
        if time.monotonic() >= self._cached.expires_at:
            self._refresh()
        return self._cached

    def mark_failed(self, address: str) -> None:
        """
        Move an address that failed behind the others, and avoid it for a
        while.
        """
        self._avoided_until[address] = time.monotonic() + FAILED_ADDRESS_AVOID_S
        others = tuple(
            each for each in self._cached.addresses if each != address
        )
        self._known = [each for each in self._known if each != address]
        self._known.append(address)
        # The key prefix may name the router that failed, so the cache
        # expires at once and the next call queries the routers.
        self._cached = CachedAddresses(others, self._cached.key_prefix, 0)

    def _avoided_addresses(self) -> Iterator[str]:
        now = time.monotonic()
        return (
            each for each, until in self._avoided_until.items() if until > now
        )

    def _refresh(self) -> None:
        headers = {
            **self._headers,
            AVOID_HEADER: ','.join(self._avoided_addresses()),
        }
        for address in tuple(self._known):
            reply = HttpCaller(address, connections=1).call(
                'GET', '/v1/addresses', None, headers, self._silence_s
            )
            if not isinstance(reply, Failure) and reply.status == 200:
                self._cache(json.loads(reply.body))
                return
            self._known.remove(address)
            self._known.append(address)

    def _cache(self, answer: dict) -> None:
        self._cached = CachedAddresses(
            tuple(answer['addresses']),
            answer['key_prefix'],
            time.monotonic() + answer['keep_s'],
        )
        unknown = [
            address
            for address in answer['addresses']
            if address not in self._known
        ]
        self._known = unknown + self._known
