"""
Suspicion of other agents: who counts as dead, and why.
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

FAILURES_TO_SUSPECT = (
    2  # failed connections until an agent is observed as failed
)


class PeerSuspicion:
    """
    Turns failed connections into observations, and those into deaths.

    :param name: this agent's name.
    """

    def __init__(self, name: str, store: FactStore) -> None:
        self._name = name
        self._store = store
        self._failures: dict[str, int] = {}
        self._suspected_at: dict[str, float] = {}

    def connect_failed(self, address: str, now: Instant) -> Iterator[Fact]:
        """
        A connection could not be made.
        """
        for each in queries.members(self._store):
            if each.address == address and each.state != MemberState.DEAD:
                count = self._failures.get(each.name, 0) + 1
                self._failures[each.name] = count
                if count >= FAILURES_TO_SUSPECT:
                    yield from self.observe(each.name, Verdict.FAILED, now)

    def connected(self, name: str, now: Instant) -> Iterator[Fact]:
        """
        A connection was made.
        """
        if self._failures.pop(name, 0) >= FAILURES_TO_SUSPECT:
            yield from self.observe(name, Verdict.ALIVE, now)

    def suspect(
        self, name: str, is_responsive: bool, now: Instant
    ) -> Iterator[Fact]:
        """
        Someone observed that an agent failed.

        :param hears: whether this agent still hears it.
        """
        self._suspected_at[name] = now.steady
        if is_responsive:
            yield from self.observe(name, Verdict.ALIVE, now)

    def observe(
        self, name: str, verdict: Verdict, now: Instant
    ) -> Iterator[Observation]:
        """
        Yield this agent's own observation, unless it was just said.
        """
        known = queries.member(self._store, name)
        if known is None or known.state == MemberState.DEAD:
            return
        seen = Observation(
            AGENT_PREFIX + name,
            self._name,
            known.incarnation,
            now.wall,
            verdict,
        )
        previous = self._store.get(key_of(seen))
        others = queries.observations(self._store, seen.subject)
        if not is_redundant(seen, previous, others):
            yield seen

    def confirm_deaths(self, now: Instant) -> Iterator[Fact]:
        """
        Yield the deaths that nobody contradicted in time.
        """
        for name, since in tuple(self._suspected_at.items()):
            if now.steady - since >= SUSPICION_WAIT_S:
                yield from self._check_quorum(name, now)

    def _check_quorum(self, name: str, now: Instant) -> Iterator[Fact]:
        known = queries.member(self._store, name)
        seen = queries.observations(self._store, AGENT_PREFIX + name)
        if known is None or known.state == MemberState.DEAD or not seen:
            self._suspected_at.pop(name)
            return
        others = len(queries.live_agents(self._store)) - 1
        if is_gone(seen, known.incarnation, others):
            self._suspected_at.pop(name)
            yield replace(known, state=MemberState.DEAD, stamp=now.wall)
