"""
Parts of prompts that crash the engines that begin to answer them.

A crash ends all requests of an engine, so each of those that had no answer yet
may have caused it. A part of a prompt is to blame if requests with it were lost
in several crashes, and none with it has been answered since. Parts that sound
requests share are answered again within moments, and then aren't suspects any
more.

Whoever has lost or answered a request records it; gateways exchange what they
have recorded, and each decides by itself.
"""

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum, unique
from math import inf
from operator import attrgetter
from typing import NamedTuple

MIN_CRASHES = 2  # with requests of a part, after which it is to blame
SOUND_CRASHES = 3  # if it was answered before
SOUND_ANSWERS = 5  # to other requests meanwhile, if it was answered before
MANY_CRASHES = 4  # if crashes can't tell it from other parts
SAME_CRASH_S = 0.5  # requests that are lost at once are lost to one crash
# After which one more request of a part that is to blame is let through; it
# doubles with each further crash.
HOLD_S = 30
MAX_HOLD_S = 600
MEMORY_S = 600
EXCHANGE_S = 5  # within which gateways hear of a loss and of answers since
MAX_LOST = 64
MAX_ANSWERED = 4096
RECENT_ANSWER_S = 30


@unique
class Suspicion(IntEnum):
    """
    What is known against a part of a prompt.
    """

    NONE = 0
    DOUBTFUL = 1
    CONFIRMED = 2


class PromptPart(NamedTuple):
    """
    A part of prompts to the model of one service.
    """

    service: str
    name: str


@dataclass(frozen=True, slots=True)
class LostRequest:
    """
    A request that was lost in the crash of an engine, before it was answered.

    :param engine: identity of the engine.
    :param at: steady time, in seconds.
    :param parts: of its prompt, but for the last one, which is its own.
    """

    request: str
    engine: str
    at: float
    parts: tuple[PromptPart, ...]

    @property
    def key(self) -> tuple[str, str]:
        """
        Return what tells it from other losses.
        """
        return self.request, self.engine


