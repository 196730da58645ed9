"""
Health of targets as a gateway observes it: silence, slowness, refusals.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from math import inf

from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.targets import HeldLayers, Lifetime, Target

PACE_TTL_S = 4
SLOW_PACE = 1.2
MIN_BACKOFF_S = 0.4  # doubles with each refusal in a row
MAX_BACKOFF_S = 4
MAX_REFUSALS = 3  # in a row, after which a target is treated as leaving
# An entry may be two heartbeats old, while a report is current.
LAYERS_TTL_S = 3
LOGGED_PACE_CHANGE = 0.5


@dataclass(frozen=True, slots=True)
class PaceSample:
    """
    A measurement of a target's speed.

    :param pace: factor on the target's usual times.
    :param at: steady time, in seconds.
    """

    pace: float
    at: float


@dataclass(frozen=True, slots=True)
class PeerPace:
    """
    A pace that another gateway measured.

    :param pace: factor on the target's usual times.
    :param valid_until: steady time, in seconds.
    """

    pace: float
    valid_until: float


@dataclass(frozen=True, slots=True)
class RefusalStreak:
    """
    Consecutive refusals by a target.

    :param backoff_until: steady time, in seconds.
    """

    count: int
    backoff_until: float


@dataclass(frozen=True, slots=True)
class LayersReport:
    """
    Layers that a target reported before its entry showed them.

    :param at: steady time, in seconds.
    :param is_direct: whether this gateway got the report from the target
        itself, not from another gateway.
    """

    layers: HeldLayers | None
    at: float
    is_direct: bool


class TargetHealth:
    """
    Observations by lifetime of a target.
    """

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._paces: dict[Lifetime, PaceSample] = {}
        self._peer_paces: dict[Lifetime, PeerPace] = {}
        self._unresponsive: dict[Lifetime, float] = {}
        self._refusing: set[Lifetime] = set()
        self._refusals: dict[Lifetime, RefusalStreak] = {}
        self._layers: dict[Lifetime, LayersReport] = {}
        self._progress_at: dict[Lifetime, float] = {}

    def unresponsive(self) -> Mapping[Lifetime, float]:
        """
        Return the lifetimes that don't answer, with the steady time at which
        each was found silent, in seconds.
        """
        return self._unresponsive

    def idle_since(
        self, lifetimes: Iterable[Lifetime], moment: float
    ) -> list[Lifetime]:
        """
        Return the lifetimes without progress in any stream since a moment.

        :param moment: steady time, in seconds.
        """
        return [
            lifetime
            for lifetime in lifetimes
            if self._progress_at.get(lifetime, -inf) < moment
        ]

    def pace(self, lifetime: Lifetime, now: float) -> float:
        """
        Return the factor on a target's usual times; 1 if it is unknown.

        :param now: steady time, in seconds.
        """
        peer_pace = self._peer_paces.get(lifetime)
        if peer_pace and now < peer_pace.valid_until:
            return peer_pace.pace
        sample = self._paces.get(lifetime)
        if sample is None or now - sample.at > PACE_TTL_S:
            return 1
        return sample.pace

    def slow_paces(self, now: float) -> Mapping[str, float]:
        """
        Return the paces of slow targets by identity, as far as this gateway
        measured them itself.

        :param now: steady time, in seconds.
        """
        return {
            lifetime.identity: sample.pace
            for lifetime, sample in self._paces.items()
            if sample.pace > SLOW_PACE and now - sample.at < PACE_TTL_S
        }

    def backing_off(self, now: float) -> list[Lifetime]:
        """
        Return the lifetimes that get no requests after a refusal.

        :param now: steady time, in seconds.
        """
        return [
            lifetime
            for lifetime, refusals in self._refusals.items()
            if refusals.backoff_until > now
        ]

    def refuses_repeatedly(self, lifetime: Lifetime) -> bool:
        """
        Return whether a target has refused several requests in a row.
        """
        refusals = self._refusals.get(lifetime)
        if refusals is None:
            return False
        return refusals.count >= MAX_REFUSALS

    def record_peer_pace(
        self, lifetime: Lifetime, pace: float, valid_until: float
    ) -> None:
        """
        Record a pace that another gateway measured.

        :param valid_until: steady time, in seconds; the other gateway repeats
            it with each status.
        """
        self._peer_paces[lifetime] = PeerPace(pace, valid_until)

    def refuses_connections(self, lifetime: Lifetime) -> bool:
        """
        Return whether a target that doesn't answer refuses connections, too:
        it has ended, and isn't merely silent.
        """
        return lifetime in self._refusing

    def record_refused_connection(self, lifetime: Lifetime) -> None:
        """
        Record that a connection to a target was refused.
        """
        self._refusing.add(lifetime)

    def record_refusal(self, lifetime: Lifetime, now: float) -> None:
        """
        Record a refused request, and back off from the target.

        Further refusals during the backoff don't count.

        :param now: steady time, in seconds.
        """
        before = self._refusals.get(lifetime)
        count = before.count if before else 0
        if before and before.backoff_until > now:
            return
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**count)
        self._refusals[lifetime] = RefusalStreak(count + 1, now + backoff_s)
        self._journal.say(
            'fleet: target refused', target=lifetime[0], rest_s=backoff_s
        )

    def record_progress(
        self, lifetimes: Iterable[Lifetime], now: float
    ) -> None:
        """
        Record that an event of a stream passed through targets.

        :param now: steady time, in seconds.
        """
        for lifetime in lifetimes:
            self._progress_at[lifetime] = now

    def record_acceptance(self, lifetimes: Iterable[Lifetime]) -> None:
        """
        Record that targets accepted a request; this ends their refusals.
        """
        for lifetime in lifetimes:
            self._refusals.pop(lifetime, None)

    def record_answer(
        self, lifetime: Lifetime, pace: float, now: float
    ) -> None:
        """
        Record that a target answered a probe.

        :param now: steady time, in seconds.
        """
        before = self._paces.get(lifetime)
        self._paces[lifetime] = PaceSample(pace, now)
        self._refusing.discard(lifetime)
        if self._unresponsive.pop(lifetime, None) is not None:
            self._journal.say('fleet: target answers', target=lifetime[0])
        if before and abs(before.pace - pace) > LOGGED_PACE_CHANGE:
            self._journal.say(
                'fleet: pace changed', target=lifetime[0], pace=pace
            )

    def record_silence(
        self, lifetime: Lifetime, reason: str, now: float
    ) -> None:
        """
        Record that a target doesn't answer.

        :param now: steady time, in seconds.
        """
        if lifetime not in self._unresponsive:
            self._unresponsive[lifetime] = now
            self._journal.say(
                'fleet: target silent', target=lifetime[0], why=reason
            )

    def reported_layers(self, now: float) -> Mapping[str, HeldLayers]:
        """
        Return the layers by identity that targets reported lately to this
        gateway itself, and that their entries may not show yet.

        :param now: steady time, in seconds.
        """
        return {
            lifetime.identity: report.layers
            for lifetime, report in self._layers.items()
            if report.is_direct
            and report.layers
            and now - report.at < LAYERS_TTL_S
        }

    def record_layers(self, lifetime: Lifetime, report: LayersReport) -> bool:
        """
        Record reported layers; a target's own report takes precedence over
        one from another gateway.

        :returns: whether the layers were recorded.
        """
        known = self._layers.get(lifetime)
        if known and known.is_direct and not report.is_direct:
            return False
        self._layers[lifetime] = report
        self._refusals.pop(lifetime, None)
        return True

    def with_reported_layers(self, target: Target, now: float) -> Target:
        """
        Return a target with its reported layers, where its entry is older.

        :param target: the target as its entry describes it.
        :param now: steady time, in seconds.
        """
        report = self._layers.get(target.lifetime)
        if report is None:
            return target
        is_old = now - report.at > LAYERS_TTL_S
        if target.layers == report.layers or is_old:
            self._layers.pop(target.lifetime)
            return target
        return replace(target, layers=report.layers)

    def forget(self, lifetime: Lifetime) -> None:
        """
        Drop all observations of a lifetime that has ended.
        """
        for known in (
            self._paces,
            self._peer_paces,
            self._unresponsive,
            self._refusals,
            self._layers,
            self._progress_at,
        ):
            known.pop(lifetime, None)
        self._refusing.discard(lifetime)
