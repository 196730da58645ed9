"""
HTTP client of the platform's host list.
"""

import json
from collections.abc import Mapping
from typing import Any

from mallowcrank.calls import HttpCaller
from mallowcrank.ports import Failure, ListedHost
from mallowcrank.refusals import Ran

TIMEOUT_S = 2
OK = 200


class HttpHostList:
    """
    Reads the list of live and leaving hosts.

    :param address: `IP:PORT` of the service.
    """

    def __init__(self, address: str) -> None:
        self._caller = HttpCaller(address)

    def read(self) -> tuple[ListedHost, ...] | Failure:
        """
        Return the current list; it may lag behind.

        :returns: `Failure` if it can't be fetched or is malformed.
        """
        reply = self._caller.call('GET', '/hosts', timeout_s=TIMEOUT_S)
        if isinstance(reply, Failure):
            return reply
        if reply.status != OK:
            return Failure(f'the host list answered {reply.status}', Ran.NO)
        try:
            return tuple(map(_decode_host, json.loads(reply.body)['hosts']))
        except (KeyError, TypeError, ValueError) as error:
            return Failure(f'the host list is malformed: {error!r}', Ran.NO)


def _decode_host(entry: Mapping[str, Any]) -> ListedHost:
    return ListedHost(
        name=str(entry['name']),
        address=str(entry['address']),
        availability_zone=str(entry['availability_zone']),
        kind=str(entry['kind']),
        leaving=bool(entry.get('leaving', False)),
    )
