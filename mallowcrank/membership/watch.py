"""
Failure detection of targets.
"""

from collections.abc import Iterator
from dataclasses import replace

from mallowcrank.membership import queries
from mallowcrank.membership.events import Instant
from mallowcrank.membership.facts import (
    Fact,
    Load,
    Observation,
    TargetFact,
    Verdict,
)
from mallowcrank.membership.keys import key_of
from mallowcrank.membership.probing import PROBE_RETRY_DELAY_S, ProbeSchedule
from mallowcrank.membership.quorum import (
    MAX_FAILED_OBSERVERS,
    SUSPICION_WAIT_S,
    failures,
    is_gone,
    is_redundant,
)
from mallowcrank.membership.reports import (
    LEAVING_REASON,
    ProbeResult,
    Suspect,
)
from mallowcrank.membership.routers import should_publish_load
from mallowcrank.membership.store import FactStore

FAILURES_TO_SUSPECT = 2  # consecutive failed probes
MIN_STEP_CHANGE = 0.2  # minimum relative change of step_ms to publish


class TargetWatch:
    """
    Derives facts on targets from probes, router reports and observations.

    :param name: this agent's name.
    :param store: the known facts, including the host list.
    :param schedule: the schedule of this agent's probes.
    """

    def __init__(
        self, name: str, store: FactStore, schedule: ProbeSchedule
    ) -> None:
        self._name = name
        self._store = store
        self._schedule = schedule
        self._failures: dict[str, int] = {}
        self._suspected_incarnations: dict[str, int] = {}
        self._suspected_at: dict[str, float] = {}
        self._changed: set[str] = set()

    # Queries

    def is_suspected(self, target: str, incarnation: int) -> bool:
        """
        Return whether this agent itself suspects a target.
        """
        suspected = self._suspected_incarnations.get(target)
        return suspected is not None and suspected >= incarnation

    # Commands

    def pop_changed(self) -> frozenset[str]:
        """
        Return the targets whose suspicion by this agent has changed since the
        last call.
        """
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    def probed(self, outcome: ProbeResult, now: Instant) -> Iterator[Fact]:
        """
        Handle the result of a probe.
        """
        name = outcome.name
        if outcome.fact is None:
            yield from self._probe_failed(outcome, now)
            return
        self._schedule.finish_probe(name, now.wall, None)
        self._failures.pop(name, None)
        was_suspected = self._clear_suspicion(name)
        yield from self._description_facts(outcome.fact, now)
        evidence = queries.observations(self._store, name)
        failed = failures(evidence, outcome.fact.incarnation)
        if was_suspected or failed:
            yield from self._observe(outcome.fact, Verdict.ALIVE, '', now)
        yield from self._load_facts(outcome, now)

    def reported(self, suspect: Suspect, now: Instant) -> Iterator[Fact]:
        """
        Handle a report of this host's router that a target is unusable.
        """
        known = queries.target(self._store, suspect.target)
        if known is None or suspect.incarnation < known.incarnation:
            return
        if suspect.reason == LEAVING_REASON:
            if not known.leaving:
                yield replace(known, leaving=True, stamp=now.wall)
            return
        self._suspect(known)
        self._schedule.probe_now(known.name, now.wall)
        yield from self._observe(known, Verdict.FAILED, suspect.reason, now)

    def fact_updated(self, fact: Fact, now: Instant) -> None:
        """
        Handle a fact that was added or replaced.
        """
        if isinstance(fact, TargetFact):
            if self._suspected_incarnations.get(fact.name, fact.incarnation) < (
                fact.incarnation
            ):
                self._clear_suspicion(fact.name)
        if not isinstance(fact, Observation):
            return
        if fact.verdict == Verdict.FAILED:
            self._suspected_at[fact.subject] = now.steady
            if self._schedule.is_observer(fact.subject):
                self._schedule.probe_now(fact.subject, now.wall)

    def confirm_gone(self, now: Instant) -> Iterator[Fact]:
        """
        Yield the targets as gone that a quorum still finds failed after the
        wait for contradicting observations.
        """
        for name, since in tuple(self._suspected_at.items()):
            if now.steady - since >= SUSPICION_WAIT_S:
                yield from self._check_quorum(name, now)

    def _suspect(self, known: TargetFact) -> None:
        self._suspected_incarnations[known.name] = known.incarnation
        self._changed.add(known.name)

    def _clear_suspicion(self, name: str) -> bool:
        if self._suspected_incarnations.pop(name, None) is None:
            return False
        self._changed.add(name)
        return True

    def _check_quorum(self, name: str, now: Instant) -> Iterator[Fact]:
        known = queries.target(self._store, name)
        evidence = queries.observations(self._store, name)
        if known is None or known.gone or not evidence:
            self._suspected_at.pop(name)
            return
        entry = queries.listing(self._store, name)
        is_listed = entry is None or entry.present
        observers = len(self._schedule.observers(name)) if is_listed else 1
        if is_gone(evidence, known.incarnation, observers):
            self._suspected_at.pop(name)
            yield replace(
                known, gone=True, version=known.version + 1, stamp=now.wall
            )

    def _probe_failed(
        self, outcome: ProbeResult, now: Instant
    ) -> Iterator[Fact]:
        name = outcome.name
        count = self._failures.get(name, 0) + 1
        self._failures[name] = count
        known = queries.target(self._store, name)
        retried = count < FAILURES_TO_SUSPECT and not is_unconfirmed(
            self._store, known
        )
        self._schedule.finish_probe(
            name, now.wall, PROBE_RETRY_DELAY_S if retried else None
        )
        if known is None or known.gone or retried:
            return
        self._suspect(known)
        yield from self._observe(known, Verdict.FAILED, outcome.reason, now)

    def _description_facts(
        self, described: TargetFact, now: Instant
    ) -> Iterator[Fact]:
        known = queries.target(self._store, described.name)
        if known is None or known.incarnation < described.incarnation:
            yield replace(described, stamp=now.wall)
        elif (
            known.incarnation == described.incarnation
            and is_description_changed(known, described)
        ):
            yield replace(
                described,
                leaving=described.leaving or known.leaving,
                version=known.version + 1,
                stamp=now.wall,
            )

    def _observe(
        self, known: TargetFact, verdict: Verdict, reason: str, now: Instant
    ) -> Iterator[Observation]:
        observation = Observation(
            known.name,
            self._name,
            known.incarnation,
            now.wall,
            verdict,
            reason,
        )
        others = queries.observations(self._store, known.name)
        has_enough = (
            verdict == Verdict.FAILED
            and len(failures(others, known.incarnation)) >= MAX_FAILED_OBSERVERS
        )
        previous = self._store.get(key_of(observation))
        if not has_enough and not is_redundant(observation, previous, others):
            yield observation

    def _load_facts(self, outcome: ProbeResult, now: Instant) -> Iterator[Load]:
        known: Load | None = self._store.get(('l', outcome.name))
        count = self._store.count('t')
        if should_publish_load(known, outcome.load, count, now.wall):
            yield Load(outcome.name, now.wall, outcome.load)


def is_description_changed(known: TargetFact, described: TargetFact) -> bool:
    """
    Return whether a target's description has changed enough to be published.
    """
    step_change_ms = abs(described.step_ms - known.step_ms)
    step_ms = known.step_ms
    if step_change_ms > MIN_STEP_CHANGE * known.step_ms:
        step_ms = described.step_ms
    comparable = replace(
        described,
        version=known.version,
        stamp=known.stamp,
        leaving=described.leaving or known.leaving,
        step_ms=known.step_ms,
    )
    return comparable != known or step_ms != known.step_ms


def is_unconfirmed(store: FactStore, known: TargetFact | None) -> bool:
    """
    Return whether a target is unknown or some observer reported a failure.
    """
    if known is None:
        return True
    evidence = queries.observations(store, known.name)
    return bool(failures(evidence, known.incarnation))
