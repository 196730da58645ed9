"""
Faults that a stand-in takes by order over its control endpoint.
"""

import errno
import os
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum, unique

from cattrs import BaseValidationError

from mallowcrank.clock import Clock
from mallowcrank.codec import from_plain
from mallowcrank.web import Request, Response, json_response

CONTROL_PATH = '/control'
SILENCE_LIMIT_S = 60
POLL_S = 0.01
CRASH_STATUS = 137
OUTAGE_RESPONSE = json_response({'error': 'outage'}, 503)


@unique
class Fault(StrEnum):
    """
    What can go wrong. docs/TRACE.md tells what each takes.
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


@dataclass(frozen=True)
class FaultOrder:
    """
    One order.

    :param seconds: how long it lasts, or how long a delay is.
    :param count: calls that it hits; 0 for all until it is healed. For an
        outage: reads that wait when it begins and are still answered.
    :param path: only calls whose path starts so.
    :param bytes_per_s: a slow link's rate.
    :param offset: the first log record that is kept.
    :param after: where given, the fault begins once a request whose body
        holds this text was answered.
    """

    fault: Fault
    seconds: float = 0
    count: int = 0
    path: str = ''
    bytes_per_s: float = 0
    offset: int = 0
    after: str = ''


@dataclass
class _Active:
    order: FaultOrder
    ends: float
    left: int


class Faults:
    """
    The faults of one stand-in; wraps the handler of its requests.

    :param handler: answers the requests that no fault stops.
    :param hook: told of each order, for faults that the stand-in brings about
        itself.
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
        self._active: dict[Fault, _Active] = {}
        self._struck: Counter[Fault] = Counter()
        self._pending: list[FaultOrder] = []
        self._seen: dict[str, float] = {}
        self._silent: set[str] = set()

    def __call__(self, request: Request) -> Response:
        """
        Answer a request, as far as the active faults let it through.
        """
        if request.path == CONTROL_PATH:
            return self._control(request)
        with self._lock:
            self._seen[request.peer] = self._clock.steady()
        self._hold(request)
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        response = self._handler(request)
        self._begin_pending(request)
        if request.method == 'GET' and self._is_cut(request):
            return OUTAGE_RESPONSE
        self._hold(request)
        if self.triggers(Fault.LOSE_ANSWER, request.path):
            raise _reset()
        self._slow(request, response)
        return response

    def apply(self, order: FaultOrder) -> None:
        """
        Bring about a fault, or heal all with `none`.
        """
        if order.fault is Fault.CRASH:
            os._exit(CRASH_STATUS)
        with self._lock:
            self._apply_locked(order)
        self._hook(order)

    def triggers(self, fault: Fault, path: str = '') -> bool:
        """
        Tell whether a fault hits this call, and count it.
        """
        return self._strike(fault, path) is not None

    def _strike(self, fault: Fault, path: str) -> FaultOrder | None:
        with self._lock:
            active = self._find(fault, path)
            if active is None:
                return None
            active.left -= 1
            if active.left == 0:
                self._active.pop(fault)
            return active.order

    def _control(self, request: Request) -> Response:
        if request.method == 'GET':
            return json_response({'struck': dict(self._struck)})
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
            self._silent.update(self._seen)
            return
        if order.after:
            self._pending.append(order)
            return
        lasting = order.seconds and order.fault is not Fault.DELAY
        ends = self._clock.steady() + order.seconds if lasting else float('inf')
        self._active[order.fault] = _Active(order, ends, order.count or -1)

    def _begin_pending(self, request: Request) -> None:
        with self._lock:
            begun = [
                order
                for order in self._pending
                if order.after.encode() in request.body
            ]
            for order in begun:
                self._pending.remove(order)
                self._apply_locked(replace(order, after=''))

    def _find(self, fault: Fault, path: str) -> _Active | None:
        active = self._active.get(fault)
        if active is None or not path.startswith(active.order.path):
            return None
        if active.ends <= self._clock.steady():
            self._active.pop(fault)
            return None
        self._struck[fault] += 1
        return active

    def _hold(self, request: Request) -> None:
        if request.peer in self._silent:
            self._clock.sleep(SILENCE_LIMIT_S)
            raise _reset()
        while self._is_active(Fault.PAUSE, request.path):
            self._clock.sleep(POLL_S)

    def _is_active(self, fault: Fault, path: str) -> bool:
        with self._lock:
            return self._find(fault, path) is not None

    def _refuse(self, request: Request) -> Response | None:
        if self._is_active(Fault.OUTAGE, request.path):
            return OUTAGE_RESPONSE
        if self.triggers(Fault.REFUSE, request.path):
            return json_response({'error': 'refused'}, 503, (('X-Ran', 'no'),))
        return None

    def _is_cut(self, request: Request) -> bool:
        with self._lock:
            active = self._find(Fault.OUTAGE, request.path)
            if active is None:
                return False
            active.left -= 1
            return active.left < 0

    def _slow(self, request: Request, response: Response) -> None:
        delay = self._strike(Fault.DELAY, request.path)
        link = self._strike(Fault.SLOW_LINK, request.path)
        if delay:
            self._clock.sleep(delay.seconds)
        if link and isinstance(response.body, bytes):
            size = len(request.body) + len(response.body)
            self._clock.sleep(size / max(1, link.bytes_per_s))


def _reset() -> OSError:
    # cheroot closes the connection without an answer on this error.
    return OSError(errno.ECONNRESET, 'the answer is lost')
