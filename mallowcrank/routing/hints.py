"""
Tracks which engines probably hold which prompt prefixes in their cache.

Cache events arrive late and with gaps, so hints only reduce an engine's
estimated cost and correctness never depends on them. The table is bounded;
the oldest hints are evicted first.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

MAX_HINTS = 65536  # pairs of target and prefix
STALE_HINT_WEIGHT = 0.5  # of a hint older than a gap in the events


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """
    One cache event of an engine.

    :param number: grows by one with each event, reported or not.
    :param kind: `stored` or `evicted`.
    :param prefix: hash of a prompt's blocks up to and including one block.
    """

    number: int
    kind: str
    prefix: str


class HintTable:
    """
    The cache hints of one router.

    :param capacity: the number of hints that it keeps.
    """

    def __init__(self, capacity: int = MAX_HINTS) -> None:
        self._capacity = capacity
        self._hints: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._holders: dict[str, set[str]] = {}
        self._next_event: dict[str, int] = {}
        self._stale_before: dict[str, int] = {}

    def __len__(self) -> int:
        """
        Return the number of hints.
        """
        return len(self._hints)

    def next_event_number(self, target: str) -> int:
        """
        Return the number of the first event that has not been applied.
        """
        return self._next_event.get(target, 0)

    def cached_fraction(self, target: str, prefix: Sequence[str]) -> float:
        """
        Return the fraction of a prompt's blocks that an engine probably holds.
        """
        weight: float = 0
        for block in prefix:
            number = self._hints.get((target, block))
            if number is None:
                break
            is_stale = number < self._stale_before.get(target, 0)
            weight += STALE_HINT_WEIGHT if is_stale else 1
        return weight / len(prefix) if prefix else 0

    def holders(self, prefix: Sequence[str]) -> tuple[str, ...]:
        """
        Return the engines that probably hold the longest part of a prompt.
        """
        for block in reversed(prefix):
            holders = self._holders.get(block)
            if holders:
                return tuple(sorted(holders))
        return ()

    def record_sent(self, target: str, prefix: Sequence[str]) -> None:
        """
        Add hints for a prompt that was just sent to an engine.
        """
        number = self.next_event_number(target)
        for block in prefix:
            self._add_hint(target, block, number)

    def apply_events(
        self, target: str, events: Iterable[CacheEvent], next_number: int
    ) -> None:
        """
        Apply cache events; a gap makes the target's older hints stale.

        :param next_number: the number of the next event to ask for.
        """
        expected = self.next_event_number(target)
        for event in events:
            if event.number > expected and expected:
                self._stale_before[target] = event.number
            expected = event.number + 1
            if event.kind == 'stored':
                self._add_hint(target, event.prefix, event.number)
            elif (target, event.prefix) in self._hints:
                self._remove_hint((target, event.prefix))
        self._next_event[target] = max(expected, next_number)

    def reset_events(self, target: str) -> None:
        """
        Reset the event numbers of a target that restarted.

        Its hints stay, but count as stale until they are evicted.
        """
        self._stale_before[target] = self._next_event.pop(target, 0) + 1

    def _add_hint(self, target: str, block: str, number: int) -> None:
        key = (target, block)
        self._hints[key] = number
        self._hints.move_to_end(key)
        self._holders.setdefault(block, set()).add(target)
        if len(self._hints) > self._capacity:
            self._remove_hint(next(iter(self._hints)))

    def _remove_hint(self, key: tuple[str, str]) -> None:
        target, block = key
        self._hints.pop(key)
        holders = self._holders[block]
        holders.discard(target)
        if not holders:
            self._holders.pop(block)
