"""
What a gateway has seen of targets: silence, slowness, refusals.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from math import inf

from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.targets import HeldLayers, Lifetime, Target

PACE_KEPT_S = 4  # a report's pace is believed for so long
HEARD_KEPT_S = 1  # a pace that another gateway tells, again and again
SLOW_PACE = 1.2  # from here on a target counts as slow
FIRST_REST_S = 0.4  # for a target that refused; then it doubles
LONGEST_REST_S = 4
UNWILLING_REFUSALS = 3  # in a row, after which a target counts as leaving
# An entry may be as old as two heartbeats; a report is of this moment.
LAYERS_KEPT_S = 3
NOTED_CHANGE = 0.5  # of a pace, that is logged


@dataclass(frozen=True, slots=True)
class PaceSample:
    """
    What was seen of a lifetime of a target.

    :param pace: factor on its usual times.
    :param at: steady time, in seconds.
    """

    pace: float
    at: float


@dataclass(frozen=True, slots=True)
class RefusalStreak:
    """
    Refusals of a target in a row.

    :param rests_until: steady time, in seconds.
    """

    count: int
    backoff_until: float


@dataclass(frozen=True, slots=True)
class LayersReport:
    """
    Layers that a target told before its entry did.

    :param at: steady time, in seconds.
    :param told_me: whether it told this gateway, not another one.
    """

    layers: HeldLayers | None
    at: float
    is_direct: bool


class TargetHealth:
    """
    What was seen, by lifetime.
    """

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._seen: dict[Lifetime, PaceSample] = {}
        self._heard: dict[Lifetime, PaceSample] = {}
        self._dead: dict[Lifetime, float] = {}
        self._refusals: dict[Lifetime, RefusalStreak] = {}
        self._learned: dict[Lifetime, LayersReport] = {}
        self._worked: dict[Lifetime, float] = {}

    def unresponsive(self) -> Mapping[Lifetime, float]:
        """
        Return the lifetimes that don't answer, and since when.
        """
        return self._dead

    def idle_since(
        self, lifetimes: Iterable[Lifetime], moment: float
    ) -> list[Lifetime]:
        """
        Return the lifetimes of which no stream showed work since a moment.
        """
        return [
            lifetime
            for lifetime in lifetimes
            if self._worked.get(lifetime, -inf) < moment
        ]

    def pace(self, lifetime: Lifetime, now: float) -> float:
        """
        Return the factor on a target's usual times.
        """
        heard = self._heard.get(lifetime)
        if heard and now - heard.at < HEARD_KEPT_S:
            return heard.pace
        seen = self._seen.get(lifetime)
        if seen is None or now - seen.at > PACE_KEPT_S:
            return 1
        return seen.pace

    def slow_paces(self, now: float) -> Mapping[str, float]:
        """
        Return the paces of slow targets that this gateway asked itself.
        """
        return {
            lifetime.identity: seen.pace
            for lifetime, seen in self._seen.items()
            if seen.pace > SLOW_PACE and now - seen.at < PACE_KEPT_S
        }

    def backing_off(self, now: float) -> list[Lifetime]:
        """
        Return the lifetimes that refused requests just now.
        """
        return [
            lifetime
            for lifetime, refusals in self._refusals.items()
            if refusals.backoff_until > now
        ]

    def refuses_repeatedly(self, lifetime: Lifetime) -> bool:
        """
        Return whether a target refuses all that it is sent.
        """
        refusals = self._refusals.get(lifetime)
        if refusals is None:
            return False
        return refusals.count >= UNWILLING_REFUSALS

    def record_peer_pace(
        self, lifetime: Lifetime, pace: float, now: float
    ) -> None:
        """
        Take in a pace that another gateway was told.
        """
        self._heard[lifetime] = PaceSample(pace, now)

    def record_refusal(self, lifetime: Lifetime, now: float) -> None:
        """
        Take in that a target refused a request; it is left alone for a while.
        """
        before = self._refusals.get(lifetime)
        count = before.count if before else 0
        if before and before.backoff_until > now:
            return
        rest_s = min(LONGEST_REST_S, FIRST_REST_S * 2**count)
        self._refusals[lifetime] = RefusalStreak(count + 1, now + rest_s)
        self._journal.say(
            'fleet: target refused', target=lifetime[0], rest_s=rest_s
        )

    def record_progress(
        self, lifetimes: Iterable[Lifetime], now: float
    ) -> None:
        """
        Take in that an event of a stream has passed through targets.
        """
        for lifetime in lifetimes:
            self._worked[lifetime] = now

    def record_acceptance(self, lifetimes: Iterable[Lifetime]) -> None:
        """
        Take in that targets took a request.
        """
        for lifetime in lifetimes:
            self._refusals.pop(lifetime, None)

    def record_answer(
        self, lifetime: Lifetime, pace: float, now: float
    ) -> None:
        """
        Take in that a target answered.
        """
        before = self._seen.get(lifetime)
        self._seen[lifetime] = PaceSample(pace, now)
        if self._dead.pop(lifetime, None) is not None:
            self._journal.say('fleet: target answers', target=lifetime[0])
        if before and abs(before.pace - pace) > NOTED_CHANGE:
            self._journal.say(
                'fleet: pace changed', target=lifetime[0], pace=pace
            )

    def record_silence(
        self, lifetime: Lifetime, reason: str, now: float
    ) -> None:
        """
        Take in that a target doesn't answer.
        """
        if lifetime not in self._dead:
            self._dead[lifetime] = now
            self._journal.say(
                'fleet: target silent', target=lifetime[0], why=reason
            )

    def reported_layers(self, now: float) -> Mapping[str, HeldLayers]:
        """
        Return the layers that targets told lately, before their entries.
        """
        return {
            lifetime.identity: learned.layers
            for lifetime, learned in self._learned.items()
            if learned.is_direct
            and learned.layers
            and now - learned.at < LAYERS_KEPT_S
        }

    def record_layers(self, lifetime: Lifetime, learned: LayersReport) -> bool:
        """
        Take in layers, unless a target told this gateway others itself.

        :returns: whether they were taken in.
        """
        known = self._learned.get(lifetime)
        if known and known.is_direct and not learned.is_direct:
            return False
        self._learned[lifetime] = learned
        self._refusals.pop(lifetime, None)
        return True

    def with_reported_layers(self, target: Target, now: float) -> Target:
        """
        Return a target as its entry says, with layers that are told later.
        """
        learned = self._learned.get(target.lifetime)
        if learned is None:
            return target
        is_old = now - learned.at > LAYERS_KEPT_S
        if target.layers == learned.layers or is_old:
            self._learned.pop(target.lifetime)
            return target
        return replace(target, layers=learned.layers)

    def forget(self, lifetime: Lifetime) -> None:
        """
        Forget a lifetime that is over.
        """
        for known in (
            self._seen,
            self._heard,
            self._dead,
            self._refusals,
            self._learned,
            self._worked,
        ):
            known.pop(lifetime, None)
