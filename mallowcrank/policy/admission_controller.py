"""
Admission control as a state machine: limits, capacity, fair queues and early
refusals.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from mallowcrank.changes import ViewChanges, compare_views
from mallowcrank.fairness.capacity import CapacitySettings, RequestCapacity
from mallowcrank.fairness.pool import Pool
from mallowcrank.fairness.queue import Entry
from mallowcrank.limits.ledger import LimitLedger
from mallowcrank.overload.concurrency import adjust
from mallowcrank.policy import refusing
from mallowcrank.policy.pools import Pools
from mallowcrank.refusals import Refused
from mallowcrank.router.ports import Ticket
from mallowcrank.view import ServiceSettings, View

HOUSEKEEPING_PERIOD_S = 10
DEFAULT_SERVICE_SETTINGS = ServiceSettings('')


@dataclass(frozen=True, slots=True)
class Outcome:
    """
    The decision on a request.

    :param refused: why it may not start, or `None` if it may.
    """

    request: str
    refused: Refused | None = None


@dataclass(frozen=True, slots=True)
class _ActiveRequest:
    """
    A request that waits or runs.

    :param entry: its queue entry.
    :param in_room: whether it counts against the router's threads; reserved
        calls don't.
    :param started: steady time in seconds, or `None` while it waits.
    """

    entry: Entry
    in_room: bool = True
    started: float | None = None


class AdmissionController:
    """
    Decides when requests start.

    Commands that may start or refuse requests return an outcome for each.

    :param threads: number of request threads of the router.
    :param router: the router's name among its peers.
    :param slowdown: returns the slowdown of a pool's targets.
    """

    def __init__(
        self, threads: int, router: str, slowdown: Callable[[str], float]
    ) -> None:
        self.ledger = LimitLedger()
        self.pools = Pools(router)
        self._view = View()
        self._slowdown = slowdown
        self._room = RequestCapacity(CapacitySettings(threads))
        self._active: dict[str, _ActiveRequest] = {}
        self._number = 0
        self._last_housekeeping: float = 0

    # Queries

    def step_priority(self, ticket: Ticket) -> int:
        """
        Return 1 for a request of a branch below its share, else 0.
        """
        active = self._active.get(ticket.request)
        if active is None:
            return 0
        pool = self.pools.get(ticket.serves)
        return int(pool.is_below_share(active.entry.workspace.branch))

    # Commands

    def apply_view(
        self, view: View, now: float, changes: ViewChanges | None = None
    ) -> None:
        """
        Apply the settings and targets of a new view.

        :param now: steady time in seconds.
        :param changes: what changed since the last view, if known.
        """
        if changes is None:
            changes = compare_views(self._view, view)
        self._view = view
        self.pools.apply_view(view, changes)
        self.ledger.update_peers(self.pools.read_peer_demands(now), now)
        if changes.services:
            reserved = sum(each.reserved for each in view.services.values())
            threads = self._room.settings.threads
            self._room.settings = CapacitySettings(threads, reserved)
        if now - self._last_housekeeping > HOUSEKEEPING_PERIOD_S:
            self._last_housekeeping = now
            self.ledger.forget_idle(now)
            self.pools.forget_idle()

    def arrive(self, ticket: Ticket, now: float) -> Iterator[Outcome]:
        """
        Reserve, queue or refuse a new request.

        :param now: steady time in seconds.
        """
        workspace = self._view.workspaces.get(ticket.workspace)
        if workspace is None:
            yield Outcome(ticket.request, refusing.unknown_workspace(ticket))
            return
        self._number += 1
        entry = Entry(ticket, workspace, self._number)
        if self._is_reserved(ticket):
            self._active[ticket.request] = _ActiveRequest(
                entry, in_room=False, started=now
            )
            yield Outcome(ticket.request)
            return
        exceeded = self.ledger.admit(workspace, ticket.tokens, now)
        if exceeded:
            yield Outcome(ticket.request, refusing.over_limit(exceeded))
            return
        yield from self._queue(entry, now)

    def recheck(self, request: str, now: float) -> Iterator[Outcome]:
        """
        Start a waiting request, or refuse it once it can't meet its deadline.

        :param now: steady time in seconds.
        """
        active = self._active.get(request)
        if active is None or active.started is not None:
            return
        pool = self.pools.get(active.entry.ticket.serves)
        yield from self._start(pool, active.entry.ticket.serves, now)
        if self._active[request].started is None:
            if pool.misses_deadline(active.entry, now):
                yield self._refuse_waiting(active.entry, pool, now)

    def leave(
        self, ticket: Ticket, tokens: int, now: float
    ) -> Iterator[Outcome]:
        """
        Release what a finished request held, and start waiting requests.

        :param tokens: tokens that it actually cost.
        :param now: steady time in seconds.
        """
        active = self._active.pop(ticket.request, None)
        if active is None or active.started is None or not active.in_room:
            return
        self._room.release(active.entry.workspace.branch)
        self.ledger.release(ticket.workspace, ticket.tokens - tokens)
        pool = self.pools.get(ticket.serves)
        pool.finish(active.entry, now - active.started, tokens)
        yield from self._start(pool, ticket.serves, now)

    def _is_reserved(self, ticket: Ticket) -> bool:
        service = self._view.services.get(
            ticket.serves, DEFAULT_SERVICE_SETTINGS
        )
        if not ticket.is_service or not service.reserved and not service.urgent:
            return False
        if service.urgent:
            return True
        running = sum(
            active.entry.ticket.serves == ticket.serves and not active.in_room
            for active in self._active.values()
        )
        return running < service.reserved

    def _queue(self, entry: Entry, now: float) -> Iterator[Outcome]:
        ticket = entry.ticket
        pool = self.pools.get(ticket.serves)
        if pool.misses_deadline(entry, now, is_new=True):
            self.ledger.cancel(ticket.workspace, ticket.tokens)
            refused = refusing.too_late(pool.assign_retry_after_s(entry, now))
            yield Outcome(ticket.request, refused)
            return
        if self._room.is_full:
            displaced = self._displace(entry, now)
            if displaced is None:
                self.ledger.cancel(ticket.workspace, ticket.tokens)
                refused = refusing.overloaded(
                    pool.assign_retry_after_s(entry, now)
                )
                yield Outcome(ticket.request, refused)
                return
            yield displaced
        self._room.acquire(entry.workspace.branch)
        self._active[ticket.request] = _ActiveRequest(entry)
        pool.push(entry)
        yield from self._start(pool, ticket.serves, now)

    def _start(self, pool: Pool, serves: str, now: float) -> Iterator[Outcome]:
        if self.pools.is_adaptive(serves):
            pool.limit = adjust(
                pool.limit, self._slowdown(serves), len(pool.queue), now
            )
        for entry in iter(pool.pop, None):
            request = entry.ticket.request
            self._active[request] = _ActiveRequest(entry, started=now)
            yield Outcome(request)

    def _displace(self, entry: Entry, now: float) -> Outcome | None:
        share = self.pools.share_of(entry.workspace)
        largest_branch = self._room.largest_holder(
            entry.workspace.branch, share
        )
        waiting = [
            active.entry
            for active in self._active.values()
            if active.started is None
            and active.entry.workspace.branch == largest_branch
        ]
        if largest_branch is None or not waiting:
            return None
        displaced = min(waiting, key=_displacement_order)
        return self._refuse_waiting(
            displaced, self.pools.get(displaced.ticket.serves), now
        )

    def _refuse_waiting(self, entry: Entry, pool: Pool, now: float) -> Outcome:
        ticket = entry.ticket
        wait_s = pool.assign_retry_after_s(entry, now)
        pool.queue.remove(entry)
        self._active.pop(ticket.request)
        self._room.release(entry.workspace.branch)
        self.ledger.cancel(ticket.workspace, ticket.tokens)
        return Outcome(ticket.request, refusing.too_late(wait_s))


def _displacement_order(entry: Entry) -> tuple[int, int]:
    return entry.urgency, -entry.number
