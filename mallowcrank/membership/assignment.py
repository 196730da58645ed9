"""
Assignment of targets and of host list reads to agents.
"""

from collections.abc import Mapping

from mallowcrank.membership import queries
from mallowcrank.membership.events import Instant
from mallowcrank.membership.facts import Fact, Listing, Member, TargetFact
from mallowcrank.membership.overlay import ObserverRing
from mallowcrank.membership.probing import ProbeSchedule
from mallowcrank.membership.store import FactStore

REASSIGN_INTERVAL_S = 1  # batches frequent membership changes
LIST_READ_INTERVAL_S = 1  # between reads of the host list by any agent


class WorkAssignment:
    """
    Keeps one agent's assigned work up to date with its known facts.

    :param name: this agent's name.
    """

    def __init__(
        self, name: str, store: FactStore, schedule: ProbeSchedule
    ) -> None:
        self._name = name
        self._store = store
        self._schedule = schedule
        self._live: Mapping[str, str] = {}
        self._ring = ObserverRing({})
        self._last_list_turn = 0
        self._is_stale = False
        self._last_reassigned: float = 0

    @property
    def live(self) -> Mapping[str, str]:
        """
        Return the live agents with their availability zones.
        """
        return self._live

    def fact_updated(self, fact: Fact, now: Instant) -> None:
        """
        Handle a fact that was added or replaced.
        """
        if isinstance(fact, Member):
            self._is_stale = True
        elif isinstance(fact, (Listing, TargetFact)):
            if self._is_removed(fact.name):
                self._schedule.remove_target(fact.name)
            else:
                self._schedule.add_target(fact.name, fact.address, now.wall)
                self._probe_if_undescribed(fact.name, now)

    def claim_list_turn(self, now: Instant) -> bool:
        """
        Return whether this agent has to read the host list now.

        The list of a large fleet is long. To limit the cost for each agent,
        the agents take turns by hash and publish the changes.
        """
        turn = int(now.wall // LIST_READ_INTERVAL_S)
        if turn == self._last_list_turn:
            return False
        self._last_list_turn = turn
        return self._ring.observers(f'list/{turn}', 1) == (self._name,)

    def reassign_if_stale(self, now: Instant) -> None:
        """
        Reassign all work if agents have changed, batching frequent changes.
        """
        if (
            not self._is_stale
            or now.steady - self._last_reassigned < REASSIGN_INTERVAL_S
        ):
            return
        self._is_stale = False
        self._last_reassigned = now.steady
        live = queries.live_agents(self._store)
        if live != self._live:
            self._live = live
            self._ring = ObserverRing(live)
            self._schedule.reassign_all(self._ring, now.wall)
            for entry in queries.listings(self._store):
                self._probe_if_undescribed(entry.name, now)

    def _probe_if_undescribed(self, name: str, now: Instant) -> None:
        known = queries.target(self._store, name)
        if known is None and self._schedule.is_prober(name):
            self._schedule.probe_now(name, now.wall)

    def _is_removed(self, name: str) -> bool:
        known = queries.target(self._store, name)
        if known is not None and not known.gone:
            return False
        entry = queries.listing(self._store, name)
        return entry is None or not entry.present
