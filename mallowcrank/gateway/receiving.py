"""
Bounds on what peers may make the process keep, and do before its next turn.

A peer is whatever is at the other end of a connection: a caller, a target, the
store or another gateway. All connections of a process share one budget for
bytes that were received and not passed on, and take turns to be read.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

from mallowcrank.gateway.clock import monotonic_s

MAX_CAPACITY_BYTES = 16_777_216
MEMORY_SHARE = 8  # the budget is that part of the memory, if it is less
HEADER_OVERHEAD_BYTES = 150  # of the objects that hold a header
SLICE_BYTES = 16_384  # read from a connection before others get their turn
# Of connections that had more than a slice, by how long a slice takes.
TURN_S = 0.002
MIN_RESUMED_PER_TURN = 2
MAX_RESUMED_PER_TURN = 64


@unique
class Part(Enum):
    """
    The part of a message that goes beyond its bound.
    """

    HEAD = 'head'
    TRAILERS = 'trailers'
    BODY = 'body'
    EVENT = 'event'
    SHARE = 'share'


@dataclass(frozen=True, slots=True)
class Excess:
    """
    A connection that was broken off for what its peer has sent.

    :param peer: address of the target, or IP address of the caller.
    :param held_bytes: received on it, and not passed on.
    """

    peer: str
    part: Part
    held_bytes: int


class Holding:
    """
    The bytes of one connection that count against the budget.

    :ivar peer: who has sent them, see `Excess`.
    :ivar held_bytes: how many there are.
    :ivar measure: returns how many there are now, if some may have gone without
        a word.
    """

    def __init__(
        self, budget: 'ReceiveBudget', end: Callable[[Part], None]
    ) -> None:
        self.measure: Callable[[], int] | None = None
        self.peer = ''
        self.held_bytes = 0
        self._budget = budget
        self._end = end

    def resize(self, held_bytes: int) -> None:
        """
        Set how many bytes are held. This or another connection is broken off
        if that exceeds the budget.
        """
        grown = held_bytes - self.held_bytes
        if grown:
            self.held_bytes = held_bytes
            self._budget.count(self, grown)

    def update(self) -> int:
        """
        Measure anew how many bytes are held.

        :returns: by how many they have grown, or shrunk if negative.
        """
        if self.measure is None:
            return 0
        held_bytes = self.measure()
        grown = held_bytes - self.held_bytes
        self.held_bytes = held_bytes
        return grown

    def break_off(self, part: Part) -> Excess:
        """
        Report what the peer has sent, and release the bytes that are held.
        """
        excess = Excess(self.peer, part, self.held_bytes)
        self._budget.report(excess)
        self.resize(0)
        return excess

    def exhaust(self) -> None:
        """
        End the connection, as its peer holds the most of the budget.
        """
        self._end(Part.SHARE)
        self.resize(0)


class ReceiveBudget:
    """
    What all connections of the process may hold together.

    :param memory_bytes: that the process may use; 0 if that isn't known.
    :ivar report: is told of each connection that was broken off.
    :ivar buffer: into which a slice of a connection is read.
    """

    def __init__(self, memory_bytes: int = 0) -> None:
        self.report: Callable[[Excess], None] = _ignore
        self.buffer = memoryview(bytearray(SLICE_BYTES))
        self._capacity_bytes = _capacity_for(memory_bytes)
        self._held_bytes = 0
        self._holdings: set[Holding] = set()
        self._waiting: deque[Callable[[], None]] = deque()
        self._slowest_s: float = 0  # slice of late, halved each turn

    @property
    def held_bytes(self) -> int:
        """
        Return how many bytes all connections hold.
        """
        return self._held_bytes

    def limit(self, memory_bytes: int) -> None:
        """
        Change how much memory the process may use.
        """
        self._capacity_bytes = _capacity_for(memory_bytes)
        self._enforce()

    def open(self, end: Callable[[Part], None]) -> Holding:
        """
        Return the holding of a new connection.

        :param end: breaks the connection off.
        """
        return Holding(self, end)

    def count(self, holding: Holding, grown: int) -> None:
        """
        Count bytes that a connection has received, or released if negative.
        """
        self._held_bytes += grown
        if holding.held_bytes:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)
        self._enforce()

    def wait_turn(self, resume: Callable[[], None], slice_s: float) -> None:
        """
        Call back when the connections that wait already had their turn.

        :param slice_s: seconds that the last slice took.
        """
        self._slowest_s = max(self._slowest_s, slice_s)
        if not self._waiting:
            asyncio.get_running_loop().call_soon(self._take_turns)
        self._waiting.append(resume)

    def _take_turns(self) -> None:
        fastest_s = TURN_S / MAX_RESUMED_PER_TURN
        fitting = int(TURN_S / max(self._slowest_s, fastest_s))
        resumed = max(fitting, MIN_RESUMED_PER_TURN)
        self._slowest_s /= 2
        for _ in range(min(resumed, len(self._waiting))):
            self._waiting.popleft()()
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._take_turns)

    def _enforce(self) -> None:
        if self._held_bytes > self._capacity_bytes:
            self._update_all()
        while self._holdings and self._held_bytes > self._capacity_bytes:
            self._find_largest().exhaust()

    def _update_all(self) -> None:
        for holding in tuple(self._holdings):
            self._held_bytes += holding.update()
            if not holding.held_bytes:
                self._holdings.discard(holding)

    def _find_largest(self) -> Holding:
        """
        Return the largest holding of the peer that holds the most.
        """
        by_peer: Counter[str] = Counter()
        for holding in self._holdings:
            by_peer[holding.peer] += holding.held_bytes
        return max(
            self._holdings,
            key=lambda each: (by_peer[each.peer], each.held_bytes),
        )


class SlicedProtocol(asyncio.BufferedProtocol):
    """
    A connection that is read slice by slice, in turn with others.
    """

    def __init__(self, budget: ReceiveBudget) -> None:
        self._budget = budget
        self._transport: asyncio.Transport | None = None
        self._awaits_turn = False
        self._is_held_up = False

    def get_buffer(self, sizehint: int) -> memoryview:
        """
        Return the buffer that all connections share.
        """
        return self._budget.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """
        Handle a slice; let other connections go first if there may be more.
        """
        if nbytes < len(self._budget.buffer):
            self.data_received(self._budget.buffer[:nbytes])
            return
        self._awaits_turn = True
        self._update_reading()
        began_at = monotonic_s()
        self.data_received(self._budget.buffer[:nbytes])
        self._budget.wait_turn(self._go_on, monotonic_s() - began_at)

    def data_received(self, data: bytes | memoryview) -> None:
        """
        Handle received bytes.

        :param data: only valid during the call.
        """
        raise NotImplementedError

    def hold_up(self, is_held_up: bool) -> None:
        """
        Stop reading, or go on.
        """
        if is_held_up != self._is_held_up:
            self._is_held_up = is_held_up
            self._update_reading()

    def _go_on(self) -> None:
        self._awaits_turn = False
        self._update_reading()

    def _update_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._awaits_turn or self._is_held_up:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()


def _capacity_for(memory_bytes: int) -> int:
    share = memory_bytes // MEMORY_SHARE or MAX_CAPACITY_BYTES
    return min(share, MAX_CAPACITY_BYTES)


def _ignore(excess: Excess) -> None:
    """
    Do nothing; the default until a callback is set.
    """
