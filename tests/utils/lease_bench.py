"""
Two agents with orders, a log and one engine, on a clock that tests advance.
"""

from mallowcrank.clock import FakeClock, HybridClock
from mallowcrank.leases.actor import OrdersActor
from mallowcrank.leases.orders import Action, EngineState, Order
from mallowcrank.leases.records import encode_record, group_of
from mallowcrank.leases.steps import Send
from mallowcrank.ports import LogPage, LogRecord
from mallowcrank.standins.orders import ACCEPTED, check_order
from mallowcrank.standins.orders import Order as WireOrder
from mallowcrank.standins.settings import Fencing
from mallowcrank.timeline import Timeline

TARGET = 'e1'
GROUP = group_of(TARGET)
STEP_S = 0.25


class FakeLog:
    """
    The log service in memory.
    """

    def __init__(self, clock):
        self.clock = clock
        self.records = []
        self.first = 0
        self.is_out = False

    def append(self, body):
        self.records.append(
            LogRecord(len(self.records), self.clock.now(), body)
        )

    def page(self, start):
        kept = self.records[max(start, self.first) :]
        return LogPage(self.first, len(self.records), tuple(kept))


class FakeEngine:
    """
    An engine that judges orders as the stand-in does.
    """

    def __init__(self, clock, fencing):
        self.clock = clock
        self.fencing = fencing
        self.role = 'serving'
        self.fence = None
        self.fences = []
        self.load = 0

    def handle_order(self, message):
        wire_order = WireOrder(
            message.order, message.fence, message.expires, 'role', ''
        )
        engine_fencing = (
            Fencing.CHECKS if self.fencing == 'checks' else (Fencing.IGNORES)
        )
        status = check_order(
            wire_order, engine_fencing, self.fence, self.clock.now()
        )
        if status == ACCEPTED:
            self.role = message.role
            self.fence = max(message.fence, self.fence or 0)
            self.fences.append(message.fence)
        return status

    def state(self):
        return EngineState(
            'assistant', '', 0, 11, self.role, self.load, self.fencing
        )


class FakeAgent:
    """
    An agent that carries out orders; `run` is one pass of its threads.
    """

    def __init__(self, name, log, engine):
        self.log = log
        self.engine = engine
        self.next = 0
        self.is_paused = False
        self.unsent = None
        self.pauses_before_sending = False
        timeline = Timeline(name, HybridClock(log.clock))
        self.ref = OrdersActor.start(name, log.clock, timeline)
        self.proxy = self.ref.proxy()

    def order(self, role):
        order = Order(TARGET, Action.ROLE, role=role)
        return self.proxy.submit(f'{role}-order', order).get()

    def jobs(self):
        return {job.id: job for job in self.proxy.status().get().jobs}

    def lease(self):
        return self.proxy.status().get().table.get(GROUP)

    def read(self):
        if self.log.is_out:
            self.proxy.apply_outage().get()
            return
        self.proxy.apply_page(self.log.page(self.next)).get()
        self.next = len(self.log.records)

    def run(self):
        if self.is_paused:
            return
        record = self.proxy.next_record().get()
        if record is not None and not self.log.is_out:
            self.log.append(encode_record(record))
        self.read()
        for job in self.proxy.active_jobs().get():
            step = self.proxy.advance(job.id, self.engine.state()).get()
            if isinstance(step, Send):
                self.send(job)

    def send(self, job):
        ready = self.proxy.begin_send(job.id, None).get()
        if ready is None:
            return
        if self.pauses_before_sending:
            self.is_paused = True
            self.unsent = ready
            return
        self.deliver(ready)

    def deliver(self, ready):
        if self.engine.handle_order(ready.message) != ACCEPTED:
            self.proxy.record_refusal(ready.job.id, 'old').get()

    def resume(self):
        self.is_paused = False
        if self.unsent is not None:
            self.deliver(self.unsent)


class Bench:
    """
    Agents `a` and `b` with one engine.
    """

    def __init__(self, fencing):
        self.clock = FakeClock(1000)
        self.log = FakeLog(self.clock)
        self.engine = FakeEngine(self.clock, fencing)
        self.first = FakeAgent('a', self.log, self.engine)
        self.second = FakeAgent('b', self.log, self.engine)

    def run(self, seconds):
        end = self.clock.seconds + seconds
        while self.clock.seconds < end:
            self.first.run()
            self.second.run()
            self.clock.advance(STEP_S)

    def run_until(self, condition, limit_s):
        start = self.clock.seconds
        while not condition():
            if self.clock.seconds - start > limit_s:
                raise TimeoutError(f'not so within {limit_s} s')
            self.run(STEP_S)
        return self.clock.seconds - start

    def close(self):
        self.first.ref.stop()
        self.second.ref.stop()
