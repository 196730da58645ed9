"""
Two agents' orders, a log and one engine on a clock that tests move.
"""

from mallowcrank.clock import FakeClock, HybridClock
from mallowcrank.leases.actor import OrdersActor
from mallowcrank.leases.orders import Action, EngineState, Order
from mallowcrank.leases.records import encode_record, group_of
from mallowcrank.leases.steps import Send
from mallowcrank.ports import LogPage, LogRecord
from mallowcrank.standins.orders import ACCEPTED, judge_order
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
    An engine that takes orders by the stand-in's own rule.
    """

    def __init__(self, clock, fencing):
        self.clock = clock
        self.fencing = fencing
        self.role = 'serving'
        self.fence = None
        self.fences = []
        self.load = 0

    def take(self, sent):
        wire = WireOrder(sent.order, sent.fence, sent.expires, 'role', '')
        judged = (
            Fencing.CHECKS if self.fencing == 'checks' else (Fencing.IGNORES)
        )
        status = judge_order(wire, judged, self.fence, self.clock.now())
        if status == ACCEPTED:
            self.role = sent.role
            self.fence = max(sent.fence, self.fence or 0)
            self.fences.append(sent.fence)
        return status

    def state(self):
        return EngineState(
            'assistant', '', 0, 11, self.role, self.load, self.fencing
        )


class FakeAgent:
    """
    One agent's orders; `run` is what its threads do.
    """

    def __init__(self, name, log, engine):
        self.log = log
        self.engine = engine
        self.next = 0
        self.is_paused = False
        self.keeps_sending = None
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
        sending = self.proxy.begin_send(job.id, None).get()
        if sending is None:
            return
        if self.pauses_before_sending:
            self.is_paused = True
            self.keeps_sending = sending
            return
        self.deliver(sending)

    def deliver(self, sending):
        if self.engine.take(sending.message) != ACCEPTED:
            self.proxy.record_refusal(sending.job.id, 'old').get()

    def resume(self):
        self.is_paused = False
        if self.keeps_sending is not None:
            self.deliver(self.keeps_sending)


class Bench:
    """
    Agents `a` and `b` before one engine.
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

    def run_until(self, is_so, limit_s):
        start = self.clock.seconds
        while not is_so():
            if self.clock.seconds - start > limit_s:
                raise TimeoutError(f'not so within {limit_s} s')
            self.run(STEP_S)
        return self.clock.seconds - start

    def close(self):
        self.first.ref.stop()
        self.second.ref.stop()
