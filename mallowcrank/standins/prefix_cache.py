"""
An engine's cache of prompt prefixes, and the events that tell of it.
"""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from struct import pack

from xxhash import xxh64

BLOCK_TOKENS = 16
MAX_EVENTS = 4096
TOKEN_STRUCT_CODE = 'H'  # struct's code of a token id
HIDDEN_STRUCT_CODE = 'Q'  # struct's code of a hidden state


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """
    A block was stored or evicted.

    :param number: grows by one with each event, told or not.
    :param prefix: 16 hex digits.
    """

    number: int
    kind: str
    prefix: str


def prefix_hashes(
    tokens: Sequence[int], struct_code: str = TOKEN_STRUCT_CODE
) -> tuple[str, ...]:
    """
    Return the hash of each whole block, each covering all blocks before.

    :param code: the `struct` code of one input.
    """
    digest = xxh64()
    hashes: list[str] = []
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = tokens[start : start + BLOCK_TOKENS]
        digest.update(pack(f'<{BLOCK_TOKENS}{struct_code}', *block))
        hashes.append(digest.hexdigest())
    return tuple(hashes)


class PrefixCache:
    """
    Blocks in limited memory; the least recently used one goes first.

    :param capacity: blocks.
    :param late_s: seconds until an event is told.
    :param code: the `struct` code of one input.
    """

    def __init__(
        self,
        capacity: int,
        event_delay_s: float,
        struct_code: str = TOKEN_STRUCT_CODE,
    ) -> None:
        self._code = struct_code
        self._capacity = capacity
        self._late_s = event_delay_s
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self._number = 0
        self._dropped = 0

    def cached_tokens(self, tokens: Sequence[int]) -> int:
        """
        Return how many leading tokens are held.
        """
        count = 0
        for prefix in prefix_hashes(tokens, self._code):
            if prefix not in self._blocks:
                break
            count += BLOCK_TOKENS
        return count

    def events_from(
        self, number: int, now: float
    ) -> tuple[int, tuple[CacheEvent, ...]]:
        """
        Return the next number to ask for, and the events that are told.
        """
        told = tuple(
            event
            for told_at, event in self._events
            if event.number >= number and told_at <= now
        )
        following = told[-1].number + 1 if told else number
        return following, told

    def store(self, tokens: Sequence[int], now: float) -> None:
        """
        Hold a prompt's blocks.
        """
        for prefix in prefix_hashes(tokens, self._code):
            if prefix not in self._blocks:
                self._tell('stored', prefix, now)
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._tell('evicted', evicted, now)

    def drop_events(self, count: int) -> None:
        """
        Lose the next events.
        """
        self._dropped += count

    def _tell(self, kind: str, prefix: str, now: float) -> None:
        self._number += 1
        if self._dropped:
            self._dropped -= 1
            return
        event = CacheEvent(self._number, kind, prefix)
        self._events.append((now + self._late_s, event))
