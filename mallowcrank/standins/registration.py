"""
Registers a target with the host-list stand-in.
"""

import json

from mallowcrank.calls import HttpCaller
from mallowcrank.clock import Clock
from mallowcrank.standins.program import run_periodically
from mallowcrank.standins.settings import TargetSettings

REGISTER_PERIOD_S = 1


class Registration:
    """
    Registers a target periodically and announces when it leaves.

    :param kind: `engine` or `service`.
    """

    def __init__(self, settings: TargetSettings, kind: str) -> None:
        self._caller = (
            HttpCaller(settings.host_list_address)
            if settings.host_list_address
            else None
        )
        self._body = json.dumps(
            {
                'name': settings.standin.name,
                'address': settings.standin.listen_address,
                'availability_zone': settings.availability_zone,
                'kind': kind,
            }
        ).encode()
        self._leaving = False

    def start(self, clock: Clock) -> None:
        """
        Start to register periodically.
        """
        if self._caller:
            run_periodically(self._send, REGISTER_PERIOD_S, clock)

    def leave(self) -> None:
        """
        Announce that the target is leaving.
        """
        self._leaving = True
        if self._caller:
            self._send()

    def _send(self) -> None:
        path = '/leave' if self._leaving else '/register'
        self._caller.call('POST', path, self._body, timeout_s=1)
