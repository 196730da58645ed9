"""
Hints on which engines hold which prompt prefixes.

Cache events come late and with gaps, so that a hint is worth a saving and
nothing depends on it. The table is bounded; the oldest hints go first.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

MAX_HINTS = 65536  # pairs of target and prefix
STALE_HINT_WEIGHT = (
    0.5  # worth of a hint that is older than a gap in the events
)


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """
    One of an engine's cache events.

    :param number: grows by one with each event, told or not.
    :param kind: `stored` or `evicted`.
    :param prefix: the hash of a prompt's blocks up to one block.
    """

    number: int
    kind: str
    prefix: str


class HintTable:
    """
    The hints of one router.
    """

    def __init__(self, capacity: int = MAX_HINTS) -> None:
        self._capacity = capacity
        self._hints: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._holders: dict[str, set[str]] = {}
        self._next_event: dict[str, int] = {}
        self._stale_before: dict[str, int] = {}

    def __len__(self) -> int:
        """
        Return the count of hints.
        """
        return len(self._hints)

    def next_event_number(self, target: str) -> int:
        """
        Return the number of the first event that is not known yet.
        """
        return self._next_event.get(target, 0)

    def cached_fraction(self, target: str, prefix: Sequence[str]) -> float:
        """
        Return the part of a prompt's blocks that an engine should hold.
        """
        worth: float = 0
        for block in prefix:
            number = self._hints.get((target, block))
            if number is None:
                break
            doubtful = number < self._stale_before.get(target, 0)
            worth += STALE_HINT_WEIGHT if doubtful else 1
        return worth / len(prefix) if prefix else 0

    def holders(self, prefix: Sequence[str]) -> tuple[str, ...]:
        """
        Return the engines that should hold the longest part of a prompt.
        """
        for block in reversed(prefix):
            holders = self._holders.get(block)
            if holders:
                return tuple(sorted(holders))
        return ()

    def record_sent(self, target: str, prefix: Sequence[str]) -> None:
        """
        Expect an engine to hold a prompt that was just sent to it.
        """
        number = self.next_event_number(target)
        for block in prefix:
            self._add_hint(target, block, number)

    def apply_events(
        self, target: str, events: Iterable[CacheEvent], next_number: int
    ) -> None:
        """
        Take in events; a gap makes the target's older hints doubtful.
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
        Drop what is known of the events of a target that restarted.

        Its old hints are doubtful until they age out.
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
