"""
The admission policy: a locked facade over the desk.

Each request waits in its own thread. It looks again at its chances from time
to time, so that it is refused as soon as they are gone.
"""

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from mallowcrank.changes import ViewChanges
from mallowcrank.policy.desk import Desk, Outcome
from mallowcrank.policy.settings import PolicySettings
from mallowcrank.refusals import Refused
from mallowcrank.router.ports import Ticket
from mallowcrank.view import View

RECHECK_S = 0.1


@dataclass(slots=True)
class _Waiter:
    decided: threading.Event = field(default_factory=threading.Event)
    refused: Refused | None = None


class Admission:
    """
    Decides when a request starts: limits, fair queues, reserved room.

    :param slowdown: returns the slowdown of a pool's targets.
    """

    def __init__(
        self, settings: PolicySettings, slowdown: Callable[[str], float]
    ) -> None:
        self._steady = settings.steady
        self._lock = threading.Lock()
        self._waiters: dict[str, _Waiter] = {}
        self._desk = Desk(
            settings.router.threads,
            settings.router.host_settings.host,
            slowdown,
        )

    # Queries

    def step_priority(self, ticket: Ticket) -> int:
        """
        Return the priority for a request's steps on engines.
        """
        with self._lock:
            return self._desk.step_priority(ticket)

    # Commands

    def enter(self, ticket: Ticket) -> Refused | None:
        """
        Wait until the request may start, or refuse it in good time.
        """
        waiter = _Waiter()
        with self._lock:
            self._waiters[ticket.request] = waiter
            self._deliver(self._desk.arrive(ticket, self._steady()))
        while not waiter.decided.wait(RECHECK_S):
            with self._lock:
                outcomes = self._desk.recheck(ticket.request, self._steady())
                self._deliver(outcomes)
        return waiter.refused

    def leave(self, ticket: Ticket, tokens: int) -> None:
        """
        Give back what the request held.

        :param tokens: what it really cost.
        """
        with self._lock:
            self._deliver(self._desk.leave(ticket, tokens, self._steady()))

    def demands(self) -> Mapping[str, float]:
        """
        Return the demand by workspace for the report to the agent.
        """
        with self._lock:
            return self._desk.ledger.report(self._steady())

    def apply_view(
        self, view: View, changes: ViewChanges | None = None
    ) -> None:
        """
        Take over new settings and targets.
        """
        with self._lock:
            self._desk.apply_view(view, self._steady(), changes)

    def _deliver(self, outcomes: Iterable[Outcome]) -> None:
        for outcome in outcomes:
            waiter = self._waiters.pop(outcome.request, None)
            if waiter is not None:
                waiter.refused = outcome.refused
                waiter.decided.set()
