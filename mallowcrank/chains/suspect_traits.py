"""
Which requests crash the targets that run them.

A crash ends all requests of a target, so each of those that were lost may have
caused it. Requests are compared by their traits: the parts of their prompts
that others share, and a digest of the whole request, which its repetitions
share. A trait is to blame if requests with it were lost in several crashes, and
none with it has been answered since. Traits of sound requests are answered
again within moments, and then aren't suspects any more.

Whoever has lost or answered a request records it; gateways exchange what they
have recorded, and each decides by itself.
"""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from enum import IntEnum, unique
from math import inf
from operator import attrgetter

from mallowcrank.chains.crash_evidence import (
    AnswerRecords,
    CrashRecords,
    LostRequest,
    Trait,
    count_crashes,
)

MIN_CRASHES = 2  # with requests of a part, after which it is to blame
MIN_CRASHES_WHOLE = 3  # under repetitions of one request
SOUND_CRASHES = 3  # if the trait was answered before
SOUND_ANSWERS = 5  # to other requests meanwhile, if it was answered before
MANY_CRASHES = 4  # if crashes can't tell a part from other parts
# After which one more request with a trait that is to blame is let through; it
# doubles with each further crash.
HOLD_S = 120
MAX_HOLD_S = 3600
# The same where most crashes aren't explained by the trait; the hold is four
# times as long for each further target.
CHANCE_HOLD_S = 8
MEMORY_S = 3600
EXCHANGE_S = 5  # within which gateways hear of a loss and of answers since
MAX_LOST = 128
RECENT_ANSWER_S = 30
CRASH_MEMORY_S = 60  # for which a crash speaks for chance
SURVIVED_S = 3  # after which a target that still answers hasn't crashed
CACHE_S = 0.05  # for which the verdicts are kept if no loss is recorded


@unique
class Suspicion(IntEnum):
    """
    What is known against a trait.
    """

    NONE = 0
    DOUBTFUL = 1  # one request at a time is sent
    HELD = 2  # none is sent for some time; targets crash without it, too
    CONFIRMED = 3  # refused for good


