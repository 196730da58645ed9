"""
What all stand-ins share as programs: serving, faults and a graceful stop.
"""

import os
import threading
from collections.abc import Callable
from typing import Protocol

from mallowcrank.clock import Clock
from mallowcrank.standins.faults import Fault, FaultOrder, Faults
from mallowcrank.standins.settings import StandinSettings
from mallowcrank.status import ExitStatus
from mallowcrank.stop_signals import handle_stop_signals
from mallowcrank.web import Request, Response, WebServer

THREADS = 64  # silent connections hold one thread each


class Standin(Protocol):
    """
    What a stand-in is to its program.
    """

    def answer(self, request: Request) -> Response:
        """
        Answer a request.
        """

    def apply_fault(self, order: FaultOrder) -> None:
        """
        Bring about a fault that only this stand-in knows.
        """

    def start(self, faults: Faults) -> None:
        """
        Start what runs beside the server.
        """

    def leave(self) -> None:
        """
        Say that this stand-in is leaving.
        """

    def finish(self) -> None:
        """
        Wait until nothing is in flight.
        """


class Program:
    """
    Serves one stand-in until it is told to stop.
    """

    def __init__(
        self, settings: StandinSettings, standin: Standin, clock: Clock
    ) -> None:
        self._standin = standin
        self._faults = Faults(standin.answer, clock, self._take_fault)
        self._server = WebServer(settings.listen_address, self._faults, THREADS)
        self._stopping = threading.Event()

    def start(self) -> str:
        """
        Serve in threads.

        :returns: the address.
        """
        self._server.start()
        self._standin.start(self._faults)
        return self._server.address

    def run(self) -> None:
        """
        Serve until SIGTERM or SIGINT, then finish what is in flight.
        """
        handle_stop_signals(self._stopping.set)
        self.start()
        self._stopping.wait()
        self._standin.leave()
        self._standin.finish()
        # Threads of silent connections would hold up the interpreter's end.
        os._exit(ExitStatus.SUCCESS)

    def _take_fault(self, order: FaultOrder) -> None:
        if order.fault is Fault.LEAVE:
            threading.Thread(target=self._standin.leave, daemon=True).start()
        self._standin.apply_fault(order)


def run_periodically(
    action: Callable[[], None], period_s: float, clock: Clock
) -> None:
    """
    Call an action again and again, in a thread of its own.
    """

    def loop() -> None:
        while True:
            action()
            clock.sleep(period_s)

    threading.Thread(target=loop, daemon=True).start()
