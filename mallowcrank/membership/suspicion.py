"""
Failure detection of other agents.
"""

from collections.abc import Iterator
from dataclasses import replace

from mallowcrank.membership import queries
from mallowcrank.membership.events import Instant
from mallowcrank.membership.facts import (
    AGENT_PREFIX,
    Fact,
    MemberState,
    Observation,
    Verdict,
)
from mallowcrank.membership.keys import key_of
from mallowcrank.membership.quorum import (
    SUSPICION_WAIT_S,
    is_gone,
    is_redundant,
)
from mallowcrank.membership.store import FactStore

FAILURES_TO_SUSPECT = 2  # consecutive failed connections


class PeerSuspicion:
    """
    Derives observations from failed connections, and deaths from observations.

    :param name: this agent's name.
    """

    def __init__(self, name: str, store: FactStore) -> None:
        self._name = name
        self._store = store
        self._failures: dict[str, int] = {}
        self._suspected_at: dict[str, float] = {}

    def connect_failed(self, address: str, now: Instant) -> Iterator[Fact]:
        """
        Handle a failed connection.
        """
        for each in queries.members(self._store):
            if each.address == address and each.state != MemberState.DEAD:
                count = self._failures.get(each.name, 0) + 1
                self._failures[each.name] = count
                if count >= FAILURES_TO_SUSPECT:
                    yield from self.observe(each.name, Verdict.FAILED, now)

    def connected(self, name: str, now: Instant) -> Iterator[Fact]:
        """
        Handle an established connection.
        """
        if self._failures.pop(name, 0) >= FAILURES_TO_SUSPECT:
            yield from self.observe(name, Verdict.ALIVE, now)

    def suspect(
        self, name: str, is_responsive: bool, now: Instant
    ) -> Iterator[Fact]:
        """
        Handle an observation that an agent failed.

        :param is_responsive: whether this agent still receives its messages.
        """
        self._suspected_at[name] = now.steady
        if is_responsive:
            yield from self.observe(name, Verdict.ALIVE, now)

    def observe(
        self, name: str, verdict: Verdict, now: Instant
    ) -> Iterator[Observation]:
        """
        Yield this agent's own observation, unless it is redundant.
        """
        known = queries.member(self._store, name)
        if known is None or known.state == MemberState.DEAD:
            return
        observation = Observation(
            AGENT_PREFIX + name,
            self._name,
            known.incarnation,
            now.wall,
            verdict,
        )
        previous = self._store.get(key_of(observation))
        others = queries.observations(self._store, observation.subject)
        if not is_redundant(observation, previous, others):
            yield observation

    def confirm_deaths(self, now: Instant) -> Iterator[Fact]:
        """
        Yield the agents as dead that a quorum still finds failed after the
        wait for contradicting observations.
        """
        for name, since in tuple(self._suspected_at.items()):
            if now.steady - since >= SUSPICION_WAIT_S:
                yield from self._check_quorum(name, now)

    def _check_quorum(self, name: str, now: Instant) -> Iterator[Fact]:
        known = queries.member(self._store, name)
        evidence = queries.observations(self._store, AGENT_PREFIX + name)
        if known is None or known.state == MemberState.DEAD or not evidence:
            self._suspected_at.pop(name)
            return
        others = len(queries.live_agents(self._store)) - 1
        if is_gone(evidence, known.incarnation, others):
            self._suspected_at.pop(name)
            yield replace(known, state=MemberState.DEAD, stamp=now.wall)
