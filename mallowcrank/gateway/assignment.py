"""
Division of duties for targets among the gateways.
"""

from collections.abc import Iterable

import xxhash

MAX_ASSIGNED = 4096  # targets; those that have left are dropped then


class HostAssignment:
    """
    Which of some hosts has a duty for a target, by rendezvous hashing.
    """

    def __init__(self) -> None:
        self._hosts: frozenset[str] = frozenset()
        self._chosen: dict[str, str] = {}

    def update_hosts(self, hosts: Iterable[str]) -> None:
        """
        Replace the hosts among which targets are divided.
        """
        live = frozenset(hosts)
        if live != self._hosts or len(self._chosen) > MAX_ASSIGNED:
            self._hosts = live
            self._chosen.clear()

    def host_for(self, identity: str) -> str:
        """
        Return the host that a target is assigned to; empty without hosts.
        """
        known = self._chosen.get(identity)
        if known is None and not self._hosts:
            return ''
        if known is None:
            known = max(
                self._hosts,
                key=lambda host: xxhash.xxh64_intdigest(
                    f'{host}{identity}'.encode()
                ),
            )
            self._chosen[identity] = known
        return known