class SuspectTraits:
    """
    Traits of requests that were lost in crashes, and what is known of them.
    """

    def __init__(self) -> None:
        self.answers = AnswerRecords()
        self._crashes = CrashRecords()
        self._lost: dict[tuple[str, str, int], LostRequest] = {}
        self._confirmed_by_others: dict[Trait, float] = {}
        self._bystanders: set[tuple[str, str, int]] = set()
        self._verdicts: Mapping[Trait, Suspicion] | None = None
        self._held_until: Mapping[Trait, float] = {}
        self._decided_at = -inf

    # Queries

    @property
    def lost(self) -> tuple[LostRequest, ...]:
        """
        Return the lost requests that may explain crashes.
        """
        return tuple(self._lost.values())

    def suspicions(self, now: float) -> Mapping[Trait, Suspicion]:
        """
        Return what is known against each trait that was lost in a crash and
        not answered since.

        :param now: steady time, in seconds.
        """
        if self._verdicts is None or now - self._decided_at > CACHE_S:
            confirmed_by_others = {
                trait
                for trait, at in self._confirmed_by_others.items()
                if now - at < EXCHANGE_S
            }
            decision = _Decision(
                self.answers, self._crashes, confirmed_by_others, now
            )
            self._verdicts = decision.decide(self._lost_by_trait())
            self._held_until = decision.held_until
            self._bystanders = {
                each.key
                for each in self._lost.values()
                if decision.is_bystander(each)
            }
            self._decided_at = now
        return self._verdicts

    def held_until(self, traits: Iterable[Trait], now: float) -> float:
        """
        Return when requests with some traits may be sent again.

        :param now: steady time, in seconds.
        :returns: steady time, in seconds.
        """
        return max(
            (self._held_until.get(trait, now) for trait in traits), default=now
        )

    def is_known(self, lost: LostRequest) -> bool:
        """
        Return whether a loss is recorded.
        """
        return lost.key in self._lost

    def crash_count(self, trait: Trait) -> int:
        """
        Return the number of crashes that speak against a trait.
        """
        lost = self._lost_by_trait().get(trait, ())
        return count_crashes(trait, lost, was_sound(trait, lost, self.answers))

    def most_telling(self, limit: int) -> list[LostRequest]:
        """
        Return the lost requests that are most likely to have caused crashes,
        the most likely one last.

        A crash ends hundreds of requests. Most of them had been running for
        longer, or what crashed their target is known.
        """
        crashes = {
            trait: count_crashes(
                trait, lost, was_sound(trait, lost, self.answers)
            )
            for trait, lost in self._lost_by_trait().items()
        }

        def weight(lost: LostRequest) -> tuple[bool, bool, int, float]:
            counts = (crashes.get(trait, 0) for trait in lost.traits)
            is_bystander = lost.key in self._bystanders
            count = max(counts, default=0)
            return not is_bystander, lost.is_sudden, count, lost.at

        return sorted(self._lost.values(), key=weight)[-limit:]

    # Commands

    def record_lost(self, lost: LostRequest, now: float) -> bool:
        """
        Record a request that was lost in a crash.

        :param now: steady time, in seconds.
        :returns: whether it is new.
        """
        if self.is_known(lost) or now - lost.at > MEMORY_S:
            return False
        self._lost[lost.key] = lost
        self._crashes.record(lost)
        self._verdicts = None
        if len(self._lost) > MAX_LOST:
            self._keep(
                each for each in self.lost if _says(each, self.answers, now)
            )
            self._keep(self.most_telling(MAX_LOST // 2))
        return True

    def record_answered(self, traits: Iterable[Trait], at: float) -> None:
        """
        Record that a request was answered.

        :param at: steady time, in seconds.
        """
        traits = tuple(traits)
        services = {trait.service for trait in traits}
        for service in services:
            self.answers.record_answer(service, at)
        for trait in traits:
            self.clear(trait, at)

    def record_confirmed(self, trait: Trait, now: float) -> None:
        """
        Record that another gateway finds a trait to blame.

        :param now: steady time, in seconds.
        """
        if any(trait in lost.traits for lost in self._lost.values()):
            self._confirmed_by_others[trait] = now
            self._verdicts = None

    def clear(self, trait: Trait, at: float) -> None:
        """
        Drop what was held against a trait until a moment.

        :param at: steady time, in seconds.
        """
        self.answers.record(trait, at)
        self._confirmed_by_others.pop(trait, None)
        if self._verdicts and trait in self._verdicts:
            self._verdicts = None

    def drop_survived(
        self, is_alive: Callable[[str, int], bool], now: float
    ) -> None:
        """
        Drop the losses whose target turns out to be alive, and those that say
        nothing any more.

        :param is_alive: whether a target, given by its identity and the start
            of its lifetime, answers.
        :param now: steady time, in seconds.
        """
        self._keep(
            each
            for each in self.lost
            if _says(each, self.answers, now)
            and (now - each.at < SURVIVED_S or not is_alive(*each.lifetime))
        )
        self._crashes.drop(
            lambda lifetime, at: (
                now - at > CRASH_MEMORY_S
                or (now - at >= SURVIVED_S and is_alive(*lifetime))
            )
        )

    def drop_since(self, moment: float) -> None:
        """
        Drop the losses since a moment.

        :param moment: steady time, in seconds.
        """
        self._keep(each for each in self.lost if each.at < moment)
        self._crashes.drop(lambda _, at: at >= moment)

    def _keep(self, kept: Iterable[LostRequest]) -> None:
        by_time = sorted(kept, key=attrgetter('at'))
        self._lost = {each.key: each for each in by_time}
        self._verdicts = None

    def _lost_by_trait(self) -> dict[Trait, list[LostRequest]]:
        by_trait: dict[Trait, list[LostRequest]] = {}
        for lost in self._lost.values():
            for trait in lost.traits:
                if self.answers.last_at(trait) < lost.at:
                    by_trait.setdefault(trait, []).append(lost)
        return by_trait


class _Decision:
    """
    A decision on all traits, from those that explain most crashes on.
    """

    def __init__(
        self,
        answers: AnswerRecords,
        recent_crashes: CrashRecords,
        confirmed_by_others: Collection[Trait],
        now: float,
    ) -> None:
        self.held_until: dict[Trait, float] = {}
        self._answers = answers
        self._recent_crashes = recent_crashes
        self._confirmed_by_others = confirmed_by_others
        self._now = now
        self._found: dict[Trait, Suspicion] = {}
        self._blamed: set[Trait] = set()
        # The crashes that speak against what explains the end of a lifetime.
        self._explained: dict[tuple[str, int], int] = {}
        self._repeated: set[tuple[str, int]] = set()

    def decide(
        self, by_trait: Mapping[Trait, Sequence[LostRequest]]
    ) -> Mapping[Trait, Suspicion]:
        """
        Return what is known against traits.

        Whole requests come first: a repeated request explains its crashes
        better than a part of its prompt that others share.

        :param by_trait: lost requests that weren't answered since.
        """
        for is_whole in (True, False):
            self._decide_on(
                {
                    trait: [
                        each for each in lost if not self._explains(each, 0)
                    ]
                    for trait, lost in by_trait.items()
                    if trait.is_whole is is_whole
                }
            )
        return self._found

    def is_bystander(self, lost: LostRequest) -> bool:
        """
        Return whether another request is to blame for a loss.
        """
        is_blamed = not self._blamed.isdisjoint(lost.traits)
        return not is_blamed and lost.lifetime in self._explained

    def _decide_on(
        self, by_trait: Mapping[Trait, Sequence[LostRequest]]
    ) -> None:
        crashes = {
            trait: count_crashes(
                trait, lost, was_sound(trait, lost, self._answers)
            )
            for trait, lost in by_trait.items()
        }
        for trait in sorted(by_trait, key=crashes.__getitem__, reverse=True):
            lost = by_trait[trait]
            # Requests that were lost equally often may each be the cause.
            least = crashes[trait] if trait.is_whole else 0
            if all(self._explains(each, least) for each in lost):
                continue
            if trait.is_whole and crashes[trait] > 1:
                self._repeated.update(each.lifetime for each in lost)
            if self._is_to_blame(trait, lost, crashes):
                self._blamed.add(trait)
                if trait.is_whole:
                    for each in lost:
                        self._explained.setdefault(
                            each.lifetime, crashes[trait]
                        )
                self._hold(trait, lost, crashes[trait])
            elif self._is_in_doubt(trait, lost):
                self._found[trait] = Suspicion.DOUBTFUL

    def _hold(
        self, trait: Trait, lost: Collection[LostRequest], crashes: int
    ) -> None:
        """
        Decide for how long a trait that is to blame is held, and how.

        :param crashes: those that speak against it.
        """
        targets = len({each.lifetime for each in lost})
        others = self._recent_crashes.count_without(trait)
        is_by_chance = others > targets
        hold_s = (
            CHANCE_HOLD_S * 4 ** max(0, targets - MIN_CRASHES)
            if is_by_chance
            else HOLD_S * 2 ** max(0, crashes - MIN_CRASHES)
        )
        last_at = max(each.at for each in lost)
        until = last_at + min(MAX_HOLD_S, hold_s)
        if self._now >= until:
            self._found[trait] = Suspicion.DOUBTFUL
        elif is_by_chance:
            self._found[trait] = Suspicion.HELD
            self.held_until[trait] = until
        else:
            self._found[trait] = Suspicion.CONFIRMED

    def _explains(self, lost: LostRequest, least: int) -> bool:
        """
        Return whether what is to blame so far explains a loss.

        :param least: crashes that have to speak against it, and more.
        """
        is_blamed = not self._blamed.isdisjoint(lost.traits)
        return is_blamed or self._explained.get(lost.lifetime, 0) > least

    def _is_to_blame(
        self,
        trait: Trait,
        lost: Collection[LostRequest],
        crashes_by_trait: Mapping[Trait, int],
    ) -> bool:
        """
        Return whether a trait is to blame.

        Without any answers meanwhile, a part that all requests share looks
        like one that crashes targets. No other request shares a digest.

        :param lost: the lost requests that speak against it.
        """
        if trait in self._confirmed_by_others:
            return True
        crashes = crashes_by_trait[trait]
        min_crashes, min_answers = MIN_CRASHES, 1
        if was_sound(trait, lost, self._answers):
            min_crashes, min_answers = SOUND_CRASHES, SOUND_ANSWERS
        elif trait.is_whole:
            min_crashes, min_answers = MIN_CRASHES_WHOLE, 0
        elif crashes >= MANY_CRASHES:
            return True
        first_at = min(each.at for each in lost)
        answers = self._answers.count_since(trait.service, first_at)
        if crashes < min_crashes or answers < min_answers:
            return False
        others = {other for each in lost for other in each.traits} - {trait}
        return trait.is_whole or all(
            crashes_by_trait.get(other, 0) < crashes for other in others
        )

    def _is_in_doubt(self, trait: Trait, lost: Collection[LostRequest]) -> bool:
        """
        Return whether a trait that isn't to blame may be.

        Crashes in which a request was lost that had been lost in another crash
        don't speak against a part that was sound.
        """
        if not was_sound(trait, lost, self._answers):
            return True
        if not trait.is_whole:
            lost = [
                each for each in lost if each.lifetime not in self._repeated
            ]
        return count_crashes(trait, lost) > 1


def was_sound(
    trait: Trait, lost: Collection[LostRequest], answers: AnswerRecords
) -> bool:
    """
    Return whether a trait was answered shortly before it was first lost.
    """
    first_at = min((each.at for each in lost), default=inf)
    return first_at - answers.last_at(trait) < RECENT_ANSWER_S


def _says(lost: LostRequest, answers: AnswerRecords, now: float) -> bool:
    """
    Return whether a lost request still says anything to any gateway.
    """
    age_s = now - lost.at
    if age_s < EXCHANGE_S:
        return True
    return age_s < MEMORY_S and any(
        answers.last_at(trait) < lost.at for trait in lost.traits
    )
