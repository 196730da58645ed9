"""
The state machine of one agent's membership.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

from mallowcrank.membership import queries
from mallowcrank.membership.assignment import WorkAssignment
from mallowcrank.membership.events import (
    Effect,
    FactUpdated,
    Instant,
    ReadHostList,
    StartProbe,
)
from mallowcrank.membership.facts import (
    Demand,
    Fact,
    Hold,
    Listing,
    Load,
    Member,
    MemberState,
    TargetFact,
)
from mallowcrank.membership.gossip import Gossip
from mallowcrank.membership.probing import ProbeSchedule
from mallowcrank.membership.reports import ProbeResult, parse_suspects
from mallowcrank.membership.routers import (
    ROUTER_PREFIX,
    router_facts,
    with_router,
)
from mallowcrank.membership.views import (
    KnownTarget,
    changed_listings,
    peer_of,
    target_of,
)
from mallowcrank.membership.watch import TargetWatch
from mallowcrank.ports import ListedHost
from mallowcrank.view import Peer, Target

ROUTER_REPORT_TIMEOUT_S = 5  # a silent router is marked as leaving


class Membership:
    """
    Combines gossip, probing, the host list and the router's reports.

    :param local_member: this agent.
    :param seeds: addresses of the agents to contact first.
    """

    def __init__(self, local_member: Member, seeds: tuple[str, ...]) -> None:
        self.gossip = Gossip(local_member, seeds)
        self._schedule = ProbeSchedule(local_member.name)
        self._watch = TargetWatch(
            local_member.name, self.gossip.store, self._schedule
        )
        self._assignment = WorkAssignment(
            local_member.name, self.gossip.store, self._schedule
        )
        self._last_report: float | None = None
        self._changed_targets: set[str] = set()
        self._held_targets: set[str] = set()
        self._peers_changed = False

    # Queries

    def targets(self, wall: float) -> dict[str, Target]:
        """
        Return the targets in the form that this host's router receives.

        :param wall: seconds since the epoch.
        """
        return {
            fact.name: self.target(fact, wall)
            for fact in queries.targets(self.gossip.store)
        }

    def target(self, fact: TargetFact, wall: float) -> Target:
        """
        Return one target in the form that this host's router receives.
        """
        store = self.gossip.store
        known = KnownTarget(
            fact,
            queries.listing(store, fact.name),
            queries.hold(store, fact.name),
            self._watch.is_suspected(fact.name, fact.incarnation),
        )
        return target_of(known, queries.load(store, fact.name), wall)

    def peers(self) -> dict[str, Peer]:
        """
        Return the known routers, including this host's own.
        """
        store = self.gossip.store
        return {
            known.router: peer_of(
                known,
                queries.load(store, f'{ROUTER_PREFIX}{known.router}'),
                queries.demand(store, known.router),
            )
            for known in queries.members(store)
            if known.router and known.state != MemberState.DEAD
        }

    # Commands

    def pop_changed_targets(self, wall: float) -> dict[str, Target]:
        """
        Return the targets whose state may have changed since the last call.

        :param wall: seconds since the epoch.
        """
        store = self.gossip.store
        names = (
            self._changed_targets
            | self._watch.pop_changed()
            | self._held_targets
        )
        self._held_targets = {
            each.name
            for each in store.of_kind('x')
            if each.active and wall < each.until
        }
        self._changed_targets = set()
        known = (queries.target(store, name) for name in names)
        return {fact.name: self.target(fact, wall) for fact in known if fact}

    def pop_peers_changed(self) -> bool:
        """
        Return whether any router has changed since the last call.
        """
        changed = self._peers_changed
        self._peers_changed = False
        return changed

    def leave(self, now: Instant) -> list[Effect]:
        """
        Announce to other agents that this host is leaving.
        """
        leaving = replace(
            self.gossip.local_member,
            state=MemberState.LEAVING,
            router_leaving=True,
        )
        return self.gossip.update_local_member(leaving, now)

    def probed(self, outcome: ProbeResult, now: Instant) -> list[Effect]:
        """
        Handle the result of a probe.
        """
        return self.gossip.publish(self._watch.probed(outcome, now), now)

    def listed(self, hosts: Iterable[ListedHost], now: Instant) -> list[Effect]:
        """
        Handle a read of the platform's host list.
        """
        changes = changed_listings(self.gossip.store, hosts, now.wall)
        return self.gossip.publish(tuple(changes), now)

    def reported(self, report: Mapping[str, Any], now: Instant) -> list[Effect]:
        """
        Handle a hello or report of this host's router, or its loss.
        """
        self._last_report = now.steady
        before = self.gossip.local_member
        own_member = with_router(before, report)
        effects: list[Effect] = []
        if own_member != before:
            effects.extend(self.gossip.update_local_member(own_member, now))
        for suspect in parse_suspects(report):
            observed = self._watch.reported(suspect, now)
            effects.extend(self.gossip.publish(observed, now))
        facts = router_facts(self.gossip.store, own_member, report, now.wall)
        effects.extend(self.gossip.publish(tuple(facts), now))
        return effects

    def tick(self, now: Instant) -> list[Effect]:
        """
        Run the periodic work; to be called a few times a second.
        """
        effects = self.gossip.tick(now)
        confirmed = self._watch.confirm_gone(now)
        effects.extend(self.gossip.publish(confirmed, now))
        effects.extend(self._check_router(now))
        self._assignment.reassign_if_stale(now)
        if self._assignment.claim_list_turn(now):
            effects.append(ReadHostList())
        for probe in self._schedule.pop_due(now.wall):
            effects.append(StartProbe(probe.name, probe.address))
        return effects

    def apply_updates(
        self, effects: list[Effect], now: Instant
    ) -> list[Effect]:
        """
        Apply the fact updates among the effects; return the effects.
        """
        for effect in effects:
            if isinstance(effect, FactUpdated):
                self._watch.fact_updated(effect.fact, now)
                self._assignment.fact_updated(effect.fact, now)
                self._mark_changed(effect.fact)
        return effects

    def _mark_changed(self, fact: Fact) -> None:
        if isinstance(fact, (TargetFact, Listing, Hold)):
            self._changed_targets.add(fact.name)
        elif isinstance(fact, (Member, Demand)):
            self._peers_changed = True
        elif isinstance(fact, Load):
            self._changed_targets.add(fact.name)
            self._peers_changed |= fact.name.startswith(ROUTER_PREFIX)

    def _check_router(self, now: Instant) -> list[Effect]:
        own_member = self.gossip.local_member
        if self._last_report is None or own_member.router_leaving:
            return []
        if now.steady - self._last_report < ROUTER_REPORT_TIMEOUT_S:
            return []
        return self.gossip.update_local_member(
            replace(own_member, router_leaving=True), now
        )
