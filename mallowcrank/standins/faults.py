"""
Fault injection for stand-ins, ordered over their control endpoint.
"""

import errno
import os
import threading
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from enum import StrEnum, unique

from cattrs import BaseValidationError

from mallowcrank.clock import Clock
from mallowcrank.codec import from_plain
from mallowcrank.web import Request, Response, json_response

CONTROL_PATH = '/control'
SILENCED_CALL_TIMEOUT_S = 60
PAUSE_POLL_S = 0.01
CRASH_EXIT_STATUS = 137
FLOOD_PIECE = bytes(65_536)
OUTAGE_RESPONSE = json_response({'error': 'outage'}, 503)


@unique
class Fault(StrEnum):
    """
    The kinds of faults. docs/TRACE.md describes the parameters of each.
    """

    NONE = 'none'
    CRASH = 'crash'
    PAUSE = 'pause'
    SILENCE = 'silence'
    DELAY = 'delay'
    LOSE_ANSWER = 'lose_answer'
    REFUSE = 'refuse'
    OUTAGE = 'outage'
    CACHE_GAP = 'cache_gap'
    FORGET = 'forget'
    SLOW_LINK = 'slow_link'
    CROSS = 'cross'
    LEAVE = 'leave'
    FLOOD = 'flood'


@dataclass(frozen=True)
class FaultOrder:
    """
    A request to inject a fault, as sent to the control endpoint.

    :param seconds: duration of the fault, or of each delay; without a
        duration, the fault lasts until `none` clears all active faults.
    :param count: number of calls affected; 0 for no limit. For an outage:
        number of reads that were waiting when the outage began and are still
        answered.
    :param path: the fault affects only calls whose path has this prefix.
    :param bytes_per_s: rate of a slow link, or of an answer without end.
    :param offset: offset of the first log record to keep.
    :param after: if not empty, the fault begins after a request whose body
        contains this text has been handled.
    """

    fault: Fault
    seconds: float = 0
    count: int = 0
    path: str = ''
    bytes_per_s: float = 0
    offset: int = 0
    after: str = ''


@dataclass
class _ActiveFault:
    order: FaultOrder
    ends_at: float
    remaining_calls: int


