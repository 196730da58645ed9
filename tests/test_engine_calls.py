"""
Calls to one engine: batching, timeouts and late answers, with a manual timer.
"""

from queue import SimpleQueue
from unittest import TestCase

from mallowcrank.clock import FakeClock
from mallowcrank.ports import Step, StepResult
from mallowcrank.streams.engine import (
    CallEnded,
    CallLimits,
    CallTimedOut,
    Engine,
    EngineSettings,
    RefusalsDue,
    StepsAnswered,
    StepsLost,
)

LIMIT_S = 40


class ManualPort:
    """
    Engine port that answers a call when the test provides the answers.
    """

    def __init__(self):
        self.calls = SimpleQueue()
        self.answers = SimpleQueue()

    def run(self, steps, _timeout_s):
        self.calls.put(steps)
        return self.answers.get(timeout=LIMIT_S)


class ManualTimer:
    """
    Timer whose callbacks run when the test says so.
    """

    def __init__(self):
        self.due = []

    def schedule(self, _delay_s, callback):
        self.due.append(callback)


def step(stream):
    return Step(stream, 1, 0, 1, 0, 2, (7,))


def answer(stream, **given):
    return StepResult(stream, 1, 0, 0, 2, **given)


class TestEngineCalls(TestCase):
    def setUp(self):
        self.ports = [ManualPort(), ManualPort()]
        self.timer = ManualTimer()
        self.messages = SimpleQueue()
        opened = iter(self.ports)
        settings = EngineSettings(
            'e1', 1, 10, lambda: next(opened), CallLimits(max_calls=1)
        )
        self.engine = Engine(
            settings, self.messages.put, self.timer, FakeClock()
        )
        self.addCleanup(self.engine.stop)

    def send(self, *streams):
        for stream in streams:
            self.engine.add_step(step(stream))
        self.engine.flush()

    def handle_next(self, message_type):
        message = self.messages.get(timeout=LIMIT_S)
        self.assertIsInstance(message, message_type)
        return self.engine.handle(message)

    def run_timer(self):
        for callback in self.timer.due:
            callback()
        self.timer.due.clear()

    def test_steps_are_batched_while_a_call_is_in_flight(self):
        first, _ = self.ports
        self.send('a')
        self.send('b')
        self.send('c')
        self.assertEqual(first.calls.get(timeout=LIMIT_S), (step('a'),))
        first.answers.put((answer('a'),))
        self.assertEqual(self.handle_next(CallEnded).answers, (answer('a'),))
        self.engine.flush()
        both = (step('b'), step('c'))
        self.assertEqual(first.calls.get(timeout=LIMIT_S), both)
        first.answers.put(())

    def test_late_answer_to_a_timed_out_call_is_used(self):
        first, _ = self.ports
        self.send('a')
        self.run_timer()
        self.assertIsInstance(self.handle_next(CallTimedOut), StepsLost)
        first.answers.put((answer('a'),))
        self.assertIsInstance(self.handle_next(CallEnded), StepsAnswered)

    def test_answered_call_does_not_time_out(self):
        self.ports[0].answers.put((answer('a'),))
        self.send('a')
        self.handle_next(CallEnded)
        self.run_timer()
        self.assertTrue(self.messages.empty())

    def test_engine_is_not_idle_while_refusals_are_delayed(self):
        first, second = self.ports
        self.send('a')
        self.run_timer()
        self.handle_next(CallTimedOut)
        self.send('a')
        repeated = (answer('a', refused='repeated'),)
        second.answers.put(repeated)
        self.assertIsNone(self.handle_next(CallEnded))
        first.answers.put(())
        self.handle_next(CallEnded)
        self.assertFalse(self.engine.is_idle)
        self.run_timer()
        self.assertEqual(self.handle_next(RefusalsDue).answers, repeated)
        self.assertTrue(self.engine.is_idle)

    def test_new_port_is_used_after_a_timeout(self):
        self.send('a')
        self.run_timer()
        self.handle_next(CallTimedOut)
        self.send('b')
        second = self.ports[1]
        self.assertEqual(second.calls.get(timeout=LIMIT_S), (step('b'),))
        for port in self.ports:
            port.answers.put(())
