"""
The admission policy: a thread-safe facade over the admission controller.

Each request waits in its own thread. It is rechecked periodically, so that it
is refused as soon as it can't meet its deadline.
"""

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from mallowcrank.changes import ViewChanges
from mallowcrank.policy.admission_controller import AdmissionController, Outcome
from mallowcrank.policy.settings import PolicySettings
from mallowcrank.refusals import Refused
from mallowcrank.router.ports import Ticket
from mallowcrank.view import View

RECHECK_PERIOD_S = 0.1


@dataclass(slots=True)
class _Waiter:
    decided: threading.Event = field(default_factory=threading.Event)
    refused: Refused | None = None


class Admission:
    """
    Decides when a request starts: limits, fair queues, reserved capacity.

    :param slowdown: returns the slowdown of a pool's targets.
    """

    def __init__(
        self, settings: PolicySettings, slowdown: Callable[[str], float]
    ) -> None:
        self._steady = settings.steady
        self._lock = threading.Lock()
        self._waiters: dict[str, _Waiter] = {}
        self._controller = AdmissionController(
            settings.router.threads,
            settings.router.host_settings.host,
            slowdown,
        )

    # Queries

    def step_priority(self, ticket: Ticket) -> int:
        """
        Return the priority of a request's steps on engines.
        """
        with self._lock:
            return self._controller.step_priority(ticket)

    # Commands

    def admit(self, ticket: Ticket) -> Refused | None:
        """
        Wait until the request may start, or refuse it before its deadline.

        :returns: the refusal, or `None` if the request may start.
        """
        waiter = _Waiter()
        with self._lock:
            self._waiters[ticket.request] = waiter
            self._wake_waiters(self._controller.arrive(ticket, self._steady()))
        while not waiter.decided.wait(RECHECK_PERIOD_S):
            with self._lock:
                outcomes = self._controller.recheck(
                    ticket.request, self._steady()
                )
                self._wake_waiters(outcomes)
        return waiter.refused

    def release(self, ticket: Ticket, tokens: int) -> None:
        """
        Release what the request held.

        :param tokens: tokens that it actually cost.
        """
        with self._lock:
            self._wake_waiters(
                self._controller.leave(ticket, tokens, self._steady())
            )

    def demands(self) -> Mapping[str, float]:
        """
        Return the demand by workspace, for the report to the agent.
        """
        with self._lock:
            return self._controller.ledger.report(self._steady())

    def apply_view(
        self, view: View, changes: ViewChanges | None = None
    ) -> None:
        """
        Apply the settings and targets of a new view.

        :param changes: what changed since the last view, if known.
        """
        with self._lock:
            self._controller.apply_view(view, self._steady(), changes)

    def _wake_waiters(self, outcomes: Iterable[Outcome]) -> None:
        for outcome in outcomes:
            waiter = self._waiters.pop(outcome.request, None)
            if waiter is not None:
                waiter.refused = outcome.refused
                waiter.decided.set()
