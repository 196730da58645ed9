"""
One engine's calls, with an alarm that rings when the test says so.
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


class HeldPort:
    """
    Answers a call once the test gives its answers.
    """

    def __init__(self):
        self.calls = SimpleQueue()
        self.answers = SimpleQueue()

    def run(self, steps, _timeout_s):
        self.calls.put(steps)
        return self.answers.get(timeout=LIMIT_S)


class ToldAlarm:
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
        self.ports = [HeldPort(), HeldPort()]
        self.alarm = ToldAlarm()
        self.told = SimpleQueue()
        opened = iter(self.ports)
        settings = EngineSettings(
            'e1', 1, 10, lambda: next(opened), CallLimits(max_calls=1)
        )
        self.engine = Engine(settings, self.told.put, self.alarm, FakeClock())
        self.addCleanup(self.engine.stop)

    def send(self, *streams):
        for stream in streams:
            self.engine.add_step(step(stream))
        self.engine.flush()

    def take(self, kind):
        message = self.told.get(timeout=LIMIT_S)
        self.assertIsInstance(message, kind)
        return self.engine.handle(message)

    def ring(self):
        for callback in self.alarm.due:
            callback()
        self.alarm.due.clear()

    def test_steps_gather_while_a_call_is_in_flight(self):
        first, _ = self.ports
        self.send('a')
        self.send('b')
        self.send('c')
        self.assertEqual(first.calls.get(timeout=LIMIT_S), (step('a'),))
        first.answers.put((answer('a'),))
        self.assertEqual(self.take(CallEnded).answers, (answer('a'),))
        self.engine.flush()
        both = (step('b'), step('c'))
        self.assertEqual(first.calls.get(timeout=LIMIT_S), both)
        first.answers.put(())

    def test_late_answer_of_a_call_in_doubt_counts(self):
        first, _ = self.ports
        self.send('a')
        self.ring()
        self.assertIsInstance(self.take(CallTimedOut), StepsLost)
        first.answers.put((answer('a'),))
        self.assertIsInstance(self.take(CallEnded), StepsAnswered)

    def test_answered_call_is_never_in_doubt(self):
        self.ports[0].answers.put((answer('a'),))
        self.send('a')
        self.take(CallEnded)
        self.ring()
        self.assertTrue(self.told.empty())

    def test_refusals_held_back_keep_the_engine_until_they_are_told(self):
        first, second = self.ports
        self.send('a')
        self.ring()
        self.take(CallTimedOut)
        self.send('a')
        repeated = (answer('a', refused='repeated'),)
        second.answers.put(repeated)
        self.assertIsNone(self.take(CallEnded))
        first.answers.put(())
        self.take(CallEnded)
        self.assertFalse(self.engine.is_idle)
        self.ring()
        self.assertEqual(self.take(RefusalsDue).answers, repeated)
        self.assertTrue(self.engine.is_idle)

    def test_engine_in_doubt_is_called_over_a_fresh_port(self):
        self.send('a')
        self.ring()
        self.take(CallTimedOut)
        self.send('b')
        second = self.ports[1]
        self.assertEqual(second.calls.get(timeout=LIMIT_S), (step('b'),))
        for port in self.ports:
            port.answers.put(())
