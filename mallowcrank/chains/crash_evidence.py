"""
What was lost in crashes of targets, and what was answered.
"""

from collections import Counter, deque
from collections.abc import Callable, Collection
from dataclasses import dataclass
from math import inf
from operator import attrgetter
from typing import NamedTuple

SUDDEN_S = 1.0  # most requests that crash a target do it sooner
SAME_CRASH_S = 0.5  # requests that are lost at once are lost to one crash
MAX_ANSWERED_PARTS = 4096
MAX_ANSWERED_REQUESTS = 1024
MAX_LAST_ANSWERS = 8
MAX_CRASHES = 128


class Trait(NamedTuple):
    """
    What requests to one service have in common.

    :param name: id of a part of their prompts, or digest of the request.
    :param is_whole: whether requests with it are repetitions of one.
    """

    service: str
    name: str
    is_whole: bool = False


@dataclass(frozen=True, slots=True)
class LostRequest:
    """
    A request that was lost in the crash of a target, before its answer was
    complete.

    :param target: identity of the target.
    :param at: steady time, in seconds.
    :param traits: parts of its prompt, but for the last one, which is its own,
        and its digest.
    :param born_ms: start of the target's lifetime, in milliseconds.
    :param lasted_s: seconds for which the target may have run it.
    """

    request: str
    target: str
    at: float
    traits: tuple[Trait, ...]
    born_ms: int = 0
    lasted_s: float = 0

    @property
    def is_sudden(self) -> bool:
        """
        Return whether the target crashed soon after it had begun to run it.
        """
        return self.lasted_s < SUDDEN_S

    @property
    def lifetime(self) -> tuple[str, int]:
        """
        Return what tells the crashed target from its earlier and later runs.
        """
        return self.target, self.born_ms

    @property
    def key(self) -> tuple[str, str, int]:
        """
        Return what tells it from other losses.
        """
        return self.request, *self.lifetime


class _Crash(NamedTuple):
    """
    The crash of a target.

    :param at: steady time at which its first request was lost, in seconds.
    :param traits: of the requests that were lost with it.
    """

    service: str
    at: float
    traits: set[Trait]


class AnswerRecords:
    """
    When requests with each trait were last answered.
    """

    def __init__(self) -> None:
        self._parts: dict[Trait, float] = {}
        self._requests: dict[Trait, float] = {}
        self._last: dict[str, deque[float]] = {}  # by service

    def last_at(self, trait: Trait) -> float:
        """
        Return the steady time of the last answer, in seconds.
        """
        return self._of_kind(trait).get(trait, -inf)

    def count_since(self, service: str, moment: float) -> int:
        """
        Return the number of a service's answers since a moment, as far as it is
        known.

        :param moment: steady time, in seconds.
        """
        return sum(at > moment for at in self._last.get(service, ()))

    def record_answer(self, service: str, at: float) -> None:
        """
        Record an answer to any request to a service.

        :param at: steady time, in seconds.
        """
        last = self._last.setdefault(service, deque(maxlen=MAX_LAST_ANSWERS))
        last.append(at)

    def record(self, trait: Trait, at: float) -> None:
        """
        Record an answer to a request with a trait.

        :param at: steady time, in seconds.
        """
        records = self._of_kind(trait)
        records[trait] = max(at, records.pop(trait, -inf))
        limit = MAX_ANSWERED_REQUESTS if trait.is_whole else MAX_ANSWERED_PARTS
        if len(records) > limit:
            records.pop(next(iter(records)))

    def _of_kind(self, trait: Trait) -> dict[Trait, float]:
        # Many requests are never repeated, and mustn't displace parts.
        return self._requests if trait.is_whole else self._parts


class CrashRecords:
    """
    Lifetimes of targets that crashed lately, and what was lost with them.
    """

    def __init__(self) -> None:
        self._crashes: dict[tuple[str, int], _Crash] = {}
        self._by_service: Counter[str] = Counter()
        self._by_trait: Counter[Trait] = Counter()

    def count_without(self, trait: Trait) -> int:
        """
        Return the number of crashes of targets of a trait's service in which
        no request with the trait was lost.
        """
        return self._by_service[trait.service] - self._by_trait[trait]

    def record(self, lost: LostRequest) -> None:
        """
        Record the crash in which a request was lost.
        """
        if not lost.traits:
            return
        crash = self._crashes.get(lost.lifetime)
        if crash is None:
            crash = _Crash(lost.traits[0].service, lost.at, set())
            self._crashes[lost.lifetime] = crash
            self._by_service[crash.service] += 1
        self._by_trait.update(set(lost.traits) - crash.traits)
        crash.traits.update(lost.traits)
        if len(self._crashes) > MAX_CRASHES:
            self._drop(next(iter(self._crashes)))

    def drop(
        self, is_dropped: Callable[[tuple[str, int], float], bool]
    ) -> None:
        """
        Drop some crashes.

        :param is_dropped: whether to drop the crash of a lifetime at a moment.
        """
        for lifetime, crash in list(self._crashes.items()):
            if is_dropped(lifetime, crash.at):
                self._drop(lifetime)

    def _drop(self, lifetime: tuple[str, int]) -> None:
        crash = self._crashes.pop(lifetime)
        self._by_service -= Counter((crash.service,))
        for trait in crash.traits:
            self._by_trait[trait] -= 1
            if not self._by_trait[trait]:
                self._by_trait.pop(trait)


def count_crashes(
    trait: Trait, lost: Collection[LostRequest], was_sound: bool = True
) -> int:
    """
    Return the number of crashes in which requests were lost.

    Targets that end at once, as in a loss of power, count as one crash, but not
    for a request that was sent to each of them. A whole request that was never
    answered has few callers, so each target that it ended with counts.

    :param was_sound: whether requests with the trait were answered before.
    """
    if trait.is_whole and not was_sound:
        return len({each.lifetime for each in lost})
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
