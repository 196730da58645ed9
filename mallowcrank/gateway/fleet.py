"""
The targets that a gateway knows, and their health.
"""

from collections.abc import Iterable
from dataclasses import replace
from math import inf

from mallowcrank.gateway.gone_targets import GoneTargets
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.target_health import LayersReport, TargetHealth
from mallowcrank.gateway.targets import HeldLayers, Lifetime, Target

# Entries that expired during a store outage are back within two seconds after
# it; work at a target may go on for as long after its entry is gone.
LAPSED_ENTRY_GRACE_S = 1.8


class Fleet:
    """
    All targets, by identity.

    :ivar lapsed: targets whose entries may return, with the steady time, in
        seconds, from which their grace period counts.
    :ivar raw_entries: entries by identity, encoded as in the store.
    :ivar said_leaving: targets that have said in answers that they leave.
    """

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._targets: dict[str, Target] = {}
        self.lapsed: dict[str, float] = {}
        self.raw_entries: dict[str, bytes] = {}
        self._displaced: dict[str, bytes] = {}
        self._gone = GoneTargets()
        self.said_leaving: set[Lifetime] = set()
        self.health = TargetHealth(journal)
        self.changed_at = -inf
        self.entries_read_at = -inf

    def __len__(self) -> int:
        """
        Return the number of known targets.
        """
        return len(self._targets)

    def accepting_targets(self, service: str) -> list[Target]:
        """
        Return the targets of a service that accept new work.
        """
        return [
            target
            for target in self._targets.values()
            if target.service == service and not target.leaving
        ]

    def all_targets(self, service: str) -> list[Target]:
        """
        Return all targets of a service, also those that are leaving.
        """
        return [
            target
            for target in self._targets.values()
            if target.service == service
        ]

    def find(self, identity: str) -> Target | None:
        """
        Return the target with an identity.
        """
        return self._targets.get(identity)

    def find_by_address(self, address: str) -> Target | None:
        """
        Return the target at an address, `IP:PORT`.
        """
        for target in self._targets.values():
            if str(target.address) == address:
                return target
        return None

    def apply_entry(
        self,
        target: Target,
        raw: bytes,
        now: float,
        may_be_outdated: bool = False,
    ) -> None:
        """
        Add or update a target from its entry.

        An entry that is unchanged since its target lost its address to
        another one is ignored.

        :param raw: the entry as encoded in the store.
        :param now: steady time, in seconds.
        :param may_be_outdated: whether the store came back from an older copy;
            an entry from before what is known of its target is then ignored.
        """
        identity = target.identity
        if self._displaced.get(identity) == raw:
            return
        if may_be_outdated and self._gone.is_outdated(
            target, self._targets.get(identity)
        ):
            self.lapsed.pop(identity, None)
            self._journal.say(
                'fleet: outdated entry', target=identity, writes=target.writes
            )
            return
        self._displaced.pop(identity, None)
        before = self._targets.get(identity)
        # A target that keeps its address shares it with no other.
        if before is None or before.address != target.address:
            self._displace_others(target, now)
        target = self.health.with_reported_layers(target, now)
        if target.lifetime in self.said_leaving:
            target = replace(target, leaving=True)
        self._targets[identity] = target
        self.raw_entries[identity] = raw
        self.lapsed.pop(identity, None)
        if before is None or before.lifetime != target.lifetime:
            self.changed_at = now
            if before:
                self.said_leaving.discard(before.lifetime)
                self.health.forget(before.lifetime)
        if _differs(before, target):
            self._journal.say('fleet: target changed', **_described(target))

    def record_leaving(self, lifetime: Lifetime, source: str) -> None:
        """
        Record that a target has said in an answer that it leaves.

        No entry takes that back: it holds for the lifetime.

        :param source: what showed it, for the log.
        """
        target = self._targets.get(lifetime.identity)
        if lifetime in self.said_leaving or not is_current(self, lifetime):
            return
        self.said_leaving.add(lifetime)
        if target and not target.leaving:
            self._targets[lifetime.identity] = replace(target, leaving=True)
            self._journal.say(
                'fleet: target says it leaves',
                target=lifetime.identity,
                born_ms=lifetime.born_ms,
                source=source,
            )

    def update_layers(
        self,
        identity: str,
        layers: HeldLayers | None,
        now: float,
        is_direct: bool = True,
    ) -> None:
        """
        Update a target's layers from its own report.

        :param now: steady time, in seconds.
        :param is_direct: whether this gateway got the report from the target
            itself, not from another gateway.
        """
        target = self._targets.get(identity)
        if target is None or target.layers == layers:
            return
        if self.health.record_layers(
            target.lifetime, LayersReport(layers, now, is_direct)
        ):
            self._targets[identity] = replace(target, layers=layers)
            self._journal.say(
                'fleet: layers learned',
                **_described(self._targets[identity]),
            )

    def apply_removal(
        self, identity: str, since: float, is_confirmed: bool
    ) -> None:
        """
        Remove a target whose entry is gone.

        :param since: steady time from which the grace period counts, in
            seconds; the time of the removal if it is confirmed.
        :param is_confirmed: False shortly after a store outage; the target
            then stays for a grace period, in which its entry may return.
        """
        self._displaced.pop(identity, None)
        if identity not in self._targets:
            return
        if is_confirmed:
            self._drop(identity, since)
        elif identity not in self.lapsed:
            self.lapsed[identity] = since
            self._journal.say('fleet: entry lapsed', target=identity)

    def apply_missing(
        self, identities: Iterable[str], since: float, is_confirmed: bool
    ) -> None:
        """
        Remove the targets whose entries are missing from a full read.

        :param identities: those of all entries.
        :param since: as for `apply_removal`.
        :param is_confirmed: as for `apply_removal`.
        """
        present = set(identities)
        for identity in self._displaced.keys() - present:
            self._displaced.pop(identity)
        for identity in list(self._targets):
            if identity not in present:
                self.apply_removal(identity, since, is_confirmed)

    def drop_lapsed(self, now: float) -> None:
        """
        Remove the targets whose entries did not return in time.

        :param now: steady time, in seconds.
        """
        for identity, since in list(self.lapsed.items()):
            if now - since > LAPSED_ENTRY_GRACE_S:
                self._drop(identity, now)

    def _displace_others(self, target: Target, now: float) -> None:
        """
        Remove the targets whose address now belongs to another one.

        Their entries remain in the store for seconds, and are ignored while
        they don't change.
        """
        for other in list(self._targets.values()):
            is_other = other.identity != target.identity
            if is_other and other.address == target.address:
                self._displaced[other.identity] = self.raw_entries[
                    other.identity
                ]
                self._journal.say(
                    'fleet: address taken over',
                    target=other.identity,
                    by=target.identity,
                )
                self._drop(other.identity, now)

    def _drop(self, identity: str, now: float) -> None:
        target = self._targets.pop(identity, None)
        self.lapsed.pop(identity, None)
        self.raw_entries.pop(identity, None)
        if target:
            self.said_leaving.discard(target.lifetime)
            self.health.forget(target.lifetime)
            self._gone.record(target, now)
        self.changed_at = now
        self._journal.say('fleet: target gone', target=identity)


def is_current(fleet: Fleet, lifetime: Lifetime) -> bool:
    """
    Return whether a lifetime has not ended.
    """
    target = fleet.find(lifetime.identity)
    return target is not None and target.lifetime == lifetime


def _differs(before: Target | None, target: Target) -> bool:
    if before is None:
        return True
    return (before.lifetime, before.leaving, before.layers) != (
        target.lifetime,
        target.leaving,
        target.layers,
    )


def _described(target: Target) -> dict[str, object]:
    held = target.layers
    return {
        'target': target.identity,
        'born_ms': target.lifetime.born_ms,
        'service': target.service,
        'address': str(target.address),
        'zone': target.zone,
        'leaving': target.leaving,
        'layers': [held.first, held.end] if held else None,
    }
