"""
The program of every stand-in: serving, faults and graceful shutdown.
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

SERVER_THREADS = 64  # each silenced connection occupies one thread


class Standin(Protocol):
    """
    The interface between a stand-in and its program.
    """

    def answer(self, request: Request) -> Response:
        """
        Handle a request.
        """

    def apply_fault(self, order: FaultOrder) -> None:
        """
        Apply a fault that the stand-in implements itself.
        """

    def start(self, faults: Faults) -> None:
        """
        Start background work.

        :param faults: the faults injected into this stand-in.
        """

    def leave(self) -> None:
        """
        Announce that this stand-in is leaving.
        """

    def finish(self) -> None:
        """
        Wait until no work is in flight.
        """


class Program:
    """
    Serves one stand-in until a stop signal.
    """

    def __init__(
        self, settings: StandinSettings, standin: Standin, clock: Clock
    ) -> None:
        self._standin = standin
        self._faults = Faults(standin.answer, clock, self._apply_fault)
        self._server = WebServer(
            settings.listen_address, self._faults, SERVER_THREADS
        )
        self._stop_requested = threading.Event()

    def start(self) -> str:
        """
        Start serving in background threads.

        :returns: the address that the server listens on.
        """
        self._server.start()
        self._standin.start(self._faults)
        return self._server.address

    def run(self) -> None:
        """
        Serve until SIGTERM or SIGINT, then wait for work in flight.
        """
        handle_stop_signals(self._stop_requested.set)
        self.start()
        self._stop_requested.wait()
        self._standin.leave()
        self._standin.finish()
        # Threads of silenced connections would delay the exit of the interpreter.
        os._exit(ExitStatus.SUCCESS)

    def _apply_fault(self, order: FaultOrder) -> None:
        if order.fault is Fault.LEAVE:
            threading.Thread(target=self._standin.leave, daemon=True).start()
        self._standin.apply_fault(order)


def run_periodically(
    action: Callable[[], None], period_s: float, clock: Clock
) -> None:
    """
    Call an action periodically in a background thread.
    """

    def run_forever() -> None:
        while True:
            action()
            clock.sleep(period_s)

    threading.Thread(target=run_forever, daemon=True).start()
