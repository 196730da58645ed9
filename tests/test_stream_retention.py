"""
The bound on retained stage inputs.
"""

from unittest import TestCase

from mallowcrank.clock import HybridClock, SystemClock
from mallowcrank.metrics import NoMetrics
from mallowcrank.router.ports import RouteDemand
from mallowcrank.streams.action_execution import execute_action
from mallowcrank.streams.actions import Emit
from mallowcrank.streams.driver_messages import OpenStream
from mallowcrank.streams.events import InputLimitReached
from mallowcrank.streams.retention import InputCounter, RetentionLimits
from mallowcrank.streams.state import StreamState, Task
from mallowcrank.streams.table import ActiveStream, DriverPorts, StreamTable
from mallowcrank.streams.token_queue import TokenQueue
from mallowcrank.timeline import Timeline

LIMITS = RetentionLimits(max_bytes=100, input_bytes=10)


class TestInputCounter(TestCase):
    def test_bound_applies_to_all_streams_together(self):
        counter = InputCounter(LIMITS)
        counter.set_count('s', 6)
        counter.set_count('t', 4)
        self.assertFalse(counter.is_exceeded)
        counter.set_count('t', 5)
        self.assertTrue(counter.is_exceeded)
        counter.remove('s')
        counter.remove('s')
        counter.set_count('t', 10)
        self.assertFalse(counter.is_exceeded)


class TestTable(TestCase):
    def setUp(self):
        timeline = Timeline('test', HybridClock(SystemClock()))
        ports = DriverPorts(None, None, timeline, NoMetrics(), retention=LIMITS)
        self.table = StreamTable(ports, None)
        self.addCleanup(self.table.stop)

    def emit(self, stream, inputs):
        task = Task(stream, (1, 2), 9)
        demand = RouteDemand(stream, 'klang/quotes', 'm')
        opened = OpenStream(task, stream, demand, 0, TokenQueue())
        state = StreamState(task, inputs={0: (1, 2), 3: (7,) * inputs})
        return execute_action(Emit(65), ActiveStream(opened, state), self.table)

    def test_stream_over_the_bound_retains_token_ids_only(self):
        self.assertIsNone(self.emit('s', 6))
        self.assertEqual(self.emit('t', 6), InputLimitReached())
        self.assertIsNone(self.emit('u', 4))

    def test_inputs_of_an_ended_stream_are_not_counted(self):
        self.assertIsNone(self.emit('s', 10))
        self.table.input_counter.remove('s')
        self.assertIsNone(self.emit('t', 10))
