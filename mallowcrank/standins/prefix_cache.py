"""
An engine's cache of prompt prefixes, and its change events.
"""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from struct import pack

from xxhash import xxh64

BLOCK_TOKENS = 16
MAX_EVENTS = 4096
TOKEN_STRUCT_CODE = 'H'  # a token id is an unsigned 16-bit integer
HIDDEN_STRUCT_CODE = 'Q'  # a hidden state is an unsigned 64-bit integer


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """
    The event that a block was stored or evicted.

    :param number: increases by one with each event, including dropped ones.
    :param kind: `stored` or `evicted`.
    :param prefix: hash of the prompt up to the end of the block, as 16 hex
        digits.
    """

    number: int
    kind: str
    prefix: str


def prefix_hashes(
    tokens: Sequence[int], struct_code: str = TOKEN_STRUCT_CODE
) -> tuple[str, ...]:
    """
    Return the hashes of the prefixes that end at each full block.

    :param struct_code: the `struct` code of one input.
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
    A prefix cache of limited size with least-recently-used eviction.

    :param capacity: maximum number of blocks.
    :param event_delay_s: seconds until an event is published.
    :param struct_code: the `struct` code of one input.
    """

    def __init__(
        self,
        capacity: int,
        event_delay_s: float,
        struct_code: str = TOKEN_STRUCT_CODE,
    ) -> None:
        self._struct_code = struct_code
        self._capacity_blocks = capacity
        self._event_delay_s = event_delay_s
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self._last_number = 0
        self._events_to_drop = 0

    def cached_tokens(self, tokens: Sequence[int]) -> int:
        """
        Return the number of leading tokens that are cached.
        """
        count = 0
        for prefix in prefix_hashes(tokens, self._struct_code):
            if prefix not in self._blocks:
                break
            count += BLOCK_TOKENS
        return count

    def events_from(
        self, number: int, now: float
    ) -> tuple[int, tuple[CacheEvent, ...]]:
        """
        Return the published events from a number on.

        :param now: steady time in seconds.
        :returns: the number to request next, and the events.
        """
        published = tuple(
            event
            for publish_at, event in self._events
            if event.number >= number and publish_at <= now
        )
        next_number = published[-1].number + 1 if published else number
        return next_number, published

    def store(self, tokens: Sequence[int], now: float) -> None:
        """
        Store a prompt's full blocks.

        :param now: steady time in seconds.
        """
        for prefix in prefix_hashes(tokens, self._struct_code):
            if prefix not in self._blocks:
                self._emit_event('stored', prefix, now)
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._emit_event('evicted', evicted, now)

    def drop_events(self, count: int) -> None:
        """
        Drop the next events, leaving a gap in the numbers.

        :param count: number of events.
        """
        self._events_to_drop += count

    def _emit_event(self, kind: str, prefix: str, now: float) -> None:
        self._last_number += 1
        if self._events_to_drop:
            self._events_to_drop -= 1
            return
        event = CacheEvent(self._last_number, kind, prefix)
        self._events.append((now + self._event_delay_s, event))