class SuspectParts:
    """
    Parts that were lost in crashes, or answered.
    """

    def __init__(self) -> None:
        self._lost: dict[tuple[str, str], LostRequest] = {}
        self._answered: dict[PromptPart, float] = {}
        self._last_answers: deque[float] = deque(maxlen=SOUND_ANSWERS)
        self._confirmed_by_others: dict[PromptPart, float] = {}

    # Queries

    @property
    def lost(self) -> tuple[LostRequest, ...]:
        """
        Return the lost requests that may explain crashes.
        """
        return tuple(self._lost.values())

    def suspicions(self, now: float) -> Mapping[PromptPart, Suspicion]:
        """
        Return what is known against each part that was lost in a crash and not
        answered since.

        :param now: steady time, in seconds.
        """
        found: dict[PromptPart, Suspicion] = {}
        confirmed: set[PromptPart] = set()
        by_part = self._lost_by_part()
        # Parts with the most crashes come first: they explain other losses.
        crashes = {part: _crashes(lost) for part, lost in by_part.items()}
        for part in sorted(by_part, key=crashes.__getitem__, reverse=True):
            lost = by_part[part]
            if all(confirmed.intersection(each.parts) for each in lost):
                continue
            if self._is_confirmed_elsewhere(part, now) or self._is_confirmed(
                part, lost, crashes
            ):
                confirmed.add(part)
                is_held = now < _held_until(lost, crashes[part])
                found[part] = Suspicion(Suspicion.DOUBTFUL + is_held)
            elif crashes[part] > 1 or not self._was_sound(part, lost):
                found[part] = Suspicion.DOUBTFUL
        return found

    def is_sound(self, part: PromptPart, now: float) -> bool:
        """
        Return whether a part was answered recently.

        :param now: steady time, in seconds.
        """
        return now - self.answered_at(part) < RECENT_ANSWER_S

    def answered_at(self, part: PromptPart) -> float:
        """
        Return the steady time of the last answer to a part, in seconds.
        """
        return self._answered.get(part, -inf)

    # Commands

    def record_lost(self, lost: LostRequest, now: float) -> bool:
        """
        Record a request that was lost in a crash.

        :param now: steady time, in seconds.
        :returns: whether it is new.
        """
        if lost.key in self._lost or now - lost.at > MEMORY_S:
            return False
        self._lost[lost.key] = lost
        kept = [each for each in self._lost.values() if self._says(each, now)]
        kept.sort(key=attrgetter('at'))
        self._lost = {each.key: each for each in kept[-MAX_LOST:]}
        return True

    def record_answered(self, parts: Iterable[PromptPart], at: float) -> None:
        """
        Record that a request was answered.

        :param at: steady time of the answer's begin, in seconds.
        """
        self._last_answers.append(at)
        for part in parts:
            self.clear(part, at)

    def record_confirmed(self, part: PromptPart, now: float) -> None:
        """
        Record that another gateway finds a part to blame.

        :param now: steady time, in seconds.
        """
        if any(part in lost.parts for lost in self._lost.values()):
            self._confirmed_by_others[part] = now

    def clear(self, part: PromptPart, at: float) -> None:
        """
        Drop what was held against a part until a moment.

        :param at: steady time, in seconds.
        """
        self._confirmed_by_others.pop(part, None)
        self._answered[part] = max(at, self._answered.pop(part, -inf))
        if len(self._answered) > MAX_ANSWERED:
            self._answered.pop(next(iter(self._answered)))

    def _says(self, lost: LostRequest, now: float) -> bool:
        """
        Return whether a lost request still says anything to any gateway.
        """
        age_s = now - lost.at
        if age_s < EXCHANGE_S:
            return True
        return age_s < MEMORY_S and any(
            self.answered_at(part) < lost.at for part in lost.parts
        )

    def _lost_by_part(self) -> dict[PromptPart, list[LostRequest]]:
        by_part: dict[PromptPart, list[LostRequest]] = {}
        for lost in self._lost.values():
            for part in lost.parts:
                if self.answered_at(part) < lost.at:
                    by_part.setdefault(part, []).append(lost)
        return by_part

    def _is_confirmed_elsewhere(self, part: PromptPart, now: float) -> bool:
        return now - self._confirmed_by_others.get(part, -inf) < EXCHANGE_S

    def _is_confirmed(
        self,
        part: PromptPart,
        lost: Collection[LostRequest],
        crashes_by_part: Mapping[PromptPart, int],
    ) -> bool:
        """
        Return whether a part is to blame.

        Without any answers meanwhile, a part that all requests share looks
        like one that crashes engines.

        :param lost: the lost requests that speak against it.
        """
        crashes = crashes_by_part[part]
        min_crashes, min_answers = MIN_CRASHES, 1
        if self._was_sound(part, lost):
            min_crashes, min_answers = SOUND_CRASHES, SOUND_ANSWERS
        elif crashes >= MANY_CRASHES:
            return True
        first_at = min(each.at for each in lost)
        answers = sum(at > first_at for at in self._last_answers)
        if crashes < min_crashes or answers < min_answers:
            return False
        others = {other for each in lost for other in each.parts} - {part}
        return all(crashes_by_part.get(other, 0) < crashes for other in others)

    def _was_sound(
        self, part: PromptPart, lost: Collection[LostRequest]
    ) -> bool:
        """
        Return whether a part was answered shortly before it was first lost.
        """
        first_at = min(each.at for each in lost)
        return first_at - self.answered_at(part) < RECENT_ANSWER_S


def _crashes(lost: Collection[LostRequest]) -> int:
    """
    Return the number of crashes in which requests were lost.
    """
    count = 0
    crashed_at = -inf
    requests: set[str] = set()
    for each in sorted(lost, key=attrgetter('at')):
        is_other = each.at - crashed_at > SAME_CRASH_S
        if is_other or each.request in requests:
            count += 1
            crashed_at = each.at
            requests.clear()
        requests.add(each.request)
    return count


def _held_until(lost: Collection[LostRequest], crashes: int) -> float:
    hold_s = HOLD_S * 2 ** (crashes - MIN_CRASHES)
    return max(each.at for each in lost) + min(MAX_HOLD_S, hold_s)