class Faults:
    """
    Injects faults into one stand-in by wrapping its request handler.

    :param handler: handles the requests that no fault blocks.
    :param on_order: called with each order, for faults that the stand-in
        implements itself.
    """

    def __init__(
        self,
        handler: Callable[[Request], Response],
        clock: Clock,
        on_order: Callable[[FaultOrder], None],
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._hook = on_order
        self._lock = threading.Lock()
        self._active: dict[Fault, _ActiveFault] = {}
        self._trigger_counts: Counter[Fault] = Counter()
        self._pending_orders: list[FaultOrder] = []
        self._last_request_at: dict[str, float] = {}
        self._silenced_peers: set[str] = set()

    def __call__(self, request: Request) -> Response:
        """
        Handle a request, subject to the active faults.

        :raises OSError: if the connection closes without a response.
        """
        if request.path == CONTROL_PATH:
            return self._handle_control(request)
        with self._lock:
            self._last_request_at[request.peer] = self._clock.steady()
        self._block_if_silenced_or_paused(request)
        refusal = self._find_refusal(request)
        if refusal is not None:
            return refusal
        response = self._handler(request)
        self._activate_pending(request)
        if request.method == 'GET' and self._cuts_waiting_read(request):
            return OUTAGE_RESPONSE
        self._block_if_silenced_or_paused(request)
        if self.triggers(Fault.LOSE_ANSWER, request.path):
            raise _connection_reset_error()
        self._delay_response(request, response)
        flood = self._trigger(Fault.FLOOD, request.path)
        if flood:
            return replace(
                response, body=_flood(self._clock, flood.bytes_per_s)
            )
        return response

    def apply(self, order: FaultOrder) -> None:
        """
        Activate a fault, or clear all active faults with `none`.
        """
        if order.fault is Fault.CRASH:
            os._exit(CRASH_EXIT_STATUS)
        with self._lock:
            self._apply_locked(order)
        self._hook(order)

    def triggers(self, fault: Fault, path: str = '') -> bool:
        """
        Return whether a fault affects this call, and count the call.
        """
        return self._trigger(fault, path) is not None

    def _trigger(self, fault: Fault, path: str) -> FaultOrder | None:
        with self._lock:
            active = self._find_triggered(fault, path)
            if active is None:
                return None
            active.remaining_calls -= 1
            if active.remaining_calls == 0:
                self._active.pop(fault)
            return active.order

    def _handle_control(self, request: Request) -> Response:
        if request.method == 'GET':
            return json_response({'struck': dict(self._trigger_counts)})
        try:
            order = from_plain(request.json(), FaultOrder)
        except (ValueError, BaseValidationError) as error:
            return json_response({'error': str(error)}, 400)
        self.apply(order)
        return json_response({'applied': order.fault})

    def _apply_locked(self, order: FaultOrder) -> None:
        if order.fault is Fault.NONE:
            self._active.clear()
            return
        if order.fault is Fault.SILENCE:
            self._silenced_peers.update(self._last_request_at)
            return
        if order.after:
            self._pending_orders.append(order)
            return
        has_duration = order.seconds and order.fault is not Fault.DELAY
        ends_at = (
            self._clock.steady() + order.seconds
            if has_duration
            else float('inf')
        )
        self._active[order.fault] = _ActiveFault(
            order, ends_at, order.count or -1
        )

    def _activate_pending(self, request: Request) -> None:
        with self._lock:
            activated = [
                order
                for order in self._pending_orders
                if order.after.encode() in request.body
            ]
            for order in activated:
                self._pending_orders.remove(order)
                self._apply_locked(replace(order, after=''))

    def _find_triggered(self, fault: Fault, path: str) -> _ActiveFault | None:
        active = self._active.get(fault)
        if active is None or not path.startswith(active.order.path):
            return None
        if active.ends_at <= self._clock.steady():
            self._active.pop(fault)
            return None
        self._trigger_counts[fault] += 1
        return active

    def _block_if_silenced_or_paused(self, request: Request) -> None:
        if request.peer in self._silenced_peers:
            self._clock.sleep(SILENCED_CALL_TIMEOUT_S)
            raise _connection_reset_error()
        while self._check_active(Fault.PAUSE, request.path):
            self._clock.sleep(PAUSE_POLL_S)

    def _check_active(self, fault: Fault, path: str) -> bool:
        with self._lock:
            return self._find_triggered(fault, path) is not None

    def _find_refusal(self, request: Request) -> Response | None:
        if self._check_active(Fault.OUTAGE, request.path):
            return OUTAGE_RESPONSE
        if self.triggers(Fault.REFUSE, request.path):
            return json_response({'error': 'refused'}, 503, (('X-Ran', 'no'),))
        return None

    def _cuts_waiting_read(self, request: Request) -> bool:
        with self._lock:
            active = self._find_triggered(Fault.OUTAGE, request.path)
            if active is None:
                return False
            active.remaining_calls -= 1
            return active.remaining_calls < 0

    def _delay_response(self, request: Request, response: Response) -> None:
        delay = self._trigger(Fault.DELAY, request.path)
        slow_link = self._trigger(Fault.SLOW_LINK, request.path)
        if delay:
            self._clock.sleep(delay.seconds)
        if slow_link and isinstance(response.body, bytes):
            size = len(request.body) + len(response.body)
            self._clock.sleep(size / max(1, slow_link.bytes_per_s))


def _flood(clock: Clock, bytes_per_s: float) -> Iterator[bytes]:
    """
    Yield the pieces of an answer without end.
    """
    pause_s = len(FLOOD_PIECE) / max(1, bytes_per_s)
    while True:
        yield FLOOD_PIECE
        clock.sleep(pause_s)


def _connection_reset_error() -> OSError:
    # cheroot closes the connection without a response on this error.
    return OSError(errno.ECONNRESET, 'the answer is lost')
