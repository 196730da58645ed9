"""
Requests that may crash the targets that run them.

A request with a trait that is known to crash targets is refused for good. While
a trait is in doubt, one request of this gateway at a time is sent with it. A
request that was lost in a crash is sent again only if nothing was known against
it before.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable
from heapq import nlargest

from mallowcrank.chains.crash_evidence import (
    AnswerRecords,
    LostRequest,
    Trait,
)
from mallowcrank.chains.suspect_traits import (
    MAX_LOST,
    MEMORY_S,
    RECENT_ANSWER_S,
    SURVIVED_S,
    SuspectTraits,
    Suspicion,
)
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.status_parts import (
    AnsweredTrait,
    LostReport,
    SuspectsReport,
)
from mallowcrank.gateway.targets import Lifetime

CHECK_INTERVAL_S = 0.02
MAX_RUN_S = 2.0  # a request that a target ran for longer didn't crash it
MAX_REPORTED = 24  # lost requests in a status, the most telling ones
MAX_REPORTED_ANSWERS = 64  # the latest ones


class Suspects:
    """
    What this gateway and others know of requests that crash targets.
    """

    def __init__(self, journal: Journal, meters: Meters) -> None:
        self._journal = journal
        self._meters = meters
        self._traits = SuspectTraits()
        self._logged: dict[Trait, Suspicion] = {}
        self._trials: dict[Trait, str] = {}
        self._own: set[tuple[str, str, int]] = set()  # keys of own losses
        self._own_answers = AnswerRecords()

    # Queries

    def suspicion(self, traits: Iterable[Trait]) -> Suspicion:
        """
        Return the worst that is known against some traits.
        """
        if not self._traits.lost:
            return Suspicion.NONE
        known = self._traits.suspicions(monotonic_s())
        return max(
            (known.get(trait, Suspicion.NONE) for trait in traits),
            default=Suspicion.NONE,
        )

    def may_resend(self, traits: Collection[Trait], has_begun: bool) -> bool:
        """
        Return whether a request that was just lost in a crash may be sent
        again: it was lost in no other crash, and each part of its prompt was
        answered before.

        :param has_begun: whether its answer had begun; parts in doubt don't
            count then, as the events sent so far are useless without the rest.
        """
        wholes = [trait for trait in traits if trait.is_whole]
        parts = [trait for trait in traits if not trait.is_whole]
        if any(self._traits.crash_count(whole) > 1 for whole in wholes):
            return False
        if has_begun:
            return self.suspicion(traits) < Suspicion.HELD
        known_since = monotonic_s() - MEMORY_S
        return not self.suspicion(parts) and all(
            self._traits.answers.last_at(part) > known_since for part in parts
        )

    def hold_s(self, traits: Iterable[Trait]) -> float:
        """
        Return how long no request with some traits is sent, in seconds.
        """
        now = monotonic_s()
        return self._traits.held_until(traits, now) - now

    def known(self) -> list[dict[str, object]]:
        """
        Return all traits in doubt, with the crashes that speak against them.
        """
        suspicions = self._traits.suspicions(monotonic_s())
        return [
            {
                **_described(trait),
                'suspicion': suspicion.name.lower(),
                'lost': [
                    {'request': each.request, 'target': each.target}
                    for each in self._traits.lost
                    if trait in each.traits
                ],
            }
            for trait, suspicion in suspicions.items()
        ]

    def report(self) -> SuspectsReport | None:
        """
        Return what other gateways should know; `None` if there is nothing.

        Each gateway reports its own losses, and the others only those that
        show what is to blame, for gateways that have just started. It reports
        its own answers since, of whatever gateway the loss was.
        """
        now = monotonic_s()
        confirmed = {
            trait
            for trait, suspicion in self._traits.suspicions(now).items()
            if suspicion is Suspicion.CONFIRMED
        }
        reported = [
            lost
            for lost in self._traits.most_telling(MAX_LOST)
            if lost.key in self._own or confirmed.intersection(lost.traits)
        ][-MAX_REPORTED:]
        answered = self._latest_answers(reported, now)
        if not reported and not answered:
            return None
        return SuspectsReport(
            tuple(
                LostReport(
                    lost.request,
                    Lifetime(*lost.lifetime),
                    now - lost.at,
                    lost.lasted_s,
                    lost.traits,
                )
                for lost in reported
            ),
            answered,
            tuple(confirmed),
        )

    # Commands

    async def claim_trial(
        self, request: str, traits: Iterable[Trait], within_s: float
    ) -> Suspicion:
        """
        Wait until a request with traits in doubt may be sent.

        :param within_s: seconds to wait for other requests with these traits.
        :returns: what still speaks against the request, or that nothing does.
        """
        traits = tuple(traits)
        until = monotonic_s() + within_s
        while True:
            suspicion = self.suspicion(traits)
            if suspicion is not Suspicion.DOUBTFUL:
                return suspicion
            if not any(trait in self._trials for trait in traits):
                known = self._traits.suspicions(monotonic_s())
                in_doubt = known.keys() & traits
                self._trials.update(dict.fromkeys(in_doubt, request))
                return Suspicion.NONE
            if monotonic_s() >= until:
                return suspicion
            await asyncio.sleep(CHECK_INTERVAL_S)

    def end_trial(self, request: str) -> None:
        """
        Let other requests with the traits of a request be sent.
        """
        if self._trials:
            self._trials = {
                trait: holder
                for trait, holder in self._trials.items()
                if holder != request
            }

    def record_lost(
        self,
        request: str,
        lifetime: Lifetime,
        traits: Iterable[Trait],
        lasted_s: float = 0,
    ) -> None:
        """
        Record a request of this gateway that was lost in the crash of a target.

        :param lasted_s: seconds for which the target may have run it.
        """
        now = monotonic_s()
        lost = LostRequest(
            request,
            lifetime.identity,
            now,
            tuple(traits),
            lifetime.born_ms,
            lasted_s,
        )
        if self._traits.record_lost(lost, now):
            self._journal.say(
                'suspects: request lost in a crash',
                request=request,
                target=lifetime.identity,
                parts=[each.name for each in lost.traits if not each.is_whole],
                digests=[each.name for each in lost.traits if each.is_whole],
                lasted_s=round(lasted_s, 3),
            )
            held = {each.key for each in self._traits.lost}
            self._own = {lost.key, *self._own} & held

    def record_answered(
        self, traits: Iterable[Trait], is_first: bool = True
    ) -> None:
        """
        Record that a request was answered.

        :param is_first: false if its answer was recorded for other traits.
        """
        now = monotonic_s()
        traits = tuple(traits)
        for trait in traits:
            self._own_answers.record(trait, now)
        if is_first:
            self._traits.record_answered(traits, now)
            return
        for trait in traits:
            self._traits.clear(trait, now)

    def apply(
        self,
        report: SuspectsReport,
        has_ended: Callable[[Lifetime], bool],
    ) -> set[Lifetime]:
        """
        Apply what another gateway knows.

        :param has_ended: whether this gateway, too, finds that a target has
            ended; the other one may be cut off from it.
        :returns: the targets of losses that don't count yet, as they haven't.
        """
        now = monotonic_s()
        unconfirmed = set()
        for answered in report.answered:
            self._traits.clear(answered.trait, now - answered.age_s)
        for each in report.lost:
            lost = LostRequest(
                each.request,
                each.lifetime.identity,
                now - each.age_s,
                each.traits,
                each.lifetime.born_ms,
                each.lasted_s,
            )
            if self._traits.is_known(lost):
                continue
            if has_ended(each.lifetime):
                self._traits.record_lost(lost, now)
            else:
                unconfirmed.add(each.lifetime)
        for trait in report.confirmed:
            self._traits.record_confirmed(trait, now)
        return unconfirmed

    def drop_survived(self, is_alive: Callable[[Lifetime], bool]) -> None:
        """
        Drop the losses of targets that turn out to be alive.
        """
        if self._traits.lost:
            self._traits.drop_survived(
                lambda identity, born_ms: is_alive(Lifetime(identity, born_ms)),
                monotonic_s(),
            )

    def drop_recent(self) -> None:
        """
        Drop the losses of the last seconds: it was this gateway that lost its
        targets.
        """
        self._traits.drop_since(monotonic_s() - SURVIVED_S)

    def clear(self, trait: Trait) -> None:
        """
        Drop what is held against a trait, here and at all other gateways.
        """
        now = monotonic_s()
        self._own_answers.record(trait, now)
        self._traits.clear(trait, now)
        self._journal.say(
            'suspects: cleared by the operator', **_described(trait)
        )
        self.update()

    def update(self) -> None:
        """
        Log and count what has changed; is called at short intervals.
        """
        if not self._traits.lost and not self._logged:
            return
        suspicions = self._traits.suspicions(monotonic_s())
        known = {
            trait: suspicion
            for trait, suspicion in suspicions.items()
            if not _is_first_loss(trait, self._traits.lost)
        }
        for trait in known.keys() | self._logged.keys():
            suspicion = known.get(trait, Suspicion.NONE)
            if suspicion is not self._logged.get(trait, Suspicion.NONE):
                self._journal.say(
                    'suspects: changed',
                    **_described(trait),
                    suspicion=suspicion.name.lower(),
                    **_format_lost(trait, self._traits.lost),
                )
        self._logged = known
        for level in (Suspicion.DOUBTFUL, Suspicion.HELD, Suspicion.CONFIRMED):
            of_level = [each for each in known if known[each] is level]
            whole_count = sum(each.is_whole for each in of_level)
            label = level.name.lower()
            self._meters.suspect_requests.labels(label).set(whole_count)
            self._meters.suspect_parts.labels(label).set(
                len(of_level) - whole_count
            )

    def _latest_answers(
        self, reported: Collection[LostRequest], now: float
    ) -> tuple[AnsweredTrait, ...]:
        """
        Return the traits of reported losses that were answered lately, and
        those of other losses that were answered here since.
        """
        answered_at = {
            trait: self._traits.answers.last_at(trait)
            for lost in reported
            for trait in lost.traits
        }
        answered_at |= {
            trait: self._own_answers.last_at(trait)
            for lost in self._traits.lost
            for trait in lost.traits
            if trait not in answered_at
            and self._own_answers.last_at(trait) > lost.at
        }
        latest = nlargest(
            MAX_REPORTED_ANSWERS, answered_at, key=answered_at.__getitem__
        )
        return tuple(
            AnsweredTrait(trait, now - answered_at[trait])
            for trait in latest
            if now - answered_at[trait] < RECENT_ANSWER_S
        )


def _is_first_loss(trait: Trait, losses: Iterable[LostRequest]) -> bool:
    """
    Return whether nothing but one loss speaks against a whole request: each
    crash ends many requests.
    """
    return trait.is_whole and sum(trait in lost.traits for lost in losses) < 2


def _format_lost(
    trait: Trait, losses: Iterable[LostRequest]
) -> dict[str, object]:
    lost = [each for each in losses if trait in each.traits]
    return {
        'requests': [each.request for each in lost],
        'targets': [each.target for each in lost],
    }


def _described(trait: Trait) -> dict[str, object]:
    kind = 'digest' if trait.is_whole else 'part'
    return {'service': trait.service, kind: trait.name}
