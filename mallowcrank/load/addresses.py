"""
Which router a caller uses: it asks, keeps the answer, and tries the next one.
"""

import json
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from mallowcrank.calls import HttpCaller
from mallowcrank.ports import Failure

ASK_TIMEOUT_S = 1
AVOID_HEADER = 'X-Mallowcrank-Avoid'
AVOID_S = 5  # for which an address that failed is avoided


@dataclass(frozen=True)
class Kept:
    """
    An answer of `/v1/addresses`.

    :param until: steady time in seconds.
    """

    addresses: tuple[str, ...]
    key_prefix: str
    until: float


class AddressBook:
    """
    The addresses that one caller knows.

    :param known: addresses to ask first.
    :param silence_s: seconds until the next address is asked.
    """

    def __init__(
        self,
        known: Sequence[str],
        availability_zone: str,
        workspace: str,
        silence_s: float = ASK_TIMEOUT_S,
    ) -> None:
        self._known = list(known)
        self._silence_s = silence_s
        self._headers = {
            'X-Mallowcrank-Availability-Zone': availability_zone,
            'X-Mallowcrank-Workspace': workspace,
        }
        self._kept = Kept((), '', 0)
        self._avoided: dict[str, float] = {}

    def current(self) -> Kept:
        """
        Return the kept answer; asks again where it is over.
        """
        if time.monotonic() >= self._kept.until:
            self._ask()
        return self._kept

    def give_up(self, address: str) -> None:
        """
        Put an address that failed behind the others.
        """
        self._avoided[address] = time.monotonic() + AVOID_S
        others = tuple(each for each in self._kept.addresses if each != address)
        self._known = [each for each in self._known if each != address]
        self._known.append(address)
        # The key prefix may name the router that failed, so that the next
        # call asks again.
        self._kept = Kept(others, self._kept.key_prefix, 0)

    def _find_avoided(self) -> Iterator[str]:
        now = time.monotonic()
        return (each for each, until in self._avoided.items() if until > now)

    def _ask(self) -> None:
        headers = {
            **self._headers,
            AVOID_HEADER: ','.join(self._find_avoided()),
        }
        for address in tuple(self._known):
            reply = HttpCaller(address, connections=1).call(
                'GET', '/v1/addresses', None, headers, self._silence_s
            )
            if not isinstance(reply, Failure) and reply.status == 200:
                self._keep(json.loads(reply.body))
                return
            self._known.remove(address)
            self._known.append(address)

    def _keep(self, answer: dict) -> None:
        self._kept = Kept(
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
